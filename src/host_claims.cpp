// Ownership of shards: claims and requests for handover.
#include "host_control.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr duration claim_check_interval{200};

// Until a host requests the same shard again.
constexpr duration request_retry_interval{10'000};

// Between two checks whether this host should own a shard of another host.
constexpr duration shard_request_interval{500};

// Until the next attempt to claim a shard when the store didn't answer one.
constexpr duration claim_retry{1'000};

// The store's records of a shard don't change for this long only if its owner has stopped working
// or can't write to the store. More than twice shard_timing::progress_interval.
constexpr duration stalled_after{700};

// The same for a host of another region: a call of the owner may wait for the link between regions
// for as long as its timeout.
constexpr duration remote_stalled_after{1'200};

// A shard that nobody has claimed for this long may be claimed by any host that reaches its
// workers.
constexpr duration unclaimed_limit{1'500};

// Longest time between two checks of an owner that turned out to work.
constexpr duration longest_progress_window{4'000};

// An owner that works but that no host receives datagrams from is asked for its shard after this,
// in addition to its failure timeout: callers at other hosts can't reach its jobs.
constexpr duration cut_off_timeout{2'000};

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
    case claim_reason::owner_cut_off:
        return "owner_cut_off";
    case claim_reason::lost_epoch:
        return "lost_epoch";
    }
    return "";
}

std::size_t host_control::count_owned(const host_id& owner) const {
    return static_cast<std::size_t>(
        std::count_if(claims_.begin(), claims_.end(), [&](const auto& row) {
            return host_name_of(row.second.record.owner) == owner;
        }));
}

std::set<host_id> host_control::list_owners() const {
    std::set<host_id> owners;
    for (const auto& [id, row] : claims_) {
        owners.insert(host_name_of(row.record.owner));
    }
    return owners;
}

duration host_control::owner_timeout(const data_centre_id& data_centre) const {
    const auto& timing = options_.timing;
    const int distance = distance_to(data_centre);
    return distance == 0   ? timing.local_owner_timeout
           : distance == 1 ? timing.region_owner_timeout
                           : timing.remote_owner_timeout;
}

// Returns the time since the last sign of life of a claim's owner: a datagram, or the claim itself.
duration host_control::owner_silence(const claim_row& claim) const {
    auto last_received = std::max(started_, claim.first_seen);
    const auto peer = peers_.find(host_name_of(claim.record.owner));
    if (peer != peers_.end() && peer->second.last_received) {
        last_received = std::max(last_received, *peer->second.last_received);
    }
    return loop_.now() - last_received;
}

// Returns whether this host receives datagrams from most of the hosts that send it any, the suspect
// aside: those of its data centre, and the owners of shards. A host that doesn't is disconnected or
// late itself.
bool host_control::is_connected(const host_id& suspect) const {
    std::size_t expected = 0;
    std::size_t received = 0;
    for (const auto& [name, peer] : peers_) {
        const bool local = peer.record.data_centre == options_.data_centre;
        if (name == suspect || (!local && count_owned(name) == 0)) {
            continue;
        }
        ++expected;
        received += peer.last_received && loop_.now() - *peer.last_received <=
                                              owner_timeout(peer.record.data_centre)
                        ? 1
                        : 0;
    }
    return received * 2 > expected;
}

// From the first sign that the owner of a shard may have failed, checks whether it still stores
// anything: reads the head of the shard, and again after a while.
void host_control::track_progress(const shard_record& shard, const claim_row& claim) {
    const auto owner = host_name_of(claim.record.owner);
    const auto peer = peers_.find(owner);
    const auto& timing = options_.timing;
    const auto interval = distance_to(shard.data_centre) == 0 ? timing.local_gossip_interval
                                                              : timing.global_gossip_interval;
    const bool lacks_store =
        peer != peers_.end() && peer->second.status.store_unreachable_ms > stalled_after.count();
    const auto silence = owner_silence(claim);
    if (owner == options_.name || (silence < interval * 3 / 2 && !lacks_store)) {
        owner_progress_.erase(shard.id);
        return;
    }
    const bool candidate =
        silence > owner_timeout(shard.data_centre) || choose_owner(shard, owner) == options_.name;
    const auto now = loop_.now();
    const auto window = distance_to(shard.data_centre) == 2 ? remote_stalled_after : stalled_after;
    auto& progress = owner_progress_
                         .try_emplace(shard.id, owner_progress{.suspected_at = now,
                                                               .stalled_after = window,
                                                               .window = window})
                         .first->second;
    if (!candidate || progress.stalled || now < progress.next_read) {
        return;
    }
    progress.next_read = now + progress.window;
    store_.get(head_key(shard.id), [this, alive = alive_, id = shard.id,
                                    now](const result<std::optional<store_entry>>& entry) {
        if (*alive && entry) {
            record_head(id, entry.value() ? entry.value()->revision : revision_number{}, now);
        }
    });
}

// Compares the head of another host's shard with the one read before. A host that finds the owner
// working checks it less often from then on.
void host_control::record_head(const shard_id& shard, revision_number head, time_point sent) {
    const auto found = owner_progress_.find(shard);
    if (found == owner_progress_.end()) {
        return;
    }
    auto& progress = found->second;
    if (sent < progress.suspected_at) {
        return; // of an earlier suspicion
    }
    if (progress.head == head && sent >= progress.read_at + progress.stalled_after) {
        progress.stalled = true;
        next_claim_check_ = loop_.now();
        return;
    }
    if (progress.head && progress.head != head) {
        progress.stalled = false;
        progress.window = std::min(progress.window * 2, longest_progress_window);
        progress.next_read = sent + progress.window;
    }
    if (progress.head != head) {
        progress.head = head;
        progress.read_at = loop_.now();
    }
}

// Returns whether this host may claim a shard that nobody owns since `due`: the one that should own
// it, and after a while any other, as the former may reach no worker of the shard.
bool host_control::may_claim_since(const shard_record& shard, time_point due) const {
    const auto now = loop_.now();
    return now >= due && (now >= due + unclaimed_limit || choose_owner(shard, {}) == options_.name);
}

// Returns whether this host should claim a shard now. Nearer hosts act first.
host_control::claim_reason host_control::should_claim(const shard_record& shard,
                                                      const claim_row* claim) const {
    using enum claim_reason;
    const auto& timing = options_.timing;
    const auto timeout = owner_timeout(shard.data_centre);
    const auto startup_grace_end = started_ + timing.local_gossip_interval * 2;
    if (claim == nullptr || claim->record.owner.value.empty()) {
        const auto first_seen =
            claim != nullptr ? claim->first_seen : shard_first_seen_.at(shard.id);
        const auto wait = distance_to(shard.data_centre) == 0 ? duration(0) : timeout;
        const auto due = std::max(startup_grace_end, first_seen + wait);
        return may_claim_since(shard, due) ? unowned : none;
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
        // The hosts of the data centre first, as a distant host may not hear them.
        const auto wait = distance_to(shard.data_centre) == 0 ? duration(0) : timeout;
        const auto due = std::max(startup_grace_end, peer->second.registered_at + wait);
        return may_claim_since(shard, due) ? owner_restart : none;
    }
    // An owner that can't write to the store is replaced by a host that can. After an outage that
    // affects all hosts, each detects the store's return at a different time, so the first one
    // waits for the others. Hosts without shards send datagrams only within their data centre, so
    // nearer hosts act first.
    const auto outage_limit = timing.store_outage_limit + timeout - timing.local_owner_timeout;
    const bool lacks_store = peer != peers_.end() && is_alive(peer->second) &&
                             peer->second.status.store_unreachable_ms > outage_limit.count() &&
                             store_.healthy_for(timing.store_outage_limit);
    if (lacks_store) {
        return choose_owner(shard, owner) == options_.name ? owner_without_store : none;
    }
    // An owner that is reachable from other hosts is only disconnected from this one.
    const auto silence = owner_silence(*claim);
    if (silence <= timeout || is_reachable_from_others(owner)) {
        return none;
    }
    if (choose_owner(shard, owner) != options_.name &&
        silence <= timeout + options_.timing.remote_owner_timeout) {
        return none;
    }
    const bool cut_off = silence > timeout + cut_off_timeout && is_connected(owner);
    return cut_off ? owner_cut_off : owner_silent;
}

bool host_control::is_reachable_from_others(const host_id& name) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& row) {
        const auto& reachable = row.second.status.reachable_owners;
        return is_alive(row.second) &&
               std::find(reachable.begin(), reachable.end(), name) != reachable.end();
    });
}

// Returns whether a claim for this reason requires that the owner stores nothing. What this host
// receives, or doesn't, may be due to a fault of its own.
bool host_control::needs_stalled_owner(claim_reason reason) {
    return reason == claim_reason::owner_silent || reason == claim_reason::owner_without_store;
}

// Returns whether the owner of a shard had stored nothing for a while when it was last checked. The
// claim then requires that this hasn't changed.
bool host_control::has_stalled(const shard_id& shard) const {
    const auto found = owner_progress_.find(shard);
    return found != owner_progress_.end() && found->second.stalled;
}

// Requests the handover of a shard that this host should own instead of the current owner. Claims
// and requests follow the same choice, so a shard doesn't move back and forth.
void host_control::request_shards() {
    const auto now = loop_.now();
    if (now < next_shard_request_ || now < started_ + options_.timing.settling_time) {
        return;
    }
    next_shard_request_ = now + shard_request_interval;
    for (const auto& shard : shard_list_) {
        const auto claim = claims_.find(shard.id);
        if (claim == claims_.end() ||
            now < claim->second.first_seen + options_.timing.settling_time) {
            continue;
        }
        const auto owner = host_name_of(claim->second.record.owner);
        const auto peer = peers_.find(owner);
        if (peer == peers_.end() || !is_alive(peer->second) || now < next_request_[shard.id] ||
            choose_owner(shard, {}) != options_.name) {
            continue;
        }
        want_workers();
        if (!worker_view_.loaded() || !reaches_workers(shard)) {
            continue;
        }
        next_request_[shard.id] = now + request_retry_interval;
        next_shard_request_ = now + options_.timing.settling_time;
        log_.write_rare("event=shard_asked_for shard={} owner={} owner_shards={} owned={}",
                        shard.id.value, owner.value, count_owned(owner), owned_.size());
        const json body{{"shard", shard.id}, {"host", options_.name}};
        peers_link_.call(peer->second.record.address, "yield", body.dump(),
                         options_.timing.peer_timeout, [](const result<std::string>&) {});
        return;
    }
}

// Hands over a shard to the host that requested it if this host, too, finds that it should own the
// shard. An incomplete takeover isn't handed over, as the successor would begin it anew.
void host_control::answer_yield_call(const std::string& body, const peer_reply& reply) {
    const auto in = json::parse(body, nullptr, false);
    const shard_id id{in.is_object() ? in.value("shard", "") : ""};
    const host_id host{in.is_object() ? in.value("host", "") : ""};
    const auto shard = find_owned(id);
    if (!shard || !shard->loaded || !shard->state.takeover_complete || !peers_.contains(host) ||
        !orders_.healthy()) {
        reply(error{error_kind::unavailable, "the shard can't be handed over now"});
        return;
    }
    if (choose_owner({id, shard->state.data_centre, {}}, {}, host) == host) {
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
    fetch_backlogs();
    update_shard_sizes();
    if (leaving_) {
        ask_unheard_hosts();
        bool all_handed_over = true;
        for (const auto& [id, shard] : std::map(owned_)) {
            transfer_shard(shard);
            all_handed_over = false;
        }
        for (const auto& shard : std::vector(shard_list_)) {
            all_handed_over = !pass_on_claim(shard) && all_handed_over;
        }
        if (all_handed_over && on_drained_) {
            std::exchange(on_drained_, {})();
        }
        return;
    }
    answer_store_requests();
    for (const auto& [id, shard] : std::map(owned_)) {
        if (!shard->successor.value.empty()) {
            transfer_shard(shard);
        }
    }
    const bool store_answers = store_.unreachable_for() <= claim_retry;
    for (const auto& shard : std::vector(shard_list_)) {
        if (owned_.contains(shard.id) || claiming_.contains(shard.id) ||
            loop_.now() < next_claim_[shard.id]) {
            continue;
        }
        const auto row = claims_.find(shard.id);
        const auto* claim = row == claims_.end() ? nullptr : &row->second;
        if (claim != nullptr && claim->record.owner == self_) {
            // The shard was handed over to this host, unless this host already lost it in that
            // epoch because workers rejected the epoch: then a newer claim exists that the view
            // doesn't show yet.
            want_workers();
            if (!worker_view_.loaded()) {
                continue;
            }
            if (claim->record.epoch > fenced_epochs_[shard.id]) {
                activate_shard(shard, claim->record.epoch, claim->revision);
            } else if (store_answers &&
                       loop_.now() > claim->first_seen + options_.timing.settling_time) {
                claim_shard(shard, claim, claim_reason::lost_epoch);
            }
            continue;
        }
        if (claim != nullptr && !claim->record.owner.value.empty()) {
            track_progress(shard, *claim);
        }
        auto reason = should_claim(shard, claim);
        if (reason == claim_reason::none) {
            continue;
        }
        want_workers();
        if (!worker_view_.loaded() || !reaches_workers(shard)) {
            continue;
        }
        if (reason == claim_reason::owner_cut_off && has_stalled(shard.id)) {
            reason = claim_reason::owner_silent;
        }
        if (reason == claim_reason::owner_cut_off) {
            request_in_store(shard);
            continue;
        }
        if (!needs_stalled_owner(reason) || (store_answers && has_stalled(shard.id))) {
            claim_shard(shard, claim, reason);
        }
    }
    request_shards();
}

// Reads the claim of a shard that was handed over to this host: its view of the claims doesn't show
// it while its watch hangs.
void host_control::read_claim(const std::string& shard) {
    store_.get(claim_key({shard}),
               [this, alive = alive_](const result<std::optional<store_entry>>& entry) {
                   if (*alive && entry && entry.value()) {
                       on_meta_change(entry.value()->key, &*entry.value());
                       maintain_claims();
                   }
               });
}

// Takes a shard's claim and the revision of its head from the entries that a rejected claim
// returned: the views of a host whose watches hang don't show them.
void host_control::apply_rejection(const shard_id& shard, const std::vector<store_entry>& present,
                                   time_point sent) {
    for (const auto& entry : present) {
        if (entry.key == claim_key(shard)) {
            on_meta_change(entry.key, &entry);
        }
    }
    const auto head = std::find_if(present.begin(), present.end(), [&](const store_entry& entry) {
        return entry.key == head_key(shard);
    });
    if (head != present.end()) {
        record_head(shard, head->revision, sent);
    }
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
    // Which owners this host hears tells a cut between regions from the failure of one owner.
    struct count {
        std::size_t heard = 0;
        std::size_t total = 0;
    };
    count own_region;
    count other_regions;
    for (const auto& [name, row] : peers_) {
        if (count_owned(name) == 0) {
            continue; // sends no datagrams to other data centres
        }
        auto& owners = distance_to(row.record.data_centre) == 2 ? other_regions : own_region;
        ++owners.total;
        owners.heard +=
            row.last_received && now - *row.last_received <= options_.timing.remote_owner_timeout
                ? 1
                : 0;
    }
    log_.write_rare("event=claim_attempt shard={} epoch={} previous_owner={} reason={} "
                    "owner_silent_ms={} claim_age_ms={} view_age_ms={} delay_ms={} owned={} "
                    "owners_heard={}/{} owners_heard_elsewhere={}/{}",
                    shard.id.value, next.epoch.value, owner.value, describe(reason),
                    received ? (now - *peer->second.last_received).count() : -1,
                    claim == nullptr ? -1 : (now - claim->first_seen).count(),
                    meta_.confirmed() ? (now - *meta_.confirmed()).count() : -1,
                    worst_delay_.count(), owned_.size(), own_region.heard, own_region.total,
                    other_regions.heard, other_regions.total);
    store_transaction put;
    put.conditions.push_back({claim_key(shard.id), revision});
    std::optional<time_point> stored_by;
    if (needs_stalled_owner(reason)) {
        const auto& progress = owner_progress_.at(shard.id);
        put.conditions.push_back({head_key(shard.id), *progress.head});
        stored_by = std::max(progress.read_at, claim->first_seen);
    }
    put.puts.push_back({claim_key(shard.id), encode(next), {}});
    store_.commit(std::move(put), [this, alive = alive_, shard, next, stored_by,
                                   sent = now](result<transaction_reply> reply) {
        if (!*alive) {
            return;
        }
        claiming_.erase(shard.id);
        counters_.count("claims", !reply                  ? to_string(reply.error().kind)
                                  : reply.value().applied ? "applied"
                                                          : "conflict");
        if (!reply) {
            next_claim_[shard.id] = loop_.now() + claim_retry;
            log_.write_rare("event=claim_unanswered shard={} epoch={} reason={}", shard.id.value,
                            next.epoch.value, to_string(reply.error().kind));
        } else if (!reply.value().applied) {
            log_.write_rare("event=claim_rejected shard={} epoch={}", shard.id.value,
                            next.epoch.value);
            apply_rejection(shard.id, reply.value().present, sent);
        }
        // Without an answer, the view shows whether the claim was written.
        if (reply && reply.value().applied) {
            const auto applied = *reply.value().applied;
            claims_[shard.id] = {next, applied, loop_.now()};
            activate_shard(shard, next.epoch, applied, stored_by);
        }
    });
}

} // namespace fulmar
