// Room in other shards for waiting tasks: which shards have room, how much of it is left, and the
// log lines when no shard has any.
#include "bounded_json.hpp"
#include "shard_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace fulmar {

namespace {

// Between two log lines about tasks of one stage that find no room.
constexpr duration room_log_interval{2'000};

// Returns how many tasks with this need fit into free resources, at most loan_tasks.
std::int64_t count_fitting(const resources& need, const resources& free) {
    if (!fits(need, free)) {
        return 0;
    }
    std::int64_t tasks = loan_tasks;
    for (const auto& [wanted, left] :
         {std::pair(need.processors.value, free.processors.value),
          std::pair(need.memory.value, free.memory.value),
          std::pair(need.accelerators.value, free.accelerators.value)}) {
        tasks = wanted > 0 ? std::min(tasks, left / wanted) : tasks;
    }
    return tasks;
}

// Returns how many tasks of a step another shard has room for; 0 if no tasks may be lent to it now.
std::size_t count_room(const lending_room& other, const service_id& service, const step_spec& step,
                       room_kind kind, time_point now) {
    if (!other.available || now < other.no_loans_before) {
        return 0;
    }
    for (const auto& room : other.rooms) {
        if (room.service != service) {
            continue;
        }
        if (step.filler) {
            const auto open = room.undisturbing_rooms.find(step.image);
            const auto left = open == room.undisturbing_rooms.end() ? room.fillers : open->second;
            return static_cast<std::size_t>(std::max<std::int64_t>(0, left) /
                                            std::max<std::int64_t>(1, step.need.processors.value));
        }
        if (uses_long_running_room(step)) {
            std::int64_t tasks = 0;
            for (const auto& free :
                 kind == room_kind::free_now ? room.free_now : room.long_running) {
                tasks += count_fitting(step.need, free);
            }
            return static_cast<std::size_t>(tasks);
        }
        if (!fits(step.need, room.largest)) {
            return 0;
        }
        return static_cast<std::size_t>(std::max<std::int64_t>(
            1, room.free.processors.value / std::max<std::int64_t>(1, step.need.processors.value)));
    }
    return 0;
}

// Deducts the needs of long-running tasks from the workers' rooms.
void deduct_long_running_room(std::vector<resources>& rooms, const resources& need,
                              std::int64_t count) {
    for (auto& free : rooms) {
        for (; count > 0 && fits(need, free); --count) {
            free = free - need;
        }
    }
}

} // namespace

bool uses_long_running_room(const step_spec& step) {
    return step.long_running && !step.gang;
}

void deduct_room(lending_room& other, const service_id& service, const step_spec& step,
                 std::size_t tasks) {
    const auto count = static_cast<std::int64_t>(tasks);
    for (auto& room : other.rooms) {
        if (room.service != service) {
            continue;
        }
        if (step.filler) {
            room.fillers -= step.need.processors.value * count;
            for (auto& [image, open] : room.undisturbing_rooms) {
                open -= step.need.processors.value * count;
            }
        } else if (uses_long_running_room(step)) {
            deduct_long_running_room(room.long_running, step.need, count);
            deduct_long_running_room(room.free_now, step.need, count);
        } else {
            room.free.processors.value -= step.need.processors.value * count;
            room.largest.processors.value -= step.need.processors.value;
        }
    }
}

std::pair<lending_room*, std::size_t> find_borrower(shard_state& shard, const job_row& job,
                                                    const step_spec& step, room_kind kind,
                                                    time_point now) {
    std::pair<lending_room*, std::size_t> best{nullptr, 0};
    for (auto& [id, other] : shard.other_shards) {
        if (uses_long_running_room(step) && now >= other.unasked_until) {
            continue;
        }
        if (const auto room = count_room(other, job.queue.service, step, kind, now);
            room > best.second) {
            best = {&other, room};
        }
    }
    return best;
}

bool has_room_elsewhere(const shard_state& shard, const job_row& job, const step_spec& step,
                        room_kind kind, time_point now) {
    return !is_borrowed(job) &&
           std::any_of(shard.other_shards.begin(), shard.other_shards.end(), [&](const auto& row) {
               return count_room(row.second, job.queue.service, step, kind, now) > 0;
           });
}

void log_no_room(const shard_state& shard, const job_row& job, stage_row& stage, time_point now) {
    if (now < stage.next_room_log) {
        return;
    }
    stage.next_room_log = now + room_log_interval;
    const auto& step = job.spec.steps[stage.step];
    resources largest{};
    for (const auto& [id, worker] : shard.tables.workers) {
        const auto free = free_resources(worker);
        if (accepts_starts(shard, worker, now) && can_run_on(job, stage, worker) &&
            free.processors > largest.processors) {
            largest = free;
        }
    }
    std::string others;
    for (const auto& [id, other] : shard.other_shards) {
        others += fmt::format(" {}:open={}:paused_ms={}", id.value, other.available,
                              std::max<std::int64_t>(0, (other.no_loans_before - now).count()));
        for (const auto& room : other.rooms) {
            if (room.service == job.queue.service) {
                others += fmt::format(":cpu={}:mem={}:acc={}", room.largest.processors.value,
                                      room.largest.memory.value, room.largest.accelerators.value);
            }
        }
    }
    shard.log->write("event=no_room job={} step={} shard={} tasks={} lasting={} need_cpu={} "
                     "need_mem={} need_acc={} label=\"{}\" spread={} free_cpu={} free_mem={} "
                     "free_acc={} others=\"{}\"",
                     job.id.value, stage.step, shard.id.value, stage.waiting.size(),
                     step.long_running, step.need.processors.value, step.need.memory.value,
                     step.need.accelerators.value, make_printable(step.label), step.spread_limit,
                     largest.processors.value, largest.memory.value, largest.accelerators.value,
                     others);
}

} // namespace fulmar
