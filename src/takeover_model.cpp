#include "takeover_model.hpp"

#include "takeover_state.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace fulmar {

using namespace takeover;

namespace {

bool is_most(std::size_t part, std::size_t whole) {
    return part * 2 > whole;
}

// Returns whether most of the spread witnesses, or most of the local ones, meet a condition: of the
// hosts of the former owner and of the successor, and of the others.
template <class Condition>
bool any_majority(const takeover_rules& rules, bool owner_host, bool successor_host,
                  Condition condition) {
    std::size_t spread = (owner_host ? 1 : 0) + (successor_host ? 1 : 0);
    std::size_t local = owner_host ? 1 : 0;
    std::size_t local_size = 1;
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        const bool meets = condition(i);
        spread += meets ? 1 : 0;
        local += meets && rules.local_peers[i] ? 1 : 0;
        local_size += rules.local_peers[i] ? 1 : 0;
    }
    return is_most(spread, 2 + rules.local_peers.size()) ||
           (rules.local_suffice && is_most(local, local_size));
}

// Returns the age of the claim from which on the former owner has no authority.
int find_owner_limit(const takeover_rules& rules) {
    return rules.limit_from_transaction ? rules.owner_limit - rules.stalled : rules.owner_limit;
}

// Returns for how long half of the witnesses of the other data centre haven't confirmed the former
// owner, given the time for each peer. The successor's host doesn't since the claim.
template <class Age>
int find_unconfirmed_age(const takeover_rules& rules, const model_state& state, Age age_of) {
    std::vector<int> ages{state.age};
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        if (!rules.local_peers[i]) {
            ages.push_back(age_of(state.peers[i]));
        }
    }
    std::sort(ages.begin(), ages.end());
    return ages[(ages.size() - 1) / 2];
}

// Returns for how long the former owner has been without its transactions and the confirmations of
// the other data centre.
int find_isolated_age(const takeover_rules& rules, const model_state& state) {
    const auto unconfirmed = find_unconfirmed_age(
        rules, state, [](const model_peer& peer) { return int{peer.confirmed}; });
    return std::min(state.age + rules.stalled, unconfirmed);
}

// Returns whether over half of the witnesses of the other data centre can't confirm the former
// owner any more, or can be asked for that. The successor's host is one of them.
template <class Refuses>
bool is_refused_elsewhere(const takeover_rules& rules, const model_state& state, Refuses refuses) {
    std::size_t open = 0;
    std::size_t all = 1;
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        if (!rules.local_peers[i]) {
            ++all;
            open += refuses(state.peers[i]) ? 0 : 1;
        }
    }
    return rules.ask_witnesses && open * 2 < all;
}

bool has_authority(const takeover_rules& rules, const model_state& state) {
    if (state.age <= rules.confirmation_window) {
        return true; // the store may have confirmed it until the claim
    }
    if (rules.limit_unconfirmed_owner && state.age >= find_owner_limit(rules)) {
        return false;
    }
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        accepted += state.workers[i].accepted <= rules.confirmation_window ? 1 : 0;
    }
    // Its own host always confirms the owner, the successor's never does.
    const auto confirms = [&](std::size_t i) {
        return state.peers[i].accepted <= rules.confirmation_window;
    };
    const bool confirmed = any_majority(rules, true, false, confirms);
    const int isolated = find_isolated_age(rules, state);
    if (rules.limit_unconfirmed_owner && isolated > rules.confirmation_window &&
        isolated >= rules.isolated_limit) {
        return false;
    }
    return is_most(accepted, rules.workers) && (!rules.need_witnesses || confirmed);
}

void extend_lease(model_worker& worker, int lease) {
    worker.lease = std::max(worker.lease, static_cast<std::int8_t>(lease));
}

// Delivers the former owner's calls. It renews leases while it has authority.
void send_owner_calls(const takeover_rules& rules, model_state& state, const tick_events& events) {
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        auto& peer = state.peers[i];
        const bool confirms = events.owner_to_peer[i] && state.owner_active && peer.alive &&
                              !(peer.fenced && rules.keep_promises);
        peer.accepted = confirms ? std::int8_t{0} : peer.accepted;
        peer.confirmed = confirms ? std::int8_t{0} : peer.confirmed;
    }
    const bool authority = has_authority(rules, state);
    for (std::size_t i = 0; i < rules.workers && state.owner_active; ++i) {
        auto& worker = state.workers[i];
        if (events.owner[i] == owner_link::late && authority) {
            worker.late_hold = static_cast<std::int8_t>(rules.lease);
        }
        if (events.owner[i] != owner_link::up || worker.state != process::alive) {
            continue;
        }
        if (worker.fenced && rules.fence_epochs) {
            state.owner_active = false;
            continue;
        }
        worker.accepted = 0;
        if (authority) {
            extend_lease(worker, rules.lease);
        }
    }
}

