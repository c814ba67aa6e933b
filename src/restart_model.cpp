#include "restart_model.hpp"

#include "restart_state.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace fulmar {

namespace {

small find_content(small write) {
    switch (write) {
    case write_record:
        return records_run;
    case write_others:
        return names_others;
    default:
        return names_worker;
    }
}

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
        const bool former = !rules.former_starts && is_passed(from, number);
        const bool sends = may_send(rules, owner) && has_room(from) && !former &&
                           from.starts_sent < rules.start_limit;
        const bool free = may_start(rules, from, number) && !former;
        add(free && sends, "sends a start", number, [&](restart_state& next) {
            auto& sender = next.owners.at(number);
            forget_run(sender);
            sender.run = starting;
            sender.number = ++next.runs_started;
            sender.recorded = 0;
            ++next.starts_sent;
            send_command(rules, next, number, sender.number);
        });
        add(owner.run == unconfirmed && sends, "sends the start again", number,
            [&](restart_state& next) {
                auto& sender = next.owners.at(number);
                sender.run = starting;
                sender.stop_answered = 0;
                sender.repeated = 1;
                if (!rules.repeat_same_run) {
                    sender.number = ++next.runs_started;
                }
                ++next.starts_sent;
                send_command(rules, next, number, sender.number);
            });
        add(free && from.owner == number, "starts the task elsewhere", number,
            [](restart_state& next) { next.elsewhere = 1; });
    }

    void list_commands(std::size_t number) {
        const auto& owner = from.owners.at(number);
        if (owner.claimed == 0 || owner.active == 0) {
            return;
        }
        add(from.list.owner == 0, "gets the list of runs", number, [&](restart_state& next) {
            send_list(rules, next, number);
            receive_list(rules, next);
        });
        add(from.list.owner == 0 && rules.delayed_lists, "has the worker send its list of runs",
            number, [&](restart_state& next) {
                send_list(rules, next, number);
                refuse_former_starts(rules, next, number);
            });
        add(from.list.owner == epoch_of(number), "gets no list of runs", number,
            [&](restart_state& next) { lose_list(rules, next); });
        add(from.list.owner == epoch_of(number), "receives the list of runs", number,
            [&](restart_state& next) { receive_list(rules, next); });
        const bool holds = count_open(from, number, 0) < static_cast<std::size_t>(rules.open_holds);
        add(may_send(rules, owner) && has_room(from) && holds, "sends a hold", number,
            [&](restart_state& next) { send_command(rules, next, number, 0); });
        list_starts(number);
        add(rules.workers_leave && may_forget_worker(from, number), "forgets the worker", number,
            [&](restart_state& next) { forget_worker(next, number); });
        add(owner.run != no_run && from.worker.epoch <= epoch_of(number), "stops the run", number,
            [&](restart_state& next) { stop_run(next, number); });
    }

    void list_arrivals() {
        for (std::size_t slot = 0; slot < max_commands; ++slot) {
            const auto& command = from.commands.at(slot);
            if (command.left == 0) {
                continue;
            }
            const bool start = command.run != 0;
            for (const bool tells : {true, false}) {
                add(command.answer != 0,
                    tells ? "receives the start's answer"
                          : "receives the start's answer, which is unclear",
                    static_cast<std::size_t>(command.epoch - 1),
                    [&](restart_state& next) { receive_answer(rules, next, slot, tells); });
            }
            const bool answered = start && command.calling != 0 && command.executed == 0;
            const auto number = static_cast<std::size_t>(command.epoch - 1);
            add(command.executed == 0, start ? "start arrives" : "hold arrives", number,
                [&](restart_state& next) { execute_command(rules, next, slot); });
            add(answered, "start is answered", number,
                [&](restart_state& next) { answer_start(rules, next, slot, start_answer::tells); });
            add(answered, "start is answered without telling the incarnation", number,
                [&](restart_state& next) {
                    answer_start(rules, next, slot, start_answer::unclear);
                });
            add(answered, "start is refused for lack of room", number, [&](restart_state& next) {
                answer_start(rules, next, slot, start_answer::no_room);
            });
        }
    }

    void list_transactions() {
        const std::size_t number = from.owner;
        const auto& owner = from.owners.at(number);
        const bool last = number + 1 >= rules.owners; // no successor needs the record
        add(!last && may_record(rules, from, number), "records the run", number,
            [&](restart_state& next) {
                next.owners.at(number).recorded = 1;
                next.owners.at(number).write = write_record;
            });
        add(owner.active != 0 && owner.recorded != 0 && owner.write == no_write &&
                has_no_run(rules, from, number),
            "clears the record", number, [&](restart_state& next) {
                auto& writer = next.owners.at(number);
                forget_run(writer);
                writer.write = write_clear;
                writer.no_unknown_run = 1;
            });
        add(rules.plans && !last && owner.active != 0 && owner.recorded != names_others &&
                owner.write == no_write && has_no_run(rules, from, number),
            "names other workers", number, [&](restart_state& next) {
                auto& writer = next.owners.at(number);
                forget_run(writer);
                writer.write = write_others;
                writer.no_unknown_run = 1;
            });
        add(owner.write != no_write, "gets its transaction applied", number,
            [&](restart_state& next) {
                auto& writer = next.owners.at(number);
                next.recorded = find_content(writer.write);
                next.recorded_by = next.recorded != names_worker ? epoch_of(number) : small{0};
                writer.recorded = next.recorded;
                writer.write = no_write;
            });
        const bool changes =
            number + 1 < rules.owners && (from.recorded != 0 || !rules.recorded_at_claims);
        add(changes, "claims the shard", number + 1,
            [&](restart_state& next) { claim_shard(rules, next); });
        add(changes && may_hand_over(rules, from), "hands the shard over", number,
            [&](restart_state& next) { hand_over(rules, next); });
    }

    void list_all(const restart_state& state) {
        from = state;
        found.clear();
        const bool any_left = std::any_of(state.commands.begin(), state.commands.end(),
                                          [](const auto& row) { return row.left > 0; });
        if (state.elsewhere != 0 && !any_left) {
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
restart_state first_state(const restart_rules& rules) {
    restart_state first;
    auto& owner = first.owners.front();
    owner.claimed = 1;
    owner.knows = current_known;
    owner.incarnation = rules.delayed_answers ? small{1} : small{0};
    owner.asks = 0;
    owner.heard = 1;
    return first;
}

using state_key = std::pair<std::uint64_t, std::uint64_t>;

// Two states with the same key would be taken for one; with 128 bits, that isn't to be expected.
state_key make_key(const restart_state& state) {
    const auto hash = XXH3_128bits(&state, sizeof(state));
    return {hash.low64, hash.high64};
}

// A set with open addressing, as most of the time goes into the search for known states.
struct key_set {
    std::vector<state_key> slots = std::vector<state_key>(1U << 16U); // {0, 0}: free
    std::size_t size = 0;

    // Returns whether the key is new.
    bool insert(const state_key& key) {
        if (size * 2 >= slots.size()) {
            std::vector<state_key> former(slots.size() * 2);
            former.swap(slots);
            for (const auto& row : former) {
                if (row != state_key{}) {
                    find(row) = row;
                }
            }
        }
        auto& slot = find(key);
        if (slot == key) {
            return false;
        }
        slot = key;
        ++size;
        return true;
    }

    state_key& find(const state_key& key) {
        auto at = key.first & (slots.size() - 1);
        while (slots[at] != state_key{} && slots[at] != key) {
            at = (at + 1) & (slots.size() - 1);
        }
        return slots[at];
    }
};

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
    key_set known;
    std::vector<visited> rows;
    rows.push_back({first_state(rules), 0});
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
            if (known.insert(make_key(event.next))) {
                rows.push_back({event.next, at});
            }
        }
    }
    report.states = rows.size();
    return report;
}

} // namespace fulmar
