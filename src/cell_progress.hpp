// State of a cell that outlives its owner: completions, checkpoints, intents and failures of its
// tasks.
#pragma once

#include "fulmar/types.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fulmar {

struct committed_checkpoint {
    attempt_number attempt; // evicted attempt that wrote the checkpoint
    std::string checkpoint;
};

// A start of a non-idempotent task that may have been executed.
struct committed_intent {
    attempt_number attempt;
    worker_id worker;
};

struct job_progress {
    std::set<std::uint32_t> finished;
    std::map<std::uint32_t, committed_checkpoint> checkpoints;
    std::map<std::uint32_t, committed_intent> intents;
    std::map<std::uint32_t, std::uint32_t> failures;
    std::map<std::uint32_t, attempt_number> failed_attempts; // last attempt that `failures` counts
    std::set<std::uint32_t> parked;
    std::set<std::uint32_t> outcome_unknown;
    std::set<std::uint32_t> cancelled;
    cell_id moving_to;               // target cell while the job is being handed over; empty
                                     // otherwise
    std::uint64_t moves = 0;         // number of the job's moves that this progress includes
    std::set<std::uint32_t> stopped; // the tasks in `cancelled` that had started
};

// progress/<cell>: written only by the cell's owner, under its epoch.
struct cell_progress {
    epoch_number epoch;
    std::map<job_id, job_progress> jobs;
};

// Convert progress to and from stored text; index sets are stored as ranges. Parsing returns
// protocol_error for malformed text.
std::string serialize(const cell_progress& progress);
std::string serialize(const job_progress& progress);
result<job_progress> parse_job_progress(std::string_view text);
result<cell_progress> parse_cell_progress(std::string_view text);

} // namespace fulmar
