// Watches of resources: one upstream watch of the store per prefix feeds a bounded history, from
// which any number of clients read.
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

// The events below a prefix with revisions after `from` up to `head`, without gaps.
struct event_history {
    bool known = false;
    revision_number from;
    revision_number head;
    std::deque<store_event> events;
    std::size_t bytes = 0;
};

// Adds the reply to a watch of the store after `head`. Forgets the oldest events beyond the limits,
// and everything when the store's revision went back.
void append_events(event_history& history, store_events reply, const watch_limits& limits);

// Extends the history to the past with the reply to a watch after `after`. Returns expired when
// that exceeds the limits.
result<void> prepend_events(event_history& history, revision_number after, store_events reply,
                            const watch_limits& limits);

// Formats an event for one client, or nothing when the client may not see it.
using event_format = std::function<std::optional<json>(const store_event&)>;

// Events for one client, and the revision from which the client continues.
struct watch_page {
    std::vector<json> events;
    revision_number revision;
};

// Reads at most a page of the events after a revision. Returns expired when the history does not
// reach back that far.
result<watch_page> read_history(const event_history& history, revision_number after,
                                const event_format& format, const watch_limits& limits);

using watch_callback = std::function<void(result<watch_page>)>;

// The watches of one prefix; safe for use by several threads. Callbacks run without its lock.
class prefix_watch {
  public:
    prefix_watch(std::string prefix, const watch_limits& limits, metrics& counters);

    // Answers with the events after a revision: at once if there are any, otherwise when one comes
    // or, with none, at `due`. Makes one store call when the history does not reach back to the
    // revision. The answer is expired when the store's history doesn't either, and unavailable when
    // too many clients wait or the store could not be reached; the client then repeats the request.
    void wait(store_client& store, revision_number after, time_point now, time_point due,
              event_format format, watch_callback done);

    // Makes one upstream call that waits up to `wait` for an event, and answers the clients whose
    // events came. Returns the store's error.
    result<void> poll(store_client& store, duration wait);

    // Answers the clients whose time is up.
    void expire(time_point now);

    // Tells whether a client waits or did so a short while ago. Without clients nothing is asked of
    // the store.
    bool is_wanted(time_point now) const;

  private:
    struct waiter {
        revision_number after;
        time_point due;
        event_format format;
        watch_callback done;
    };
    using answer = std::pair<watch_callback, result<watch_page>>;

    result<void> reach_back(store_client& store, revision_number after);
    std::vector<answer> collect_answers();

    std::string prefix_;
    watch_limits limits_;
    metrics& counters_;
    mutable std::mutex mutex_;
    event_history history_;
    std::vector<waiter> waiters_;
    time_point last_wanted_;
    bool store_away_ = false;
};

} // namespace fulmar
