// Room that tasks of this shard want in others: which of them are listed to which shard, where runs
// are to be evicted for them, and what becomes of rooms that other owners grant. See
// shard_room_requests.cpp for the other side.
#include "shard_internal.hpp"

#include <algorithm>
#include <utility>

namespace fulmar {

namespace {

// Maximum number of tasks in a message that aren't being lent. A message replaces the former one,
// so this also limits the requests that are kept for a shard. If too many stages wait, some of the
// places go round among them.
constexpr std::size_t tasks_per_message = 16;
constexpr std::size_t rotating_tasks = 4;
constexpr std::size_t first_tasks_per_stage = 2;

// Maximum number of tasks in a message for which the other shard is to evict runs.
constexpr std::size_t evicting_tasks = 8;

// Another shard is asked to evict runs for a task that has waited this long while room of its own
// shard is reserved for it. Its own shard then didn't find runs to evict.
constexpr duration own_eviction_time{3'000};

// A shard that is asked to evict runs and holds no room after two messages has none to hold.
constexpr duration answer_time{700};

// Between attempts to request room from an owner that doesn't know the call.
constexpr duration unasked_time{3'000};

// Room is requested for a task on a draining worker until this long after it was last found running
// there, which includes the time that its stop takes.
constexpr duration leaving_validity{1'500};

// A task that is to get room in another shard.
struct wanted_room {
    room_claim claim;
    task_key key;
    const job_row* job = nullptr;
    shard_id lending_to;       // empty if it isn't being lent
    bool waiting = false;      // it has no run
    bool reserved = false;     // room of this shard is reserved for it
    shard_id evicting_shard{}; // the shard that is asked to evict runs for it; empty: none
    bool held = false;         // that shard holds room for it
};

// Returns whether room is requested for a task: it waits, or it has to leave its worker.
bool needs_room(const shard_state& shard, const job_row& job, const stage_row& stage,
                const task_key& key, time_point now) {
    if (stage.waiting.contains(key.index)) {
        return !has_unknown_run(shard, job, stage.tasks[key.index]);
    }
    const auto leaving = shard.leaving_tasks.find(key);
    return leaving != shard.leaving_tasks.end() && now < leaving->second + leaving_validity &&
           !stage.tasks[key.index].runs.empty() && !stage.tasks[key.index].not_local;
}

void collect_wanted(const shard_state& shard, const job_row& job, const stage_row& stage,
                    time_point now, std::vector<wanted_room>& wanted) {
    const bool leaving = !shard.leaving_tasks.empty();
    const auto since = std::min(now, stage.ready_since.value_or(now));
    const auto delay = shard.data_centre_open ? shard.timing.lend_after : duration(0);
    const bool due = !stage.waiting.empty() && stage.ready_since && now >= since + delay;
    if (!due && !leaving && job.loans.empty()) {
        return;
    }
    for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
        const auto& task = stage.tasks[index];
        const task_key key{job.id, stage.occurrence, stage.step, index};
        const auto loan = shard.tables.loans.find(task.loan);
        if (loan != shard.tables.loans.end()) {
            if (!loan->second.accepted && !loan->second.withdrawn) {
                wanted.push_back({{false, since}, key, &job, loan->second.to});
            }
        } else if ((due || leaving) && needs_room(shard, job, stage, key, now)) {
            wanted.push_back({find_claim(shard, stage, task, now),
                              key,
                              &job,
                              {},
                              stage.waiting.contains(index),
                              task.reserved_worker.has_value()});
        }
    }
}

// Returns whether the tasks of a stage wait for room in all shards at the same time: long-running
// ones, and those that can't start here.
bool requests_room(const shard_state& shard, const job_row& job, const stage_row& stage) {
    const auto& step = job.spec.steps[stage.step];
    if (!stage.open || step.gang) {
        return false;
    }
    return step.long_running ||
           ((!stage.waiting.empty() || !job.loans.empty()) && is_stranded(shard, job, stage));
}

std::vector<wanted_room> find_wanted(const shard_state& shard, time_point now) {
    std::vector<wanted_room> wanted;
    for (const auto& id : shard.active) {
        const auto& job = shard.tables.jobs.at(id);
        if (is_borrowed(job)) {
            continue;
        }
        for (const auto& [number, occurrence] : job.occurrences) {
            for (const auto& stage : occurrence.stages) {
                if (requests_room(shard, job, stage)) {
                    collect_wanted(shard, job, stage, now, wanted);
                }
            }
        }
    }
    std::stable_sort(wanted.begin(), wanted.end(),
                     [](const wanted_room& a, const wanted_room& b) { return a.claim < b.claim; });
    return wanted;
}

// Returns whether any room that suits a task of the second step suits one of the first as well.
bool stands_for(const wanted_room& a, const wanted_room& b) {
    const auto& first = a.job->spec.steps[a.key.step];
    const auto& second = b.job->spec.steps[b.key.step];
    return a.job->queue.service == b.job->queue.service && first.spread_limit == 0 &&
           (first.label.empty() || first.label == second.label) && fits(first.need, second.need);
}

// Waiting tasks in the order in which they are listed. The first ones belong to different stages.
struct listing_order {
    std::vector<const wanted_room*> rows;
    std::size_t leading = 0;
};

// Orders the tasks that aren't being lent, given the first claims first. A few tasks of each stage
// come before all others, but not of stages for which one that has waited longer stands: that one
// gets any room first.
listing_order order_wanted(const std::vector<wanted_room>& wanted) {
    std::vector<const wanted_room*> leading;
    std::vector<const wanted_room*> following;
    std::vector<const wanted_room*> rest;
    std::map<task_key, std::size_t> tasks_of_stage;
    std::set<task_key> represented;
    for (const auto& row : wanted) {
        if (!row.lending_to.value.empty()) {
            continue;
        }
        const task_key stage{row.key.job, row.key.occurrence, row.key.step, 0};
        const auto number = ++tasks_of_stage[stage];
        if (number == 1 &&
            std::any_of(leading.begin(), leading.end(),
                        [&](const wanted_room* other) { return stands_for(*other, row); })) {
            represented.insert(stage);
        }
        if (represented.contains(stage) || number > first_tasks_per_stage) {
            rest.push_back(&row);
        } else {
            (number == 1 ? leading : following).push_back(&row);
        }
    }
    listing_order order{std::move(leading), 0};
    order.leading = order.rows.size();
    order.rows.insert(order.rows.end(), following.begin(), following.end());
    order.rows.insert(order.rows.end(), rest.begin(), rest.end());
    return order;
}

// Leaves out the tasks that no worker of a shard could run.
listing_order keep_runnable(const listing_order& order, const lending_room& other, time_point now) {
    std::map<task_key, bool> runnable; // by stage
    listing_order kept;
    for (std::size_t i = 0; i < order.rows.size(); ++i) {
        const auto& row = *order.rows[i];
        const auto [known, added] =
            runnable.try_emplace({row.key.job, row.key.occurrence, row.key.step, 0}, false);
        if (added) {
            known->second = could_run_there(other, row.job->queue.service,
                                            row.job->spec.steps[row.key.step], now);
        }
        if (known->second) {
            kept.rows.push_back(&row);
            kept.leading += i < order.leading ? 1 : 0;
        }
    }
    return kept;
}

// Returns whether a shard holds room for a task that isn't free yet.
bool holds_room(const shard_state& shard, const wanted_room& row, const shard_id& id,
                time_point now) {
    if (id == shard.id) {
        return row.reserved;
    }
    const auto held = shard.held_rooms.find(row.key);
    if (held == shard.held_rooms.end()) {
        return false;
    }
    const auto until = held->second.find(id);
    return until != held->second.end() && until->second > now;
}

// Returns the shards that may be asked to evict runs for a task: those that hold room for it, or
// all others that could run it if none does, and in every second turn, as those that hold room may
// have nothing to evict.
std::vector<shard_id> find_evicting_candidates(const shard_state& shard, const wanted_room& row,
                                               std::size_t turn, time_point now) {
    std::vector<shard_id> holding;
    std::vector<shard_id> others;
    if (row.reserved) {
        holding.push_back(shard.id);
    }
    for (const auto& [id, other] : shard.other_shards) {
        if (!other.available || now < other.unasked_until ||
            !could_run_there(other, row.job->queue.service, row.job->spec.steps[row.key.step],
                             now)) {
            continue;
        }
        (holds_room(shard, row, id, now) ? holding : others).push_back(id);
    }
    return holding.empty() || (turn % 2 == 1 && !others.empty()) ? others : holding;
}

// Chooses for each task that has waited for long the shard that is to evict runs for it, one at a
// time.
void choose_evicting_shards(shard_state& shard, std::vector<wanted_room>& wanted, time_point now) {
    std::erase_if(shard.evicting_shards, [&](const auto& row) { return row.second.until <= now; });
    for (auto& row : wanted) {
        const auto waited = now - row.claim.since;
        if (!row.waiting || !row.lending_to.value.empty() || waited < eviction_wait ||
            !row.job->spec.steps[row.key.step].long_running) {
            continue;
        }
        const auto turn = static_cast<std::size_t>(waited / eviction_turn);
        const auto candidates = find_evicting_candidates(shard, row, turn, now);
        if (const auto chosen = shard.evicting_shards.find(row.key);
            chosen != shard.evicting_shards.end()) {
            const bool answered = now + eviction_turn - chosen->second.until >= answer_time;
            const bool elsewhere =
                !candidates.empty() && holds_room(shard, row, candidates.front(), now);
            const bool held = holds_room(shard, row, chosen->second.shard, now);
            if (!answered || !elsewhere || held) {
                row.evicting_shard = chosen->second.shard;
                row.held = held;
                continue;
            }
        } else if (row.reserved && waited < own_eviction_time) {
            continue; // its own shard evicts
        }
        if (candidates.empty()) {
            continue;
        }
        row.evicting_shard = candidates[(turn + std::size_t{row.key.index}) % candidates.size()];
        row.held = holds_room(shard, row, row.evicting_shard, now);
        shard.evicting_shards[row.key] = {row.evicting_shard, now + eviction_turn};
    }
}

// Returns the tasks to list in a message to a shard. Those that are being lent to it and those for
// which it is to evict runs come first, as it releases the room of tasks that aren't listed. Room
// for some stages may exist nowhere, which must not keep others from requesting it.
std::vector<const wanted_room*> select_tasks(const std::vector<wanted_room>& wanted,
                                             const listing_order& order, const shard_id& to,
                                             std::size_t message) {
    std::vector<const wanted_room*> listed;
    for (const auto& row : wanted) {
        if (row.lending_to == to) {
            listed.push_back(&row);
        }
    }
    std::set<const wanted_room*> evicting;
    // Those for which the shard holds room come first: it can evict runs for them at once.
    for (const bool held : {true, false}) {
        for (const auto& row : wanted) {
            if (row.evicting_shard == to && row.held == held && evicting.size() < evicting_tasks) {
                evicting.insert(&row);
                listed.push_back(&row);
            }
        }
    }
    std::vector<const wanted_room*> others;
    std::size_t leading = 0;
    for (std::size_t i = 0; i < order.rows.size(); ++i) {
        if (!evicting.contains(order.rows[i])) {
            others.push_back(order.rows[i]);
            leading += i < order.leading ? 1 : 0;
        }
    }
    const auto places = tasks_per_message - evicting.size();
    const auto count = std::min(others.size(), places);
    const bool rotates = leading > places;
    const auto fixed = rotates ? places - rotating_tasks : count;
    listed.insert(listed.end(), others.begin(),
                  others.begin() + static_cast<std::ptrdiff_t>(fixed));
    for (std::size_t i = 0; i < count - fixed; ++i) {
        const auto place = (message * rotating_tasks + i) % (leading - fixed);
        listed.push_back(others[fixed + place]);
    }
    return listed;
}

json encode_request(const wanted_room& row, const shard_id& to, time_point now) {
    const auto& step = row.job->spec.steps[row.key.step];
    return {{"job", row.key.job},
            {"occurrence", row.key.occurrence},
            {"step", row.key.step},
            {"task", row.key.index},
            {"service", row.job->queue.service},
            {"label", step.label},
            {"spread_limit", step.spread_limit},
            {"need", counted_need(step)},
            {"first_run", row.claim.first_run},
            {"waited_ms", (now - row.claim.since).count()},
            {"priority", row.job->queue.priority},
            {"evict", row.evicting_shard == to},
            {"lending", !row.lending_to.value.empty()}};
}

} // namespace

lending_room* find_granter(shard_state& shard, const task_key& key, time_point now) {
    const auto found = shard.granted_rooms.find(key);
    if (found == shard.granted_rooms.end() || found->second.until <= now) {
        return nullptr;
    }
    const auto other = shard.other_shards.find(found->second.by);
    return other == shard.other_shards.end() || !other->second.available ? nullptr : &other->second;
}

void lend_to_granted_room(shard_state& shard, job_row& job, stage_row& stage, time_point now) {
    if (shard.granted_rooms.empty()) {
        return;
    }
    std::map<shard_id, std::vector<std::uint32_t>> lendable;
    for (const auto index : stage.waiting) {
        const task_key key{job.id, stage.occurrence, stage.step, index};
        if (has_unknown_run(shard, job, stage.tasks[index])) {
            continue;
        }
        if (const auto* granter = find_granter(shard, key, now)) {
            lendable[granter->shard].push_back(index);
            shard.granted_rooms.erase(key);
        }
    }
    for (const auto& [granter, tasks] : lendable) {
        make_loan(shard, job, stage, shard.other_shards.at(granter), tasks, now);
    }
}

std::vector<room_request_message> make_room_requests(shard_state& shard, time_point now) {
    std::erase_if(shard.granted_rooms, [&](const auto& row) { return row.second.until <= now; });
    std::erase_if(shard.leaving_tasks,
                  [&](const auto& row) { return now >= row.second + leaving_validity; });
    for (auto& [key, shards] : shard.held_rooms) {
        std::erase_if(shards, [&](const auto& row) { return row.second <= now; });
    }
    std::erase_if(shard.held_rooms, [](const auto& row) { return row.second.empty(); });
    std::vector<room_request_message> messages;
    if (shard.ownership_lost || !has_authority(shard, now)) {
        return messages;
    }
    auto wanted = find_wanted(shard, now);
    choose_evicting_shards(shard, wanted, now);
    const auto number = (shard.epoch.value << 24U) + ++shard.room_messages;
    const auto order = order_wanted(wanted);
    for (auto& [id, other] : shard.other_shards) {
        if (!other.available || now < other.unasked_until) {
            continue;
        }
        json tasks = json::array();
        const auto runnable = keep_runnable(order, other, now);
        for (const auto* row : select_tasks(wanted, runnable, id, shard.room_messages)) {
            tasks.push_back(encode_request(*row, id, now));
        }
        const bool listed_before = std::exchange(other.room_requested, !tasks.empty());
        if (tasks.empty() && !listed_before) {
            continue;
        }
        json body{{"from", shard.id}, {"to", id}, {"number", number}, {"tasks", std::move(tasks)}};
        messages.push_back({id, body.dump()});
    }
    return messages;
}

void on_room_reply(shard_state& shard, const shard_id& from, const result<std::string>& reply,
                   time_point now) {
    if (shard.ownership_lost) {
        return;
    }
    const auto other = shard.other_shards.find(from);
    if (other == shard.other_shards.end()) {
        return;
    }
    if (!reply) {
        if (reply.error().kind == error_kind::invalid_argument) {
            other->second.unasked_until = now + unasked_time;
            shard.placement_needed = true;
        }
        return;
    }
    const auto body = json::parse(reply.value());
    for (auto& [key, shards] : shard.held_rooms) {
        shards.erase(from);
    }
    // Owners of earlier versions don't tell.
    for (const auto& row : body.value("held", json::array())) {
        shard.held_rooms[decode_room_key(row)][from] = now + room_request_validity;
    }
    for (const auto& row : body.at("grants")) {
        const auto key = decode_room_key(row);
        const auto* stage = find_stage(shard.tables, key);
        const auto* granter = find_granter(shard, key, now);
        if (stage == nullptr || key.index >= stage->tasks.size() ||
            !needs_room(shard, shard.tables.jobs.at(key.job), *stage, key, now) ||
            (granter != nullptr && granter->shard != from)) {
            continue;
        }
        if (granter == nullptr) {
            shard.log->write("event=room_granted task={}.{}.{}.{} shard={} by={} waiting={}",
                             key.job.value, key.occurrence, key.step, key.index, shard.id.value,
                             from.value, stage->waiting.contains(key.index));
        }
        shard.granted_rooms[key] = {from, now + room_request_validity};
        shard.placement_needed = true;
    }
}

} // namespace fulmar
