#include "takeover_chain_model.hpp"

#include "takeover_chain_state.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <unordered_map>
#include <utility>

namespace fulmar {

namespace {

// Lists what may happen next in a state.
struct event_lister {
    const takeover_chain_rules& rules;
    const chain_state& from;
    std::vector<std::pair<std::string, chain_state>> found{};

    template <class Change>
    void add(bool possible, std::string_view name, Change change) {
        if (!possible) {
            return;
        }
        auto next = from;
        change(next);
        forget_past(rules, next);
        found.emplace_back(name, next);
    }

    template <class Change>
    void add_fault(bool possible, std::string_view name, Change change) {
        add(possible && from.faults < rules.fault_limit, name, [&](chain_state& next) {
            ++next.faults;
            change(next);
        });
    }

    void list_holds() {
        static constexpr std::array names{"worker 0", "worker 1"};
        for (std::size_t i = 0; i < rules.workers; ++i) {
            const bool alive = from.workers.at(i).alive != 0;
            const bool reached = alive && (i != 0 || !rules.first_side_cut);
            add(alive && from.owners[0].active != 0, fmt::format("first holds {}", names.at(i)),
                [&](chain_state& next) { send_first_hold(rules, next, i); });
            add(reached && from.owners[1].active != 0, fmt::format("second holds {}", names.at(i)),
                [&](chain_state& next) { send_second_hold(rules, next, i); });
            add(reached && from.claimed != 0, fmt::format("third holds {}", names.at(i)),
                [&](chain_state& next) { send_third_hold(rules, next, i); });
            const bool starts = alive && from.owners[1].active != 0 && from.complete != 0 &&
                                from.task == none && is_heard(from, i) &&
                                from.workers.at(i).epoch <= second_epoch &&
                                !is_promised(rules, from, i) && has_authority(rules, from, 1) &&
                                (from.claimed == 0 || rules.start_after_claim);
            add(starts, fmt::format("second starts the task on {}", names.at(i)),
                [&](chain_state& next) {
                    next.workers.at(i).runs = 1;
                    next.workers.at(i).lease = static_cast<small>(rules.lease);
                    next.leased.at(i) = static_cast<small>(rules.lease + 1);
                    next.task = static_cast<small>(i);
                });
        }
    }

    void list_late_holds() {
        for (std::size_t number = 0; rules.late_holds && number < 2; ++number) {
            const auto owner = static_cast<small>(number);
            const bool sends =
                from.owners.at(number).active != 0 && from.late_lease == 0 &&
                has_authority(rules, from, number) &&
                (owner == 0 || (from.untouched[0] == 0 && !is_promised(rules, from, 0)));
            add(sends, owner == 0 ? "first sends a late hold" : "second sends a late hold",
                [&](chain_state& next) {
                    next.late_lease = static_cast<small>(rules.lease);
                    next.late_epoch = static_cast<small>(owner + 1);
                    if (owner == 1) {
                        next.leased[0] = static_cast<small>(rules.lease + 1);
                    }
                });
        }
        add(from.late_lease > 0 && from.workers[0].alive != 0, "the late hold arrives",
            [&](chain_state& next) {
                auto& worker = next.workers[0];
                if (next.late_epoch >= worker.epoch) {
                    worker.epoch = next.late_epoch;
                    extend_lease(worker, next.late_lease); // its limit is absolute
                }
                next.late_lease = 0;
            });
    }

    void list_witness_calls() {
        const bool alive = from.witness_alive != 0;
        for (std::size_t owner = 0; owner < 2; ++owner) {
            add(alive && from.owners.at(owner).active != 0 && from.owners.at(owner).age >= 0 &&
                    from.witness_epoch <= static_cast<small>(owner + 1),
                owner == 0 ? "the witness confirms the first" : "the witness confirms the second",
                [&](chain_state& next) { next.owners.at(owner).confirmed = 0; });
            const auto host = from.owners.at(owner).host;
            add(rules.hosts_change && from.claimed != 0 && host != host_ended,
                owner == 0 ? "third asks the first's host" : "third asks the second's host",
                [&](chain_state& next) { ask_host(rules, next, owner, third_epoch); });
        }
        const bool takes_over = from.owners[1].active != 0 && from.complete == 0;
        add(alive && takes_over && !rules.first_side_cut, "second asks the witness",
            [&](chain_state& next) { ask_witness(rules, next, second_epoch); });
        add(rules.hosts_change && takes_over && from.owners[0].host != host_ended,
            "second asks the first's host",
            [&](chain_state& next) { ask_host(rules, next, 0, second_epoch); });
        add(alive && from.claimed != 0 && !rules.first_side_cut, "third asks the witness",
            [&](chain_state& next) { ask_witness(rules, next, third_epoch); });
    }

