// A model of the takeover of a shard, small enough to enumerate every order of events: a former
// owner, its successor in another data centre, which has just written its claim, the workers of the
// stored list, and up to two hosts that are witnesses beside these two. One task runs on the first
// worker. The rules are those of shard_takeover.cpp and has_lapsed; time is counted in ticks.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// The rules of the protocol. Each one that is left out must let the model find a violation.
struct takeover_rules {
    bool pass_replaced_workers = true;   // another worker's answer at the address ends the wait
    bool limit_unconfirmed_owner = true; // an owner without the store ends after its limits
    bool wait_for_leases = true;         // after the former owner was refused
    bool fence_epochs = true;            // workers refuse the former owner's epoch
    bool need_witnesses = true;          // an owner without the store needs most of them
    bool local_suffice = true;           // or most of those in its own data centre
    bool ask_witnesses = true;           // the successor asks them to refuse the former owner
    bool keep_promises = true;           // and they do, also after a restart
    bool give_up_when_asked = true;      // the former owner stops acting before its host promises
    std::size_t workers = 2;             // 1 to 3
    // Up to two witnesses beside the former owner's and the successor's hosts, and whether each is
    // in the former owner's data centre.
    std::vector<bool> local_peers = {true};
    int lease = 2;
    int confirmation_window = 1;
    int owner_limit = 5;
    // The limit unless half of the witnesses of the other data centre confirm the owner, counted
    // from when they did last or from its last transaction.
    int isolated_limit = 3;
    // If not, the successor counts it from the transaction only.
    bool successor_counts_confirmations = true;
    // The owner's limits count from its last transaction, this many ticks before the claim. If the
    // longer one counts from the last confirmation instead, the successor still counts from the
    // transaction.
    int stalled = 0;
    bool limit_from_transaction = true;
};

struct takeover_report {
    std::size_t states = 0; // that were reached
    // The first violation: which one, and the events that lead to it.
    std::optional<std::string> violation;
    std::vector<std::string> trace;
};

// Enumerates all reachable states and checks that the task never runs in two places; that a data
// centre that is cut off goes on with it until the shorter limit; and that from each state the
// takeover ends once faults end, whichever workers are gone by then: as soon as the leases have if
// half of the workers, or half of the spread and of the local witnesses, can be reached; within the
// shorter limit if over half of the other data centre's witnesses can, and within the longer one
// otherwise.
takeover_report check_takeover(const takeover_rules& rules);

} // namespace fulmar
