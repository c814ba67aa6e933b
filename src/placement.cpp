#include "placement.hpp"

#include <algorithm>
#include <tuple>

namespace fulmar {

namespace {

// Remaining share of the scarcest resource after a placement; higher is better.
double headroom_after(const worker_row& worker, const resources& need) {
    const resources left = worker.capacity - worker.committed - need;
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    return std::min(share(left.processors.value, worker.capacity.processors.value),
                    share(left.memory.value, worker.capacity.memory.value));
}

} // namespace

std::size_t choose_worker(const cell_tables& tables, const task_row& task, time_point now) {
    std::size_t best = no_worker;
    std::tuple<std::int64_t, double> best_score;
    for (std::size_t i = 0; i < tables.workers.size(); ++i) {
        const auto& worker = tables.workers[i];
        if (!worker.inventoried || !worker.reachable ||
            !fits(task.need, worker.capacity - worker.committed)) {
            continue;
        }
        if (worker.quarantined_until && now < *worker.quarantined_until) {
            continue;
        }
        // Tasks without accelerators leave workers with free accelerators to those that need them.
        const std::int64_t wasted =
            task.need.accelerators.value > 0
                ? 0
                : worker.capacity.accelerators.value - worker.committed.accelerators.value;
        const std::tuple score{-wasted, headroom_after(worker, task.need)};
        if (best == no_worker || score > best_score) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

std::vector<task_row*> order_waiting(cell_tables& tables, time_point /*now*/) {
    std::vector<task_row*> waiting;
    for (auto& [id, task] : tables.tasks) {
        if (task.phase == task_phase::waiting) {
            waiting.push_back(&task);
        }
    }
    const auto rank = [&](const task_row* task) {
        const auto& record = tables.jobs.at(task->id.job).record;
        const auto deadline = record.deadline_unix_ms == 0
                                  ? std::numeric_limits<std::int64_t>::max()
                                  : record.deadline_unix_ms;
        return std::tuple{!record.urgent, deadline, task->waiting_since};
    };
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&](const task_row* a, const task_row* b) { return rank(a) < rank(b); });
    return waiting;
}

} // namespace fulmar
