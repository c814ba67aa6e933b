// Incarnations of workers. A worker that restarts under its id knows nothing of before, counts its
// clock from its start, and executes commands that were meant for its former incarnation. Until a
// reply shows the restart, this owner counts with the former one. A command without a reply may be
// executed seconds later, by a later incarnation as well. The fence, a part of the token in each
// command, is raised after such a command: an incarnation that has replied to the raised one
// refuses all that was sent before.
#include "shard_acknowledgements.hpp"
#include "shard_internal.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace fulmar {

namespace {

// Bits of a fencing token for the fence, below those for the epoch.
constexpr unsigned fence_bits = 20;
constexpr std::uint32_t highest_fence = (1U << fence_bits) - 1;

// Number of commands without a reply that are kept for a worker one by one.
constexpr std::size_t max_unanswered_leases = 64;

constexpr duration settled_check_interval{300};

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

fencing_token make_token(const shard_state& shard, const worker_row& worker) {
    return {(shard.epoch.value << fence_bits) + worker.fence};
}

std::uint32_t next_fence(shard_state& shard) {
    if (shard.fences >= highest_fence) {
        lose_shard(shard, "fences_used_up"); // the next epoch begins with the lowest
        return shard.fences;
    }
    return ++shard.fences;
}

// The limit is that of each worker, so that it lasts for days.
void raise_fence(shard_state& shard, worker_row& worker) {
    if (worker.fence >= highest_fence) {
        lose_shard(shard, "fences_used_up"); // the next epoch begins with the lowest
        return;
    }
    shard.fences = std::max(shard.fences, ++worker.fence);
}

void on_fenced(shard_state& shard, const worker_row& worker, std::uint32_t fence) {
    if (fence >= worker.fence) {
        lose_shard(shard, "fenced");
    }
}

bool refuses_former_commands(const worker_row& worker) {
    const auto& unanswered = worker.unanswered_leases;
    return worker.hold_fence == worker.fence &&
           (unanswered.empty() || unanswered.back().fence < worker.fence);
}

bool may_start_late(const run_row& run, time_point at) {
    return run.start_in_flight || at < run.late_until;
}

bool may_acknowledge(const worker_row& worker, time_point now) {
    return std::none_of(worker.run_rows.begin(), worker.run_rows.end(),
                        [&](const run_row* run) { return may_start_late(*run, now); });
}

bool refuse_acknowledgement(shard_state& shard, worker_row& worker) {
    if (worker.hold_in_flight && worker.acknowledged_in_flight > 0 &&
        worker.hold_fence == worker.fence) {
        raise_fence(shard, worker);
    }
    return !shard.ownership_lost;
}

bool is_certain(const worker_row& worker, const run_row& run) {
    return run.incarnation_known && !may_start_late(run, worker.clock_sent);
}

bool has_lapsed(const shard_state& shard, const worker_row& worker, const run_row& run,
                time_point now) {
    return has_lapsed(shard, worker, now) &&
           (is_certain(worker, run) || worker.replaced ||
            now >= find_unnoticed_leases_end(shard.timing, worker));
}

time_point find_unnoticed_leases_end(const shard_timing& timing, const worker_row& worker) {
    const auto longest = timing.longest_lease * (100 + timing.clock_drift_percent) / 100;
    auto last = worker.leases_taken;
    if (!worker.unanswered_leases.empty()) {
        last = std::max(last, worker.unanswered_leases.back().sent + timing.late_limit);
    }
    return last + longest + timing.lease_margin;
}

void note_lease_sent(const shard_timing& timing, worker_row& worker, time_point now) {
    auto& unanswered = worker.unanswered_leases;
    unanswered.push_back({now, worker.fence});
    while (unanswered.front().sent + timing.late_limit < now ||
           unanswered.size() > max_unanswered_leases) {
        const auto late = unanswered.front().sent + timing.late_limit;
        worker.leases_taken = std::max(worker.leases_taken, late);
        unanswered.pop_front();
    }
}

void note_lease_answered(worker_row& worker, time_point sent) {
    auto& unanswered = worker.unanswered_leases;
    const auto found =
        std::find_if(unanswered.begin(), unanswered.end(),
                     [&](const worker_row::unanswered_lease& row) { return row.sent == sent; });
    if (found != unanswered.end()) {
        unanswered.erase(found);
    }
}

bool may_have_taken_lease(const shard_state& shard, const worker_row& worker, time_point now) {
    const auto& unanswered = worker.unanswered_leases;
    const auto former_owners_end =
        shard.loaded_at + shard.timing.confirmation_window + shard.timing.late_limit;
    return (shard.epoch.value > 1 && now < former_owners_end) ||
           (!unanswered.empty() && now <= unanswered.back().sent + shard.timing.late_limit) ||
           worker.leases_taken > worker.clock_sent;
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

// All commands that were sent before are refused from this reply on.
duration find_first_lease(const shard_state& shard, const worker_row& worker,
                          const std::optional<process_start_time>& start_time, bool took_no_lease) {
    const auto settled = shard.settled.find(worker.entry.target.id);
    const bool known =
        start_time && settled != shard.settled.end() && settled->second == *start_time;
    const bool unused = shard.epoch.value == 1 && worker.fence == 0 &&
                        worker.leases_taken == time_point{} && worker.unanswered_leases.empty();
    return known || unused || took_no_lease ? shard.timing.lease : shard.timing.longest_lease;
}

void suspect_restart(shard_state& shard, worker_row& worker, std::string_view evidence,
                     time_point now) {
    shard.counters->count("restarts_suspected", evidence);
    shard.log->write("event=restart_suspected shard={} worker={} evidence={} runs={}",
                     shard.id.value, worker.entry.target.id.value, evidence, worker.runs.size());
    raise_fence(shard, worker);
    worker.inventoried = false;
    worker.replies_since = now; // a hold in flight may wait for the former incarnation's answer
    worker.hold_in_flight = false;
    worker.next_hold = now;
    for (auto* run : worker.run_rows) {
        run->next_stop = now; // whichever call arrives first has former starts refused
    }
}

// The new incarnation may have executed starts that were meant for the earlier one, and a later one
// may still execute those that got no reply, so their runs are kept.
void reset_worker_state(shard_state& shard, worker_row& worker, time_point now) {
    shard.log->write("event=worker_restarted shard={} worker={} runs={} fence={}", shard.id.value,
                     worker.entry.target.id.value, worker.runs.size(), worker.fence);
    const auto runs = worker.runs;
    for (const auto& key : runs) {
        auto& run = shard.tables.runs.at(key);
        if (!is_certain(worker, run)) {
            run.command_lease = {std::numeric_limits<std::int64_t>::max()};
            run.stop_answered.reset();
            run.next_stop = {};
            if (std::exchange(run.incarnation_known, false)) {
                run.confirmed.reset();
                run.phase = run.phase == run_phase::running ? run_phase::unconfirmed : run.phase;
            }
            continue;
        }
        if (auto* task = find_task(shard.tables, key.task); task && !run.checkpoint.empty()) {
            task->checkpoint = run.checkpoint;
        }
        shard.counters->count("runs_lost", "worker_restarted");
        remove_run(shard.tables, key);
    }
    worker.incarnation_since = now;
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
