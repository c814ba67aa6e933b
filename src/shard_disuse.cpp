// Workers that an owner leaves alone, and says so in the stored worker list: a successor waits only
// for leases that may have been granted. Without that, each new owner would wait anew for a worker
// that none of the last owners has reached.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Workers that live answer within this time after the shard was loaded. A promise about one that
// does so later costs it a transaction before its lease is renewed.
constexpr duration answer_limit{300};

// Returns the time until all leases that this owner granted a worker have ended; nothing if it
// doesn't know the worker's clock.
std::optional<duration> find_remaining_lease(const shard_state& shard, const worker_row& worker,
                                             time_point now) {
    const auto clock = earliest_clock(shard, worker, now);
    if (!clock) {
        return std::nullopt;
    }
    const auto left = worker.lease_until.value + shard.timing.lease_margin.count() - clock->value;
    const auto rate = 100 - shard.timing.clock_drift_percent; // the worker's clock may be slow
    return duration(std::max<std::int64_t>(0, left * 100 / rate + 1));
}

// Returns the promise about a worker that this owner has not used, given what its predecessors
// promised.
worker_disuse continue_disuse(const shard_state& shard, const worker_id& id, time_point now) {
    worker_disuse next{shard.epoch, {shard.epoch.value - 1}};
    const auto known = shard.predecessor_disuse.find(id);
    // Owners since then that stored no list may have used the worker.
    if (known == shard.predecessor_disuse.end() ||
        known->second.by.value + 1 != shard.epoch.value) {
        return next;
    }
    next.last_user = known->second.last_user;
    if (known->second.leases_end_in) {
        next.leases_end_in =
            std::max(duration(0), shard.loaded_at + *known->second.leases_end_in - now);
    }
    return next;
}

} // namespace

disuse_list find_disused(const shard_state& shard, const worker_list& listed, time_point now) {
    disuse_list found;
    const bool inherited = shard.releasing || now >= shard.loaded_at + answer_limit;
    for (const auto& [id, address] : listed) {
        const auto& worker = shard.tables.workers.at(id);
        if (shard.untouched_workers.contains(id)) {
            if (inherited) {
                found.emplace(id, continue_disuse(shard, id, now));
            }
            continue;
        }
        // Until the takeover is complete, a worker that has restarted may accept a former owner.
        if (!shard.releasing || !shard.takeover_complete ||
            worker.reachability == reachability_state::reachable) {
            continue;
        }
        if (const auto lease = find_remaining_lease(shard, worker, now)) {
            found.emplace(id, worker_disuse{shard.epoch, shard.epoch, lease});
        }
    }
    return found;
}

bool is_disused(const shard_state& shard, const worker_id& id) {
    return shard.stored_disuse.contains(id) || (find_pending_list(shard.commit) != nullptr &&
                                                shard.commit.disused_workers.contains(id));
}

bool is_disuse_stored(const shard_state& shard, time_point now) {
    if (shard.untouched_workers.empty() && shard.stored_disuse.empty() && !shard.releasing) {
        return true;
    }
    const auto wanted = find_disused(shard, find_used_workers(shard, now), now);
    return std::equal(wanted.begin(), wanted.end(), shard.stored_disuse.begin(),
                      shard.stored_disuse.end(),
                      [](const auto& a, const auto& b) { return a.first == b.first; });
}

} // namespace fulmar
