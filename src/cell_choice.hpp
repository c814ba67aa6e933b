// Chooses a cell for a job that names none, from the status that the schedulers publish.
#pragma once

#include "cell_status.hpp"
#include "fulmar/store.hpp"

#include <functional>
#include <set>

namespace fulmar {

// Queries the daemon at host:port for its status. Returns unavailable when the query fails.
using status_fetcher = std::function<result<json>(const std::string& address)>;

// Snapshot of the status of all cells.
struct cell_candidates {
    std::vector<cell_summary> cells;
    std::set<data_centre_id> accepting_starts; // data centres whose state is `in`
    bool complete = false;                     // every live scheduler answered
};

// Reads the live schedulers and the data centre states from the store and queries each scheduler
// for its status.
result<cell_candidates> collect_cell_candidates(store_client& store,
                                                const status_fetcher& fetch_status);

// Checks the cell that the job names, or chooses the cell with the most free resources for it.
// Returns capacity_exceeded when no worker could hold one of the job's tasks even when idle, and
// unavailable when no suitable cell is known at present.
result<cell_id> choose_cell(const job_record& job, const cell_candidates& candidates);

} // namespace fulmar
