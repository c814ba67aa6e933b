#include "cell_control.hpp"

#include "cell_drain.hpp"
#include "cell_lease.hpp"
#include "cell_placement.hpp"
#include "cell_reports.hpp"

#include <algorithm>
#include <cassert>

namespace fulmar {

namespace {

// Adds rows for the job's tasks that have not ended and have no row yet.
void add_tasks(cell_state& cell, const job_id& id, const cell_job& job, time_point now) {
    import_carried(cell, id, job.record);
    if (cell.unreadable_jobs.contains(id)) {
        return;
    }
    const auto& progress = cell.progress.jobs[id];
    const bool may_run_elsewhere = job.record.created_epoch < cell.epoch && !cell.takeover_complete;
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
        task.may_run_elsewhere = may_run_elsewhere;
        const auto checkpoint = progress.checkpoints.find(index);
        if (checkpoint != progress.checkpoints.end()) {
            task.attempt = checkpoint->second.attempt;
            task.checkpoint = checkpoint->second.checkpoint;
        }
        add_waiting(cell.tables, task);
    }
}

// Cancels a job: waiting tasks end at once, placed tasks are stopped.
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
            unsent || (task.phase == task_phase::waiting && !task.may_run_elsewhere);
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

// Sets takeover_complete once no earlier owner's task can still run on a worker that has not been
// inventoried.
void complete_takeover(cell_state& cell, time_point now) {
    if (cell.takeover_complete || !cell.progress_owned) {
        return;
    }
    bool all_predecessors_ended = true;
    for (auto& worker : cell.tables.workers) {
        if (!worker.predecessor_ended && lease_certainly_expired(cell, worker, now)) {
            worker.predecessor_ended = true;
            worker.unanswered_since.reset();
        }
        all_predecessors_ended = all_predecessors_ended && worker.predecessor_ended;
    }
    if (!all_predecessors_ended) {
        return;
    }
    cell.takeover_complete = true;
    cell.counters->count("fulmar_takeovers_settled_total");
    for (auto& [id, task] : cell.tables.tasks) {
        task.may_run_elsewhere = false;
    }
    resolve_old_intents(cell);
}

// Ends tasks of cancelled jobs that were put back into the queue, for instance from a lost worker.
void cancel_requeued(cell_state& cell) {
    for (const auto& [id, job] : cell.tables.jobs) {
        if (job.record.cancelled) {
            cancel_tasks(cell, id);
        }
    }
}

// Puts the tasks of workers whose lease has certainly expired back into the queue.
void release_lost_workers(cell_state& cell, time_point now) {
    for (std::size_t i = 0; i < cell.tables.workers.size(); ++i) {
        auto& worker = cell.tables.workers[i];
        if (!worker.inventoried || !lease_certainly_expired(cell, worker, now)) {
            continue;
        }
        cell.counters->count("fulmar_workers_lost_total");
        release_lost_worker(cell, i, now);
        worker.inventoried = false;
        worker.need_inventory = true;
        worker.unanswered_since.reset();
    }
}

// Converts this host's time `at` to the worker's clock. The result is exact or slightly early.
worker_clock to_worker_clock(const cell_worker& worker, time_point at) {
    return {worker.clock.value + (at - worker.clock_received).count()};
}

worker_command make_command(const cell_task& task, command_kind kind, worker_clock expires_at) {
    worker_command command;
    command.kind = kind;
    command.task = task.id;
    command.attempt = task.attempt;
    command.expires_at = expires_at;
    return command;
}

worker_command make_start(const cell_state& cell, cell_task& task, time_point now) {
    const auto& worker = cell.tables.workers.at(task.worker);
    const auto until = cell.timing.skip_freshness_recheck ? now + cell.timing.freshness
                                                          : start_permitted_until(cell);
    task.expires_at = to_worker_clock(worker, until);
    auto command = make_command(task, command_kind::start, task.expires_at);
    command.need = task.need;
    command.task_class = task.task_class;
    command.run_ms = cell.tables.jobs.at(task.id.job).record.run_ms;
    command.checkpoint = task.checkpoint;
    return command;
}

// Adds the commands that the phases of the tasks require. Stops and evictions are repeated until
// the worker reports the end, so a lost reply needs no further handling.
void collect_commands(cell_state& cell, time_point now,
                      std::vector<std::vector<worker_command>>& commands) {
    const bool may_start =
        cell.timing.skip_freshness_recheck || !find_start_obstacle(cell, now).has_value();
    std::vector<cell_task*> withheld;
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
                list.push_back(make_start(cell, task, now));
            } else {
                withheld.push_back(&task);
            }
            break;
        case task_phase::running:
            if (task.share != task.share_confirmed) {
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
    for (auto* task : withheld) {
        requeue(cell, *task, "stale_state", now);
    }
}

// Builds the syncs that are due. A sync renews the worker's lease, so this host must be permitted
// to renew.
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
        // The first sync to a worker acquires its lease; this is how the cell gains a majority.
        const bool acquiring = !worker.renewal_sent;
        if (!permitted && !acquiring) {
            cell.counters->count("fulmar_renewal_withheld_total", "no_authority");
            continue;
        }
        if (must_let_lease_expire(cell, worker, now)) {
            cell.counters->count("fulmar_renewal_withheld_total", "unanswered");
            worker.next_sync = now + cell.timing.sync_interval;
            continue;
        }
        sync_request request;
        request.holder = cell.host;
        request.epoch = cell.epoch;
        request.lease_ms = cell.timing.worker_lease.count();
        request.full_inventory = worker.need_inventory && cell.progress_owned;
        request.commands = std::move(commands[i]);
        request.commands.insert(request.commands.end(), worker.commands.begin(),
                                worker.commands.end());
        request.acks = worker.acks;
        worker.commands.clear();
        worker.sync_in_flight = true;
        worker.inventory_in_flight = request.full_inventory;
        worker.acks_in_flight = request.acks.size();
        worker.previous_renewal_sent = worker.renewal_sent;
        worker.renewal_sent = now;
        if (!worker.unanswered_since) {
            worker.unanswered_since = now;
        }
        worker.next_sync = now + cell.timing.sync_interval;
        actions.syncs.push_back({worker.id, std::move(request), now});
    }
}

