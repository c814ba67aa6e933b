// Log lines about long-running tasks that don't run: where each of them waits, in its own shard or
// in the one that borrows it, so that its way through loans can be followed from its id.
#include "shard_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace fulmar {

namespace {

constexpr duration wait_check_interval{1'000};

// A task that waits for less is on its usual way to a worker.
constexpr duration logged_wait{1'500};

// Maximum number of tasks in one check, the longest waits first.
constexpr std::size_t logged_tasks = 6;

struct wait_row {
    duration waited{0};
    task_key key;
    std::string place;
};

// Describes what a task without a run waits for.
std::string describe_place(const shard_state& shard, const job_row& job, const stage_row& stage,
                           const task_row& task, time_point now) {
    const auto loan = shard.tables.loans.find(task.loan);
    if (!is_borrowed(job) && loan != shard.tables.loans.end()) {
        const auto& row = loan->second;
        const bool stored = job.stored_version >= row.version;
        return fmt::format("lent to={} loan={} stored={} accepted={} withdrawn={} in_flight={}",
                           row.to.value, row.number, stored, row.accepted, row.withdrawn,
                           row.in_flight);
    }
    const bool withdrawn =
        std::any_of(job.borrowed.begin(), job.borrowed.end(), [&](const borrowed_tasks& row) {
            return row.loan == task.loan && row.withdrawn;
        });
    if (is_borrowed(job) && (task.loan == 0 || withdrawn)) {
        return {}; // not a task of this shard
    }
    if (is_borrowed(job) && task.result != loan_result::pending) {
        return fmt::format("returned to={} loan={} stored={}", job.lender.value, task.loan,
                           task.result_version <= job.stored_version);
    }
    if (task.not_local) {
        return fmt::format("unstored version={} stored_version={}", job.version,
                           job.stored_version);
    }
    if (!shard.takeover_complete && job.inherited) {
        return "takeover";
    }
    const auto waited = stage.ready_since ? (now - *stage.ready_since).count() : std::int64_t{-1};
    return fmt::format("{} reserved_on={} room_wait_ms={} data_centre_open={} starts_allowed={}",
                       is_borrowed(job) ? "borrowed" : "own",
                       task.reserved_worker ? task.reserved_worker->value : std::string(), waited,
                       shard.data_centre_open, shard.starts_allowed);
}

} // namespace

std::size_t count_waiting_tasks(const shard_state& shard) {
    std::size_t waiting = 0;
    for (const auto& id : shard.active) {
        for (const auto& [number, occurrence] : shard.tables.jobs.at(id).occurrences) {
            for (const auto& stage : occurrence.stages) {
                waiting += stage.open ? stage.waiting.size() : 0;
            }
        }
    }
    return waiting;
}

void log_waiting_tasks(shard_state& shard, time_point now) {
    if (now < shard.next_wait_check) {
        return;
    }
    shard.next_wait_check = now + wait_check_interval;
    std::vector<wait_row> rows;
    std::size_t waiting = 0;
    for (const auto& id : shard.active) {
        auto& job = shard.tables.jobs.at(id);
        for (auto& [number, occurrence] : job.occurrences) {
            for (auto& stage : occurrence.stages) {
                if (!stage.open || !job.spec.steps[stage.step].long_running) {
                    continue;
                }
                for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
                    auto& task = stage.tasks[index];
                    // The wait of a lent task is counted until its borrower reports a result; the
                    // borrower's lines tell whether it runs.
                    const auto loan = shard.tables.loans.find(task.loan);
                    const bool lent = !is_borrowed(job) && loan != shard.tables.loans.end() &&
                                      loan->second.accepted && !loan->second.withdrawn;
                    if (!task.runs.empty() || lent) {
                        task.idle_since.reset();
                        continue;
                    }
                    if (!task.idle_since) {
                        task.idle_since = now;
                    }
                    const auto waited = now - *task.idle_since;
                    if (waited < logged_wait) {
                        continue;
                    }
                    auto place = describe_place(shard, job, stage, task, now);
                    if (!place.empty()) {
                        ++waiting;
                        rows.push_back({waited, {id, number, stage.step, index}, std::move(place)});
                    }
                }
            }
        }
    }
    std::sort(rows.begin(), rows.end(),
              [](const wait_row& a, const wait_row& b) { return a.waited > b.waited; });
    rows.resize(std::min(rows.size(), logged_tasks));
    for (const auto& row : rows) {
        shard.log->write_rare(
            "event=task_waits task={}.{}.{}.{} shard={} waited_ms={} waiting={} place={}",
            row.key.job.value, row.key.occurrence, row.key.step, row.key.index, shard.id.value,
            row.waited.count(), waiting, row.place);
    }
}

} // namespace fulmar
