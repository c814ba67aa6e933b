// Placement and supervision of gangs.
#pragma once

#include "shard_internal.hpp"

#include <functional>

namespace fulmar {

// Chooses a worker for a member, or returns nullptr; starts a member.
struct gang_placement {
    std::function<worker_row*(std::uint32_t index)> choose;
    std::function<void(std::uint32_t index, run_number number, worker_row& worker)> start;
};

// Returns whether no member of a gang has a run, or may have one that isn't known.
bool may_start_gang(const shard_state& shard, const job_row& job, const stage_row& stage);

// Starts all members if there is room for all of them.
void place_gang(shard_state& shard, job_row& job, stage_row& stage, const gang_placement& placement,
                time_point now);

// Returns whether all members of a gang that a loan includes may be returned to the lender: a
// member that runs keeps the others here.
bool may_return_gang(const shard_state& shard, const job_row& job, const borrowed_tasks& loan,
                     const stage_row& stage);

// Stops the runs of a gang of which a member has none: it can't join them.
void stop_incomplete_gang(shard_state& shard, const job_row& job, const stage_row& stage,
                          time_point now);

// Notes that a start got no answer. If it is one of a gang and isn't confirmed by then, the gang is
// stopped before its members have waited for as long as they do.
void note_unanswered_start(shard_state& shard, const run_row& run);
void stop_unanswered_gangs(shard_state& shard, time_point now);

// Keeps the checkpoint of a run that has ended, or was lost. That of a member is valid for its
// whole gang.
void keep_checkpoint(stage_row& stage, const step_spec& step, const run_key& run,
                     const std::string& checkpoint, bool ended);

} // namespace fulmar
