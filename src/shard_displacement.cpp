// Displacement: room for a task that has waited for long is made from rooms that are reserved for
// shorter waits and not free yet. Nothing gives way to a shorter wait, so the longest wait keeps
// its room, and nothing is given up unless the task then fits.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

struct displaceable {
    room_claim claim;
    task_key key;
    resources need;
};

// Returns the claim of the task of a reservation, if that may give way to an earlier one.
std::optional<room_claim> find_displaceable(shard_state& shard, const worker_row& worker,
                                            const task_key& key,
                                            const worker_row::reservation& reservation,
                                            time_point now) {
    if (fits(reservation.need, free_resources(worker, &key))) {
        return std::nullopt; // its task is about to start
    }
    if (const auto request = shard.room_requests.find(key);
        request != shard.room_requests.end() && request->second.worker == worker.entry.target.id) {
        return request->second.lending ? std::nullopt : std::optional(request->second.claim);
    }
    const auto* stage = find_stage(shard.tables, key);
    if (stage == nullptr || !stage->waiting.contains(key.index) ||
        stage->tasks[key.index].reserved_worker != worker.entry.target.id) {
        return std::nullopt; // the room of a move, or of a loan that is being stored
    }
    return find_claim(shard, *stage, stage->tasks[key.index], now);
}

} // namespace

std::optional<displacement> plan_displacement(shard_state& shard, const worker_row& worker,
                                              const resources& need, const room_claim& claim,
                                              time_point now) {
    std::vector<displaceable> rows;
    for (const auto& [key, reservation] : worker.reserved) {
        const auto later = find_displaceable(shard, worker, key, reservation, now);
        if (later && *later > claim) {
            rows.push_back({*later, key, reservation.need});
        }
    }
    std::sort(rows.begin(), rows.end(), [](const displaceable& a, const displaceable& b) {
        return std::tie(b.claim, b.key) < std::tie(a.claim, a.key);
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
