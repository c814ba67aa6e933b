// A deterministic simulation of a cell: two owners, five worker models, one store and a clock that
// the test advances.
#pragma once

#include "cell_control.hpp"
#include "store_memory.hpp"
#include "worker_memory.hpp"

#include <array>
#include <deque>
#include <random>
#include <set>

namespace fulmar {

inline constexpr duration harness_step{100};
inline constexpr duration store_read_interval{300};
inline constexpr duration sync_timeout{1'500};

enum class link_state : std::uint8_t { up, refused, request_lost, reply_lost, reply_late };

struct harness_owner {
    cell_state cell;
    std::string instance;
    std::optional<lease_id> lease;
    epoch_number highest_epoch; // of all claims that this owner read or wrote
    bool alive = true;
    bool paused = false;
    bool store_up = true;
    time_point next_membership;
    time_point next_store_read;
    // Revisions passed to on_job at `applied_jobs_epoch`.
    std::map<std::string, revision_number> applied_jobs;
    epoch_number applied_jobs_epoch;
    time_point other_unreachable_since;        // since when the other owner sends no heartbeats
    std::deque<std::function<void()>> backlog; // events delivered after the pause
};

struct harness {
    explicit harness(std::uint32_t seed, const cell_timing& cell_times = {},
                     cell_id cell_name = {"cell-1"});

    cell_id cell;
    time_point now{duration(1'000'000)};
    std::mt19937 random;
    cell_timing timing;
    metrics counters;
    store_memory store;
    std::vector<cell_worker_model> workers;
    std::vector<std::array<link_state, 2>> links; // indexed by worker and owner
    std::array<harness_owner, 2> owners;
    std::multimap<time_point, std::function<void()>> events;
    std::map<job_id, job_record> jobs;
    data_centre_state state = data_centre_state::in;
    time_point state_changed;
    std::optional<cell_id> handover_target;
    std::int64_t handover_budget = 0; // in each step
    bool heartbeats_up = true;
    int longest_commit_reply_ms = 300;
    bool ignore_epochs = false; // mutation: workers execute commands of superseded owners

    // Observations for the checks of the invariants.
    revision_number progress_revision;
    cell_progress progress; // stored at that revision
    std::set<std::tuple<task_id, attempt_number, worker_id>> executions;
    std::map<std::pair<task_id, std::string>, int> runs_from; // executions by resumed checkpoint
    std::set<task_id> observed_finished;
    std::vector<std::string> violations;
};

void submit(harness& self, const std::string& name, const job_record& record);
void cancel(harness& self, const std::string& name);
void set_state(harness& self, data_centre_state state);
void replace_owner(harness& self, std::size_t owner); // a new process on the same host
void run_for(harness& self, duration length);
bool all_ended(harness& self); // whether the stored progress has an end for each task
const cell_progress& stored_progress(harness& self);
std::string describe_owners(harness& self); // both owners' state and tasks, for a failed check
harness_owner* active_owner(harness& self);

} // namespace fulmar
