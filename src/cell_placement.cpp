#include "cell_placement.hpp"

#include "cell_drain.hpp"
#include "cell_lease.hpp"
#include "cell_reports.hpp"
#include "interference.hpp"
#include "policy.hpp"

#include <cassert>

namespace fulmar {

namespace {

attempt_number next_attempt(cell_state& cell) {
    ++cell.next_counter;
    assert(cell.next_counter < (1U << attempt_counter_bits));
    return {first_attempt(cell.epoch).value + cell.next_counter};
}

// Assigns a task to a worker. A non-idempotent task first waits until its intent is stored.
void assign(cell_state& cell, cell_task& task, std::size_t worker) {
    task.attempt = next_attempt(cell);
    task.expires_at = {};
    const auto& record = cell.tables.jobs.at(task.id.job).record;
    if (record.idempotent) {
        set_phase(cell.tables, task, task_phase::starting, worker);
    } else {
        cell.progress.jobs[task.id.job].intents[task.id.index] = {task.attempt,
                                                                  cell.tables.workers[worker].id};
        task.commit = mark_dirty(cell);
        set_phase(cell.tables, task, task_phase::committing_intent, worker);
    }
    cell.tables.workers[worker].next_sync = {};
    assert(fits(cell.tables.workers[worker].committed, cell.tables.workers[worker].capacity));
}

// Ends the waiting tasks of a job that fits on no worker of the cell and records them as parked.
void refuse_job(cell_state& cell, const job_id& id) {
    auto& progress = cell.progress.jobs[id];
    for (auto at = cell.tables.tasks.lower_bound({id, 0});
         at != cell.tables.tasks.end() && at->first.job == id;) {
        if (at->second.phase != task_phase::waiting || at->second.may_run_elsewhere) {
            ++at;
            continue;
        }
        progress.parked.insert(at->first.index);
        cell.counters->count("fulmar_tasks_ended_total", fits_no_worker);
        at = cell.tables.tasks.erase(at);
    }
    mark_dirty(cell);
}

// Returns why the cell defers a task that the policy would start, or nothing.
std::optional<std::string_view> find_deferral_reason(const cell_state& cell, const cell_task& task,
                                                     time_point now) {
    if (is_moving(cell, task.id.job)) {
        return "moving";
    }
    if (!ramp_admits(cell, task.need, now)) {
        return "return_ramp";
    }
    return std::nullopt;
}

// Applies one decision of the policy.
void apply_decision(cell_state& cell, waiting_order& order, const decision& next, time_point now) {
    switch (next.kind) {
    case decision_kind::start:
        if (const auto reason = find_deferral_reason(cell, *next.task, now)) {
            defer_task(cell.tables, order, *next.task, *reason, true, now);
            break;
        }
        assign(cell, *next.task, next.worker);
        record_placed(cell.tables, *next.task, now);
        break;
    case decision_kind::evict:
        for (auto* victim : next.evictions) {
            set_phase(cell.tables, *victim, task_phase::evicting, victim->worker);
            cell.counters->count("fulmar_evictions_total", "urgent");
        }
        break;
    case decision_kind::refuse:
        refuse_job(cell, job_id(next.task->id.job));
        break;
    }
}

} // namespace

void respond_to_interference(cell_state& cell, time_point now) {
    for (auto* task : update_responses(cell.tables, now)) {
        set_phase(cell.tables, *task, task_phase::evicting, task->worker);
        cell.counters->count("fulmar_evictions_total", "interference");
    }
}

void place_waiting(cell_state& cell, time_point now) {
    if (const auto obstacle = find_start_obstacle(cell, now)) {
        cell.counters->count("fulmar_start_ticks_withheld_total", *obstacle);
        return;
    }
    if (!round_is_due(cell.tables, now)) {
        return;
    }
    auto order = rank_waiting(cell.tables, now);
    while (const auto next = next_decision(cell.tables, order, now)) {
        apply_decision(cell, order, *next, now);
    }
}

} // namespace fulmar
