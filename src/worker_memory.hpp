// In-memory model of a worker that implements the worker API, used by standin_worker and the tests.
#pragma once

#include "fulmar/worker.hpp"

#include <deque>
#include <functional>
#include <map>

namespace fulmar {

struct worker_task {
    task_report report;
    time_point started;
    std::int64_t run_ms = 0;
    std::int64_t resumed_ms = 0; // run time covered by the checkpoint that the task resumed from
    std::int64_t share = 100;    // percent of the task's processors
};

struct worker_faults {
    bool fail_all_starts = false; // every started task fails at once
};

// A usage sample and the time at which it was taken.
struct timed_sample {
    time_point at;
    usage_sample sample;
};

struct cell_worker_model;

// Returns the factor by which the other tasks on a worker slow a task down now; 1 means no
// slowdown.
using slowdown_model = std::function<double(const cell_worker_model&, const worker_task&)>;

struct cell_worker_model {
    worker_id id;
    resources capacity;
    std::uint64_t incarnation = 1;
    time_point started;                 // start time of the worker process
    duration lease_grant_delay{10'000}; // no lease is granted for this time after a restart
    bool first_boot = true;             // a machine that has never run before needs no delay
    host_id holder;
    epoch_number epoch; // highest received
    time_point lease_end;
    std::map<task_id, worker_task> tasks;
    std::map<task_id, attempt_number> last_attempt;
    worker_faults faults;
    std::uint64_t starts = 0;

    // Usage reports.
    duration usage_interval{2'000}; // between two samples of a task; 0 means no reports
    duration usage_lag{3'000};      // from taking a sample to its report
    slowdown_model slowdown;        // unset: no task slows another down
    time_point next_usage;
    std::deque<timed_sample> usage; // taken, not yet reported
};

// Ends the tasks whose run time has passed. Checkpoints all other running tasks if the lease has
// expired. Takes usage samples that are due.
void advance_worker(cell_worker_model& worker, time_point now);

// Processes one sync request at time `now`. Returns lease_held or stale_epoch if the lease isn't
// granted.
result<sync_reply> handle_sync(cell_worker_model& worker, const sync_request& request,
                               time_point now);

// Restarts the worker process, which loses its tasks, lease, epoch and attempts.
void restart_worker(cell_worker_model& worker, time_point now);

// Sums the resources of all running tasks.
resources committed_resources(const cell_worker_model& worker);

} // namespace fulmar
