// Keeps a copy of the store's entries below a prefix up to date, also across outages of the store.
#pragma once

#include "fulmar/store.hpp"

#include <functional>
#include <stop_token>

namespace fulmar {

// Callbacks for changes of the entries, called on the follower's thread.
struct follower_actions {
    std::function<void(const std::vector<store_entry>&)> replace; // all entries, after a listing
    std::function<void(const store_event&)> apply;                // one change
};

// Follows a prefix until a stop is requested. While the store is unreachable no callback is called,
// so the last received entries remain in use.
void follow_prefix(store_client& store, const std::string& prefix, const follower_actions& actions,
                   const std::stop_token& stop);

} // namespace fulmar
