// Reserves room for tasks that need it soon. Without reservations, short tasks use all room as soon
// as it is free, and a larger long-running task never finds room in a busy shard.
#include "shard_internal.hpp"

#include <algorithm>
#include <utility>

namespace fulmar {

namespace {

// Ranks workers whose runs can't be evicted behind all others.
constexpr double not_evictable_malus = 3;

// Run time on all needed processors whose loss weighs as much as free processors.
constexpr duration large_loss{30'000};

// Returns how much of the need is free now, from 0 to 2: the sum of the free parts of the needed
// processors and memory.
double free_part(const resources& free, const resources& need) {
    const auto part = [](auto have, auto wanted) {
        const auto limit = std::max<std::int64_t>(1, wanted.value);
        return static_cast<double>(std::clamp<std::int64_t>(have.value, 0, limit)) /
               static_cast<double>(limit);
    };
    return part(free.processors, need.processors) + part(free.memory, need.memory);
}

} // namespace

bool is_spread_full(std::uint32_t limit, const stage_row* stage, const worker_row& worker,
                    const task_key& task) {
    if (limit == 0) {
        return false;
    }
    std::uint32_t count = 0;
    if (stage != nullptr) {
        const auto running = stage->runs_by_worker.find(worker.entry.target.id);
        count = running == stage->runs_by_worker.end() ? 0 : running->second;
    }
    for (const auto& [key, reservation] : worker.reserved) {
        count += key.job == task.job && key.occurrence == task.occurrence && key.step == task.step
                     ? 1
                     : 0;
    }
    return count >= limit;
}

std::optional<std::pair<double, millicores>>
rank_for_reservation(const shard_state& shard, const resources& need, std::int32_t priority,
                     const worker_row& worker, time_point now) {
    if (!fits(need, long_running_room(shard.tables, worker))) {
        return std::nullopt;
    }
    const auto free = free_resources(worker);
    const auto missing = need - free - find_room_of_stopping_runs(worker);
    // Room of runs that are being stopped is nearly as good as free room.
    const auto rank = (free_part(need - missing, need) * 3 + free_part(free, need)) / 4;
    if (fits(missing, {})) {
        return std::pair(rank, free.processors);
    }
    // Prefers workers on which the least work would be lost if runs had to be evicted.
    const auto plan = plan_eviction(shard, worker, missing, priority, now);
    if (!plan) {
        return std::pair(rank - not_evictable_malus, free.processors);
    }
    const auto most = static_cast<double>(std::max<std::int64_t>(1, need.processors.value)) *
                      static_cast<double>(large_loss.count());
    return std::pair(rank - std::min(1.0, plan->lost / most), free.processors);
}

namespace {

// Returns the worker on which room is best reserved for a task, or nullptr.
worker_row* choose_for_reservation(shard_state& shard, const job_row& job, const stage_row& stage,
                                   const task_key& key, time_point now) {
    const auto& step = job.spec.steps[stage.step];
    const auto& task = stage.tasks[key.index];
    worker_row* best = nullptr;
    std::optional<std::pair<double, millicores>> best_rank;
    for (auto& [id, worker] : shard.tables.workers) {
        if (!accepts_starts(shard, worker, now) || is_avoided(task, id, now) ||
            !can_run_on(job, stage, worker) ||
            is_spread_full(step.spread_limit, &stage, worker, key)) {
            continue;
        }
        if (const auto rank =
                rank_for_reservation(shard, step.need, job.queue.priority, worker, now);
            rank > best_rank) {
            best = &worker;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace

void reserve(shard_state& shard, const task_key& key, const resources& need, worker_row& worker,
             time_point now) {
    auto* task = find_task(shard.tables, key);
    drop_reservation(shard.tables, key);
    worker.reserved[key] = {need, now + reservation_time, now};
    task->reserved_worker = worker.entry.target.id;
}

room_count count_room_for(const shard_state& shard, const resources& need,
                          const service_id& service, const std::string& label, time_point now) {
    room_count count;
    for (const auto& [id, worker] : shard.tables.workers) {
        if (!accepts_starts(shard, worker, now) || worker.entry.service != service ||
            !has_required_label(worker, label)) {
            continue;
        }
        const auto left = long_running_room(shard.tables, worker);
        auto unreserved = left;
        for (const auto& [key, reservation] : worker.reserved) {
            unreserved = unreserved + reservation.need;
        }
        count.beside_reservations += fits(need, left) ? 1 : 0;
        count.without_reservations += fits(need, unreserved) ? 1 : 0;
        count.most = std::max(count.most, unreserved.processors);
    }
    return count;
}

bool reserve_for_long_running(shard_state& shard, const job_row& job, const stage_row& stage,
                              const task_key& key, time_point now) {
    const auto& step = job.spec.steps[stage.step];
    const auto& task = stage.tasks[key.index];
    if (!step.long_running || step.gang || task.reservation_expired) {
        return false;
    }
    if (task.reserved_worker) {
        const auto worker = shard.tables.workers.find(*task.reserved_worker);
        if (worker != shard.tables.workers.end() &&
            keeps_reservations(shard, worker->second, now)) {
            return true;
        }
        drop_reservation(shard.tables, key);
    }
    auto* best = choose_for_reservation(shard, job, stage, key, now);
    // Tasks of other shards whose claims are earlier come first.
    if (best != nullptr &&
        serve_earlier_requests(shard, find_claim(shard, stage, task, now), now) > 0) {
        best = choose_for_reservation(shard, job, stage, key, now);
    }
    if (best == nullptr) {
        return false;
    }
    reserve(shard, key, step.need, *best, now);
    shard.counters->count("reservations");
    shard.log->write("event=room_reserved task={}.{}.{}.{} worker={} free_cpu={} free_mem={}",
                     key.job.value, key.occurrence, key.step, key.index,
                     best->entry.target.id.value, free_resources(*best, &key).processors.value,
                     free_resources(*best, &key).memory.value);
    return true;
}

void reserve_in_order(shard_state& shard, time_point now) {
    std::vector<std::pair<room_claim, task_key>> waiting;
    for (const auto& id : shard.active) {
        const auto& job = shard.tables.jobs.at(id);
        for (const auto& [number, occurrence] : job.occurrences) {
            for (const auto& stage : occurrence.stages) {
                if (!stage.open || !job.spec.steps[stage.step].long_running) {
                    continue;
                }
                for (const auto index : stage.waiting) {
                    const auto& task = stage.tasks[index];
                    const auto claim = find_claim(shard, stage, task, now);
                    // New tasks take their turn beside short ones as long as none is evicted for
                    // them.
                    const bool is_new = claim.first_run && now - claim.since < eviction_wait;
                    if (!is_new && !has_unknown_run(shard, job, task)) {
                        waiting.emplace_back(claim, task_key{id, number, stage.step, index});
                    }
                }
            }
        }
    }
    std::sort(waiting.begin(), waiting.end());
    std::set<task_key> without_room; // by stage, as its tasks have the same need
    for (const auto& [claim, key] : waiting) {
        const task_key first{key.job, key.occurrence, key.step, 0};
        if (!without_room.contains(first) &&
            !reserve_for_long_running(shard, shard.tables.jobs.at(key.job),
                                      *find_stage(shard.tables, key), key, now)) {
            without_room.insert(first);
        }
    }
}

std::size_t expire_reservations(shard_state& shard, time_point now) {
    std::size_t open = 0;
    for (auto& [id, worker] : shard.tables.workers) {
        std::erase_if(worker.reserved, [&](const auto& row) {
            if (row.second.until > now) {
                return false;
            }
            if (auto* task = find_task(shard.tables, row.first)) {
                task->reserved_worker.reset();
                task->reservation_expired = true;
            }
            shard.placement_needed = true;
            return true;
        });
        // Room that is held for tasks of other shards has nothing to do with moves.
        open += static_cast<std::size_t>(
            std::count_if(worker.reserved.begin(), worker.reserved.end(), [&](const auto& row) {
                return !shard.room_requests.contains(row.first);
            }));
    }
    return open;
}

} // namespace fulmar
