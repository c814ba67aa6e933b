// Numbers of a task's runs. They rise over the owners of a shard, although an owner starts runs
// without storing their numbers.
#pragma once

#include "shard_tables.hpp"

namespace fulmar {

// Run numbers reserved for each epoch, so that a successor's runs get higher numbers than any that
// its predecessors may have used without its knowledge.
inline constexpr std::uint64_t runs_per_epoch = 1'000;

// Returns the number of a task's next run.
run_number next_run(epoch_number epoch, const task_row& task);

// Returns the number of the next run of all members of a gang.
run_number next_run(epoch_number epoch, const std::vector<task_row>& gang);

// Returns whether a task of the job has a run number beyond those reserved for its record's owner
// and the owners before. Tasks get such numbers in other shards, whose epochs may be higher.
bool exceeds_reserved_numbers(const job_row& job);

// Raises these numbers in a job's record that the owner of `epoch` has loaded: the record's owner
// and those since may have used the numbers that follow.
void skip_used_numbers(job_row& job, epoch_number epoch);

} // namespace fulmar
