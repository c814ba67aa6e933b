// Workers that an owner leaves alone, and says so in the stored worker list: a successor waits only
// for leases that may have been granted. Without that, each new owner would wait anew for a worker
// that none of the last owners has reached.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Workers that live answer within this time after the shard was loaded. A promise about one that
// does so later costs it a transaction before its lease is renewed.
constexpr duration answer_limit{1'000};

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
lease_promise continue_promise(const shard_state& shard, const worker_id& id, time_point now) {
    lease_promise next{shard.epoch, {shard.epoch.value - 1}};
    const auto known = shard.predecessor_promises.find(id);
    // Owners since then that stored no list may have used the worker.
    if (known == shard.predecessor_promises.end() ||
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

promise_list make_promises(const shard_state& shard, const worker_list& listed, time_point now) {
    promise_list found;
    const bool inherited = shard.releasing || now >= shard.loaded_at + answer_limit;
    for (const auto& [id, address] : listed) {
        const auto& worker = shard.tables.workers.at(id);
        if (shard.untouched_workers.contains(id)) {
            if (inherited) {
                found.emplace(id, continue_promise(shard, id, now));
            }
            continue;
        }
        // Until the takeover is complete, a worker that has restarted may accept a former owner.
        if (!shard.releasing || !shard.takeover_complete ||
            worker.reachability == reachability_state::reachable) {
            continue;
        }
        if (const auto lease = find_remaining_lease(shard, worker, now)) {
            found.emplace(id, lease_promise{shard.epoch, shard.epoch, lease});
        }
    }
    return found;
}

bool is_promised(const shard_state& shard, const worker_id& id) {
    return shard.stored_promises.contains(id) ||
           (find_pending_list(shard.commit) != nullptr && shard.commit.promises.contains(id));
}

// The ends of leases in a stored promise may be old: they only err on the long side.
bool are_promises_stored(const shard_state& shard, time_point now) {
    if (shard.untouched_workers.empty() && shard.stored_promises.empty() && !shard.releasing) {
        return true;
    }
    const auto wanted = make_promises(shard, find_used_workers(shard, now), now);
    return std::equal(wanted.begin(), wanted.end(), shard.stored_promises.begin(),
                      shard.stored_promises.end(),
                      [](const auto& a, const auto& b) { return a.first == b.first; });
}

} // namespace fulmar
