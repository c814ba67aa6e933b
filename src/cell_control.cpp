#include "cell_control.hpp"

#include "cell_lease.hpp"
#include "cell_reports.hpp"
#include "interference.hpp"
#include "policy.hpp"

#include <algorithm>
#include <cassert>

namespace fulmar {

namespace {

// Creates rows for the tasks of a job that have neither ended nor a row.
void add_tasks(cell_state& cell, const job_id& id, const job_row& job, time_point now) {
    const auto& progress = cell.progress.jobs[id];
    const bool may_be_elsewhere = job.record.created_epoch < cell.epoch;
    for (std::uint32_t index = 0; index < job.record.tasks; ++index) {
        if (progress.finished.contains(index) || progress.parked.contains(index) ||
            progress.outcome_unknown.contains(index) || progress.cancelled.contains(index)) {
            continue;
        }
        const auto [row, created] = cell.tables.tasks.try_emplace(task_id{id, index});
        if (!created) {
            continue;
        }
        auto& task = row->second;
        task.id = {id, index};
        task.need = job.record.need;
        task.task_class = job.record.task_class;
        task.waiting_since = now;
        task.may_be_elsewhere = may_be_elsewhere;
        const auto checkpoint = progress.checkpoints.find(index);
        if (checkpoint != progress.checkpoints.end()) {
            task.attempt = checkpoint->second.attempt;
            task.checkpoint = checkpoint->second.checkpoint;
        }
        note_waiting(cell.tables, task);
    }
}

// Cancels a job: waiting tasks end now, placed ones are stopped.
void cancel_tasks(cell_state& cell, const job_id& id) {
    for (auto at = cell.tables.tasks.lower_bound({id, 0});
         at != cell.tables.tasks.end() && at->first.job == id;) {
        auto& task = at->second;
        const bool placed = holds_resources(task.phase);
        const bool unsent = task.phase == task_phase::committing_intent ||
                            (task.phase == task_phase::starting && task.expires_at.value == 0);
        if (placed && !unsent) {
            set_phase(cell.tables, task, task_phase::stopping, task.worker);
        }
        const bool never_started =
            unsent || (task.phase == task_phase::waiting && !task.may_be_elsewhere);
        if (!never_started) {
            ++at;
            continue;
        }
        set_phase(cell.tables, task, task_phase::waiting, no_worker);
        auto& progress = cell.progress.jobs[id];
        progress.intents.erase(task.id.index);
        progress.cancelled.insert(task.id.index);
        mark_dirty(cell);
        cell.counters->count("fulmar_tasks_ended_total", "cancelled");
        at = cell.tables.tasks.erase(at);
    }
}

// Decides whether an earlier owner's tasks may still run on workers that were never inventoried.
void settle_takeover(cell_state& cell, time_point now) {
    if (cell.takeover_settled || !cell.progress_owned) {
        return;
    }
    for (const auto& worker : cell.tables.workers) {
        if (!worker.inventoried && !lease_surely_ended(cell, worker, now)) {
            return;
        }
    }
    cell.takeover_settled = true;
    std::vector<task_id> unknown;
    for (auto& [id, task] : cell.tables.tasks) {
        if (!task.may_be_elsewhere) {
            continue;
        }
        task.may_be_elsewhere = false;
        const auto progress = cell.progress.jobs.find(id.job);
        if (progress != cell.progress.jobs.end() && progress->second.intents.contains(id.index)) {
            unknown.push_back(id);
        }
    }
    // An intent without a worker that reports it: the task may have run to its end.
    for (const auto& id : unknown) {
        auto& progress = cell.progress.jobs[id.job];
        progress.intents.erase(id.index);
        progress.outcome_unknown.insert(id.index);
        cell.tables.tasks.erase(id);
        cell.counters->count("fulmar_tasks_ended_total", "outcome_unknown");
        mark_dirty(cell);
    }
}

// Ends tasks of cancelled jobs that came back to the queue, for instance from a lost worker.
void cancel_requeued(cell_state& cell) {
    for (const auto& [id, job] : cell.tables.jobs) {
        if (job.record.cancelled) {
            cancel_tasks(cell, id);
        }
    }
}

// Returns the tasks of workers whose lease has surely ended to the queue.
void release_lost_workers(cell_state& cell, time_point now) {
    for (std::size_t i = 0; i < cell.tables.workers.size(); ++i) {
        auto& worker = cell.tables.workers[i];
        if (!worker.inventoried || !lease_surely_ended(cell, worker, now)) {
            continue;
        }
        cell.counters->count("fulmar_workers_lost_total");
        release_lost_worker(cell, i, now);
        worker.inventoried = false;
        worker.need_inventory = true;
    }
}

// Evicts batch tasks while the data centre is being drained.
void evict_for_drain(cell_state& cell) {
    const bool leaving =
        cell.state == data_centre_state::draining || cell.state == data_centre_state::out;
    if (!leaving || !cell.state_confirmed) {
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

attempt_number next_attempt(cell_state& cell) {
    ++cell.next_counter;
    assert(cell.next_counter < (1U << attempt_counter_bits));
    return {first_attempt(cell.epoch).value + cell.next_counter};
}

// Assigns a task to a worker; a non-idempotent one waits for its intent to be stored.
void assign(cell_state& cell, task_row& task, std::size_t worker) {
    task.attempt = next_attempt(cell);
    task.expires_at = {};
    const auto& record = cell.tables.jobs.at(task.id.job).record;
    if (record.idempotent) {
        set_phase(cell.tables, task, task_phase::starting, worker);
    } else {
        cell.progress.jobs[task.id.job].intents[task.id.index] = {task.attempt,
                                                                  cell.tables.workers[worker].id};
        task.commit = mark_dirty(cell);
        set_phase(cell.tables, task, task_phase::committing_intent, worker);
    }
    cell.tables.workers[worker].next_sync = {};
}

// Ends the waiting tasks of a job that fits on no worker of the cell.
void refuse_job(cell_state& cell, const job_id& id) {
    auto& progress = cell.progress.jobs[id];
    for (auto at = cell.tables.tasks.lower_bound({id, 0});
         at != cell.tables.tasks.end() && at->first.job == id;) {
        if (at->second.phase != task_phase::waiting || at->second.may_be_elsewhere) {
            ++at;
            continue;
        }
        progress.parked.insert(at->first.index);
        cell.counters->count("fulmar_tasks_ended_total", fits_no_worker);
        at = cell.tables.tasks.erase(at);
    }
    mark_dirty(cell);
}

// Checkpoints the tasks that the responses to interference call for.
void respond_to_interference(cell_state& cell, time_point now) {
    for (auto* task : update_responses(cell.tables, now)) {
        set_phase(cell.tables, *task, task_phase::evicting, task->worker);
        cell.counters->count("fulmar_evictions_total", "interference");
    }
}

// Carries one decision of the policy out.
void carry_out(cell_state& cell, const decision& made, time_point now) {
    switch (made.kind) {
    case decision_kind::start:
        assign(cell, *made.task, made.worker);
        note_placed(cell.tables, *made.task, now);
        break;
    case decision_kind::evict:
        for (auto* victim : made.evictions) {
            set_phase(cell.tables, *victim, task_phase::evicting, victim->worker);
            cell.counters->count("fulmar_evictions_total", "urgent");
        }
        break;
    case decision_kind::refuse:
        refuse_job(cell, job_id(made.task->id.job));
        break;
    }
}

// Places waiting tasks while starts are permitted.
void place_waiting(cell_state& cell, time_point now) {
    if (const auto obstacle = find_start_obstacle(cell, now)) {
        cell.counters->set("fulmar_start_obstacle", 1, *obstacle);
        return;
    }
    if (!round_is_due(cell.tables, now)) {
        return;
    }
    auto order = rank_waiting(cell.tables, now);
    while (const auto made = next_decision(cell.tables, order, now)) {
        carry_out(cell, *made, now);
    }
}

// The worker's clock at our time `at`, or a little earlier than that.
worker_clock to_worker_clock(const worker_row& worker, time_point at) {
    return {worker.clock.value + (at - worker.clock_received).count()};
}

worker_command make_command(const task_row& task, command_kind kind, worker_clock expires_at) {
    worker_command command;
    command.kind = kind;
    command.task = task.id;
    command.attempt = task.attempt;
    command.expires_at = expires_at;
    return command;
}

worker_command make_start(const cell_state& cell, task_row& task) {
    const auto& worker = cell.tables.workers.at(task.worker);
    task.expires_at = to_worker_clock(worker, start_permitted_until(cell));
    auto command = make_command(task, command_kind::start, task.expires_at);
    command.need = task.need;
    command.task_class = task.task_class;
    command.run_ms = cell.tables.jobs.at(task.id.job).record.run_ms;
    command.checkpoint = task.checkpoint;
    return command;
}

// Adds the commands that the phases of a worker's tasks call for. Stops and evictions are repeated
// until the worker reports the end, so a lost reply needs no bookkeeping.
void collect_commands(cell_state& cell, time_point now,
                      std::vector<std::vector<worker_command>>& commands) {
    const bool may_start = !find_start_obstacle(cell, now).has_value();
    constexpr worker_clock never{std::numeric_limits<std::int64_t>::max()};
    for (auto& [id, task] : cell.tables.tasks) {
        if (task.worker == no_worker || cell.tables.workers[task.worker].sync_in_flight) {
            continue;
        }
        auto& list = commands.at(task.worker);
        switch (task.phase) {
        case task_phase::starting:
            if (task.expires_at.value != 0) {
                break;
            }
            if (may_start) {
                list.push_back(make_start(cell, task));
            } else {
                requeue(cell, task, "stale_state", now);
            }
            break;
        case task_phase::running:
            if (task.share != task.share_known) {
                auto throttle = make_command(task, command_kind::throttle, never);
                throttle.share = task.share_sent = task.share;
                list.push_back(throttle);
            }
            break;
        case task_phase::evicting:
            list.push_back(make_command(task, command_kind::evict, never));
            break;
        case task_phase::stopping:
            list.push_back(make_command(task, command_kind::stop, never));
            break;
        default:
            break;
        }
    }
}

// Builds the syncs that are due. A sync renews the lease, so it needs the authority to renew.
void send_syncs(cell_state& cell, time_point now, cell_actions& actions) {
    if (cell.epoch.value == 0) {
        return;
    }
    std::vector<std::vector<worker_command>> commands(cell.tables.workers.size());
    collect_commands(cell, now, commands);
    const bool permitted = may_renew(cell, now);
    for (std::size_t i = 0; i < cell.tables.workers.size(); ++i) {
        auto& worker = cell.tables.workers[i];
        const bool urgent = !commands[i].empty() && worker.inventoried;
        if (worker.sync_in_flight || (now < worker.next_sync && !urgent)) {
            continue;
        }
        // The first sync to each worker acquires its lease; that is how a majority is gained.
        const bool acquiring = !worker.renewal_sent;
        if (!permitted && !acquiring) {
            cell.counters->count("fulmar_renewal_withheld_total", "no_authority");
            continue;
        }
        sync_request request;
        request.holder = cell.host;
        request.epoch = cell.epoch;
        request.lease_ms = cell.timing.worker_lease.count();
        request.full_inventory = worker.need_inventory;
        request.commands = std::move(commands[i]);
        request.commands.insert(request.commands.end(), worker.commands.begin(),
                                worker.commands.end());
        request.acks = worker.acks;
        worker.commands.clear();
        worker.sync_in_flight = true;
        worker.inventory_in_flight = request.full_inventory;
        worker.acks_in_flight = request.acks.size();
        worker.renewal_before = worker.renewal_sent;
        worker.renewal_sent = now;
        worker.next_sync = now + cell.timing.sync_interval;
        actions.syncs.push_back({worker.id, std::move(request), now});
    }
}

// Starts a group commit when something changed and none is in flight.
void write_progress(cell_state& cell, time_point now, cell_actions& actions) {
    const bool owner = cell.claim_revision.value != 0 && cell.progress.epoch == cell.epoch;
    if (!owner || !cell.progress_dirty || cell.commit_in_flight || cell.progress_conflict ||
        now < cell.next_commit) {
        return;
    }
    cell.commit_in_flight = true;
    cell.progress_dirty = false;
    cell.next_commit = now + cell.timing.commit_interval;
    ++cell.commit_open;
    actions.progress_write = store_write{std::string(progress_prefix) + cell.id.value,
                                         serialize(cell.progress),
                                         cell.progress_revision,
                                         {}};
}

void track_majority(cell_state& cell, time_point now) {
    if (!holds_majority(cell, now)) {
        cell.majority_since.reset();
    } else if (!cell.majority_since) {
        cell.majority_since = now;
    }
}

} // namespace

cell_state make_cell(cell_id id, data_centre_id data_centre, host_id host,
                     const cell_timing& timing, metrics& counters) {
    cell_state cell;
    cell.id = std::move(id);
    cell.data_centre = std::move(data_centre);
    cell.host = std::move(host);
    cell.timing = timing;
    cell.counters = &counters;
    return cell;
}

void add_worker(cell_state& cell, const worker_id& id, const worker_record& record) {
    if (cell.tables.worker_index.contains(id)) {
        return;
    }
    cell.tables.worker_index[id] = cell.tables.workers.size();
    worker_row worker;
    worker.id = id;
    worker.rack = record.rack;
    cell.tables.workers.push_back(std::move(worker));
}

void activate(cell_state& cell, epoch_number epoch, time_point now) {
    assert(epoch > cell.epoch);
    deactivate(cell);
    cell.claim_to_release.reset();
    cell.epoch = epoch;
    cell.next_commit = now;
}

void deactivate(cell_state& cell) {
    auto fresh = make_cell(cell.id, cell.data_centre, cell.host, cell.timing, *cell.counters);
    for (const auto& worker : cell.tables.workers) {
        add_worker(fresh, worker.id, {"", cell.id, cell.data_centre, worker.rack});
    }
    if (cell.claim_revision.value != 0) {
        fresh.claim_to_release = cell.claim_revision;
    }
    fresh.tables.options = cell.tables.options;
    fresh.state = cell.state;
    fresh.state_confirmed = cell.state_confirmed;
    cell = std::move(fresh);
}

void on_claim_confirmed(cell_state& cell, revision_number revision, time_point sent) {
    cell.claim_revision = revision;
    if (!cell.claim_confirmed || *cell.claim_confirmed < sent) {
        cell.claim_confirmed = sent;
    }
}

void on_progress_read(cell_state& cell, const std::optional<store_entry>& entry, time_point now) {
    cell.progress_conflict = false;
    if (!entry) {
        cell.progress.epoch = cell.epoch;
        cell.progress_revision = {};
        mark_dirty(cell);
        return;
    }
    auto stored = parse_cell_progress(entry->value);
    if (!stored) {
        cell.counters->count("fulmar_progress_errors_total", "unreadable");
        cell.progress_conflict = true;
        return;
    }
    if (stored.value().epoch > cell.epoch) {
        cell.counters->count("fulmar_cell_yields_total", "newer_epoch_in_store");
        deactivate(cell);
        return;
    }
    cell.progress_revision = entry->revision;
    if (stored.value().epoch < cell.epoch) {
        cell.progress = std::move(stored).value();
        cell.progress.epoch = cell.epoch;
    }
    mark_dirty(cell);
    for (auto& [id, job] : cell.tables.jobs) {
        add_tasks(cell, id, job, now);
    }
}

void on_progress_written(cell_state& cell, const result<revision_number>& written, time_point now) {
    if (!cell.commit_in_flight) {
        return;
    }
    cell.commit_in_flight = false;
    if (!written) {
        cell.counters->count("fulmar_commit_retries_total", to_string(written.error().kind));
        // The stored copy may be ours after a lost reply, or another owner's; reading it tells.
        cell.progress_conflict = written.error().kind == error_kind::conflict ||
                                 written.error().kind == error_kind::outcome_unknown;
        cell.progress_dirty = true;
        return;
    }
    cell.progress_revision = written.value();
    cell.progress_owned = true;
    cell.commit_done = cell.commit_open - 1;
    settle_committed(cell, now);
}

void on_data_centre_state(cell_state& cell, data_centre_state state, time_point sent) {
    if (cell.state_confirmed && sent < *cell.state_confirmed) {
        return;
    }
    cell.state = state;
    cell.state_confirmed = sent;
}

void on_job(cell_state& cell, const job_id& id, const job_record& record, revision_number revision,
            time_point now) {
    if (record.cell != cell.id || cell.epoch.value == 0) {
        return;
    }
    auto& job = cell.tables.jobs[id];
    if (revision <= job.revision) {
        return;
    }
    job = {record, revision};
    if (cell.progress.epoch == cell.epoch) {
        add_tasks(cell, id, job, now);
    }
    if (record.cancelled) {
        cancel_tasks(cell, id);
    }
}

void on_config(cell_state& cell, const runtime_config& config) {
    cell.tables.options.throttle_slowdown_percent = config.throttle_slowdown_percent;
    cell.tables.options.evict_slowdown_percent = config.evict_slowdown_percent;
}

void on_sync(cell_state& cell, const worker_id& id, time_point sent,
             const result<sync_reply>& reply, time_point now) {
    cell.tables.now = now;
    const auto found = cell.tables.worker_index.find(id);
    if (found == cell.tables.worker_index.end()) {
        return;
    }
    auto& worker = cell.tables.workers[found->second];
    if (!worker.sync_in_flight || worker.renewal_sent != sent) {
        return; // sent before the cell was given up
    }
    worker.sync_in_flight = false;
    if (reply) {
        worker.renewal_known = sent;
        worker.acks.erase(worker.acks.begin(),
                          worker.acks.begin() + static_cast<std::ptrdiff_t>(worker.acks_in_flight));
        apply_sync_reply(cell, found->second, worker.inventory_in_flight, reply.value(), now);
        return;
    }
    cell.counters->count("fulmar_sync_failures_total", to_string(reply.error().kind));
    switch (reply.error().kind) {
    case error_kind::stale_epoch:
        cell.counters->count("fulmar_cell_yields_total", "newer_epoch_at_worker");
        deactivate(cell);
        break;
    case error_kind::timeout:
    case error_kind::outcome_unknown:
        mark_reply_lost(cell, found->second);
        break;
    default:
        return_unsent_starts(cell, found->second, now);
        // Nothing was sent, or the lease wasn't granted: this was no renewal.
        worker.renewal_sent = worker.renewal_before;
        worker.need_inventory = true;
    }
}

cell_actions tick(cell_state& cell, time_point now) {
    cell_actions actions;
    if (cell.epoch.value == 0) {
        return actions;
    }
    cell.tables.now = now;
    track_majority(cell, now);
    settle_takeover(cell, now);
    release_lost_workers(cell, now);
    cancel_requeued(cell);
    evict_for_drain(cell);
    respond_to_interference(cell, now);
    place_waiting(cell, now);
    send_syncs(cell, now, actions);
    write_progress(cell, now, actions);
    check_capacity(cell.tables);
    return actions;
}

} // namespace fulmar
