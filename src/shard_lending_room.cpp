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

// Returns how many tasks of a step an owner of an earlier version has room for, which publishes the
// room of one worker only.
std::size_t count_largest(const service_room& room, const step_spec& step) {
    if (!fits(step.need, room.largest)) {
        return 0;
    }
    return static_cast<std::size_t>(std::max<std::int64_t>(
        1, room.free.processors.value / std::max<std::int64_t>(1, step.need.processors.value)));
}

std::size_t count_filler_room(const service_room& room, const step_spec& step) {
    const auto open = room.undisturbing_rooms.find(step.image);
    const auto left = open == room.undisturbing_rooms.end() ? room.fillers : open->second;
    return static_cast<std::size_t>(std::max<std::int64_t>(0, left) /
                                    std::max<std::int64_t>(1, step.need.processors.value));
}

std::size_t count_long_running_room(const service_room& room, const step_spec& step,
                                    room_kind kind) {
    std::int64_t tasks = 0;
    for (const auto& free : kind == room_kind::free_now ? room.free_now : room.long_running) {
        tasks += std::min<std::int64_t>(loan_tasks, count_fitting(step.need, free));
    }
    return static_cast<std::size_t>(tasks);
}

// Returns what another shard published for a service, or nullptr.
const service_room* find_published(const lending_room& other, const service_id& service) {
    const auto found =
        std::find_if(other.rooms.begin(), other.rooms.end(),
                     [&](const service_room& row) { return row.service == service; });
    return found == other.rooms.end() ? nullptr : &*found;
}

// Returns whether a shard refused tasks lately that need as much as those of a step, or less.
bool has_refused(const lending_room& other, const service_id& service, const step_spec& step,
                 time_point now) {
    return std::any_of(
        other.refused.begin(), other.refused.end(), [&](const lending_room::refused_need& row) {
            return now < row.until && row.service == service && row.label == step.label &&
                   row.gang == step.gang && fits(row.need, step.need);
        });
}

// Returns how many tasks of a stage are lent to another shard.
std::size_t count_lent(const shard_state& shard, const job_row& job, const stage_row& stage,
                       const shard_id& to) {
    std::size_t tasks = 0;
    for (const auto& [number, borrower] : job.loans) {
        const auto loan = shard.tables.loans.find(number);
        if (borrower == to && loan != shard.tables.loans.end() &&
            loan->second.occurrence == stage.occurrence && loan->second.step == stage.step) {
            tasks += loan->second.tasks.size();
        }
    }
    return tasks;
}

// Returns how many tasks of a stage another shard has room for; 0 if none may be lent to it now.
std::size_t count_room(const shard_state& shard, const lending_room& other, const job_row& job,
                       const stage_row& stage, room_kind kind, time_point now) {
    const auto& step = job.spec.steps[stage.step];
    const auto* room = find_published(other, job.queue.service);
    if (room == nullptr || !other.available || now < other.no_loans_before ||
        !could_run_there(other, job.queue.service, step, now)) {
        return 0;
    }
    if (uses_long_running_room(step)) {
        return count_long_running_room(*room, step, kind);
    }
    const bool known = !room->classes.empty();
    if (!known) {
        return step.filler ? count_filler_room(*room, step) : count_largest(*room, step);
    }
    const auto present = step.spread_limit > 0 ? count_lent(shard, job, stage, other.shard) : 0;
    const auto tasks = count_room_for(room->classes, other.racks, step, present);
    return step.filler ? std::min(tasks, count_filler_room(*room, step)) : tasks;
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
        deduct_tasks(room.classes, other.racks, step, tasks);
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
                                                    const stage_row& stage, room_kind kind,
                                                    time_point now) {
    std::pair<lending_room*, std::size_t> best{nullptr, 0};
    const bool requests_room = uses_long_running_room(job.spec.steps[stage.step]);
    for (auto& [id, other] : shard.other_shards) {
        if (requests_room && now >= other.unasked_until) {
            continue;
        }
        if (const auto room = count_room(shard, other, job, stage, kind, now); room > best.second) {
            best = {&other, room};
        }
    }
    return best;
}

bool could_run_there(const lending_room& other, const service_id& service, const step_spec& step,
                     time_point now) {
    const auto* room = find_published(other, service);
    const bool known = room != nullptr && !room->classes.empty();
    return !has_refused(other, service, step, now) &&
           (!known || could_run(room->classes, other.racks, step));
}

bool has_room_elsewhere(const shard_state& shard, const job_row& job, const stage_row& stage,
                        room_kind kind, time_point now) {
    return !is_borrowed(job) &&
           std::any_of(shard.other_shards.begin(), shard.other_shards.end(), [&](const auto& row) {
               return count_room(shard, row.second, job, stage, kind, now) > 0;
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
    const auto search = inspect_rooms(shard, job, stage, now);
    shard.log->write(
        "event=no_room job={} step={} shard={} tasks={} lasting={} stranded={} waited_ms={} "
        "workers={} serving={} fitting={} paced_out={} best_pace={:.2f} min_pace={:.2f} "
        "most_cpu_serving={} most_cpu_elsewhere={} "
        "need_cpu={} need_mem={} need_acc={} label=\"{}\" spread={} free_cpu={} free_mem={} "
        "free_acc={} others=\"{}\"",
        job.id.value, stage.step, shard.id.value, stage.waiting.size(), step.long_running,
        is_stranded(shard, job, stage), stage.ready_since ? (now - *stage.ready_since).count() : 0,
        search.workers, search.serving, search.fitting, search.paced_out, search.best_pace,
        search.min_pace, search.most_beside_serving.value, search.most_elsewhere.value,
        step.need.processors.value, step.need.memory.value, step.need.accelerators.value,
        make_printable(step.label), step.spread_limit, largest.processors.value,
        largest.memory.value, largest.accelerators.value, others);
}

} // namespace fulmar
