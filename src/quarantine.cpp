#include "quarantine.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr duration min_quarantine{30'000};
constexpr duration max_quarantine{600'000};

// A single failure is weak evidence against a worker; failures of two different jobs make it
// suspect.
constexpr std::size_t failed_jobs_before_suspicion = 2;

// A faulty worker fails tasks right after their start, so a task that has run for this long doesn't
// delay the next trial.
constexpr duration trial_time{10'000};

template <class T>
bool contains(const std::vector<T>& list, const T& value) {
    return std::ranges::find(list, value) != list.end();
}

void quarantine(cell_worker& worker, time_point now) {
    worker.quarantine_time = std::clamp(2 * worker.quarantine_time, min_quarantine, max_quarantine);
    worker.quarantined_until = now + worker.quarantine_time;
    worker.probing = true;
    worker.failed_jobs.clear();
}

} // namespace

bool record_failure(cell_tables& tables, std::size_t worker, cell_task& task, time_point now) {
    auto& row = tables.workers.at(worker);
    if (!is_unproven(row)) {
        row.failing_since = now;
    }
    if (!contains(task.failed_workers, row.id)) {
        task.failed_workers.push_back(row.id);
        row.charged_failures.push_back(task.id);
    }
    if (!contains(row.failed_jobs, task.id.job)) {
        row.failed_jobs.push_back(task.id.job);
    }
    if (!row.probing && row.failed_jobs.size() < failed_jobs_before_quarantine) {
        return false;
    }
    const bool already = row.quarantined_until && now < *row.quarantined_until;
    if (!already) {
        quarantine(row, now);
    }
    return true;
}

void record_success(cell_tables& tables, std::size_t worker, const cell_task& task) {
    auto& row = tables.workers.at(worker);
    if (is_unproven(row) && task.started < row.failing_since) {
        return;
    }
    row.failed_jobs.clear();
    row.charged_failures.clear();
    row.quarantined_until.reset();
    row.quarantine_time = {};
    row.probing = false;
}

std::string_view find_health_obstacle(const cell_worker& worker, const cell_task& task,
                                      time_point now) {
    if (worker.quarantined_until && now < *worker.quarantined_until) {
        return "quarantined";
    }
    const bool on_trial = worker.trials > 0 && now < worker.last_trial + trial_time;
    if (worker.probing && on_trial) {
        return "quarantined";
    }
    if (contains(task.failed_workers, worker.id)) {
        return "failed_there";
    }
    const bool suspect = worker.failed_jobs.size() >= failed_jobs_before_suspicion;
    if (suspect && (on_trial || contains(worker.failed_jobs, task.id.job))) {
        return "worker_suspect";
    }
    return {};
}

} // namespace fulmar
