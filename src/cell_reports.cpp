#include "cell_reports.hpp"

#include "interference.hpp"
#include "quarantine.hpp"

#include <array>
#include <cassert>
#include <set>

namespace fulmar {

namespace {

job_progress& progress_of(cell_state& cell, const task_id& id) {
    return cell.progress.jobs[id.job];
}

// Returns whether the progress records a final end of the task.
bool has_ended(const cell_state& cell, const task_id& id) {
    const auto found = cell.progress.jobs.find(id.job);
    if (found == cell.progress.jobs.end()) {
        return false;
    }
    const auto& job = found->second;
    return job.finished.contains(id.index) || job.parked.contains(id.index) ||
           job.outcome_unknown.contains(id.index) || job.cancelled.contains(id.index);
}

// Returns whether a task may run more than once. While the job record has not been received, an
// intent shows that the job is not idempotent.
bool is_idempotent(const cell_state& cell, const task_id& id) {
    const auto job = cell.tables.jobs.find(id.job);
    if (job != cell.tables.jobs.end()) {
        return job->second.record.idempotent;
    }
    const auto progress = cell.progress.jobs.find(id.job);
    return progress == cell.progress.jobs.end() || !progress->second.intents.contains(id.index);
}

bool is_cancelled(const cell_state& cell, const job_id& id) {
    const auto job = cell.tables.jobs.find(id);
    return job != cell.tables.jobs.end() && job->second.record.cancelled;
}

void acknowledge(cell_state& cell, std::size_t worker, const task_id& id, attempt_number attempt) {
    cell.tables.workers.at(worker).acks.push_back({id, attempt});
}

// Removes the failures charged to tasks on a worker that proved to be faulty itself.
void revert_failures(cell_state& cell, cell_worker& worker) {
    for (const auto& id : worker.charged_failures) {
        auto& job = progress_of(cell, id);
        const auto count = job.failures.find(id.index);
        if (count != job.failures.end() && --count->second == 0) {
            job.failures.erase(count);
        }
        const auto row = cell.tables.tasks.find(id);
        if (row == cell.tables.tasks.end()) {
            continue; // the task's end is already stored
        }
        std::erase(row->second.failed_workers, worker.id);
        if (is_idempotent(cell, id)) {
            job.parked.erase(id.index);
        }
    }
    worker.charged_failures.clear();
}

// Charges a failure to the task, or to the worker when the failures of different jobs show that the
// worker is at fault.
void charge_failure(cell_state& cell, cell_task& task) {
    auto& job = progress_of(cell, task.id);
    const auto failed_before = task.failed_workers.size();
    const bool quarantined = record_failure(cell.tables, task.worker, task, cell.tables.now);
    const bool counted = task.failed_workers.size() > failed_before;
    if (counted && ++job.failures[task.id.index] >= failures_before_parking) {
        job.parked.insert(task.id.index);
    }
    if (quarantined) {
        cell.counters->count("fulmar_worker_quarantines_total");
        revert_failures(cell, cell.tables.workers.at(task.worker));
    }
}

// Records the end of a task in the progress. The end is acknowledged to the worker once the group
// commit is stored.
void begin_commit(cell_state& cell, cell_task& task, const task_report& report) {
    auto& job = progress_of(cell, task.id);
    const auto index = task.id.index;
    const bool idempotent = is_idempotent(cell, task.id);
    job.intents.erase(index);
    switch (report.state) {
    case task_state::finished:
        record_success(cell.tables, task.worker, task);
        job.finished.insert(index);
        job.checkpoints.erase(index);
        break;
    case task_state::checkpointed:
        job.checkpoints[index] = {task.attempt, report.checkpoint};
        task.checkpoint = report.checkpoint;
        break;
    case task_state::failed:
        job.failed_attempts[index] = task.attempt;
        charge_failure(cell, task);
        // A failed attempt counts as a run, so a task that may run only once is not retried.
        if (!idempotent) {
            job.parked.insert(index);
        }
        break;
    case task_state::stopped:
        // The worker stopped it as a stale attempt, but no later attempt exists and the job isn't
        // cancelled.
        if (is_cancelled(cell, task.id.job)) {
            job.cancelled.insert(index);
            job.stopped.insert(index);
        } else if (!idempotent) {
            job.outcome_unknown.insert(index);
        }
        break;
    case task_state::running:
        assert(false);
    }
    task.end_state = report.state;
    task.commit = mark_dirty(cell);
    set_phase(cell.tables, task, task_phase::committing, task.worker);
}

// Stops an attempt that a later one replaced. This happens only when a worker violates the lease
// rules.
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

// Returns the row of a reported task. Adds one when this owner did not start the task.
cell_task& find_or_add_task(cell_state& cell, const task_report& report) {
    const auto [row, created] = cell.tables.tasks.try_emplace(report.task);
    if (created) {
        row->second.id = report.task;
        row->second.may_run_elsewhere = !cell.takeover_complete;
    }
    return row->second;
}

// Returns whether the progress already holds this end, so that a repeated report isn't counted
// twice.
bool is_recorded(const cell_state& cell, const task_report& report) {
    const auto found = cell.progress.jobs.find(report.task.job);
    if (found == cell.progress.jobs.end()) {
        return false;
    }
    const auto index = report.task.index;
    const auto& job = found->second;
    if (report.state == task_state::checkpointed) {
        const auto at = job.checkpoints.find(index);
        return at != job.checkpoints.end() && at->second.attempt == report.attempt;
    }
    const auto at = job.failed_attempts.find(index);
    return report.state == task_state::failed && at != job.failed_attempts.end() &&
           at->second == report.attempt;
}

// Replaces the outcome "unknown" when the worker that ran the only attempt reconnects and reports
// its result.
void revise_unknown_outcome(cell_state& cell, const task_report& report) {
    const auto job = cell.progress.jobs.find(report.task.job);
    if (report.state == task_state::finished && job != cell.progress.jobs.end() &&
        job->second.outcome_unknown.erase(report.task.index) > 0) {
        cell.counters->count("fulmar_outcomes_revised_total");
    }
}

void apply_report(cell_state& cell, std::size_t worker, const task_report& report) {
    revise_unknown_outcome(cell, report);
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
    auto& task = find_or_add_task(cell, report);
    const bool placed_elsewhere = holds_resources(task.phase) && task.worker != worker;
    if (report.attempt < task.attempt || placed_elsewhere) {
        stop_stale_attempt(cell, worker, report);
        return;
    }
    if (task.phase == task_phase::committing && report.attempt == task.attempt) {
        return;
    }
    if (task.phase == task_phase::waiting && is_recorded(cell, report)) {
        acknowledge(cell, worker, report.task, report.attempt);
        return;
    }
    // An attempt that was evicted or failed here may have been resumed since on a worker that has
    // not been inventoried.
    if (report.state != task_state::checkpointed && report.state != task_state::failed) {
        task.may_run_elsewhere = false;
    }
    task.reply_lost = false;
    task.expires_at = {};
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

// Ends a task that its worker certainly no longer runs, without a report of its end.
void end_lost_task(cell_state& cell, cell_task& task, std::string_view reason, time_point now) {
    const bool unsent = task.phase == task_phase::committing_intent ||
                        (task.phase == task_phase::starting && task.expires_at.value == 0);
    if (unsent || is_idempotent(cell, task.id)) {
        requeue(cell, task, reason, now);
        return;
    }
    // The task may have run to completion unreported, so a second start could run it twice.
    auto& progress = progress_of(cell, task.id);
    progress.intents.erase(task.id.index);
    progress.outcome_unknown.insert(task.id.index);
    cell.counters->count("fulmar_tasks_ended_total", "outcome_unknown");
    mark_dirty(cell);
    set_phase(cell.tables, task, task_phase::waiting, no_worker);
    cell.tables.tasks.erase(task.id);
}

// Ends tasks that should be on a worker but are missing from its full inventory.
void end_absent_tasks(cell_state& cell, std::size_t worker, const sync_reply& reply,
                      const std::set<task_id>& reported, time_point now) {
    std::vector<cell_task*> absent;
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.worker != worker || !holds_resources(task.phase) || reported.contains(id)) {
            continue;
        }
        const bool unsent =
            task.expires_at.value == 0 &&
            (task.phase == task_phase::starting || task.phase == task_phase::committing_intent);
        // A start command whose reply was lost may still arrive until it expires, even when the
        // task was cancelled since.
        const bool may_arrive = task.expires_at.value != 0 && reply.now <= task.expires_at;
        if (unsent || may_arrive) {
            continue;
        }
        absent.push_back(&task);
    }
    for (auto* task : absent) {
        // After a restart the worker no longer has a record of the commands that it executed.
        if (task->expires_at.value != 0 && !cell.tables.workers[worker].restarted) {
            requeue(cell, *task, "start_not_executed", now);
        } else {
            end_lost_task(cell, *task, "lost_at_worker", now);
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
    if (task.worker != worker || task.attempt != outcome.attempt || !holds_resources(task.phase)) {
        return;
    }
    if (task.phase == task_phase::running && !outcome.refused) {
        task.share_confirmed = task.share_sent;
    }
    // This is the result of an evict or stop command, which is repeated until the end is reported.
    // A task that the worker doesn't have is also missing from its inventory.
    const bool answers_start = task.expires_at.value != 0 && !task.reply_lost;
    if (!answers_start) {
        auto& row = cell.tables.workers[worker];
        row.need_inventory = row.need_inventory || outcome.refused.has_value();
        return;
    }
    task.expires_at = {};
    if (!outcome.refused) {
        if (task.phase == task_phase::starting) {
            set_phase(cell.tables, task, task_phase::running, worker);
        }
        cell.counters->count("fulmar_task_starts_total");
        return;
    }
    cell.counters->count("fulmar_start_refused_total", to_string(*outcome.refused));
    // Any refusal other than an expired command means that the worker runs tasks that are missing
    // from the tables.
    cell.tables.workers[worker].need_inventory |= *outcome.refused != error_kind::expired;
    requeue(cell, task, "refused_by_worker", now);
}

// Removes the row of a task that has ended and counts the end.
void erase_task(cell_state& cell, cell_task& task, std::string_view reason) {
    cell.counters->count("fulmar_tasks_ended_total", reason);
    cell.tables.tasks.erase(task_id(task.id));
}

} // namespace

std::uint64_t mark_dirty(cell_state& cell) {
    cell.progress_dirty = true;
    return cell.open_commit;
}

void requeue(cell_state& cell, cell_task& task, std::string_view reason, time_point now) {
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
    // The job record may arrive after the inventory of its worker. on_job then adds the row again
    // from the progress, so placement never handles a task without a job.
    if (!cell.tables.jobs.contains(task.id.job)) {
        cell.tables.tasks.erase(task_id(task.id));
    }
}

void apply_sync_reply(cell_state& cell, std::size_t worker, bool full_inventory,
                      const sync_reply& reply, time_point now) {
    // Step 1: store the worker's clock, capacity and incarnation.
    auto& row = cell.tables.workers.at(worker);
    const bool restarted = row.inventoried && reply.incarnation != row.incarnation;
    row.clock = reply.now;
    row.clock_received = now;
    if (row.capacity != reply.capacity || full_inventory) {
        ++cell.tables.placement_inputs;
    }
    row.capacity = reply.capacity;
    row.incarnation = reply.incarnation;
    if (restarted) {
        row.need_inventory = true;
        row.restarted = true;
    }

    // Step 2: apply the results of commands, then the reports. Until this host owns the progress,
    // an earlier owner may still change it, so an end recorded now could be overwritten; workers
    // repeat their reports.
    if (!cell.progress_owned) {
        return;
    }
    for (const auto& outcome : reply.results) {
        apply_result(cell, worker, outcome, now);
    }
    std::set<task_id> reported;
    for (const auto& report : reply.tasks) {
        reported.insert(report.task);
        apply_report(cell, worker, report);
    }

    apply_usage(cell.tables, worker, reply.usage, now);

    // Step 3: a full inventory also shows which tasks are missing.
    if (full_inventory) {
        row.inventoried = true;
        row.predecessor_ended = true;
        row.need_inventory = false;
        end_absent_tasks(cell, worker, reply, reported, now);
        row.restarted = false;
    }
    for (const auto& [id, task] : cell.tables.tasks) {
        if (task.worker == worker && task.reply_lost) {
            row.need_inventory = true;
        }
    }
}

void return_unsent_starts(cell_state& cell, std::size_t worker, time_point now) {
    std::vector<cell_task*> unsent;
    for (auto& [id, task] : cell.tables.tasks) {
        // A task that was cancelled while its start was in flight is in another phase now.
        const bool in_this_sync = task.expires_at.value != 0 || task.phase == task_phase::starting;
        if (task.worker == worker && holds_resources(task.phase) && in_this_sync &&
            !task.reply_lost) {
            unsent.push_back(&task);
        }
    }
    for (auto* task : unsent) {
        requeue(cell, *task, "worker_unreachable", now);
    }
}

void mark_reply_lost(cell_state& cell, std::size_t worker) {
    cell.tables.workers.at(worker).need_inventory = true;
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.worker == worker && task.expires_at.value != 0) {
            task.reply_lost = true;
        }
    }
}

