#include "restart_state.hpp"

#include <algorithm>
#include <bit>
#include <cstring>
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

bool is_own(const restart_command& command, std::size_t owner) {
    return command.left > 0 && command.epoch == epoch_of(owner);
}

bool is_lower(const restart_rules& rules, const restart_command& command,
              const restart_worker& worker) {
    return command.epoch < worker.epoch ||
           (rules.refuse_lower_fences && command.epoch == worker.epoch &&
            command.fence < worker.fence);
}

namespace {

void count_down(small& left) {
    left = to_small(std::max(0, left - 1));
}

// Ticks by which an owner counts less than the late limit.
int uncounted(const restart_rules& rules) {
    return rules.count_late_limit ? 0 : rules.late_limit;
}

// Returns whether an owner knows that it has sent a command.
bool is_counted(const restart_command& command, std::size_t owner) {
    return is_own(command, owner) && command.forgotten == 0;
}

void set_token(restart_worker& worker, small epoch, small fence) {
    worker.fence = epoch == worker.epoch ? std::max(worker.fence, fence) : fence;
    worker.epoch = epoch;
}

void raise_fence(restart_state& state, std::size_t number) {
    auto& owner = state.owners.at(number);
    owner.fence = to_small(owner.fence + 1);
    if (state.list.owner == epoch_of(number)) {
        state.list.raised = 1;
    }
}

// Returns whether a run is kept although the worker lacks or refuses it.
bool is_kept(const restart_rules& rules, const restart_state& state, std::size_t number) {
    return rules.keep_open_starts &&
           is_start_open(state, number, state.owners.at(number).number, rules.keep_calling_starts);
}

} // namespace

int unnoticed_left(const restart_rules& rules, const restart_state& state, std::size_t number,
                   bool also_calling) {
    int left = 0;
    for (const auto& command : state.commands) {
        if (is_counted(command, number) && (command.calling == 0 || also_calling)) {
            left = std::max(left, command.left - 1 - uncounted(rules) + rules.longest_lease);
        }
    }
    return std::max<int>(left, state.owners.at(number).unnoticed);
}

bool is_certain(const restart_rules& rules, const restart_owner& owner) {
    return owner.run == known_run && (owner.doubt == 0 || !rules.doubt_open_starts);
}

bool may_send(const restart_rules& rules, const restart_owner& owner) {
    const bool confirmed = owner.age == no_successor ||
                           (rules.send_after_claim && owner.age <= rules.confirmation_window);
    return owner.claimed != 0 && owner.active != 0 && owner.asks == 0 && confirmed;
}

std::size_t count_open(const restart_state& state, std::size_t owner, small run) {
    return static_cast<std::size_t>(
        std::count_if(state.commands.begin(), state.commands.end(),
                      [&](const auto& row) { return is_own(row, owner) && row.run == run; }));
}

bool has_room(const restart_state& state) {
    return std::any_of(state.commands.begin(), state.commands.end(),
                       [](const auto& row) { return row.left == 0; });
}

bool is_start_open(const restart_state& state, std::size_t owner, small run, bool also_calling) {
    return std::any_of(state.commands.begin(), state.commands.end(), [&](const auto& row) {
        const bool own = is_own(row, owner) && (row.calling == 0 || also_calling);
        const bool passed = row.left > 0 && row.passed == epoch_of(owner);
        return (own || passed) && row.run == run;
    });
}

void send_command(const restart_rules& rules, restart_state& state, std::size_t owner, small run) {
    auto& sender = state.owners.at(owner);
    const auto slot = std::find_if(state.commands.begin(), state.commands.end(),
                                   [](const auto& row) { return row.left == 0; });
    *slot = {to_small(rules.late_limit + 1),
             epoch_of(owner),
             sender.fence,
             to_small(rules.lease),
             sender.knows == current_known ? small{1} : small{0},
             run,
             1,
             0,
             0,
             0,
             0};
    raise_to(sender.lease, rules.lease);
    if (run != 0 && state.list.owner == epoch_of(owner)) {
        state.list.started = 1;
    }
}

