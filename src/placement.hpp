// Chooses a worker for a waiting task and the order in which waiting tasks are tried.
#pragma once

#include "scheduler_tables.hpp"

namespace fulmar {

// Returns the worker for a task, or no_worker when none has room.
std::size_t choose_worker(const cell_tables& tables, const task_row& task, time_point now);

// Returns the waiting tasks in the order in which to place them.
std::vector<task_row*> order_waiting(cell_tables& tables, time_point now);

} // namespace fulmar
