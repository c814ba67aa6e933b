#include "store_view.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// A shorter pause isn't worth a list, which repeats the last version if nothing has changed.
constexpr duration shortest_paced_pause{100};

// Bounds the age of the content, whatever its size.
constexpr duration longest_paced_pause{800};

std::int64_t size_of(const store_entry& entry) {
    return static_cast<std::int64_t>(entry.key.size() + entry.value.size());
}

} // namespace

store_view::store_view(async_store& store, event_loop& loop, decision_log& log,
                       store_view_options options, change_handler on_change, load_handler on_load)
    : state_(std::make_shared<state>(state{.store = store,
                                           .loop = loop,
                                           .log = log,
                                           .options = std::move(options),
                                           .on_change = std::move(on_change),
                                           .on_load = std::move(on_load)})) {}

void store_view::start() {
    call_next(state_, true);
}

void store_view::stop() {
    state_->stopped = true;
}

void store_view::pause() {
    state_->paused = true;
}

void store_view::resume() {
    const bool was_paused = std::exchange(state_->paused, false);
    state_->forgotten = false;
    if (was_paused && !state_->active) {
        call_next(state_, true);
    }
}

void store_view::forget() {
    state_->entries.clear();
    state_->revision = {};
    state_->loaded = false;
    state_->forgotten = true;
}

// Makes the next call unless the view is stopped or paused.
void store_view::call_next(const std::shared_ptr<state>& self, bool reload) {
    self->active = !self->stopped && !self->paused;
    if (!self->active) {
        return;
    }
    if (reload) {
        load_page(self, "", self->loop.now());
    } else {
        watch(self);
    }
}

void store_view::merge(const std::map<std::string, store_entry>& entries, revision_number revision,
                       time_point confirmed) {
    auto& self = *state_;
    if (revision > self.revision) {
        replace(self, entries);
        self.revision = revision;
        const bool first = !std::exchange(self.loaded, true);
        if (first) {
            self.on_load();
        }
    }
    if (revision >= self.revision) {
        self.confirmed = std::max(self.confirmed.value_or(confirmed), confirmed);
    }
}

// Replaces the content and calls the change handler for each difference.
bool store_view::replace(state& self, std::map<std::string, store_entry> content) {
    std::map<std::string, store_entry> old;
    old.swap(self.entries);
    self.entries = std::move(content);
    bool changed = false;
    for (const auto& [key, entry] : old) {
        if (!self.entries.contains(key)) {
            changed = true;
            self.on_change(key, nullptr);
        }
    }
    for (const auto& [key, entry] : self.entries) {
        const auto known = old.find(key);
        if (known == old.end() || known->second.revision != entry.revision) {
            changed = true;
            self.on_change(key, &entry);
        }
    }
    return changed;
}

void store_view::load_page(const std::shared_ptr<state>& self, const std::string& after,
                           time_point load_started) {
    if (after.empty()) {
        self->listing.clear();
        self->listing_revision = {};
        self->received_bytes = 0;
    }
    self->store.list(self->options.prefix, after, read_mode::linearizable,
                     [self, load_started, after](result<store_page> page) {
                         if (self->stopped) {
                             return;
                         }
                         if (self->forgotten) {
                             self->active = false;
                             return;
                         }
                         if (!page) {
                             retry(self, page.error(), true);
                             return;
                         }
                         auto& received = page.value();
                         // The pages are not one snapshot. Watching from the first page's revision
                         // repeats the changes that later pages may or may not include.
                         if (after.empty()) {
                             self->listing_revision = received.revision;
                         }
                         std::string last;
                         for (auto& entry : received.entries) {
                             last = entry.key;
                             self->received_bytes += size_of(entry);
                             self->listing.insert_or_assign(last, std::move(entry));
                         }
                         if (received.more && !last.empty()) {
                             load_page(self, last, load_started);
                             return;
                         }
                         record_success(*self);
                         bool changed = false;
                         if (self->listing_revision >= self->revision) {
                             changed = replace(*self, std::move(self->listing));
                             self->revision = self->listing_revision;
                             self->confirmed =
                                 std::max(self->confirmed.value_or(load_started), load_started);
                             self->loaded = true;
                             self->on_load();
                         }
                         self->pacing = self->pacing && changed;
                         schedule_next(self);
                     });
}

