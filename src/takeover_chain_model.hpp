// A model of two takeovers of a shard in a row, small enough to enumerate every order of events: a
// first owner, its successor, which may be lost at any moment, and the owner after that. The rules
// are those of shard_takeover.cpp and shard_promises.cpp; time is counted in ticks, and any number
// of events may come between two ticks.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// The rules of the protocol. Each one that is left out must let the model find a violation.
struct takeover_chain_rules {
    bool store_promises = true; // the second owner stores which workers it leaves alone
    bool store_ends = true;     // and by when the first owner's leases have ended
    bool keep_promises = true;  // it leases none of them before the list without them is stored
    bool store_fenced_ends_only = true;   // no end that rests on workers' refusals alone
    bool count_ends_from_load = true;     // not from before the record was written
    bool wait_for_silent_owner = true;    // for the second owner if it stored nothing
    bool wait_for_released_leases = true; // for workers that didn't answer at a planned stop
    // The second owner may start the task after the third one's claim, while it has authority left.
    bool start_after_claim = false;
    std::size_t workers = 2; // in the stored list: 1 or 2
    bool late_holds = true;  // holds of the first two owners may arrive late
    // Hosts of owners end, start again, are stopped as planned, and answer their successors.
    bool hosts_change = true;
    // The first worker and the witness are cut off, with the first owner, from its successors until
    // faults end.
    bool first_side_cut = false;
    // The first owner has left the first worker alone and stored that; the task runs nowhere yet.
    bool left_by_first = false;
    int fault_limit = 3; // processes that end or start again, and planned stops
    int lease = 2;
    int confirmation_window = 1;
    int owner_limit = 4; // for an owner that the store doesn't confirm
};

struct takeover_chain_report {
    std::size_t states = 0; // that were reached
    // The first violation: which one, and the events that lead to it.
    std::optional<std::string> violation;
    std::vector<std::string> trace;
};

// Enumerates all reachable states and checks that the task never runs in two places; that the last
// takeover ends in time once faults end; and that it doesn't begin anew: once the first owner is
// fenced for good, both takeovers together last no longer than one, unless the second owner used a
// worker that is gone.
takeover_chain_report check_takeover_chain(const takeover_chain_rules& rules);

} // namespace fulmar
