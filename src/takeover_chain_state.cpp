#include "takeover_chain_state.hpp"

#include <algorithm>
#include <utility>

namespace fulmar {

int longest_wait(const takeover_chain_rules& rules) {
    return rules.confirmation_window + rules.lease + 1; // one tick is the margin
}

bool is_most(std::size_t part, std::size_t whole) {
    return part * 2 > whole;
}

namespace {

void end_by(small& end, int value) {
    end = static_cast<small>(end == none ? value : std::min<int>(end, value));
}

} // namespace

bool has_authority(const takeover_chain_rules& rules, const chain_state& state,
                   std::size_t number) {
    const auto& owner = state.owners.at(number);
    if (owner.age <= rules.confirmation_window) {
        return true; // the store may have confirmed it until then
    }
    // Without its record in the store, no witness supports it.
    if (owner.age >= rules.owner_limit || (number == 1 && state.stored.written == 0)) {
        return false;
    }
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        accepted += owner.accepted.at(i) <= rules.confirmation_window ? 1 : 0;
    }
    return is_most(accepted, rules.workers) && owner.confirmed <= rules.confirmation_window;
}

bool is_promised(const takeover_chain_rules& rules, const chain_state& state, std::size_t worker) {
    return rules.keep_promises &&
           (state.confirmed.at(worker) != no_promise ||
            (state.pending != 0 && state.next.promises.at(worker) != no_promise));
}

// Returns whether the second owner has heard a worker since the last tick.
bool is_heard(const chain_state& state, std::size_t worker) {
    return state.owners[1].accepted.at(worker) == 0;
}

void extend_lease(chain_worker& worker, int lease) {
    if (worker.runs != 0) {
        worker.lease = static_cast<small>(std::max<int>(worker.lease, lease));
    }
}

void send_first_hold(const takeover_chain_rules& rules, chain_state& state, std::size_t i) {
    auto& worker = state.workers.at(i);
    if (worker.epoch > 1) {
        state.owners[0].active = 0;
        return;
    }
    worker.epoch = 1;
    state.owners[0].accepted.at(i) = 0;
    if (has_authority(rules, state, 0)) {
        extend_lease(worker, rules.lease);
    }
}

void send_second_hold(const takeover_chain_rules& rules, chain_state& state, std::size_t i) {
    auto& worker = state.workers.at(i);
    if (worker.epoch > second_epoch) {
        state.owners[1].active = 0;
        return;
    }
    worker.epoch = second_epoch;
    state.owners[1].accepted.at(i) = 0;
    state.unreached.at(i) = 0;
    if (worker.runs != 0 && state.task != static_cast<small>(i)) {
        state.task = static_cast<small>(i);
        state.leased.at(i) = static_cast<small>(rules.lease + 1); // a former owner's
    } else if (worker.runs == 0 && state.task == static_cast<small>(i)) {
        state.task = none;
    }
    state.untouched.at(i) = 0;
    if (worker.runs != 0 && has_authority(rules, state, 1) && !is_promised(rules, state, i)) {
        extend_lease(worker, rules.lease);
        state.leased.at(i) = static_cast<small>(rules.lease + 1);
    }
}

void send_third_hold(const takeover_chain_rules& rules, chain_state& state, std::size_t i) {
    auto& worker = state.workers.at(i);
    worker.epoch = third_epoch;
    state.last_heard.at(i) = 1;
    state.last_unreached.at(i) = 0;
    if (worker.runs != 0) {
        state.last_task = 1;
        extend_lease(worker, rules.lease);
    }
}

// A successor asks the witness to refuse the owners before it.
void ask_witness(const takeover_chain_rules& rules, chain_state& state, small epoch) {
    if (epoch < state.witness_epoch) {
        state.owners[1].active = 0; // another owner has the shard
        return;
    }
    state.witness_epoch = epoch;
    if (epoch == second_epoch) {
        end_by(state.ends, longest_wait(rules));
        return;
    }
    for (auto& end : state.owner_ends) {
        end_by(end, longest_wait(rules));
    }
}

// A successor asks the host of an owner before it, which gives the shard up.
void ask_host(const takeover_chain_rules& rules, chain_state& state, std::size_t owner,
              small epoch) {
    state.owners.at(owner).active = 0;
    end_by(epoch == second_epoch ? state.ends : state.owner_ends.at(owner), rules.lease + 1);
}

