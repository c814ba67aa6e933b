// Scheduling decisions of one round over the tables of a cell: order of waiting tasks, quotas,
// choice of workers, evictions for urgent work and refusals. The caller applies the decisions.
#pragma once

#include "placement.hpp"

namespace fulmar {

enum class decision_kind : std::uint8_t {
    start,  // place the task on the worker
    evict,  // checkpoint the tasks in `evictions`; the freed resources are reserved for `task`
    refuse, // no worker of the cell can hold the job's tasks
};

struct decision {
    decision_kind kind = decision_kind::start;
    cell_task* task = nullptr;
    std::size_t worker = no_worker;
    std::vector<cell_task*> evictions;
};

// Returns whether a new round could decide anything that the last one could not.
bool round_is_due(const cell_tables& tables, time_point now);

// Decides on the next waiting task that can be acted on. Returns nothing when the round is
// complete. Before the next call the caller must move the task out of the waiting phase; after a
// refusal it must also end the job's other waiting tasks.
std::optional<decision> next_decision(cell_tables& tables, waiting_order& order, time_point now);

} // namespace fulmar
