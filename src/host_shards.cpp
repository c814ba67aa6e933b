// Ownership of shards: choice of owner, claims, loading and handover.
#include "host_control.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <numeric>

namespace fulmar {

namespace {

constexpr duration claim_check_interval{200};

// Delay between the first worker of an unlisted rack and the extension of the shard list.
constexpr duration shard_list_delay{300};

// A rack is settled when no worker has joined its data centre's unlisted racks for this long. With
// 54 registrations a second in 6 data centres, two of a data centre are 0.1 s apart on average.
constexpr duration rack_settling_time{1'000};

// A rack whose data centre doesn't settle gets a shard of its own after this.
constexpr duration rack_settling_limit{5'000};

// Returns the name in "name/incarnation".
host_id host_name_of(const host_id& owner) {
    return {owner.value.substr(0, owner.value.find('/'))};
}

std::uint64_t rendezvous_hash(const shard_id& shard, const host_id& host) {
    const auto text = shard.value + "|" + host.value;
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

std::string_view host_control::describe(claim_reason reason) {
    switch (reason) {
    case claim_reason::none:
        return "none";
    case claim_reason::unowned:
        return "unowned";
    case claim_reason::own_restart:
        return "own_restart";
    case claim_reason::owner_restart:
        return "owner_restart";
    case claim_reason::owner_without_store:
        return "owner_without_store";
    case claim_reason::owner_silent:
        return "owner_silent";
    case claim_reason::lost_epoch:
        return "lost_epoch";
    }
    return "";
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
    const auto now = loop_.now();
    const auto confirmed = worker_view_.confirmed().value_or(started_);
    rack_map racks;
    for (const auto& [id, worker] : worker_entries_) {
        auto& rack = racks[{worker.data_centre, worker.rack}];
        ++rack.workers;
        const auto joined = last_join_.find(worker.data_centre);
        rack.settled =
            joined == last_join_.end() || confirmed >= joined->second + rack_settling_time;
        const auto seen = rack_first_seen_.find({worker.data_centre, worker.rack});
        rack.overdue = seen != rack_first_seen_.end() && now >= seen->second + rack_settling_limit;
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

std::size_t host_control::count_owned(const host_id& owner) const {
    return static_cast<std::size_t>(
        std::count_if(claims_.begin(), claims_.end(), [&](const auto& row) {
            return host_name_of(row.second.record.owner) == owner;
        }));
}

// Returns the host that should own a shard, excluding `except`; empty if there is none. Live hosts
// that reach the store come first, then the nearest ones, then those with the fewest shards
// relative to their processor share; ties go to the highest rendezvous hash.
host_id host_control::choose_owner(const shard_record& shard, const host_id& except) const {
    struct option {
        bool store_unreachable; // for longer than the outage limit
        int distance;
        double load;
        std::uint64_t hash;
        host_id name;
    };
    const auto region_of = [&](const data_centre_id& data_centre) {
        const auto found = options_.regions.find(data_centre);
        return found == options_.regions.end() ? region_id{} : found->second;
    };
    const auto make = [&](const host_id& name, const data_centre_id& data_centre,
                          std::int64_t weight, std::int64_t store_unreachable_ms) {
        const int distance = data_centre == shard.data_centre                         ? 0
                             : region_of(data_centre) == region_of(shard.data_centre) ? 1
                                                                                      : 2;
        const auto load = static_cast<double>(count_owned(name) + 1) /
                          static_cast<double>(std::max<std::int64_t>(1, weight));
        const bool store_unreachable =
            store_unreachable_ms > options_.timing.store_outage_limit.count();
        return option{store_unreachable, distance, load, rendezvous_hash(shard.id, name), name};
    };
    std::optional<option> best;
    const auto add_option = [&](const option& next) {
        if (next.name == except) {
            return;
        }
        if (!best || std::tie(next.store_unreachable, next.distance, next.load, best->hash,
                              next.name) < std::tie(best->store_unreachable, best->distance,
                                                    best->load, next.hash, best->name)) {
            best = next;
        }
    };
    if (!leaving_) {
        add_option(make(options_.name, options_.data_centre, options_.weight,
                        store_.unreachable_for().count()));
    }
    for (const auto& [name, peer] : peers_) {
        if (is_alive(peer) && peer.status.incarnation == peer.record.incarnation) {
            add_option(make(name, peer.record.data_centre, peer.record.weight,
                            peer.status.store_unreachable_ms));
        }
    }
    return best ? best->name : host_id{};
}

// Returns whether this host should claim a shard now. Nearer hosts act first.
host_control::claim_reason host_control::should_claim(const shard_record& shard,
                                                      const claim_row* claim) const {
    using enum claim_reason;
    const auto now = loop_.now();
    const auto& timing = options_.timing;
    const int distance = distance_to(shard.data_centre);
    const auto owner_timeout = distance == 0   ? timing.local_owner_timeout
                               : distance == 1 ? timing.region_owner_timeout
                                               : timing.remote_owner_timeout;
    const auto startup_grace_end = started_ + timing.local_gossip_interval * 2;
    if (claim == nullptr || claim->record.owner.value.empty()) {
        const auto first_seen =
            claim != nullptr ? claim->first_seen : shard_first_seen_.at(shard.id);
        const auto wait = distance == 0 ? duration(0) : owner_timeout;
        const bool due = now >= std::max(startup_grace_end, first_seen + wait);
        return due && choose_owner(shard, {}) == options_.name ? unowned : none;
    }
    const auto owner = host_name_of(claim->record.owner);
    if (owner == options_.name) {
        return claim->record.owner != self_ ? own_restart : none;
    }
    const auto peer = peers_.find(owner);
    // An owner has restarted if a registration newer than its claim names another incarnation. With
    // an older registration, the current one just hasn't been received yet.
    const bool restarted =
        peer != peers_.end() && peer->second.registered_revision > claim->revision &&
        claim->record.owner.value != owner.value + "/" + peer->second.record.incarnation;
    if (restarted) {
        const bool due = now >= startup_grace_end;
        return due && choose_owner(shard, {}) == options_.name ? owner_restart : none;
    }
    auto last_received = std::max(started_, claim->first_seen);
    if (peer != peers_.end() && peer->second.last_received) {
        last_received = std::max(last_received, *peer->second.last_received);
    }
    // An owner that can't write to the store is replaced by a host that can. After an outage that
    // affects all hosts, each detects the store's return at a different time, so the first one
    // waits for the others. Hosts without shards send datagrams only within their data centre, so
    // nearer hosts act first.
    const auto outage_limit =
        timing.store_outage_limit + owner_timeout - timing.local_owner_timeout;
    const bool lacks_store = peer != peers_.end() && is_alive(peer->second) &&
                             peer->second.status.store_unreachable_ms > outage_limit.count() &&
                             store_.healthy_for(timing.store_outage_limit);
    if (lacks_store) {
        return choose_owner(shard, owner) == options_.name ? owner_without_store : none;
    }
    // An owner that is reachable from other hosts is only disconnected from this one.
    if (now - last_received <= owner_timeout || is_reachable_from_others(owner)) {
        return none;
    }
    const bool chosen =
        choose_owner(shard, owner) == options_.name || now - last_received > owner_timeout * 2;
    return chosen ? owner_silent : none;
}

bool host_control::is_reachable_from_others(const host_id& name) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& row) {
        const auto& reachable = row.second.status.reachable_owners;
        return is_alive(row.second) &&
               std::find(reachable.begin(), reachable.end(), name) != reachable.end();
    });
}

// Requests the handover of a shard that this host should own: a shard of its data centre whose
// owner is in another data centre, or, while this host owns none, one of several shards of the same
// owner.
void host_control::request_shards() {
    const auto now = loop_.now();
    if (now < next_shard_request_ || now < started_ + options_.timing.settling_time) {
        return;
    }
    for (const auto& shard : shard_list_) {
        const auto claim = claims_.find(shard.id);
        if (shard.data_centre != options_.data_centre || claim == claims_.end() ||
            now < claim->second.first_seen + options_.timing.settling_time) {
            continue;
        }
        const auto owner = host_name_of(claim->second.record.owner);
        const auto peer = peers_.find(owner);
        if (peer == peers_.end() || !is_alive(peer->second)) {
            continue;
        }
        const bool remote = peer->second.record.data_centre != options_.data_centre;
        if (!remote && (!owned_.empty() || count_owned(owner) < 2)) {
            continue;
        }
        next_shard_request_ = now + options_.timing.settling_time;
        log_.write_rare("event=shard_asked_for shard={} owner={} remote={} owner_shards={}",
                        shard.id.value, owner.value, remote, count_owned(owner));
        const json body{{"shard", shard.id}, {"host", options_.name}};
        peers_link_.call(peer->second.record.address, "yield", body.dump(),
                         options_.timing.peer_timeout, [](const result<std::string>&) {});
        return;
    }
}

// Hands over a shard to the host that requested it if that host is nearer to the shard's workers or
// this host owns several shards.
void host_control::answer_yield_call(const std::string& body, const peer_reply& reply) {
    const auto in = json::parse(body, nullptr, false);
    const shard_id id{in.is_object() ? in.value("shard", "") : ""};
    const host_id host{in.is_object() ? in.value("host", "") : ""};
    const auto shard = find_owned(id);
    const auto peer = peers_.find(host);
    if (!shard || !shard->loaded || peer == peers_.end() || !orders_.healthy()) {
        reply(error{error_kind::unavailable, "the shard can't be handed over now"});
        return;
    }
    const bool nearer = peer->second.record.data_centre == shard->state.data_centre &&
                        options_.data_centre != shard->state.data_centre;
    if (nearer || owned_.size() > 1) {
        shard->successor = host;
        transfer_shard(shard);
    }
    reply(std::string());
}

// Claims the shards that this host should own and continues the requested handovers. While this
// host is leaving, hands over all shards instead, and then calls the handler passed to drain().
void host_control::maintain_claims() {
    next_claim_check_ = loop_.now() + claim_check_interval;
    if (!meta_.loaded()) {
        return;
    }
    if (leaving_) {
        bool all_handed_over = true;
        for (const auto& [id, shard] : std::map(owned_)) {
            transfer_shard(shard);
            all_handed_over = false;
        }
        if (all_handed_over && on_drained_) {
            std::exchange(on_drained_, {})();
        }
        return;
    }
    for (const auto& [id, shard] : std::map(owned_)) {
        if (!shard->successor.value.empty()) {
            transfer_shard(shard);
        }
    }
    for (const auto& shard : std::vector(shard_list_)) {
        if (owned_.contains(shard.id) || claiming_.contains(shard.id)) {
            continue;
        }
        const auto row = claims_.find(shard.id);
        const auto* claim = row == claims_.end() ? nullptr : &row->second;
        if (claim != nullptr && claim->record.owner == self_) {
            // The shard was handed over to this host, unless this host already lost it in that
            // epoch because workers rejected the epoch: then a newer claim exists that the view
            // doesn't show yet.
            if (claim->record.epoch > fenced_epochs_[shard.id]) {
                activate_shard(shard, claim->record.epoch, claim->revision);
            } else if (meta_.healthy() &&
                       loop_.now() > claim->first_seen + options_.timing.settling_time) {
                claim_shard(shard, claim, claim_reason::lost_epoch);
            }
        } else if (const auto reason = should_claim(shard, claim); reason != claim_reason::none) {
            claim_shard(shard, claim, reason);
        }
    }
    request_shards();
}

void host_control::claim_shard(const shard_record& shard, const claim_row* claim,
                               claim_reason reason) {
    const claim_record next{self_, {claim == nullptr ? 1 : claim->record.epoch.value + 1}};
    const auto revision = claim == nullptr ? revision_number{} : claim->revision;
    claiming_.insert(shard.id);
    const auto now = loop_.now();
    const auto owner = claim == nullptr ? host_id{} : claim->record.owner;
    const auto peer = peers_.find(host_name_of(owner));
    const bool received = peer != peers_.end() && peer->second.last_received;
    log_.write_rare("event=claim_attempt shard={} epoch={} previous_owner={} reason={} "
                    "owner_silent_ms={} claim_age_ms={} view_age_ms={} delay_ms={} owned={}",
                    shard.id.value, next.epoch.value, owner.value, describe(reason),
                    received ? (now - *peer->second.last_received).count() : -1,
                    claim == nullptr ? -1 : (now - claim->first_seen).count(),
                    meta_.confirmed() ? (now - *meta_.confirmed()).count() : -1,
                    worst_delay_.count(), owned_.size());
    store_transaction put;
    put.conditions.push_back({claim_key(shard.id), revision});
    put.puts.push_back({claim_key(shard.id), encode(next), {}});
    store_.commit(std::move(put),
                  [this, alive = alive_, shard, next](result<transaction_reply> reply) {
                      if (!*alive) {
                          return;
                      }
                      claiming_.erase(shard.id);
                      counters_.count("claims", !reply ? to_string(reply.error().kind)
                                                : reply.value().applied ? "applied"
                                                                        : "conflict");
                      // Without an answer, the view shows whether the claim was written.
                      if (reply && reply.value().applied) {
                          const auto applied = *reply.value().applied;
                          claims_[shard.id] = {next, applied, loop_.now()};
                          activate_shard(shard, next.epoch, applied);
                      }
                  });
}

void host_control::activate_shard(const shard_record& shard, epoch_number epoch,
                                  revision_number revision) {
    if (owned_.contains(shard.id)) {
        return;
    }
    log_.write_rare("event=shard_claimed shard={} epoch={}", shard.id.value, epoch.value);
    auto next = std::make_shared<owned_shard>();
    next->state = make_shard(shard, self_, epoch, revision, options_.shard, counters_, log_);
    owned_.emplace(shard.id, next);
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
                    shard->state.claim_confirmed = loop_.now();
                    shard->state.loaded_at = loop_.now();
                    attach_workers(*shard);
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
    shard->state.ownership_lost = true;
    fenced_epochs_[id] = std::max(fenced_epochs_[id], shard->state.epoch);
    log_.write_rare("event=shard_dropped shard={} epoch={} reason={}", id.value,
                    shard->state.epoch.value, reason);
    counters_.count("shards_dropped", reason);
    // The outcome of unanswered submissions and cancellations is unknown here; only the next owner
    // can determine whether they were stored.
    for (const auto& [job, tokens] : shard->state.submissions) {
        for (const auto token : tokens) {
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
    state.releasing = true;
    schedule_shard(shard);
    if (!can_release(state)) {
        return;
    }
    shard_record record{state.id, state.data_centre, {}};
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
    log_.write_rare("event=shard_handed_over shard={} epoch={} successor={} requested_by={} "
                    "takeover_complete={}",
                    state.id.value, next.epoch.value, next.owner.value, shard->successor.value,
                    state.takeover_complete);
    store_transaction put;
    put.conditions.push_back({claim_key(state.id), state.claim_revision});
    put.conditions.push_back({head_key(state.id), state.head_revision});
    put.puts.push_back({claim_key(state.id), encode(next), {}});
    store_.commit(std::move(put), [this, alive = alive_, shard, next,
                                   successor](result<transaction_reply> reply) {
        if (!*alive) {
            return;
        }
        shard->state.handing_over = false;
        if (!reply) {
            // Starts continue unless this host is leaving. If the claim was written after all, the
            // successor's higher epoch fences them.
            shard->next_transfer = loop_.now() + options_.shard.commit_retry;
            shard->successor = {};
            shard->state.releasing = leaving_;
            return;
        }
        if (reply.value().applied) {
            claims_[shard->state.id] = {next, *reply.value().applied, loop_.now()};
            if (const auto peer = peers_.find(successor); peer != peers_.end()) {
                peers_link_.call(peer->second.record.address, "claims", "",
                                 options_.timing.peer_timeout, [](const result<std::string>&) {});
            }
        }
        drop_shard(shard->state.id, "handed_over");
        maintain_claims();
    });
}

} // namespace fulmar