void send_successor_calls(const takeover_rules& rules, model_state& state,
                          const tick_events& events) {
    for (std::size_t i = 0; i < rules.workers; ++i) {
        auto& worker = state.workers[i];
        const auto bit = static_cast<std::uint8_t>(1U << i);
        worker.held = events.successor[i] && worker.state != process::ended &&
                      (worker.state == process::alive || rules.pass_replaced_workers);
        if (!events.successor[i] || worker.state == process::ended) {
            continue;
        }
        if (worker.state == process::replaced) {
            state.reached |= rules.pass_replaced_workers ? bit : std::uint8_t{0};
            continue;
        }
        worker.fenced = true;
        state.reached |= bit;
        state.task_known = state.task_known || (i == 0 && state.task_runs);
        if (i == 0 && state.task_known) {
            extend_lease(worker, rules.lease); // the successor keeps the task that it has found
        }
    }
    if (!rules.ask_witnesses) {
        return;
    }
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        auto& peer = state.peers[i];
        peer.fenced = peer.fenced || (events.successor_to_peer[i] && peer.alive);
    }
    if (events.successor_to_owner_host && (state.owner_active || state.owner_host_back) &&
        state.given_up_age < 0) {
        state.given_up_age = 0;
        state.owner_active = state.owner_active && !rules.give_up_when_asked;
    }
}

void apply_faults(const takeover_rules& rules, model_state& state, const tick_events& events) {
    state.owner_active = state.owner_active && !events.owner_dies;
    state.owner_host_back = state.owner_host_back || events.owner_host_returns;
    if (events.peer_ends) {
        state.peers[*events.peer_ends].alive = false;
    }
    if (events.ending) {
        auto& worker = state.workers[*events.ending];
        worker.state = process::ended;
        worker.lease = 0;
        worker.late_hold = 0;
        state.task_runs = state.task_runs && *events.ending != 0;
    }
    if (events.replacing) {
        state.workers[*events.replacing].state = process::replaced;
    }
    if (events.restarting) {
        auto& worker = state.workers[*events.restarting];
        worker.state = process::alive;
        worker.fenced = false;
    }
    auto& first = state.workers[0];
    if (events.late_hold_arrives && first.late_hold > 0 && !(first.fenced && rules.fence_epochs)) {
        extend_lease(first, first.late_hold); // its limit is absolute
    }
}

// Returns whether the former owner's witnesses may still confirm it.
bool may_be_confirmed(const takeover_rules& rules, const model_state& state) {
    // The successor's own host refuses it from the claim on.
    return any_majority(rules, state.given_up_age < 0, false,
                        [&](std::size_t i) { return !state.peers[i].fenced; });
}

// Returns whether half of the workers, or of each set of witnesses, refuse the former owner.
bool is_refused(const takeover_rules& rules, const model_state& state) {
    std::size_t held = 0;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        held += state.workers[i].held && (state.reached >> i & 1U) != 0 ? 1 : 0;
    }
    return !is_most(rules.workers - held, rules.workers) ||
           (rules.ask_witnesses && rules.need_witnesses && !may_be_confirmed(rules, state));
}

// Returns whether the shorter limit has passed for a former owner, by what the witnesses of the
// other data centre have told.
bool has_isolated_limit_passed(const takeover_rules& rules, const model_state& state) {
    const auto is_fenced = [](const model_peer& peer) { return peer.fenced; };
    if (!rules.need_witnesses || !is_refused_elsewhere(rules, state, is_fenced)) {
        return false;
    }
    const auto told = find_unconfirmed_age(
        rules, state, [](const model_peer& peer) { return peer.fenced ? int{peer.confirmed} : 0; });
    const int age = state.age + rules.stalled;
    const int isolated = rules.successor_counts_confirmations ? std::min(age, told) : age;
    const int wait = rules.confirmation_window + (rules.wait_for_leases ? rules.lease + 1 : 0);
    return isolated >= rules.isolated_limit + wait && state.age >= wait;
}

// Completes the takeover as complete_takeover does, and starts the task if it isn't known to run.
void advance_successor(const takeover_rules& rules, model_state& state) {
    if (!is_refused(rules, state)) {
        state.refused_age = -1;
    } else if (state.refused_age < 0) {
        state.refused_age = 0;
    }
    // One tick is the margin: what is due in the same tick comes before.
    const int lease = rules.wait_for_leases ? rules.lease + 1 : 0;
    const int window = rules.wait_for_leases ? rules.confirmation_window : 0;
    const auto passed = static_cast<std::size_t>(std::popcount(state.reached));
    const bool waited = (state.refused_age >= 0 && state.refused_age >= window + lease) ||
                        (state.given_up_age >= 0 && state.given_up_age >= lease);
    const int limit = std::max(0, rules.owner_limit - rules.stalled);
    const bool limit_passed =
        rules.limit_unconfirmed_owner && (state.age >= limit + rules.confirmation_window + lease ||
                                          has_isolated_limit_passed(rules, state));
    state.complete = state.complete || passed == rules.workers || waited || limit_passed;
    state.restarted = state.restarted || (state.complete && !state.task_known);
}

