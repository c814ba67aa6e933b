// Parked tasks: a task that has had no run for a while is stored as such, and its owner stores that
// it isn't any more before it starts it. So the next owner knows that the task runs nowhere, and
// places or lends it while its takeover still waits for workers.
#include "shard_internal.hpp"

#include <algorithm>
#include <map>

namespace fulmar {

namespace {

constexpr duration parking_interval{500};

// A long-running task that waits for less is on its usual way to a worker, which parking would
// delay by a transaction.
constexpr duration park_long_running_after{1'000};

// The same for other tasks, of which far more wait, most of them for less.
constexpr duration park_after{3'000};

// Jobs with short tasks that are parked in one round, so that a backlog doesn't fill transactions.
constexpr std::size_t jobs_per_round = 16;

// Short tasks that are released ahead, in percent of those that run, and at least so many. A
// release takes a placement round and a transaction, about a third of a second.
constexpr std::size_t released_percent = 50;
constexpr std::size_t least_released = 8;

bool may_park(const shard_state& shard, const job_row& job, const step_spec& step,
              const task_row& task, time_point now) {
    const auto& since = step.long_running ? task.idle_since : task.no_run_since;
    const auto limit = step.long_running ? park_long_running_after : park_after;
    return !task.parked && since && now - *since >= limit && now >= task.no_parking_before &&
           job.stored_version >= task.whereabouts_version && !has_unknown_run(shard, job, task);
}

// What a round of parking changed in a job.
struct parked_steps {
    bool long_running = false;
    bool others = false;
};

// Parks the tasks of a job that may be, but those that come next for room; without `others`, only
// long-running ones.
parked_steps park_tasks(const shard_state& shard, job_row& job, bool others, time_point now) {
    parked_steps changed;
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& stage : occurrence.stages) {
            const auto& step = job.spec.steps[stage.step];
            if (!stage.open || step.gang) {
                continue;
            }
            std::size_t position = 0;
            for (const auto index : stage.waiting) {
                auto& task = stage.tasks[index];
                task.no_run_since = task.no_run_since.value_or(now);
                const bool soon = position++ < stage.starts_soon;
                if ((!step.long_running && (soon || !others)) ||
                    !may_park(shard, job, step, task, now)) {
                    continue;
                }
                clear_whereabouts(task);
                task.parked = true;
                task.parked_by = shard.epoch;
                task.whereabouts_version = job.version + 1;
                (step.long_running ? changed.long_running : changed.others) = true;
            }
        }
    }
    return changed;
}

// Returns by service how many short tasks are to be released ahead.
std::map<service_id, std::size_t> count_released(const shard_state& shard) {
    std::map<service_id, std::size_t> running;
    for (const auto& [id, worker] : shard.tables.workers) {
        running[worker.entry.service] += static_cast<std::size_t>(
            std::count_if(worker.run_rows.begin(), worker.run_rows.end(),
                          [](const run_row* run) { return !run->long_running; }));
    }
    for (auto& [service, count] : running) {
        count = std::max(least_released, count * released_percent / 100);
    }
    return running;
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
    std::size_t others = 0;
    for (const auto& id : shard.active) {
        auto& job = shard.tables.jobs.at(id);
        const auto changed = park_tasks(shard, job, others < jobs_per_round, now);
        if (changed.long_running || changed.others) {
            shard.counters->count("jobs_parked");
            record_change(shard, job, false, now);
        }
        others += changed.others ? 1 : 0;
    }
}

void release_next(shard_state& shard, const std::vector<waiting_stage>& order, time_point now) {
    auto left = count_released(shard);
    for (const auto& [job, stage] : order) {
        const auto& step = job->spec.steps[stage->step];
        if (step.long_running || step.gang) {
            continue;
        }
        auto& ahead = left[job->queue.service];
        // The next task of a job with one at work may have to continue where that ends.
        // At least one stays parked, for the next owner.
        const bool continues = step.filler && stage->runs_by_worker.size() == 1;
        const std::size_t least = continues && stage->waiting.size() > 1 ? 1 : 0;
        stage->starts_soon = std::min(std::max(ahead, least), stage->waiting.size());
        ahead -= std::min(ahead, stage->starts_soon);
        release_first(shard, *job, *stage, stage->starts_soon, now);
    }
}

void release_first(shard_state& shard, job_row& job, stage_row& stage, std::size_t count,
                   time_point now) {
    for (const auto index : stage.waiting) {
        if (count-- == 0) {
            return;
        }
        if (stage.tasks[index].parked) {
            release_whereabouts(shard, job, stage.tasks[index], now);
        }
    }
}

// A task counts as parked only if the last owner stored it so: an owner of an earlier version
// starts parked tasks without a change of their records.
std::size_t load_parked_tasks(shard_state& shard) {
    std::size_t parked = 0;
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
                    ++parked;
                }
            }
        }
        if (changed) {
            record_change(shard, job, false, shard.loaded_at);
        }
    }
    return parked;
}

} // namespace fulmar
