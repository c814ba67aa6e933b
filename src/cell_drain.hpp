// Moves the batch jobs of a leaving data centre to other cells and limits starts after its return.
#pragma once

#include "cell_control.hpp"

namespace fulmar {

// Evicts batch tasks while the data centre is draining or out.
void evict_for_drain(cell_state& cell);

// Chooses jobs to hand to `target`, earliest deadline first: batch jobs and standing watches whose
// tasks have all been evicted and committed. The choice is recorded with the next group commit and
// is final, so that an owner that was superseded in between can't hand over a job that its
// successor runs. Chooses while `byte_budget` is above 0 and returns the bytes used, which may
// exceed it by one job; the caller charges them to its token bucket. Does nothing unless the data
// centre is draining or out.
std::int64_t plan_handover(cell_state& cell, const cell_id& target, std::int64_t byte_budget,
                           time_point now);

// Builds the writes of job records whose choice is stored and that have none in flight. Needs a
// fresh claim.
std::vector<store_write> collect_handovers(cell_state& cell, time_point now);

// Ends the write of one job record. After a lost reply on_job with the record's present text
// settles it; pass it records of every cell.
void on_handover_written(cell_state& cell, const job_id& id,
                         const result<revision_number>& written);

// Takes the progress that a job's record carries, unless this cell already did.
void import_carried(cell_state& cell, const job_id& id, const job_record& record);

// Drops a job that now belongs to another cell.
void forget_job(cell_state& cell, const job_id& id);

// The job is on its way to another cell, so nothing of it starts here.
bool is_moving(const cell_state& cell, const job_id& id);

// Tells whether a start that needs this much stays below the ramp after a return: the free capacity
// is given out in proportion to the time since the return, over cell_timing::return_ramp.
bool ramp_admits(const cell_state& cell, const resources& need, time_point now);

} // namespace fulmar
