// Order of jobs for room. The pattern it answers: more work arrives than can end in time. In order
// of arrival every job then waits until it is late; here those that can still be in time go first.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Estimates are off by up to half of their value, so a job counts as too late only when this part
// of what is left doesn't fit any more.
constexpr double certain_part = 0.6;

// A job that ends within this many objectives is late; after that nobody waits for it.
constexpr double late_limit = 3.0;

// Returns the longest chain of work from a step on.
duration chain_from(const job_spec& spec, std::uint32_t step) {
    duration longest{0};
    for (std::uint32_t next = step + 1; next < spec.steps.size(); ++next) {
        const auto& after = spec.steps[next].after;
        if (std::find(after.begin(), after.end(), step) != after.end()) {
            longest = std::max(longest, chain_from(spec, next));
        }
    }
    return spec.steps[step].estimate + longest;
}

// Returns the part of a stage's longest task that is left, 0 to 1.
double part_left(const shard_state& shard, const job_row& job, const stage_row& stage) {
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
        least = std::min(least, run == shard.tables.runs.end() ? 0.0 : run->second.percent / 100.0);
    }
    return 1.0 - least;
}

// Returns the time that the rest of a job's work takes when nothing waits.
duration work_left(const shard_state& shard, const job_row& job) {
    duration longest{0};
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& stage : occurrence.stages) {
            const auto& step = job.spec.steps[stage.step];
            if (!stage.open || stage.done == step.count) {
                continue;
            }
            const auto done = step.estimate * (1.0 - part_left(shard, job, stage));
            const auto left =
                chain_from(job.spec, stage.step) - std::chrono::duration_cast<duration>(done);
            longest = std::max(longest, left);
        }
    }
    return longest;
}

} // namespace

duration objective_of(const job_row& job) {
    duration longest{0};
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        longest = std::max(longest, chain_from(job.spec, step));
    }
    return std::chrono::duration_cast<duration>(longest * job.queue.stretch) + job.queue.objective;
}

hope find_hope(const shard_state& shard, const job_row& job) {
    const bool timed = job.spec.occurrences > 0;
    const bool lasting = std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                                     [](const step_spec& step) { return step.lasting; });
    if (timed || lasting) {
        return hope::in_time;
    }
    const auto objective = objective_of(job);
    const duration passed{shard.wall_clock.value - job.accepted.value};
    const auto end =
        passed + std::chrono::duration_cast<duration>(work_left(shard, job) * certain_part);
    if (end <= objective) {
        return hope::in_time;
    }
    return end <= objective * late_limit ? hope::late : hope::overdue;
}

} // namespace fulmar
