// Processing of what workers report: replies to commands, lists of active runs and run ends, which
// are reported until acknowledged.
#include "shard_acknowledgements.hpp"
#include "shard_begin.hpp"
#include "shard_gangs.hpp"
#include "shard_internal.hpp"

#include <algorithm>
#include <cassert>
#include <set>

namespace fulmar {

namespace {

// A task that failed looks for another worker for this long. Afterwards running at all counts more:
// no other one may be able to run it.
constexpr duration avoidance_time{1'500};

// A run that doesn't end by itself counts as a success of its worker once it has lasted this long.
constexpr duration success_time{2'000};

// Between probes of a worker at whose address another one answers. It may come back there under its
// id.
constexpr duration replaced_probe_interval{2'000};

// How long a predecessor may have known that a serving task is over its target before the first
// report to this owner shows it.
constexpr duration takeover_time{3'000};

// Marks a task as done and stops its other runs.
void finish_task(shard_state& shard, stage_row& stage, const task_key& key, time_point now) {
    auto& task = stage.tasks[key.index];
    if (task.done) {
        return;
    }
    task.done = true;
    ++stage.done;
    stage.waiting.erase(key.index);
    for (const auto number : task.runs) {
        request_stop(shard.tables.runs.at({key, number}), stop_cause::duplicate, now);
    }
}

// Finishes a borrowed task, which is then reported to the lender. The end of one member of a gang
// finishes all members that the same loan includes.
void finish_borrowed(shard_state& shard, job_row& job, stage_row& stage, const task_key& key,
                     time_point now) {
    finish_task(shard, stage, key, now);
    report_task(shard, job, stage.tasks[key.index], loan_result::done, now);
    if (!job.spec.steps[key.step].gang) {
        return;
    }
    const auto loan = stage.tasks[key.index].loan;
    for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
        auto& member = stage.tasks[index];
        if (member.loan != loan || member.result != loan_result::pending) {
            continue;
        }
        finish_task(shard, stage, {key.job, key.occurrence, key.step, index}, now);
        report_task(shard, job, member, loan_result::done, now);
    }
}

// Sets what a predecessor knew about a run as far as the sharing of its worker depends on it. The
// measurements that follow show whether a serving task is over its target.
void assume_predecessor_pacing(run_row& run, time_point now) {
    if (run.filler) {
        run.pace_confirmed = -1; // unknown, so the pace is sent
    }
    if (run.tail_target.count() > 0 && run.measurement > 0) {
        run.over_target_since = now - takeover_time;
        run.average_over_since = run.over_target_since;
    }
}

// Adds a run that a worker lists and that this owner didn't start: a predecessor started it. The
// run is stopped if its task doesn't need it.
void adopt_run(shard_state& shard, worker_row& worker, const run_status& row, time_point now) {
    run_row run;
    run.key = row.run;
    run.worker = worker.entry.target.id;
    run.phase = run_phase::running;
    run.start_sent = now;
    run.confirmed = now;
    run.incarnation_known = true;
    run.checkpoint = row.checkpoint;
    run.progress_percent = row.progress_percent;
    run.measurement = row.measurement;
    const auto job = shard.tables.jobs.find(row.run.task.job);
    if (job != shard.tables.jobs.end() && row.run.task.step < job->second.spec.steps.size()) {
        apply_step_spec(run, job->second.spec.steps[row.run.task.step]);
    }
    assume_predecessor_pacing(run, now);
    open_reported_occurrence(shard, row.run.task, shard.wall_clock);
    auto* task = find_task(shard.tables, row.run.task);
    const bool wanted = task != nullptr && !task->done && !task->not_local && task->runs.empty();
    const auto cause = task == nullptr ? stop_cause::cancelled : stop_cause::duplicate;
    auto& added = add_run(shard.tables, std::move(run));
    if (!wanted) {
        request_stop(added, cause, now);
    } else {
        auto& own = shard.tables.jobs.at(row.run.task.job);
        mark_begun(own);
        const bool recorded_elsewhere = has_recorded_workers(*task) &&
                                        task->recorded_on != added.worker &&
                                        !task->planned_on.contains(added.worker);
        if (task->parked || recorded_elsewhere) {
            // Not clear_whereabouts: a recorded worker that is silent may still have a run as well.
            task->parked = false;
            task->recorded_on.reset();
            task->planned_on.clear();
            record_change(shard, own, true, now);
            task->whereabouts_version = own.version;
        }
    }
    shard.log->write("event=run_adopted task={}.{}.{}.{} run={} worker={} wanted={}",
                     row.run.task.job.value, row.run.task.occurrence, row.run.task.step,
                     row.run.task.index, row.run.number.value, worker.entry.target.id.value,
                     wanted);
}

// Updates a run from its status in the worker's list.
void update_run(shard_tables& tables, run_row& run, const run_status& row, time_point sent,
                time_point now) {
    if (const auto job = tables.jobs.find(run.key.task.job); job != tables.jobs.end()) {
        mark_begun(job->second);
    }
    run.checkpoint = row.checkpoint;
    run.progress_percent = row.progress_percent;
    run.measurement = row.measurement;
    run.confirmed = run.confirmed.value_or(now);
    // The list may be of an incarnation before the one that got a repeated start.
    run.incarnation_known =
        run.incarnation_known || run.starts_unanswered == 0 || sent > run.start_sent;
    if (run.phase == run_phase::starting || run.phase == run_phase::unconfirmed) {
        run.phase = run_phase::running;
    }
}

// Has a start sent again that the worker hasn't executed. It may still execute the earlier one:
// the task must not start elsewhere before that is over.
void repeat_or_stop(shard_state& shard, run_row& run, const worker_row& worker, time_point now) {
    constexpr std::uint32_t max_starts = 3;
    const auto* task = find_task(shard.tables, run.key.task);
    // Members of a gang start together, each from the same checkpoint.
    const bool recorded = task != nullptr && task->recorded_on == run.worker;
    const bool wanted = task != nullptr && !task->done && !task->not_local && !recorded &&
                        !shard.tables.jobs.at(run.key.task.job).spec.steps[run.key.task.step].gang;
    if (wanted && is_usable(shard, worker) && run.starts_sent < max_starts) {
        shard.repeated_starts.insert(run.key);
    } else {
        request_stop(run, stop_cause::duplicate, now);
    }
}

// Handles a run that the worker doesn't list. The list may be older than the reply to a command, so
// only what was known before the hold was sent counts.
void check_absent_run(shard_state& shard, const run_key& key, const worker_row& worker,
                      time_point sent, time_point now) {
    auto& run = shard.tables.runs.at(key);
    const bool was_running = run.confirmed && sent > *run.confirmed;
    const bool command_expired = run.phase != run_phase::starting &&
                                 worker.clock->value >= run.command_lease.value &&
                                 sent > run.start_sent;
    const bool was_stopped = run.stop_answered && sent > *run.stop_answered;
    const bool ended = was_running || was_stopped || (command_expired && !run.confirmed);
    // A later incarnation knows neither the stop nor the fence.
    if (ended && !may_start_late(run, sent)) {
        shard.log->write("event=run_absent task={}.{}.{}.{} run={} worker={} phase={}",
                         key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                         key.number.value, run.worker.value, to_string(run.phase));
        remove_run(shard.tables, key);
        shard.placement_needed = true;
    } else if (run.phase == run_phase::unconfirmed && sent > run.start_sent) {
        repeat_or_stop(shard, run, worker, now);
    }
}

// Processes the lists of run ends and active runs in a reply.
void process_run_lists(shard_state& shard, worker_row& worker, const hold_reply& reply,
                       time_point sent, time_point now, unix_time unix_now) {
    check_end_numbers(shard, worker, reply.ended);
    for (const auto& row : reply.ended) {
        if (row.number > worker.processed_end) {
            on_run_ended(shard, worker, row, now, unix_now);
            worker.processed_end = row.number;
            worker.ends_contiguous = true;
        }
    }
    std::set<run_key> listed;
    for (const auto& row : reply.running) {
        listed.insert(row.run);
        const auto found = shard.tables.runs.find(row.run);
        if (found == shard.tables.runs.end()) {
            adopt_run(shard, worker, row, now);
        } else if (found->second.worker == worker.entry.target.id) {
            update_run(shard.tables, found->second, row, sent, now);
            if (found->second.long_running && found->second.start_sent >= worker.no_starts_before &&
                now >= found->second.start_sent + success_time) {
                worker.failures = 0;
            }
        }
    }
    if (reply.ended.size() >= max_run_ends) {
        return; // the list of run ends is not complete, so it may lack the end of an absent run
    }
    const auto runs = worker.runs;
    for (const auto& key : runs) {
        if (!listed.contains(key) && shard.tables.runs.contains(key)) {
            check_absent_run(shard, key, worker, sent, now);
        }
    }
    worker.inventoried = true;
    shard.unreached_workers.erase(worker.entry.target.id);
    shard.untouched_workers.erase(worker.entry.target.id);
}

// Returns when a worker sent the reply that is processed now. A reply to a host that stood still
// waits for it: the worker's clock in it is then behind.
time_point find_reply_time(const worker_row& worker, worker_clock clock, bool restarted,
                           time_point sent, time_point now) {
    if (restarted || !worker.clock) {
        return now;
    }
    const auto expected = worker.clock->value + (now - worker.clock_at).count();
    return std::clamp(now - duration(expected - clock.value), sent, now);
}

void mark_unreachable(shard_state& shard, worker_row& worker, std::string_view reason,
                      time_point sent, time_point now) {
    worker.next_hold = now + shard.timing.probe_interval;
    if (worker.reachability == reachability_state::unreachable) {
        return;
    }
    worker.reachability = reachability_state::unreachable;
    worker.unanswered_since = sent;
    shard.counters->count("workers_unreachable", reason);
    shard.log->write("event=worker_unreachable shard={} worker={} reason={} runs={}",
                     shard.id.value, worker.entry.target.id.value, reason, worker.runs.size());
}

// Handles the answer that another worker listens at a worker's address. An address is free for
// another process only once the worker's own has ended, and its runs with it.
void on_worker_replaced(shard_state& shard, worker_row& worker, time_point sent, time_point now) {
    const auto& target = worker.entry.target;
    mark_unreachable(shard, worker, "other_life", sent, now);
    worker.next_hold = now + replaced_probe_interval;
    const auto unreached = shard.unreached_workers.find(target.id);
    if (unreached != shard.unreached_workers.end() && unreached->second != target.address) {
        // The predecessors knew the worker at another address, where it may still run.
        worker.entry.target.address = unreached->second;
        worker.next_hold = now;
        return;
    }
    if (worker.replaced) {
        return;
    }
    worker.replaced = true;
    raise_fence(shard, worker); // it may come back there under its id
    reset_worker_state(shard, worker, now);
    const auto runs = worker.runs;
    for (const auto& key : runs) {
        end_lost_run(shard, key, "other_life", now);
    }
    shard.unreached_workers.erase(target.id);
}

// Records a failed run once, however often it is reported, and returns the number of failed runs of
// the task, or of its gang.
std::size_t record_failed_run(stage_row& stage, const step_spec& step, const run_key& run) {
    auto& failed = stage.tasks[run.task.index].failed_runs;
    if (std::find(failed.begin(), failed.end(), run.number) == failed.end()) {
        failed.push_back(run.number);
    }
    if (!step.gang) {
        return failed.size();
    }
    std::set<run_number> numbers;
    for (const auto& member : stage.tasks) {
        numbers.insert(member.failed_runs.begin(), member.failed_runs.end());
    }
    return numbers.size();
}

// Records a run end that was processed. It is acknowledged once the current version of the job's
// record is stored: if an acknowledged end or the cancellation of the job were lost with its owner,
// a successor would treat the task as waiting.
void record_run_end(const shard_state& shard, worker_row& worker, const run_end& row) {
    const auto job = shard.tables.jobs.find(row.run.task.job);
    const auto version = job == shard.tables.jobs.end() ? 0 : job->second.version;
    worker.unacknowledged_ends.push_back({row, version});
}

// Returns whether a task that is still needed here has a run, or waits for one.
bool is_accounted_for(shard_tables& tables, const task_key& key) {
    const auto* task = find_task(tables, key);
    return task == nullptr || task->done || task->not_local || !task->runs.empty() ||
           find_stage(tables, key)->waiting.contains(key.index);
}

// Keeps a run that has ended, as a later incarnation of its worker may execute another start of it,
// unless the stop reaches that one first.
void wait_for_late_start(run_row& run, time_point now) {
    run.incarnation_known = false;
    run.confirmed.reset();
    request_stop(run, stop_cause::duplicate, now);
}

// Applies the end of a run to its task and job. Returns whether a caller or another shard waits for
// the change. Completing a task may free the rows of its whole occurrence, and ending a job frees
// those of all its occurrences, so the rows are not used after either.
bool settle_run_end(shard_state& shard, job_row& job, const worker_id& worker, const run_end& row,
                    time_point now, unix_time unix_now) {
    const auto& key = row.run;
    const auto& step = job.spec.steps[key.task.step];
    auto& stage = *find_stage(shard.tables, key.task);
    auto& task = stage.tasks[key.task.index];
    task.last_run = std::max(task.last_run, key.number);
    keep_checkpoint(stage, step, key, row.checkpoint, true);
    if (row.kind == run_end_kind::done && !step.long_running) {
        if (!is_borrowed(job)) {
            return complete_task(shard, job, key.task, now, unix_now);
        }
        finish_borrowed(shard, job, stage, key.task, now);
        return true;
    }
    if (row.kind != run_end_kind::failed) {
        return false;
    }
    task.last_failed_on = worker;
    task.avoided_until = now + avoidance_time;
    const bool attempts_exhausted =
        !step.long_running && record_failed_run(stage, step, key) >= job.queue.max_attempts;
    if (!attempts_exhausted) {
        return false;
    }
    if (!is_borrowed(job)) {
        end_job(shard, job, job_phase::failed, now, unix_now);
        return true;
    }
    report_task(shard, job, task, loan_result::failed, now);
    stage.waiting.erase(key.task.index);
    return true;
}

} // namespace

bool complete_task(shard_state& shard, job_row& job, const task_key& key, time_point now,
                   unix_time unix_now) {
    auto& occurrence = job.occurrences.at(key.occurrence);
    auto& stage = occurrence.stages[key.step];
    const auto& step = job.spec.steps[key.step];
    if (step.gang) {
        // The end of one member completes all members.
        for (std::uint32_t index = 0; index < step.count; ++index) {
            task_key member = key;
            member.index = index;
            finish_task(shard, stage, member, now);
        }
    } else {
        finish_task(shard, stage, key, now);
    }
    if (stage.done < step.count) {
        return false;
    }
    open_stages(job.spec, occurrence);
    shard.placement_needed = true;
    if (!occurrence.done) {
        return false;
    }
    job.occurrences.erase(key.occurrence);
    ++job.occurrences_done;
    if (job.occurrences_done < std::max<std::uint32_t>(1, job.spec.occurrences)) {
        return true;
    }
    end_job(shard, job, job_phase::completed, now, unix_now);
    return true;
}

void report_task(shard_state& shard, job_row& job, task_row& task, loan_result result,
                 time_point now) {
    task.result = result;
    task.not_local = true;
    clear_whereabouts(task);
    record_change(shard, job, true, now);
    task.result_version = job.version;
}

void apply_run_end(shard_state& shard, const worker_id& worker, const run_end& row, time_point now,
                   unix_time unix_now) {
    const auto& key = row.run;
    if (const auto run = shard.tables.runs.find(key);
        run != shard.tables.runs.end() && run->second.worker == worker) {
        if (may_start_late(run->second, now)) {
            wait_for_late_start(run->second, now);
        } else {
            remove_run(shard.tables, key);
        }
    }
    shard.placement_needed = true;
    open_reported_occurrence(shard, key.task, unix_now);
    const auto* task = find_task(shard.tables, key.task);
    if (task == nullptr || task->done) {
        return;
    }
    auto& job = shard.tables.jobs.at(key.task.job);
    mark_begun(job);
    if (task->loan != 0 && !is_borrowed(job)) {
        // The worker was unreachable for longer than its lease, and the task was lent meanwhile.
        // The borrower may already run it, so the borrower's result counts.
        shard.log->write("event=late_end_ignored task={}.{}.{}.{} run={} worker={} end={}",
                         key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                         key.number.value, worker.value, to_string(row.kind));
        return;
    }
    const bool urgent = settle_run_end(shard, job, worker, row, now, unix_now);
    assert(is_accounted_for(shard.tables, key.task));
    record_change(shard, job, urgent, now);
}

void on_run_ended(shard_state& shard, worker_row& worker, const run_end& row, time_point now,
                  unix_time unix_now) {
    const auto& key = row.run;
    shard.counters->count("runs_ended", to_string(row.kind));
    if (row.kind == run_end_kind::failed) {
        ++worker.failures;
        if (worker.failures > 1) {
            pause_starts(shard, worker, now);
        }
    } else if (row.kind == run_end_kind::done) {
        worker.failures = 0;
    }
    if (row.kind != run_end_kind::done) {
        shard.log->write("event=run_ended task={}.{}.{}.{} run={} worker={} end={}",
                         key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                         key.number.value, worker.entry.target.id.value, to_string(row.kind));
    }
    apply_run_end(shard, worker.entry.target.id, row, now, unix_now);
    record_run_end(shard, worker, row);
}

void on_hold_reply(shard_state& shard, const worker_id& id, const result<hold_reply>& reply,
                   time_point sent, time_point now, unix_time unix_now) {
    const auto found = shard.tables.workers.find(id);
    if (shard.ownership_lost || found == shard.tables.workers.end()) {
        return;
    }
    shard.wall_clock = unix_now;
    auto& worker = found->second;
    const bool last_hold = sent == worker.hold_sent;
    if (last_hold && worker.hold_has_lease &&
        (reply || reply.error().kind == error_kind::unavailable)) {
        note_lease_answered(worker, sent);
    }
    if (sent < worker.replies_since) {
        return;
    }
    worker.hold_in_flight = false;
    if (!reply) {
        const bool reached = worker.reachability == reachability_state::reachable;
        if (reached) {
            raise_fence(shard, worker);
        }
        mark_unreachable(shard, worker, to_string(reply.error().kind), sent, now);
        if (reached && reply.error().kind == error_kind::outcome_unknown) {
            worker.next_hold = now; // only the connection broke
        }
        plan_paces(shard, worker, now); // the times over the targets go on without a report
        return;
    }
    const auto& report = reply.value();
    if (report.outcome == command_outcome::fenced) {
        worker.next_hold = now;
        on_fenced(shard, worker, last_hold ? worker.hold_fence : 0);
        return;
    }
    if (report.outcome == command_outcome::other_incarnation) {
        on_worker_replaced(shard, worker, sent, now);
        return;
    }
    if (report.outcome != command_outcome::done) {
        mark_unreachable(shard, worker, to_string(report.outcome), sent, now);
        return;
    }
    const bool restarted =
        (worker.start_time && report.start_time && *worker.start_time != *report.start_time) ||
        (worker.clock && report.clock < *worker.clock);
    if (restarted && last_hold && worker.hold_has_lease) {
        // It was meant for the former incarnation.
        worker.leases_taken = std::max(worker.leases_taken, now);
    }
    const bool took_no_lease = restarted && !may_have_taken_lease(shard, worker, now);
    if (restarted) {
        reset_worker_state(shard, worker, now);
    }
    worker.acknowledged_sent = std::max(worker.acknowledged_sent, worker.acknowledged_in_flight);
    worker.replied_at = find_reply_time(worker, report.clock, restarted, sent, now);
    if (report.start_time) {
        worker.start_time = report.start_time;
    }
    if (worker.reachability != reachability_state::reachable) {
        shard.placement_needed = true;
    }
    if (worker.reachability == reachability_state::unreachable) {
        shard.log->write("event=worker_reached shard={} worker={} unanswered_ms={}", shard.id.value,
                         id.value, (now - worker.unanswered_since).count());
    }
    worker.reachability = reachability_state::reachable;
    worker.replaced = false;
    worker.clock = report.clock;
    worker.clock_sent = sent;
    worker.clock_at = now;
    if (!worker.inventoried) {
        const auto lease = find_first_lease(shard, worker, report.start_time, took_no_lease);
        worker.lease_until =
            std::max(worker.lease_until, worker_clock{report.clock.value + lease.count()});
        if (!refuses_former_commands(worker)) {
            raise_fence(shard, worker);
            worker.next_hold = now;
            return;
        }
    }
    process_run_lists(shard, worker, report, sent, now, unix_now);
    pace_fillers(shard, worker, now);
    if (is_promised(shard, id)) {
        worker.next_hold = now + shard.timing.promised_hold_interval;
    } else {
        // The worker replies at once while it lists ends.
        const bool unacknowledged =
            !worker.unacknowledged_ends.empty() ||
            (worker.acknowledged_end > worker.acknowledged_sent && !may_acknowledge(worker, now));
        worker.next_hold = unacknowledged ? now + shard.timing.unstored_hold_interval : now;
    }
}

} // namespace fulmar
