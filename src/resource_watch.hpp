// Watches of resources. One upstream watch of the store per prefix fills a bounded event history,
// from which any number of clients read.
#pragma once

#include "fulmar/json.hpp"
#include "fulmar/metrics.hpp"
#include "fulmar/store.hpp"

#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace fulmar {

struct watch_limits {
    std::size_t history_events = 4'096;
    std::size_t history_bytes = 8 * 1024 * 1024;
    std::size_t page_events = 256;
    std::size_t page_bytes = 512 * 1024;
    std::size_t waiters = 512;
};

// All events of a prefix with revisions after `from` up to and including `head`, without gaps.
struct event_history {
    bool initialized = false;
    revision_number from;
    revision_number head;
    std::deque<store_event> events;
    std::size_t bytes = 0;
};

// Appends the store's reply to a watch after `head`. Drops the oldest events beyond the limits, and
// all events if the store's revision is lower than `head`.
void append_events(event_history& history, store_events reply, const watch_limits& limits);

// Extends the history to earlier revisions with the store's reply to a watch after `after`. Returns
// expired if that exceeds the limits.
result<void> prepend_events(event_history& history, revision_number after, store_events reply,
                            const watch_limits& limits);

// Formats an event for one client. Returns nothing if the client may not see it.
using event_format = std::function<std::optional<json>(const store_event&)>;

// Events for one client, and the revision from which the client continues.
struct watch_page {
    std::vector<json> events;
    revision_number revision;
};

// Reads at most one page of the events after a revision. Returns expired if the history starts
// later.
result<watch_page> read_history(const event_history& history, revision_number after,
                                const event_format& format, const watch_limits& limits);

using watch_callback = std::function<void(result<watch_page>)>;

// The watches of one prefix. Thread-safe; callbacks are called without the lock held.
class prefix_watch {
  public:
    prefix_watch(std::string prefix, const watch_limits& limits, metrics& counters);

    // Calls `done` with the events after a revision: immediately if there are any, otherwise when
    // one arrives or, without events, at `deadline`. Makes one store call if the history starts
    // after the revision. The result is expired if the store's history starts after it too, and
    // unavailable if too many clients wait or the store is unreachable; the client then repeats the
    // request.
    void wait(store_client& store, revision_number after, time_point now, time_point deadline,
              event_format format, watch_callback done);

    // Makes one upstream call that waits up to `wait` for an event, and answers the clients for
    // which events arrived. Returns the store's error.
    result<void> poll(store_client& store, duration wait);

    // Answers the clients whose deadline has passed.
    void expire(time_point now);

    // Returns whether a client waits or did so a short time ago. Without clients no store calls
    // are made.
    bool has_recent_clients(time_point now) const;

  private:
    struct waiter {
        revision_number after;
        time_point deadline;
        event_format format;
        watch_callback done;
    };
    using answer = std::pair<watch_callback, result<watch_page>>;

    result<void> extend_back(store_client& store, revision_number after);
    std::vector<answer> collect_answers();

    std::string prefix_;
    watch_limits limits_;
    metrics& counters_;
    mutable std::mutex mutex_;
    event_history history_;
    std::vector<waiter> waiters_;
    time_point last_wait_time_;
    bool store_unreachable_ = false;
};

} // namespace fulmar
