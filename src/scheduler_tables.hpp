// Tables of one cell: workers, jobs and tasks as rows; systems run over them each tick.
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

struct worker_row {
    worker_id id;
    rack_id rack;
    resources capacity;
    resources committed; // by every task that is or may be on this worker

    // Lease and connection.
    bool inventoried = false;   // a full inventory arrived under the present epoch
    bool need_inventory = true; // ask for one with the next sync
    bool sync_in_flight = false;
    bool inventory_in_flight = false; // the sync in flight asks for a full inventory
    std::size_t acks_in_flight = 0;   // leading acks that the sync in flight carries
    time_point next_sync;
    std::optional<time_point> renewal_sent;   // last sync that may have renewed the lease
    std::optional<time_point> renewal_before; // the one before the sync in flight
    std::optional<time_point> renewal_known;  // send time of the last answered sync
    std::optional<time_point> unanswered;     // first sync sent since the last answer
    bool reachable = true;                    // the last sync was answered
    std::optional<time_point> refused_since;  // first of the last refusals in a row of our lease
    bool restarted = false;                   // since the last full inventory
    bool predecessor_ended = false;           // no earlier owner's task can be running here unseen
    worker_clock clock;                       // worker's clock in the last reply
    time_point clock_received;                // when that reply arrived here
    std::uint64_t incarnation = 0;
    std::vector<worker_command> commands; // to be sent with the next sync
    std::vector<task_ack> acks;

    // Health.
    std::vector<job_id> failed_jobs; // distinct jobs that failed here since the last success
    std::optional<time_point> quarantined_until;
};

// Phases of tasks that have not ended. Ended tasks have no row; they stand in the cell's progress.
enum class task_phase : std::uint8_t {
    waiting,
    committing_intent, // a worker is chosen, the intent is not yet in the store
    starting,          // a worker is chosen; sent when expires_at is set
    running,
    evicting,   // to be checkpointed, no checkpoint reported yet
    stopping,   // to be stopped, end not yet reported
    committing, // ended at the worker, end not yet in the store
};

struct task_row {
    task_id id;
    task_phase phase = task_phase::waiting;
    std::size_t worker = no_worker;
    attempt_number attempt;
    resources need;
    std::string task_class;
    std::string checkpoint;
    worker_clock expires_at; // of the start command; 0 before it is sent and after it is answered
    bool reply_lost = false; // the start command may or may not have been executed
    task_state ended_as = task_state::finished; // while committing
    std::uint64_t commit = 0;      // group commit that must be stored before the phase ends
    bool may_be_elsewhere = false; // an earlier owner may have started it on an unreachable worker
    time_point waiting_since;
    std::string_view wait_reason = "new";
};

struct job_row {
    job_record record;
    revision_number revision;
};

struct cell_tables {
    std::vector<worker_row> workers;
    std::unordered_map<worker_id, std::size_t> worker_index;
    std::map<job_id, job_row> jobs;
    std::map<task_id, task_row> tasks;
};

// Tells whether a task in this phase holds resources of its worker.
constexpr bool holds_resources(task_phase phase) {
    return phase != task_phase::waiting && phase != task_phase::committing;
}

std::string_view to_string(task_phase phase);

// Moves a task to another phase and worker and keeps the workers' committed resources in step.
void set_phase(cell_tables& tables, task_row& task, task_phase phase, std::size_t worker);

// Asserts that each worker's committed resources equal the sum over its tasks. They may exceed its
// capacity after the worker came back smaller; placement asserts that a start fits.
void check_capacity(const cell_tables& tables);

} // namespace fulmar
