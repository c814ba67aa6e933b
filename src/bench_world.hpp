// The benchmark's model of an installation: workers with the true interference between tasks,
// delayed usage samples, faults and load. The policy reads only the tables of the cells and the
// samples.
#pragma once

#include "policy.hpp"

#include <array>
#include <deque>
#include <set>

namespace fulmar::bench {

inline constexpr std::size_t service_classes = 12;
inline constexpr std::size_t batch_classes = 16;
inline constexpr duration step_length{100};
inline constexpr std::size_t data_centres = 6;
inline constexpr std::size_t leaving_data_centre = 5;

// Seeded random numbers that are the same with every standard library (splitmix64).
struct random_source {
    std::uint64_t state = 0;
};

std::uint64_t next_bits(random_source& from);

// Returns a number in [0, 1).
double next_uniform(random_source& from);

// Returns a number from the standard normal distribution.
double next_normal(random_source& from);

// Returns an integer in [0, bound).
std::uint64_t next_below(random_source& from, std::uint64_t bound);

struct world_size {
    std::string_view name;
    std::size_t workers = 590;
    std::size_t cells = 30;
    std::size_t accelerators = 750;
    std::size_t services = 3'100; // tasks of services
    std::size_t batch = 17'000;   // batch tasks that run at the same time
    std::size_t teams = 270;
    double starts_per_second = 440.0;
};

// Times of the events of a run, in steps.
struct world_events {
    std::int64_t steps = 1'500;
    std::int64_t warm_up = 300;       // steps before the measurement starts
    std::int64_t leave_step = 800;    // a data centre is taken out of service
    std::int64_t return_step = 1'100; // the data centre returns to service
    std::int64_t cancel_step = 1'250; // part of the batch jobs is cancelled
    std::int64_t failing_from = 500;  // some workers fail every start
    std::int64_t failing_until = 900;
};

// A task on a worker, with the state that is hidden from the policy.
struct running_task {
    cell_task* row = nullptr;
    std::int64_t starts_at = 0;   // step at which the worker receives the start
    double remaining_s = 0.0;     // batch: run time still needed
    std::int64_t evicted_at = -1; // step at which the eviction began; -1 if none
    std::size_t job = 0;          // index in world::jobs
};

// Usage samples that a worker took in one step.
struct sample_batch {
    std::int64_t sampled_at = 0; // step
    std::vector<usage_sample> samples;
};

struct world_worker {
    std::vector<running_task> tasks;
    std::deque<sample_batch> samples;
    double slowdown_noise = 0.0; // added by the present noise wave
    bool fails_all_starts = false;
};

// A job, or the part of a job that was submitted to one cell.
struct world_job {
    job_id id;
    std::size_t cell = 0;
    std::size_t unfinished = 0; // tasks that have not ended
    double true_run_s = 0.0;
    double use_factor = 1.0; // ratio of used to declared processors
    bool always_fails = false;
    bool cancelled = false;
    std::int64_t submitted = 0;                // step
    std::map<std::uint32_t, double> remaining; // run time still needed by evicted tasks, in seconds
    std::set<std::uint32_t> decided;           // urgent tasks with a first decision
};

struct world_cell {
    cell_tables tables;
    std::vector<world_worker> workers;
    std::size_t data_centre = 0;
};

struct world_totals {
    std::uint64_t starts = 0;
    std::uint64_t finished = 0;
    std::uint64_t parked = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t quarantines = 0;
    std::uint64_t healthy_quarantines = 0; // quarantines of workers without a fault
    std::uint64_t wrongly_parked = 0;      // tasks that would run on a healthy worker
    std::uint64_t evictions_urgent = 0;
    std::uint64_t evictions_interference = 0;
    std::uint64_t evictions_drain = 0;
    double batch_work = 0.0;  // processor-seconds, minus those lost by evictions
    double window_work = 0.0; // part of batch_work, from the leave until as long after the return
    double slowdown_sum = 0.0;
    std::uint64_t slowdown_samples = 0;
    std::array<std::uint64_t, 400> slowdown_histogram{}; // by hundredths above 1
    std::vector<double> urgent_decided_s; // from submission to the first decision: start or evict
    std::vector<double> urgent_running_s; // from submission to running
    std::uint64_t deadlines = 0;
    std::uint64_t deadlines_met = 0;
    std::uint64_t longest_wait_s = 0; // longest of the tasks that still wait at the end
};

struct world {
    world_size size;
    world_events events;
    random_source load_random;   // arrivals; the same for every policy
    random_source sample_random; // noise of the samples
    std::array<std::array<double, batch_classes>, service_classes> effect{};
    std::vector<world_cell> cells;
    std::vector<world_job> jobs;
    std::unordered_map<job_id, std::size_t> job_lookup;
    std::int64_t step = 0;
    std::uint64_t next_job = 0;
    double batch_tasks_due = 0.0; // batch tasks still to be submitted
    double urgent_jobs_due = 0.0; // urgent jobs still to be submitted
    world_totals totals;
};

time_point time_of_step(std::int64_t step);

// Builds the cells, places the services and submits the first batch jobs.
world make_world(const world_size& size, const world_events& events, const policy_options& options,
                 std::uint64_t seed);

// Returns whether tasks may be started in a cell in the present step.
bool accepts_starts(const world& self, const world_cell& cell);

// Adds one job to a cell. Returns its index in world::jobs.
std::size_t submit(world& self, std::size_t cell, const job_record& record, double true_run_s);

// Submits the batch and urgent jobs of this step and applies its cancellations, worker faults and
// changes of the data centre.
void submit_arrivals(world& self);

// Runs the workers for one step: starts, progress, ends, failures, checkpoints.
void advance(world& self);

// Takes the samples that are due in this step. Returns those that arrive at the cell's owner in it,
// by worker.
std::vector<std::pair<std::size_t, std::vector<usage_sample>>> collect_samples(world& self,
                                                                               world_cell& cell);

// Writes the true effects and slowdowns to the cell's tables, for the oracle.
void set_true_effects(world& self, world_cell& cell);

// Adds a task that the policy started to its worker and counts the start.
void record_started(world& self, world_cell& cell, cell_task& task);

// Records the time from submission to the first decision on an urgent task: a start, or evictions
// that make room for it.
void record_decision(world& self, const world_cell& cell, const cell_task& task);

// Deletes the waiting tasks of a job that the policy refused.
void record_refusal(world& self, world_cell& cell, const job_id& id);

// Ends the run: records the longest wait and the missed deadlines of unfinished jobs.
void finish(world& self);

} // namespace fulmar::bench
