// Interference of batch tasks with services. Learned from usage samples, which arrive late;
// answered by responses of increasing cost.
#pragma once

#include "scheduler_tables.hpp"

namespace fulmar {

// Learns from the usage samples of one worker. Each sample is attributed to the tasks that ran on
// the worker at the time of the sample.
void apply_usage(cell_tables& tables, std::size_t worker, const std::vector<usage_sample>& samples,
                 time_point now);

// Returns the learned effect of a batch class on a service class. Pairs without samples have a
// small default effect.
double pair_effect(const cell_tables& tables, std::size_t service, std::size_t batch);

struct interference_forecast {
    double added = 0.0;   // added slowdown, summed over the service tasks of the worker
    double worst = 1.0;   // highest slowdown among the services that the class harms
    bool harmful = false; // whether the class harms a service of the worker
};

// Forecasts the slowdowns on a worker if a task of this batch class were placed on it.
interference_forecast forecast(const cell_tables& tables, const cell_worker& worker,
                               std::size_t batch, std::int64_t processors);

// Returns the forecast slowdown above which a worker admits no further batch task.
double admission_limit(const policy_options& options);

// Moves each worker between the response stages, sets the shares of throttled tasks and returns the
// tasks to evict.
std::vector<cell_task*> update_responses(cell_tables& tables, time_point now);

} // namespace fulmar
