#include "shard_tables.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace fulmar {

std::string_view to_string(run_phase phase) {
    switch (phase) {
    case run_phase::starting:
        return "starting";
    case run_phase::running:
        return "running";
    case run_phase::unconfirmed:
        return "unsure";
    case run_phase::stopping:
        return "stopping";
    }
    return "";
}

stage_row* find_stage(shard_tables& tables, const task_key& key) {
    const auto job = tables.jobs.find(key.job);
    if (job == tables.jobs.end()) {
        return nullptr;
    }
    const auto occurrence = job->second.occurrences.find(key.occurrence);
    if (occurrence == job->second.occurrences.end() ||
        key.step >= occurrence->second.stages.size()) {
        return nullptr;
    }
    return &occurrence->second.stages[key.step];
}

task_row* find_task(shard_tables& tables, const task_key& key) {
    auto* stage = find_stage(tables, key);
    return stage != nullptr && key.index < stage->tasks.size() ? &stage->tasks[key.index] : nullptr;
}

namespace {

// Returns the position of a run, or of the first one after it, in a worker's rows.
std::vector<run_row*>::iterator find_row(worker_row& worker, const run_key& key) {
    return std::lower_bound(
        worker.run_rows.begin(), worker.run_rows.end(), key,
        [](const run_row* row, const run_key& wanted) { return row->key < wanted; });
}

} // namespace

run_row& add_run(shard_tables& tables, run_row run) {
    auto* stage = find_stage(tables, run.key.task);
    auto& worker = tables.workers.at(run.worker);
    if (stage != nullptr) {
        auto& task = stage->tasks[run.key.task.index];
        task.runs.push_back(run.key.number);
        task.last_run = std::max(task.last_run, run.key.number);
        drop_reservation(tables, run.key.task);
        task.reservation_expired = false;
        task.no_run_since.reset();
        stage->waiting.erase(run.key.task.index);
        ++stage->runs_by_worker[run.worker];
    }
    worker.runs.insert(run.key);
    worker.committed.memory.value += run.need.memory.value;
    worker.committed.accelerators.value += run.need.accelerators.value;
    (run.filler ? worker.filler_demand : worker.committed.processors.value) +=
        run.need.processors.value;
    const auto [row, added] = tables.runs.emplace(run.key, std::move(run));
    assert(added);
    worker.run_rows.insert(find_row(worker, row->first), &row->second);
    return row->second;
}

void remove_run(shard_tables& tables, const run_key& key) {
    const auto found = tables.runs.find(key);
    assert(found != tables.runs.end());
    auto& worker = tables.workers.at(found->second.worker);
    worker.run_rows.erase(find_row(worker, key));
    const run_row run = std::move(found->second);
    tables.runs.erase(found);
    worker.runs.erase(run.key);
    ++worker.releases;
    worker.committed.memory.value -= run.need.memory.value;
    worker.committed.accelerators.value -= run.need.accelerators.value;
    (run.filler ? worker.filler_demand : worker.committed.processors.value) -=
        run.need.processors.value;
    auto* stage = find_stage(tables, key.task);
    if (stage == nullptr) {
        return;
    }
    if (run.filler && run.confirmed && run.phase != run_phase::stopping) {
        tables.ended_fillers.push_back({key.task.job, run.worker, run.need, run.image});
    }
    auto& task = stage->tasks[key.task.index];
    std::erase(task.runs, key.number);
    if (!task.done && !task.not_local && task.runs.empty()) {
        stage->waiting.insert(key.task.index);
    }
    const auto runs_by_worker = stage->runs_by_worker.find(run.worker);
    if (runs_by_worker != stage->runs_by_worker.end() && --runs_by_worker->second == 0) {
        stage->runs_by_worker.erase(runs_by_worker);
    }
}

void drop_reservation(shard_tables& tables, const task_key& key) {
    auto* task = find_task(tables, key);
    if (task == nullptr || !task->reserved_worker) {
        return;
    }
    if (const auto worker = tables.workers.find(*task->reserved_worker);
        worker != tables.workers.end()) {
        worker->second.reserved.erase(key);
        ++worker->second.releases;
    }
    task->reserved_worker.reset();
}

void drop_reservations(shard_tables& tables, worker_row& worker) {
    while (!worker.reserved.empty()) {
        const auto key = worker.reserved.begin()->first;
        if (auto* task = find_task(tables, key); task != nullptr) {
            task->reserved_worker.reset();
        }
        worker.reserved.erase(key);
        ++worker.releases;
    }
}

occurrence_row make_occurrence(const job_spec& spec, std::uint32_t number) {
    occurrence_row made;
    made.number = number;
    made.stages.resize(spec.steps.size());
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        auto& stage = made.stages[step];
        stage.occurrence = number;
        stage.step = step;
        stage.tasks.resize(spec.steps[step].count);
        for (std::uint32_t index = 0; index < spec.steps[step].count; ++index) {
            stage.waiting.insert(stage.waiting.end(), index);
        }
    }
    open_stages(spec, made);
    return made;
}

stage_row& find_borrowed_stage(job_row& job, std::uint32_t occurrence, std::uint32_t step) {
    const auto [row, added] = job.occurrences.try_emplace(occurrence);
    if (added) {
        row->second = make_occurrence(job.spec, occurrence);
        for (auto& stage : row->second.stages) {
            stage.waiting.clear();
            for (auto& task : stage.tasks) {
                task.not_local = true;
            }
        }
    }
    auto& stage = row->second.stages.at(step);
    stage.open = true;
    return stage;
}

void open_stages(const job_spec& spec, occurrence_row& occurrence) {
    const auto complete = [&](std::uint32_t step) {
        return occurrence.stages[step].done == spec.steps[step].count;
    };
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        const auto& after = spec.steps[step].after;
        occurrence.stages[step].open = std::all_of(after.begin(), after.end(), complete);
    }
    occurrence.done = std::all_of(occurrence.stages.begin(), occurrence.stages.end(),
                                  [&](const stage_row& stage) { return complete(stage.step); });
}

resources free_resources(const worker_row& worker, const task_key* task) {
    auto free = worker.entry.capacity - worker.committed;
    const auto own = task == nullptr ? worker.reserved.end() : worker.reserved.find(*task);
    for (const auto& [key, reservation] : worker.reserved) {
        // A later reservation must not keep an earlier one from being used.
        if (own == worker.reserved.end() ||
            std::tie(reservation.since, key) < std::tie(own->second.since, own->first)) {
            free = free - reservation.need;
        }
    }
    return free;
}

bool ends_soon(const run_row& run) {
    return run.phase == run_phase::stopping && run.confirmed;
}

resources long_running_room(const shard_tables& /*tables*/, const worker_row& worker) {
    auto room = free_resources(worker);
    for (const auto* row : worker.run_rows) {
        const auto& run = *row;
        if (run.long_running && !ends_soon(run)) {
            continue;
        }
        room.memory.value += run.need.memory.value;
        room.accelerators.value += run.need.accelerators.value;
        room.processors.value += run.filler ? 0 : run.need.processors.value;
    }
    return room;
}

void mark_changed(job_row& job) {
    ++job.version;
}

} // namespace fulmar
