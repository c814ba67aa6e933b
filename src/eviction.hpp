// Chooses batch tasks to evict for urgent work that fits on no worker.
#pragma once

#include "scheduler_tables.hpp"

namespace fulmar {

struct eviction_plan {
    std::size_t worker = no_worker;
    double cost = 0.0;
    std::vector<cell_task*> tasks;
};

// Returns the cost of evicting a running task: 1 for the restart, more when the task is close to
// its end or its deadline. Returns nothing when the task must not be evicted.
std::optional<double> eviction_cost(const cell_tables& tables, const cell_task& task,
                                    time_point now);

// Returns the cheapest set of batch tasks on one worker whose eviction frees enough resources for
// the urgent task. Returns nothing when no worker has such a set.
std::optional<eviction_plan> plan_eviction(cell_tables& tables, const cell_task& urgent,
                                           time_point now);

// Returns whether resources are already being freed for a task.
bool has_reservation(const cell_tables& tables, const cell_task& task, time_point now);

// Reserves the resources on the plan's worker for the task until the evictions are done, for a
// limited time.
void reserve_for(cell_tables& tables, const eviction_plan& plan, const cell_task& urgent,
                 time_point now);

} // namespace fulmar
