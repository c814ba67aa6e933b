// Cluster membership of a daemon that owns no cells: its member record in the store and the current
// configuration.
#pragma once

#include "fulmar/http_client.hpp"
#include "fulmar/metrics.hpp"
#include "fulmar/records.hpp"
#include "fulmar/runtime_config.hpp"
#include "fulmar/settings.hpp"

#include <memory>
#include <string>
#include <vector>

namespace fulmar {

struct presence_options {
    member_record record;
    socket_address store_address;
    duration store_timeout{1'000};
    std::vector<std::string> peers; // operator addresses queried while the store is unreachable
};

// Registers the daemon in the store and follows the configuration, on its own threads.
class daemon_presence {
  public:
    daemon_presence(presence_options options, http_client& http, metrics& counters);
    ~daemon_presence();
    daemon_presence(const daemon_presence&) = delete;
    daemon_presence& operator=(const daemon_presence&) = delete;
    daemon_presence(daemon_presence&&) = delete;
    daemon_presence& operator=(daemon_presence&&) = delete;

    // Returns the current configuration values.
    runtime_config values() const;

    // Returns the current configuration record, for requests of peers.
    config_record record() const;

    // Returns whether the store or every known peer has returned its configuration.
    bool is_confirmed() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fulmar
