// Moves long-running tasks off draining workers. Such workers are emptied and then removed, and a
// task that stays until the end starts elsewhere only after the worker's lease has ended.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Returns whether a run can be stopped here and started elsewhere independently of other runs.
bool is_movable(const job_row& job, const run_row& run) {
    const auto& step = job.spec.steps[run.key.task.step];
    return step.long_running && !step.gang && run.phase == run_phase::running;
}

// A task stops without granted room this long before its worker leaves.
constexpr duration stop_margin{1'000};

// Returns whether a task that has to leave its worker can be stopped now. If a worker of this shard
// has room or will have it once shorter tasks have ended, the room is reserved, and the task runs
// on until it fits there. Otherwise it stops as soon as another shard holds free room for it. It
// stops for room that another shard only publishes if that shard doesn't answer room requests or
// the worker is about to leave.
bool prepare_move(shard_state& shard, const job_row& job, const stage_row& stage,
                  const run_row& run, const worker_row& leaving, time_point now) {
    const auto& key = run.key.task;
    auto& task = *find_task(shard.tables, key);
    if (!is_borrowed(job)) {
        shard.leaving_tasks[key] = now;
        if (find_granter(shard, key, now) != nullptr) {
            drop_reservation(shard.tables, key);
            return true;
        }
    }
    if (reserve_for_long_running(shard, job, stage, key, now)) {
        const auto& target = shard.tables.workers.at(*task.reserved_worker);
        return accepts_starts(shard, target, now) && fits(run.need, free_resources(target, &key));
    }
    task.reservation_expired = false; // retry in this shard, unless another shard has room
    const auto leaves = leaving.draining_at + std::max(shard.timing.drain_patience,
                                                       leaving.entry.remaining - stop_margin);
    if (now >= leaves) {
        return has_room_elsewhere(shard, job, stage, room_kind::after_short_tasks, now);
    }
    const auto kind = now >= leaving.draining_at + shard.timing.drain_patience
                          ? room_kind::after_short_tasks
                          : room_kind::free_now;
    return !is_borrowed(job) && find_borrower(shard, job, stage, kind, now).first != nullptr;
}

void move_runs(shard_state& shard, worker_row& leaving, time_point now) {
    for (const auto& key : leaving.runs) {
        auto& run = shard.tables.runs.at(key);
        const auto* stage = find_stage(shard.tables, key.task);
        auto* task = find_task(shard.tables, key.task);
        if (task == nullptr || task->not_local) {
            continue;
        }
        const auto& job = shard.tables.jobs.at(key.task.job);
        if (!is_movable(job, run)) {
            continue;
        }
        if (!prepare_move(shard, job, *stage, run, leaving, now)) {
            continue;
        }
        request_stop(run, stop_cause::moved, now);
        shard.counters->count("moves_off_leaving");
        shard.log->write("event=task_moved_off_leaving task={}.{}.{}.{} run={} from={} to={}",
                         key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                         key.number.value, run.worker.value,
                         task->reserved_worker ? task->reserved_worker->value
                                               : std::string("another_shard"));
    }
}

} // namespace

void drain_long_running_tasks(shard_state& shard, time_point now) {
    const bool allowed = shard.takeover_complete && shard.starts_allowed &&
                         shard.data_centre_open && !shard.releasing && has_authority(shard, now);
    if (!allowed) {
        return;
    }
    for (auto& [id, worker] : shard.tables.workers) {
        if (worker.entry.draining && worker.reachability == reachability_state::reachable) {
            move_runs(shard, worker, now);
        }
    }
}

} // namespace fulmar
