// A model of the takeover of a shard, small enough to enumerate every order of events: a former
// owner, its successor, which has just written its claim, and the workers of the stored list. One
// task runs on the first worker. The rules are those of complete_takeover, has_authority and
// has_lapsed; time is counted in ticks.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// The rules of the protocol. Each one that is left out must let the model find a violation.
struct takeover_rules {
    bool pass_replaced_workers = true;   // another worker's answer at the address ends the wait
    bool limit_unconfirmed_owner = true; // an owner without the store ends after `owner_limit`
    bool wait_for_leases = true;         // after a majority was reached
    bool fence_epochs = true;            // workers refuse the former owner's epoch
    int lease = 2;
    int confirmation_window = 1;
    int owner_limit = 5;
};

struct takeover_report {
    std::size_t states = 0; // that were reached
    // The first violation: which one, and the events that lead to it.
    std::optional<std::string> violation;
    std::vector<std::string> trace;
};

// Enumerates all reachable states and checks that the task never runs in two places, and that from
// each state the takeover ends once faults end, whichever workers are gone by then.
takeover_report check_takeover(const takeover_rules& rules);

} // namespace fulmar
