// Parked tasks: a long-running task that has had no run for a while is stored as such, and its
// owner stores that it isn't any more before it starts it. So the next owner knows that the task
// runs nowhere, and places or lends it while its takeover still waits for workers.
#include "shard_internal.hpp"

namespace fulmar {

namespace {

constexpr duration parking_interval{500};

// A task that waits for less is on its usual way to a worker, which parking would delay by a
// transaction.
constexpr duration park_after{1'000};

bool may_park(const shard_state& shard, const job_row& job, const task_row& task, time_point now) {
    return !task.parked && task.idle_since && now - *task.idle_since >= park_after &&
           now >= task.no_parking_before && job.stored_version >= task.whereabouts_version &&
           !has_unknown_run(shard, job, task);
}

// Parks the tasks of a job that may be; returns whether there are any.
bool park_tasks(const shard_state& shard, job_row& job, time_point now) {
    bool changed = false;
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& stage : occurrence.stages) {
            const auto& step = job.spec.steps[stage.step];
            if (!stage.open || !step.long_running || step.gang) {
                continue;
            }
            for (const auto index : stage.waiting) {
                auto& task = stage.tasks[index];
                if (!may_park(shard, job, task, now)) {
                    continue;
                }
                clear_whereabouts(task);
                task.parked = true;
                task.parked_by = shard.epoch;
                task.whereabouts_version = job.version + 1;
                changed = true;
            }
        }
    }
    return changed;
}

} // namespace

bool is_storing(const shard_state& shard, time_point now) {
    constexpr duration store_limit{1'000};
    const auto& commit = shard.commit;
    return !commit.unconfirmed && commit.last_applied && now <= *commit.last_applied + store_limit;
}

void park_waiting_tasks(shard_state& shard, time_point now) {
    if (now < shard.next_parking) {
        return;
    }
    shard.next_parking = now + parking_interval;
    if (!is_storing(shard, now)) {
        return;
    }
    for (const auto& id : shard.active) {
        auto& job = shard.tables.jobs.at(id);
        if (park_tasks(shard, job, now)) {
            shard.counters->count("jobs_parked");
            record_change(shard, job, false, now);
        }
    }
}

// A task counts as parked only if the last owner stored it so: an owner of an earlier version
// starts parked tasks without a change of their records.
void load_parked_tasks(shard_state& shard) {
    for (auto& [id, job] : shard.tables.jobs) {
        bool changed = false;
        for (auto& [number, occurrence] : job.occurrences) {
            for (auto& stage : occurrence.stages) {
                for (auto& task : stage.tasks) {
                    if (!task.parked) {
                        continue;
                    }
                    if (task.parked_by.value + 1 != shard.epoch.value) {
                        task.parked = false;
                        continue;
                    }
                    task.no_unknown_run = true;
                    task.parked_by = shard.epoch;
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

} // namespace fulmar
