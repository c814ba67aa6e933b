// A model of a worker that restarts under its id, which its owner may not notice, small enough to
// enumerate every order of events: one worker, the owners of a shard one after the other, and one
// task, which runs on that worker or elsewhere. A command names the worker's id only, so it may
// reach a later incarnation than the one that it was meant for; that one takes the longest lease
// from it. One that got no reply may be executed until the late limit after it was sent, so several
// are open at once. The rules are those of shard_incarnations.cpp, shard_reports.cpp,
// shard_recorded_runs.cpp and, for workers that restart, of shard_takeover.cpp; when a former
// owner's authority ends is the matter of takeover_chain_model. Time is counted in ticks, and any
// number of events may come between two.
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
    // So does it only for an incarnation that has listed its runs.
    bool know_listed_incarnations_only = true;
    // For a run that isn't certain, its owner waits for the longest lease from the last command.
    bool wait_for_longest_lease = true;
    // After a restart that it noticed, an owner counts with the longest lease from the reply.
    bool count_longest_after_restart = true;
    // A successor counts former owners' leases with the longest one and the late limit, but for a
    // recorded task.
    bool count_unconfirmed_with_longest = true;
    // An owner that hands the shard over tells by when the leases on a silent worker end: with the
    // longest, unless the run is certain.
    bool count_unnoticed_at_handover = true;
    // A command without a reply is counted until the late limit after it was sent, by its owner,
    // and by a successor. shard_takeover.cpp counts a part of it only, as far as the takeover's
    // target allows.
    bool count_late_limit = true;
    bool count_late_limit_of_former = true;
    // A successor knows of the starts that its predecessor knew to be open, and of the leases that
    // may have been taken unnoticed, and keeps their runs.
    bool pass_open_starts = true;
    // A worker refuses commands with a lower fence than the highest that it has seen.
    bool refuse_lower_fences = true;
    // If the reply that shows a restart doesn't rule out that commands arrive that were sent
    // before, the owner raises the fence and asks again.
    bool ask_again = true;
    // A run is kept while a sending of its start that got no reply may arrive: if a list lacks it
    // or its start is refused, after a restart, and if the worker lists its end.
    bool keep_open_starts = true;
    bool keep_after_restart = true;
    bool keep_doubtful_after_restart = true; // if it may have arrived since the last reply
    bool keep_ended_runs = true;
    bool keep_calling_starts = true;      // also while the call lasts
    bool keep_repeated_if_refused = true; // a refused start that is repeated ends no run
    // Whether a start was open is judged for the time at which the worker made its list.
    bool compare_time_of_list = true;
    // A list that was made before a start was repeated doesn't tell where that one is executed.
    bool know_runs_by_later_lists = true;
    // A run is certain only if no sending of its start was open at the worker's last reply, or is
    // since.
    bool doubt_open_starts = true;
    // A start is repeated for the same run, and the worker refuses one whose run was stopped or has
    // ended there.
    bool repeat_same_run = true;
    bool clear_record_before_start = true;
    // The record names the worker before a start is sent there. Only with `plans`: owners then also
    // store that the task was started on other workers only.
    bool name_worker_before_start = true;
    bool plans = false;
    bool record_known_runs_only = true;     // of the known incarnation
    bool record_usual_leases_only = true;   // on workers that have no longer lease
    bool record_without_open_starts = true; // implied by the next one
    bool record_certain_runs_only = true;
    // An owner counts with the longest lease also if it has forgotten the worker since its last
    // command there.
    bool count_longest_in_new_rows = true;
    // Not needed for safety as long as an owner asks again: it raises the fence already when a
    // command gets no reply, and when it suspects a restart.
    bool raise_after_silence = true;
    bool raise_when_suspected = true;
    // Not part of the protocol: a worker's list of runs ends the wait for it only once no command
    // of a former owner can arrive any more, but for a recorded task.
    bool wait_for_former_commands = false;
    // A former owner's start may reach an incarnation that began after the worker answered the
    // successor.
    bool former_starts = false;
    // Not part of the protocol: a successor also knows of the starts whose calls last at its claim,
    // which an owner stores only after a moment.
    bool pass_lasting_calls = false;
    bool send_after_claim = true;    // until the confirmation window ends; an owner may be killed
    bool recorded_at_claims = false; // owners change only while the store has the task recorded
    bool delayed_lists = false;      // anything may happen until a list of runs is received
    bool delayed_answers = false;    // and until an answer to a start is
    int list_delay = 1;              // ticks; more than one with a host that stands still
    bool workers_leave = false;      // owners forget them, and they may be back under their ids
    std::size_t owners = 2;          // up to 3, one after the other
    int restart_limit = 2;
    int start_limit = 2; // starts that are sent to the worker, repeated ones included
    int open_holds = 1;
    int lease = 1;
    int longest_lease = 3; // that the worker takes
    int late_limit = 2;    // for which a command without a reply may arrive; its call lasts a tick
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
