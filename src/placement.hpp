// Chooses workers for waiting tasks, and the order in which waiting tasks are tried. One round per
// tick: rank_waiting, then next_waiting until it returns null. Call defer_task after each task that
// was not placed.
#pragma once

#include "scheduler_tables.hpp"

namespace fulmar {

struct placement {
    std::size_t worker = no_worker;
    std::string_view reason; // why no worker was chosen; a stable name, used in metrics and status
};

// Interval at which the index of waiting tasks is rebuilt from the task table, as a safeguard.
inline constexpr duration rebuild_interval{5'000};

// Longest interval between rounds while no resources are released. Quarantines and responses to
// interference end with time, so a round can succeed without a release.
inline constexpr duration round_interval{1'000};

// Shortest interval between rounds. Fewer rounds cost less, and the wait is short compared with
// tasks that run for tens of seconds.
inline constexpr duration shortest_round_interval{200};

// Wait reason of tasks that exceed the capacity of every worker of the cell.
inline constexpr std::string_view fits_no_worker = "fits_no_worker";

// Returns the worker for a task, or the reason why it must wait.
placement choose_worker(const cell_tables& tables, const cell_task& task, time_point now);

// A job with waiting tasks. Lower ranks are placed first.
struct ranked_job {
    std::uint8_t tier = 0;
    double rank = 0.0;
    const job_id* id = nullptr;
    cell_job* job = nullptr;
    waiting_group* group = nullptr;

    auto operator<=>(const ranked_job& other) const {
        return std::tie(tier, rank, *id) <=> std::tie(other.tier, other.rank, *other.id);
    }
};

// A task shape for which no worker was found. Free resources only shrink within a round, so larger
// needs of the same class fail too.
struct failed_shape {
    std::size_t class_index = no_index;
    bool urgent = false;
    resources need;
    std::string_view reason;
};

// The jobs of one placement round, as a heap. Valid while no job is added or erased.
struct waiting_order {
    std::vector<ranked_job> heap;
    std::optional<ranked_job> current; // job of the task that next_waiting returned last
    std::vector<failed_shape> failed_shapes;
    std::vector<task_id> deferred; // tasks deferred without the rest of their job; indexed again at
                                   // the end of the round
};

// Starts a round: ranks the jobs that have waiting tasks.
waiting_order rank_waiting(cell_tables& tables, time_point now);

// Returns the next task to place, or null when the round is complete.
cell_task* next_waiting(cell_tables& tables, waiting_order& order, time_point now);

// Keeps a task that could not be placed waiting, together with the rest of its job, because the
// tasks of a job have one shape. With `whole_job` false, the reason concerns only this task and the
// job's other tasks are still tried.
void defer_task(cell_tables& tables, waiting_order& order, cell_task& task, std::string_view reason,
                bool whole_job, time_point now);

// Returns why a task of this shape found no worker in this round, or an empty view.
std::string_view find_known_failure(const waiting_order& order, const cell_task& task,
                                    const cell_job& job);

// Records that a task found no worker.
void record_placement_failure(waiting_order& order, const cell_task& task, const cell_job& job,
                              std::string_view reason);

// Records that the task that next_waiting returned last was placed.
void record_placed(cell_tables& tables, const cell_task& task, time_point now);

// Returns all waiting tasks in the order of the first round. For tests and status displays.
std::vector<cell_task*> order_waiting(cell_tables& tables, time_point now);

} // namespace fulmar
