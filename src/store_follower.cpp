#include "store_follower.hpp"

#include "steady_clock.hpp"

#include <condition_variable>
#include <mutex>

namespace fulmar {

namespace {

constexpr duration watch_wait{1'500};
constexpr duration retry_interval{500};
// Minimum time between two watches, for stores that return at once if there are no events.
constexpr duration watch_interval{20};

void wait_for_stop(const std::stop_token& stop, duration limit) {
    std::mutex mutex;
    std::condition_variable_any wakeup;
    std::unique_lock lock(mutex);
    wakeup.wait_for(lock, stop, limit, [] { return false; });
}

} // namespace

void follow_prefix(store_client& store, const std::string& prefix, const follower_actions& actions,
                   const std::stop_token& stop) {
    std::optional<revision_number> revision;
    while (!stop.stop_requested()) {
        if (!revision) {
            const auto listing = store.list(prefix);
            if (!listing) {
                wait_for_stop(stop, retry_interval);
                continue;
            }
            actions.replace(listing.value().entries);
            revision = listing.value().revision;
            continue;
        }
        const auto sent = steady_now();
        const auto events = store.watch(prefix, *revision, watch_wait);
        if (!events) {
            if (events.error().kind == error_kind::expired) {
                revision.reset();
            }
            wait_for_stop(stop, retry_interval);
            continue;
        }
        for (const auto& event : events.value().events) {
            actions.apply(event);
        }
        revision = events.value().revision;
        if (steady_now() - sent < watch_interval) {
            wait_for_stop(stop, watch_interval);
        }
    }
}

} // namespace fulmar
