// Tables of one shard: workers, jobs with their stages and tasks, runs and loans. A shard is a
// group of workers of one data centre that is controlled by one host at a time.
#pragma once

#include "fulmar/async_store.hpp"
#include "fulmar/job.hpp"
#include "fulmar/types.hpp"
#include "fulmar/worker_link.hpp"
#include "shard_search.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar {

using shard_id = strong_type<struct shard_tag, std::string>;

// A worker's entry in the platform's store.
struct worker_entry {
    worker_target target;
    service_id service;
    data_centre_id data_centre;
    rack_id rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    duration remaining{0}; // minimum time until a draining worker leaves
    std::optional<process_start_time> start_time;
};

// A run end that was processed and may be acknowledged once its job's record is stored.
struct unacknowledged_run_end {
    run_end end;
    std::uint64_t version = 0; // of the job's record that includes the run end
};

// A run end, and the worker that listed it.
struct listed_run_end {
    worker_id worker;
    run_end end;
};

enum class reachability_state : std::uint8_t {
    unknown,     // no reply since this owner took over
    reachable,   // the worker replied to the last call
    unreachable, // the worker did not reply to the last call
};

struct run_row;

struct worker_row {
    worker_entry entry;
    bool listed = false;    // the platform's store has an entry for it
    time_point unlisted_at; // when the entry was found to be deleted
    time_point draining_at; // when the entry was first seen draining

    // Lease. `clock` is the worker's clock, read between `clock_sent` and `clock_at` on the local
    // clock.
    reachability_state reachability = reachability_state::unknown;
    // Start time of the worker's incarnation that the members below describe.
    std::optional<process_start_time> start_time;
    // When a reply showed that a former incarnation had ended. Replies to commands that were sent
    // before may be that one's.
    time_point incarnation_since;
    std::optional<worker_clock> clock;
    time_point clock_sent;
    time_point clock_at;
    // When this incarnation sent its last reply, at the latest as the clock tells: a reply may have
    // waited for this process.
    time_point replied_at;
    // No lease that this incarnation has from this owner or a predecessor ends later.
    worker_clock lease_until;
    // Commands with a lease that have no reply, those sent last at the end. Until `late_limit`
    // after they were sent they may be executed, by whichever incarnation there is then. One that
    // hasn't been noticed takes the longest lease from them.
    struct unanswered_lease {
        time_point sent;
        std::uint32_t fence = 0;
    };
    std::deque<unanswered_lease> unanswered_leases;
    // No other command with a lease was executed later by an incarnation that isn't the known one.
    time_point leases_taken;
    // Raised to have later incarnations refuse what was sent before; see make_token.
    std::uint32_t fence = 0;
    std::uint32_t hold_fence = 0; // of the last hold
    bool hold_has_lease = false;
    time_point unanswered_since;
    // Another worker answers at its address, so this one and all its runs have ended.
    bool replaced = false;

    // Hold loop.
    bool hold_in_flight = false;
    time_point hold_sent;
    time_point replies_since; // replies to holds that were sent before are ignored
    time_point next_hold;
    bool inventoried = false; // a complete list of runs was received since this owner took over
    std::uint64_t processed_end = 0;    // number of the last run end that was processed
    std::uint64_t acknowledged_end = 0; // number of the last one that may be acknowledged
    // Highest acknowledgement in a hold that this incarnation replied to. The number isn't
    // repeated: another incarnation would delete run ends of its own that no owner has seen.
    std::uint64_t acknowledged_sent = 0;
    std::uint64_t acknowledged_in_flight = 0; // in the last hold
    // No number up to `processed_end` is missing among the run ends that this owner has processed,
    // so a gap after it shows that the worker deleted some unseen.
    bool ends_contiguous = false;
    std::deque<unacknowledged_run_end> unacknowledged_ends;

