#include "takeover_model.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace fulmar {

namespace {

constexpr std::size_t worker_count = 3;

enum class process : std::uint8_t { alive, ended, replaced };

struct model_worker {
    process state = process::alive;
    bool fenced = false;       // has seen the successor's epoch
    std::int8_t lease = 0;     // ticks left
    std::int8_t accepted = 0;  // ticks since the former owner's last accepted hold, as it knows
    std::int8_t late_hold = 0; // a delayed hold of the former owner: ticks left of its lease
};

struct model_state {
    std::array<model_worker, worker_count> workers;
    std::int8_t age = 0;           // ticks since the claim
    std::int8_t majority_age = -1; // ticks since a majority was reached; -1: not yet
    std::uint8_t reached = 0;      // bits of the workers that the takeover has passed
    bool owner_active = true;      // the former owner lives and hasn't been refused
    bool task_runs = true;         // on the first worker, for the former owner
    bool task_known = false;       // the successor has found it running
    bool complete = false;
    bool restarted = false; // the successor has started the task elsewhere
};

// What happens in one tick.
enum class owner_link : std::uint8_t { up, down, late };

struct tick_events {
    std::array<owner_link, worker_count> owner{}; // from the former owner
    std::array<bool, worker_count> successor{};   // whether the successor's hold is answered
    bool successor_first = false;
    bool owner_dies = false;
    bool late_hold_arrives = false;       // at the first worker
    std::optional<std::size_t> ending;    // worker that ends
    std::optional<std::size_t> replacing; // ended worker whose address another one gets
};

std::string encode(const model_state& state) {
    std::string key;
    for (const auto& worker : state.workers) {
        key += static_cast<char>(worker.state);
        key += static_cast<char>(worker.fenced);
        key += static_cast<char>(worker.lease);
        key += static_cast<char>(worker.accepted);
        key += static_cast<char>(worker.late_hold);
    }
    key += static_cast<char>(state.age);
    key += static_cast<char>(state.majority_age);
    key += static_cast<char>(state.reached);
    const auto bit = [](bool value, int place) { return value ? 1 << place : 0; };
    key += static_cast<char>(bit(state.owner_active, 0) | bit(state.task_runs, 1) |
                             bit(state.task_known, 2) | bit(state.complete, 3) |
                             bit(state.restarted, 4));
    return key;
}

std::string describe(const tick_events& events) {
    std::string owner;
    std::string successor;
    for (std::size_t i = 0; i < worker_count; ++i) {
        owner += events.owner[i] == owner_link::up     ? '+'
                 : events.owner[i] == owner_link::late ? '~'
                                                       : '-';
        successor += events.successor[i] ? '+' : '-';
    }
    auto text = fmt::format("holds of owner {} and successor {}{}", owner, successor,
                            events.successor_first ? ", successor first" : "");
    text += events.owner_dies ? "; the owner dies" : "";
    text += events.late_hold_arrives ? "; a late hold arrives at worker 0" : "";
    text += events.ending ? fmt::format("; worker {} ends", *events.ending) : "";
    text += events.replacing ? fmt::format("; worker {} is replaced", *events.replacing) : "";
    return text;
}

bool has_majority(const takeover_rules& rules, const model_state& state) {
    const auto accepted =
        std::count_if(state.workers.begin(), state.workers.end(), [&](const model_worker& worker) {
            return worker.accepted <= rules.confirmation_window;
        });
    return static_cast<std::size_t>(accepted) * 2 > worker_count;
}

void extend_lease(model_worker& worker, int lease) {
    worker.lease = std::max(worker.lease, static_cast<std::int8_t>(lease));
}

// Delivers the former owner's holds. It renews leases while a majority confirms it.
void send_owner_holds(const takeover_rules& rules, model_state& state, const tick_events& events) {
    const bool authority = has_majority(rules, state) &&
                           (!rules.limit_unconfirmed_owner || state.age < rules.owner_limit);
    for (std::size_t i = 0; i < worker_count && state.owner_active; ++i) {
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

void send_successor_holds(const takeover_rules& rules, model_state& state,
                          const tick_events& events) {
    for (std::size_t i = 0; i < worker_count; ++i) {
        auto& worker = state.workers[i];
        const auto bit = static_cast<std::uint8_t>(1U << i);
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
}

void apply_faults(const takeover_rules& rules, model_state& state, const tick_events& events) {
    state.owner_active = state.owner_active && !events.owner_dies;
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
    auto& first = state.workers[0];
    if (events.late_hold_arrives && first.late_hold > 0 && !(first.fenced && rules.fence_epochs)) {
        extend_lease(first, first.late_hold); // its limit is absolute
    }
}

// Completes the takeover as complete_takeover does, and starts the task if it isn't known to run.
void advance_successor(const takeover_rules& rules, model_state& state) {
    const auto passed = std::popcount(state.reached);
    if (state.majority_age < 0 && static_cast<std::size_t>(passed) * 2 > worker_count) {
        state.majority_age = 0;
    }
    // One tick is the margin: what is due in the same tick comes before.
    const int longest = rules.wait_for_leases ? rules.confirmation_window + rules.lease + 1 : 0;
    const bool waited = state.majority_age >= 0 && state.majority_age >= longest;
    const bool limit_passed =
        rules.limit_unconfirmed_owner && state.age >= rules.owner_limit + longest;
    state.complete = state.complete || static_cast<std::size_t>(passed) == worker_count || waited ||
                     limit_passed;
    state.restarted = state.restarted || (state.complete && !state.task_known);
}

// Lets one tick pass. Ages stop at values beyond which nothing changes.
void pass_time(const takeover_rules& rules, model_state& state) {
    const auto longest = rules.confirmation_window + rules.lease + 2;
    const auto increase = [](std::int8_t& age, int limit) {
        age = static_cast<std::int8_t>(std::min<int>(age + 1, limit));
    };
    increase(state.age, rules.owner_limit + longest);
    if (state.majority_age >= 0) {
        increase(state.majority_age, longest);
    }
    for (auto& worker : state.workers) {
        increase(worker.accepted, rules.confirmation_window + 1);
        worker.lease = static_cast<std::int8_t>(std::max(0, worker.lease - 1));
        worker.late_hold = static_cast<std::int8_t>(std::max(0, worker.late_hold - 1));
    }
    state.task_runs = state.task_runs && state.workers[0].lease > 0;
}

model_state next_state(const takeover_rules& rules, model_state state, const tick_events& events) {
    apply_faults(rules, state, events);
    if (events.successor_first) {
        send_successor_holds(rules, state, events);
        send_owner_holds(rules, state, events);
    } else {
        send_owner_holds(rules, state, events);
        send_successor_holds(rules, state, events);
    }
    advance_successor(rules, state);
    pass_time(rules, state);
    return state;
}

// Returns all combinations of what may happen in one tick, with one fault at most.
std::vector<tick_events> list_events(const model_state& state) {
    std::vector<tick_events> faults(1);
    if (state.owner_active) {
        faults.emplace_back().owner_dies = true;
    }
    if (state.workers[0].late_hold > 0) {
        faults.emplace_back().late_hold_arrives = true;
    }
    for (std::size_t i = 0; i < worker_count; ++i) {
        if (state.workers[i].state == process::alive) {
            faults.emplace_back().ending = i;
        } else if (state.workers[i].state == process::ended) {
            faults.emplace_back().replacing = i;
        }
    }
    std::vector<tick_events> found;
    constexpr unsigned link_combinations = 1U << worker_count;
    for (const auto& fault : faults) {
        for (unsigned owner = 0; owner < (state.owner_active ? link_combinations : 1); ++owner) {
            for (unsigned successor = 0; successor < link_combinations; ++successor) {
                auto next = fault;
                for (std::size_t i = 0; i < worker_count; ++i) {
                    next.owner[i] = (owner >> i & 1U) != 0 ? owner_link::up : owner_link::down;
                    next.successor[i] = (successor >> i & 1U) != 0;
                }
                found.push_back(next);
                next.successor_first = true;
                found.push_back(next);
                if (state.owner_active && next.owner[0] == owner_link::down) {
                    next.owner[0] = owner_link::late;
                    found.push_back(next);
                }
            }
        }
    }
    return found;
}

// Returns whether the takeover ends if no fault comes any more and all holds are answered that can
// be.
bool ends(const takeover_rules& rules, model_state state) {
    tick_events quiet;
    quiet.owner.fill(owner_link::down);
    quiet.successor.fill(true);
    const int ticks = rules.owner_limit + 2 * (rules.confirmation_window + rules.lease + 2);
    for (int tick = 0; tick < ticks && !state.complete; ++tick) {
        state = next_state(rules, state, quiet);
    }
    return state.complete;
}

} // namespace

takeover_report check_takeover(const takeover_rules& rules) {
    struct origin {
        std::string from;
        std::string events;
    };
    takeover_report report;
    std::unordered_map<std::string, origin> known;
    std::deque<model_state> open;
    model_state first;
    for (auto& worker : first.workers) {
        worker.lease = static_cast<std::int8_t>(rules.lease);
    }
    known.emplace(encode(first), origin{});
    open.push_back(first);
    const auto fail = [&](const std::string& what, std::string key) {
        report.violation = what;
        while (!known.at(key).events.empty()) {
            report.trace.push_back(known.at(key).events);
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
        }
        if (state.restarted) {
            // What follows can only end the former owner's run.
            if (!state.owner_active || !state.task_runs) {
                continue;
            }
        }
        for (const auto& events : list_events(state)) {
            const auto next = next_state(rules, state, events);
            auto next_key = encode(next);
            if (known.emplace(next_key, origin{key, describe(events)}).second) {
                open.push_back(next);
            }
        }
    }
    report.states = known.size();
    return report;
}

} // namespace fulmar
