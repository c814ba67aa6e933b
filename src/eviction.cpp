#include "eviction.hpp"

#include "quarantine.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Duration of a reservation. A checkpoint and the next sync take a few seconds at most.
constexpr duration eviction_time{10'000};

constexpr double restart_cost = 1.0;
constexpr double near_end_cost = 2.0;
constexpr double near_deadline_cost = 4.0;
constexpr duration near_deadline{120'000};
constexpr double near_end_fraction = 0.8; // of the expected run time

struct victim {
    cell_task* task = nullptr;
    double cost = 0.0;
};

// Expected run time of a task, corrected by the learned ratio of its class; 0 means unknown.
double expected_run_ms(const cell_tables& tables, const cell_task& task, const cell_job& job) {
    return static_cast<double>(job.record.run_ms) * tables.classes[task.class_index].run_factor;
}

// Lists the tasks that may be evicted, by worker.
std::vector<std::vector<victim>> list_victims(cell_tables& tables, time_point now) {
    std::vector<std::vector<victim>> victims(tables.workers.size());
    for (auto& [id, task] : tables.tasks) {
        if (task.phase != task_phase::running) {
            continue;
        }
        if (const auto cost = eviction_cost(tables, task, now)) {
            victims[task.worker].push_back({&task, *cost});
        }
    }
    return victims;
}

// Returns the fraction of the missing resources that the eviction of a task frees, summed over the
// kinds of resources.
double relief(const cell_task& task, const resources& missing) {
    const auto part = [](std::int64_t freed, std::int64_t wanted) {
        return wanted <= 0
                   ? 0.0
                   : std::min(1.0, static_cast<double>(freed) / static_cast<double>(wanted));
    };
    return part(task.need.processors.value, missing.processors.value) +
           part(task.need.memory.value, missing.memory.value) +
           part(task.need.accelerators.value, missing.accelerators.value);
}

bool is_covered(const resources& missing) {
    return missing.processors.value <= 0 && missing.memory.value <= 0 &&
           missing.accelerators.value <= 0;
}

// Removes tasks that the rest of the set makes unnecessary, the most expensive first.
void remove_unneeded_victims(std::vector<victim>& chosen, resources missing) {
    std::ranges::sort(chosen, std::greater{}, &victim::cost);
    std::erase_if(chosen, [&](const victim& each) {
        const resources without = missing + each.task->need;
        if (!is_covered(without)) {
            return false;
        }
        missing = without;
        return true;
    });
}

// Chooses tasks greedily by relief per cost. Returns nothing when the tasks can't free enough or
// their cost can't beat `limit`.
std::optional<eviction_plan> plan_on_worker(std::size_t worker, std::vector<victim> candidates,
                                            resources missing, double limit) {
    std::vector<victim> chosen;
    double cost = 0.0;
    while (!is_covered(missing)) {
        const auto value = [&](const victim& each) {
            return relief(*each.task, missing) / each.cost;
        };
        const auto best = std::ranges::max_element(candidates, {}, value);
        if (best == candidates.end() || value(*best) <= 0.0) {
            return std::nullopt;
        }
        chosen.push_back(*best);
        cost += best->cost;
        missing = missing - best->task->need;
        *best = candidates.back();
        candidates.pop_back();
        // Unneeded tasks may be removed later, so this bound is loose.
        if (cost > 2 * limit) {
            return std::nullopt;
        }
    }
    remove_unneeded_victims(chosen, missing);
    eviction_plan plan{worker, 0.0, {}};
    for (const auto& each : chosen) {
        plan.cost += each.cost;
        plan.tasks.push_back(each.task);
    }
    return plan;
}

// Returns whether the worker is reserved for some task.
bool is_reserved(const cell_worker& worker, time_point now) {
    return worker.reserved_for && now < worker.reserved_until;
}

} // namespace

std::optional<double> eviction_cost(const cell_tables& tables, const cell_task& task,
                                    time_point now) {
    const auto job = tables.jobs.find(task.id.job);
    if (job == tables.jobs.end()) {
        return std::nullopt;
    }
    const auto& record = job->second.record;
    // A task that must not run twice is not evicted, because its checkpoint may be lost.
    if (record.kind != job_kind::batch || record.urgent || !record.idempotent) {
        return std::nullopt;
    }
    double cost = restart_cost;
    const double expected = expected_run_ms(tables, task, job->second);
    if (static_cast<double>((now - task.started).count()) > near_end_fraction * expected) {
        cost += near_end_cost;
    }
    const auto unix_now = now.time_since_epoch().count() + tables.unix_offset_ms;
    if (record.deadline_unix_ms > 0 && record.deadline_unix_ms - unix_now < near_deadline.count()) {
        cost += near_deadline_cost;
    }
    return cost;
}

std::optional<eviction_plan> plan_eviction(cell_tables& tables, const cell_task& urgent,
                                           time_point now) {
    const auto victims = list_victims(tables, now);
    std::optional<eviction_plan> best;
    for (std::size_t i = 0; i < tables.workers.size(); ++i) {
        const auto& worker = tables.workers[i];
        const bool usable = worker.inventoried && fits(urgent.need, worker.capacity) &&
                            !is_reserved(worker, now) &&
                            find_health_obstacle(worker, urgent, now).empty();
        if (!usable) {
            continue;
        }
        const resources missing = urgent.need - (worker.capacity - worker.committed);
        const double limit = best ? best->cost : 1e9;
        auto plan = plan_on_worker(i, victims[i], missing, limit);
        if (plan && (!best || plan->cost < best->cost)) {
            best = std::move(plan);
        }
    }
    return best;
}

bool has_reservation(const cell_tables& tables, const cell_task& task, time_point now) {
    return std::ranges::any_of(tables.workers, [&](const cell_worker& worker) {
        return is_reserved(worker, now) && worker.reserved_for == task.id;
    });
}

void reserve_for(cell_tables& tables, const eviction_plan& plan, const cell_task& urgent,
                 time_point now) {
    auto& worker = tables.workers.at(plan.worker);
    worker.reserved_for = urgent.id;
    worker.reserved_until = now + eviction_time;
}

} // namespace fulmar
