// Shards: the shard list, and loading, dropping and handing over of owned shards.
#include "host_control.hpp"
#include "shard_handover.hpp"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace fulmar {

namespace {

// Delay between the first worker of an unlisted rack and the extension of the shard list.
constexpr duration shard_list_delay{300};

// A rack is settled when no worker has joined its data centre's unlisted racks for this long. With
// 54 registrations a second in 6 data centres, two of a data centre are 0.1 s apart on average.
constexpr duration rack_settling_time{1'000};

// A rack whose data centre doesn't settle gets a shard of its own after this.
constexpr duration rack_settling_limit{12'000};

constexpr duration size_update_interval{500};

// A shard counts with the most workers that it had within this time.
constexpr duration size_memory{10'000};

} // namespace

// Counts the workers of each shard.
void host_control::update_shard_sizes() {
    if (loop_.now() < next_size_update_) {
        return;
    }
    next_size_update_ = loop_.now() + size_update_interval;
    if (!worker_view_.loaded()) {
        // Owners publish the sizes of their shards; others have the usual size.
        const auto usual = static_cast<std::int64_t>(options_.workers_per_shard);
        for (const auto& shard : shard_list_) {
            shard_sizes_.try_emplace(shard.id, shard_size{usual, loop_.now()});
        }
        for (const auto& [name, peer] : peers_) {
            for (const auto& status : peer.status.shards) {
                if (status.workers > 0) {
                    shard_sizes_[status.id] = {status.workers, loop_.now()};
                }
            }
        }
        return;
    }
    std::map<std::pair<data_centre_id, rack_id>, std::int64_t> racks;
    for (const auto& [id, worker] : worker_entries_) {
        ++racks[{worker.data_centre, worker.rack}];
    }
    for (const auto& shard : shard_list_) {
        std::int64_t workers = 0;
        for (const auto& rack : shard.racks) {
            const auto found = racks.find({shard.data_centre, rack});
            workers += found == racks.end() ? 0 : found->second;
        }
        // Entries that have expired are mostly back soon.
        auto& size = shard_sizes_[shard.id];
        if (workers >= size.workers || loop_.now() > size.seen + size_memory) {
            size = {workers, loop_.now()};
        }
    }
}

// Extends the shard list, after a delay, while a worker's rack belongs to no shard.
void host_control::maintain_shard_list() {
    if (shard_list_update_pending_ || !worker_view_.loaded() || !meta_.loaded() || leaving_) {
        return;
    }
    const bool complete =
        std::all_of(worker_entries_.begin(), worker_entries_.end(), [&](const auto& row) {
            return has_rack(shard_list_, row.second.data_centre, row.second.rack);
        });
    if (complete) {
        return;
    }
    shard_list_update_pending_ = true;
    loop_.call_after(shard_list_delay, [this, alive = alive_] {
        if (*alive) {
            extend_shard_list();
        }
    });
}

// Counts the workers of each rack, and tells the racks that may still grow. Workers that joined
// after the view was last confirmed aren't in it, so that is the time that counts.
rack_map host_control::describe_racks() const {
    const auto confirmed = worker_view_.confirmed().value_or(started_);
    rack_map racks;
    for (const auto& [id, worker] : worker_entries_) {
        auto& rack = racks[{worker.data_centre, worker.rack}];
        ++rack.workers;
        const auto joined = last_join_.find(worker.data_centre);
        rack.settled =
            joined == last_join_.end() || confirmed >= joined->second + rack_settling_time;
        const auto seen = rack_first_seen_.find({worker.data_centre, worker.rack});
        rack.overdue =
            seen != rack_first_seen_.end() && confirmed >= seen->second + rack_settling_limit;
    }
    return racks;
}

// Records that a worker was first seen, if its rack belongs to no shard yet.
void host_control::record_join(const worker_entry& worker) {
    if (has_rack(shard_list_, worker.data_centre, worker.rack)) {
        return;
    }
    last_join_[worker.data_centre] = loop_.now();
    rack_first_seen_.try_emplace({worker.data_centre, worker.rack}, loop_.now());
}

// Adds racks that belong to no shard to the list. One value holds all shards, so that two hosts
// never assign a rack to different shards.
void host_control::extend_shard_list() {
    const auto next = assign_racks(shard_list_, describe_racks(), options_.workers_per_shard);
    const auto count_racks = [](const std::vector<shard_record>& shards) {
        return std::accumulate(
            shards.begin(), shards.end(), std::size_t{0},
            [](std::size_t sum, const shard_record& shard) { return sum + shard.racks.size(); });
    };
    if (count_racks(next) == count_racks(shard_list_)) {
        shard_list_update_pending_ = false;
        maintain_shard_list();
        return;
    }
    store_transaction put;
    put.conditions.push_back({std::string(shard_list_key), shard_list_revision_});
    put.puts.push_back({std::string(shard_list_key), encode(next), {}});
    log_.write_rare("event=shard_list_extended shards={}", next.size());
    store_.commit(std::move(put), [this, alive = alive_](const result<transaction_reply>&) {
        if (!*alive) {
            return;
        }
        // The view shows the outcome; after a conflict or a lost reply, the retry starts from it.
        loop_.call_after(shard_list_delay, [this, alive] {
            if (*alive) {
                shard_list_update_pending_ = false;
                maintain_shard_list();
            }
        });
    });
}

void host_control::activate_shard(const shard_record& shard, epoch_number epoch,
                                  revision_number revision,
                                  std::optional<time_point> predecessors_stored_by) {
    if (owned_.contains(shard.id)) {
        return;
    }
    log_.write_rare("event=shard_claimed shard={} epoch={}", shard.id.value, epoch.value);
    auto next = std::make_shared<owned_shard>();
    next->state = make_shard(shard, self_, epoch, revision, options_.shard, counters_, log_);
    if (options_.regions.size() <= 1) {
        // With one data centre, there is no other one to which its tasks could move.
        next->state.timing.isolated_limit = next->state.timing.unconfirmed_limit;
    }
    next->state.witnesses = choose_witnesses();
    next->state.predecessors_stored_by = predecessors_stored_by;
    // As a witness, this host confirms no former owner. It has been none itself since its start, or
    // since it lost the shard.
    witnessed_epochs_[shard.id] = std::max(witnessed_epochs_[shard.id], epoch);
    on_witness_fenced(next->state, options_.name,
                      fenced_epochs_.contains(shard.id) ? loop_.now() : started_,
                      find_last_confirmation(shard.id));
    owned_.emplace(shard.id, next);
    // The claim may have been written, and replaced, long before this host learned of it.
    check_claim(next);
    load_shard_page(next, "");
}

void host_control::load_shard_page(const shard_pointer& shard, const std::string& after) {
    store_.list(data_prefix(shard->state.id), after, read_mode::linearizable,
                [this, alive = alive_, shard, after](result<store_page> page) {
                    if (!*alive || shard->state.ownership_lost) {
                        return;
                    }
                    if (!page) {
                        loop_.call_after(options_.shard.commit_retry, [this, alive, shard, after] {
                            if (*alive && !shard->state.ownership_lost) {
                                load_shard_page(shard, after);
                            }
                        });
                        return;
                    }
                    auto& received = page.value();
                    for (auto& entry : received.entries) {
                        shard->loading.push_back(std::move(entry));
                    }
                    if (received.more && !shard->loading.empty()) {
                        load_shard_page(shard, shard->loading.back().key);
                        return;
                    }
                    load_shard(shard->state, shard->loading);
                    shard->loading = {};
                    shard->loaded = true;
                    shard->state.loaded_at = loop_.now();
                    attach_workers(*shard);
                    inherit_rooms(*shard);
                    update_start_permissions();
                    schedule_shard(shard);
                    for (const auto& waiting : std::exchange(shard->waiting, {})) {
                        waiting();
                    }
                });
}

bool host_control::owns_worker(const owned_shard& shard, const worker_entry& worker) const {
    return worker.data_centre == shard.state.data_centre && shard.state.racks.contains(worker.rack);
}

void host_control::attach_workers(owned_shard& shard) {
    if (!shard.loaded) {
        return;
    }
    for (const auto& [id, worker] : worker_entries_) {
        if (owns_worker(shard, worker)) {
            on_worker_entry(shard.state, worker, loop_.now());
        }
    }
}

void host_control::drop_shard(const shard_id& id, std::string_view reason) {
    const auto found = owned_.find(id);
    if (found == owned_.end()) {
        return;
    }
    const auto shard = found->second;
    owned_.erase(found);
    last_confirmations_[id] = loop_.now(); // an owner's host always confirms it
    shard->state.ownership_lost = true;
    fenced_epochs_[id] = std::max(fenced_epochs_[id], shard->state.epoch);
    log_.write_rare("event=shard_dropped shard={} epoch={} reason={}", id.value,
                    shard->state.epoch.value, reason);
    counters_.count("shards_dropped", reason);
    if (shard->loaded) {
        record_backlog(summarize(shard->state, loop_.now()));
    }
    if (!shard->state.takeover_complete) {
        clear_takeover_gauges(shard->state); // its next owner reports the wait
    }
    // The outcome of unanswered submissions and cancellations is unknown here; only the next owner
    // can determine whether they were stored.
    for (const auto& [job, submission] : shard->state.submissions) {
        for (const auto token : submission.tokens) {
            const auto waiting = submit_waiting_.extract(token);
            if (!waiting.empty()) {
                waiting.mapped()({token, submit_outcome::unknown, duration(0), "owner_changed"});
            }
        }
    }
    for (const auto& [job, tokens] : shard->state.cancellations) {
        for (const auto token : tokens) {
            const auto waiting = cancel_waiting_.extract(token);
            if (!waiting.empty()) {
                waiting.mapped()(error{error_kind::unavailable, "the shard's owner changed"});
            }
        }
    }
    for (const auto& answer : shard->state.loan_answers) {
        const auto waiting = loan_waiting_.extract(answer.token);
        if (!waiting.empty()) {
            waiting.mapped()(error{error_kind::unavailable, "the shard's owner changed"});
        }
    }
    for (const auto& waiting : std::exchange(shard->waiting, {})) {
        waiting();
    }
    pass_on(id, find_unstored_ends(shard->state));
    next_claim_check_ = loop_.now();
}

// Hands over a shard to another host: stops starting its tasks, and transfers the claim once all
// its state is stored. Until then this is called again at each claim check or when the state is
// stored.
void host_control::transfer_shard(const shard_pointer& shard) {
    auto& state = shard->state;
    if (!shard->loaded || state.handing_over || loop_.now() < shard->next_transfer) {
        return;
    }
    const auto asking = peers_.find(shard->successor);
    if (!leaving_ && (asking == peers_.end() || is_leaving(asking->second))) {
        shard->successor = {};
        state.releasing = false;
        return;
    }
    state.releasing = true;
    schedule_shard(shard);
    if (!can_release(state)) {
        return;
    }
    const shard_record record{state.id, state.data_centre, {}};
    if (leaving_ && awaits_answers(record)) {
        shard->next_transfer = loop_.now() + options_.timing.tick;
        next_claim_check_ = std::min(next_claim_check_, shard->next_transfer);
        return;
    }
    const auto successor = !leaving_ && !shard->successor.value.empty()
                               ? shard->successor
                               : choose_owner(record, options_.name);
    // Without a successor, the owner is left empty, so that any host may claim the shard.
    claim_record next{{}, state.epoch};
    if (!successor.value.empty()) {
        next = {{successor.value + "/" + peers_.at(successor).record.incarnation},
                {state.epoch.value + 1}};
    }
    state.handing_over = true;
    next_owners_[state.id] = successor;
    log_.write_rare("event=shard_handed_over shard={} epoch={} successor={} requested_by={} "
                    "takeover_complete={}",
                    state.id.value, next.epoch.value, next.owner.value, shard->successor.value,
                    state.takeover_complete);
    store_transaction put;
    put.conditions.push_back({claim_key(state.id), state.claim_revision});
    put.conditions.push_back({head_key(state.id), state.head_revision});
    put.puts.push_back({claim_key(state.id), encode(next), {}});
    add_handover_records(state, put, loop_.now());
    auto rooms = encode_passed_rooms(state, next.epoch, loop_.now());
    store_.commit(std::move(put), [this, alive = alive_, shard, next, successor,
                                   rooms = std::move(rooms)](result<transaction_reply> reply) {
        if (!*alive) {
            return;
        }
        shard->state.handing_over = false;
        next_owners_.erase(shard->state.id);
        if (!reply) {
            // Starts continue unless this host is leaving. If the claim was written
            // after all, the successor's higher epoch fences them.
            shard->next_transfer = loop_.now() + options_.shard.commit_retry;
            shard->successor = {};
            shard->state.releasing = leaving_;
            return;
        }
        if (reply.value().applied) {
            claims_[shard->state.id] = {next, *reply.value().applied, loop_.now()};
            notify_successor(successor, shard->state.id);
            pass_on_rooms(successor, rooms);
        }
        drop_shard(shard->state.id, "handed_over");
        maintain_claims();
    });
}

// Returns whether a host has said, in its present life, that it stops.
bool host_control::is_leaving(const peer_row& peer) const {
    return peer.status.leaving && peer.status.incarnation == peer.record.incarnation;
}

// Passes on a shard that was handed over to this host while it stops and that it hasn't loaded.
// Others would wait for its restart. Returns whether the claim names this host.
bool host_control::pass_on_claim(const shard_record& shard) {
    const auto claim = claims_.find(shard.id);
    if (claim == claims_.end() || claim->second.record.owner != self_ ||
        claim->second.record.epoch <= fenced_epochs_[shard.id] || owned_.contains(shard.id)) {
        return false;
    }
    if (awaits_answers(shard) || !claiming_.insert(shard.id).second) {
        return true;
    }
    const auto epoch = claim->second.record.epoch;
    const auto successor = choose_owner(shard, options_.name);
    next_owners_[shard.id] = successor;
    claim_record next{{}, epoch};
    if (!successor.value.empty()) {
        next = {{successor.value + "/" + peers_.at(successor).record.incarnation},
                {epoch.value + 1}};
    }
    log_.write_rare("event=claim_passed_on shard={} epoch={} successor={}", shard.id.value,
                    next.epoch.value, next.owner.value);
    store_transaction put;
    put.conditions.push_back({claim_key(shard.id), claim->second.revision});
    put.puts.push_back({claim_key(shard.id), encode(next), {}});
    store_.commit(std::move(put), [this, alive = alive_, id = shard.id, next,
                                   successor](result<transaction_reply> reply) {
        if (!*alive) {
            return;
        }
        claiming_.erase(id);
        next_owners_.erase(id);
        if (!reply || !reply.value().applied) {
            return; // repeated at the next check, or the view shows another owner by then
        }
        claims_[id] = {next, *reply.value().applied, loop_.now()};
        notify_successor(successor, id);
        maintain_claims();
    });
    return true;
}

// Has a successor read its claim at once: its watch may hang.
void host_control::notify_successor(const host_id& successor, const shard_id& shard) {
    if (const auto peer = peers_.find(successor); peer != peers_.end()) {
        peers_link_.call(peer->second.record.address, "claims", shard.value,
                         options_.timing.peer_timeout, [](const result<std::string>&) {});
    }
}

std::size_t host_control::overdue_takeovers() const {
    // One that takes longer waits for a majority of the workers or witnesses.
    const auto usual_limit = usual_takeover_limit(options_.shard);
    return static_cast<std::size_t>(
        std::count_if(owned_.begin(), owned_.end(), [&](const auto& row) {
            const auto& shard = *row.second;
            return shard.loaded && !shard.state.takeover_complete &&
                   loop_.now() - shard.state.loaded_at > usual_limit;
        }));
}

} // namespace fulmar
