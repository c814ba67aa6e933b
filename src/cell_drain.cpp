#include "cell_drain.hpp"

#include "cell_lease.hpp"
#include "cell_reports.hpp"

#include <algorithm>
#include <limits>

namespace fulmar {

namespace {

bool is_draining_or_out(const cell_state& cell) {
    return cell.state_confirmed &&
           (cell.state == data_centre_state::draining || cell.state == data_centre_state::out);
}

// Returns whether every task of the job that has not ended waits here and can't run elsewhere.
bool all_tasks_waiting(const cell_state& cell, const job_id& id) {
    bool waits = false;
    for (auto at = cell.tables.tasks.lower_bound({id, 0});
         at != cell.tables.tasks.end() && at->first.job == id; ++at) {
        if (at->second.phase != task_phase::waiting || at->second.may_run_elsewhere) {
            return false;
        }
        waits = true;
    }
    return waits;
}

std::string serialize_carried_progress(const cell_state& cell, const job_id& id) {
    auto progress = cell.progress.jobs.at(id);
    progress.moving_to = {};
    return serialize(progress);
}

resources sum_over_workers(const cell_tables& tables, resources cell_worker::*amount) {
    resources sum;
    for (const auto& worker : tables.workers) {
        if (worker.inventoried) {
            sum = sum + worker.*amount;
        }
    }
    return sum;
}

} // namespace

void evict_for_drain(cell_state& cell) {
    if (!is_draining_or_out(cell)) {
        return;
    }
    for (auto& [id, task] : cell.tables.tasks) {
        const auto job = cell.tables.jobs.find(id.job);
        const bool movable =
            job != cell.tables.jobs.end() && job->second.record.kind != job_kind::service;
        if (task.phase == task_phase::running && movable) {
            set_phase(cell.tables, task, task_phase::evicting, task.worker);
            cell.counters->count("fulmar_evictions_total", "drain");
        }
    }
}

bool is_moving(const cell_state& cell, const job_id& id) {
    const auto found = cell.progress.jobs.find(id);
    return found != cell.progress.jobs.end() && !found->second.moving_to.value.empty();
}

std::int64_t plan_handover(cell_state& cell, const cell_id& target, std::int64_t byte_budget,
                           time_point now) {
    if (!is_draining_or_out(cell) || !cell.progress_owned || !claim_is_fresh(cell, now)) {
        return 0;
    }
    // Step 1: find the jobs that are ready to be handed over.
    std::vector<std::pair<std::int64_t, job_id>> ready;
    for (const auto& [id, job] : cell.tables.jobs) {
        if (job.record.kind == job_kind::service || job.record.cancelled || is_moving(cell, id) ||
            !all_tasks_waiting(cell, id)) {
            continue;
        }
        const auto deadline = job.record.deadline_unix_ms;
        ready.emplace_back(deadline == 0 ? std::numeric_limits<std::int64_t>::max() : deadline, id);
    }
    std::sort(ready.begin(), ready.end());

    // Step 2: record the target cell, in deadline order and within the budget.
    std::int64_t used = 0;
    for (const auto& [deadline, id] : ready) {
        if (used >= byte_budget) {
            break;
        }
        used += static_cast<std::int64_t>(serialize_carried_progress(cell, id).size());
        cell.progress.jobs.at(id).moving_to = target;
        cell.handovers[id] = {mark_dirty(cell), false};
        cell.counters->count("fulmar_handovers_total", "planned");
    }
    return used;
}

std::vector<store_write> collect_handovers(cell_state& cell, time_point now) {
    std::vector<store_write> writes;
    if (!cell.progress_owned || !claim_is_fresh(cell, now)) {
        return writes;
    }
    for (const auto& [id, job] : cell.tables.jobs) {
        if (!is_moving(cell, id) || job.record.cancelled) {
            continue;
        }
        // An earlier owner stored moving_to when no entry exists here; its default commit number 0
        // counts as stored.
        auto& handover = cell.handovers[id];
        if (handover.in_flight || handover.commit > cell.last_stored_commit) {
            continue;
        }
        handover.in_flight = true;
        auto record = job.record;
        record.cell = cell.progress.jobs.at(id).moving_to;
        record.carried_progress = serialize_carried_progress(cell, id);
        record.moves += 1;
        record.created_epoch = {}; // epochs of different cells are not comparable
        writes.push_back(
            {std::string(jobs_prefix) + id.value, serialize(record), job.revision, {}});
    }
    return writes;
}

void on_handover_written(cell_state& cell, const job_id& id,
                         const result<revision_number>& written) {
    const auto found = cell.handovers.find(id);
    if (found == cell.handovers.end() || !found->second.in_flight) {
        return;
    }
    found->second.in_flight = false;
    if (!written) {
        cell.counters->count("fulmar_handover_retries_total", to_string(written.error().kind));
        return;
    }
    cell.counters->count("fulmar_handovers_total", "done");
    forget_job(cell, id);
}

void import_carried(cell_state& cell, const job_id& id, const job_record& record) {
    if (record.moves == 0 || cell.progress.jobs[id].moves >= record.moves) {
        return;
    }
    auto carried = parse_job_progress(record.carried_progress);
    if (!carried) {
        cell.counters->count("fulmar_progress_errors_total", "unreadable_carried");
        cell.unreadable_jobs.insert(id);
        return;
    }
    auto& progress = cell.progress.jobs[id];
    progress = std::move(carried).value();
    progress.moves = record.moves;
    // Attempt numbers are comparable only within one cell.
    for (auto& [index, checkpoint] : progress.checkpoints) {
        checkpoint.attempt = {};
    }
    progress.failed_attempts.clear();
    mark_dirty(cell);
}

void forget_job(cell_state& cell, const job_id& id) {
    for (auto at = cell.tables.tasks.lower_bound({id, 0});
         at != cell.tables.tasks.end() && at->first.job == id;) {
        set_phase(cell.tables, at->second, task_phase::waiting, no_worker);
        at = cell.tables.tasks.erase(at);
    }
    cell.tables.jobs.erase(id);
    cell.handovers.erase(id);
    if (cell.progress.jobs.erase(id) > 0) {
        mark_dirty(cell);
    }
}

bool ramp_admits(const cell_state& cell, const resources& need, time_point now) {
    if (cell.state != data_centre_state::returning || !cell.returning_since) {
        return true;
    }
    const auto elapsed = (now - *cell.returning_since).count();
    const auto ramp = cell.timing.return_ramp.count();
    if (elapsed >= ramp) {
        return true;
    }
    const auto committed = sum_over_workers(cell.tables, &cell_worker::committed).processors.value;
    const auto capacity = sum_over_workers(cell.tables, &cell_worker::capacity).processors.value;
    const auto& baseline = cell.returning_baseline.processors.value;
    return committed + need.processors.value <= baseline + (capacity - baseline) * elapsed / ramp;
}

} // namespace fulmar