// Lets one tick pass. Ages stop at values beyond which nothing changes.
void pass_time(const takeover_rules& rules, model_state& state) {
    const auto longest = rules.confirmation_window + rules.lease + 2;
    const auto increase = [](std::int8_t& age, int limit) {
        age = static_cast<std::int8_t>(std::min<int>(age + 1, limit));
    };
    increase(state.age, rules.owner_limit + longest);
    for (auto* age : {&state.refused_age, &state.given_up_age}) {
        if (*age >= 0) {
            increase(*age, longest);
        }
    }
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        increase(state.peers[i].accepted, rules.confirmation_window + 1);
    }
    // The successor waits for a confirmation window and a lease, with a tick as margin, after it.
    const auto waited = rules.isolated_limit + rules.confirmation_window + rules.lease + 1;
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        if (!rules.local_peers[i]) {
            increase(state.peers[i].confirmed, waited);
        }
    }
    for (std::size_t i = 0; i < rules.workers; ++i) {
        auto& worker = state.workers[i];
        increase(worker.accepted, rules.confirmation_window + 1);
        worker.lease = static_cast<std::int8_t>(std::max(0, worker.lease - 1));
        worker.late_hold = static_cast<std::int8_t>(std::max(0, worker.late_hold - 1));
    }
    state.task_runs = state.task_runs && state.workers[0].lease > 0;
}

model_state next_state(const takeover_rules& rules, model_state state, const tick_events& events) {
    apply_faults(rules, state, events);
    if (events.successor_first) {
        send_successor_calls(rules, state, events);
        send_owner_calls(rules, state, events);
    } else {
        send_owner_calls(rules, state, events);
        send_successor_calls(rules, state, events);
    }
    advance_successor(rules, state);
    pass_time(rules, state);
    return state;
}

std::vector<tick_events> list_faults(const takeover_rules& rules, const model_state& state) {
    std::vector<tick_events> faults(1);
    if (state.owner_active) {
        faults.emplace_back().owner_dies = true;
    } else if (!state.owner_host_back) {
        faults.emplace_back().owner_host_returns = true;
    }
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        if (state.peers[i].alive) {
            faults.emplace_back().peer_ends = i;
        }
    }
    if (state.workers[0].late_hold > 0) {
        faults.emplace_back().late_hold_arrives = true;
    }
    for (std::size_t i = 0; i < rules.workers; ++i) {
        if (state.workers[i].state == process::alive) {
            faults.emplace_back().ending = i;
        } else if (state.workers[i].state == process::ended) {
            faults.emplace_back().replacing = i;
            faults.emplace_back().restarting = i;
        }
    }
    return faults;
}

// Returns the combinations of links that may be up in one tick. Links that change nothing are
// down.
std::vector<tick_events> list_links(const takeover_rules& rules, const model_state& state) {
    std::vector<tick_events> found(1);
    const auto vary = [&](bool relevant, auto set) {
        const auto known = found.size();
        for (std::size_t i = 0; relevant && i < known; ++i) {
            auto next = found[i];
            set(next);
            found.push_back(next);
        }
    };
    for (auto& link : found.front().owner) {
        link = owner_link::down;
    }
    for (std::size_t i = 0; i < rules.workers; ++i) {
        vary(state.owner_active, [&](tick_events& next) { next.owner[i] = owner_link::up; });
        vary(true, [&](tick_events& next) { next.successor[i] = true; });
    }
    const auto late_from = found.size();
    for (std::size_t i = 0; state.owner_active && i < late_from; ++i) {
        if (found[i].owner[0] == owner_link::down) {
            found.push_back(found[i]);
            found.back().owner[0] = owner_link::late;
        }
    }
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        const auto& peer = state.peers[i];
        vary(rules.need_witnesses && state.owner_active && peer.alive,
             [&](tick_events& next) { next.owner_to_peer[i] = true; });
        vary(rules.ask_witnesses && peer.alive && !peer.fenced,
             [&](tick_events& next) { next.successor_to_peer[i] = true; });
    }
    vary(rules.ask_witnesses && state.given_up_age < 0 &&
             (state.owner_active || state.owner_host_back),
         [](tick_events& next) { next.successor_to_owner_host = true; });
    vary(state.owner_active, [](tick_events& next) { next.successor_first = true; });
    return found;
}

