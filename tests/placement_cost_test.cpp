// Cost of placement in a full shard, and that tasks start as soon as they find room.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

#include <fmt/format.h>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
constexpr std::int64_t capacity = 8'000;

step_spec make_step(std::uint32_t count, std::int64_t processors) {
    step_spec step;
    step.count = count;
    step.need = {{processors}, {512}, {0}};
    step.estimate = duration(60'000);
    return step;
}

// A shard whose workers have replied. Jobs are accepted in the order in which they are added.
struct busy_shard {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(1'000)};
    std::vector<worker_entry> workers;
    std::vector<store_entry> entries;
    shard_state shard;
    shard_actions actions; // of the last advance
    std::uint64_t revision = 10;

    job_id add_job(const step_spec& step) {
        job_row job;
        job.id = {fmt::format("{:016x}", entries.size() + 1)};
        job.queue.service = {"desk"};
        job.queue.objective = duration(600'000);
        job.accepted = {wall_clock.value + static_cast<std::int64_t>(entries.size())};
        job.spec.steps = {step};
        job.next_occurrence = 1;
        job.occurrences.emplace(0, make_occurrence(job.spec, 0));
        entries.push_back({job_key(record.id, job.id), encode_job(job), {1}});
        entries.push_back({progress_key(record.id, job.id), encode_progress(job), {2}});
        return job.id;
    }

    void load(std::size_t count) {
        std::vector<known_worker> known;
        for (std::size_t i = 0; i < count; ++i) {
            worker_entry entry;
            entry.target = {{fmt::format("w{:02}", i)}, {"10.0.0.1", 1}};
            entry.service = {"desk"};
            entry.capacity = {{capacity}, {32'000}, {0}};
            workers.push_back(entry);
            known.push_back({entry.target});
        }
        entries.push_back({worker_list_key(record.id), encode(known), {3}});
        shard = make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log);
        load_shard(shard, entries);
        for (const auto& entry : workers) {
            on_worker_entry(shard, entry, now);
            hold_reply reply;
            reply.clock = {now.time_since_epoch().count()};
            on_hold_reply(shard, entry.target.id, reply, now, now, wall_clock);
        }
        step_to(now);
    }

    worker_row& row(std::size_t worker) {
        return shard.tables.workers.at(workers[worker].target.id);
    }

    // Advances the shard, and lets all workers accept what was sent.
    void step_to(time_point moment) {
        now = moment;
        shard.claim_confirmed = now;
        actions = {};
        advance(shard, now, wall_clock, actions);
        for (const auto& start : actions.starts) {
            command_reply reply;
            reply.outcome = command_outcome::done;
            on_start_reply(shard, start.command.run, reply, now);
        }
    }

    // The store applies the transaction of the last step.
    void store() {
        REQUIRE(actions.commit);
        transaction_reply reply;
        reply.applied = revision_number{++revision};
        on_commit_reply(shard, reply, now, now);
    }

    // A worker reports its runs; the first of them has ended if so requested.
    void report(std::size_t worker, bool first_ended, duration tail = duration(0)) {
        hold_reply reply;
        reply.clock = {now.time_since_epoch().count()};
        const auto runs = row(worker).runs;
        bool end = first_ended;
        for (const auto& key : runs) {
            if (std::exchange(end, false)) {
                reply.ended.push_back({row(worker).processed_end + 1, key, run_end_kind::done, ""});
                continue;
            }
            const bool serving = shard.tables.runs.at(key).tail_target.count() > 0;
            reply.running.push_back({key, "", 0, serving ? tail.count() : 0});
        }
        on_hold_reply(shard, workers[worker].target.id, reply, now, now, wall_clock);
    }
};

// A shard whose workers are all full, and in which 100 jobs wait with 6 tasks each.
struct full_shard : busy_shard {
    full_shard() {
        add_job(make_step(16, capacity));
        for (std::int64_t i = 0; i < 100; ++i) {
            add_job(make_step(6, 1'000 + i % 4 * 500));
        }
        load(16);
        REQUIRE(actions.starts.size() == 16);
        REQUIRE(count_waiting_tasks(shard) == 600);
        step_to(now + duration(50));
    }
};

} // namespace

// Every reply and every stored commit led to a search for room over all waiting tasks and workers,
// which used all of the owner's processor time and made every step of it late.
TEST_CASE("events that give no room cause no search over all tasks and workers") {
    full_shard world;
    world.shard.placement_checks = 0;
    for (std::size_t i = 0; i < 200; ++i) {
        world.now += duration(5);
        world.report(i % 16, false);
        world.shard.placement_needed = true; // as after a stored commit
        world.step_to(world.now);
        REQUIRE(world.actions.starts.empty());
    }
    CHECK(world.shard.placement_checks <= 100 * 16);
}

// One ended task led to a search for room on all workers.
TEST_CASE("a worker that gains room is the only one that is compared with the waiting stages") {
    full_shard world;
    world.step_to(world.now + duration(50));
    world.shard.placement_checks = 0;
    world.report(5, true);
    world.step_to(world.now + duration(5));
    REQUIRE_FALSE(world.actions.starts.empty());
    for (const auto& start : world.actions.starts) {
        CHECK(start.target.id == world.workers[5].target.id);
    }
    CHECK(free_resources(world.row(5)).processors.value < 1'000);
    CHECK(world.shard.placement_checks <= 100 + world.actions.starts.size());
}

// A search that isn't repeated when a pause ends leaves tasks waiting beside free room.
TEST_CASE("waiting tasks start when the pause of a worker ends") {
    busy_shard world;
    world.add_job(make_step(1, capacity));
    world.add_job(make_step(1, capacity));
    world.load(1);
    REQUIRE(world.actions.starts.size() == 1);
    world.row(0).no_starts_before = world.now + duration(2'600);
    world.report(0, true);
    for (int i = 0; i < 51; ++i) {
        world.step_to(world.now + duration(50));
        REQUIRE(world.actions.starts.empty());
    }
    std::size_t starts = 0;
    for (int i = 0; i < 5; ++i) {
        world.step_to(world.now + duration(50));
        starts += world.actions.starts.size();
    }
    CHECK(starts == 1);
}

// A search that isn't repeated when a reservation ends leaves tasks waiting beside free room.
TEST_CASE("waiting tasks start when a reservation expires") {
    busy_shard world;
    const auto first = world.add_job(make_step(1, capacity));
    const auto second = world.add_job(make_step(1, capacity));
    world.load(1);
    REQUIRE(world.actions.starts.size() == 1);
    const task_key key{first, 0, 0, 0};
    reserve(world.shard, key, {{capacity}, {512}, {0}}, world.row(0), world.now);
    world.report(0, true);
    std::size_t starts = 0;
    const auto end = world.now + reservation_time;
    while (world.now + duration(50) < end) {
        world.step_to(world.now + duration(50));
        REQUIRE(world.actions.starts.empty());
    }
    for (int i = 0; i < 14; ++i) {
        world.step_to(world.now + duration(50));
        starts += world.actions.starts.size();
    }
    CHECK(starts == 1);
    CHECK(find_task(world.shard.tables, {second, 0, 0, 0})->runs.size() == 1);
}

// A search that failed only because of the task must not answer for other tasks, which would wait
// beside free room.
TEST_CASE("a task that may not start where it failed doesn't keep others from that room") {
    busy_shard world;
    world.add_job(make_step(1, capacity));
    const auto failed = world.add_job(make_step(1, capacity));
    const auto other = world.add_job(make_step(1, capacity));
    world.load(1);
    REQUIRE(world.actions.starts.size() == 1);
    find_task(world.shard.tables, {failed, 0, 0, 0})->last_failed_on = world.workers[0].target.id;
    world.report(0, true);
    world.step_to(world.now + duration(5));
    REQUIRE(world.actions.starts.size() == 1);
    CHECK(world.actions.starts[0].command.run.task.job == other);
}

// A search that failed must not answer for tasks that need less.
TEST_CASE("a task starts beside one that needs more than the free room") {
    busy_shard world;
    world.add_job(make_step(2, capacity / 2));
    world.add_job(make_step(1, capacity));
    const auto smaller = world.add_job(make_step(1, capacity / 4));
    world.load(1);
    REQUIRE(world.actions.starts.size() == 2);
    world.report(0, true);
    world.step_to(world.now + duration(5));
    REQUIRE(world.actions.starts.size() == 1);
    CHECK(world.actions.starts[0].command.run.task.job == smaller);
}

// A search that isn't repeated while the required pace falls leaves fillers waiting for good.
TEST_CASE("a filler starts once the pace that it requires has fallen to the predicted one") {
    constexpr duration tail_target{100};
    constexpr duration tail{58};
    busy_shard world;
    auto serving = make_step(1, 2'000);
    serving.long_running = true;
    serving.image = "server";
    serving.tail_target = tail_target;
    world.add_job(serving);
    world.load(1);
    REQUIRE(world.actions.starts.empty()); // the store doesn't name its worker yet
    world.store();
    world.step_to(world.now + duration(5));
    REQUIRE(world.actions.starts.size() == 1);
    auto filler = make_step(1, 2'000);
    filler.filler = true;
    filler.image = "batch";
    const auto reports = [&](int count) {
        std::size_t starts = 0;
        for (int i = 0; i < count; ++i) {
            world.now += duration(50);
            if (i % 10 == 0) {
                world.report(0, false, tail);
            }
            world.step_to(world.now);
            starts += world.actions.starts.size();
        }
        return starts;
    };
    REQUIRE(reports(40) == 0);
    const auto first_entry = world.entries.size();
    world.add_job(filler);
    load_shard(world.shard, {world.entries[first_entry], world.entries[first_entry + 1]});
    CHECK(reports(40) == 0); // 2 s
    CHECK(reports(80) == 1); // 6 s
}
