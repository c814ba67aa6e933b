// The progress guarantee of short tasks: see shard_progress.cpp.
#pragma once

#include "shard_tables.hpp"

#include <vector>

namespace fulmar {

struct shard_state;

// A job that is entitled to a running task, and the stage that has it.
struct entitled_job {
    job_row* job = nullptr;
    stage_row* stage = nullptr;
};

// Returns the jobs of fillers of which nothing has run for too long, the longest waits first.
std::vector<entitled_job> find_entitled(shard_state& shard, time_point now);

// Returns the worker on which an entitled task would run at the best pace, or nullptr.
worker_row* choose_entitled_worker(shard_state& shard, job_row& job, const stage_row& stage,
                                   std::uint32_t index, time_point now);

// Notes that a task was started as its job's entitled one.
void note_entitled_start(shard_state& shard, job_row& job, const run_key& key, worker_row& worker,
                         time_point now);

} // namespace fulmar
