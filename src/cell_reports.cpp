#include "cell_reports.hpp"

#include <array>
#include <cassert>
#include <set>

namespace fulmar {

namespace {

// A task is parked after failing this often, as a task that fails everywhere would otherwise use up
// starts forever.
constexpr std::uint32_t failures_before_parking = 3;

job_progress& progress_of(cell_state& cell, const task_id& id) {
    return cell.progress.jobs[id.job];
}

// Tells whether the progress says that a task has ended for good.
bool has_ended(const cell_state& cell, const task_id& id) {
    const auto found = cell.progress.jobs.find(id.job);
    if (found == cell.progress.jobs.end()) {
        return false;
    }
    const auto& job = found->second;
    return job.finished.contains(id.index) || job.parked.contains(id.index) ||
           job.outcome_unknown.contains(id.index) || job.cancelled.contains(id.index);
}

void acknowledge(cell_state& cell, std::size_t worker, const task_id& id, attempt_number attempt) {
    cell.tables.workers.at(worker).acks.push_back({id, attempt});
}

// Begins to record the end of a task; the worker is told once it is stored.
void begin_commit(cell_state& cell, task_row& task, const task_report& report) {
    auto& job = progress_of(cell, task.id);
    const auto index = task.id.index;
    job.intents.erase(index);
    switch (report.state) {
    case task_state::finished:
        job.finished.insert(index);
        job.checkpoints.erase(index);
        break;
    case task_state::checkpointed:
        job.checkpoints[index] = {task.attempt, report.checkpoint};
        task.checkpoint = report.checkpoint;
        break;
    case task_state::failed:
        if (++job.failures[index] >= failures_before_parking) {
            job.parked.insert(index);
        }
        break;
    case task_state::stopped:
        job.cancelled.insert(index);
        job.stopped.insert(index);
        break;
    case task_state::running:
        assert(false);
    }
    task.ended_as = report.state;
    task.commit = mark_dirty(cell);
    set_phase(cell.tables, task, task_phase::committing, task.worker);
}

// Stops an attempt that a later one has replaced. Happens only if a worker broke the lease rules.
void stop_stale_attempt(cell_state& cell, std::size_t worker, const task_report& report) {
    cell.counters->count("fulmar_stale_attempts_total");
    if (report.state != task_state::running) {
        acknowledge(cell, worker, report.task, report.attempt);
        return;
    }
    worker_command stop;
    stop.kind = command_kind::stop;
    stop.task = report.task;
    stop.attempt = report.attempt;
    stop.expires_at = {std::numeric_limits<std::int64_t>::max()};
    cell.tables.workers.at(worker).commands.push_back(stop);
}

// Takes a task into the tables that this owner did not start.
task_row& adopt_row(cell_state& cell, const task_report& report) {
    auto& task = cell.tables.tasks[report.task];
    task.id = report.task;
    return task;
}

void apply_report(cell_state& cell, std::size_t worker, const task_report& report) {
    if (has_ended(cell, report.task)) {
        const auto row = cell.tables.tasks.find(report.task);
        const bool committing = row != cell.tables.tasks.end() &&
                                row->second.phase == task_phase::committing &&
                                row->second.attempt == report.attempt;
        if (!committing) {
            stop_stale_attempt(cell, worker, report);
        }
        return;
    }
    auto& task = adopt_row(cell, report);
    const bool placed_elsewhere = holds_resources(task.phase) && task.worker != worker;
    if (report.attempt < task.attempt || placed_elsewhere) {
        stop_stale_attempt(cell, worker, report);
        return;
    }
    if (task.phase == task_phase::committing && report.attempt == task.attempt) {
        return;
    }
    task.may_be_elsewhere = false;
    task.reply_lost = false;
    if (!holds_resources(task.phase)) {
        task.need = report.need;
        task.task_class = report.task_class;
    }
    task.attempt = report.attempt;
    if (report.state != task_state::running) {
        task.worker = worker;
        begin_commit(cell, task, report);
        return;
    }
    if (task.phase != task_phase::evicting && task.phase != task_phase::stopping) {
        set_phase(cell.tables, task, task_phase::running, worker);
    }
}

// Ends a task whose worker certainly doesn't run it any more, without a report of its end.
void lose_task(cell_state& cell, task_row& task, std::string_view reason, time_point now) {
    const auto job = cell.tables.jobs.find(task.id.job);
    const bool idempotent = job == cell.tables.jobs.end() || job->second.record.idempotent;
    if (idempotent || task.phase == task_phase::committing_intent) {
        requeue(cell, task, reason, now);
        return;
    }
    // It may have run to its end unseen, so a second start could run it twice.
    auto& progress = progress_of(cell, task.id);
    progress.intents.erase(task.id.index);
    progress.outcome_unknown.insert(task.id.index);
    cell.counters->count("fulmar_tasks_ended_total", "outcome_unknown");
    mark_dirty(cell);
    set_phase(cell.tables, task, task_phase::waiting, no_worker);
    cell.tables.tasks.erase(task.id);
}

// Finds tasks that should be on a worker but are not in its full inventory.
void apply_absences(cell_state& cell, std::size_t worker, const sync_reply& reply,
                    const std::set<task_id>& reported, time_point now) {
    std::vector<task_row*> absent;
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.worker != worker || !holds_resources(task.phase) || reported.contains(id)) {
            continue;
        }
        const bool unsent =
            task.expires_at.value == 0 &&
            (task.phase == task_phase::starting || task.phase == task_phase::committing_intent);
        // A start whose reply was lost may still be on its way until it expires.
        const bool may_arrive = task.phase == task_phase::starting && reply.now <= task.expires_at;
        if (unsent || may_arrive) {
            continue;
        }
        absent.push_back(&task);
    }
    for (auto* task : absent) {
        const bool never_started = task->phase == task_phase::starting;
        if (never_started) {
            requeue(cell, *task, "start_not_executed", now);
        } else {
            lose_task(cell, *task, "lost_at_worker", now);
        }
    }
}

