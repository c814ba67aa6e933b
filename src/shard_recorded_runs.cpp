// Recorded runs: the run of a long-running task that its worker has listed for a while is stored
// with the worker, and its owner stores that it isn't recorded any more before it starts the task
// again. So the next owner knows that the task runs there or nowhere. It waits for that worker
// only, and only for the usual lease: a command that a restarted worker took unnoticed is of
// another run.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr duration recording_interval{300};

// Most runs that fail at once, or that are moved again, have ended by then.
constexpr duration record_after{1'000};

bool may_record(const shard_state& shard, const task_key& key, const task_row& task,
                time_point now) {
    if (task.recorded_on || task.not_local || task.runs.size() != 1) {
        return false;
    }
    const auto& run = shard.tables.runs.at({key, task.runs.front()});
    const auto& worker = shard.tables.workers.at(run.worker);
    if (run.phase != run_phase::running || !is_certain(worker, run) ||
        now < run.start_sent + record_after) {
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
            if (!stage.open || !step.long_running || step.gang || step.speculative) {
                continue;
            }
            for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
                auto& task = stage.tasks[index];
                const task_key key{job.id, number, stage.step, index};
                if (!may_record(shard, key, task, now)) {
                    continue;
                }
                task.recorded_on = shard.tables.runs.at({key, task.runs.front()}).worker;
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
    return !task.recorded_on || may_run_unseen(shard, *task.recorded_on);
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
                    if (!task.recorded_on) {
                        continue;
                    }
                    if (task.recorded_by.value + 1 != shard.epoch.value || task.parked) {
                        task.recorded_on.reset();
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
    task.no_unknown_run = task.no_unknown_run || task.parked || task.recorded_on;
    task.parked = false;
    task.recorded_on.reset();
}

void release_for_move(shard_state& shard, const task_key& key, time_point now) {
    auto* task = find_task(shard.tables, key);
    if (task == nullptr || !task->recorded_on) {
        return;
    }
    auto& job = shard.tables.jobs.at(key.job);
    clear_whereabouts(*task);
    record_change(shard, job, false, now);
    task->whereabouts_version = job.version;
}

bool is_release_pending(const job_row& job, const task_row& task) {
    return !task.parked && !task.recorded_on && job.stored_version < task.whereabouts_version;
}

bool release_whereabouts(shard_state& shard, job_row& job, task_row& task, time_point now) {
    constexpr duration parking_pause{2'000}; // limits the transactions for one that workers refuse
    if (task.parked || task.recorded_on) {
        task.no_parking_before = task.parked ? now + parking_pause : task.no_parking_before;
        clear_whereabouts(task);
        record_change(shard, job, true, now);
        task.whereabouts_version = job.version;
    }
    return job.stored_version >= task.whereabouts_version;
}

} // namespace fulmar
