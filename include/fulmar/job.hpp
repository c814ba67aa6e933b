// The job model: steps of tasks with their dependencies, resource needs and constraints, and the
// queues to which jobs are submitted.
#pragma once

#include "fulmar/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

// Number of a run of a task; each run has a higher number than the previous run of that task.
using run_number = strong_type<struct run_tag, std::uint64_t>;

// Milliseconds since 1970.
using unix_time = strong_type<struct unix_time_tag, std::int64_t>;

using queue_id = strong_type<struct queue_tag, std::string>;

// Identifies a task: an index within a step of one occurrence of a job. Jobs without a schedule
// have only occurrence 0.
struct task_key {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_key&) const = default;
};

// One execution of a task on a worker.
struct run_key {
    task_key task;
    run_number number;

    auto operator<=>(const run_key&) const = default;
};

// A group of identical tasks of a job. All amounts are per task.
struct step_spec {
    std::uint32_t count = 1;
    resources need;
    duration estimate{0};              // approximate run time as declared by the caller
    std::vector<std::uint32_t> after;  // earlier steps, all of whose tasks must be done first
    bool checkpoints = false;          // the task saves its progress while it runs
    bool gang = false;                 // the tasks make progress only while all of them run
    bool one_rack = false;             // the tasks are slower if spread over several racks
    std::string label;                 // required label of the worker; empty: none
    rack_id data_rack;                 // the tasks are slower on any other rack; empty: none
    std::uint32_t spread_limit = 0;    // maximum tasks of the step on one worker; 0: no limit
    bool speculative = false;          // several copies of a task may run at the same time
    bool long_running = false;         // runs until cancelled; restarted after any end
    std::string image;                 // tasks of the same image behave alike
    duration tail_target{0};           // maximum acceptable tail latency of a serving task; 0: none
    bool filler = false;               // runs on processors that other tasks leave idle
    std::uint32_t max_unavailable = 0; // limit of tasks unavailable due to moves; 0: no limit
};

struct job_spec {
    std::string payload; // passed to every task, not interpreted
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 0; // 0: runs once, as soon as possible
    unix_time first_due;
    duration interval{0};
};

// Timing of the advice service, which selects the workers that a step may run on.
struct advice_spec {
    duration call_time{0};       // fixed duration of one call
    duration time_per_worker{0}; // additional duration for each selected worker
    duration ticket_validity{0}; // of the issued tickets

    bool operator==(const advice_spec&) const = default;
};

// A queue accepts jobs of one kind, whose tasks run on the workers of one service.
struct queue_spec {
    queue_id id;
    std::string host;   // Host header of the callers' requests
    std::string prefix; // of the paths of these requests
    service_id service;
    std::int32_t priority = 0; // 0: highest priority
    std::uint32_t max_attempts = 1;
    double stretch = 1.0;  // time objective of a job: stretch times its longest chain of work
    duration objective{0}; // ... plus this constant
    duration timeout{0};   // of the callers' requests
    bool needs_advice = false;
    advice_spec advice;

    bool operator==(const queue_spec&) const = default;
};

enum class job_phase : std::uint8_t { queued, running, completed, failed, cancelled };

std::string_view to_string(job_phase phase);

// Returns whether a job in this phase has ended.
constexpr bool has_ended(job_phase phase) {
    return phase >= job_phase::completed;
}

// Checks that a job can be scheduled: steps depend on earlier steps only, counts are positive and
// within the limits, needs are not negative. Returns invalid_argument with the reason otherwise.
result<void> check_job(const job_spec& spec);

// Returns the number of tasks in one occurrence.
std::size_t count_tasks(const job_spec& spec);

} // namespace fulmar

template <>
struct std::hash<fulmar::task_key> {
    std::size_t operator()(const fulmar::task_key& key) const noexcept {
        const std::size_t place = (static_cast<std::size_t>(key.occurrence) << 40U) ^
                                  (static_cast<std::size_t>(key.step) << 20U) ^ key.index;
        return std::hash<std::string>{}(key.job.value) ^ (place * 0x9e3779b97f4a7c15ULL);
    }
};
