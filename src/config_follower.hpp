// Keeps the configuration in force on this host: from the store, or from peers while that is away.
#pragma once

#include "config_state.hpp"
#include "fulmar/store.hpp"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// Asks one peer (host:port) for its configuration.
using config_fetch = std::function<result<config_record>(const std::string& address)>;

// Safe for use by several threads: one follows, others read.
class config_follower {
  public:
    explicit config_follower(metrics& counters);

    // Returns the values in force.
    runtime_config values() const;

    // Returns the record in force, for peers that ask.
    config_record record() const;

    // Tells whether the store or every known peer was asked since the start.
    bool is_confirmed() const;

    // Follows the store for up to `wait`. While the store is away asks the peers instead: the
    // result is confirmed only when all of them answered, because one peer may lag behind.
    void follow_once(store_client& store, duration wait, const std::vector<std::string>& peers,
                     const config_fetch& fetch);

    // Fetches from peers that reported a higher generation.
    void fetch_from(const std::vector<std::string>& peers, const config_fetch& fetch);

  private:
    bool take(const config_record& record);
    bool follow_store(store_client& store, duration wait);

    metrics& counters_;
    mutable std::mutex mutex_;
    config_state state_;
    std::optional<revision_number> watched_; // only used by the following thread
};

} // namespace fulmar
