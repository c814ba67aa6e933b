// Clears what can't matter any more in a state of the model of restarts, so that states that differ
// only there are one.
#include "restart_state.hpp"

#include <algorithm>
#include <bit>
#include <cstring>
#include <utility>

namespace fulmar {

namespace {

// Clears what an owner knows and that can't matter any more.
void forget_past(const restart_rules& rules, restart_owner& owner) {
    if (owner.claimed == 0) {
        return;
    }
    if (owner.active == 0 || owner.age > rules.confirmation_window) {
        const auto heard = owner.heard;
        owner = {};
        owner.claimed = 1;
        owner.active = 0;
        owner.heard = heard;
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
    if (owner.run != starting) {
        owner.stop_answered = 0;
    }
    // The next start raises these.
    if (passed && ((owner.run == known_run && owner.doubt == 0) || owner.run == no_run)) {
        owner.unnoticed = 0;
    }
    if (owner.run == no_run && owner.lease <= rules.lease) {
        owner.lease = 0;
    }
}

// Replaces the fences of an owner by their ranks.
void rank_fences(restart_state& state, std::size_t number) {
    std::uint32_t used = 0; // one bit for each fence in use
    const auto apply = [&](auto change) {
        change(state.owners.at(number).fence);
        if (state.worker.epoch == epoch_of(number)) {
            change(state.worker.fence);
        }
        for (auto& command : state.commands) {
            if (is_own(command, number)) {
                change(command.fence);
            }
        }
    };
    apply([&](const small& fence) { used |= 1U << static_cast<unsigned>(fence); });
    if ((used & (used + 1U)) == 0) {
        return; // these are the ranks
    }
    apply([&](small& fence) {
        const auto lower = used & ((1U << static_cast<unsigned>(fence)) - 1U);
        fence = to_small(std::popcount(lower));
    });
}

} // namespace

void forget_past(const restart_rules& rules, restart_state& state) {
    if (state.elsewhere != 0) {
        state.list = {};
        // Only the starts that are on their way can still begin the task on the worker.
        state.owners = {};
        state.owner = 0;
        state.recorded = 0;
        state.recorded_by = 0;
    }
    for (auto& owner : state.owners) {
        forget_past(rules, owner);
    }
    if (state.owners.front().active == 0 && state.elsewhere == 0) {
        state.owners.front().heard = 1; // only later owners' matters, see is_passed
    }
    if (state.list.owner != 0 &&
        state.owners.at(static_cast<std::size_t>(state.list.owner - 1)).active == 0) {
        state.list = {};
    }
    const bool last = state.restarts >= rules.restart_limit;
    for (auto& command : state.commands) {
        const bool knows =
            command.passed != 0 &&
            state.owners.at(static_cast<std::size_t>(command.passed - 1)).number == command.run;
        command.passed = knows ? command.passed : small{0};
        if (command.left > 0) {
            const auto& owner = state.owners.at(static_cast<std::size_t>(command.epoch - 1));
            command.calling = owner.active != 0 ? command.calling : small{0};
            const bool unanswered = command.calling == 0 || command.run == 0;
            const bool refused = last && unanswered && is_lower(rules, command, state.worker);
            command.executed = refused ? small{1} : command.executed;
            const bool counted = (owner.active != 0 || command.passed != 0) && state.elsewhere == 0;
            const bool matters = state.elsewhere == 0 || command.run != 0;
            if ((!counted && command.executed != 0) || !matters) {
                command = {};
            }
        }
        if (command.left == 0) {
            command = {};
        }
        if (command.calling == 0) {
            command.answer = 0;
            command.incarnation = 0;
        }
        if (command.executed != 0 || command.meant == 0) {
            command.lease = 0;
            command.meant = 0;
        }
    }
    const bool starts_left =
        state.starts_sent < rules.start_limit ||
        std::any_of(state.commands.begin(), state.commands.end(), [](const auto& row) {
            return row.left > 0 && row.run != 0 && row.executed == 0;
        });
    if (!starts_left) {
        state.worker.closed = 0;
        state.worker.lease = state.worker.run != 0 ? state.worker.lease : small{0};
    }
    if (rules.keep_ended_runs) {
        state.worker.ended = 0;
        state.list.ended = 0;
    }
    const bool last_owner = state.owner + 1U >= rules.owners;
    if (last_owner || state.recorded_by != epoch_of(state.owner)) {
        state.recorded = 0; // a successor doesn't count it
        state.recorded_by = 0;
    }
    for (std::size_t number = 0; number < max_owners; ++number) {
        auto& owner = state.owners.at(number);
        if (owner.claimed == 0 && state.elsewhere == 0) {
            continue;
        }
        owner.new_row = owner.asks != 0 ? owner.new_row : small{0};
        rank_fences(state, number);
    }
    std::sort(state.commands.begin(), state.commands.end(),
              [](const auto& a, const auto& b) { return std::memcmp(&a, &b, sizeof(a)) > 0; });
}

} // namespace fulmar
