#include "restart_model.hpp"

#include "restart_state.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace fulmar {

namespace {

// Lists what may happen next in a state.
struct event_lister {
    struct event {
        std::string_view name;
        std::size_t owner; // that it is of; `max_owners`: of none
        restart_state next;
    };
    const restart_rules& rules;
    restart_state from{};
    std::vector<event> found{};

    template <class Change>
    void add(bool possible, std::string_view name, std::size_t owner, Change change) {
        if (!possible) {
            return;
        }
        found.push_back({name, owner, from});
        auto& next = found.back().next;
        change(next);
        forget_past(rules, next);
    }

    void list_starts(std::size_t number) {
        const auto& owner = from.owners.at(number);
        const bool free =
            may_start(rules, owner) && (rules.former_starts || !is_passed(from, number));
        const bool sends =
            may_send(rules, owner) && from.start.left == 0 && from.runs_started < rules.run_limit;
        add(free && sends, "sends a start", number, [&](restart_state& next) {
            auto& sender = next.owners.at(number);
            forget_run(sender);
            sender.run = starting;
            sender.number = ++next.runs_started;
            sender.start = to_small(rules.delivery_time + 1);
            sender.recorded = 0;
            next.start = make_command(rules, next, number);
            next.start.run = sender.number;
            note_command(rules, sender);
        });
        add(free && from.owner == number, "starts the task elsewhere", number,
            [](restart_state& next) { next.elsewhere = 1; });
    }

    void list_commands(std::size_t number) {
        const auto& owner = from.owners.at(number);
        if (owner.claimed == 0 || owner.active == 0) {
            return;
        }
        add(true, "gets the list of runs", number,
            [&](restart_state& next) { answer_hold(rules, next, number); });
        add(may_send(rules, owner) && from.hold.left == 0, "sends a hold", number,
            [&](restart_state& next) {
                next.hold = make_command(rules, next, number);
                note_command(rules, next.owners.at(number));
            });
        list_starts(number);
        const bool on_its_way = from.start.left > 0 && from.start.epoch == epoch_of(number);
        add(owner.run == starting && (!on_its_way || rules.late_starts), "gets no answer", number,
            [&](restart_state& next) { next.owners.at(number).run = unconfirmed; });
        add(owner.run == unconfirmed && owner.stop_answered == 0 &&
                from.worker.epoch <= epoch_of(number),
            "stops the run", number, [&](restart_state& next) {
                next.worker.epoch = epoch_of(number);
                raise_to(next.worker.closed, owner.number);
                next.worker.run = next.worker.run == owner.number ? small{0} : next.worker.run;
                next.owners.at(number).stop_answered = 1;
            });
    }

    void list_arrivals() {
        add(from.hold.left > 0, "the hold arrives", max_owners, [&](restart_state& next) {
            accept_command(rules, next.worker, std::exchange(next.hold, {}));
        });
        add(from.start.left > 0, "the start arrives and is answered", max_owners,
            [&](restart_state& next) { answer_start(rules, next, answer_clock::tells); });
        add(from.start.left > 0, "the start arrives, and its answer doesn't tell the incarnation",
            max_owners,
            [&](restart_state& next) { answer_start(rules, next, answer_clock::unclear); });
        add(from.start.left > 0, "the start arrives", max_owners,
            [&](restart_state& next) { execute_start(rules, next); });
    }

    void list_transactions() {
        const std::size_t number = from.owner;
        const auto& owner = from.owners.at(number);
        add(may_record(rules, owner), "records the run", number, [&](restart_state& next) {
            next.owners.at(number).recorded = 1;
            next.owners.at(number).write = write_record;
        });
        add(owner.active != 0 && owner.recorded != 0 && owner.write == no_write &&
                has_no_run(rules, owner),
            "clears the record", number, [&](restart_state& next) {
                auto& writer = next.owners.at(number);
                forget_run(writer);
                writer.write = write_clear;
                writer.no_unknown_run = 1;
            });
        add(owner.write != no_write, "gets its transaction applied", number,
            [&](restart_state& next) {
                auto& writer = next.owners.at(number);
                next.recorded = writer.write == write_record ? small{1} : small{0};
                next.recorded_by = next.recorded != 0 ? epoch_of(number) : small{0};
                writer.recorded = next.recorded;
                writer.write = no_write;
            });
        const bool changes =
            number + 1 < rules.owners && (from.recorded != 0 || !rules.recorded_at_claims);
        add(changes, "claims the shard", number + 1,
            [&](restart_state& next) { claim_shard(rules, next); });
        add(changes && may_hand_over(rules, owner), "hands the shard over", number,
            [&](restart_state& next) { hand_over(rules, next); });
    }

    void list_all(const restart_state& state) {
        from = state;
        found.clear();
        if (state.elsewhere != 0 && state.start.left == 0) {
            return; // nothing starts the task any more
        }
        list_arrivals();
        add(from.restarts < rules.restart_limit, "the worker restarts", max_owners,
            [](restart_state& next) { restart_process(next); });
        add(true, "a tick passes", max_owners,
            [&](restart_state& next) { pass_time(rules, next); });
        if (state.elsewhere != 0) {
            return;
        }
        for (std::size_t number = 0; number < rules.owners; ++number) {
            list_commands(number);
        }
        list_transactions();
    }
};

// The first owner has the worker's list of runs, and the task waits.
restart_state first_state() {
    restart_state first;
    auto& owner = first.owners.front();
    owner.claimed = 1;
    owner.knows = current_known;
    owner.asks = 0;
    owner.heard = 1;
    return first;
}

using state_key = std::pair<std::uint64_t, std::uint64_t>;

struct key_hash {
    std::size_t operator()(const state_key& key) const { return key.first; }
};

// Two states with the same key would be taken for one; with 128 bits, that isn't to be expected.
state_key make_key(const restart_state& state) {
    constexpr std::uint64_t other_seed = 1;
    return {XXH64(&state, sizeof(state), 0), XXH64(&state, sizeof(state), other_seed)};
}

struct visited {
    restart_state state;
    std::size_t from;
};

// Returns the events that lead from the first state to another.
std::vector<std::string> trace_back(const restart_rules& rules, const std::vector<visited>& rows,
                                    std::size_t at) {
    std::vector<std::string> trace;
    for (; at != 0; at = rows[at].from) {
        event_lister lister{rules};
        lister.list_all(rows[rows[at].from].state);
        const auto key = make_key(rows[at].state);
        const auto event = std::find_if(lister.found.begin(), lister.found.end(),
                                        [&](const auto& row) { return make_key(row.next) == key; });
        trace.push_back(event->owner == max_owners
                            ? std::string(event->name)
                            : fmt::format("owner {} {}", event->owner + 1, event->name));
    }
    std::reverse(trace.begin(), trace.end());
    return trace;
}

} // namespace

restart_report check_restarts(const restart_rules& rules) {
    restart_report report;
    std::unordered_set<state_key, key_hash> known;
    std::vector<visited> rows;
    rows.push_back({first_state(), 0});
    known.insert(make_key(rows.front().state));
    event_lister lister{rules};
    for (std::size_t at = 0; at < rows.size(); ++at) {
        const auto& state = rows[at].state;
        if ((state.elsewhere != 0 && state.worker.run != 0) || state.runs_twice != 0) {
            report.violation = "the task runs in two places";
            report.trace = trace_back(rules, rows, at);
            break;
        }
        lister.list_all(state);
        for (const auto& event : lister.found) {
            if (known.insert(make_key(event.next)).second) {
                rows.push_back({event.next, at});
            }
        }
    }
    report.states = rows.size();
    return report;
}

} // namespace fulmar
