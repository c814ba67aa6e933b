// Moves the jobs of a leaving data centre to cells of others; see cell_drain.
#pragma once

#include "scheduler_state.hpp"

namespace fulmar {

// Plans moves within the byte budget and posts the writes of job records; runs on the control
// thread.
void run_handovers(scheduler& self, store_client& store, cell_state& cell, time_point now);

} // namespace fulmar
