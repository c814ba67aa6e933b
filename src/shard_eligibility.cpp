// Which tasks this shard's workers could run at all, whatever they run now. A task that none of
// them could run waits in vain here, however much room there is.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Returns whether the workers' entries have been read.
bool knows_workers(const shard_state& shard) {
    const auto& workers = shard.tables.workers;
    return std::any_of(workers.begin(), workers.end(),
                       [](const auto& row) { return row.second.listed; });
}

// Returns whether all members of a gang could run at the same time.
bool could_run_gang(const shard_state& shard, const service_id& service, const step_spec& step) {
    std::int64_t members = 0;
    for (const auto& [id, worker] : shard.tables.workers) {
        if (!is_eligible(service, step, worker)) {
            continue;
        }
        const auto tasks = count_fitting(counted_need(step), worker.entry.capacity);
        members += step.spread_limit > 0 ? std::min<std::int64_t>(tasks, step.spread_limit) : tasks;
        if (members >= step.count) {
            return true;
        }
    }
    return false;
}

} // namespace

bool is_eligible(const service_id& service, const step_spec& step, const worker_row& worker) {
    return worker.listed && !worker.entry.draining && worker.entry.service == service &&
           has_required_label(worker, step.label) &&
           fits(counted_need(step), worker.entry.capacity);
}

bool could_run_here(const shard_state& shard, const service_id& service, const step_spec& step) {
    if (!knows_workers(shard)) {
        return true;
    }
    const auto& workers = shard.tables.workers;
    return step.gang ? could_run_gang(shard, service, step)
                     : std::any_of(workers.begin(), workers.end(), [&](const auto& row) {
                           return is_eligible(service, step, row.second);
                       });
}

bool is_stranded(const shard_state& shard, const job_row& job, const stage_row& stage) {
    const auto& step = job.spec.steps[stage.step];
    if (step.gang || step.spread_limit == 0) {
        return !could_run_here(shard, job.queue.service, step);
    }
    const auto& workers = shard.tables.workers;
    return knows_workers(shard) &&
           std::none_of(workers.begin(), workers.end(), [&](const auto& row) {
               return is_eligible(job.queue.service, step, row.second) &&
                      can_run_on(job, stage, row.second);
           });
}

} // namespace fulmar