    void list_transactions() {
        const auto next_record = build_record(rules, from, false);
        const bool builds = from.owners[1].active != 0 && from.pending == 0 && from.claimed == 0;
        const bool changes = from.stored.written == 0 || next_record.ends != from.stored.ends ||
                             next_record.complete != from.stored.complete ||
                             next_record.promises != from.stored.promises;
        const auto build = [&](bool releasing) {
            return [this, releasing](chain_state& next) {
                next.next = build_record(rules, next, releasing);
                next.pending = 1;
                next.applied = 0;
            };
        };
        add(builds && changes, "second writes its records", build(false));
        add_fault(rules.hosts_change && builds && from.complete != 0,
                  "second stops as planned and writes its records", build(true));
        add(from.pending != 0 && from.applied == 0 && from.claimed == 0, "the store applies them",
            [](chain_state& next) {
                next.stored = next.next;
                next.applied = 1;
            });
        add(from.pending != 0 && from.applied != 0 && from.owners[1].active != 0,
            "second learns that they are stored", [](chain_state& next) {
                next.confirmed = next.next.promises;
                next.pending = 0;
            });
        add(from.claimed == 0, "third claims the shard",
            [&](chain_state& next) { claim_for_third(rules, next); });
    }

    void list_faults() {
        for (std::size_t i = 0; i < 2; ++i) {
            const auto host = from.owners.at(i).host;
            add_fault(rules.hosts_change && host == host_alive,
                      i == 0 ? "first ends" : "second ends", [&](chain_state& next) {
                          next.owners.at(i).active = 0;
                          next.owners.at(i).host = host_ended;
                      });
            add_fault(rules.hosts_change && host == host_ended,
                      i == 0 ? "first's host is back" : "second's host is back",
                      [&](chain_state& next) { next.owners.at(i).host = host_back; });
        }
        for (std::size_t i = 0; i < rules.workers; ++i) {
            const auto& worker = from.workers.at(i);
            add_fault(worker.alive != 0, fmt::format("worker {} ends", i), [&](chain_state& next) {
                next.workers.at(i) = {};
                next.workers.at(i).alive = 0;
                next.workers.at(i).epoch = 0;
            });
            add_fault(worker.alive == 0 && worker.may_restart != 0,
                      fmt::format("worker {} restarts", i), [&](chain_state& next) {
                          next.workers.at(i).alive = 1;
                          next.workers.at(i).may_restart = 0;
                      });
        }
        add_fault(rules.hosts_change && from.witness_alive != 0, "the witness is gone",
                  [](chain_state& next) { next.witness_alive = 0; });
    }

    void list_all() {
        list_holds();
        list_late_holds();
        list_witness_calls();
        list_transactions();
        list_faults();
        add(true, "a tick passes", [&](chain_state& next) { pass_time(rules, next); });
    }
};

// Lets the third owner's calls be answered wherever they can be.
void answer_third(const takeover_chain_rules& rules, chain_state& state) {
    for (std::size_t i = 0; i < rules.workers; ++i) {
        if (state.workers.at(i).alive != 0) {
            send_third_hold(rules, state, i);
        }
    }
    if (state.witness_alive != 0) {
        ask_witness(rules, state, third_epoch);
    }
    for (std::size_t owner = 0; owner < 2; ++owner) {
        if (state.owners.at(owner).host != host_ended) {
            ask_host(rules, state, owner, third_epoch);
        }
    }
    advance_third(rules, state);
}

// Returns for how many ticks the third owner's takeover lasts once faults have ended.
int count_rest(const takeover_chain_rules& rules, chain_state state, int limit) {
    int ticks = 0;
    answer_third(rules, state);
    while (state.last_complete == 0 && ticks <= limit) {
        pass_time(rules, state);
        answer_third(rules, state);
        ++ticks;
    }
    return ticks;
}

// Returns whether the last takeover ends once faults have: within the longest lease if the witness
// or half of the workers can be reached, and within the owners' limit otherwise.
bool ends_in_time(const takeover_chain_rules& rules, const chain_state& state) {
    std::size_t gone = 0;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        gone += state.workers.at(i).alive != 0 ? 0 : 1;
    }
    const int longest = longest_wait(rules);
    // What workers refuse counts from the first tick at whose end all are heard.
    const int limit = state.witness_alive != 0        ? longest
                      : !is_most(gone, rules.workers) ? longest + 1
                                                      : rules.owner_limit + longest;
    return state.claimed == 0 || count_rest(rules, state, limit) <= limit;
}

// Returns whether two takeovers in a row last no longer than one, however early the second owner is
// lost after it has written its records. Asked while it has used no worker that is gone.
bool begins_anew(const takeover_chain_rules& rules, chain_state state) {
    if (state.claimed != 0 || state.owners[1].active == 0 || state.complete != 0 ||
        state.witness_alive == 0) {
        return false;
    }
    for (std::size_t i = 0; i < rules.workers; ++i) {
        if (state.workers.at(i).alive == 0 && state.untouched.at(i) == 0) {
            return false;
        }
    }
    const int longest = longest_wait(rules);
    for (int passed = 0; passed <= longest; ++passed) {
        for (std::size_t i = 0; i < rules.workers; ++i) {
            if (state.workers.at(i).alive != 0) {
                send_second_hold(rules, state, i);
            }
        }
        ask_witness(rules, state, second_epoch);
        state.stored = build_record(rules, state, false);
        state.confirmed = state.stored.promises;
        state.pending = 0;
        auto lost = state;
        lost.owners[0].active = 0;
        lost.owners[0].host = host_ended;
        lost.owners[1].active = 0;
        lost.owners[1].host = host_ended;
        claim_for_third(rules, lost);
        if (passed + count_rest(rules, lost, longest + 1) > longest) {
            return true;
        }
        pass_time(rules, state);
    }
    return false;
}

bool runs_twice(const takeover_chain_rules& rules, const chain_state& state) {
    std::size_t places = state.last_complete != 0 && state.last_task == 0 ? 1 : 0;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        places += state.workers.at(i).runs != 0 ? 1 : 0;
    }
    return places > 1;
}

