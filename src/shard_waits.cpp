// Log lines about long-running tasks that don't run: where each of them waits, in its own shard or
// in the one that borrows it, and how long it waited for what once it runs again. A wait is
// followed over changes of owners and loans.
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

// What a task without a run waits for.
struct wait_place {
    wait_cause cause = wait_cause::room;
    std::string text;
};

struct wait_line {
    duration waited{0};
    task_key key;
    wait_place place;
};

std::string describe_takeover(const shard_state& shard, time_point now) {
    std::string terms;
    for (const auto& former : shard.former_owners) {
        terms += fmt::format("{}{}", terms.empty() ? "" : ",", former.term.epoch.value);
    }
    const auto& unreached = shard.unreached_workers;
    return fmt::format("takeover age_ms={} unreached={} example={} former_epochs={}",
                       (now - shard.loaded_at).count(), unreached.size(),
                       unreached.empty() ? std::string() : unreached.begin()->first.value, terms);
}

// Describes what a task without a run waits for; nothing if it isn't a task of this shard.
std::optional<wait_place> find_place(const shard_state& shard, const job_row& job,
                                     const stage_row& stage, const task_row& task, time_point now) {
    const auto loan = shard.tables.loans.find(task.loan);
    if (!is_borrowed(job) && loan != shard.tables.loans.end()) {
        const auto& row = loan->second;
        const bool stored = job.stored_version >= row.version;
        return wait_place{
            wait_cause::loan,
            fmt::format("lent to={} loan={} stored={} accepted={} withdrawn={} in_flight={}",
                        row.to.value, row.number, stored, row.accepted, row.withdrawn,
                        row.in_flight)};
    }
    const bool withdrawn =
        std::any_of(job.borrowed.begin(), job.borrowed.end(), [&](const borrowed_tasks& row) {
            return row.loan == task.loan && row.withdrawn;
        });
    if (is_borrowed(job) && (task.loan == 0 || withdrawn)) {
        return std::nullopt;
    }
    if (is_borrowed(job) && task.result != loan_result::pending) {
        return wait_place{wait_cause::loan,
                          fmt::format("returned to={} loan={} stored={}", job.lender.value,
                                      task.loan, task.result_version <= job.stored_version)};
    }
    if (task.not_local) {
        return wait_place{wait_cause::unstored, fmt::format("unstored version={} stored_version={}",
                                                            job.version, job.stored_version)};
    }
    if (has_unknown_run(shard, job, task)) {
        return wait_place{
            wait_cause::takeover,
            fmt::format("{} recorded_on={} planned_on={}", describe_takeover(shard, now),
                        task.recorded_on ? task.recorded_on->value : "none",
                        task.planned_on.empty() ? "none" : task.planned_on.begin()->value)};
    }
    const bool permitted =
        shard.starts_allowed && shard.data_centre_open && has_authority(shard, now);
    const auto waited = stage.ready_since ? (now - *stage.ready_since).count() : std::int64_t{-1};
    return wait_place{
        permitted ? wait_cause::room : wait_cause::permission,
        fmt::format("{} parked={} reserved_on={} room_wait_ms={} data_centre_open={} "
                    "starts_allowed={}",
                    is_borrowed(job) ? "borrowed" : "own", task.parked,
                    task.reserved_worker ? task.reserved_worker->value : std::string(), waited,
                    shard.data_centre_open, shard.starts_allowed)};
}

std::string describe_parts(const task_wait& wait, duration waited) {
    std::string text;
    duration here{0};
    for (std::size_t cause = 0; cause < wait_causes; ++cause) {
        here += wait.by_cause[cause];
        text += fmt::format(" {}_ms={}", to_string(static_cast<wait_cause>(cause)),
                            wait.by_cause[cause].count());
    }
    return fmt::format("elsewhere_ms={}{}", std::max<std::int64_t>(0, (waited - here).count()),
                       text);
}

// Begins to follow a wait, or continues one that began under an earlier owner or in another shard.
void begin_wait(const shard_state& shard, task_row& task, time_point now) {
    if (task.waiting_since.value == 0) {
        task.waiting_since = shard.wall_clock;
    }
    const duration before{shard.wall_clock.value - task.waiting_since.value};
    task.idle_since = now - std::max(duration(0), before);
}

