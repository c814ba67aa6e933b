// Open starts: those that got no reply in the usual time, or that another incarnation of the worker
// than the known one executed. Their owner stores them with each transaction. A successor adopts
// their runs as if it had sent the starts itself: each task stays with its worker until no sending
// can be executed any more, also if the worker answers the successor and restarts afterwards. A
// start that is sent within the last moments of an owner isn't stored.
#include "bounded_json.hpp"
#include "shard_internal.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace fulmar {

namespace {

// Replies take a few milliseconds, so that in calm times no start is stored.
constexpr duration usual_answer_time{50};

// Returns until when a start of the run may be executed.
time_point find_last_arrival(const shard_timing& timing, const run_row& run) {
    const auto in_flight = run.start_in_flight ? run.start_sent + timing.late_limit : time_point{};
    return std::max(run.late_until, in_flight);
}

// Returns until when a command without a reply may give the worker the longest lease.
time_point find_last_lease(const shard_timing& timing, const worker_row& worker) {
    const auto& unanswered = worker.unanswered_leases;
    return unanswered.empty()
               ? worker.leases_taken
               : std::max(worker.leases_taken, unanswered.back().sent + timing.late_limit);
}

bool is_open(const worker_row& worker, const run_row& run, time_point now) {
    const bool usual = run.start_in_flight && run.starts_unanswered == 0 &&
                       now < run.start_sent + usual_answer_time;
    return !usual && !is_certain(worker, run);
}

// Calls a function for each open start.
template <class Visit>
void for_each_open_start(const shard_state& shard, time_point now, Visit visit) {
    for (const auto& [key, run] : shard.tables.runs) {
        if (run.incarnation_known && !may_start_late(run, time_point{})) {
            continue; // most runs, without a search for the worker
        }
        const auto& worker = shard.tables.workers.at(run.worker);
        if (is_open(worker, run, now)) {
            visit(run, worker);
        }
    }
}

void adopt_open_start(shard_state& shard, const open_start& row, time_point now) {
    const auto& key = row.run;
    const auto worker = shard.tables.workers.find(row.worker);
    if (worker == shard.tables.workers.end() || shard.tables.runs.contains(key)) {
        return;
    }
    run_row run;
    run.key = key;
    run.worker = row.worker;
    run.phase = run_phase::unconfirmed;
    run.start_sent = now;
    run.late_until = now + row.late_in;
    run.starts_sent = 1;
    run.starts_unanswered = 1;
    run.command_lease = {std::numeric_limits<std::int64_t>::max()};
    const auto job = shard.tables.jobs.find(key.task.job);
    if (job != shard.tables.jobs.end() && key.task.step < job->second.spec.steps.size()) {
        apply_step_spec(run, job->second.spec.steps[key.task.step]);
    }
    open_reported_occurrence(shard, key.task, shard.wall_clock);
    const auto* task = find_task(shard.tables, key.task);
    if (task == nullptr && find_stage(shard.tables, key.task) != nullptr) {
        return; // the record names a task that the step lacks
    }
    // The row of a failed run stays until its start can't arrive any more.
    const bool failed = task != nullptr &&
                        std::find(task->failed_runs.begin(), task->failed_runs.end(), key.number) !=
                            task->failed_runs.end();
    const bool wanted = task != nullptr && !task->done && !task->not_local && !failed;
    if (wanted) {
        run.checkpoint = task->checkpoint;
    }
    auto& taken = worker->second.leases_taken;
    taken = std::max(taken, now + row.leases_taken_in);
    auto& added = add_run(shard.tables, std::move(run));
    if (!wanted) {
        const auto cause = task == nullptr ? stop_cause::cancelled : stop_cause::duplicate;
        request_stop(added, cause, now);
    }
    shard.log->write("event=start_inherited task={}.{}.{}.{} run={} worker={} wanted={} late_ms={}",
                     key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                     key.number.value, row.worker.value, wanted, row.late_in.count());
}

} // namespace

std::vector<open_start> find_open_starts(const shard_state& shard, time_point now) {
    std::vector<open_start> found;
    const auto left = [&](time_point until) { return std::max(duration(0), until - now); };
    for_each_open_start(shard, now, [&](const run_row& run, const worker_row& worker) {
        found.push_back({run.key, run.worker, left(find_last_arrival(shard.timing, run)),
                         left(find_last_lease(shard.timing, worker))});
    });
    return found;
}

sent_starts find_sent_starts(const shard_state& shard, time_point now) {
    sent_starts found;
    for_each_open_start(shard, now, [&](const run_row& run, const worker_row& /*worker*/) {
        found.emplace_hint(found.end(), run.key, run.start_sent);
    });
    return found;
}

bool has_new_open_starts(const shard_state& shard, time_point now) {
    bool found = false;
    for_each_open_start(shard, now, [&](const run_row& run, const worker_row& /*worker*/) {
        const auto stored = shard.stored_open_starts.find(run.key);
        found =
            found || stored == shard.stored_open_starts.end() || stored->second != run.start_sent;
    });
    return found;
}

void load_open_starts(shard_state& shard, const open_starts_record& record, epoch_number last) {
    for (const auto& row : record.rows) {
        shard.stored_open_starts.emplace(row.run, time_point{}); // until this owner's first record
    }
    if (record.by >= last) {
        shard.inherited_starts = record.rows;
    }
}

void adopt_open_starts(shard_state& shard, time_point now) {
    for (const auto& row : std::exchange(shard.inherited_starts, {})) {
        adopt_open_start(shard, row, now);
    }
}

std::string open_starts_key(const shard_id& shard) {
    return data_prefix(shard) + "starts";
}

std::string encode(const open_starts_record& record) {
    json rows = json::array();
    for (const auto& row : record.rows) {
        const auto& task = row.run.task;
        rows.push_back({task.job, task.occurrence, task.step, task.index, row.run.number,
                        row.worker, row.late_in.count(), row.leases_taken_in.count()});
    }
    return json{{"by", record.by}, {"rows", std::move(rows)}}.dump();
}

result<open_starts_record> parse_open_starts(std::string_view text) {
    try {
        const auto in = parse_bounded_json(text);
        open_starts_record record{in.at("by").get<epoch_number>()};
        for (const auto& row : in.at("rows")) {
            record.rows.push_back(
                {{{row.at(0).get<job_id>(), row.at(1).get<std::uint32_t>(),
                   row.at(2).get<std::uint32_t>(), row.at(3).get<std::uint32_t>()},
                  row.at(4).get<run_number>()},
                 row.at(5).get<worker_id>(),
                 duration(row.at(6).get<std::int64_t>()),
                 duration(row.at(7).get<std::int64_t>())});
        }
        return record;
    } catch (const std::exception& failure) {
        return error{error_kind::protocol_error, make_printable(failure.what())};
    }
}

} // namespace fulmar