chain_state first_state(const takeover_chain_rules& rules) {
    chain_state first;
    first.owners[0].age = 0;
    first.owners[1].accepted.fill(static_cast<small>(rules.confirmation_window + 1));
    if (rules.left_by_first) {
        first.stored.promises[0] = left_by_first;
    } else {
        first.workers[0].runs = 1;
        first.workers[0].lease = static_cast<small>(rules.lease);
    }
    for (std::size_t i = rules.workers; i < max_workers; ++i) {
        first.unreached.at(i) = 0;
        first.untouched.at(i) = 0;
    }
    return first;
}

using state_key = std::pair<std::uint64_t, std::uint64_t>;

struct key_hash {
    std::size_t operator()(const state_key& key) const { return key.first; }
};

// Two states with the same key would be taken for one; with 128 bits, that isn't to be expected.
state_key make_key(const chain_state& state) {
    constexpr std::uint64_t other_seed = 1;
    return {XXH64(&state, sizeof(state), 0), XXH64(&state, sizeof(state), other_seed)};
}

} // namespace

takeover_chain_report check_takeover_chain(const takeover_chain_rules& rules) {
    struct visited {
        chain_state state;
        std::size_t from;
    };
    takeover_chain_report report;
    std::unordered_map<state_key, bool, key_hash> known;
    std::vector<visited> rows;
    rows.push_back({first_state(rules), 0});
    known.emplace(make_key(rows.front().state), true);
    const auto fail = [&](const char* what, std::size_t at) {
        report.violation = what;
        for (; at != 0; at = rows[at].from) {
            event_lister lister{rules, rows[rows[at].from].state};
            lister.list_all();
            const auto key = make_key(rows[at].state);
            const auto event =
                std::find_if(lister.found.begin(), lister.found.end(),
                             [&](const auto& row) { return make_key(row.second) == key; });
            report.trace.push_back(event->first);
        }
        std::reverse(report.trace.begin(), report.trace.end());
    };
    for (std::size_t at = 0; at < rows.size() && !report.violation; ++at) {
        const auto state = rows[at].state;
        if (runs_twice(rules, state)) {
            fail("the task runs in two places", at);
        } else if (!ends_in_time(rules, state)) {
            fail("the takeover doesn't end in time", at);
        } else if (begins_anew(rules, state)) {
            fail("the wait begins anew", at);
        }
        if (state.last_complete != 0 && (state.last_task != 0 || !rules.start_after_claim)) {
            continue; // the third owner has found the task, or nothing starts it any more
        }
        event_lister lister{rules, state};
        lister.list_all();
        for (const auto& [name, next] : lister.found) {
            if (known.emplace(make_key(next), true).second) {
                rows.push_back({next, at});
            }
        }
    }
    report.states = rows.size();
    return report;
}

} // namespace fulmar
