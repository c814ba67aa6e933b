#include "shard_control.hpp"

#include "shard_acknowledgements.hpp"
#include "shard_gangs.hpp"
#include "shard_handover.hpp"
#include "shard_internal.hpp"
#include "shard_run_numbers.hpp"

#include <algorithm>
#include <cassert>

namespace fulmar {

namespace {

// Sends the stops that are due. A stop is repeated until the worker reports the end of the run.
void send_stops(shard_state& shard, time_point now, shard_actions& actions) {
    for (auto& [key, run] : shard.tables.runs) {
        if (run.phase != run_phase::stopping || run.stop_in_flight || run.next_stop > now) {
            continue;
        }
        const auto& worker = shard.tables.workers.at(run.worker);
        run.stop_in_flight = true;
        run.stop_sent = now;
        run.stop_fence = worker.fence;
        run.next_stop = now + shard.timing.stop_retry;
        actions.stops.push_back({worker.entry.target, {key, make_token(shard, worker)}});
    }
}

// Removes the runs of an unreachable worker whose leases have ended.
void end_lapsed_runs(shard_state& shard, const worker_row& worker, time_point now) {
    const auto runs = worker.runs;
    for (const auto& key : runs) {
        if (has_lapsed(shard, worker, shard.tables.runs.at(key), now)) {
            end_lost_run(shard, key, "lease_lapsed", now);
        }
    }
}

// Removes the runs of unreachable workers whose leases have ended, and deletes workers that have
// left.
void expire_workers(shard_state& shard, time_point now) {
    for (auto it = shard.tables.workers.begin(); it != shard.tables.workers.end();) {
        auto& worker = it->second;
        if (worker.reachability == reachability_state::unreachable) {
            end_lapsed_runs(shard, worker, now);
        }
        // A replaced worker rules former owners out.
        const bool needed = worker.replaced && !shard.takeover_complete;
        const bool removable =
            !needed && !worker.listed && worker.reachability != reachability_state::reachable &&
            worker.runs.empty() && !worker.hold_in_flight && worker.unacknowledged_ends.empty() &&
            has_lapsed(shard, worker, now) && !shard.unreached_workers.contains(it->first);
        if (removable) {
            drop_reservations(shard.tables, worker);
            shard.untouched_workers.erase(it->first);
            shard.log->write("event=worker_forgotten shard={} worker={}", shard.id.value,
                             it->first.value);
            next_fence(shard); // a new row has a higher one
            it = shard.tables.workers.erase(it);
        } else {
            ++it;
        }
    }
}

// Sends the next hold to each worker for which one is due.
void send_holds(shard_state& shard, time_point now, shard_actions& actions) {
    const bool authority = has_authority(shard, now);
    for (auto& [id, worker] : shard.tables.workers) {
        if (worker.hold_in_flight || worker.next_hold > now) {
            continue;
        }
        hold_command command;
        command.token = make_token(shard, worker);
        const bool steady =
            worker.reachability == reachability_state::reachable && worker.inventoried;
        // After an unanswered hold, or a while after a reply was sent, another incarnation of the
        // worker may reply, and its run ends use the same numbers again.
        const bool same_incarnation = steady && now <= worker.replied_at + shard.timing.reply_age;
        const bool new_number = worker.acknowledged_end > worker.acknowledged_sent;
        command.acknowledged = same_incarnation && new_number && may_acknowledge(worker, now)
                                   ? worker.acknowledged_end
                                   : 0;
        worker.acknowledged_in_flight = command.acknowledged;
        const bool promised = is_promised(shard, id);
        if (steady && authority && !promised) {
            command.lease_until = next_lease(shard, worker, now);
            worker.lease_until = std::max(worker.lease_until, *command.lease_until);
            note_lease_sent(shard.timing, worker, now);
        }
        worker.hold_has_lease = command.lease_until.has_value();
        command.wait = !steady || promised        ? duration(0)
                       : is_shared(shard, worker) ? shard.timing.shared_hold_wait
                                                  : shard.timing.hold_wait;
        worker.hold_in_flight = true;
        worker.hold_sent = now;
        worker.hold_fence = worker.fence;
        actions.holds.push_back({worker.entry.target, command});
    }
}

// Selects ended jobs whose retention has passed. The next transaction deletes their records.
void find_purgeable(shard_state& shard, time_point now, unix_time unix_now) {
    // Each job needs three removals, and those of this many jobs fit into one transaction.
    constexpr std::size_t purge_batch = 8;
    constexpr duration purge_interval{2'000};
    if (!shard.to_purge.empty() || now < shard.next_purge) {
        return;
    }
    shard.next_purge = now + purge_interval;
    for (const auto& [id, job] : shard.tables.jobs) {
        if (has_ended(job.phase) && job.stored_version == job.version && job.loans.empty() &&
            unix_now.value - job.ended.value > shard.timing.retention.count()) {
            shard.to_purge.push_back(id);
            if (shard.to_purge.size() == purge_batch) {
                return;
            }
        }
    }
}

} // namespace

std::string_view to_string(submit_outcome outcome) {
    switch (outcome) {
    case submit_outcome::accepted:
        return "accepted";
    case submit_outcome::refused:
        return "refused";
    case submit_outcome::unavailable:
        return "unavailable";
    case submit_outcome::unknown:
        return "unknown";
    }
    return "";
}

shard_state make_shard(const shard_record& record, const host_id& self, epoch_number epoch,
                       revision_number claim_revision, const shard_timing& timing,
                       metrics& counters, decision_log& log) {
    shard_state shard;
    shard.id = record.id;
    shard.data_centre = record.data_centre;
    shard.racks.insert(record.racks.begin(), record.racks.end());
    shard.self = self;
    shard.epoch = epoch;
    shard.claim_revision = claim_revision;
    shard.timing = timing;
    shard.counters = &counters;
    shard.log = &log;
    return shard;
}

void load_shard(shard_state& shard, const std::vector<store_entry>& entries) {
    const auto prefix = data_prefix(shard.id);
    const auto jobs = prefix + "job/";
    const auto progress = prefix + "progress/";
    const auto reject = [&](const store_entry& entry, const error& failure) {
        shard.counters->count("unreadable_records");
        shard.log->write("event=record_unreadable key={} detail=\"{}\"", entry.key, failure.detail);
    };
    std::size_t unfinished = 0;
    epoch_number last_committer;
    open_starts_record open_starts;
    for (const auto& entry : entries) {
        if (!entry.key.starts_with(jobs)) {
            continue;
        }
        const job_id id{entry.key.substr(jobs.size())};
        auto job = parse_job(id, entry.value);
        if (!job) {
            reject(entry, job.error());
            continue;
        }
        job.value().inherited = true;
        shard.tables.jobs.insert_or_assign(id, std::move(job).value());
    }
    for (const auto& entry : entries) {
        if (entry.key == head_key(shard.id)) {
            shard.head_revision = entry.revision;
            const auto head = parse_head(entry.value);
            last_committer = head ? head.value().epoch : epoch_number{};
        } else if (entry.key == open_starts_key(shard.id)) {
            auto record = parse_open_starts(entry.value);
            if (!record) {
                reject(entry, record.error());
                continue;
            }
            open_starts = std::move(record).value();
        } else if (entry.key == worker_list_key(shard.id)) {
            const auto known = parse_known_workers(entry.value);
            if (!known) {
                reject(entry, known.error());
                continue;
            }
            for (const auto& worker : known.value()) {
                auto& row = shard.tables.workers[worker.target.id];
                row.entry.target = worker.target;
                row.entry.data_centre = shard.data_centre;
                shard.unreached_workers.insert_or_assign(worker.target.id, worker.target.address);
                shard.stored_workers.insert_or_assign(worker.target.id, worker.target.address);
                shard.listed_since[worker.target.id] = worker.since;
                shard.usually_leased_workers.insert(worker.target.id);
                shard.untouched_workers.insert(worker.target.id);
                if (worker.promise) {
                    shard.predecessor_promises.emplace(worker.target.id, *worker.promise);
                }
            }
        } else if (entry.key == ownership_key(shard.id)) {
            auto record = parse_ownership(entry.value);
            if (!record) {
                reject(entry, record.error());
                continue;
            }
            shard.stored_ownership = std::move(record).value();
        } else if (entry.key == incarnations_key(shard.id)) {
            auto record = parse_incarnations(entry.value);
            if (!record) {
                reject(entry, record.error());
                continue;
            }
            shard.stored_settled = record.value();
            shard.settled = std::move(record).value();
        } else if (entry.key.starts_with(progress)) {
            const auto job = shard.tables.jobs.find(job_id{entry.key.substr(progress.size())});
            if (job == shard.tables.jobs.end()) {
                continue;
            }
            if (const auto parsed = parse_progress(job->second, entry.value); !parsed) {
                reject(entry, parsed.error());
            }
            skip_used_numbers(job->second, shard.epoch);
        }
    }
    shard.predecessor_workers = shard.listed_since;
    find_former_owners(shard);
    rebuild_loan_table(shard);
    const auto parked = load_parked_tasks(shard);
    load_recorded_runs(shard);
    for (auto& [id, job] : shard.tables.jobs) {
        job.starts_recorded = job.starts_recorded_by.value + 1 == shard.epoch.value;
    }
    load_open_starts(shard, open_starts, last_committer);
    for (auto& [id, job] : shard.tables.jobs) {
        if (!has_ended(job.phase)) {
            shard.active.insert(id);
            ++unfinished;
        }
    }
    shard.log->write_rare("event=shard_loaded shard={} epoch={} jobs={} unfinished={} workers={} "
                          "parked={}",
                          shard.id.value, shard.epoch.value, shard.tables.jobs.size(), unfinished,
                          shard.tables.workers.size(), parked);
}

void on_worker_entry(shard_state& shard, const worker_entry& entry, time_point now) {
    auto [found, added] = shard.tables.workers.try_emplace(entry.target.id);
    auto& worker = found->second;
    if (added) {
        worker.fence = shard.fences;
    }
    const bool first_drain = entry.draining && !worker.entry.draining;
    if (first_drain) {
        worker.draining_at = now;
    }
    // The workers that a new owner finds are counted in shard_loaded.
    if ((!worker.listed && (shard.takeover_complete || entry.draining)) ||
        worker.entry.draining != entry.draining) {
        shard.log->write("event=worker_listed shard={} worker={} draining={} cpu={} mem={}",
                         shard.id.value, entry.target.id.value, entry.draining,
                         entry.capacity.processors.value, entry.capacity.memory.value);
    }
    if (worker.entry.target.address != entry.target.address) {
        worker.replaced = false;
        worker.next_hold = now;
    }
    // Entries are written at intervals, so one of a former incarnation may be read after a reply of
    // the next one.
    const bool restarted = entry.start_time && worker.start_time &&
                           *entry.start_time > *worker.start_time &&
                           entry.start_time != worker.entry.start_time;
    worker.entry = entry;
    worker.listed = true;
    shard.placement_needed = true;
    if (restarted) {
        suspect_restart(shard, worker, "entry", now);
    }
}

void on_worker_unlisted(shard_state& shard, const worker_id& id, time_point now) {
    const auto found = shard.tables.workers.find(id);
    if (found == shard.tables.workers.end() || !found->second.listed) {
        return;
    }
    found->second.listed = false;
    found->second.unlisted_at = now;
    shard.log->write("event=worker_unlisted shard={} worker={}", shard.id.value, id.value);
}

bool exceeds_long_running_limit(const shard_state& shard, const queue_spec& queue,
                                const job_spec& spec) {
    constexpr std::int64_t long_running_limit_percent = 88;
    std::int64_t wanted = 0;
    for (const auto& step : spec.steps) {
        if (step.long_running) {
            wanted += step.count * step.need.processors.value;
        }
    }
    if (wanted == 0) {
        return false;
    }
    std::int64_t capacity = 0;
    for (const auto& [id, worker] : shard.tables.workers) {
        if (worker.entry.service == queue.service && worker.listed) {
            capacity += worker.entry.capacity.processors.value;
            wanted += worker.committed.processors.value;
        }
    }
    for (const auto& [id, job] : shard.tables.jobs) {
        if (has_ended(job.phase) || is_borrowed(job) || job.queue.service != queue.service) {
            continue;
        }
        if (!job.spec_stored) {
            for (const auto& step : job.spec.steps) {
                wanted += step.long_running ? step.count * step.need.processors.value : 0;
            }
        }
        for (const auto& [number, occurrence] : job.occurrences) {
            for (const auto& stage : occurrence.stages) {
                const auto& step = job.spec.steps[stage.step];
                wanted += step.long_running ? static_cast<std::int64_t>(stage.waiting.size()) *
                                                  step.need.processors.value
                                            : 0;
            }
        }
    }
    return wanted * 100 > capacity * long_running_limit_percent;
}

void submit_job(shard_state& shard, const job_id& id, const queue_spec& queue, job_spec spec,
                const submit_request& request, time_point now, unix_time unix_now) {
    auto& waiting = shard.submissions[id];
    if (waiting.tokens.empty()) {
        waiting.arrived = now;
        waiting.store_by = request.store_by;
    }
    waiting.store_by = std::max(waiting.store_by, request.store_by);
    waiting.tokens.push_back(request.token);
    if (shard.tables.jobs.contains(id)) {
        return;
    }
    auto& job = shard.tables.jobs[id];
    job.id = id;
    job.queue = queue;
    job.spec = std::move(spec);
    job.accepted = unix_now;
    job.starts_recorded_by = shard.epoch;
    shard.commit.urgent = true;
    if (!shard.commit.dirty_since) {
        shard.commit.dirty_since = now;
    }
}

void cancel_job(shard_state& shard, const job_id& id, request_token token, time_point now,
                unix_time unix_now) {
    shard.cancellations[id].push_back(token);
    const auto found = shard.tables.jobs.find(id);
    if (found == shard.tables.jobs.end() || has_ended(found->second.phase) ||
        is_borrowed(found->second)) {
        return;
    }
    end_job(shard, found->second, job_phase::cancelled, now, unix_now);
}

std::optional<job_phase> visible_phase(const shard_state& shard, const job_id& id) {
    const auto found = shard.tables.jobs.find(id);
    if (found == shard.tables.jobs.end() || !found->second.spec_stored ||
        is_borrowed(found->second)) {
        return std::nullopt;
    }
    const auto& job = found->second;
    if (has_ended(job.phase) && job.stored_version < job.version) {
        return job.reported_running ? job_phase::running : job_phase::queued;
    }
    return job.phase;
}

void end_job(shard_state& shard, job_row& job, job_phase phase, time_point now,
             unix_time unix_now) {
    assert(!has_ended(job.phase));
    job.reported_running = job.phase == job_phase::running;
    job.phase = phase;
    job.ended = unix_now;
    record_change(shard, job, true, now);
    shard.active.erase(job.id);
    const auto cause =
        phase == job_phase::cancelled ? stop_cause::cancelled : stop_cause::job_failed;
    for (auto& [number, occurrence] : job.occurrences) {
        for (auto& stage : occurrence.stages) {
            for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
                for (const auto run : stage.tasks[index].runs) {
                    const run_key key{{job.id, number, stage.step, index}, run};
                    request_stop(shard.tables.runs.at(key), cause, now);
                }
            }
        }
    }
    for (const auto& [number, to] : job.loans) {
        auto& loan = shard.tables.loans.at(number);
        loan.withdrawn = true;
        loan.version = job.version;
        loan.next_send = now;
    }
    // Rows of runs that are still active stay, but their tasks are no longer needed.
    job.occurrences.clear();
    shard.log->write("event=job_ended job={} shard={} phase={} age_ms={}", job.id.value,
                     shard.id.value, to_string(phase), unix_now.value - job.accepted.value);
    shard.counters->count("jobs_ended", to_string(phase));
}

void request_stop(run_row& run, stop_cause cause, time_point now) {
    if (run.phase == run_phase::stopping) {
        return;
    }
    run.phase = run_phase::stopping;
    run.cause = cause;
    run.next_stop = now;
    run.stop_answered.reset();
}

std::optional<worker_clock> earliest_clock(const shard_state& shard, const worker_row& worker,
                                           time_point now) {
    if (!worker.clock) {
        return std::nullopt;
    }
    const auto elapsed = (now - worker.clock_at) * (100 - shard.timing.clock_drift_percent) / 100;
    return worker_clock{worker.clock->value + elapsed.count()};
}

worker_clock next_lease(const shard_state& shard, const worker_row& worker, time_point now) {
    assert(worker.clock);
    const auto lease = worker.entry.draining
                           ? std::min(shard.timing.draining_worker_lease, shard.timing.lease)
                           : shard.timing.lease;
    return {worker.clock->value + (now - worker.clock_at + lease).count()};
}

bool has_lapsed(const shard_state& shard, const worker_row& worker, time_point now) {
    if (worker.replaced) {
        return true;
    }
    const auto clock = earliest_clock(shard, worker, now);
    if (!clock) {
        return shard.takeover_complete;
    }
    return clock->value >= worker.lease_until.value + shard.timing.lease_margin.count();
}

void lose_shard(shard_state& shard, std::string_view reason) {
    if (!shard.ownership_lost) {
        shard.ownership_lost = true;
        shard.log->write_rare("event=shard_lost shard={} epoch={} reason={}", shard.id.value,
                              shard.epoch.value, reason);
        shard.counters->count("shards_lost", reason);
    }
}

void end_lost_run(shard_state& shard, const run_key& key, std::string_view reason, time_point now) {
    const auto& run = shard.tables.runs.at(key);
    const auto& worker = shard.tables.workers.at(run.worker);
    shard.log->write("event=run_lost task={}.{}.{}.{} run={} worker={} reason={} phase={} "
                     "incarnation_known={} starts_unanswered={} leases_unanswered={} started_ms={} "
                     "unanswered_ms={}",
                     key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                     key.number.value, run.worker.value, reason, to_string(run.phase),
                     run.incarnation_known, run.starts_unanswered, worker.unanswered_leases.size(),
                     (now - run.start_sent).count(), (now - worker.unanswered_since).count());
    shard.counters->count("runs_lost", reason);
    if (find_task(shard.tables, key.task) != nullptr) {
        const auto& step = shard.tables.jobs.at(key.task.job).spec.steps[key.task.step];
        keep_checkpoint(*find_stage(shard.tables, key.task), step, key, run.checkpoint, false);
    }
    remove_run(shard.tables, key);
    shard.placement_needed = true;
}

void advance(shard_state& shard, time_point now, unix_time unix_now, shard_actions& actions) {
    if (shard.ownership_lost) {
        return;
    }
    shard.wall_clock = unix_now;
    actions.time = now;
    for (const auto& id : shard.active) {
        auto& job = shard.tables.jobs.at(id);
        if (job.spec_stored) {
            open_due_occurrences(shard, job, unix_now);
        }
    }
    adopt_open_starts(shard, now);
    complete_takeover(shard, now);
    log_authority_limit(shard, now);
    expire_workers(shard, now);
    stop_unanswered_gangs(shard, now);
    apply_passed_rooms(shard, now);
    if (shard.placement_needed || now >= shard.tables.searches.next_complete_round) {
        shard.placement_needed = false;
        place_tasks(shard, now, actions);
    }
    log_waiting_tasks(shard, now);
    park_waiting_tasks(shard, now);
    record_long_running_runs(shard, now);
    update_settled(shard, now);
    regroup_tasks(shard, now);
    serve_room_requests(shard, now);
    drain_long_running_tasks(shard, now);
    evict_for_reservations(shard, now);
    repeat_starts(shard, now, actions);
    send_stops(shard, now, actions);
    send_paces(shard, actions);
    find_purgeable(shard, now, unix_now);
    send_loans(shard, now, actions);
    prepare_commit(shard, now, actions);
    send_holds(shard, now, actions);
}

bool can_release(const shard_state& shard) {
    const auto& commit = shard.commit;
    const auto unstored = [&](const auto& row) {
        const auto job = shard.tables.jobs.find(row.first);
        return job != shard.tables.jobs.end() && job->second.stored_version < job->second.version;
    };
    return !commit.in_flight && !commit.pending && shard.submissions.empty() &&
           std::none_of(shard.cancellations.begin(), shard.cancellations.end(), unstored);
}

} // namespace fulmar
