// The operators' configuration as each host applies it.
#pragma once

#include "fulmar/job.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace fulmar {

struct service_spec {
    service_id id;
    bool enforces_capacity = true; // its workers reject tasks that don't fit
    bool standby = false;          // its workers aren't used until they are moved to another pool
    std::string health_path;
    std::uint32_t max_connections = 0; // to one worker; 0: no limit

    bool operator==(const service_spec&) const = default;
};

struct request_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 256 * 1024;
    duration header_timeout{3'000};
    duration idle_timeout{15'000};
};

struct site_config {
    generation_number generation; // 0: none has been read yet
    std::vector<queue_spec> queues;
    std::vector<service_spec> services;
    request_limits limits;
};

// A queue and the part of the request path after the queue's prefix.
struct queue_match {
    const queue_spec* queue = nullptr;
    std::string_view rest;
};

// Returns the queue for `host` whose prefix is the longest that `path` starts with; nullopt if
// there is none.
std::optional<queue_match> find_queue(const site_config& config, std::string_view host,
                                      std::string_view path);

const service_spec* find_service(const site_config& config, const service_id& id);

} // namespace fulmar
