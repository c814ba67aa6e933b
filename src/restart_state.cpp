#include "restart_state.hpp"

#include <algorithm>
#include <utility>

namespace fulmar {

small to_small(int value) {
    return static_cast<small>(value);
}

small epoch_of(std::size_t owner) {
    return to_small(static_cast<int>(owner) + 1);
}

void raise_to(small& value, int least) {
    value = to_small(std::max<int>(value, least));
}

namespace {

void count_down(small& left) {
    left = to_small(std::max(0, left - 1));
}

// The time after a command was sent for which owners count that it may arrive.
int counted_delivery(const restart_rules& rules) {
    return rules.count_delivery_time ? rules.delivery_time : 0;
}

} // namespace

bool may_send(const restart_rules& rules, const restart_owner& owner) {
    return owner.claimed != 0 && owner.active != 0 && owner.asks == 0 &&
           owner.age <= rules.confirmation_window;
}

void note_command(const restart_rules& rules, restart_owner& owner) {
    raise_to(owner.lease, rules.lease);
    raise_to(owner.commands, counted_delivery(rules));
    raise_to(owner.unnoticed, counted_delivery(rules) + rules.longest_lease);
}

restart_command make_command(const restart_rules& rules, const restart_state& state,
                             std::size_t owner) {
    return {to_small(rules.delivery_time + 1), epoch_of(owner), to_small(rules.lease),
            state.owners.at(owner).knows == current_known ? small{1} : small{0}};
}

// A lease on the clock of a former incarnation ends far in the future of the present one's.
bool accept_command(const restart_rules& rules, restart_worker& worker,
                    const restart_command& command) {
    if (command.epoch < worker.epoch) {
        return false;
    }
    worker.epoch = command.epoch;
    raise_to(worker.lease, command.meant != 0 ? command.lease : rules.longest_lease);
    return true;
}

void forget_run(restart_owner& owner) {
    owner.run = no_run;
    owner.number = 0;
    owner.stop_answered = 0;
    owner.start = 0;
}

namespace {

// Handles the list of runs in the present incarnation's reply to a hold.
void process_list(const restart_rules& rules, restart_state& state, restart_owner& owner) {
    const bool restarted = owner.knows == former_known;
    if (restarted && owner.run == known_run) {
        forget_run(owner);
    }
    if (restarted) {
        owner.lease = 0;
        owner.stop_answered = 0;
    }
    if (restarted || owner.asks != 0) {
        raise_to(owner.lease, rules.count_longest_after_restart
                                  ? rules.longest_lease + owner.commands
                                  : rules.lease);
    }
    owner.knows = current_known;
    owner.asks = 0;
    if (!rules.wait_for_former_commands || owner.former_commands == 0 || owner.recorded != 0) {
        owner.heard = 1;
    }
    if (state.worker.run != 0) {
        owner.number = state.worker.run;
        owner.run = known_run;
        return;
    }
    const bool start_arrives = rules.keep_unanswered_starts && owner.start > 0;
    const bool ran = owner.run == known_run || owner.run == uncertain;
    if (ran || (owner.run == unconfirmed && owner.stop_answered != 0 && !start_arrives)) {
        forget_run(owner);
    }
}

} // namespace

void answer_hold(const restart_rules& rules, restart_state& state, std::size_t number) {
    auto& owner = state.owners.at(number);
    if (epoch_of(number) < state.worker.epoch) {
        owner.active = 0;
        return;
    }
    state.worker.epoch = epoch_of(number);
    if (may_send(rules, owner)) {
        note_command(rules, owner);
        accept_command(rules, state.worker, make_command(rules, state, number));
    }
    process_list(rules, state, owner);
    const bool fenced_start = state.start.epoch < epoch_of(number);
    if (!rules.former_starts && fenced_start && owner.heard != 0) {
        state.start = {};
    }
}

bool is_passed(const restart_state& state, std::size_t owner) {
    return std::any_of(state.owners.begin() + static_cast<std::ptrdiff_t>(owner) + 1,
                       state.owners.end(), [](const auto& row) { return row.heard != 0; });
}

start_answer execute_start(const restart_rules& rules, restart_state& state) {
    const auto command = std::exchange(state.start, {});
    if (!accept_command(rules, state.worker, command)) {
        return start_answer::fenced;
    }
    const bool late = command.meant != 0 && command.lease == 0;
    if (late || command.run <= state.worker.closed) {
        return start_answer::refused;
    }
    state.runs_twice = state.worker.run != 0 ? small{1} : small{0};
    state.worker.run = command.run;
    return start_answer::done;
}

void answer_start(const restart_rules& rules, restart_state& state, answer_clock clock) {
    const auto number = static_cast<std::size_t>(state.start.epoch - 1);
    auto& owner = state.owners.at(number);
    const auto run = state.start.run;
    const auto answer = execute_start(rules, state);
    if (answer == start_answer::fenced) {
        owner.active = 0;
        return;
    }
    if (owner.number != run || owner.run == no_run) {
        return;
    }
    if (answer == start_answer::refused) {
        forget_run(owner);
        return;
    }
    const bool unclear = clock == answer_clock::unclear;
    const bool certain = (owner.knows == current_known && !unclear) || !rules.check_answer_clock;
    owner.run = certain ? known_run : uncertain;
    owner.asks = certain || unclear ? owner.asks : small{1};
}

namespace {

// Returns whether no lease is left that a run has of which an owner doesn't know.
bool is_complete(const restart_rules& rules, const restart_owner& owner) {
    return owner.heard != 0 ||
           (owner.longest == 0 && (owner.unnoticed == 0 || !rules.wait_for_former_commands));
}

} // namespace

bool has_no_run(const restart_rules& rules, const restart_owner& owner) {
    const bool lapsed = owner.lease == 0 && (owner.run == known_run || owner.unnoticed == 0 ||
                                             !rules.wait_for_longest_lease);
    const bool usual = owner.recorded != 0 || !rules.count_unconfirmed_with_longest;
    const bool passed =
        owner.no_unknown_run != 0 || (usual && owner.usual == 0) || is_complete(rules, owner);
    return passed && (owner.run == no_run || lapsed);
}

bool may_start(const restart_rules& rules, const restart_owner& owner) {
    return owner.active != 0 && has_no_run(rules, owner) &&
           (owner.recorded == 0 || !rules.clear_record_before_start);
}

bool may_record(const restart_rules& rules, const restart_owner& owner) {
    return owner.active != 0 && owner.write == no_write && owner.recorded == 0 && owner.asks == 0 &&
           (owner.run == known_run || (owner.run == uncertain && !rules.record_known_runs_only)) &&
           (owner.lease <= rules.lease || !rules.record_usual_leases_only) &&
           (owner.heard != 0 || !rules.wait_for_former_commands);
}

void claim_shard(const restart_rules& rules, restart_state& state) {
    auto& former = state.owners.at(state.owner);
    former.age = 0;
    former.write = no_write; // the store refuses it
    ++state.owner;
    auto& owner = state.owners.at(state.owner);
    owner.claimed = 1;
    const int until_last = rules.confirmation_window + counted_delivery(rules);
    owner.former_commands = to_small(until_last + 1);
    owner.usual = to_small(rules.confirmation_window + rules.lease);
    owner.longest = to_small(until_last + rules.longest_lease);
    const bool counts = state.recorded != 0 && state.recorded_by + 1 == epoch_of(state.owner);
    owner.recorded = counts ? small{1} : small{0};
    owner.write = counts ? write_record : no_write;
}

bool may_hand_over(const restart_rules& rules, const restart_owner& owner) {
    return owner.active != 0 && owner.knows != never_heard && is_complete(rules, owner);
}

void hand_over(const restart_rules& rules, restart_state& state) {
    auto& former = state.owners.at(state.owner);
    const bool certain = former.run == no_run || former.run == known_run;
    const bool unnoticed = !certain && rules.count_unnoticed_at_handover;
    const auto left = std::max(former.lease, unnoticed ? former.unnoticed : small{0});
    claim_shard(rules, state);
    former.active = 0;
    auto& owner = state.owners.at(state.owner);
    owner.former_commands = to_small(counted_delivery(rules) + 1);
    owner.usual = left;
    owner.longest = left;
}

void restart_process(restart_state& state) {
    ++state.restarts;
    state.worker = {};
    state.worker.epoch = 0;
    state.start.meant = 0;
    state.hold.meant = 0;
    for (auto& owner : state.owners) {
        owner.knows = owner.knows == never_heard ? never_heard : former_known;
    }
}

void pass_time(const restart_rules& rules, restart_state& state) {
    count_down(state.worker.lease);
    state.worker.run = state.worker.lease > 0 ? state.worker.run : small{0};
    for (auto* command : {&state.start, &state.hold}) {
        count_down(command->left);
        count_down(command->lease);
    }
    for (auto& owner : state.owners) {
        if (owner.age != no_successor) {
            owner.age = to_small(std::min(owner.age + 1, rules.confirmation_window + 1));
        }
        for (auto* left : {&owner.lease, &owner.commands, &owner.unnoticed, &owner.start,
                           &owner.former_commands, &owner.usual, &owner.longest}) {
            count_down(*left);
        }
    }
}

namespace {

// Clears what an owner knows and that can't matter any more.
void forget_past(const restart_rules& rules, const restart_state& state, restart_owner& owner) {
    if (owner.claimed == 0) {
        return;
    }
    if (owner.active == 0 || owner.age > rules.confirmation_window) {
        const auto heard = owner.heard;
        owner = {};
        owner.claimed = 1;
        owner.active = 0;
        owner.heard = heard; // see is_passed
        return;
    }
    const bool passed = owner.heard != 0 || owner.no_unknown_run != 0;
    if (passed) {
        owner.usual = 0;
        owner.longest = 0;
    }
    if (!rules.wait_for_former_commands) {
        owner.former_commands = 0;
    }
    if (owner.run != starting && owner.run != unconfirmed) {
        owner.start = 0;
    }
    // The next start raises these.
    if (passed && (owner.run == known_run || owner.run == no_run)) {
        owner.unnoticed = 0;
    }
    if (owner.run == no_run && owner.lease <= rules.lease) {
        owner.lease = 0;
    }
    if (owner.knows == current_known && state.restarts >= rules.restart_limit) {
        owner.commands = 0; // it will notice no restart
    }
}

} // namespace

void forget_past(const restart_rules& rules, restart_state& state) {
    for (auto* command : {&state.start, &state.hold}) {
        const bool refused =
            command->epoch < state.worker.epoch && state.restarts >= rules.restart_limit;
        if (command->left == 0 || refused) {
            *command = {};
        } else if (command->meant == 0) {
            command->lease = 0;
        }
    }
    if (state.start.left == 0) {
        state.worker.closed = 0; // later starts have higher numbers
        const bool starts_again = state.worker.run != 0 || state.runs_started < rules.run_limit;
        state.worker.lease = starts_again ? state.worker.lease : small{0};
    }
    for (auto& owner : state.owners) {
        forget_past(rules, state, owner);
    }
    if (state.recorded_by != epoch_of(state.owner)) {
        state.recorded = 0; // a successor doesn't count it
        state.recorded_by = 0;
    }
    if (state.elsewhere != 0) {
        // Only the start that is on its way can still begin the task on the worker.
        state.owners = {};
        state.hold = {};
        state.owner = 0;
        state.recorded = 0;
        state.recorded_by = 0;
    }
}

} // namespace fulmar