    // Load. `committed` counts the memory and accelerators of all tasks, but processors only of
    // tasks that aren't fillers.
    resources committed;
    std::int64_t filler_demand = 0; // thousandths of a core that its fillers request
    std::set<run_key> runs;
    std::vector<run_row*> run_rows; // the rows of `runs`, in the same order
    std::uint64_t releases = 0;     // number of runs and reservations that were removed
    room_view last_view;            // as of the last comparison by placement
    struct reservation {
        resources need;
        time_point until;
        time_point since; // of several on one worker, the first one is used first
    };
    std::map<task_key, reservation> reserved; // for tasks that are to start here

    // Health.
    std::uint32_t failures = 0;  // consecutive failed runs and refused starts; each run counts once
    time_point no_starts_before; // set after a refusal or failure

    time_point next_entitled_start; // of a task that no other reason has start; see shard_progress
};

enum class run_phase : std::uint8_t {
    starting, // the start was sent and no reply received yet
    running,
    unconfirmed, // no reply to the start; the run may still begin later
    stopping,    // a stop was requested
};

std::string_view to_string(run_phase phase);

enum class stop_cause : std::uint8_t {
    none,
    cancelled,
    job_failed,
    duplicate,
    moved,
    gang,
    evicted
};

struct run_row {
    run_key key;
    worker_id worker;
    run_phase phase = run_phase::starting;
    stop_cause cause = stop_cause::none;
    resources need;
    bool filler = false;
    bool long_running = false;
    time_point start_sent;         // when the start was last sent
    std::uint32_t start_fence = 0; // with which it was sent
    bool start_in_flight = false;
    // Until then a start that got no reply may still be executed.
    time_point late_until;
    std::uint32_t starts_sent = 0;
    std::uint32_t starts_unanswered = 0;
    worker_clock command_lease;          // the lease in the start command
    std::optional<time_point> confirmed; // when the worker first confirmed that it runs
    // Whether it runs in the incarnation that the worker's row describes, and in no later one.
    bool incarnation_known = false;
    bool stop_in_flight = false;
    time_point stop_sent;                    // when the last stop command was sent
    std::uint32_t stop_fence = 0;            // with which it was sent
    std::optional<time_point> stop_answered; // time of the first reply that confirmed the stop
    time_point next_stop;                    // earliest time of the next stop command
    std::string checkpoint;
    int progress_percent = 100;   // 100 until the worker's first report of the run
    std::int64_t measurement = 0; // see run_status

    // Sharing of a worker.
    std::string image;
    duration tail_target{0}; // latency target of a serving task; 0 for other tasks
    std::optional<time_point> over_target_since; // since when each measured tail exceeds the target
    // Target divided by tail, smoothed over the last measurements; 0: none yet.
    double average_slack = 0;
    // Since the first measurement over the target after which `average_slack` has not recovered.
    std::optional<time_point> average_over_since;
    int pace_target = 100;
    bool entitled = false; // started by this owner because nothing of its job ran
    std::optional<time_point> throttled_since; // since when a filler's target pace is close to 0
    int pace_confirmed = 100;                  // confirmed; -1: unknown, -2: refused
    bool pace_in_flight = false;
    std::uint32_t pace_fence = 0;
    // Since when reports have shown that it works although its pause is confirmed; the earliest
    // time once one has shown that it stands still.
    std::optional<time_point> pause_unseen_since;
};

// What a borrower reports about a task that was lent to it.
enum class loan_result : std::uint8_t { pending, done, failed, returned };

