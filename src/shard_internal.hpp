// Functions that the parts of shard control share.
#pragma once

#include "shard_control.hpp"

namespace fulmar {

// Returns what the worker's clock certainly shows now, or nothing before its first reply.
std::optional<worker_clock> earliest_clock(const shard_state& shard, const worker_row& worker,
                                           time_point now);

// Returns the lease to put into an order sent now. The worker must have answered before.
worker_clock next_lease(const shard_state& shard, const worker_row& worker, time_point now);

// Tells whether every lease that was ever granted to the worker has certainly ended.
bool has_lapsed(const shard_state& shard, const worker_row& worker, time_point now);

// Tells whether this owner may still renew leases and start tasks.
bool has_authority(const shard_state& shard, time_point now);

// Marks the shard as owned by somebody else.
void lose_shard(shard_state& shard, std::string_view reason);

// Ends every run on a worker whose life or leases have ended.
void drop_worker_runs(shard_state& shard, worker_row& worker, std::string_view reason);

// Asks for a stop of a run; the order goes out with the next advance.
void request_stop(run_row& run, stop_cause cause, time_point now);

// Ends a job: its runs are stopped and its record is stored.
void end_job(shard_state& shard, job_row& job, job_phase phase, time_point now, unix_time unix_now);

// Handles the end of a task's run.
void on_run_ended(shard_state& shard, worker_row& worker, const ended_row& row, time_point now,
                  unix_time unix_now);

// Notes that a job's record changed; an urgent change is stored at once.
void note_change(shard_state& shard, job_row& job, bool urgent, time_point now);

// Builds the next transaction when one is due.
void prepare_commit(shard_state& shard, time_point now, shard_actions& actions);

// Chooses workers for waiting tasks and orders the starts.
void place_tasks(shard_state& shard, time_point now, shard_actions& actions);

} // namespace fulmar
