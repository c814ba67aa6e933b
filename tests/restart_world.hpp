// A shard's owner and one worker that restarts under its id, on an injected clock. Commands wait
// until a test carries them out and passes the reply on.
#pragma once

#include "shard_internal.hpp"
#include "worker_model.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <utility>

namespace fulmar {

inline constexpr unix_time wall_clock{1'700'000'000'000};
inline constexpr duration step_time{50};
inline constexpr duration work_time{600'000}; // tasks end only where a test has them end
inline const job_id the_job{"00000000000000bb"};
inline const worker_id the_worker{"w-1"};
inline const error broken{error_kind::outcome_unknown, "the connection ended"};
inline const error silent{error_kind::timeout, "no answer"};
inline const error turned_away{error_kind::unavailable, "503"};

template <class Command>
using sent_command = std::pair<Command, time_point>;

// One worker and an owner. Commands wait until a test carries them out and passes the reply on.
struct restart_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(100'000)};
    std::uint64_t revision = 10;
    duration work = work_time; // of the tasks that start next
    shard_state shard;
    std::unique_ptr<worker_model> model; // the worker's present incarnation
    std::vector<start_command> starts;   // sent and not taken yet, as are the others
    std::vector<stop_command> stops;
    std::vector<sent_command<hold_command>> holds;
    std::size_t starts_sent = 0;

    explicit restart_world(std::uint32_t tasks)
        : shard(make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log)) {
        job_row job;
        job.id = the_job;
        job.queue.service = {"desk"};
        job.queue.max_attempts = 3;
        job.spec.steps.emplace_back();
        job.spec.steps.front().count = tasks;
        job.spec.steps.front().need = {{1'000}, {512}, {0}};
        job.next_occurrence = 1;
        job.occurrences.emplace(0, make_occurrence(job.spec, 0));
        load_shard(shard, {{job_key(record.id, job.id), encode_job(job), {1}},
                           {progress_key(record.id, job.id), encode_progress(job), {2}}});
        shard.loaded_at = now;
        shard.commit.last_applied = now;
        on_worker_entry(shard, entry(), now);
        restart();
    }

    static worker_entry entry() {
        worker_entry next;
        next.target = {the_worker, {"10.0.0.1", 1}};
        next.service = {"desk"};
        next.data_centre = {"east"};
        next.capacity = {{8'000}, {32'000}, {0}};
        return next;
    }

    static worker_entry entry(process_start_time start_time) {
        auto next = entry();
        next.start_time = start_time;
        return next;
    }

    worker_row& row() { return shard.tables.workers.at(the_worker); }
    const job_row& job() { return shard.tables.jobs.at(the_job); }

    // Ends the worker's incarnation; the next one starts.
    std::unique_ptr<worker_model> restart() {
        worker_model_options options;
        options.id = the_worker;
        options.capacity = {{8'000}, {32'000}, {0}};
        options.behaviour = [this](const run_key&, const std::string&) {
            run_behaviour behaviour;
            behaviour.need = {{1'000}, {512}, {0}};
            behaviour.work = work;
            return std::optional(behaviour);
        };
        const process_start_time started{wall_clock.value + now.time_since_epoch().count()};
        return std::exchange(model, std::make_unique<worker_model>(options, started, now));
    }

    // Answers transactions at once, and keeps the commands.
    void pass(duration time = step_time) {
        now += time;
        shard.claim_confirmed = now;
        shard_actions actions;
        advance(shard, now, wall_clock, actions);
        for (const auto& start : actions.starts) {
            starts.push_back(start.command);
            ++starts_sent;
        }
        for (const auto& stop : actions.stops) {
            stops.push_back(stop.command);
        }
        for (const auto& hold : actions.holds) {
            holds.emplace_back(hold.command, now);
        }
        if (actions.commit) {
            transaction_reply reply;
            reply.applied = revision_number{++revision};
            on_commit_reply(shard, reply, now, now);
        }
    }

    // The platform's workers tell the start time in the replies to holds only.
    static command_reply as_sent(command_reply reply) {
        reply.start_time.reset();
        return reply;
    }

    template <class Command>
    static Command take(std::vector<Command>& commands) {
        REQUIRE_FALSE(commands.empty());
        auto first = commands.front();
        commands.erase(commands.begin());
        return first;
    }

    void answer_hold() {
        const auto [command, sent] = take(holds);
        on_hold_reply(shard, the_worker, model->hold(command, now), sent, now, wall_clock);
    }

    void fail_hold(const error& failure) {
        const auto [command, sent] = take(holds);
        on_hold_reply(shard, the_worker, failure, sent, now, wall_clock);
    }

    void answer_start() {
        const auto command = take(starts);
        on_start_reply(shard, command.run, as_sent(model->start(command, now)), now);
    }

    void answer_stop() {
        const auto command = take(stops);
        on_stop_reply(shard, command.run, as_sent(model->stop(command, now)), now);
    }

    // Carries all commands out at once for a while.
    void answer_all(duration time) {
        for (duration passed{0}; passed < time; passed += step_time) {
            pass();
            while (!starts.empty()) {
                answer_start();
            }
            while (!stops.empty()) {
                answer_stop();
            }
            while (!holds.empty()) {
                answer_hold();
            }
        }
    }

    // Has the owner find the worker and send the first start.
    void find_worker() {
        for (int i = 0; i < 20 && starts.empty(); ++i) {
            pass();
            if (!holds.empty() && starts.empty()) {
                answer_hold();
            }
        }
        REQUIRE_FALSE(starts.empty());
    }

    void drain(bool draining) {
        auto next = entry(*row().start_time);
        next.draining = draining;
        on_worker_entry(shard, next, now);
    }

    // Has the owner send a hold at once, which the present incarnation answers.
    void notice_restart() {
        fail_hold(broken);
        pass();
        answer_hold();
    }
};

} // namespace fulmar