// Starts a group commit when the progress changed and no commit is in flight.
void write_progress(cell_state& cell, time_point now, cell_actions& actions) {
    const bool owner = cell.claim_revision.value != 0 && cell.progress.epoch == cell.epoch;
    if (!owner || !cell.progress_dirty || cell.commit_in_flight || cell.progress_conflict ||
        now < cell.next_commit) {
        return;
    }
    cell.commit_in_flight = true;
    cell.progress_dirty = false;
    cell.next_commit = now + cell.timing.commit_interval;
    ++cell.open_commit;
    actions.progress_write = store_write{std::string(progress_prefix) + cell.id.value,
                                         serialize(cell.progress),
                                         cell.progress_revision,
                                         {}};
}

// Returns whether most workers have refused this host's lease for longer than a restart explains.
// Another host then adopted the cell at the same epoch, and neither host gains a majority of new
// leases.
bool epoch_is_contested(const cell_state& cell, time_point now) {
    const auto wait = cell.timing.worker_lease + cell.timing.lease_margin;
    std::size_t refusing = 0;
    for (const auto& worker : cell.tables.workers) {
        refusing += worker.refused_since && now >= *worker.refused_since + wait ? 1 : 0;
    }
    return refusing * 2 > cell.tables.workers.size();
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
    cell_worker worker;
    worker.id = id;
    worker.rack = record.rack;
    cell.tables.workers.push_back(std::move(worker));
}

void activate(cell_state& cell, epoch_number epoch, time_point now) {
    assert(epoch > cell.epoch);
    cell.counters->count("fulmar_cell_activations_total");
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
    fresh.highest_epoch = std::max(cell.highest_epoch, cell.epoch);
    fresh.tables.options = cell.tables.options;
    fresh.state = cell.state;
    fresh.state_confirmed = cell.state_confirmed;
    fresh.returning_since = cell.returning_since;
    cell = std::move(fresh);
}

void on_claim_confirmed(cell_state& cell, revision_number revision, time_point sent) {
    if (cell.epoch.value == 0) {
        return; // the store call was sent before the cell was deactivated
    }
    cell.claim_revision = revision;
    if (!cell.claim_confirmed || *cell.claim_confirmed < sent) {
        cell.claim_confirmed = sent;
    }
}

void on_claim_read(cell_state& cell, const cell_claim& claim, bool owner_alive) {
    cell.highest_epoch = std::max(cell.highest_epoch, claim.epoch);
    if (cell.epoch.value != 0 && claim.owner != cell.host && owner_alive &&
        claim.epoch >= cell.epoch) {
        cell.counters->count("fulmar_cell_yields_total", "claimed_by_other");
        deactivate(cell);
    }
}

void on_progress_read(cell_state& cell, const std::optional<store_entry>& entry, time_point now) {
    if (cell.epoch.value == 0) {
        return; // the progress was requested before the cell was deactivated
    }
    if (cell.progress_owned && entry && entry->revision < cell.progress_revision) {
        return; // the entry is older than a later write of this host
    }
    // Step 1: read the stored copy.
    cell_progress stored;
    if (entry) {
        auto parsed = parse_cell_progress(entry->value);
        if (!parsed) {
            cell.counters->count("fulmar_progress_errors_total", "unreadable");
            cell.progress_conflict = true;
            return;
        }
        stored = std::move(parsed).value();
    }
    if (stored.epoch > cell.epoch) {
        cell.counters->count("fulmar_cell_yields_total", "newer_epoch_in_store");
        cell.highest_epoch = std::max(cell.highest_epoch, stored.epoch);
        deactivate(cell);
        return;
    }

    // Step 2: adopt an earlier owner's copy. It may have been written after the first read of this
    // host, so the rows are rebuilt from it. None of them has been placed, because placement waits
    // until this host owns the progress.
    cell.progress_conflict = false;
    cell.progress_revision = entry ? entry->revision : revision_number{};
    if (!cell.progress_owned && stored.epoch < cell.epoch) {
        cell.tables.tasks.clear();
        cell.progress = std::move(stored);
        cell.progress.epoch = cell.epoch;
    }
    mark_dirty(cell);
    for (auto& [id, job] : cell.tables.jobs) {
        add_tasks(cell, id, job, now);
    }
}

