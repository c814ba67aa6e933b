// Applies store entries to the scheduler's control state. Runs on the control thread.
#pragma once

#include "scheduler_state.hpp"

namespace fulmar {

// Applies one event of a watch, returned by a store call sent at `sent`.
void apply_event(scheduler& self, const store_event& event, time_point sent);

// Sets each cell's part of the teams' quotas, in proportion to its share of all workers. Does
// nothing unless quotas_changed is set.
void apply_quotas(scheduler& self);

// Records that the data centre's state was unchanged when a call sent at `sent` was answered.
void confirm_state(scheduler& self, time_point sent);

} // namespace fulmar
