// The scheduler's store threads: watches, registration and claims, and group commits.
#pragma once

#include "scheduler_state.hpp"

#include <string>

namespace fulmar {

// Renews the member lease and claims and releases cells until the scheduler stops.
void run_registration(scheduler& self);

// Follows one key prefix of the store and posts each entry to the control thread, until the
// scheduler stops.
void run_watch(scheduler& self, const std::string& prefix);

// Follows the configuration in the store or, while the store is unreachable, at the peers, until
// the scheduler stops.
void run_config(scheduler& self);

// Writes a cell's progress under an epoch and posts the result to the control thread.
void commit_progress(scheduler& self, store_client& store, const cell_id& id, epoch_number epoch,
                     const store_write& write);

// Rereads the progress of a cell after a conflict and posts it to the control thread.
void reread_progress(scheduler& self, store_client& store, const cell_id& id);

// Releases in the store the claims of deactivated cells. Called by the registration thread, also at
// shutdown.
void release_claims(scheduler& self, store_client& store);

} // namespace fulmar
