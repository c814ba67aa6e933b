// Displacement: room for a task that has waited for long is made from rooms that are reserved for
// shorter waits and not free yet. Nothing gives way to a shorter wait, so the longest wait keeps
// its room, and nothing is given up unless the task then fits.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

struct displaceable {
    time_point since;
    task_key key;
    resources need;
};

// Returns since when the task of a reservation waits, if that may give way to a longer wait.
std::optional<time_point> find_displaceable_wait(shard_state& shard, const worker_row& worker,
                                                 const task_key& key,
                                                 const worker_row::reservation& reservation,
                                                 time_point now) {
    if (fits(reservation.need, free_resources(worker, &key))) {
        return std::nullopt; // its task is about to start
    }
    if (const auto request = shard.room_requests.find(key);
        request != shard.room_requests.end() && request->second.worker == worker.entry.target.id) {
        return request->second.lending ? std::nullopt : std::optional(request->second.since);
    }
    const auto* stage = find_stage(shard.tables, key);
    if (stage == nullptr || !stage->waiting.contains(key.index) ||
        stage->tasks[key.index].reserved_worker != worker.entry.target.id) {
        return std::nullopt; // the room of a move, or of a loan that is being stored
    }
    return find_wait_begin(shard, *stage, stage->tasks[key.index], now);
}

} // namespace

std::optional<displacement> plan_displacement(shard_state& shard, const worker_row& worker,
                                              const resources& need, time_point since,
                                              time_point now) {
    std::vector<displaceable> rows;
    for (const auto& [key, reservation] : worker.reserved) {
        const auto wait = find_displaceable_wait(shard, worker, key, reservation, now);
        if (wait && *wait > since) {
            rows.push_back({*wait, key, reservation.need});
        }
    }
    std::sort(rows.begin(), rows.end(), [](const displaceable& a, const displaceable& b) {
        return std::tie(b.since, b.key) < std::tie(a.since, a.key);
    });
    displacement plan;
    auto room = long_running_room(shard.tables, worker);
    for (const auto& row : rows) {
        if (fits(need, room)) {
            break;
        }
        room = room + row.need;
        plan.keys.push_back(row.key);
        plan.processors.value += row.need.processors.value;
    }
    if (plan.keys.empty() || !fits(need, room)) {
        return std::nullopt;
    }
    return plan;
}

} // namespace fulmar
