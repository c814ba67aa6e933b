// Control of one cell as a state machine: it receives events and returns syncs and store writes. It
// does no I/O and reads no clock, so tests can replay any order of events.
#pragma once

#include "cell_progress.hpp"
#include "fulmar/metrics.hpp"
#include "fulmar/runtime_config.hpp"
#include "fulmar/store.hpp"
#include "scheduler_tables.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmar {

struct cell_timing {
    duration worker_lease{10'000};
    // Bounds the clock drift between two machines during one lease.
    duration lease_margin{2'000};
    duration sync_interval{2'000};
    duration freshness{4'000};
    duration commit_interval{1'000};
    duration return_ramp{60'000}; // runtime_config::return_ramp_ms
    // Sends starts without the last freshness check. Only for the test that proves that the fault
    // matrix detects this fault.
    bool skip_freshness_recheck = false;
};

// Handover of a job to another cell.
struct handover_state {
    std::uint64_t commit = 0; // group commit that records the chosen target cell
    bool in_flight = false;   // a write of the job record is in flight
};

struct cell_state {
    cell_id id;
    data_centre_id data_centre;
    host_id host;
    cell_timing timing;
    cell_tables tables;

    // Claim in the store.
    epoch_number epoch;             // epoch of this host's syncs; 0 means not active
    epoch_number highest_epoch;     // highest epoch used or received by this host; the next claim
                                    // must exceed it
    revision_number claim_revision; // 0 while this host does not hold the claim
    std::optional<time_point> claim_confirmed; // send time of the last store call that confirmed
                                               // the claim
    std::optional<time_point> majority_since;

    // Data centre state.
    data_centre_state state = data_centre_state::out;
    std::optional<time_point> state_confirmed; // send time of the read or watch that returned the
                                               // state

    std::optional<time_point> returning_since; // start of the current `returning` state
    resources returning_baseline;              // committed resources at that time
    std::map<job_id, handover_state> handovers;
    std::set<job_id> unreadable_jobs; // jobs whose carried progress can't be parsed; none of their
                                      // tasks starts

    // Progress and group commit.
    cell_progress progress;
    revision_number progress_revision;
    bool progress_owned = false; // the progress is stored under this epoch, so earlier owners can
                                 // no longer write it
    bool commit_in_flight = false;
    std::uint64_t open_commit = 1;        // number of the group commit that collects changes now
    std::uint64_t last_stored_commit = 0; // number of the last group commit known to be stored
    bool progress_dirty = false;
    time_point next_commit;

    std::uint32_t next_counter = 0; // last attempt number used in this epoch
    // No task of an earlier owner can still run on a worker that has not been inventoried.
    bool takeover_complete = false;
    std::optional<revision_number> claim_to_release; // revision of a claim that this host gave back
    bool progress_conflict = false;                  // the progress must be read again before the
                                                     // next write
    metrics* counters = nullptr;
};

struct sync_action {
    worker_id worker;
    sync_request request;
    time_point sent;
};

struct cell_actions {
    epoch_number epoch; // pass it to on_progress_written with the result of the write
    std::vector<sync_action> syncs;
    std::optional<store_write> progress_write;
};

// Returns the initial, inactive state of a cell.
cell_state make_cell(cell_id id, data_centre_id data_centre, host_id host,
                     const cell_timing& timing, metrics& counters);

// Adds a worker to the cell. Does nothing when the worker is already in the cell.
void add_worker(cell_state& cell, const worker_id& id, const worker_record& record);

// Begins to acquire the leases of the cell's workers under this epoch, which must exceed every
// epoch used or received before.
void activate(cell_state& cell, epoch_number epoch, time_point now);

// Releases the cell: no more syncs or writes. Clears all tables except the worker list.
void deactivate(cell_state& cell);

// Records that the store confirmed this host's claim by a call sent at `sent`.
void on_claim_confirmed(cell_state& cell, revision_number revision, time_point sent);

// Applies the cell's claim as read from the store; `owner_alive` is true when the owner's member
// record exists. Deactivates the cell when another live owner claims it at this epoch or a higher
// one.
void on_claim_read(cell_state& cell, const cell_claim& claim, bool owner_alive);

// Adopts the stored progress, which must be read after the claim was written. A group commit under
// this epoch must follow before any task starts.
void on_progress_read(cell_state& cell, const std::optional<store_entry>& entry, time_point now);

// Applies the result of the group commit in flight. A conflict means that another owner took over
// the cell.
void on_progress_written(cell_state& cell, const result<revision_number>& written, time_point now);

// Same for a write made at `epoch`. Ignores a write of an earlier activation, whose result would
// otherwise be applied to the current group commit.
void on_progress_written(cell_state& cell, epoch_number epoch,
                         const result<revision_number>& written, time_point now);

// Applies the data centre's state as returned by a store call sent at `sent`.
void on_data_centre_state(cell_state& cell, data_centre_state state, time_point sent);

// Applies a created or changed job record.
void on_job(cell_state& cell, const job_id& id, const job_record& record, revision_number revision,
            time_point now);

// Applies the configuration in force.
void on_config(cell_state& cell, const runtime_config& config);

// Applies the reply to a sync sent at `sent`, or the error of that sync.
void on_sync(cell_state& cell, const worker_id& worker, time_point sent,
             const result<sync_reply>& reply, time_point now);

// Runs one control step and returns the syncs and the write to send.
cell_actions tick(cell_state& cell, time_point now);

} // namespace fulmar