// Returns all combinations of what may happen in one tick, with one fault at most.
std::vector<tick_events> list_events(const takeover_rules& rules, const model_state& state) {
    const auto links = list_links(rules, state);
    std::vector<tick_events> found;
    for (const auto& fault : list_faults(rules, state)) {
        for (auto next : links) {
            next.owner_dies = fault.owner_dies;
            next.owner_host_returns = fault.owner_host_returns;
            next.peer_ends = fault.peer_ends;
            next.late_hold_arrives = fault.late_hold_arrives;
            next.ending = fault.ending;
            next.replacing = fault.replacing;
            next.restarting = fault.restarting;
            found.push_back(next);
        }
    }
    return found;
}

// Returns whether half of the workers, or half of each set of witnesses, can still be reached.
bool can_be_refused(const takeover_rules& rules, const model_state& state) {
    std::size_t gone = 0;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        gone += state.workers[i].state == process::ended ? 1 : 0;
    }
    const bool witnesses_left =
        !any_majority(rules, state.given_up_age < 0, false, [&](std::size_t i) {
            return !state.peers[i].alive && !state.peers[i].fenced;
        });
    return !is_most(gone, rules.workers) || witnesses_left;
}

// Returns whether the takeover ends in time if no fault comes any more and all calls of the
// successor are answered that can be.
bool ends(const takeover_rules& rules, model_state state) {
    tick_events quiet;
    quiet.owner.fill(owner_link::down);
    quiet.successor.fill(true);
    quiet.successor_to_peer.fill(true);
    const int longest = rules.confirmation_window + rules.lease + 2;
    const bool isolated = is_refused_elsewhere(
        rules, state, [](const model_peer& peer) { return peer.alive || peer.fenced; });
    const int limit = isolated ? rules.isolated_limit : rules.owner_limit;
    const int ticks = can_be_refused(rules, state) ? longest : limit + 2 * longest;
    for (int tick = 0; tick < ticks && !state.complete; ++tick) {
        state = next_state(rules, state, quiet);
    }
    return state.complete;
}

// Returns whether the task goes on until the shorter limit if the owner's data centre is cut off
// from now on. Asked only while all of it is well and has heard nothing of the successor.
bool goes_on(const takeover_rules& rules, model_state state) {
    bool well = state.owner_active && state.task_runs && has_authority(rules, state);
    for (std::size_t i = 0; i < rules.workers; ++i) {
        const auto& worker = state.workers[i];
        well = well && worker.state == process::alive && !worker.fenced;
    }
    tick_events cut;
    cut.owner.fill(owner_link::up);
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        const bool local = rules.local_peers[i];
        cut.owner_to_peer[i] = local;
        well = well && (!local || (state.peers[i].alive && !state.peers[i].fenced));
    }
    while (well && state.age + 1 < find_owner_limit(rules) &&
           find_isolated_age(rules, state) + 1 < rules.isolated_limit) {
        state = next_state(rules, state, cut);
        if (!state.task_runs) {
            return false;
        }
    }
    return true;
}

} // namespace

takeover_report check_takeover(const takeover_rules& rules) {
    struct origin {
        state_key from{};
        tick_events events;
    };
    takeover_report report;
    std::unordered_map<state_key, origin, state_hash> known;
    std::deque<model_state> open;
    model_state first;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        first.workers[i].lease = static_cast<std::int8_t>(rules.lease);
    }
    const auto first_key = encode(first);
    known.emplace(first_key, origin{});
    open.push_back(first);
    const auto fail = [&](const std::string& what, state_key key) {
        report.violation = what;
        while (key != first_key) {
            report.trace.push_back(describe(rules, known.at(key).events));
            key = known.at(key).from;
        }
        std::reverse(report.trace.begin(), report.trace.end());
    };
    while (!open.empty() && !report.violation) {
        const auto state = open.front();
        open.pop_front();
        const auto key = encode(state);
        if (state.restarted && state.task_runs) {
            fail("the task runs in two places", key);
        } else if (!ends(rules, state)) {
            fail("the takeover doesn't end", key);
        } else if (!goes_on(rules, state)) {
            fail("a data centre that is cut off doesn't go on", key);
        }
        if (state.restarted) {
            // What follows can only end the former owner's run.
            if (!state.owner_active || !state.task_runs) {
                continue;
            }
        }
        for (const auto& events : list_events(rules, state)) {
            const auto next = next_state(rules, state, events);
            if (known.emplace(encode(next), origin{key, events}).second) {
                open.push_back(next);
            }
        }
    }
    report.states = known.size();
    return report;
}

} // namespace fulmar
