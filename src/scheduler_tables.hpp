// Tables of one cell: rows for workers, jobs and tasks. Each tick iterates over them.
#pragma once

#include "fulmar/records.hpp"
#include "fulmar/types.hpp"
#include "fulmar/worker.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar {

inline constexpr std::size_t no_worker = static_cast<std::size_t>(-1);

// Marks an unset index of a task class or team. Rows refer to classes and teams by index, which
// avoids string comparisons.
inline constexpr std::size_t no_index = static_cast<std::size_t>(-1);

// Processors that one task class uses on a worker, in thousandths of a core.
struct resident_class {
    std::size_t index = 0;      // into cell_tables::classes
    std::int64_t tasks = 0;     // number of tasks that hold resources
    std::int64_t committed = 0; // processors of tasks that hold resources
    std::int64_t running = 0;   // processors of tasks known to run
};

// A change of the processors that a class uses on a worker, because a task started, ended or was
// throttled. Samples that arrive late are attributed by means of these changes.
struct occupancy_change {
    time_point at;
    std::size_t index = 0; // into cell_tables::classes
    std::int64_t processors = 0;
};

// Responses to interference on a worker, in order of increasing cost.
enum class response_stage : std::uint8_t { none, stop_admitting, throttle, evict };

struct interference_response {
    response_stage stage = response_stage::none;
    double slowdown = 1.0;  // smoothed slowdown of the worst affected service
    time_point changed;     // time of the last stage change
    time_point above_since; // start of the period in which the slowdown calls for a higher stage;
                            // zero if it doesn't
    time_point below_since; // same for a lower stage
    time_point last_eviction;
    time_point last_sample;
};

struct cell_worker {
    worker_id id;
    rack_id rack;
    resources capacity;
    resources committed; // by all tasks that are or may be on this worker

    // Lease and connection.
    bool inventoried = false;   // a full inventory was received under the current epoch
    bool need_inventory = true; // the next sync requests a full inventory
    bool sync_in_flight = false;
    bool inventory_in_flight = false; // the sync in flight requests a full inventory
    std::size_t acks_in_flight = 0;   // number of leading `acks` in the sync in flight
    time_point next_sync;
    std::optional<time_point> renewal_sent;          // last sync that may have renewed the lease
    std::optional<time_point> previous_renewal_sent; // renewal_sent before the sync in flight
    std::optional<time_point> renewal_confirmed;     // send time of the last answered sync
    std::optional<time_point> unanswered_since;      // first sync sent after the last reply
    bool reachable = true;                           // whether the last sync was answered
    std::optional<time_point> refused_since; // first of the consecutive refusals of the lease
                                             // that are still going on
    bool restarted = false;                  // the worker restarted since the last full
                                             // inventory
    bool predecessor_ended = false; // no task of an earlier owner can still run here unreported
    worker_clock clock;             // worker's clock in the last reply
    time_point clock_received;      // when that reply was received
    std::uint64_t incarnation = 0;
    std::vector<worker_command> commands; // to be sent with the next sync
    std::vector<task_ack> acks;

    // Health.
    std::vector<job_id> failed_jobs; // distinct jobs with failures here since the last success
    std::optional<time_point> quarantined_until;
    std::vector<task_id>
        charged_failures;       // tasks charged with a failure here since the last success
    duration quarantine_time{}; // duration of the last quarantine; the next one is longer
    time_point failing_since;   // first failure since the last success
    std::size_t trials = 0;     // tasks placed here since then that have not ended
    time_point last_trial;
    bool probing = false; // the worker was quarantined and no task has succeeded since

    // Policy.
    std::size_t placed = 0; // number of tasks that hold resources
    std::vector<resident_class> resident_classes;
    std::vector<occupancy_change> changes; // changes of the last occupancy_history, oldest first
    interference_response response;
    std::optional<task_id> reserved_for; // urgent or starving task for which resources are kept
                                         // free
    time_point reserved_until;
};

// Phases of tasks that have not ended. A task that has ended has no row; its end is in the cell's
// progress.
enum class task_phase : std::uint8_t {
    waiting,
    committing_intent, // a worker is chosen, the intent is not stored yet
    starting,          // a worker is chosen; the command was sent if expires_at is set
    running,
    evicting,   // to be checkpointed; no checkpoint reported yet
    stopping,   // to be stopped; the end is not reported yet
    committing, // ended at the worker; the end is not stored yet
};

struct cell_task {
    task_id id;
    task_phase phase = task_phase::waiting;
    std::size_t worker = no_worker;
    attempt_number attempt;
    resources need;
    std::string task_class;
    std::string checkpoint;
    worker_clock expires_at; // expiry of the start command; 0 before it is sent and after its reply
    bool reply_lost = false; // the reply was lost: the start command may have been executed or not
    task_state end_state = task_state::finished; // valid in phase `committing`
    std::uint64_t commit = 0;       // group commit that must be stored before the phase ends
    bool may_run_elsewhere = false; // an earlier owner may have started it on a worker that is
                                    // unreachable now
    time_point waiting_since;
    std::string_view wait_reason = "new";

