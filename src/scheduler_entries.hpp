// Applies entries of the store to the scheduler's control state; runs on the control thread.
#pragma once

#include "scheduler_state.hpp"

namespace fulmar {

// Applies one event of a watch, shown by a store call sent at `sent`.
void take_event(scheduler& self, const store_event& event, time_point sent);

// Gives each cell its part of the teams' quotas, by its share of all workers. Call when they
// changed and after a cell was activated.
void apply_quotas(scheduler& self);

// Notes that the data centre's state had not changed when a call sent at `sent` was answered.
void confirm_state(scheduler& self, time_point sent);

} // namespace fulmar
