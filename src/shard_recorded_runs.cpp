// Recorded runs: the store names the workers on which a long-running task may run. Before a start
// is sent, its worker is stored as planned; once the worker has confirmed the run in its known
// incarnation, with the usual lease, as the one on which the task is recorded. The record
// stays until the next start is planned, so a move names its target only when the run has ended. So
// the next owner knows that the task runs there or nowhere, and waits for that worker only: for a
// recorded one no longer than the usual lease, as a command that a restarted worker took unnoticed
// is of another run, and for a planned one until no start can arrive any more.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr duration recording_interval{300};

// A run whose worker isn't stored as planned is recorded after this time: owners of an earlier
// version started it. Most that fail at once have ended by then.
constexpr duration record_after{1'000};

// Limits the transactions for a task that workers refuse.
constexpr duration parking_pause{2'000};

bool may_record(const shard_state& shard, const task_key& key, const task_row& task,
                time_point now) {
    if (task.not_local || task.runs.size() != 1 || (task.recorded_on && task.planned_on.empty())) {
        return false;
    }
    const auto& run = shard.tables.runs.at({key, task.runs.front()});
    const auto& worker = shard.tables.workers.at(run.worker);
    const bool planned = task.planned_on.contains(run.worker) || task.recorded_on == run.worker;
    if (run.phase != run_phase::running || !is_certain(worker, run) ||
        (!planned && now < run.start_sent + record_after)) {
        return false;
    }
    return worker.reachability == reachability_state::reachable && worker.inventoried &&
           has_usual_lease(shard, worker, now);
}

// Records the runs of a job that may be; returns whether there are any.
bool record_runs(const shard_state& shard, job_row& job, time_point now) {
    bool changed = false;
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& stage : occurrence.stages) {
            const auto& step = job.spec.steps[stage.step];
            if (!stage.open || !records_starts(step)) {
                continue;
            }
            for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
                auto& task = stage.tasks[index];
                const task_key key{job.id, number, stage.step, index};
                if (!may_record(shard, key, task, now)) {
                    continue;
                }
                task.recorded_on = shard.tables.runs.at({key, task.runs.front()}).worker;
                task.planned_on.clear();
                task.recorded_by = shard.epoch;
                task.whereabouts_version = job.version + 1;
                changed = true;
            }
        }
    }
    return changed;
}

// Returns whether a recorded run may still be on its worker without this owner's knowledge.
bool may_run_unseen(const shard_state& shard, const worker_id& worker) {
    return shard.unreached_workers.contains(worker) &&
           shard.usually_leased_workers.contains(worker);
}

} // namespace

bool has_unknown_run(const shard_state& shard, const job_row& job, const task_row& task) {
    if (shard.takeover_complete || !job.inherited || task.no_unknown_run) {
        return false;
    }
    return !has_recorded_workers(task) ||
           (task.recorded_on && may_run_unseen(shard, *task.recorded_on)) ||
           std::any_of(
               task.planned_on.begin(), task.planned_on.end(),
               [&](const worker_id& worker) { return shard.unreached_workers.contains(worker); });
}

void record_long_running_runs(shard_state& shard, time_point now) {
    if (now < shard.next_recording) {
        return;
    }
    shard.next_recording = now + recording_interval;
    if (!is_storing(shard, now)) {
        return;
    }
    for (const auto& id : shard.active) {
        auto& job = shard.tables.jobs.at(id);
        if (record_runs(shard, job, now)) {
            shard.counters->count("jobs_recorded");
            record_change(shard, job, false, now);
        }
    }
}

// A record counts only if the last owner stored it: one of an earlier version starts recorded tasks
// without a change of their records.
void load_recorded_runs(shard_state& shard) {
    for (auto& [id, job] : shard.tables.jobs) {
        bool changed = false;
        for (auto& [number, occurrence] : job.occurrences) {
            for (auto& stage : occurrence.stages) {
                for (auto& task : stage.tasks) {
                    if (!has_recorded_workers(task)) {
                        continue;
                    }
                    if (task.recorded_by.value + 1 != shard.epoch.value || task.parked) {
                        task.recorded_on.reset();
                        task.planned_on.clear();
                        continue;
                    }
                    task.recorded_by = shard.epoch;
                    task.whereabouts_version = job.version + 1;
                    changed = true;
                }
            }
        }
        if (changed) {
            record_change(shard, job, false, shard.loaded_at);
        }
    }
}

void clear_whereabouts(task_row& task) {
    task.no_unknown_run = task.no_unknown_run || task.parked || has_recorded_workers(task);
    task.parked = false;
    task.recorded_on.reset();
    task.planned_on.clear();
}

bool is_release_pending(const job_row& job, const task_row& task) {
    return !task.parked && !task.recorded_on && job.stored_version < task.whereabouts_version;
}

bool release_whereabouts(shard_state& shard, job_row& job, task_row& task, time_point now) {
    if (task.parked || has_recorded_workers(task)) {
        task.no_parking_before = task.parked ? now + parking_pause : task.no_parking_before;
        clear_whereabouts(task);
        record_change(shard, job, true, now);
        task.whereabouts_version = job.version;
    }
    return job.stored_version >= task.whereabouts_version;
}

bool plan_start(shard_state& shard, job_row& job, const step_spec& step, task_row& task,
                const worker_id& worker, time_point now) {
    if (!records_starts(step)) {
        return release_whereabouts(shard, job, task, now);
    }
    if (!task.planned_on.contains(worker)) {
        clear_whereabouts(task);
        task.planned_on.insert(worker);
        task.recorded_by = shard.epoch;
        task.no_parking_before = now + parking_pause;
        record_change(shard, job, true, now);
        task.whereabouts_version = job.version;
    }
    return job.stored_version >= task.whereabouts_version;
}

} // namespace fulmar