struct task_row {
    bool done = false;
    // Must not run in this shard: lent to another shard or, in a borrowed job, not part of a loan,
    // withdrawn, or reported to the lender.
    bool not_local = false;
    std::uint64_t loan = 0;                    // number of the loan that includes it; 0: none
    loan_result result = loan_result::pending; // of a borrowed task
    std::uint64_t result_version = 0;          // of the job's record that holds the result
    // Failed runs that count as attempts. Stored by run number, because a worker reports a run end
    // again until it is acknowledged.
    std::vector<run_number> failed_runs;
    run_number last_run;
    std::string checkpoint;
    std::vector<run_number> runs; // active runs
    std::optional<worker_id> last_failed_on;
    time_point avoided_until = time_point::max(); // until when it doesn't start there again
    std::optional<worker_id> reserved_worker;     // worker on which room is reserved for it
    bool reservation_expired = false;             // a reservation expired since its last start
    // Since when a long-running task has had no run, and the same by the wall clock, which is
    // offered with the task.
    std::optional<time_point> idle_since;
    // Since when another task of an open stage has been seen without a run.
    std::optional<time_point> no_run_since;
    // Also since when no task of its job has run, if it is a filler. 0: it doesn't wait.
    unix_time waiting_since{};
    // Stored as having no run; its owner stores that it isn't parked any more before it starts it.
    bool parked = false;
    epoch_number parked_by{}; // the owner that stored it as parked last
    // Stored as running on this worker, in an incarnation that the owner knew, unless it runs on
    // one of `planned_on` or nowhere.
    std::optional<worker_id> recorded_on;
    // Stored as workers to which a start may have been sent. A start is sent only to one of them.
    std::set<worker_id> planned_on;
    epoch_number recorded_by{}; // the owner that stored one of them last
    // Of the job's record with the last change of these members or of `parked`.
    std::uint64_t whereabouts_version = 0;
    time_point no_parking_before;
    // A stored record or its lender says that no former owner of this shard left a run of it.
    bool no_unknown_run = false;
};

// One step of one occurrence.
struct stage_row {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    bool open = false; // the steps before it are done
    std::uint32_t done = 0;
    std::vector<task_row> tasks;
    std::optional<time_point> ready_since; // since when tasks of it have waited for room
    time_point next_room_log;              // earliest time of the next log line about missing room
    // Of its waiting tasks, how many come next for room. They aren't parked.
    std::size_t starts_soon = 0;
    std::set<std::uint32_t> waiting; // tasks that this shard is to run and that have no active run
    std::map<worker_id, std::uint32_t> runs_by_worker; // active runs by worker
    // Of a gang: the last change of the workers for which not all members found room, and when they
    // were looked for; and the number of the run whose end gave the checkpoint.
    std::optional<std::uint64_t> failed_search;
    time_point failed_search_at;
    run_number checkpoint_run;
};

struct occurrence_row {
    std::uint32_t number = 0;
    std::vector<stage_row> stages; // by step
    bool done = false;
};

// Tasks of another shard's job that run here.
struct borrowed_tasks {
    std::uint64_t loan = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::set<std::uint32_t> tasks; // tasks whose results the lender hasn't stored yet
    // Version of the job's record that includes the loan; its tasks start only once that is stored.
    std::uint64_t version = 0;
    bool withdrawn = false;              // the lender withdrew the loan
    std::uint64_t withdrawn_version = 0; // of the job's record that includes the withdrawal
    bool in_flight = false;              // a report to the lender has no reply yet
    time_point next_report;
    time_point since; // when this owner started to look for room
};

// Tasks of a job of this shard that run in another shard.
struct loan_row {
    std::uint64_t number = 0;
    shard_id to;
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::set<std::uint32_t> tasks; // tasks without a result yet
    // Version of the job's record that includes the loan; the offer is sent only once that is
    // stored.
    std::uint64_t version = 0;
    // Version of the job's record that includes the borrower's last results.
    std::uint64_t results_version = 0;
    bool accepted = false;  // the borrower has stored the loan
    bool withdrawn = false; // the borrower is to stop the tasks and drop the loan
    bool in_flight = false; // a message to the borrower has no reply yet
    time_point next_send;
};

struct job_row {
    job_id id;
    // The shard that the job belongs to, if this shard only borrows tasks of it; otherwise empty.
    shard_id lender;
    std::vector<borrowed_tasks> borrowed;
    std::map<std::uint64_t, shard_id> loans; // open loans with their borrowers