// Logs the wait of a task that runs now, or that another shard has taken.
void end_wait(shard_state& shard, const task_key& key, task_row& task, time_point now) {
    if (const auto wait = shard.waits.extract(key); !wait.empty() && task.idle_since) {
        const auto waited = now - *task.idle_since;
        if (waited >= logged_wait && !task.runs.empty()) {
            const auto run = shard.tables.runs.find({key, task.runs.back()});
            shard.log->write_rare(
                "event=task_wait_ended task={}.{}.{}.{} run={} worker={} shard={} waited_ms={} {}",
                key.job.value, key.occurrence, key.step, key.index, task.runs.back().value,
                run == shard.tables.runs.end() ? std::string() : run->second.worker.value,
                shard.id.value, waited.count(), describe_parts(wait.mapped(), waited));
        }
    }
    task.idle_since.reset();
    task.waiting_since = {};
}

} // namespace

std::string_view to_string(wait_cause cause) {
    switch (cause) {
    case wait_cause::takeover:
        return "takeover";
    case wait_cause::loan:
        return "loan";
    case wait_cause::unstored:
        return "unstored";
    case wait_cause::permission:
        return "permission";
    case wait_cause::room:
        return "room";
    }
    return "";
}

room_claim find_claim(const shard_state& shard, const stage_row& stage, const task_row& task,
                      time_point now) {
    const bool first_run = task.last_run.value == 0;
    const auto ready = stage.ready_since.value_or(now);
    if (!task.idle_since) {
        return {first_run, std::min(now, std::max(ready, shard.last_wait_check))};
    }
    return {first_run,
            std::min(*task.idle_since, std::max(ready, *task.idle_since - wait_check_interval))};
}

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
    const auto passed =
        shard.last_wait_check == time_point{} ? duration(0) : now - shard.last_wait_check;
    shard.last_wait_check = now;
    shard.next_wait_check = now + wait_check_interval;
    std::erase_if(shard.waits,
                  [&](const auto& row) { return find_task(shard.tables, row.first) == nullptr; });
    std::vector<wait_line> lines;
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
                    const task_key key{id, number, stage.step, index};
                    // The wait of a lent task is counted until its borrower reports a result; the
                    // borrower's lines tell whether it runs.
                    const auto loan = shard.tables.loans.find(task.loan);
                    const bool lent = !is_borrowed(job) && loan != shard.tables.loans.end() &&
                                      loan->second.accepted && !loan->second.withdrawn;
                    if (!task.runs.empty() || lent) {
                        end_wait(shard, key, task, now);
                        continue;
                    }
                    auto place = find_place(shard, job, stage, task, now);
                    if (!place) {
                        continue;
                    }
                    if (!task.idle_since) {
                        begin_wait(shard, task, now);
                    }
                    auto& wait = shard.waits[key];
                    wait.by_cause[static_cast<std::size_t>(place->cause)] +=
                        std::min(passed, now - *task.idle_since);
                    const auto waited = now - *task.idle_since;
                    if (waited >= logged_wait) {
                        ++waiting;
                        lines.push_back({waited, key, std::move(*place)});
                    }
                }
            }
        }
    }
    std::sort(lines.begin(), lines.end(),
              [](const wait_line& a, const wait_line& b) { return a.waited > b.waited; });
    lines.resize(std::min(lines.size(), logged_tasks));
    for (const auto& line : lines) {
        const auto& job = shard.tables.jobs.at(line.key.job);
        const auto& step = job.spec.steps[line.key.step];
        const auto rooms = count_room_for(shard, step.need, job.queue.service, step.label, now);
        shard.log->write_rare(
            "event=task_waits task={}.{}.{}.{} shard={} waited_ms={} waiting={} {} last_run={} "
            "need_cpu={} most_cpu={} rooms={} rooms_unreserved={} place={}",
            line.key.job.value, line.key.occurrence, line.key.step, line.key.index, shard.id.value,
            line.waited.count(), waiting, describe_parts(shard.waits.at(line.key), line.waited),
            find_task(shard.tables, line.key)->last_run.value, step.need.processors.value,
            rooms.most.value, rooms.beside_reservations, rooms.without_reservations,
            line.place.text);
    }
}

} // namespace fulmar
