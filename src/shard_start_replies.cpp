// Processing of replies to starts and stops.
#include "shard_begin.hpp"
#include "shard_gangs.hpp"
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// After a worker refused a start for lack of room, it gets no further starts for this long.
constexpr duration no_room_pause{300};

// Logs a start that wasn't certainly carried out by the incarnation that last replied to a hold.
void log_uncertain_start(const shard_state& shard, const run_row& run, const worker_row& worker,
                         const command_reply& reply, incarnation_match match, time_point now) {
    shard.counters->count("starts_in_uncertain_incarnation", to_string(match));
    shard.log->write("event=start_uncertain task={}.{}.{}.{} run={} worker={} incarnation={} "
                     "clock_ms={} known_clock_ms={} known_age_ms={}",
                     run.key.task.job.value, run.key.task.occurrence, run.key.task.step,
                     run.key.task.index, run.key.number.value, run.worker.value, to_string(match),
                     reply.clock ? reply.clock->value : -1, worker.clock ? worker.clock->value : -1,
                     (now - worker.clock_at).count());
}

// Handles that a start was refused or not sent. If an earlier one of the same run got no reply, the
// worker may have executed that one, or may still do so: its next lists decide.
void give_up_start(shard_state& shard, run_row& run) {
    if (run.starts_unanswered > 0) {
        run.phase = run.phase == run_phase::starting ? run_phase::unconfirmed : run.phase;
        return;
    }
    remove_run(shard.tables, run_key(run.key));
    shard.placement_needed = true;
}

} // namespace

void pause_starts(const shard_state& shard, worker_row& worker, time_point now) {
    constexpr std::uint32_t max_doublings = 4;
    const auto pause =
        shard.timing.unhealthy_pause * (1U << std::min(worker.failures, max_doublings));
    worker.no_starts_before = now + std::min(pause, shard.timing.unhealthy_pause_limit);
}

void on_start_reply(shard_state& shard, const run_key& key, const result<command_reply>& reply,
                    time_point now) {
    const auto found = shard.tables.runs.find(key);
    if (shard.ownership_lost || found == shard.tables.runs.end()) {
        return;
    }
    auto& run = found->second;
    auto& worker = shard.tables.workers.at(run.worker);
    run.start_in_flight = false;
    const bool sent = reply || reply.error().kind != error_kind::unavailable;
    if (reply || !sent) {
        note_lease_answered(worker, run.start_sent);
    }
    const auto match =
        reply ? match_incarnation(shard.timing, worker, reply.value(), run.start_sent, now)
              : incarnation_match::unclear;
    if (reply && match != incarnation_match::known) {
        worker.leases_taken = std::max(worker.leases_taken, now);
    }
    const auto log_answer = [&](std::string_view outcome) {
        shard.counters->count("starts", outcome);
        shard.log->write("event=start_answered task={}.{}.{}.{} run={} worker={} outcome={}",
                         key.task.job.value, key.task.occurrence, key.task.step, key.task.index,
                         key.number.value, run.worker.value, outcome);
    };
    if (!reply) {
        log_answer(to_string(reply.error().kind));
        pause_starts(shard, worker, now);
        if (!sent) {
            give_up_start(shard, run);
            return;
        }
        run.late_until = run.start_sent + shard.timing.late_limit;
        ++run.starts_unanswered;
        raise_fence(shard, worker);
        if (run.phase == run_phase::starting) {
            run.phase = run_phase::unconfirmed;
        }
        note_unanswered_start(shard, run);
        return;
    }
    const auto outcome = reply.value().outcome;
    if (outcome == command_outcome::done) {
        shard.counters->count("starts", "done");
        if (match != incarnation_match::known) {
            log_uncertain_start(shard, run, worker, reply.value(), match, now);
        }
        run.confirmed = run.confirmed.value_or(now);
        if (const auto job = shard.tables.jobs.find(key.task.job); job != shard.tables.jobs.end()) {
            mark_begun(job->second);
        }
        run.incarnation_known =
            run.incarnation_known || (match == incarnation_match::known && worker.inventoried);
        if (match == incarnation_match::other && worker.inventoried) {
            suspect_restart(shard, worker, "start_reply", now);
        }
        if (run.phase != run_phase::stopping) {
            run.phase = run_phase::running;
        }
        if (run.long_running) {
            shard.next_recording = now;
        }
        return;
    }
    log_answer(to_string(outcome));
    if (outcome == command_outcome::fenced) {
        on_fenced(shard, worker, run.start_fence);
    } else if (outcome == command_outcome::no_room) {
        worker.no_starts_before = std::max(worker.no_starts_before, now + no_room_pause);
    } else if (outcome != command_outcome::superseded) {
        ++worker.failures;
        pause_starts(shard, worker, now);
    }
    if (outcome == command_outcome::late || outcome == command_outcome::other_incarnation) {
        worker.next_hold = now;
    }
    give_up_start(shard, run);
}

void on_stop_reply(shard_state& shard, const run_key& key, const result<command_reply>& reply,
                   time_point now) {
    if (shard.ownership_lost) {
        return;
    }
    const auto found = shard.tables.runs.find(key);
    const bool active = found != shard.tables.runs.end();
    if (active) {
        found->second.stop_in_flight = false;
    }
    if (!reply) {
        shard.counters->count("stops", to_string(reply.error().kind));
        return;
    }
    const auto outcome = reply.value().outcome;
    shard.counters->count("stops", to_string(outcome));
    if (!active) {
        return;
    }
    auto& run = found->second;
    if (outcome == command_outcome::fenced) {
        on_fenced(shard, shard.tables.workers.at(run.worker), run.stop_fence);
        return;
    }
    const bool executed = outcome == command_outcome::done ||
                          outcome == command_outcome::superseded ||
                          outcome == command_outcome::missing;
    if (run.stop_sent < shard.tables.workers.at(run.worker).incarnation_since) {
        return; // a former incarnation may have answered, and the present one execute the start
    }
    if (executed) {
        // The first reply counts: if a hold that was sent after it doesn't list the run, the run
        // has ended.
        run.stop_answered = run.stop_answered.value_or(now);
        run.next_stop = now + shard.timing.stop_repeat;
    }
}

} // namespace fulmar
