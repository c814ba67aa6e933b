#include "scheduler_store.hpp"

#include "peer_rpc.hpp"
#include "scheduler_entries.hpp"
#include "steady_clock.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <future>
#include <set>
#include <thread>

namespace fulmar {

namespace {

// A reply to a watch confirms the returned state as of the time at which the watch was sent. This
// wait plus the round trip must therefore stay well below the freshness bound.
constexpr duration watch_wait{1'500};
constexpr duration config_wait{5'000};
constexpr duration keep_alive_interval{1'500};
constexpr duration retry_interval{500};
constexpr duration peer_timeout{1'000};

// A cell that this instance should claim in the store.
struct wanted_claim {
    cell_id cell;
    epoch_number active;  // epoch of its syncs if it was adopted; 0 if it is not active
    epoch_number highest; // highest epoch read or received
};

// Runs a function on the control thread, waits for it and returns its result.
template <class T, class Function>
T call_on_control_thread(scheduler& self, Function function) {
    std::promise<T> answer;
    auto future = answer.get_future();
    self.queue.post([&] { answer.set_value(function()); });
    return future.get();
}

// Activates a cell whose claim was written, unless it is already active under that epoch.
void apply_claim(scheduler& self, const cell_id& id, epoch_number epoch, revision_number revision,
                 time_point sent, const std::optional<store_entry>& progress) {
    auto& cell = self.cells.at(id);
    const auto now = steady_now();
    if (epoch < cell.epoch || self.members.leaving) {
        cell.claim_to_release = revision;
        return;
    }
    if (epoch > cell.epoch) {
        activate(cell, epoch, now);
        self.quotas_changed = true;
    }
    record_claim(self.members, id, self.instance, epoch, now);
    on_claim_confirmed(cell, revision, sent);
    on_progress_read(cell, progress, now);
    for (const auto& [job, row] : self.jobs) {
        on_job(cell, job, row.record, row.revision, now);
    }
    self.counters.count("fulmar_cell_claims_total");
    spdlog::info("cell {}: claimed at epoch {}", id.value, epoch.value);
}

// Writes a claim, reads the cell's progress and posts both to the control thread.
void write_claim(scheduler& self, store_client& store, const cell_id& id, epoch_number epoch,
                 revision_number expected) {
    const auto sent = steady_now();
    const auto written = write_and_confirm(store, {std::string(cells_prefix) + id.value,
                                                   serialize(cell_claim{self.instance, epoch}),
                                                   expected,
                                                   {}});
    if (!written) {
        self.counters.count("fulmar_claim_failures_total", to_string(written.error().kind));
        return;
    }
    const auto progress = store.get(std::string(progress_prefix) + id.value);
    if (!progress) {
        self.counters.count("fulmar_claim_failures_total", "progress_unread");
        return;
    }
    self.queue.post([&self, id, epoch, revision = written.value(), sent, entry = progress.value()] {
        apply_claim(self, id, epoch, revision, sent, entry);
    });
}

// Lists the cells that this instance should claim: adopted cells, and cells without a live owner
// for which it is the chosen owner.
std::vector<wanted_claim> list_wanted_claims(scheduler& self) {
    return call_on_control_thread<std::vector<wanted_claim>>(self, [&self] {
        std::vector<wanted_claim> wanted;
        const auto now = steady_now();
        if (self.members.leaving) {
            return wanted;
        }
        for (const auto& [id, cell] : self.cells) {
            const auto& ownership = self.members.cells[id];
            const bool owned = cell.claim_revision.value != 0;
            const bool owned_by_live_peer = !ownership.owner.value.empty() &&
                                            ownership.owner != self.instance &&
                                            is_alive(self.members, ownership.owner, now);
            const bool chosen = choose_owner(self.members, id, now) == self.instance;
            if (!owned && !owned_by_live_peer && (chosen || cell.epoch.value != 0)) {
                wanted.push_back(
                    {id, cell.epoch, std::max(ownership.highest_epoch, cell.highest_epoch)});
            }
        }
        return wanted;
    });
}

// Records a claim whose owner is alive according to the store. An adoption at the same or a lower
// epoch ends with that.
void record_live_owner(scheduler& self, const cell_id& id, const cell_claim& claim) {
    self.queue.post([&self, id, claim] {
        on_claim_read(self.cells.at(id), claim, true);
        record_claim(self.members, id, claim.owner, claim.epoch, steady_now());
    });
}

// Claims the wanted cells whose owner in the store has no member record.
void claim_cells(scheduler& self, store_client& store) {
    const auto wanted = list_wanted_claims(self);
    if (wanted.empty()) {
        return;
    }
    const auto members = store.list(std::string(members_prefix));
    if (!members) {
        return;
    }
    std::set<std::string> alive;
    for (const auto& entry : members.value().entries) {
        alive.insert(entry.key.substr(members_prefix.size()));
    }
    for (const auto& cell : wanted) {
        const auto entry = store.get(std::string(cells_prefix) + cell.cell.value);
        if (!entry) {
            return;
        }
        cell_claim stored;
        revision_number revision;
        if (entry.value()) {
            const auto claim = parse_cell_claim(entry.value()->value);
            if (!claim) {
                self.counters.count("fulmar_claim_failures_total", "unreadable");
                continue;
            }
            stored = claim.value();
            revision = entry.value()->revision;
        }
        if (stored.owner != self.instance && alive.contains(stored.owner.value)) {
            record_live_owner(self, cell.cell, stored);
            continue;
        }
        // After an adoption, or when the member lease lapsed and no one else has claimed the cell
        // since, the epoch of this instance's syncs is still the highest one and is kept.
        const bool keeps_epoch =
            cell.active > stored.epoch || (cell.active.value != 0 && cell.active == stored.epoch &&
                                           stored.owner == self.instance);
        const epoch_number next{keeps_epoch ? cell.active.value
                                            : std::max(stored.epoch.value, cell.highest.value) + 1};
        write_claim(self, store, cell.cell, next, revision);
    }
}

void confirm_claims(scheduler& self, time_point sent) {
    self.queue.post([&self, sent] {
        for (auto& [id, cell] : self.cells) {
            if (cell.claim_revision.value != 0) {
                on_claim_confirmed(cell, cell.claim_revision, sent);
            }
        }
    });
}

// Suspends all claims after the member lease lapsed, because another scheduler may hold them now.
// The cells remain active under the worker majority, without starts, until they are claimed again
// or a higher epoch is received.
void suspend_claims(scheduler& self) {
    call_on_control_thread<bool>(self, [&self] {
        for (auto& [id, cell] : self.cells) {
            if (cell.claim_revision.value != 0) {
                self.counters.count("fulmar_claims_suspended_total");
                cell.claim_revision = {};
                cell.claim_confirmed.reset();
            }
            cell.claim_to_release.reset();
        }
        return true;
    });
}

} // namespace

void release_claims(scheduler& self, store_client& store) {
    struct released_claim {
        cell_id cell;
        epoch_number epoch;
        revision_number revision;
    };
    const auto released = call_on_control_thread<std::vector<released_claim>>(self, [&self] {
        std::vector<released_claim> found;
        for (auto& [id, cell] : self.cells) {
            if (cell.claim_to_release) {
                found.push_back({id, self.members.cells[id].highest_epoch, *cell.claim_to_release});
                cell.claim_to_release.reset();
            }
        }
        return found;
    });
    for (const auto& claim : released) {
        // A failed release is not retried: the claim also ends with the member lease.
        static_cast<void>(store.compare_and_swap({std::string(cells_prefix) + claim.cell.value,
                                                  serialize(cell_claim{{}, claim.epoch}),
                                                  claim.revision,
                                                  {}}));
    }
}

void run_registration(scheduler& self) {
    const auto store = make_store(self);
    member_registration member;
    member.instance = self.instance;
    member.ttl = self.options.member_lease;
    member.record = {"fulmar_scheduler",
                     self.options.host.value,
                     to_string(self.options.operator_address),
                     to_string(self.options.heartbeat_address),
                     self.options.data_centre,
                     {}};
    while (!self.stopping) {
        const auto sent = steady_now();
        member.record.generation = self.config.record().generation;
        const auto outcome = keep_registered(member, *store, self.counters);
        self.registered = self.registered || outcome == registration_outcome::alive;
        if (outcome == registration_outcome::alive) {
            confirm_claims(self, sent);
            release_claims(self, *store);
            claim_cells(self, *store);
        } else if (outcome == registration_outcome::lapsed) {
            suspend_claims(self);
            continue;
        } else {
            self.counters.count("fulmar_registration_failures_total");
        }
        std::this_thread::sleep_for(outcome == registration_outcome::alive ? keep_alive_interval
                                                                           : retry_interval);
    }
    release_claims(self, *store);
    unregister(member, *store);
}

void run_watch(scheduler& self, const std::string& prefix) {
    const auto store = make_store(self);
    std::optional<revision_number> revision;
    while (!self.stopping) {
        const auto sent = steady_now();
        std::vector<store_event> events;
        const bool relist = !revision;
        if (relist) {
            auto listing = store->list(prefix);
            if (!listing) {
                std::this_thread::sleep_for(retry_interval);
                continue;
            }
            revision = listing.value().revision;
            for (auto& entry : listing.value().entries) {
                events.push_back({std::move(entry), false});
            }
        } else {
            auto next = store->watch(prefix, *revision, watch_wait);
            if (!next) {
                if (next.error().kind == error_kind::expired) {
                    revision.reset();
                } else {
                    std::this_thread::sleep_for(retry_interval);
                }
                continue;
            }
            revision = next.value().revision;
            events = std::move(next.value().events);
        }
        const bool confirms_state = prefix == data_centres_prefix;
        self.queue.post([&self, events = std::move(events), sent, confirms_state] {
            for (const auto& event : events) {
                apply_event(self, event, sent);
            }
            if (confirms_state) {
                confirm_state(self, sent);
            }
        });
    }
}

void run_config(scheduler& self) {
    const auto store = make_store(self);
    const auto fetch = [&self](const std::string& address) {
        return fetch_config(self.http, address, peer_timeout);
    };
    while (!self.stopping) {
        std::vector<std::string> peers;
        {
            const std::lock_guard lock(self.shared_mutex);
            peers = self.shared_peer_addresses;
        }
        const auto began = steady_now();
        self.config.follow_once(*store, config_wait, peers, fetch);
        if (steady_now() - began < retry_interval) {
            std::this_thread::sleep_for(retry_interval);
        }
    }
}

void commit_progress(scheduler& self, store_client& store, const cell_id& id, epoch_number epoch,
                     const store_write& write) {
    const auto written = write_and_confirm(store, write);
    const bool reread = !written && written.error().kind != error_kind::unavailable;
    const auto entry =
        reread ? store.get(write.key) : result<std::optional<store_entry>>(std::nullopt);
    self.queue.post([&self, id, epoch, written, reread, entry] {
        auto& cell = self.cells.at(id);
        on_progress_written(cell, epoch, written, steady_now());
        if (reread && entry && cell.epoch == epoch) {
            on_progress_read(cell, entry.value(), steady_now());
        }
    });
}

void reread_progress(scheduler& self, store_client& store, const cell_id& id) {
    const auto entry = store.get(std::string(progress_prefix) + id.value);
    if (!entry) {
        return;
    }
    self.queue.post([&self, id, entry = entry.value()] {
        auto& cell = self.cells.at(id);
        if (cell.progress_conflict) {
            on_progress_read(cell, entry, steady_now());
        }
    });
}

} // namespace fulmar
