// What a worker has to meet before a task may start there, apart from its room.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// A worker that has restarted gets no starts for this long while its entry is the former
// incarnation's. A worker writes its entry within moments, but not in an outage of the store.
constexpr duration entry_limit{10'000};

// Returns whether the worker's entry is of another incarnation than its replies.
bool is_entry_of_other(const worker_row& worker) {
    return worker.entry.start_time && worker.start_time &&
           worker.entry.start_time != worker.start_time;
}

} // namespace

bool awaits_entry(const worker_row& worker, time_point now) {
    return is_entry_of_other(worker) && now < worker.incarnation_since + entry_limit;
}

bool can_host(const job_row& job, const step_spec& step, const worker_row& worker) {
    return worker.entry.service == job.queue.service && has_required_label(worker, step.label) &&
           (step.label.empty() || !is_entry_of_other(worker));
}

bool is_usable(const shard_state& shard, const worker_row& worker) {
    return worker.listed && !worker.entry.draining && is_stored(shard, worker.entry.target) &&
           !is_promised(shard, worker.entry.target.id);
}

bool is_paused(const worker_row& worker, time_point now) {
    if (worker.no_starts_before > now) {
        return true;
    }
    return worker.failures > 1 &&
           std::any_of(worker.run_rows.begin(), worker.run_rows.end(), [&](const run_row* run) {
               return run->start_sent >= worker.no_starts_before;
           });
}

bool is_avoided(const task_row& task, const worker_id& worker, time_point now) {
    return task.last_failed_on == worker && now < task.avoided_until;
}

bool accepts_starts(const shard_state& shard, const worker_row& worker, time_point now) {
    return worker.reachability == reachability_state::reachable && worker.inventoried &&
           is_usable(shard, worker) && !is_paused(worker, now) && !awaits_entry(worker, now);
}

bool can_run_on(const job_row& job, const stage_row& stage, const worker_row& worker) {
    const auto& step = job.spec.steps[stage.step];
    if (!can_host(job, step, worker)) {
        return false;
    }
    const auto runs_by_worker = stage.runs_by_worker.find(worker.entry.target.id);
    return step.spread_limit == 0 || runs_by_worker == stage.runs_by_worker.end() ||
           runs_by_worker->second < step.spread_limit;
}

} // namespace fulmar
