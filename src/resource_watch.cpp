#include "resource_watch.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Clients repeat a watch within their network's delay. After this time without a client, the
// upstream watch ends.
constexpr duration idle_limit{30'000};

std::size_t size_of(const store_event& event) {
    return event.entry.key.size() + event.entry.value.size();
}

void drop_oldest_events(event_history& history, const watch_limits& limits) {
    while (history.events.size() > limits.history_events || history.bytes > limits.history_bytes) {
        history.from = history.events.front().entry.revision;
        history.bytes -= size_of(history.events.front());
        history.events.pop_front();
    }
}

void restart_history(event_history& history, revision_number at) {
    history = {};
    history.initialized = true;
    history.from = at;
    history.head = at;
}

error history_expired_error(revision_number after) {
    return {error_kind::expired, "events after revision " + std::to_string(after.value) +
                                     " are no longer available; list again and watch from the "
                                     "listed revision"};
}

} // namespace

void append_events(event_history& history, store_events reply, const watch_limits& limits) {
    if (reply.revision < history.head) {
        // Either a client named a revision that the store has not reached, or the store lost
        // writes. In both cases the events up to the store's present revision are unknown.
        restart_history(history, reply.revision);
        return;
    }
    for (auto& event : reply.events) {
        if (event.entry.revision <= history.head) {
            continue;
        }
        history.bytes += size_of(event);
        history.events.push_back(std::move(event));
    }
    history.head = reply.revision;
    drop_oldest_events(history, limits);
}

result<void> prepend_events(event_history& history, revision_number after, store_events reply,
                            const watch_limits& limits) {
    if (!history.initialized) {
        restart_history(history, std::min(after, reply.revision));
        append_events(history, std::move(reply), limits);
        return history.from <= after ? result<void>(outcome::success())
                                     : history_expired_error(after);
    }
    if (history.from <= after) {
        return outcome::success(); // another client's call has extended the history meanwhile
    }
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const auto& event : reply.events) {
        if (event.entry.revision > history.from) {
            break;
        }
        bytes += size_of(event);
        ++count;
    }
    if (history.events.size() + count > limits.history_events ||
        history.bytes + bytes > limits.history_bytes || reply.revision < history.from) {
        return history_expired_error(after);
    }
    history.events.insert(
        history.events.begin(), std::make_move_iterator(reply.events.begin()),
        std::make_move_iterator(reply.events.begin() + static_cast<std::ptrdiff_t>(count)));
    history.bytes += bytes;
    history.from = after;
    return outcome::success();
}

result<watch_page> read_history(const event_history& history, revision_number after,
                                const event_format& format, const watch_limits& limits) {
    if (!history.initialized || after < history.from) {
        return history_expired_error(after);
    }
    watch_page page{{}, std::max(after, history.head)};
    std::size_t bytes = 0;
    auto at = std::upper_bound(
        history.events.begin(), history.events.end(), after,
        [](revision_number r, const store_event& event) { return r < event.entry.revision; });
    for (; at != history.events.end(); ++at) {
        auto formatted = format(*at);
        if (!formatted) {
            continue;
        }
        page.events.push_back(std::move(*formatted));
        bytes += size_of(*at);
        if (page.events.size() >= limits.page_events || bytes >= limits.page_bytes) {
            page.revision = at->entry.revision;
            break;
        }
    }
    return page;
}

prefix_watch::prefix_watch(std::string prefix, const watch_limits& limits, metrics& counters)
    : prefix_(std::move(prefix))
    , limits_(limits)
    , counters_(counters) {}

result<void> prefix_watch::extend_back(store_client& store, revision_number after) {
    {
        const std::lock_guard lock(mutex_);
        if (history_.initialized && history_.from <= after) {
            return outcome::success();
        }
    }
    counters_.count("fulmar_watch_upstream_calls_total", "reach_back");
    auto reply = store.watch(prefix_, after, duration(0));
    if (!reply) {
        return reply.error();
    }
    const std::lock_guard lock(mutex_);
    return prepend_events(history_, after, std::move(reply.value()), limits_);
}

void prefix_watch::wait(store_client& store, revision_number after, time_point now,
                        time_point deadline, event_format format, watch_callback done) {
    const auto extended = extend_back(store, after);
    result<watch_page> page = watch_page{};
    if (!extended) {
        page = extended.error();
    } else {
        const std::lock_guard lock(mutex_);
        last_wait_time_ = now;
        page = read_history(history_, after, format, limits_);
        if (page && page.value().events.empty()) {
            if (waiters_.size() < limits_.waiters) {
                waiters_.push_back({after, deadline, std::move(format), std::move(done)});
                return;
            }
            page = error{error_kind::unavailable, "too many watches are waiting at this host"};
        }
    }
    if (!page) {
        counters_.count("fulmar_watch_refusals_total", to_string(page.error().kind));
    }
    done(std::move(page));
}

std::vector<prefix_watch::answer> prefix_watch::collect_answers() {
    std::vector<answer> answers;
    std::erase_if(waiters_, [&](waiter& w) {
        auto page = read_history(history_, w.after, w.format, limits_);
        if (page && page.value().events.empty()) {
            // Skip the events that this client may not see in later scans.
            w.after = page.value().revision;
            return false;
        }
        answers.emplace_back(std::move(w.done), std::move(page));
        return true;
    });
    return answers;
}

result<void> prefix_watch::poll(store_client& store, duration wait) {
    revision_number head;
    {
        const std::lock_guard lock(mutex_);
        if (!history_.initialized) {
            return outcome::success(); // the first client's call initializes the history
        }
        head = history_.head;
    }
    counters_.count("fulmar_watch_upstream_calls_total", "watch");
    auto reply = store.watch(prefix_, head, wait);
    std::vector<answer> answers;
    {
        const std::lock_guard lock(mutex_);
        store_unreachable_ = !reply;
        if (reply) {
            append_events(history_, std::move(reply.value()), limits_);
        } else if (reply.error().kind == error_kind::expired) {
            history_ = {};
        } else {
            return reply.error();
        }
        answers = collect_answers();
    }
    for (auto& [done, page] : answers) {
        done(std::move(page));
    }
    return reply ? result<void>(outcome::success()) : reply.error();
}

void prefix_watch::expire(time_point now) {
    std::vector<answer> answers;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(waiters_, [&](waiter& w) {
            if (now < w.deadline) {
                return false;
            }
            const error unreachable{error_kind::unavailable,
                                    "the store is unreachable; repeat the watch "
                                    "from the same revision"};
            answers.emplace_back(std::move(w.done),
                                 store_unreachable_ ? result<watch_page>(unreachable)
                                                    : result<watch_page>(watch_page{{}, w.after}));
            return true;
        });
    }
    for (auto& [done, page] : answers) {
        done(std::move(page));
    }
}

bool prefix_watch::has_recent_clients(time_point now) const {
    const std::lock_guard lock(mutex_);
    return !waiters_.empty() || (history_.initialized && now - last_wait_time_ < idle_limit);
}

} // namespace fulmar
