// What a cell's owner tells of it under /status, and what others read from that.
#pragma once

#include "cell_control.hpp"
#include "fulmar/json.hpp"

namespace fulmar {

// Describes a cell: claim, phases of its tasks, each job's progress and reasons to wait, and the
// free room and capacity of each usable worker.
json describe_cell(const cell_state& cell, time_point now);

// The room of a cell as its owner told it.
struct cell_summary {
    cell_id id;
    data_centre_id data_centre;
    bool claimed = false;
    std::size_t workers = 0;
    std::vector<resources> free;     // of each usable worker
    std::vector<resources> capacity; // of each worker whose capacity is known
};

// Reads the summaries from a scheduler's /status; cells that can't be read are left out.
std::vector<cell_summary> parse_cell_summaries(const json& status);

} // namespace fulmar