void fail_call(const restart_rules& rules, restart_state& state, restart_command& command) {
    command.calling = 0;
    const auto number = static_cast<std::size_t>(command.epoch - 1);
    auto& owner = state.owners.at(number);
    if (owner.active == 0) {
        return;
    }
    if (rules.raise_after_silence) {
        raise_fence(state, number);
    }
    if (command.run == 0 || owner.number != command.run || owner.run == no_run) {
        return;
    }
    owner.doubt = 1;
    owner.run = owner.run == starting ? small{unconfirmed} : owner.run;
}

namespace {

// A lease on the clock of a former incarnation ends far in the future of the present one's.
bool accept_command(const restart_rules& rules, restart_worker& worker,
                    const restart_command& command) {
    if (is_lower(rules, command, worker)) {
        return false;
    }
    set_token(worker, command.epoch, command.fence);
    raise_to(worker.lease, command.meant != 0 ? command.lease : rules.longest_lease);
    return true;
}

} // namespace

void forget_run(restart_owner& owner) {
    owner.run = no_run;
    owner.number = 0;
    owner.stop_answered = 0;
    owner.doubt = 0;
    owner.repeated = 0;
}

namespace {

// Handles that a reply shows a restart.
void note_restart(const restart_rules& rules, restart_state& state, std::size_t number) {
    auto& owner = state.owners.at(number);
    owner.lease = 0;
    owner.asks = 1;
    owner.stop_answered = 0;
    if (owner.run != known_run) {
        return;
    }
    const bool doubtful = owner.doubt != 0 && rules.keep_doubtful_after_restart;
    if (rules.keep_after_restart && (doubtful || is_kept(rules, state, number))) {
        owner.run = unconfirmed;
    } else {
        forget_run(owner);
    }
}

// Returns whether the incarnation that has just replied refuses all that was sent before.
bool refuses_former_commands(const restart_state& state, std::size_t number) {
    return std::none_of(state.commands.begin(), state.commands.end(), [&](const auto& row) {
        return is_counted(row, number) && row.fence >= state.owners.at(number).fence;
    });
}

// Returns whether a list that lacks the owner's run shows that it has ended.
bool has_ended(const restart_owner& owner, const restart_list& list) {
    switch (owner.run) {
    case known_run:
    case uncertain:
        return list.answered == 0;
    case unconfirmed:
        return list.started == 0;
    case starting:
        return owner.stop_answered != 0 && list.stopped == 0 && list.started == 0;
    default:
        return false;
    }
}

// Handles the list of runs in a reply to a hold.
void process_list(const restart_rules& rules, restart_state& state, std::size_t number,
                  const restart_list& list) {
    auto& owner = state.owners.at(number);
    if (!rules.wait_for_former_commands || owner.former_commands == 0 || owner.recorded != 0) {
        owner.heard = 1;
    }
    const bool was_open = list.open != 0 && rules.compare_time_of_list;
    const auto kept = [&] {
        return (was_open && rules.keep_open_starts) || is_kept(rules, state, number);
    };
    if (list.run != 0) {
        const bool later = owner.number == list.run && owner.repeated != 0 && list.started != 0;
        const bool known = !later || owner.run == known_run || !rules.know_runs_by_later_lists;
        owner.number = list.run;
        owner.run = known ? known_run : uncertain;
    } else {
        if (has_ended(owner, list) && !kept()) {
            forget_run(owner);
        }
        const bool end_listed = owner.run != no_run && list.ended == owner.number;
        if (end_listed && !(rules.keep_ended_runs && kept())) {
            forget_run(owner);
        }
    }
    const bool open = is_start_open(state, number, owner.number, rules.keep_calling_starts);
    owner.doubt = (open || was_open) && owner.run != no_run ? small{1} : small{0};
}

} // namespace