// Returns the time in which as much may be read as the last call returned.
duration store_view::paced_pause(const state& self) {
    const auto rate = self.options.bytes_per_second;
    return std::min(duration(rate == 0 ? 0 : self.received_bytes * 1'000 / rate),
                    longest_paced_pause);
}

// Makes the next call, at once or after the pause between calls.
void store_view::schedule_next(const std::shared_ptr<state>& self) {
    const auto watch_pause = self->last_watch + self->options.min_watch_interval - self->loop.now();
    const auto pause = self->pacing ? paced_pause(*self) : watch_pause;
    if (pause.count() <= 0) {
        call_next(self, self->pacing);
        return;
    }
    self->loop.call_after(pause, [self] { call_next(self, self->pacing); });
}

void store_view::watch(const std::shared_ptr<state>& self) {
    const auto sent = self->loop.now();
    self->last_watch = sent;
    self->store.watch(self->options.prefix, self->revision, self->options.wait,
                      [self, sent](result<store_events> reply) {
                          if (self->stopped) {
                              return;
                          }
                          if (!self->loaded) {
                              call_next(self, true); // the content was dropped meanwhile
                              return;
                          }
                          if (!reply) {
                              // A revision that the store has compacted, or a reply that can't
                              // be parsed, fails again at the same revision, so the view is
                              // reloaded.
                              const auto kind = reply.error().kind;
                              retry(self, reply.error(),
                                    kind == error_kind::expired ||
                                        kind == error_kind::protocol_error);
                              return;
                          }
                          record_success(*self);
                          auto& received = reply.value();
                          self->received_bytes = 0;
                          for (auto& event : received.events) {
                              self->received_bytes += size_of(event.entry);
                              // A peer's newer content may have arrived meanwhile.
                              if (event.entry.revision <= self->revision) {
                                  continue;
                              }
                              const auto key = event.entry.key;
                              const auto known = self->entries.find(key);
                              if (known != self->entries.end() &&
                                  known->second.revision >= event.entry.revision) {
                                  continue;
                              }
                              if (event.deleted) {
                                  if (known != self->entries.end()) {
                                      self->entries.erase(known);
                                      self->on_change(key, nullptr);
                                  }
                              } else {
                                  auto& entry = self->entries[key] = std::move(event.entry);
                                  self->on_change(key, &entry);
                              }
                          }
                          self->revision = std::max(self->revision, received.revision);
                          self->confirmed = std::max(self->confirmed.value_or(sent), sent);
                          self->pacing = paced_pause(*self) >= shortest_paced_pause;
                          schedule_next(self);
                      });
}

// Records that the store has answered.
void store_view::record_success(state& self) {
    if (!std::exchange(self.healthy, true)) {
        self.log.write_rare("event=store_view_current prefix={} revision={}", self.options.prefix,
                            self.revision.value);
    }
    self.backoff = duration(0);
}

void store_view::retry(const std::shared_ptr<state>& self, const error& failure, bool reload) {
    if (std::exchange(self->healthy, false)) {
        self->log.write_rare("event=store_view_stale prefix={} revision={} reason={} reload={}",
                             self->options.prefix, self->revision.value, to_string(failure.kind),
                             reload);
    }
    if (!self->loaded) {
        self->log.write_rare("event=store_view_load_failed prefix={} reason={}",
                             self->options.prefix, to_string(failure.kind));
    }
    self->backoff = std::clamp(self->backoff * 2, self->options.retry, self->options.retry_limit);
    self->loop.call_after(self->backoff,
                          [self, reload] { call_next(self, reload || !self->loaded); });
}

} // namespace fulmar
