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
inline constexpr small no_successor = -1;

// What an owner knows of the incarnation that the worker has now.
enum incarnation_knowledge : small { never_heard, current_known, former_known };

// What an owner knows of the task's run on the worker.
enum run_knowledge : small {
    no_run,
    starting,    // the start was sent and has no answer
    unconfirmed, // its call has failed
    uncertain,   // the start was answered, not by the known incarnation
    known_run    // in the known incarnation
};

enum record_write : small { no_write, write_record, write_clear };

// The worker's present incarnation.
struct restart_worker {
    small epoch = 1;  // the highest that it knows
    small lease = 0;  // ticks left
    small run = 0;    // number of the task's run; 0: none
    small closed = 0; // runs up to this number are refused
};

// A command with a lease, on its way to the worker.
struct restart_command {
    small left = 0;  // ticks until it can't arrive any more; 0: there is none
    small epoch = 0; // of its owner
    small lease = 0; // ticks left for the incarnation that it is meant for
    small meant = 0; // for the present one
    small run = 0;   // that it starts
};

struct restart_owner {
    small claimed = 0;
    small active = 1;
    small age = no_successor; // ticks since its successor's claim
    small knows = never_heard;
    small asks = 1; // sends no lease before the next list of runs
    small heard = 0;
    small run = no_run;
    small number = 0;
    small stop_answered = 0;
    small recorded = 0;
    small write = no_write;   // a transaction without an answer
    small no_unknown_run = 0; // it has cleared a record that counted
    // Ticks left: of the known incarnation's lease, until no command can arrive, until no lease
    // can be left that a later incarnation took from one, and until the start can't arrive.
    small lease = 0;
    small commands = 0;
    small unnoticed = 0;
    small start = 0;
    // Ticks until former owners send nothing that may arrive, and until the leases have ended that
    // they granted with the usual lease, and with the longest.
    small former_commands = 0;
    small usual = 0;
    small longest = 0;
};

struct restart_state {
    restart_worker worker;
    std::array<restart_owner, max_owners> owners;
    restart_command start;
    restart_command hold;
    std::uint8_t owner = 0; // the present one
    small elsewhere = 0;    // the task was started on another worker
    small runs_twice = 0;   // the worker has two runs of it
    small restarts = 0;
    small runs_started = 0;
    // The record in the store.
    small recorded = 0;
    small recorded_by = 0;
};

static_assert(std::has_unique_object_representations_v<restart_state>);

small to_small(int value);
void raise_to(small& value, int least);
small epoch_of(std::size_t owner);
void forget_run(restart_owner& owner);

// Returns whether an owner may send commands with a lease: until the successor's claim, and as long
// afterwards as the store may have confirmed it.
bool may_send(const restart_rules& rules, const restart_owner& owner);

// Counts a command with a lease that an owner sends.
void note_command(const restart_rules& rules, restart_owner& owner);
restart_command make_command(const restart_rules& rules, const restart_state& state,
                             std::size_t owner);

// Lets the worker take the lease of a command; returns whether it accepts the epoch.
bool accept_command(const restart_rules& rules, restart_worker& worker,
                    const restart_command& command);

// An owner's hold that arrives at once, and its reply.
void answer_hold(const restart_rules& rules, restart_state& state, std::size_t number);

enum class start_answer : std::uint8_t { done, refused, fenced };

// Executes the start that is on its way; returns the worker's answer.
start_answer execute_start(const restart_rules& rules, restart_state& state);

// What the clock in the answer to a start tells of the incarnation that executed it.
enum class answer_clock : std::uint8_t { tells, unclear };

// Executes the start that is on its way, and lets its owner process the answer.
void answer_start(const restart_rules& rules, restart_state& state, answer_clock clock);

// Returns whether a successor of an owner has had the worker's answer.
bool is_passed(const restart_state& state, std::size_t owner);

// Returns whether an owner knows that no run is left on the worker.
bool has_no_run(const restart_rules& rules, const restart_owner& owner);
bool may_start(const restart_rules& rules, const restart_owner& owner);
bool may_record(const restart_rules& rules, const restart_owner& owner);

void claim_shard(const restart_rules& rules, restart_state& state);

// Returns whether an owner may hand the shard over while the worker is silent.
bool may_hand_over(const restart_rules& rules, const restart_owner& owner);
void hand_over(const restart_rules& rules, restart_state& state);
void restart_process(restart_state& state);
void pass_time(const restart_rules& rules, restart_state& state);

// Clears what can't matter any more, so that states that differ only there are one.
void forget_past(const restart_rules& rules, restart_state& state);

} // namespace fulmar
