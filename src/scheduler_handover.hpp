// Moves the jobs of a draining data centre to cells of other data centres; see cell_drain.hpp.
#pragma once

#include "scheduler_state.hpp"

namespace fulmar {

// Plans moves within the byte budget and posts the writes of the job records. Runs on the control
// thread.
void run_handovers(scheduler& self, store_client& store, cell_state& cell, time_point now);

} // namespace fulmar