void send_list(const restart_rules& rules, restart_state& state, std::size_t number) {
    auto& owner = state.owners.at(number);
    if (epoch_of(number) < state.worker.epoch) {
        owner.active = 0;
        return;
    }
    set_token(state.worker, epoch_of(number), owner.fence);
    if (may_send(rules, owner)) {
        raise_to(owner.lease, rules.lease);
        raise_to(owner.unnoticed, rules.longest_lease);
        raise_to(state.worker.lease,
                 owner.knows == current_known ? rules.lease : rules.longest_lease);
    }
    const bool open = owner.run != no_run &&
                      is_start_open(state, number, owner.number, rules.keep_calling_starts);
    state.list = {};
    state.list.owner = epoch_of(number);
    state.list.left = to_small(rules.list_delay + 1);
    state.list.run = state.worker.run;
    state.list.ended = state.worker.ended;
    state.list.present = 1;
    state.list.incarnation = rules.delayed_answers ? to_small(state.restarts + 1) : small{0};
    state.list.restarted = owner.knows == former_known ? small{1} : small{0};
    state.list.open = open ? small{1} : small{0};
}

void refuse_former_starts(const restart_rules& rules, restart_state& state, std::size_t number) {
    for (auto& command : state.commands) {
        if (!rules.former_starts && command.epoch < epoch_of(number) && command.run != 0) {
            command = {};
        }
    }
}

void lose_list(const restart_rules& rules, restart_state& state) {
    if (rules.raise_after_silence) {
        raise_fence(state, static_cast<std::size_t>(state.list.owner - 1));
    }
    state.list = {};
}

void receive_list(const restart_rules& rules, restart_state& state) {
    const auto list = std::exchange(state.list, {});
    if (list.owner == 0) {
        return;
    }
    const auto number = static_cast<std::size_t>(list.owner - 1);
    auto& owner = state.owners.at(number);
    if (owner.active == 0) {
        return;
    }
    if (list.restarted != 0) {
        note_restart(rules, state, number);
    }
    owner.knows = list.present != 0 ? current_known : former_known;
    owner.incarnation = list.incarnation;
    if (owner.asks != 0) {
        const bool refuses = list.raised == 0 && refuses_former_commands(state, number);
        if (rules.ask_again && !refuses) {
            raise_fence(state, number);
            return;
        }
        const bool unused = owner.new_row != 0 && !rules.count_longest_in_new_rows;
        const bool longest = rules.count_longest_after_restart && !unused;
        raise_to(owner.lease, longest ? rules.longest_lease : rules.lease);
    }
    owner.asks = 0;
    process_list(rules, state, number, list);
    if (owner.heard != 0) {
        refuse_former_starts(rules, state, number);
    }
}

bool is_passed(const restart_state& state, std::size_t owner) {
    const bool heard =
        std::any_of(state.owners.begin() + static_cast<std::ptrdiff_t>(owner) + 1,
                    state.owners.end(), [](const auto& row) { return row.heard != 0; });
    return heard || state.list.owner > epoch_of(owner);
}

namespace {

// Has the worker execute a command.
execution_outcome carry_out(const restart_rules& rules, restart_state& state,
                            const restart_command& command, bool room) {
    auto& worker = state.worker;
    if (!accept_command(rules, worker, command)) {
        return fenced;
    }
    if (command.run == 0) {
        return done;
    }
    if (worker.run == command.run) {
        return done;
    }
    const bool late = command.meant != 0 && command.lease == 0;
    if (late || !room || command.run <= worker.closed) {
        return refused;
    }
    state.runs_twice = worker.run != 0 ? small{1} : small{0};
    worker.run = command.run;
    return done;
}

void end_run(restart_worker& worker) {
    if (worker.run != 0) {
        raise_to(worker.closed, worker.run);
        worker.ended = worker.run;
        worker.run = 0;
    }
}

} // namespace

