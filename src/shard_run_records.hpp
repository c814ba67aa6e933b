// Formats of what the records tell about the runs of tasks: that a task is parked, or on which
// workers it may run.
#pragma once

#include "fulmar/json.hpp"
#include "shard_tables.hpp"

namespace fulmar {

// Formats that a task is parked as the end of its row: since when it has waited, and the owner.
void append_parking(json& row, const task_row& task);

// Reads it back. Rows of earlier versions end before it.
void decode_parking(const json& row, task_row& task);

// Formats on which workers runs are recorded.
json encode_recorded_runs(const job_row& job);

// Formats to which workers starts may have been sent, with the recorded run. Owners of earlier
// versions don't read these rows, so that such a task has no record for them.
json encode_planned_starts(const job_row& job);

// Reads both back from a job's progress.
void decode_recorded_runs(job_row& job, const json& record);

} // namespace fulmar