// Builds the second owner's next transaction; at a planned stop with the ends of its own leases.
chain_record build_record(const takeover_chain_rules& rules, const chain_state& state,
                          bool releasing) {
    chain_record record;
    record.written = 1;
    record.complete = state.complete;
    record.age = rules.count_ends_from_load ? small{0} : state.age;
    if (rules.store_ends && state.complete == 0) {
        record.ends = state.ends;
        end_by(record.ends, std::max(0, rules.owner_limit + longest_wait(rules) - state.age));
        if (!rules.store_fenced_ends_only && state.refused != none) {
            end_by(record.ends, longest_wait(rules) - state.refused);
        }
    }
    for (std::size_t i = 0; rules.store_promises && i < rules.workers; ++i) {
        if (state.untouched.at(i) != 0) {
            const bool before = i == 0 && rules.left_by_first;
            record.promises.at(i) = state.complete != 0 ? unlisted
                                    : before            ? left_by_both
                                                        : left_alone;
        } else if (releasing && state.complete != 0 && !is_heard(state, i)) {
            record.promises.at(i) = released;
            record.released_ends.at(i) = state.leased.at(i);
        }
    }
    return record;
}

namespace {

// Returns whether most workers refuse the former owners, as one of their successors knows.
template <class Heard>
bool is_refused(const takeover_chain_rules& rules, const chain_state& state, Heard heard) {
    std::size_t open = 0;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        open += heard(i) && state.workers.at(i).alive != 0 ? 0 : 1;
    }
    return !is_most(open, rules.workers);
}

void advance_second(const takeover_chain_rules& rules, chain_state& state) {
    const int longest = longest_wait(rules);
    const bool ended =
        state.ends == 0 || state.refused >= longest || state.age >= rules.owner_limit + longest;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        const bool unused = i == 0 && rules.left_by_first;
        state.unreached.at(i) = ended || unused ? small{0} : state.unreached.at(i);
    }
    const bool waits =
        std::any_of(state.unreached.begin(),
                    state.unreached.begin() + static_cast<std::ptrdiff_t>(rules.workers),
                    [](small row) { return row != 0; });
    state.complete = waits ? state.complete : small{1};
}

// Returns whether an owner may still have a lease on a worker, as the third owner knows.
bool may_have_lease(const takeover_chain_rules& rules, const chain_state& state, std::size_t owner,
                    std::size_t worker) {
    const auto& record = state.stored;
    const auto promised = record.promises.at(worker);
    if (promised == released || promised == left_by_both ||
        (promised == left_alone && owner == 1) || (promised == left_by_first && owner == 0)) {
        return false;
    }
    return state.owner_ends.at(owner) != 0 && state.last_refused < longest_wait(rules);
}

} // namespace

void advance_third(const takeover_chain_rules& rules, chain_state& state) {
    bool waits = false;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        const bool released_lease = rules.wait_for_released_leases &&
                                    state.stored.promises.at(i) == released &&
                                    state.stored.released_ends.at(i) > 0;
        if (!released_lease && !may_have_lease(rules, state, 0, i) &&
            !may_have_lease(rules, state, 1, i)) {
            state.last_unreached.at(i) = 0;
        }
        waits = waits || state.last_unreached.at(i) != 0;
    }
    const bool limit_passed = state.owners[1].age >= rules.owner_limit + longest_wait(rules);
    state.last_complete = !waits || limit_passed ? small{1} : state.last_complete;
}

void claim_for_third(const takeover_chain_rules& rules, chain_state& state) {
    state.claimed = 1;
    state.owners[1].age = 0;
    const auto& record = state.stored;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        state.last_unreached.at(i) = record.promises.at(i) != unlisted ? 1 : 0;
    }
    if (record.written == 0) {
        state.owner_ends[1] =
            static_cast<small>(rules.wait_for_silent_owner ? longest_wait(rules) : 0);
    } else if (record.complete != 0) {
        state.owner_ends[0] = 0;
    } else if (record.ends != none) {
        const int passed = rules.count_ends_from_load ? 0 : record.age;
        state.owner_ends[0] = static_cast<small>(std::max(0, record.ends - passed));
    }
    advance_third(rules, state);
}

namespace {

void count_up(small& age, int limit) {
    age = static_cast<small>(age == none ? none : std::min<int>(age + 1, limit));
}

void count_down(small& left) {
    left = static_cast<small>(left > 0 ? left - 1 : left);
}

void count_refusal(small& refused, bool refuses, int limit) {
    if (!refuses) {
        refused = none;
    } else if (refused == none) {
        refused = 0;
    } else {
        count_up(refused, limit);
    }
}

} // namespace