void execute_command(const restart_rules& rules, restart_state& state, std::size_t slot) {
    auto& command = state.commands.at(slot);
    command.executed = 1;
    const auto outcome = carry_out(rules, state, command, true);
    if (rules.delayed_answers && command.calling != 0 && command.run != 0) {
        command.answer = outcome;
        command.incarnation = to_small(state.restarts + 1);
    }
}

namespace {

// Lets the owner of a start process its answer.
void process_answer(const restart_rules& rules, restart_state& state,
                    const restart_command& command, answer_clock clock) {
    const auto number = static_cast<std::size_t>(command.epoch - 1);
    auto& owner = state.owners.at(number);
    raise_to(owner.unnoticed, rules.longest_lease);
    if (command.answer == fenced && command.fence >= owner.fence) {
        owner.active = 0;
        return;
    }
    if (owner.number != command.run || owner.run == no_run) {
        return;
    }
    if (command.answer != done) {
        const bool repeated = owner.repeated != 0 && rules.keep_repeated_if_refused;
        if (repeated || is_kept(rules, state, number)) {
            owner.run = owner.run == starting ? small{unconfirmed} : owner.run;
        } else {
            forget_run(owner);
        }
        return;
    }
    const bool listed = owner.asks == 0 || !rules.know_listed_incarnations_only;
    const bool matches = (clock == answer_clock::known && listed) || !rules.check_answer_clock;
    if (owner.run != known_run) {
        owner.run = matches && listed ? known_run : uncertain;
    }
    if (state.list.owner == epoch_of(number)) {
        state.list.answered = 1;
    }
    if (clock == answer_clock::other && !matches && owner.asks == 0) {
        if (rules.raise_when_suspected) {
            raise_fence(state, number);
        }
        owner.asks = 1;
        if (state.list.owner == epoch_of(number)) {
            state.list = {}; // it may be of the former incarnation
        }
    }
}

} // namespace

void answer_start(const restart_rules& rules, restart_state& state, std::size_t slot,
                  start_answer answer) {
    auto command = std::exchange(state.commands.at(slot), {});
    command.answer = carry_out(rules, state, command, answer != start_answer::no_room);
    const auto& owner = state.owners.at(static_cast<std::size_t>(command.epoch - 1));
    const auto clock = owner.knows == current_known ? answer_clock::known : answer_clock::other;
    process_answer(rules, state, command,
                   answer == start_answer::unclear ? answer_clock::unclear : clock);
}

void receive_answer(const restart_rules& rules, restart_state& state, std::size_t slot,
                    bool tells) {
    const auto command = std::exchange(state.commands.at(slot), {});
    const auto known = state.owners.at(static_cast<std::size_t>(command.epoch - 1)).incarnation;
    auto clock = command.incarnation > known ? answer_clock::other : answer_clock::former;
    clock = command.incarnation == known ? answer_clock::known : clock;
    process_answer(rules, state, command, tells ? clock : answer_clock::unclear);
}

bool may_forget_worker(const restart_state& state, std::size_t number) {
    const auto& owner = state.owners.at(number);
    return owner.run == no_run && owner.lease == 0 && owner.knows != never_heard &&
           std::none_of(state.commands.begin(), state.commands.end(),
                        [&](const auto& row) { return is_own(row, number) && row.calling != 0; });
}

void forget_worker(restart_state& state, std::size_t number) {
    auto& owner = state.owners.at(number);
    owner.knows = never_heard;
    owner.asks = 1;
    owner.unnoticed = 0;
    owner.new_row = 1;
    owner.fence = to_small(owner.fence + 1);
    for (auto& command : state.commands) {
        if (is_own(command, number)) {
            command.forgotten = 1;
        }
    }
}

