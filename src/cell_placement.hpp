// Applies the policy's decisions to a cell: starts, evictions and refusals.
#pragma once

#include "cell_control.hpp"

namespace fulmar {

// Evicts the tasks that the responses to interference select.
void respond_to_interference(cell_state& cell, time_point now);

// Places waiting tasks while starts are permitted.
void place_waiting(cell_state& cell, time_point now);

} // namespace fulmar