// Lets one tick pass. Ages stop at values beyond which nothing changes.
void pass_time(const takeover_chain_rules& rules, chain_state& state) {
    const int longest = longest_wait(rules);
    const int oldest = rules.owner_limit + longest;
    count_refusal(state.refused,
                  is_refused(rules, state, [&](std::size_t i) { return is_heard(state, i); }),
                  longest);
    if (state.claimed != 0) {
        const auto heard = [&](std::size_t i) { return state.last_heard.at(i) != 0; };
        count_refusal(state.last_refused, is_refused(rules, state, heard), longest);
    }
    for (auto& owner : state.owners) {
        count_up(owner.age, oldest);
        count_up(owner.confirmed, rules.confirmation_window + 1);
        for (auto& accepted : owner.accepted) {
            count_up(accepted, rules.confirmation_window + 1);
        }
    }
    count_up(state.age, oldest);
    count_down(state.ends);
    count_down(state.late_lease);
    for (std::size_t i = 0; i < rules.workers; ++i) {
        auto& worker = state.workers.at(i);
        worker.may_restart = worker.alive != 0 ? 0 : 1;
        count_down(worker.lease);
        worker.runs = worker.lease > 0 ? worker.runs : small{0};
        count_down(state.leased.at(i));
        if (state.task == static_cast<small>(i) && state.leased.at(i) == 0) {
            state.task = none;
        }
        if (state.claimed != 0) {
            count_down(state.stored.released_ends.at(i));
        }
    }
    if (state.claimed != 0) {
        for (auto& end : state.owner_ends) {
            count_down(end);
        }
        advance_third(rules, state);
    }
    if (state.owners[1].active != 0) {
        advance_second(rules, state);
    }
    state.last_heard.fill(0);
}

// Clears what can't matter any more, so that states that differ only there are one.
void forget_past(const takeover_chain_rules& rules, chain_state& state) {
    for (std::size_t i = 0; i < 2; ++i) {
        auto& owner = state.owners.at(i);
        const bool ended =
            owner.active == 0 || owner.age >= rules.owner_limit ||
            (state.witness_epoch > static_cast<small>(i + 1) &&
             owner.confirmed > rules.confirmation_window && owner.age > rules.confirmation_window);
        if (owner.active == 0) {
            owner.confirmed = 0;
        }
        if (owner.active == 0 || (ended && i == 0)) {
            owner.accepted.fill(0);
        }
    }
    if (state.owners[0].active == 0 && state.owners[1].active == 0) {
        state.owners[0].age = none;
    }
    if (state.late_lease == 0) {
        state.late_epoch = 0;
    }
    if (state.claimed != 0 && state.pending != 0 && state.applied == 0) {
        // It is refused, and the second owner never learns otherwise.
        for (std::size_t i = 0; i < rules.workers; ++i) {
            state.confirmed.at(i) = std::max(state.confirmed.at(i), state.next.promises.at(i));
        }
        state.pending = 0;
    }
    if (state.claimed != 0) {
        state.ends = none;
        state.refused = none;
        state.stored.age = 0;
        state.stored.ends = none;
    }
    if (state.owners[1].active == 0) {
        state.age = 0;
        state.ends = none;
        state.refused = none;
        state.complete = 0;
        state.task = none;
        state.unreached.fill(0);
        state.untouched.fill(0);
        state.leased.fill(0);
        state.confirmed.fill(0);
        if (state.applied != 0) {
            state.pending = 0; // one that is on its way may still be applied
        }
    }
    if (state.complete != 0) {
        state.ends = none;
        state.refused = none;
        state.age = rules.count_ends_from_load ? small{0} : state.age;
    }
    state.owners[0].age = std::min(state.owners[0].age, static_cast<small>(rules.owner_limit));
    const bool store_confirms = state.claimed == 0;
    if (store_confirms || state.owners[1].age >= rules.owner_limit || state.stored.written == 0) {
        state.owners[1].confirmed = 0;
    }
    if (state.pending == 0) {
        state.applied = 0;
        state.next = {};
    } else if (state.applied != 0) {
        const auto promises = state.next.promises;
        state.next = {};
        state.next.promises = promises;
    }
}

} // namespace fulmar
