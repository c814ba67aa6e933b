// How a shard's owners follow each other in the model of restarts.
#include "restart_state.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Has a successor keep the run that its predecessor wasn't certain of.
void pass_open_start(const restart_rules& rules, restart_state& state, std::size_t number) {
    const auto& former = state.owners.at(number);
    const bool lasts = former.run == starting && former.repeated == 0;
    if (!rules.pass_open_starts || former.run == no_run || is_certain(rules, former) ||
        (lasts && !rules.pass_lasting_calls)) {
        return;
    }
    auto& owner = state.owners.at(number + 1);
    owner.run = unconfirmed;
    owner.number = former.number;
    owner.doubt = 1;
    owner.repeated = 1;
    owner.unnoticed = to_small(unnoticed_left(rules, state, number, rules.pass_lasting_calls));
    for (auto& command : state.commands) {
        const bool stored = command.calling == 0 || rules.pass_lasting_calls;
        const bool known = (is_own(command, number) && stored) ||
                           (command.left > 0 && command.passed == epoch_of(number));
        if (known && command.run == former.number) {
            command.passed = epoch_of(number + 1);
        }
    }
}

} // namespace

void claim_shard(const restart_rules& rules, restart_state& state) {
    pass_open_start(rules, state, state.owner);
    auto& former = state.owners.at(state.owner);
    former.age = 0;
    former.write = no_write; // the store refuses it
    ++state.owner;
    auto& owner = state.owners.at(state.owner);
    owner.claimed = 1;
    const int late = rules.count_late_limit_of_former ? rules.late_limit : 0;
    const int until_last = rules.confirmation_window + late;
    owner.former_commands = to_small(until_last + 1);
    owner.usual = to_small(rules.confirmation_window + rules.lease);
    owner.longest = to_small(until_last + rules.longest_lease);
    const bool counts = state.recorded != 0 && state.recorded_by + 1 == epoch_of(state.owner);
    owner.recorded = counts ? state.recorded : small{names_worker};
    if (counts) {
        owner.write = owner.recorded == records_run ? write_record : write_others;
        owner.no_unknown_run = owner.recorded == names_others ? small{1} : small{0};
    }
}

bool may_hand_over(const restart_rules& rules, const restart_state& state) {
    const auto& owner = state.owners.at(state.owner);
    return owner.active != 0 && owner.knows != never_heard &&
           is_complete(rules, state, state.owner);
}

void hand_over(const restart_rules& rules, restart_state& state) {
    const std::size_t number = state.owner;
    auto& former = state.owners.at(number);
    const bool certain = former.run == no_run || is_certain(rules, former);
    const bool unnoticed = !certain && rules.count_unnoticed_at_handover;
    const int later = unnoticed ? unnoticed_left(rules, state, number) : 0;
    const auto left = to_small(std::max<int>(former.lease, later));
    claim_shard(rules, state);
    former.active = 0;
    auto& owner = state.owners.at(state.owner);
    owner.former_commands = to_small(rules.late_limit + 1);
    owner.usual = left;
    owner.longest = left;
}

} // namespace fulmar
