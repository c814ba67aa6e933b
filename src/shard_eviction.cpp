// Eviction of short tasks for long-running ones that have waited for long: these have to run again
// within seconds, however full the workers are. Evicted tasks wait and start again, from their
// checkpoints if they save any; a stop uses up no attempt.
#include "shard_internal.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace fulmar {

namespace {

constexpr duration check_interval{100};

// Reservations end with longer pauses of their workers.
constexpr duration short_pause{1'000};

// Part of a run's time that counts as lost if its step saves checkpoints.
constexpr double unsaved_part = 0.1;

// Processors, memory and accelerators.
using amounts = std::array<std::int64_t, 3>;

amounts to_amounts(const resources& from) {
    return {from.processors.value, from.memory.value, from.accelerators.value};
}

resources add(const resources& a, const resources& b) {
    return {{a.processors.value + b.processors.value},
            {a.memory.value + b.memory.value},
            {a.accelerators.value + b.accelerators.value}};
}

// Returns what a run's end makes free. Fillers run on processors that count as free.
resources find_freed(const run_row& run) {
    auto freed = run.need;
    if (run.filler) {
        freed.processors.value = 0;
    }
    return freed;
}

struct victim {
    const run_row* run = nullptr;
    std::int32_t priority = 0;
    resources freed;
    double lost = 0;
    double lost_per_use = 0;
};

// Returns the part of what is wanted that `freed` covers, from 0 to 3.
double find_use(const resources& freed, const resources& wanted) {
    const auto have = to_amounts(freed);
    const auto need = to_amounts(wanted);
    double use = 0;
    for (std::size_t i = 0; i < need.size(); ++i) {
        if (need[i] > 0) {
            use += static_cast<double>(std::min(have[i], need[i])) / static_cast<double>(need[i]);
        }
    }
    return use;
}

std::vector<victim> find_victims(const shard_state& shard, const worker_row& worker,
                                 const resources& wanted, std::int32_t priority, time_point now) {
    std::vector<victim> victims;
    for (const auto* run : worker.run_rows) {
        const auto job = shard.tables.jobs.find(run->key.task.job);
        if (run->phase != run_phase::running || !run->confirmed || run->long_running ||
            job == shard.tables.jobs.end() || job->second.queue.priority < priority ||
            run->key.task.step >= job->second.spec.steps.size()) {
            continue;
        }
        const auto& step = job->second.spec.steps[run->key.task.step];
        if (step.long_running || step.gang || step.max_unavailable > 0) {
            continue;
        }
        victim row{run, job->second.queue.priority, find_freed(*run), 0, 0};
        const auto use = find_use(row.freed, wanted);
        if (use <= 0) {
            continue;
        }
        row.lost = static_cast<double>(run->need.processors.value) *
                   static_cast<double>((now - run->start_sent).count()) *
                   (step.checkpoints ? unsaved_part : 1);
        row.lost_per_use = row.lost / use;
        victims.push_back(row);
    }
    std::sort(victims.begin(), victims.end(), [](const victim& a, const victim& b) {
        return std::tuple(-a.priority, a.lost_per_use, a.run->key) <
               std::tuple(-b.priority, b.lost_per_use, b.run->key);
    });
    return victims;
}

// A reserved room for which runs may be evicted.
struct eviction_cause {
    std::int32_t priority = 0;
    duration waited{0};
};

// Returns for which reserved room runs may be evicted now, or nothing.
std::optional<eviction_cause> find_cause(shard_state& shard, const worker_row& worker,
                                         const task_key& key,
                                         const worker_row::reservation& reservation,
                                         time_point now) {
    const auto& id = worker.entry.target.id;
    if (const auto found = shard.room_requests.find(key);
        found != shard.room_requests.end() && found->second.worker == id) {
        const auto& request = found->second;
        const auto waited = now - request.claim.since;
        return request.evict && waited >= eviction_wait
                   ? std::optional(eviction_cause{request.priority, waited})
                   : std::nullopt;
    }
    const auto* stage = find_stage(shard.tables, key);
    const auto* task = find_task(shard.tables, key);
    if (task == nullptr || task->reserved_worker != id || !stage->waiting.contains(key.index)) {
        return std::nullopt;
    }
    const auto& job = shard.tables.jobs.at(key.job);
    const auto waited = now - std::min(reservation.since, task->idle_since.value_or(now));
    if (!job.spec.steps[key.step].long_running || waited < eviction_wait ||
        has_unknown_run(shard, job, *task)) {
        return std::nullopt;
    }
    const auto chosen = shard.evicting_shards.find(key);
    if (chosen != shard.evicting_shards.end() && chosen->second.until > now &&
        chosen->second.shard != shard.id) {
        return std::nullopt;
    }
    return eviction_cause{job.queue.priority, waited};
}

void evict(shard_state& shard, worker_row& worker, const task_key& key, const eviction_plan& plan,
           const eviction_cause& cause, time_point now) {
    for (const auto& run : plan.runs) {
        request_stop(shard.tables.runs.at(run), stop_cause::evicted, now);
        shard.counters->count("runs_evicted");
        shard.log->write("event=run_evicted task={}.{}.{}.{} run={} worker={} for={}.{}.{}.{} "
                         "waited_ms={} freed_cpu={} freed_mem={}",
                         run.task.job.value, run.task.occurrence, run.task.step, run.task.index,
                         run.number.value, worker.entry.target.id.value, key.job.value,
                         key.occurrence, key.step, key.index, cause.waited.count(),
                         plan.freed.processors.value, plan.freed.memory.value);
    }
    if (const auto request = shard.room_requests.find(key); request != shard.room_requests.end()) {
        request->second.reserved_at = now;
        return;
    }
    if (!is_borrowed(shard.tables.jobs.at(key.job))) {
        shard.evicting_shards[key] = {shard.id, now + eviction_turn};
    }
}

// Evicts runs on one worker for its reservations, in the order in which these are used.
void evict_on_worker(shard_state& shard, worker_row& worker, time_point now) {
    std::vector<std::pair<time_point, task_key>> order;
    for (const auto& [key, reservation] : worker.reserved) {
        order.emplace_back(reservation.since, key);
    }
    std::sort(order.begin(), order.end());
    auto missing = worker.committed - worker.entry.capacity - find_room_of_stopping_runs(worker);
    for (const auto& [since, key] : order) {
        auto& reservation = worker.reserved.at(key);
        missing = add(missing, reservation.need);
        const auto cause = find_cause(shard, worker, key, reservation, now);
        if (!cause || fits(missing, {})) {
            continue;
        }
        const auto plan = plan_eviction(shard, worker, missing, cause->priority, now);
        if (!plan) {
            continue;
        }
        evict(shard, worker, key, *plan, *cause, now);
        missing = missing - plan->freed;
    }
    if (!is_evicting(worker)) {
        return;
    }
    for (const auto& [since, key] : order) {
        // The rooms of requests end if these aren't repeated.
        if (!shard.room_requests.contains(key)) {
            auto& reservation = worker.reserved.at(key);
            reservation.until = std::max(reservation.until, now + reservation_time);
        }
    }
}

} // namespace

resources find_room_of_stopping_runs(const worker_row& worker) {
    resources room{};
    for (const auto* run : worker.run_rows) {
        if (ends_soon(*run)) {
            room = add(room, find_freed(*run));
        }
    }
    return room;
}

bool is_evicting(const worker_row& worker) {
    return std::any_of(worker.run_rows.begin(), worker.run_rows.end(), [](const run_row* run) {
        return run->phase == run_phase::stopping && run->cause == stop_cause::evicted;
    });
}

bool keeps_reservations(const shard_state& shard, const worker_row& worker, time_point now) {
    return worker.reachability == reachability_state::reachable && worker.inventoried &&
           is_usable(shard, worker) && worker.no_starts_before <= now + short_pause;
}

std::optional<eviction_plan> plan_eviction(const shard_state& shard, const worker_row& worker,
                                           const resources& wanted, std::int32_t priority,
                                           time_point now) {
    const auto victims = find_victims(shard, worker, wanted, priority, now);
    std::vector<const victim*> chosen;
    resources freed{};
    for (const auto& row : victims) {
        if (fits(wanted, freed)) {
            break;
        }
        if (find_use(row.freed, wanted - freed) > 0) {
            chosen.push_back(&row);
            freed = add(freed, row.freed);
        }
    }
    if (!fits(wanted, freed)) {
        return std::nullopt;
    }
    eviction_plan plan;
    // Later ones may have made earlier ones unnecessary. The last ones are the dearest.
    std::reverse(chosen.begin(), chosen.end());
    for (const auto* row : chosen) {
        if (const auto without = freed - row->freed; fits(wanted, without)) {
            freed = without;
            continue;
        }
        plan.runs.push_back(row->run->key);
        plan.lost += row->lost;
    }
    plan.freed = freed;
    return plan;
}

void evict_for_reservations(shard_state& shard, time_point now) {
    if (now < shard.next_eviction_check) {
        return;
    }
    shard.next_eviction_check = now + check_interval;
    if (!shard.starts_allowed || !shard.data_centre_open || shard.releasing ||
        !has_authority(shard, now)) {
        return;
    }
    for (auto& [id, worker] : shard.tables.workers) {
        if (!worker.reserved.empty() && keeps_reservations(shard, worker, now)) {
            evict_on_worker(shard, worker, now);
        }
    }
}

} // namespace fulmar
