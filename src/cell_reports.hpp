// Applies the reports of workers to the tables of a cell.
#pragma once

#include "cell_control.hpp"

namespace fulmar {

// Applies the reports and command results of one sync reply.
void apply_sync_reply(cell_state& cell, std::size_t worker, bool full_inventory,
                      const sync_reply& reply, time_point now);

// Puts tasks whose start was certainly not sent back into the queue.
void return_unsent_starts(cell_state& cell, std::size_t worker, time_point now);

// Marks the tasks whose start may have been executed. They keep their worker until its next
// inventory.
void mark_reply_lost(cell_state& cell, std::size_t worker);

// Ends the tasks of a worker that can no longer run them.
void release_lost_worker(cell_state& cell, std::size_t worker, time_point now);

// Puts a task back into the queue; `reason` is shown by describe_cell.
void requeue(cell_state& cell, cell_task& task, std::string_view reason, time_point now);

// Ends non-idempotent tasks that an earlier owner may have started and that no worker reported,
// because they may have run to completion. Iterates over the intents instead of the task rows,
// because the job record of an intent may not have been received yet.
void resolve_old_intents(cell_state& cell);

// Applies the task ends that the last stored group commit covers and acknowledges them to the
// workers.
void settle_committed(cell_state& cell, time_point now);

// Marks the progress as changed and returns the number of the group commit that will record the
// change.
std::uint64_t mark_dirty(cell_state& cell);

} // namespace fulmar
