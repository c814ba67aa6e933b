// Lease promises: an owner stores with the worker list to which workers it grants no lease, so that
// a successor waits only for leases that may have been granted. Without that, each new owner would
// wait anew for a worker that none of the last owners has reached.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Live workers answer within this time after the shard was loaded. One that answers later has its
// lease renewed only after another transaction, which removes the promise.
constexpr duration answer_limit{1'000};

// Returns the time until all leases that this owner granted a worker have ended. The worker must
// have replied before.
duration find_remaining_lease(const shard_state& shard, const worker_row& worker, time_point now) {
    const auto clock = earliest_clock(shard, worker, now);
    const auto left = worker.lease_until.value + shard.timing.lease_margin.count() - clock->value;
    const auto rate = 100 - shard.timing.clock_drift_percent; // the worker's clock may be slow
    const duration known(std::max<std::int64_t>(0, left * 100 / rate + 1));
    const bool certain = std::all_of(worker.run_rows.begin(), worker.run_rows.end(),
                                     [&](const run_row* run) { return is_certain(worker, *run); });
    return certain ? known : std::max(known, find_unnoticed_leases_end(shard.timing, worker) - now);
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

// Returns whether the stored list is to have a promise about a worker.
bool needs_promise(const shard_state& shard, const worker_row& worker, promise_reason reason,
                   time_point now) {
    const bool handover = reason == promise_reason::handover;
    if (shard.untouched_workers.contains(worker.entry.target.id)) {
        return handover || now >= shard.loaded_at + answer_limit;
    }
    // Until the takeover is complete, a worker that has restarted may accept a former owner.
    return handover && shard.takeover_complete && worker.clock &&
           worker.reachability != reachability_state::reachable;
}

} // namespace

bool is_used(const shard_state& shard, const worker_row& worker, time_point now) {
    return worker.reachability != reachability_state::unreachable || !worker.runs.empty() ||
           !worker.unacknowledged_ends.empty() ||
           shard.unreached_workers.contains(worker.entry.target.id) ||
           !has_lapsed(shard, worker, now);
}

const socket_address& find_listed_address(const shard_state& shard, const worker_row& worker) {
    const auto unreached = shard.unreached_workers.find(worker.entry.target.id);
    return unreached == shard.unreached_workers.end() ? worker.entry.target.address
                                                      : unreached->second;
}

worker_list find_used_workers(const shard_state& shard, time_point now) {
    worker_list used;
    for (const auto& [id, worker] : shard.tables.workers) {
        if (is_used(shard, worker, now)) {
            used.emplace_hint(used.end(), id, find_listed_address(shard, worker));
        }
    }
    return used;
}

promise_list make_promises(const shard_state& shard, const worker_list& listed,
                           promise_reason reason, time_point now) {
    promise_list found;
    for (const auto& [id, address] : listed) {
        const auto& worker = shard.tables.workers.at(id);
        if (!needs_promise(shard, worker, reason, now)) {
            continue;
        }
        found.emplace(id, shard.untouched_workers.contains(id)
                              ? continue_promise(shard, id, now)
                              : lease_promise{shard.epoch, shard.epoch,
                                              find_remaining_lease(shard, worker, now)});
    }
    return found;
}

bool is_promised(const shard_state& shard, const worker_id& id) {
    return shard.stored_promises.contains(id) ||
           (find_pending_list(shard.commit) != nullptr && shard.commit.promises.contains(id));
}

// The ends of leases in a stored promise may be old: they only err on the long side.
bool are_promises_stored(const shard_state& shard, time_point now) {
    if (shard.untouched_workers.empty() && shard.stored_promises.empty()) {
        return true;
    }
    auto stored = shard.stored_promises.begin();
    for (const auto& [id, worker] : shard.tables.workers) {
        if (!needs_promise(shard, worker, promise_reason::silent, now) ||
            !is_used(shard, worker, now)) {
            continue;
        }
        if (stored == shard.stored_promises.end() || stored->first != id) {
            return false;
        }
        ++stored;
    }
    return stored == shard.stored_promises.end();
}

} // namespace fulmar
