// Order in which jobs get room when more work arrives than can end in time. In order of arrival,
// every job would then wait until it is late; instead, jobs that can still end in time go first.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Estimates are wrong by up to half of their value. So a job counts as late only if even this
// fraction of its remaining work doesn't fit into its objective.
constexpr double min_work_factor = 0.6;

// A job that ends within this many times its objective is late; after that it is overdue, and no
// caller waits for it any more.
constexpr double late_limit = 3.0;

// Returns for each step the longest total estimate of a path through it and its dependents. Steps
// depend on earlier ones only.
std::vector<duration> find_longest_paths(const job_spec& spec) {
    std::vector<duration> longest_paths(spec.steps.size(), duration(0));
    for (std::size_t step = spec.steps.size(); step-- > 0;) {
        longest_paths[step] += spec.steps[step].estimate;
        for (const auto before : spec.steps[step].after) {
            longest_paths[before] = std::max(longest_paths[before], longest_paths[step]);
        }
    }
    return longest_paths;
}

// Returns the remaining part, 0 to 1, of the stage's task with the least progress.
double remaining_part(const shard_state& shard, const job_row& job, const stage_row& stage) {
    double least = 1.0;
    for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
        const auto& task = stage.tasks[index];
        if (task.done) {
            continue;
        }
        if (task.runs.empty()) {
            return 1.0;
        }
        const run_key key{{job.id, stage.occurrence, stage.step, index}, task.runs.back()};
        const auto run = shard.tables.runs.find(key);
        least = std::min(
            least, run == shard.tables.runs.end() ? 0.0 : run->second.progress_percent / 100.0);
    }
    return 1.0 - least;
}

// Returns the time for the rest of a job's work if nothing has to wait.
duration remaining_work(const shard_state& shard, const job_row& job,
                        const std::vector<duration>& longest_paths) {
    duration longest{0};
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& stage : occurrence.stages) {
            const auto& step = job.spec.steps[stage.step];
            if (!stage.open || stage.done == step.count) {
                continue;
            }
            const auto done = step.estimate * (1.0 - remaining_part(shard, job, stage));
            const auto left =
                longest_paths[stage.step] - std::chrono::duration_cast<duration>(done);
            longest = std::max(longest, left);
        }
    }
    return longest;
}

} // namespace

std::string_view to_string(timeliness expected) {
    switch (expected) {
    case timeliness::in_time:
        return "in_time";
    case timeliness::late:
        return "late";
    case timeliness::overdue:
        return "overdue";
    }
    return "";
}

timeliness predict_timeliness(const shard_state& shard, const job_row& job) {
    const bool timed = job.spec.occurrences > 0;
    const bool long_running = std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                                          [](const step_spec& step) { return step.long_running; });
    if (timed || long_running) {
        return timeliness::in_time;
    }
    const auto longest_paths = find_longest_paths(job.spec);
    const auto objective =
        std::chrono::duration_cast<duration>(
            *std::max_element(longest_paths.begin(), longest_paths.end()) * job.queue.stretch) +
        job.queue.objective;
    const duration elapsed{shard.wall_clock.value - job.accepted.value};
    const auto end = elapsed + std::chrono::duration_cast<duration>(
                                   remaining_work(shard, job, longest_paths) * min_work_factor);
    if (end <= objective) {
        return timeliness::in_time;
    }
    return end <= objective * late_limit ? timeliness::late : timeliness::overdue;
}

} // namespace fulmar
