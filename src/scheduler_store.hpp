// The scheduler's store threads: watches, membership and claims, and group commits.
#pragma once

#include "scheduler_state.hpp"

#include <string>

namespace fulmar {

// Keeps the member lease alive, claims and releases cells, until the scheduler stops.
void run_registration(scheduler& self);

// Follows one prefix of the store and posts each entry to the control thread.
void run_watch(scheduler& self, const std::string& prefix);

// Follows the configuration in the store or, while that is away, at the peers.
void run_config(scheduler& self);

// Writes a cell's progress as of an epoch and posts the outcome to the control thread.
void commit_progress(scheduler& self, store_client& store, const cell_id& id, epoch_number epoch,
                     const store_write& write);

// Reads the progress of a cell whose copy is in doubt.
void reread_progress(scheduler& self, store_client& store, const cell_id& id);

// Releases the claims that were given up; used by the registration thread and at shutdown.
void release_claims(scheduler& self, store_client& store);

} // namespace fulmar
