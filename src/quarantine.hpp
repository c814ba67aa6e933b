// Detects workers that fail what they start, and tasks that fail wherever they run.
#pragma once

#include "scheduler_tables.hpp"

namespace fulmar {

// A task that failed on this many different workers is parked, because the fault is in the task.
inline constexpr std::size_t failures_before_parking = 3;

// A worker on which this many different jobs failed without a success in between is quarantined,
// because the fault is in the worker.
inline constexpr std::size_t failed_jobs_before_quarantine = 5;

// Records a failure of a task against its worker. Returns true when the worker is in quarantine as
// a result. The caller must then revert the failures listed in the worker's `charged_failures` and
// clear the list.
bool record_failure(cell_tables& tables, std::size_t worker, cell_task& task, time_point now);

// Records the success of a task, which ends the worker's series of failures. A task that started
// before the series is ignored, because it proves nothing about the worker's current state.
void record_success(cell_tables& tables, std::size_t worker, const cell_task& task);

// Returns why a worker must not get this task now, or an empty view. A worker with a series of
// failures gets one task at a time, so that it can't fail many waiting tasks in a short time.
std::string_view find_health_obstacle(const cell_worker& worker, const cell_task& task,
                                      time_point now);

} // namespace fulmar
