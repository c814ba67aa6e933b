// A local copy of the store's keys under one prefix, kept up to date by watching.
#pragma once

#include "fulmar/async_store.hpp"
#include "fulmar/decision_log.hpp"
#include "fulmar/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fulmar {

struct store_view_options {
    std::string prefix;
    duration wait{10'000};          // of one watch call
    duration min_watch_interval{0}; // between two watch calls, to batch frequent changes
    // Bytes of entries that may be read in a second while they change; 0: no limit. Large entries
    // that change are then listed after a pause, as a watch returns each of their versions.
    std::int64_t bytes_per_second = 0;
    duration retry{300};         // after a failed call; doubled up to retry_limit
    duration retry_limit{1'500}; // bounds the time to detect that the store answers again
};

class store_view {
  public:
    // Called for each change; `entry` is null if the key was deleted.
    using change_handler = std::function<void(const std::string& key, const store_entry* entry)>;
    // Called after the first load and after each reload.
    using load_handler = std::function<void()>;

    store_view(async_store& store, event_loop& loop, decision_log& log, store_view_options options,
               change_handler on_change, load_handler on_load);

    void start();
    void stop();

    // Makes no calls until resume(), which lists the prefix again once a call in flight has ended.
    void pause();
    void resume();
    bool paused() const { return state_->paused; }

    // Drops the content of a paused view without calling the change handler; loaded() is false
    // until the list after the next resume().
    void forget();

    bool loaded() const { return state_->loaded; }
    const std::map<std::string, store_entry>& entries() const { return state_->entries; }

    // Returns the send time of the last call that confirmed the content as current.
    std::optional<time_point> confirmed() const { return state_->confirmed; }

    // Returns the store's revision up to which the content is complete.
    revision_number revision() const { return state_->revision; }

    // Returns whether the last call succeeded.
    bool healthy() const { return state_->healthy; }

    // Applies entries that a peer read. Content older than this view's is ignored; `confirmed` is
    // the send time of the request to the peer.
    void merge(const std::map<std::string, store_entry>& entries, revision_number revision,
               time_point confirmed);

  private:
    struct state {
        async_store& store;
        event_loop& loop;
        decision_log& log;
        store_view_options options;
        change_handler on_change;
        load_handler on_load;
        std::map<std::string, store_entry> entries{};
        std::map<std::string, store_entry> listing{}; // pages of a load in progress
        revision_number listing_revision{};
        revision_number revision{};
        std::optional<time_point> confirmed{};
        bool loaded = false;
        bool healthy = false;
        bool stopped = false;
        bool paused = false;
        bool forgotten = false; // the content was dropped while paused
        bool active = false;    // a call is in flight, or scheduled
        duration backoff{0};
        time_point last_watch{};
        std::int64_t received_bytes = 0; // by the last call, or by the pages of a list
        bool pacing = false; // large changes arrive, so the next call is a list after a pause
    };

    static void load_page(const std::shared_ptr<state>& self, const std::string& after,
                          time_point load_started);
    static duration paced_pause(const state& self);
    static void schedule_next(const std::shared_ptr<state>& self);
    static void call_next(const std::shared_ptr<state>& self, bool reload);
    static void watch(const std::shared_ptr<state>& self);
    static void retry(const std::shared_ptr<state>& self, const error& failure, bool reload);
    static void record_success(state& self);
    // Returns whether the content differs.
    static bool replace(state& self, std::map<std::string, store_entry> content);

    std::shared_ptr<state> state_;
};

} // namespace fulmar
