// Keeps a copy of the store's entries below a prefix in step, over outages of the store.
#pragma once

#include "fulmar/store.hpp"

#include <functional>
#include <stop_token>

namespace fulmar {

// What to do with the entries; called on the follower's thread.
struct follower_actions {
    std::function<void(const std::vector<store_entry>&)> replace; // all entries, after a listing
    std::function<void(const store_event&)> apply;                // one change
};

// Follows a prefix until the stop is requested. While the store is away nothing is called, so the
// last known entries stay in use.
void follow_prefix(store_client& store, const std::string& prefix, const follower_actions& actions,
                   const std::stop_token& stop);

} // namespace fulmar
