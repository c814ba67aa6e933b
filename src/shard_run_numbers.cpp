#include "shard_run_numbers.hpp"

#include <algorithm>

namespace fulmar {

namespace {

bool exceeds_reserved_number(const job_row& job, const task_row& task) {
    return task.last_run.value > job.stored_by.value * runs_per_epoch;
}

template <class Job, class Visit>
void visit_tasks(Job& job, const Visit& visit) {
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& stage : occurrence.stages) {
            for (auto& task : stage.tasks) {
                visit(task);
            }
        }
    }
}

} // namespace

run_number next_run(epoch_number epoch, const task_row& task) {
    const auto first = (epoch.value - 1) * runs_per_epoch + 1;
    return {std::max(first, task.last_run.value + 1)};
}

run_number next_run(epoch_number epoch, const std::vector<task_row>& gang) {
    run_number next;
    for (const auto& member : gang) {
        next = std::max(next, next_run(epoch, member));
    }
    return next;
}

bool exceeds_reserved_numbers(const job_row& job) {
    bool found = false;
    visit_tasks(job,
                [&](const task_row& task) { found = found || exceeds_reserved_number(job, task); });
    return found;
}

void skip_used_numbers(job_row& job, epoch_number epoch) {
    if (job.stored_by.value == 0) {
        // No number was beyond those reserved, or an earlier version stored the record.
        job.stored_by = {epoch.value - 1};
    }
    const auto owners = epoch.value - std::min(epoch.value, job.stored_by.value);
    visit_tasks(job, [&](task_row& task) {
        if (exceeds_reserved_number(job, task)) {
            task.last_run.value += owners * runs_per_epoch;
        }
    });
    job.stored_by = epoch;
}

} // namespace fulmar
