// Status of a cell as its owner publishes it under /status, and the summary that other daemons
// parse from it.
#pragma once

#include "cell_control.hpp"
#include "fulmar/json.hpp"

namespace fulmar {

// Describes a cell: its claim, the phases of its tasks, each job's progress and wait reasons, and
// the free resources and capacity of its workers. `free` covers usable workers only.
json describe_cell(const cell_state& cell, time_point now);

// Resources of a cell as its owner published them.
struct cell_summary {
    cell_id id;
    data_centre_id data_centre;
    bool claimed = false;
    std::size_t workers = 0;
    std::vector<resources> free;     // of each usable worker
    std::vector<resources> capacity; // of each worker whose capacity is known
};

// Parses the summaries from a scheduler's /status. Omits cells without published resources and
// stops at the first malformed cell.
std::vector<cell_summary> parse_cell_summaries(const json& status);

} // namespace fulmar
