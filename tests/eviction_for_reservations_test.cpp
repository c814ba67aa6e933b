// Eviction of short tasks for long-running ones that wait.
#include "shard_internal.hpp"
#include "sim_test_support.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace fulmar {

namespace {

const job_id foreign_job{"00000000000000bb"};

// A shard with one worker of 8 cores and two peers.
struct eviction_world {
    metrics counters;
    decision_log log{"", {}, {}};
    time_point now{duration(100'000)};
    shard_state shard;
    std::uint64_t number = 0;

    eviction_world() {
        const shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
        shard = make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log);
        shard.takeover_complete = true;
        for (const auto* id : {"north.0", "west.0"}) {
            shard.other_shards[{id}].shard = {id};
            shard.other_shards[{id}].available = true;
        }
        add_worker("w1");
        shard.claim_confirmed = now;
    }

    void add_worker(const std::string& id) {
        worker_entry entry;
        entry.target = {{id}, {"10.0.0.1", 1}};
        entry.service = {"desk"};
        entry.capacity = {{8'000}, {32'000}, {0}};
        on_worker_entry(shard, entry, now);
        auto& row = shard.tables.workers.at(entry.target.id);
        row.reachability = reachability_state::reachable;
        row.inventoried = true;
        shard.stored_workers[entry.target.id] = entry.target.address;
    }

    worker_row& worker() { return shard.tables.workers.at({"w1"}); }

    void pass(duration time) {
        now += time;
        shard.claim_confirmed = now;
        serve_room_requests(shard, now);
        evict_for_reservations(shard, now);
    }

    job_row& add_job(const std::string& id, std::int32_t priority, const step_spec& step) {
        job_row job;
        job.id = {id};
        job.queue.service = {"desk"};
        job.queue.priority = priority;
        job.spec.steps = {step};
        job.next_occurrence = 1;
        job.occurrences.emplace(0, make_occurrence(job.spec, 0));
        return shard.tables.jobs.emplace(job.id, std::move(job)).first->second;
    }

    // Adds a run of a new job; returns its key.
    run_key add_running(std::int64_t processors, std::int32_t priority, duration age,
                        const std::function<void(step_spec&)>& change = {}) {
        step_spec step;
        step.need = {{processors}, {512}, {0}};
        if (change) {
            change(step);
        }
        const auto& job = add_job(fmt::format("{:016x}", 0x1000 + ++number), priority, step);
        run_row run;
        run.key = {{job.id, 0, 0, 0}, {1}};
        run.worker = {"w1"};
        run.phase = run_phase::running;
        run.need = step.need;
        run.long_running = step.long_running;
        run.start_sent = now - age;
        run.confirmed = now - age;
        add_run(shard.tables, run);
        return run.key;
    }

    // Adds an own long-running task that waits; returns its key.
    task_key add_waiting(std::int64_t processors, std::int32_t priority, duration waited) {
        step_spec step;
        step.need = {{processors}, {512}, {0}};
        step.long_running = true;
        auto& job = add_job("00000000000000aa", priority, step);
        shard.active.insert(job.id);
        auto& stage = job.occurrences.at(0).stages[0];
        stage.ready_since = now - waited;
        stage.tasks[0].idle_since = now - waited;
        return {job.id, 0, 0, 0};
    }

    std::vector<run_key> evicted() {
        std::vector<run_key> keys;
        for (const auto& [key, run] : shard.tables.runs) {
            if (run.cause == stop_cause::evicted) {
                keys.push_back(key);
            }
        }
        return keys;
    }

    std::size_t request(bool evict, std::int64_t waited) {
        const json row{{"job", foreign_job},  {"occurrence", 0},
                       {"step", 0},           {"task", 0},
                       {"service", "desk"},   {"label", ""},
                       {"spread_limit", 0},   {"need", resources{{6'000}, {512}, {0}}},
                       {"waited_ms", waited}, {"priority", 2},
                       {"evict", evict},      {"lending", false}};
        const json body{{"from", "west.0"},
                        {"to", shard.id},
                        {"number", ++number},
                        {"tasks", json::array({row})}};
        return json::parse(on_room_requests(shard, body, now)).at("grants").size();
    }
};

job_spec long_running_job(std::uint32_t tasks, std::int64_t processors) {
    auto spec = sim_world::simple_job(tasks);
    spec.steps.front().long_running = true;
    spec.steps.front().checkpoints = false;
    spec.steps.front().need = {{processors}, {4'000}, {0}};
    return spec;
}

std::size_t count_running(sim_world& world, const std::string& job, const std::string& prefix) {
    std::size_t total = 0;
    for (const auto& [id, worker] : world.workers()) {
        if (worker.model && id.starts_with(prefix)) {
            for (const auto& [run, need] : worker.model->occupied()) {
                total += run.task.job.value == job ? 1 : 0;
            }
        }
    }
    return total;
}

std::string find_worker_of(sim_world& world, const std::string& job) {
    for (const auto& [id, worker] : world.workers()) {
        if (worker.model && count_running(world, job, id) > 0) {
            return id;
        }
    }
    return {};
}

double count_evicted(sim_world& world) {
    double total = 0;
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        total += world.counter(host, "runs_evicted", "");
    }
    return total;
}

} // namespace

// LOST: a long-running task waited for room that tasks of half a minute kept.
TEST_CASE("a long-running task of a lost worker runs again on a shard full of longer tasks") {
    sim_world world(31, {"east"});
    world.run_for(startup_time);
    const auto job = world.submit(0, long_running_job(3, 6'000), duration(0));
    REQUIRE(world.run_until([&] { return count_running(world, job, "w-") == 3; }, duration(5'000)));
    const auto busy = world.submit(1, sim_world::simple_job(40), duration(30'000));
    world.run_for(duration(3'000));
    REQUIRE(count_running(world, busy, "w-") == 15);
    world.crash_worker(find_worker_of(world, job));
    CHECK(world.run_until([&] { return count_running(world, job, "w-") == 3; }, duration(9'000)));
    world.cancel(0, job);
    REQUIRE(finish_all(world, duration(180'000)));
    CHECK(world.jobs().at(busy).reported_phase == job_phase::completed);
    check_guarantees(world);
}

// LOST: no shard had room that would become free in time. Eviction in several shards at once would
// waste work.
TEST_CASE("one other shard evicts tasks for a long-running one that its own shard can't hold") {
    sim_world world(32, {"east", "north", "west"});
    world.run_for(startup_time);
    for (const auto& name : {"north", "west"}) {
        world.evacuate(name, true);
    }
    world.run_for(duration(1'000));
    const auto job = world.submit(0, long_running_job(6, 7'000), duration(0));
    REQUIRE(
        world.run_until([&] { return count_running(world, job, "w-east") == 6; }, duration(5'000)));
    for (const auto& name : {"north", "west"}) {
        world.evacuate(name, false);
    }
    world.run_for(duration(1'000));
    const auto busy = world.submit(2, sim_world::simple_job(100), duration(30'000));
    REQUIRE(
        world.run_until([&] { return count_running(world, busy, "w-") == 48; }, duration(8'000)));
    world.crash_worker("w-east-0");
    CHECK(world.run_until([&] { return count_running(world, job, "w-") == 6; }, duration(9'000)));
    CHECK(count_evicted(world) <= 4);
    check_guarantees(world);
}

// Urgent work, or much of it, was lost where little and less urgent work would have done.
TEST_CASE("the least urgent runs are evicted, and of these the ones that lose the least work") {
    eviction_world world;
    world.add_running(2'000, 1, duration(100)); // more urgent than the waiting task
    world.add_running(2'000, 2, duration(100)); // as urgent
    const auto old = world.add_running(2'000, 4, duration(20'000));
    const auto young = world.add_running(2'000, 4, duration(1'000));
    const auto key = world.add_waiting(2'000, 2, duration(3'000));
    const auto plan = plan_eviction(world.shard, world.worker(), {{2'000}, {0}, {0}}, 2, world.now);
    REQUIRE(plan);
    CHECK(plan->runs == std::vector<run_key>{young});
    reserve(world.shard, key, {{2'000}, {512}, {0}}, world.worker(), world.now);
    world.pass(duration(100));
    CHECK(world.evicted() == std::vector<run_key>{young});
    CHECK(world.shard.tables.runs.at(old).phase == run_phase::running);
}

TEST_CASE("work that a checkpoint keeps is evicted before work that would be lost") {
    eviction_world world;
    const auto saved = world.add_running(4'000, 2, duration(10'000),
                                         [](step_spec& step) { step.checkpoints = true; });
    world.add_running(4'000, 2, duration(2'000));
    const auto plan = plan_eviction(world.shard, world.worker(), {{4'000}, {0}, {0}}, 2, world.now);
    REQUIRE(plan);
    CHECK(plan->runs == std::vector<run_key>{saved});
}

// Stopping one member of a gang wastes the work of all; long-running tasks have the same right to
// run, and a limit of unavailable tasks may be reached.
TEST_CASE("urgent, long-running and gang runs are never evicted") {
    for (const int kind : {0, 1, 2, 3, 4}) {
        eviction_world world;
        const auto run =
            world.add_running(8'000, kind == 0 ? 1 : 2, duration(1'000), [&](step_spec& step) {
                step.long_running = kind == 1;
                step.gang = kind == 2;
                step.max_unavailable = kind == 3 ? 1 : 0;
            });
        if (kind == 4) {
            world.shard.tables.runs.at(run).phase = run_phase::unconfirmed;
        }
        CHECK_FALSE(plan_eviction(world.shard, world.worker(), {{2'000}, {0}, {0}}, 2, world.now));
    }
}

// Each check stopped further runs until the first ones had ended.
TEST_CASE("no more runs are evicted while the room of evicted ones becomes free") {
    eviction_world world;
    for (int i = 0; i < 4; ++i) {
        world.add_running(2'000, 2, duration(1'000 + i));
    }
    const auto key = world.add_waiting(4'000, 2, duration(3'000));
    reserve(world.shard, key, {{4'000}, {512}, {0}}, world.worker(), world.now);
    world.pass(duration(100));
    CHECK(world.evicted().size() == 2);
    for (int i = 0; i < 50; ++i) {
        world.pass(duration(100));
        expire_reservations(world.shard, world.now);
    }
    CHECK(world.evicted().size() == 2);
    CHECK(world.worker().reserved.contains(key));
}

TEST_CASE("nothing is evicted for a task that waits briefly") {
    eviction_world world;
    world.add_running(8'000, 2, duration(1'000));
    const auto key = world.add_waiting(4'000, 2, duration(500));
    reserve(world.shard, key, {{4'000}, {512}, {0}}, world.worker(), world.now);
    world.pass(duration(100));
    CHECK(world.evicted().empty());
    world.pass(duration(1'500));
    CHECK(world.evicted().size() == 1);
}

// Owners of earlier versions don't ask for it, and of several shards one is asked.
TEST_CASE("runs are evicted for another shard's task only if its owner asks for it") {
    eviction_world world;
    world.add_running(8'000, 2, duration(1'000));
    for (int i = 0; i < 10; ++i) {
        world.request(false, 5'000);
        world.pass(duration(300));
    }
    CHECK(world.evicted().empty());
    world.request(true, 8'000);
    world.pass(duration(300));
    world.request(true, 8'300);
    CHECK(world.evicted().size() == 1);
    // The reservation stays until the run has ended, and the room is granted then.
    for (int i = 0; i < 15; ++i) {
        CHECK(world.request(true, 9'000) == 0);
        world.pass(duration(300));
    }
    CHECK(world.worker().reserved.size() == 1);
    remove_run(world.shard.tables, world.evicted().front());
    CHECK(world.request(true, 9'000) == 1);
}

TEST_CASE("one shard at a time is asked to evict runs for a task") {
    eviction_world world;
    world.add_waiting(6'000, 2, duration(3'000));
    for (int i = 0; i < 40; ++i) {
        std::size_t asked = 0;
        for (const auto& message : make_room_requests(world.shard, world.now)) {
            const auto rows = json::parse(message.body).at("tasks");
            REQUIRE(rows.size() == 1);
            asked += rows[0].at("evict").get<bool>() ? 1 : 0;
        }
        CHECK(asked == 1);
        world.pass(duration(300));
    }
}

// The own shard evicted runs while another one did so already.
TEST_CASE("the own shard evicts no runs while another one is asked to") {
    eviction_world world;
    world.add_running(8'000, 2, duration(1'000));
    const auto key = world.add_waiting(6'000, 2, duration(3'000));
    make_room_requests(world.shard, world.now);
    reserve(world.shard, key, {{6'000}, {512}, {0}}, world.worker(), world.now);
    world.pass(duration(200));
    CHECK(world.evicted().empty());
    world.pass(eviction_turn);
    CHECK(world.evicted().size() == 1);
    // And the other way round.
    for (const auto& message : make_room_requests(world.shard, world.now)) {
        CHECK_FALSE(json::parse(message.body).at("tasks")[0].at("evict").get<bool>());
    }
}

// A refused start released the room shortly before it was free.
TEST_CASE("a short pause of the worker doesn't end a reservation for another shard's task") {
    eviction_world world;
    world.add_running(8'000, 2, duration(1'000));
    world.request(false, 1'000);
    REQUIRE(world.worker().reserved.size() == 1);
    world.worker().no_starts_before = world.now + duration(300);
    world.pass(duration(150));
    CHECK(world.request(false, 1'150) == 0);
    CHECK(world.worker().reserved.size() == 1);
    world.worker().entry.draining = true;
    world.pass(duration(150));
    CHECK(world.worker().reserved.empty());
}

// Rooms that were reserved for younger tasks kept the oldest from getting any.
TEST_CASE("a task for which runs are evicted gets the room that younger ones wait for") {
    eviction_world world;
    world.add_running(8'000, 2, duration(1'000));
    auto row = json::parse(R"({"job": "00000000000000cc", "occurrence": 0, "step": 0, "task": 0,
        "service": "desk", "label": "", "spread_limit": 0, "waited_ms": 100, "lending": false})");
    row["need"] = resources{{6'000}, {512}, {0}};
    const json body{
        {"from", "north.0"}, {"to", "east.0"}, {"number", 1}, {"tasks", json::array({row})}};
    on_room_requests(world.shard, body, world.now);
    REQUIRE(world.worker().reserved.size() == 1);
    world.request(true, 5'000);
    CHECK(world.worker().reserved.size() == 1);
    CHECK(world.worker().reserved.contains(task_key{foreign_job, 0, 0, 0}));
}

// Two tasks waited for the sum of their needs, and neither ran in the room for one.
TEST_CASE("a later reservation doesn't keep an earlier one on the same worker from being used") {
    eviction_world world;
    const auto key = world.add_waiting(4'000, 2, duration(0));
    const resources need{{4'000}, {512}, {0}};
    reserve(world.shard, key, need, world.worker(), world.now);
    const task_key other{foreign_job, 0, 0, 0};
    world.worker().reserved[other] = {need, world.now + duration(3'000), world.now + duration(1)};
    world.add_running(4'000, 2, duration(1'000));
    CHECK(fits(need, free_resources(world.worker(), &key)));
    CHECK_FALSE(fits(need, free_resources(world.worker(), &other)));
    CHECK_FALSE(fits({{1}, {0}, {0}}, free_resources(world.worker())));
}

} // namespace fulmar
