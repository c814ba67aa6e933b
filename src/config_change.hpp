// Differences between two configurations, as hosts send them to each other instead of the whole.
#pragma once

#include "fulmar/site_config.hpp"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

// Leads from one generation to another. Queues and services are identified by their ids.
struct config_change {
    generation_number from; // 0: from the empty configuration, so this is a whole one
    generation_number to;
    std::vector<queue_spec> queues; // added, or with other values
    std::vector<queue_id> removed_queues;
    std::vector<service_spec> services;
    std::vector<service_id> removed_services;
    request_limits limits;
};

config_change compare(const site_config& from, const site_config& to);

// Returns the configuration after the change, or conflict if `base` has another generation than
// the one that the change starts from.
result<site_config> apply(const config_change& change, const site_config& base);

// Encodes consecutive changes as MessagePack. Parsing returns protocol_error if the text is
// malformed.
std::string encode(const std::vector<config_change>& changes);
result<std::vector<config_change>> parse_config_changes(std::string_view text);

// The latest changes that a host has applied, within bounds on their number and size.
struct config_history {
    std::deque<config_change> changes;
    std::size_t entries = 0; // queues and services in `changes`
};

void record_change(config_history& history, config_change change);

// Returns the changes that lead from a generation to `current`: the recorded ones if they are
// complete and smaller than the whole configuration, else the whole.
std::vector<config_change> changes_since(const config_history& history, generation_number from,
                                         const site_config& current);

} // namespace fulmar