void release_lost_worker(cell_state& cell, std::size_t worker, time_point now) {
    std::vector<cell_task*> lost;
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.worker == worker && holds_resources(task.phase)) {
            lost.push_back(&task);
        }
    }
    for (auto* task : lost) {
        end_lost_task(cell, *task, "worker_lost", now);
    }
}

void resolve_old_intents(cell_state& cell) {
    for (auto& [id, job] : cell.progress.jobs) {
        for (auto at = job.intents.begin(); at != job.intents.end();) {
            const auto row = cell.tables.tasks.find({id, at->first});
            const bool placed =
                row != cell.tables.tasks.end() && row->second.phase != task_phase::waiting;
            if (placed || at->second.attempt >= first_attempt(cell.epoch)) {
                ++at;
                continue;
            }
            job.outcome_unknown.insert(at->first);
            at = job.intents.erase(at);
            if (row != cell.tables.tasks.end()) {
                cell.tables.tasks.erase(row);
            }
            cell.counters->count("fulmar_tasks_ended_total", "outcome_unknown");
            mark_dirty(cell);
        }
    }
}

void settle_committed(cell_state& cell, time_point now) {
    std::vector<cell_task*> stored_tasks;
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.commit <= cell.last_stored_commit &&
            (task.phase == task_phase::committing || task.phase == task_phase::committing_intent)) {
            stored_tasks.push_back(&task);
        }
    }
    for (auto* task : stored_tasks) {
        if (task->phase == task_phase::committing_intent) {
            set_phase(cell.tables, *task, task_phase::starting, task->worker);
            continue;
        }
        acknowledge(cell, task->worker, task->id, task->attempt);
        switch (task->end_state) {
        case task_state::finished:
            erase_task(cell, *task, "finished");
            break;
        case task_state::stopped:
            if (has_ended(cell, task->id)) {
                erase_task(cell, *task, "cancelled");
            } else {
                requeue(cell, *task, "stopped", now);
            }
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