void on_progress_written(cell_state& cell, epoch_number epoch,
                         const result<revision_number>& written, time_point now) {
    if (epoch == cell.epoch) {
        on_progress_written(cell, written, now);
    }
}

void on_progress_written(cell_state& cell, const result<revision_number>& written, time_point now) {
    if (!cell.commit_in_flight) {
        return;
    }
    cell.commit_in_flight = false;
    if (!written) {
        cell.counters->count("fulmar_commit_retries_total", to_string(written.error().kind));
        // After a lost reply the stored copy may be this host's or another owner's; a read of the
        // progress resolves this.
        cell.progress_conflict = written.error().kind != error_kind::unavailable;
        cell.progress_dirty = true;
        return;
    }
    cell.progress_revision = written.value();
    if (!cell.progress_owned) {
        cell.progress_owned = true;
        for (auto& worker : cell.tables.workers) {
            worker.next_sync = now; // requests the inventories without delay
        }
    }
    cell.last_stored_commit = cell.open_commit - 1;
    settle_committed(cell, now);
}

void on_data_centre_state(cell_state& cell, data_centre_state state, time_point sent) {
    if (cell.state_confirmed && sent < *cell.state_confirmed) {
        return;
    }
    if (state != data_centre_state::returning) {
        cell.returning_since.reset();
    } else if (!cell.returning_since) {
        cell.returning_since = sent;
        cell.returning_baseline = {};
        for (const auto& worker : cell.tables.workers) {
            cell.returning_baseline = cell.returning_baseline + worker.committed;
        }
    }
    cell.state = state;
    cell.state_confirmed = sent;
}

void on_job(cell_state& cell, const job_id& id, const job_record& record, revision_number revision,
            time_point now) {
    if (cell.epoch.value == 0) {
        return;
    }
    if (record.cell != cell.id) {
        const auto existing = cell.tables.jobs.find(id);
        const bool moved =
            existing != cell.tables.jobs.end() && existing->second.revision < revision;
        const bool move_recorded =
            existing == cell.tables.jobs.end() && cell.progress_owned && is_moving(cell, id);
        if (moved || move_recorded) {
            forget_job(cell, id);
        }
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
    cell.timing.return_ramp = duration(config.return_ramp_ms);
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
        return; // sent before the cell was deactivated
    }
    worker.sync_in_flight = false;
    worker.reachable = reply.has_value();
    if (reply) {
        worker.renewal_confirmed = sent;
        worker.unanswered_since.reset();
        worker.refused_since.reset();
        worker.acks.erase(worker.acks.begin(),
                          worker.acks.begin() + static_cast<std::ptrdiff_t>(worker.acks_in_flight));
        apply_sync_reply(cell, found->second, worker.inventory_in_flight, reply.value(), now);
        return;
    }
    cell.counters->count("fulmar_sync_failures_total", to_string(reply.error().kind));
    switch (reply.error().kind) {
    case error_kind::stale_epoch:
        cell.counters->count("fulmar_cell_yields_total", "newer_epoch_at_worker");
        cell.highest_epoch = {cell.epoch.value + 1}; // the worker has a higher epoch
        deactivate(cell);
        break;
    case error_kind::lease_held:
        // The worker restarted or serves another holder, so this host does not hold its lease.
        worker.renewal_confirmed.reset();
        worker.refused_since = worker.refused_since.value_or(now);
        [[fallthrough]];
    case error_kind::unavailable:
        return_unsent_starts(cell, found->second, now);
        worker.renewal_sent = worker.previous_renewal_sent; // the sync renewed no lease
        worker.need_inventory = true;
        break;
    default:
        mark_reply_lost(cell, found->second);
    }
}

cell_actions tick(cell_state& cell, time_point now) {
    cell_actions actions;
    actions.epoch = cell.epoch;
    if (cell.epoch.value == 0) {
        return actions;
    }
    if (epoch_is_contested(cell, now)) {
        cell.counters->count("fulmar_cell_yields_total", "contested_epoch");
        cell.highest_epoch = {cell.epoch.value + 1};
        deactivate(cell);
        return actions;
    }
    cell.tables.now = now;
    track_majority(cell, now);
    complete_takeover(cell, now);
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
