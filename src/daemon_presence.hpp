// What a daemon without cells needs of the others: its member record and the configuration in
// force.
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
    std::vector<std::string> peers; // operator addresses asked while the store is away
};

// Registers the daemon in the store and follows the configuration, on threads of its own.
class daemon_presence {
  public:
    daemon_presence(presence_options options, http_client& http, metrics& counters);
    ~daemon_presence();
    daemon_presence(const daemon_presence&) = delete;
    daemon_presence& operator=(const daemon_presence&) = delete;
    daemon_presence(daemon_presence&&) = delete;
    daemon_presence& operator=(daemon_presence&&) = delete;

    // Returns the configuration values in force.
    runtime_config values() const;

    // Returns the configuration record in force, for peers that ask.
    config_record record() const;

    // Tells whether the store or every known peer was asked for the configuration.
    bool is_confirmed() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fulmar