    // Policy.
    time_point started;                    // when it was first known to run
    std::size_t class_index = no_index;    // set while it holds resources
    std::size_t team_index = no_index;     // set while it holds resources
    std::vector<worker_id> failed_workers; // workers on which it failed; it is not placed there
                                           // again
    bool trial = false;                    // placed on a worker with consecutive failures
    std::int64_t share = 100;              // percent of its processors that the task may use
    std::int64_t share_sent = 100;         // share in the last throttle command
    std::int64_t share_confirmed = 100;    // share that the worker confirmed
};

struct cell_job {
    job_record record;
    revision_number revision;
    std::size_t class_index = no_index; // resolved on first use
    std::size_t team_index = no_index;  // resolved on first use
};

// Waiting tasks of one job, which share shape and rank. Entries may be outdated; users of an entry
// check it against the task table.
struct waiting_group {
    std::vector<std::uint32_t> indexes;
    time_point since; // start of the current wait; reset when a task of the job starts
    std::string_view reason = "new";
};

// Data on a service or batch class.
struct cell_task_class {
    std::string name;
    double run_factor = 1.0; // ratio of actual to declared run time, learned from finished tasks
    std::int64_t run_samples = 0;
    bool latency_critical = false; // the class has a service or standing watch job
    std::size_t slot = no_index;   // index of a batch class in the estimates; set at the first
                                   // sample
};

// Estimates for one service class. Slot 0 is the slowdown that no batch class explains. Each other
// slot is the slowdown that one batch class adds when it uses the whole worker.
struct effect_estimates {
    std::vector<double> mean;       // by slot
    std::vector<double> covariance; // indexed by pairs of slots
};

// Resource use and quota of one team in this cell. A quota of zero means no quota.
struct cell_team {
    team_id id;
    resources used;
    resources quota;
    double weight = 1.0;
};

// Placement strategies. All values except `full` are baselines of the benchmark.
enum class placement_kind : std::uint8_t { full, first_fit, least_loaded };

struct policy_options {
    placement_kind kind = placement_kind::full;
    bool interference_model = true; // false: interference is neither learned nor used
    bool learn_effects = true;      // false: the effects are given as input, as in the benchmark's
                                    // oracle
    bool urgent_evicts = true;
    // Percent of each worker's processors that only urgent tasks, services and starving batch tasks
    // may use. With evictions but no reserve, urgent work evicts about 1.5 times as many tasks;
    // with a reserve but no evictions, it waits for seconds.
    std::int64_t urgent_reserve_percent = 2;
    std::int64_t throttle_slowdown_percent = 115;
    std::int64_t evict_slowdown_percent = 140;
};

// Returns whether the worker failed tasks and has not yet proved that it works again.
inline bool is_unproven(const cell_worker& worker) {
    return worker.probing || !worker.failed_jobs.empty();
}

struct cell_tables {
    std::vector<cell_worker> workers;
    std::unordered_map<worker_id, std::size_t> worker_index;
    std::map<job_id, cell_job> jobs;
    std::map<task_id, cell_task> tasks;

    // Policy.
    policy_options options;
    time_point now;                  // time of the tick or event being handled
    std::int64_t unix_offset_ms = 0; // Unix time minus `now`
    resources round_capacity;        // capacity of the cell at the start of the placement round
    std::map<job_id, waiting_group> waiting;
    time_point waiting_rebuilt;
    time_point last_round;
    std::uint64_t placement_inputs = 1; // counts released resources, new waiting tasks and worker
                                        // changes
    std::uint64_t placement_inputs_seen = 0; // value of placement_inputs at the last placement
                                             // round
    std::vector<cell_task_class> classes;
    std::unordered_map<std::string, std::size_t> class_lookup;
    std::vector<cell_team> teams;
    std::unordered_map<team_id, std::size_t> team_lookup;
    std::vector<effect_estimates> effects; // indexed by service class
    std::size_t effect_slots = 1;
};

// Samples older than this are dropped, because the tasks that ran at their time are no longer
// recorded.
inline constexpr duration occupancy_history{30'000};

// Returns whether a task in this phase holds resources of its worker.
constexpr bool holds_resources(task_phase phase) {
    return phase != task_phase::waiting && phase != task_phase::committing;
}

std::string_view to_string(task_phase phase);

// Returns whether a task in this phase is known to run.
constexpr bool is_running(task_phase phase) {
    return phase == task_phase::running || phase == task_phase::evicting ||
           phase == task_phase::stopping;
}

// Return the table index of a class or team; add it if it is new.
std::size_t find_class(cell_tables& tables, const std::string& name);
std::size_t find_team(cell_tables& tables, const team_id& id);

// Sets the class and team indexes of a job.
void resolve_job(cell_tables& tables, cell_job& job);

// Adds a waiting task to the index of waiting tasks.
void add_waiting(cell_tables& tables, const cell_task& task);

// Changes the share of its processors that a running task may use. Does nothing for tasks that
// don't run.
void set_share(cell_tables& tables, cell_task& task, std::int64_t share);

// Moves a task to another phase and worker and updates the totals of the workers and teams.
void set_phase(cell_tables& tables, cell_task& task, task_phase phase, std::size_t worker);

// Asserts that each worker's committed resources equal the sum over its tasks. The sum may exceed
// the capacity after a worker restarted with a smaller capacity; placement asserts that each start
// fits.
void check_capacity(const cell_tables& tables);

} // namespace fulmar
