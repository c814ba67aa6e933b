// The progress guarantee of short tasks: see shard_progress.cpp.
#pragma once

#include "shard_tables.hpp"

#include <map>
#include <vector>

namespace fulmar {

struct shard_state;

// A job that is entitled to a running task, and the stage that has it.
struct entitled_job {
    job_row* job = nullptr;
    stage_row* stage = nullptr;
    worker_row* place = nullptr; // where its last run has just ended; nullptr: anywhere
};

// Returns the jobs of fillers of which nothing has run for too long, the longest waits first.
std::vector<entitled_job> find_entitled(shard_state& shard, time_point now);

// Returns the overdue jobs whose last run is among those that ended since the last round, with the
// workers on which their next tasks may continue. None while work in time is short of room.
std::vector<entitled_job> find_continued(shard_state& shard, const std::vector<ended_filler>& ended,
                                         time_point now);

// Returns the worker if an entitled task may start there in place of the last run of its job,
// otherwise nullptr.
worker_row* continue_on(const shard_state& shard, const job_row& job, const stage_row& stage,
                        std::uint32_t index, worker_row& place, time_point now);

// Notes for which services fillers that can end in time are short of room. `waiting` are the
// processors, in thousandths of a core, that those of them need that found no room.
void note_timely_work(shard_state& shard, const std::map<service_id, std::int64_t>& waiting,
                      time_point now);

// Returns the worker on which an entitled task would run at the best pace, or nullptr.
worker_row* choose_entitled_worker(shard_state& shard, job_row& job, const stage_row& stage,
                                   std::uint32_t index, time_point now);

// Notes that a task was started as its job's entitled one.
void note_entitled_start(shard_state& shard, job_row& job, const run_key& key, worker_row& worker,
                         time_point now);

} // namespace fulmar
