// Keeps this host's configuration up to date from the store, or from peers while the store is
// unreachable.
#pragma once

#include "config_state.hpp"
#include "fulmar/store.hpp"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// Requests the configuration of one peer (host:port).
using config_fetch = std::function<result<config_record>(const std::string& address)>;

// Thread-safe: one thread follows the store or the peers, others read.
class config_follower {
  public:
    explicit config_follower(metrics& counters);

    // Returns the values in force.
    runtime_config values() const;

    // Returns the record in force, for requests of peers.
    config_record record() const;

    // Returns whether the store or all known peers have answered since the start.
    bool is_confirmed() const;

    // Watches the store for up to `wait`. If the store is unreachable, requests the configuration
    // from the peers. It is then confirmed only if all peers answered, because one peer may lag
    // behind.
    void follow_once(store_client& store, duration wait, const std::vector<std::string>& peers,
                     const config_fetch& fetch);

    // Fetches the configuration from peers that reported a higher generation.
    void fetch_from(const std::vector<std::string>& peers, const config_fetch& fetch);

  private:
    bool apply_record(const config_record& record);
    bool follow_store(store_client& store, duration wait);

    metrics& counters_;
    mutable std::mutex mutex_;
    config_state state_;
    std::optional<revision_number> watch_revision_; // used only by the thread that follows
};

} // namespace fulmar
