// Occurrences of scheduled jobs: each is opened when it is due, or when a run of it is reported.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Clocks of two hosts, or of one before and after it was set, differ by less than this.
constexpr duration clock_difference_limit{60'000};

std::uint32_t count_occurrences(const job_spec& spec) {
    return std::max<std::uint32_t>(1, spec.occurrences);
}

// Returns when an occurrence is due; 0 for that of a job that isn't scheduled.
unix_time find_due_time(const job_spec& spec, std::uint32_t occurrence) {
    return {spec.occurrences == 0 ? 0 : spec.first_due.value + spec.interval.count() * occurrence};
}

occurrence_row& open_next_occurrence(shard_state& shard, job_row& job) {
    const auto number = job.next_occurrence++;
    shard.placement_needed = true;
    return job.occurrences.emplace(number, make_occurrence(job.spec, number)).first->second;
}

// Parks the long-running tasks of an occurrence that certainly have no run.
void park_unstarted(shard_state& shard, job_row& job, occurrence_row& occurrence) {
    bool any = false;
    for (auto& stage : occurrence.stages) {
        if (!records_starts(job.spec.steps[stage.step])) {
            continue;
        }
        for (auto& task : stage.tasks) {
            task.parked = true;
            task.parked_by = shard.epoch;
            task.no_unknown_run = true;
            any = true;
        }
    }
    if (any && job.inherited) {
        record_change(shard, job, false, shard.loaded_at);
    }
}

} // namespace

bool knows_unstored_occurrences(const shard_state& shard, const job_row& job) {
    return !job.inherited || shard.takeover_complete || job.starts_recorded;
}

void open_due_occurrences(shard_state& shard, job_row& job, unix_time unix_now) {
    if (is_borrowed(job)) {
        return; // the lender decides which tasks run here
    }
    while (job.next_occurrence < count_occurrences(job.spec) &&
           find_due_time(job.spec, job.next_occurrence) <= unix_now) {
        auto& opened = open_next_occurrence(shard, job);
        if (knows_unstored_occurrences(shard, job)) {
            park_unstarted(shard, job, opened);
        }
    }
}

void open_reported_occurrence(shard_state& shard, const task_key& key, unix_time unix_now) {
    const auto found = shard.tables.jobs.find(key.job);
    if (found == shard.tables.jobs.end()) {
        return;
    }
    auto& job = found->second;
    if (is_borrowed(job) || has_ended(job.phase) || key.occurrence < job.next_occurrence ||
        key.occurrence >= count_occurrences(job.spec)) {
        return;
    }
    const auto due = find_due_time(job.spec, key.occurrence);
    if (due.value - unix_now.value > clock_difference_limit.count()) {
        return;
    }
    shard.log->write("event=occurrence_opened_by_report job={} occurrence={} due_in_ms={}",
                     key.job.value, key.occurrence, due.value - unix_now.value);
    while (job.next_occurrence <= key.occurrence) {
        open_next_occurrence(shard, job);
    }
}

} // namespace fulmar
