// Incarnations of workers. A worker that restarts under its id knows nothing of before, counts its
// clock from its start, and executes commands that were meant for its former incarnation. Until a
// reply shows the restart, this owner counts with the former one.
#include "shard_internal.hpp"

#include <algorithm>
#include <limits>

namespace fulmar {

namespace {

// A start without a reply may be carried out this long after it was sent.
constexpr duration late_start_limit{12'000};

constexpr duration settled_check_interval{300};

// Number of starts without a reply that are kept for a worker.
constexpr std::size_t max_unanswered_starts = 64;

} // namespace

std::string_view to_string(incarnation_match match) {
    switch (match) {
    case incarnation_match::known:
        return "known";
    case incarnation_match::unclear:
        return "unclear";
    case incarnation_match::former:
        return "former";
    case incarnation_match::other:
        return "other";
    }
    return "";
}

// The known incarnation's clock can be told while the command was on its way. A later one began
// after the clock was read, so its own is behind, but for a worker that was young then.
incarnation_match match_incarnation(const shard_timing& timing, const worker_row& worker,
                                    const command_reply& reply, time_point sent, time_point now) {
    if (reply.start_time && worker.start_time) {
        return reply.start_time == worker.start_time ? incarnation_match::known
                                                     : incarnation_match::other;
    }
    if (!reply.clock || !worker.clock) {
        return incarnation_match::unclear;
    }
    const auto slow = [&](duration time) {
        return time.count() > 0 ? time * (100 - timing.clock_drift_percent) / 100 : time;
    };
    const duration clock(reply.clock->value);
    const duration known(worker.clock->value);
    const auto lowest = known + slow(sent - worker.clock_at) - timing.lease_margin;
    const auto highest = known + (now - worker.clock_sent) + timing.lease_margin;
    if (clock > highest) {
        // A later one is behind, and so is the known one, unless this host's clock stood still.
        return incarnation_match::former;
    }
    if (clock < lowest) {
        return incarnation_match::other;
    }
    const auto highest_of_later = now - worker.clock_sent;
    return highest_of_later < lowest ? incarnation_match::known : incarnation_match::unclear;
}

bool has_lapsed(const shard_state& shard, const worker_row& worker, const run_row& run,
                time_point now) {
    return has_lapsed(shard, worker, now) &&
           (run.incarnation_known || worker.replaced ||
            now >= find_unnoticed_leases_end(shard.timing, worker));
}

time_point find_unnoticed_leases_end(const shard_timing& timing, const worker_row& worker) {
    const auto longest = timing.longest_lease * (100 + timing.clock_drift_percent) / 100;
    return worker.commands_until + longest + timing.lease_margin;
}

void note_lease_sent(const shard_timing& timing, worker_row& worker, time_point now) {
    worker.commands_until = std::max(worker.commands_until, now + timing.delivery_limit);
}

bool has_usual_lease(const shard_state& shard, const worker_row& worker, time_point now) {
    return worker.lease_until <=
           worker_clock{next_lease(shard, worker, now).value + shard.timing.lease_margin.count()};
}

void update_settled(shard_state& shard, time_point now) {
    if (now < shard.next_settled_check) {
        return;
    }
    shard.next_settled_check = now + settled_check_interval;
    std::erase_if(shard.settled,
                  [&](const auto& row) { return !shard.tables.workers.contains(row.first); });
    for (const auto& [id, worker] : shard.tables.workers) {
        const bool answers = worker.reachability == reachability_state::reachable &&
                             worker.inventoried && worker.start_time;
        if (answers && has_usual_lease(shard, worker, now)) {
            shard.settled[id] = *worker.start_time;
        }
    }
}

// A former owner's commands are refused from this reply on. This owner's that were meant for a
// former incarnation may still arrive.
duration find_first_lease(const shard_state& shard, const worker_row& worker,
                          const std::optional<process_start_time>& start_time, time_point now) {
    const auto settled = shard.settled.find(worker.entry.target.id);
    const bool known =
        start_time && settled != shard.settled.end() && settled->second == *start_time;
    const bool unused = shard.epoch.value == 1 && worker.commands_until == time_point{};
    if (known || unused) {
        return shard.timing.lease;
    }
    return shard.timing.longest_lease + std::max(duration(0), worker.commands_until - now);
}

void suspect_restart(shard_state& shard, worker_row& worker, std::string_view evidence,
                     time_point now) {
    shard.counters->count("restarts_suspected", evidence);
    shard.log->write("event=restart_suspected shard={} worker={} evidence={} runs={}",
                     shard.id.value, worker.entry.target.id.value, evidence, worker.runs.size());
    worker.inventoried = false;
    worker.replies_since = now; // a hold in flight may wait for the former incarnation's answer
    worker.hold_in_flight = false;
    worker.next_hold = now;
}

// The new incarnation may have executed starts that were meant for the earlier one, and may still
// execute those that got no reply, so their runs are kept until it refuses or lists them, or a list
// lacks them.
void reset_worker_state(shard_state& shard, worker_row& worker, time_point now) {
    shard.log->write("event=worker_restarted shard={} worker={} runs={}", shard.id.value,
                     worker.entry.target.id.value, worker.runs.size());
    const auto runs = worker.runs;
    for (const auto& key : runs) {
        auto& run = shard.tables.runs.at(key);
        if (!run.incarnation_known) {
            run.command_lease = {std::numeric_limits<std::int64_t>::max()};
            run.stop_answered.reset();
            run.next_stop = {};
            continue;
        }
        if (auto* task = find_task(shard.tables, key.task); task && !run.checkpoint.empty()) {
            task->checkpoint = run.checkpoint;
        }
        shard.counters->count("runs_lost", "worker_restarted");
        remove_run(shard.tables, key);
    }
    worker.incarnation_since = now;
    refuse_unanswered_starts(shard.tables, worker.entry.target.id, now);
    worker.processed_end = 0;
    worker.acknowledged_end = 0;
    worker.acknowledged_sent = 0;
    worker.acknowledged_in_flight = 0;
    worker.ends_contiguous = true; // an incarnation's numbers begin at 1
    worker.unacknowledged_ends.clear();
    worker.failures = 0;
    worker.lease_until = {};
    worker.inventoried = false;
    shard.placement_needed = true;
}

void note_unanswered_start(shard_tables& tables, const run_row& run) {
    auto& starts = tables.unanswered_starts[run.worker];
    unanswered_start start;
    start.run = run.key;
    start.sent = run.start_sent;
    starts.push_back(start);
    if (starts.size() > max_unanswered_starts) {
        starts.pop_front();
    }
}

void refuse_unanswered_starts(shard_tables& tables, const worker_id& worker, time_point now) {
    const auto found = tables.unanswered_starts.find(worker);
    if (found == tables.unanswered_starts.end()) {
        return;
    }
    for (auto& start : found->second) {
        start.stop_due = true;
        start.next_stop = now;
    }
}

void send_late_start_stops(shard_state& shard, time_point now, shard_actions& actions) {
    auto& tables = shard.tables;
    for (auto it = tables.unanswered_starts.begin(); it != tables.unanswered_starts.end();) {
        auto& [id, starts] = *it;
        while (!starts.empty() && now >= starts.front().sent + late_start_limit) {
            starts.pop_front();
        }
        const auto worker = tables.workers.find(id);
        for (auto& start : starts) {
            if (!start.stop_due || now < start.next_stop || tables.runs.contains(start.run) ||
                worker == tables.workers.end()) {
                continue;
            }
            start.stop_sent = now;
            start.next_stop = now + shard.timing.stop_retry;
            actions.stops.push_back({worker->second.entry.target, {start.run, shard.epoch}});
            shard.counters->count("late_start_stops");
        }
        it = starts.empty() ? tables.unanswered_starts.erase(it) : std::next(it);
    }
}

void on_late_start_stopped(shard_tables& tables, const run_key& run) {
    for (auto& [id, starts] : tables.unanswered_starts) {
        const auto start =
            std::find_if(starts.begin(), starts.end(), [&](const unanswered_start& row) {
                return row.stop_due && row.run == run;
            });
        const auto worker = tables.workers.find(id);
        if (start != starts.end() && worker != tables.workers.end() &&
            start->stop_sent >= worker->second.incarnation_since) {
            start->stop_due = false;
        }
    }
}

void check_end_numbers(shard_state& shard, const worker_row& worker,
                       const std::vector<run_end>& ended) {
    const auto next = std::find_if(ended.begin(), ended.end(), [&](const run_end& row) {
        return row.number > worker.processed_end;
    });
    if (!worker.ends_contiguous || next == ended.end() ||
        next->number == worker.processed_end + 1) {
        return;
    }
    const auto missing = next->number - worker.processed_end - 1;
    shard.counters->count("run_ends_missing", {}, static_cast<double>(missing));
    shard.log->write("event=run_ends_missing shard={} worker={} first={} ends={}", shard.id.value,
                     worker.entry.target.id.value, worker.processed_end + 1, missing);
}

} // namespace fulmar
