#include "policy.hpp"

#include "eviction.hpp"
#include "quota.hpp"

#include <algorithm>

namespace fulmar {

namespace {

bool all_inventoried(const cell_tables& tables) {
    return std::ranges::all_of(tables.workers, &cell_worker::inventoried);
}

// Plans evictions that free resources for an urgent task. Returns nothing when evictions for the
// task are already in progress or can't help.
std::optional<decision> make_room(cell_tables& tables, cell_task& task, time_point now) {
    if (!tables.options.urgent_evicts || has_reservation(tables, task, now)) {
        return std::nullopt;
    }
    auto plan = plan_eviction(tables, task, now);
    if (!plan) {
        return std::nullopt;
    }
    reserve_for(tables, *plan, task, now);
    return decision{decision_kind::evict, &task, plan->worker, std::move(plan->tasks)};
}

// Decides on one task; defers it when it must wait.
std::optional<decision> decide(cell_tables& tables, waiting_order& order, cell_task& task,
                               time_point now) {
    const auto& job = *order.current->job;
    const auto wait = [&](std::string_view reason, bool whole_job) {
        defer_task(tables, order, task, reason, whole_job, now);
        return std::nullopt;
    };
    if (job.record.cancelled) {
        return wait("cancelled", true);
    }
    if (task.may_run_elsewhere) {
        return wait("takeover_unsettled", false);
    }
    const bool counted = !job.record.urgent && job.team_index != no_index;
    if (counted && over_quota(tables.teams[job.team_index], task.need)) {
        return wait("over_quota", true);
    }
    if (const auto known = find_known_failure(order, task, job);
        !known.empty() && !job.record.urgent) {
        return wait(known, true);
    }
    const auto choice = choose_worker(tables, task, now);
    if (choice.worker != no_worker) {
        return decision{decision_kind::start, &task, choice.worker, {}};
    }
    if (choice.reason == fits_no_worker && all_inventoried(tables)) {
        return decision{decision_kind::refuse, &task, no_worker, {}};
    }
    record_placement_failure(order, task, job, choice.reason);
    // Tasks of one job differ only in the workers on which they failed.
    const bool whole_job = task.failed_workers.empty();
    if (!job.record.urgent) {
        return wait(choice.reason, whole_job);
    }
    auto room = make_room(tables, task, now);
    // Each urgent task gets its own reservation, so the job's other tasks are tried too.
    const bool reserved = room || has_reservation(tables, task, now);
    defer_task(tables, order, task, reserved ? "making_room" : choice.reason,
               !reserved && whole_job, now);
    return room;
}

} // namespace

bool round_is_due(const cell_tables& tables, time_point now) {
    if (now < tables.last_round + shortest_round_interval) {
        return false;
    }
    return tables.placement_inputs != tables.placement_inputs_seen ||
           now >= tables.last_round + round_interval;
}

std::optional<decision> next_decision(cell_tables& tables, waiting_order& order, time_point now) {
    while (auto* task = next_waiting(tables, order, now)) {
        if (auto made = decide(tables, order, *task, now)) {
            return made;
        }
    }
    return std::nullopt;
}

} // namespace fulmar
