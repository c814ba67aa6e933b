// Carries the policy's decisions out in a cell: starts, evictions and refusals.
#pragma once

#include "cell_control.hpp"

namespace fulmar {

// Checkpoints the tasks that the responses to interference call for.
void respond_to_interference(cell_state& cell, time_point now);

// Places waiting tasks while starts are permitted.
void place_waiting(cell_state& cell, time_point now);

} // namespace fulmar