void stop_run(restart_state& state, std::size_t number) {
    auto& owner = state.owners.at(number);
    auto& worker = state.worker;
    set_token(worker, epoch_of(number), owner.fence);
    raise_to(worker.closed, owner.number);
    if (worker.run == owner.number) {
        end_run(worker);
    }
    owner.stop_answered = 1;
    if (state.list.owner == epoch_of(number)) {
        state.list.stopped = 1;
    }
}

bool is_complete(const restart_rules& rules, const restart_state& state, std::size_t number) {
    const auto& owner = state.owners.at(number);
    return owner.heard != 0 || (owner.longest == 0 && (unnoticed_left(rules, state, number) <= 0 ||
                                                       !rules.wait_for_former_commands));
}

bool has_no_run(const restart_rules& rules, const restart_state& state, std::size_t number) {
    const auto& owner = state.owners.at(number);
    const bool lapsed =
        owner.lease == 0 && (is_certain(rules, owner) || !rules.wait_for_longest_lease ||
                             unnoticed_left(rules, state, number) <= 0);
    const bool usual = owner.recorded == records_run || !rules.count_unconfirmed_with_longest;
    const bool passed = owner.no_unknown_run != 0 || (usual && owner.usual == 0) ||
                        is_complete(rules, state, number);
    const bool silent = state.list.owner != epoch_of(number); // no call to the worker lasts
    return passed && (owner.run == no_run || (lapsed && silent));
}

bool may_start(const restart_rules& rules, const restart_state& state, std::size_t number) {
    const auto& owner = state.owners.at(number);
    const bool cleared = owner.recorded != records_run || !rules.clear_record_before_start;
    const bool named = (owner.recorded != names_others && owner.write != write_others) ||
                       !rules.name_worker_before_start;
    return owner.active != 0 && has_no_run(rules, state, number) && cleared && named;
}

bool may_record(const restart_rules& rules, const restart_state& state, std::size_t number) {
    const auto& owner = state.owners.at(number);
    const bool open = is_start_open(state, number, owner.number, false);
    const bool certain = (owner.doubt == 0 || !rules.record_certain_runs_only) &&
                         (!open || !rules.record_without_open_starts);
    return owner.active != 0 && owner.write == no_write && owner.recorded == 0 && owner.asks == 0 &&
           ((owner.run == known_run && certain) ||
            (owner.run == uncertain && !rules.record_known_runs_only)) &&
           (owner.lease <= rules.lease || !rules.record_usual_leases_only) &&
           (owner.heard != 0 || !rules.wait_for_former_commands);
}

void restart_process(restart_state& state) {
    ++state.restarts;
    state.worker = {};
    state.worker.epoch = 0;
    state.list.present = 0;
    for (auto& command : state.commands) {
        command.meant = 0;
    }
    for (auto& owner : state.owners) {
        owner.knows = owner.knows == never_heard ? never_heard : former_known;
    }
}

void pass_time(const restart_rules& rules, restart_state& state) {
    if (state.list.left == 1) {
        receive_list(rules, state);
    }
    count_down(state.list.left);
    count_down(state.worker.lease);
    if (state.worker.lease == 0) {
        end_run(state.worker);
    }
    for (auto& command : state.commands) {
        if (command.left == 0) {
            continue;
        }
        if (command.calling != 0) {
            fail_call(rules, state, command);
        }
        auto& owner = state.owners.at(static_cast<std::size_t>(command.epoch - 1));
        if (command.left == 1 && command.forgotten == 0) {
            raise_to(owner.unnoticed, rules.longest_lease - uncounted(rules));
        }
        count_down(command.left);
        count_down(command.lease);
    }
    for (auto& owner : state.owners) {
        if (owner.age != no_successor) {
            owner.age = to_small(std::min(owner.age + 1, rules.confirmation_window + 1));
        }
        for (auto* left : {&owner.lease, &owner.unnoticed, &owner.former_commands, &owner.usual,
                           &owner.longest}) {
            count_down(*left);
        }
    }
}

} // namespace fulmar
