#include "scheduler_tables.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace fulmar {

namespace {

constexpr std::array<std::string_view, 7> phase_names{
    "waiting", "committing_intent", "starting", "running", "evicting", "stopping", "committing"};
static_assert(phase_names.size() == static_cast<std::size_t>(task_phase::committing) + 1);

// Returns the entry of a class on a worker; adds it if it is new.
resident_class& find_resident(cell_worker& worker, std::size_t index) {
    for (auto& resident : worker.resident_classes) {
        if (resident.index == index) {
            return resident;
        }
    }
    return worker.resident_classes.emplace_back(resident_class{index});
}

// Records that a task started (sign 1) or ended (sign -1) on a worker. Removes outdated changes in
// bulk.
void update_running(cell_tables& tables, cell_worker& worker, const cell_task& task, int sign) {
    const std::int64_t change = sign * task.need.processors.value * task.share / 100;
    find_resident(worker, task.class_index).running += change;
    worker.changes.push_back({tables.now, task.class_index, change});
    if (worker.changes.front().at + 2 * occupancy_history < tables.now) {
        const auto keep = std::ranges::find_if(worker.changes, [&](const auto& each) {
            return each.at + occupancy_history >= tables.now;
        });
        worker.changes.erase(worker.changes.begin(), keep);
    }
}

// Adds a task to the totals of its worker and team (sign 1) or subtracts it (sign -1).
void update_committed(cell_tables& tables, cell_worker& worker, cell_task& task, int sign) {
    auto& resident = find_resident(worker, task.class_index);
    tables.placement_inputs += sign < 0 ? 1 : 0;
    resident.tasks += sign;
    resident.committed += sign * task.need.processors.value;
    worker.placed += static_cast<std::size_t>(sign);
    if (sign > 0) {
        task.trial = is_unproven(worker);
        worker.last_trial = task.trial ? tables.now : worker.last_trial;
    }
    worker.trials += static_cast<std::size_t>(task.trial ? sign : 0);
    const auto change = [&](resources& sum) { sum = sign > 0 ? sum + task.need : sum - task.need; };
    change(worker.committed);
    if (task.team_index != no_index) {
        change(tables.teams[task.team_index].used);
    }
    if (resident.tasks == 0 && resident.running == 0) {
        resident = worker.resident_classes.back();
        worker.resident_classes.pop_back();
    }
}

// Sets the class and team indexes of a task that is about to hold resources.
void resolve_task(cell_tables& tables, cell_task& task) {
    const auto job = tables.jobs.find(task.id.job);
    if (job == tables.jobs.end()) {
        task.class_index = find_class(tables, task.task_class);
        task.team_index = no_index;
        return;
    }
    auto& row = job->second;
    resolve_job(tables, row);
    const bool as_declared = task.task_class == row.record.task_class;
    task.class_index = as_declared ? row.class_index : find_class(tables, task.task_class);
    task.team_index = row.team_index;
}

// Updates the ratio of actual to declared run time of a class. Resumed tasks are ignored, because
// they run for only a part of their run time.
void update_run_factor(cell_tables& tables, const cell_task& task) {
    const auto job = tables.jobs.find(task.id.job);
    if (job == tables.jobs.end() || job->second.record.run_ms <= 0 || !task.checkpoint.empty() ||
        task.started == time_point{}) {
        return;
    }
    constexpr double weight = 0.05;
    const double ratio = static_cast<double>((tables.now - task.started).count()) /
                         static_cast<double>(job->second.record.run_ms);
    auto& row = tables.classes[task.class_index];
    row.run_factor += (ratio - row.run_factor) * (row.run_samples == 0 ? 1.0 : weight);
    ++row.run_samples;
}

} // namespace

std::size_t find_class(cell_tables& tables, const std::string& name) {
    const auto [found, created] = tables.class_lookup.try_emplace(name, tables.classes.size());
    if (created) {
        tables.classes.push_back({name});
    }
    return found->second;
}

std::size_t find_team(cell_tables& tables, const team_id& id) {
    const auto [found, created] = tables.team_lookup.try_emplace(id, tables.teams.size());
    if (created) {
        tables.teams.push_back({id, {}, {}, 1.0});
    }
    return found->second;
}

void resolve_job(cell_tables& tables, cell_job& job) {
    if (job.class_index != no_index) {
        return;
    }
    job.class_index = find_class(tables, job.record.task_class);
    job.team_index = find_team(tables, job.record.team);
    if (job.record.kind != job_kind::batch) {
        tables.classes[job.class_index].latency_critical = true;
    }
}

void add_waiting(cell_tables& tables, const cell_task& task) {
    auto& group = tables.waiting[task.id.job];
    if (group.indexes.empty()) {
        group.since = task.waiting_since;
    }
    group.indexes.push_back(task.id.index);
    ++tables.placement_inputs;
}

std::string_view to_string(task_phase phase) {
    return phase_names.at(static_cast<std::size_t>(phase));
}

void set_share(cell_tables& tables, cell_task& task, std::int64_t share) {
    if (!is_running(task.phase) || task.worker == no_worker || task.share == share) {
        return;
    }
    auto& worker = tables.workers.at(task.worker);
    update_running(tables, worker, task, -1);
    task.share = share;
    update_running(tables, worker, task, 1);
}

void set_phase(cell_tables& tables, cell_task& task, task_phase phase, std::size_t worker) {
    // Step 1: subtract the task from the totals of the worker that it leaves.
    const bool ran = is_running(task.phase) && task.worker != no_worker;
    const bool runs = is_running(phase) && worker != no_worker;
    const bool moves = task.worker != worker;
    const bool held = holds_resources(task.phase) && task.worker != no_worker;
    const bool holds = holds_resources(phase) && worker != no_worker;
    if (ran && (!runs || moves)) {
        update_running(tables, tables.workers.at(task.worker), task, -1);
        if (phase == task_phase::committing && task.end_state == task_state::finished) {
            update_run_factor(tables, task);
        }
    }
    if (held && (!holds || moves)) {
        update_committed(tables, tables.workers.at(task.worker), task, -1);
    }

    // Step 2: change the row.
    const bool begins_to_wait = phase == task_phase::waiting && task.phase != task_phase::waiting;
    task.phase = phase;
    task.worker = worker;

    // Step 3: add the task to the totals of the worker that it enters.
    if (holds && (!held || moves)) {
        resolve_task(tables, task);
        update_committed(tables, tables.workers.at(worker), task, 1);
        task.share = task.share_sent = task.share_confirmed = 100;
    }
    if (runs && (!ran || moves)) {
        update_running(tables, tables.workers.at(worker), task, 1);
        task.started = tables.now;
    }
    if (begins_to_wait) {
        add_waiting(tables, task);
    }
}

void check_capacity(const cell_tables& tables) {
    std::vector<resources> sums(tables.workers.size());
    for (const auto& [id, task] : tables.tasks) {
        if (holds_resources(task.phase) && task.worker != no_worker) {
            sums.at(task.worker) = sums.at(task.worker) + task.need;
        }
    }
    for (std::size_t i = 0; i < sums.size(); ++i) {
        assert(sums.at(i) == tables.workers.at(i).committed);
    }
}

} // namespace fulmar