void apply_result(cell_state& cell, std::size_t worker, const command_result& outcome,
                  time_point now) {
    const auto found = cell.tables.tasks.find(outcome.task);
    if (found == cell.tables.tasks.end()) {
        return;
    }
    auto& task = found->second;
    if (task.worker != worker || task.attempt != outcome.attempt ||
        task.phase != task_phase::starting) {
        return;
    }
    if (!outcome.refused) {
        set_phase(cell.tables, task, task_phase::running, worker);
        cell.counters->count("fulmar_task_starts_total");
        return;
    }
    cell.counters->count("fulmar_start_refused_total", to_string(*outcome.refused));
    requeue(cell, task, "refused_by_worker", now);
}

// Ends a task for good and removes its row.
void erase_task(cell_state& cell, task_row& task, std::string_view reason) {
    cell.counters->count("fulmar_tasks_ended_total", reason);
    cell.tables.tasks.erase(task_id(task.id));
}

} // namespace

std::uint64_t mark_dirty(cell_state& cell) {
    cell.progress_dirty = true;
    return cell.commit_open;
}

void requeue(cell_state& cell, task_row& task, std::string_view reason, time_point now) {
    set_phase(cell.tables, task, task_phase::waiting, no_worker);
    task.expires_at = {};
    task.reply_lost = false;
    task.waiting_since = now;
    task.wait_reason = reason;
    cell.counters->count("fulmar_task_requeues_total", reason);
    const auto job = cell.progress.jobs.find(task.id.job);
    if (job != cell.progress.jobs.end() && job->second.intents.erase(task.id.index) > 0) {
        mark_dirty(cell);
    }
}

void apply_sync_reply(cell_state& cell, std::size_t worker, bool full_inventory,
                      const sync_reply& reply, time_point now) {
    // Step 1: note the worker's clock and incarnation.
    auto& row = cell.tables.workers.at(worker);
    const bool restarted = row.inventoried && reply.incarnation != row.incarnation;
    row.clock = reply.now;
    row.clock_received = now;
    row.capacity = reply.capacity;
    row.incarnation = reply.incarnation;
    if (restarted) {
        row.need_inventory = true;
    }

    // Step 2: apply the results of commands, then the reports.
    for (const auto& outcome : reply.results) {
        apply_result(cell, worker, outcome, now);
    }
    std::set<task_id> reported;
    for (const auto& report : reply.tasks) {
        reported.insert(report.task);
        apply_report(cell, worker, report);
    }

    // Step 3: a full inventory also tells what is not there.
    if (full_inventory) {
        row.inventoried = true;
        row.need_inventory = false;
        apply_absences(cell, worker, reply, reported, now);
    }
    for (const auto& [id, task] : cell.tables.tasks) {
        if (task.worker == worker && task.reply_lost) {
            row.need_inventory = true;
        }
    }
}

void return_unsent_starts(cell_state& cell, std::size_t worker, time_point now) {
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.worker == worker && task.phase == task_phase::starting && !task.reply_lost) {
            requeue(cell, task, "worker_unreachable", now);
        }
    }
}

void mark_reply_lost(cell_state& cell, std::size_t worker) {
    cell.tables.workers.at(worker).need_inventory = true;
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.worker == worker && task.phase == task_phase::starting &&
            task.expires_at.value != 0) {
            task.reply_lost = true;
        }
    }
}

void release_lost_worker(cell_state& cell, std::size_t worker, time_point now) {
    std::vector<task_row*> lost;
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.worker == worker && holds_resources(task.phase)) {
            lost.push_back(&task);
        }
    }
    for (auto* task : lost) {
        lose_task(cell, *task, "worker_lost", now);
    }
}

void settle_committed(cell_state& cell, time_point now) {
    std::vector<task_row*> settled;
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.commit <= cell.commit_done &&
            (task.phase == task_phase::committing || task.phase == task_phase::committing_intent)) {
            settled.push_back(&task);
        }
    }
    for (auto* task : settled) {
        if (task->phase == task_phase::committing_intent) {
            set_phase(cell.tables, *task, task_phase::starting, task->worker);
            continue;
        }
        acknowledge(cell, task->worker, task->id, task->attempt);
        switch (task->ended_as) {
        case task_state::finished:
            erase_task(cell, *task, "finished");
            break;
        case task_state::stopped:
            erase_task(cell, *task, "cancelled");
            break;
        case task_state::failed:
            if (progress_of(cell, task->id).parked.contains(task->id.index)) {
                erase_task(cell, *task, "parked");
            } else {
                requeue(cell, *task, "failed", now);
            }
            break;
        default:
            requeue(cell, *task, "evicted", now);
        }
    }
}

} // namespace fulmar
