// The state of the model of two takeovers, and what each event does to it.
#pragma once

#include "takeover_chain_model.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <type_traits>

namespace fulmar {

using small = std::int8_t; // so that a state has no padding and can be hashed as it is

inline constexpr std::size_t max_workers = 2;
inline constexpr small none = -1;
inline constexpr small second_epoch = 2; // epochs are 1 to 3
inline constexpr small third_epoch = 3;

// What the stored list says of a worker.
enum promise : small { no_promise, left_alone, left_by_first, left_by_both, released, unlisted };

enum host_state : small { host_alive, host_ended, host_back };

struct chain_worker {
    small alive = 1;
    small may_restart = 0; // a tick has passed since it ended
    small epoch = 1;       // the highest that it knows
    small lease = 0;       // ticks left
    small runs = 0;        // the task
};

// One of the first two owners.
struct chain_owner {
    small active = 1;
    small host = host_alive;
    small age = none;                          // ticks since its successor's claim
    small confirmed = 0;                       // ticks since the witness confirmed it
    std::array<small, max_workers> accepted{}; // ticks since each worker accepted it
};

// The worker list and the ownership record, as one transaction writes them.
struct chain_record {
    small written = 0; // by the second owner
    small complete = 0;
    small age = 0;     // of the second owner, when it was built
    small ends = none; // ticks until the first owner's leases have ended
    std::array<small, max_workers> promises{};
    std::array<small, max_workers> released_ends{};
};

struct chain_state {
    std::array<chain_worker, max_workers> workers;
    std::array<chain_owner, 2> owners;
    small witness_alive = 1;
    small witness_epoch = 1;
    small late_lease = 0; // of a delayed hold on its way to the first worker: ticks left
    small late_epoch = 0;
    small faults = 0;
    // The second owner's takeover.
    small age = 0;
    small ends = none;    // as in the record
    small refused = none; // ticks since most workers refuse the first owner
    small complete = 0;
    small task = none; // the worker on which it knows the task
    std::array<small, max_workers> unreached{1, 1};
    std::array<small, max_workers> untouched{1, 1};
    std::array<small, max_workers> leased{}; // ticks until the lease there has ended
    // Its records: in the store, as it knows them stored, and in the pending transaction.
    chain_record stored;
    std::array<small, max_workers> confirmed{};
    small pending = 0;
    small applied = 0; // and the second owner doesn't know
    chain_record next;
    // The third owner's takeover.
    small claimed = 0;
    small last_complete = 0;
    small last_task = 0; // it has found the task
    small last_refused = none;
    std::array<small, 2> owner_ends{none, none}; // ticks until the owners' leases have ended
    std::array<small, max_workers> last_heard{};
    std::array<small, max_workers> last_unreached{};
};

static_assert(std::has_unique_object_representations_v<chain_state>);

// The longest time for which an owner may have leases after most refuse it.
int longest_wait(const takeover_chain_rules& rules);
bool is_most(std::size_t part, std::size_t whole);
bool has_authority(const takeover_chain_rules& rules, const chain_state& state, std::size_t number);
// Returns whether the second owner has promised to leave a worker alone.
bool is_promised(const takeover_chain_rules& rules, const chain_state& state, std::size_t worker);

// Returns whether the second owner has heard a worker since the last tick.
bool is_heard(const chain_state& state, std::size_t worker);
void extend_lease(chain_worker& worker, int lease);

// Holds of the three owners that arrive at a worker.
void send_first_hold(const takeover_chain_rules& rules, chain_state& state, std::size_t i);
void send_second_hold(const takeover_chain_rules& rules, chain_state& state, std::size_t i);
void send_third_hold(const takeover_chain_rules& rules, chain_state& state, std::size_t i);

// A successor asks the witness, or a former owner's host, to refuse the owners before it.
void ask_witness(const takeover_chain_rules& rules, chain_state& state, small epoch);
void ask_host(const takeover_chain_rules& rules, chain_state& state, std::size_t owner,
              small epoch);

// Builds the second owner's next transaction; at a planned stop with the ends of its own leases.
chain_record build_record(const takeover_chain_rules& rules, const chain_state& state,
                          bool releasing);
void claim_for_third(const takeover_chain_rules& rules, chain_state& state);
void advance_third(const takeover_chain_rules& rules, chain_state& state);

// Lets one tick pass. Ages stop at values beyond which nothing changes.
void pass_time(const takeover_chain_rules& rules, chain_state& state);

// Clears what can't matter any more, so that states that differ only there are one.
void forget_past(const takeover_chain_rules& rules, chain_state& state);

} // namespace fulmar
