// Moves the batch jobs of a data centre that is draining or out to other cells, and limits the
// start rate after the data centre returns.
#pragma once

#include "cell_control.hpp"

namespace fulmar {

// Evicts batch tasks while the data centre is draining or out.
void evict_for_drain(cell_state& cell);

// Chooses jobs to hand over to `target`, earliest deadline first: batch jobs and standing watches
// whose evictions are all committed. The choice is recorded by the next group commit and is final.
// A superseded owner therefore can't hand over a job that its successor runs.
// Jobs are chosen while `byte_budget` is above 0. Returns the bytes used, which may exceed the
// budget by one job; the caller charges them to its token bucket. Does nothing unless the data
// centre is draining or out.
std::int64_t plan_handover(cell_state& cell, const cell_id& target, std::int64_t byte_budget,
                           time_point now);

// Builds the writes of the job records whose target cell is stored and that have no write in
// flight. Requires a fresh claim.
std::vector<store_write> collect_handovers(cell_state& cell, time_point now);

// Applies the result of the write of one job record. After a lost reply, a call of on_job with the
// stored record resolves the outcome; on_job must therefore receive the records of all cells.
void on_handover_written(cell_state& cell, const job_id& id,
                         const result<revision_number>& written);

// Imports the progress that a job record carries, unless this cell has already imported it.
void import_carried(cell_state& cell, const job_id& id, const job_record& record);

// Removes a job that now belongs to another cell.
void forget_job(cell_state& cell, const job_id& id);

// Returns whether the job is being handed over to another cell. None of its tasks starts here.
bool is_moving(const cell_state& cell, const job_id& id);

// Returns whether a start with this need stays below the ramp after a return: the free capacity
// becomes available in proportion to the time since the return, over cell_timing::return_ramp.
bool ramp_admits(const cell_state& cell, const resources& need, time_point now);

} // namespace fulmar
