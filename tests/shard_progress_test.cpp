// The progress guarantee of short tasks: jobs that placement passes over get one task to run.
#include "shard_internal.hpp"
#include "shard_progress.hpp"
#include "shard_records.hpp"

#include <catch2/catch.hpp>

#include <fmt/format.h>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
constexpr std::int64_t capacity = 8'000;
constexpr duration step_time{100};

// From the target that 14 s after the end of traffic every job has something at work, less 6 s for
// a loan that is returned, a release and a slow control thread.
constexpr duration start_limit{8'000};

step_spec make_filler(const std::string& image, std::uint32_t count, std::int64_t processors) {
    step_spec step;
    step.image = image;
    step.count = count;
    step.filler = true;
    step.need = {{processors}, {512}, {0}};
    step.estimate = duration(60'000);
    return step;
}

// A shard with one worker that serves and one that doesn't. Beside the serving task, a task of
// "large" with 4 of 8 processors is predicted a fifth of its pace, and one of "small" a quarter.
struct starving_shard {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(1'000)};
    unix_time wall = wall_clock;
    std::vector<worker_entry> workers;
    std::vector<store_entry> entries;
    shard_state shard;
    run_key serving;
    std::int64_t serving_tail = 50; // the target is 100
    std::map<job_id, std::vector<time_point>> starts;

    starving_shard() {
        step_spec server;
        server.image = "server";
        server.count = 1;
        server.need = {{2'000}, {512}, {0}};
        server.long_running = true;
        server.tail_target = duration(100);
        serving = {{add_job(server), 0, 0, 0}, {1}};
    }

    // A job that is overdue from the beginning.
    job_id add_overdue_job(const step_spec& step) {
        return add_job(step, duration(0), duration(600'000));
    }

    job_id add_job(const step_spec& step, duration parked_for = duration(0),
                   duration age = duration(0)) {
        job_row job;
        job.id = {fmt::format("{:016x}", entries.size() + 1)};
        job.queue.service = {"desk"};
        job.queue.objective = duration(age.count() > 0 ? 1 : 600'000);
        job.accepted = {wall_clock.value - age.count() + static_cast<std::int64_t>(entries.size())};
        job.spec.steps = {step};
        job.next_occurrence = 1;
        job.occurrences.emplace(0, make_occurrence(job.spec, 0));
        if (parked_for.count() > 0) {
            auto& task = job.occurrences.at(0).stages[0].tasks[0];
            task.parked = true;
            task.waiting_since = {wall_clock.value - parked_for.count()};
        }
        entries.push_back({job_key(record.id, job.id), encode_job(job), {1}});
        entries.push_back({progress_key(record.id, job.id), encode_progress(job), {2}});
        return job.id;
    }

    void load(std::size_t count) {
        std::vector<known_worker> known;
        for (std::size_t i = 0; i < count; ++i) {
            worker_entry entry;
            entry.target = {{fmt::format("w{}", i)}, {"10.0.0.1", 1}};
            entry.service = {"desk"};
            entry.capacity = {{capacity}, {32'000}, {0}};
            workers.push_back(entry);
            known.push_back({entry.target});
        }
        entries.push_back({worker_list_key(record.id), encode(known), {3}});
        shard = make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log);
        load_shard(shard, entries);
        replace_remote_estimates(
            shard.effects, {{"server", "large", 8.5, 0.0001}, {"server", "small", 28.0, 0.0001}});
        for (const auto& entry : workers) {
            on_worker_entry(shard, entry, now);
        }
        for (std::size_t i = 0; i < count; ++i) {
            report(i, false);
        }
    }

    // A worker reports its runs, the first one also the serving task. The first of the others has
    // ended if so requested.
    void report(std::size_t worker, bool first_ended) {
        hold_reply reply;
        reply.clock = {now.time_since_epoch().count()};
        const auto& row = shard.tables.workers.at(workers[worker].target.id);
        bool end = first_ended;
        for (const auto& key : row.runs) {
            if (key != serving && std::exchange(end, false)) {
                reply.ended.push_back({row.processed_end + 1, key, run_end_kind::done, ""});
            } else if (key != serving) {
                reply.running.push_back({key, "", 0, 0});
            }
        }
        if (worker == 0) {
            reply.running.push_back({serving, "", 0, serving_tail});
        }
        on_hold_reply(shard, workers[worker].target.id, reply, now, now, wall);
    }

    // Reports every half second; on the last worker a run ends with each step if so requested.
    void run_for(duration time, bool ends = false) {
        for (const auto until = now + time; now < until;) {
            now += step_time;
            wall.value += step_time.count();
            const bool reports = now.time_since_epoch().count() % 500 == 0;
            for (std::size_t i = 0; i < workers.size(); ++i) {
                const bool last = i + 1 == workers.size();
                if (reports || (ends && last)) {
                    report(i, ends && last);
                }
            }
            shard.claim_confirmed = now;
            shard.placement_needed = true;
            shard_actions actions;
            advance(shard, now, wall, actions);
            for (const auto& start : actions.starts) {
                starts[start.command.run.task.job].push_back(now);
                command_reply reply;
                reply.outcome = command_outcome::done;
                on_start_reply(shard, start.command.run, reply, now);
            }
        }
    }
};

} // namespace

// Guards against LOST: a task that is predicted less than the lowest pace beside serving tasks, and
// larger than the rooms that small tasks leave on other workers, never started.
TEST_CASE("a job that placement passes over gets one task to run within the limit") {
    starving_shard world;
    world.add_job(make_filler("small", 8, 1'000));
    const auto old = world.add_job(make_filler("large", 3, 4'000));
    const auto small = world.add_job(make_filler("small", 400, 1'000));
    world.load(2);
    world.run_for(step_time);
    const auto began = world.now;
    REQUIRE(world.starts[old].empty());
    world.run_for(start_limit, true);
    REQUIRE(world.starts[old].size() == 1);
    CHECK(world.starts[old][0] - began <= start_limit);
    // Its other tasks wait for their ordinary turn, and what is in time goes on starting.
    const auto before = world.starts[small].size();
    world.run_for(duration(2'000), true);
    CHECK(world.starts[old].size() == 1);
    CHECK(world.starts[small].size() >= before + 10);
}

// Guards against HARM: each start disturbs the serving tasks of its worker at full pace for a
// moment, so entitled tasks of several jobs must not follow one another there.
TEST_CASE("entitled tasks beside the same serving tasks start at intervals") {
    starving_shard world;
    const auto first = world.add_job(make_filler("small", 1, 1'000));
    const auto second = world.add_job(make_filler("small", 1, 1'000));
    world.load(1);
    world.run_for(duration(12'000));
    REQUIRE(world.starts[first].size() == 1);
    REQUIRE(world.starts[second].size() == 1);
    CHECK(world.starts[second][0] - world.starts[first][0] >= duration(2'000));
}

// Guards against HARM: a new filler works at full pace at first, beside a task that has no slack.
TEST_CASE("no entitled task starts beside a serving task that is over its target") {
    starving_shard world;
    const auto old = world.add_job(make_filler("large", 1, 4'000));
    world.load(1);
    world.serving_tail = 150;
    world.run_for(duration(20'000));
    CHECK(world.starts[old].empty());
}

// Guards against LOST: each change of owner and each loan began the wait anew.
TEST_CASE("the wait of a passed-over job goes on under the next owner") {
    starving_shard world;
    const auto old = world.add_job(make_filler("large", 1, 4'000), duration(10'000));
    world.load(1);
    world.shard.wall_clock = wall_clock;
    const auto entitled = find_entitled(world.shard, world.now);
    REQUIRE(entitled.size() == 1);
    CHECK(entitled[0].job->id == old);
    CHECK(world.now - *entitled[0].job->idle_since == duration(10'000));
}

// Guards against LOST: the jobs that had waited longest were always searched for first, so that
// many of them that fit nowhere kept all others from a start.
TEST_CASE("an entitled job behind many that fit nowhere starts") {
    starving_shard world;
    for (int i = 0; i < 150; ++i) {
        auto step = make_filler("large", 1, 4'000);
        step.need.memory = {64'000};
        world.add_job(step);
    }
    const auto last = world.add_job(make_filler("large", 1, 4'000));
    world.load(1);
    world.run_for(duration(30'000));
    CHECK(world.starts[last].size() == 1);
}

// Guards against LOST: after each end of its only run, an overdue job had nothing running until the
// interval between two entitled starts beside serving tasks was over.
TEST_CASE("the next task of an overdue job starts when its only run ends") {
    starving_shard world;
    const auto old = world.add_overdue_job(make_filler("small", 3, 1'000));
    world.load(1);
    world.run_for(duration(1'000));
    REQUIRE(world.starts[old].size() == 1);
    world.run_for(step_time, true);
    REQUIRE(world.starts[old].size() == 2);
    world.run_for(step_time, true);
    CHECK(world.starts[old].size() == 3);
}

// Guards against LOST: another job that waits for the same memory took the place of a run that had
// ended.
TEST_CASE("an overdue job that runs keeps its place before one that waits") {
    starving_shard world;
    auto step = make_filler("large", 3, 4'000);
    step.need.memory = {20'000}; // the worker has 32,000
    const auto first = world.add_overdue_job(step);
    const auto second = world.add_overdue_job(step);
    world.load(1);
    world.run_for(duration(1'000));
    REQUIRE(world.starts[first].size() == 1);
    world.run_for(step_time, true);
    world.run_for(step_time, true);
    CHECK(world.starts[first].size() == 3);
    CHECK(world.starts[second].empty());
    world.run_for(step_time, true);
    world.run_for(duration(3'000));
    CHECK(world.starts[second].size() == 1);
}

// Guards against lost credit: entitled runs of overdue jobs took memory and pace from work that
// could still end in time and waited for room.
TEST_CASE("an overdue job waits while work in time is short of room, but not for ever") {
    starving_shard world;
    world.add_job(make_filler("small", 400, 1'000));
    const auto old = world.add_overdue_job(make_filler("large", 1, 4'000));
    world.load(2);
    world.run_for(duration(7'000), true);
    CHECK(world.starts[old].empty());
    world.run_for(duration(4'000), true);
    CHECK(world.starts[old].size() == 1);
}

// Guards against HARM: without a shortage of room the interval between entitled starts beside
// serving tasks that they take over their targets still holds for jobs without a place.
TEST_CASE("overdue jobs without a place start at intervals beside the same serving tasks") {
    starving_shard world;
    const auto first = world.add_overdue_job(make_filler("small", 1, 1'000));
    const auto second = world.add_overdue_job(make_filler("small", 1, 1'000));
    world.load(1);
    world.run_for(duration(6'000));
    REQUIRE(world.starts[first].size() == 1);
    REQUIRE(world.starts[second].size() == 1);
    CHECK(world.starts[second][0] - world.starts[first][0] >= duration(2'000));
}

// Guards against lost work: a run that was stopped to be moved began again on the same worker.
TEST_CASE("a run of an overdue job that was stopped isn't continued in its place") {
    starving_shard world;
    const auto old = world.add_overdue_job(make_filler("small", 2, 1'000));
    world.load(1);
    world.run_for(duration(1'000));
    REQUIRE(world.starts[old].size() == 1);
    for (auto& [key, run] : world.shard.tables.runs) {
        if (key.task.job == old) {
            run.phase = run_phase::stopping;
            run.cause = stop_cause::moved;
        }
    }
    world.run_for(step_time, true);
    CHECK(world.starts[old].size() == 1);
}
