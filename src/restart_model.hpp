// A model of a worker that restarts under its id, which its owner may not notice, small enough to
// enumerate every order of events: one worker, the owners of a shard one after the other, and one
// task, which runs on that worker or elsewhere. A command names the worker's id only, so it may
// reach a later incarnation than the one that it was meant for; that one takes the longest lease
// from it. The rules are those of shard_incarnations.cpp, shard_recorded_runs.cpp and, for workers
// that restart, of shard_takeover.cpp; when a former owner's authority ends is the matter of
// takeover_chain_model. Time is counted in ticks, and any number of events may come between two.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// The rules of the protocol. Each one that is left out must let the model find a violation.
struct restart_rules {
    // The clock in the answer to a start tells whether the known incarnation executed it.
    bool check_answer_clock = true;
    // For a run that isn't known to be in the known incarnation, its owner waits for the longest
    // lease from the last command.
    bool wait_for_longest_lease = true;
    // After a restart that it noticed, an owner counts with the longest lease from the last
    // command.
    bool count_longest_after_restart = true;
    // A successor counts former owners' leases with the longest one and the delivery time, but for
    // a recorded task.
    bool count_unconfirmed_with_longest = true;
    // An owner that hands the shard over tells by when the leases on a silent worker end: with the
    // longest, unless the run is known to be in the known incarnation.
    bool count_unnoticed_at_handover = true;
    bool count_delivery_time = true; // in which a command that was sent may still arrive
    bool clear_record_before_start = true;
    bool record_known_runs_only = true;   // of the known incarnation
    bool record_usual_leases_only = true; // on workers that have no longer lease
    // Not part of the protocol: a run whose start got no answer is kept until it can't arrive any
    // more, also if its worker confirmed a stop.
    bool keep_unanswered_starts = false;
    // Not part of the protocol: a worker's list of runs ends the wait for it only once no command
    // of a former owner can arrive any more, but for a recorded task.
    bool wait_for_former_commands = false;
    // A start may arrive although its call has failed, until the delivery time has passed.
    bool late_starts = false;
    // A former owner's start may reach an incarnation that began after the worker answered the
    // successor.
    bool former_starts = false;
    bool recorded_at_claims = false; // owners change only while the store has the task recorded
    std::size_t owners = 2;          // up to 3, one after the other
    int restart_limit = 2;
    int run_limit = 2; // starts that are sent to the worker
    int lease = 2;
    int longest_lease = 4; // that the worker takes
    int delivery_time = 1; // for which a command may be on its way
    int confirmation_window = 1;
};

struct restart_report {
    std::size_t states = 0; // that were reached
    // The first violation: which one, and the events that lead to it.
    std::optional<std::string> violation;
    std::vector<std::string> trace;
};

// Enumerates all reachable states and checks that the task never runs in two places.
restart_report check_restarts(const restart_rules& rules);

} // namespace fulmar
