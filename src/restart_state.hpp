// The state of the model of a worker that restarts, and what each event does to it.
#pragma once

#include "restart_model.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <type_traits>

namespace fulmar {

using small = std::int8_t; // so that a state has no padding and can be hashed as it is

inline constexpr std::size_t max_owners = 3;
inline constexpr std::size_t max_commands = 3;
inline constexpr small no_successor = -1;

// What an owner knows of the incarnation that the worker has now.
enum incarnation_knowledge : small { never_heard, current_known, former_known };

// What an owner knows of the task's run on the worker.
enum run_knowledge : small {
    no_run,
    starting,    // the start was sent, and its call lasts
    unconfirmed, // its call has failed, or the worker has restarted and may still execute it
    uncertain,   // the start was answered, not by the known incarnation
    known_run    // in the known incarnation
};

// What the record of the task says, and a transaction without an answer that changes it.
enum record_content : small {
    names_worker, // the task may have been started on the worker
    records_run,  // it runs there in a known incarnation, with the usual lease, or nowhere
    names_others  // it was started on other workers only
};
enum record_write : small { no_write, write_record, write_clear, write_others };

// The worker's present incarnation.
struct restart_worker {
    // The highest token that it knows: an owner's epoch, and the fence that this owner has raised.
    small epoch = 1;
    small fence = 0;
    small lease = 0;  // ticks left
    small run = 0;    // number of the task's run; 0: none
    small closed = 0; // runs up to this number are refused
    small ended = 0;  // the last run that ended on it, which it lists
};

enum execution_outcome : small { unexecuted, done, refused, fenced };

// A command with a lease that has no reply.
struct restart_command {
    small left = 0;  // ticks until it can't arrive any more; 0: there is none
    small epoch = 0; // of its owner
    small fence = 0;
    small lease = 0;       // ticks left for the incarnation that it is meant for
    small meant = 0;       // for the present one
    small run = 0;         // that it starts; 0: a hold
    small calling = 0;     // its call lasts
    small executed = 0;    // or refused, without a reply
    small forgotten = 0;   // by its owner, with the worker
    small answer = 0;      // execution_outcome, on its way
    small incarnation = 0; // that executed it
    small passed = 0;      // epoch of the successor that knows of it
};

// A reply to a hold with the list of runs, on its way to the owner.
struct restart_list {
    small owner = 0; // its epoch; 0: there is none
    small left = 0;  // ticks for which it may be on its way
    small run = 0;
    small ended = 0;
    small incarnation = 0;
    small present = 0;   // it is of the present incarnation
    small restarted = 0; // it shows a restart
    small open = 0;      // a sending of the run's start was open
    // Since the hold was sent: the start was sent or answered, the stop answered, the fence raised.
    small started = 0;
    small answered = 0;
    small stopped = 0;
    small raised = 0;
};

struct restart_owner {
    small claimed = 0;
    small active = 1;
    small age = no_successor; // ticks since its successor's claim
    small knows = never_heard;
    small asks = 1;        // sends no lease before the next list of runs
    small incarnation = 0; // that it knows
    small new_row = 0;     // it has forgotten the worker since
    small heard = 0;
    small run = no_run;
    small number = 0;
    small stop_answered = 0;
    small doubt = 0;    // a sending of its start was open at the worker's last reply, or is since
    small repeated = 0; // its start was sent more than once
    small fence = 0;
    small recorded = names_worker;
    small write = no_write;   // a transaction without an answer
    small no_unknown_run = 0; // it has cleared a record that counted
    // Ticks left: of the known incarnation's lease, and until no lease can be left that a later
    // incarnation took from a command that got a reply or can't arrive any more.
    small lease = 0;
    small unnoticed = 0;
    // Ticks until former owners send nothing that may arrive, and until the leases have ended that
    // they granted with the usual lease, and with the longest.
    small former_commands = 0;
    small usual = 0;
    small longest = 0;
};

struct restart_state {
    restart_worker worker;
    std::array<restart_owner, max_owners> owners;
    std::array<restart_command, max_commands> commands;
    restart_list list;
    std::uint8_t owner = 0; // the present one
    small elsewhere = 0;    // the task was started on another worker
    small runs_twice = 0;   // the worker has two runs of it
    small restarts = 0;
    small runs_started = 0;
    small starts_sent = 0;
    // The record in the store.
    small recorded = names_worker;
    small recorded_by = 0;
};

static_assert(std::has_unique_object_representations_v<restart_state>);

small to_small(int value);
void raise_to(small& value, int least);
small epoch_of(std::size_t owner);

// Returns whether a command that may still be executed is of this owner.
bool is_own(const restart_command& command, std::size_t owner);

// Returns whether the worker refuses a command for its token.
bool is_lower(const restart_rules& rules, const restart_command& command,
              const restart_worker& worker);
void forget_run(restart_owner& owner);

// Returns whether an owner may send commands with a lease: until the successor's claim, and as long
// afterwards as the store may have confirmed it.
bool may_send(const restart_rules& rules, const restart_owner& owner);

// Returns how many commands are open; a run's number counts its starts, 0 the holds.
std::size_t count_open(const restart_state& state, std::size_t owner, small run);
bool has_room(const restart_state& state);

// Returns whether a sending of a run's start may still arrive whose call has failed, or lasts, or
// that a former owner passed on.
bool is_start_open(const restart_state& state, std::size_t owner, small run, bool also_calling);

void send_command(const restart_rules& rules, restart_state& state, std::size_t owner, small run);

// Lets a call end without a reply.
void fail_call(const restart_rules& rules, restart_state& state, restart_command& command);

// An owner's hold that arrives at once; the worker sends its list of runs.
void send_list(const restart_rules& rules, restart_state& state, std::size_t number);
void receive_list(const restart_rules& rules, restart_state& state);
void lose_list(const restart_rules& rules, restart_state& state);

// Leaves out former owners' starts that are on their way, but with `former_starts`.
void refuse_former_starts(const restart_rules& rules, restart_state& state, std::size_t number);

// Executes a command that is on its way, without a reply.
void execute_command(const restart_rules& rules, restart_state& state, std::size_t slot);

// What the clock in the answer to a start tells of the incarnation that executed it.
enum class answer_clock : std::uint8_t { known, former, other, unclear };
enum class start_answer : std::uint8_t { tells, unclear, no_room };

// Executes the start that is on its way, and lets its owner process the answer.
void answer_start(const restart_rules& rules, restart_state& state, std::size_t slot,
                  start_answer answer);

// Lets the owner of a start that was executed receive its answer.
void receive_answer(const restart_rules& rules, restart_state& state, std::size_t slot, bool tells);

// An owner forgets a worker that has left; the worker may be back under its id.
bool may_forget_worker(const restart_state& state, std::size_t number);
void forget_worker(restart_state& state, std::size_t number);

void stop_run(restart_state& state, std::size_t number);

// Returns whether a successor of an owner has had the worker's answer.
bool is_passed(const restart_state& state, std::size_t owner);

// Returns whether an owner knows that no run is left on the worker.
bool has_no_run(const restart_rules& rules, const restart_state& state, std::size_t number);
bool may_start(const restart_rules& rules, const restart_state& state, std::size_t number);
bool may_record(const restart_rules& rules, const restart_state& state, std::size_t number);

// Returns the ticks until no lease can be left that a later incarnation took from a command;
// without `also_calling`, from one whose call has failed.
int unnoticed_left(const restart_rules& rules, const restart_state& state, std::size_t number,
                   bool also_calling = true);

// Returns whether an owner's run is in the known incarnation or nowhere.
bool is_certain(const restart_rules& rules, const restart_owner& owner);

// Returns whether no lease is left that a run has of which an owner doesn't know.
bool is_complete(const restart_rules& rules, const restart_state& state, std::size_t number);

void claim_shard(const restart_rules& rules, restart_state& state);

// Returns whether an owner may hand the shard over while the worker is silent.
bool may_hand_over(const restart_rules& rules, const restart_state& state);
void hand_over(const restart_rules& rules, restart_state& state);
void restart_process(restart_state& state);
void pass_time(const restart_rules& rules, restart_state& state);

// Clears what can't matter any more, so that states that differ only there are one.
void forget_past(const restart_rules& rules, restart_state& state);

} // namespace fulmar