    queue_spec queue; // the queue's settings when the job was accepted
    job_spec spec;
    job_phase phase = job_phase::queued;
    unix_time accepted;
    unix_time ended; // 0 until the job has ended
    // The owner that the stored record is of, if known: run numbers beyond those reserved for its
    // epoch may have been used by it and by the owners since without a record of them.
    epoch_number stored_by{};
    std::uint64_t version = 0;        // incremented with each change of the record
    std::uint64_t stored_version = 0; // latest version that is confirmed as stored
    bool spec_stored = false;         // the job itself is stored; no task starts before
    // The owner that stored that occurrences which the record lacks have no long-running tasks with
    // recorded starts, and whether a former one's record says so to this one.
    epoch_number starts_recorded_by{};
    bool starts_recorded = false;
    std::map<std::uint32_t, occurrence_row> occurrences; // occurrences that are due and not done
    std::uint32_t next_occurrence = 0;
    std::uint32_t occurrences_done = 0;
    // The phase before the end was `running`; shown until the end is stored.
    bool reported_running = false;
    bool inherited = false; // accepted under an earlier owner of the shard
    // Since when nothing of it has run here although fillers of it wait.
    std::optional<time_point> idle_since;
    time_point next_entitled_search;
    time_point next_entitled_log;
};

// A filler whose run ended without having been stopped.
struct ended_filler {
    job_id job;
    worker_id worker;
    resources need;
    std::string image;
};

struct shard_tables {
    // Workers refer to rows of runs.
    shard_tables() = default;
    shard_tables(const shard_tables&) = delete;
    shard_tables(shard_tables&&) = default;
    shard_tables& operator=(const shard_tables&) = delete;
    shard_tables& operator=(shard_tables&&) = default;
    ~shard_tables() = default;

    std::map<worker_id, worker_row> workers;
    std::map<job_id, job_row> jobs;
    std::map<run_key, run_row> runs;
    std::map<std::uint64_t, loan_row> loans; // loans that this shard made as the lender
    std::set<run_key> unanswered_gang_starts;
    std::vector<ended_filler> ended_fillers; // since the last round of placement
    search_memory searches;
};

// Returns whether the store names the worker of each start of the step's tasks before it is sent.
inline bool records_starts(const step_spec& step) {
    return step.long_running && !step.gang && !step.speculative;
}

// Returns whether the stored record names the workers on which a task may run.
inline bool has_recorded_workers(const task_row& task) {
    return task.recorded_on || !task.planned_on.empty();
}

// Returns whether the job belongs to another shard.
inline bool is_borrowed(const job_row& job) {
    return !job.lender.value.empty();
}

// Return a task's stage or row, or nullptr if the task is unknown or its occurrence has ended.
stage_row* find_stage(shard_tables& tables, const task_key& key);
task_row* find_task(shard_tables& tables, const task_key& key);

// Adds a run to its task, worker and stage, and commits its resources. Releases a reservation of
// the task.
run_row& add_run(shard_tables& tables, run_row run);

// Removes a run and releases its resources. Its task waits again unless it is done, not local or
// has another active run.
void remove_run(shard_tables& tables, const run_key& key);

// Releases the room that is reserved for a task, if any.
void drop_reservation(shard_tables& tables, const task_key& key);

// Releases all reservations on a worker.
void drop_reservations(shard_tables& tables, worker_row& worker);

// Creates the stages of an occurrence. Stages without dependencies are open immediately.
occurrence_row make_occurrence(const job_spec& spec, std::uint32_t number);

// Returns the stage of a borrowed job that a loan refers to, and creates its occurrence if needed.
// All tasks of a new occurrence are marked as not local; the caller clears the mark of those that
// the loan includes.
stage_row& find_borrowed_stage(job_row& job, std::uint32_t occurrence, std::uint32_t step);

// Opens the stages whose dependencies are done, and marks the occurrence as done once all its
// stages are.
void open_stages(const job_spec& spec, occurrence_row& occurrence);

// Returns a worker's free resources for a task that isn't a filler. Reservations of tasks other
// than `task` count as used.
resources free_resources(const worker_row& worker, const task_key* task = nullptr);

// Returns whether a run that its worker executes is being stopped. Its room becomes free within
// moments.
bool ends_soon(const run_row& run);

// Returns the worker's free resources once all its tasks have ended that aren't long-running or are
// being stopped.
resources long_running_room(const shard_tables& tables, const worker_row& worker);

// Increments the version of the job's record.
void mark_changed(job_row& job);

} // namespace fulmar
