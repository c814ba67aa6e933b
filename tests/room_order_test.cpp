// Who gets room for long-running tasks when more tasks wait than fit.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace fulmar;

namespace {

// A request for room; it comes from west.0.
struct wish {
    std::uint32_t job = 0;
    std::int64_t processors = 0;
    std::int64_t waited = 0;
    bool evict = false;
    bool first_run = false;
};

job_id foreign_job(std::uint32_t number) {
    return {fmt::format("{:016x}", 0xb0 + number)};
}

task_key foreign_task(std::uint32_t number) {
    return {foreign_job(number), 0, 0, 0};
}

// A shard with workers of 8 cores and a peer that requests room.
struct order_world {
    metrics counters;
    decision_log log{"", {}, {}};
    time_point now{duration(100'000)};
    shard_state shard;
    std::uint64_t number = 0;

    explicit order_world(std::size_t workers = 1) {
        const shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
        shard = make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log);
        shard.takeover_complete = true;
        for (const auto* id : {"north.0", "west.0"}) {
            shard.other_shards[{id}].shard = {id};
            shard.other_shards[{id}].available = true;
        }
        for (std::size_t i = 1; i <= workers; ++i) {
            worker_entry entry;
            entry.target = {{fmt::format("w{}", i)}, {"10.0.0.1", 1}};
            entry.service = {"desk"};
            entry.capacity = {{8'000}, {32'000}, {0}};
            on_worker_entry(shard, entry, now);
            auto& row = shard.tables.workers.at(entry.target.id);
            row.reachability = reachability_state::reachable;
            row.inventoried = true;
            row.clock = worker_clock{1};
            row.clock_at = now;
            shard.stored_workers[entry.target.id] = entry.target.address;
        }
        shard.claim_confirmed = now;
    }

    worker_row& worker(const std::string& id = "w1") { return shard.tables.workers.at({id}); }

    bool has_room(std::uint32_t job, const std::string& id = "w1") {
        return worker(id).reserved.contains(foreign_task(job));
    }

    job_row& add_job(const std::string& id, std::int64_t processors, bool long_running,
                     std::uint32_t tasks = 1) {
        job_row job;
        job.id = {id};
        job.queue.service = {"desk"};
        job.queue.priority = 2;
        step_spec step;
        step.need = {{processors}, {512}, {0}};
        step.long_running = long_running;
        step.count = tasks;
        job.spec.steps = {step};
        job.next_occurrence = 1;
        job.occurrences.emplace(0, make_occurrence(job.spec, 0));
        auto& row = shard.tables.jobs.emplace(job.id, std::move(job)).first->second;
        shard.active.insert(row.id);
        return row;
    }

    run_key add_running(std::int64_t processors, bool long_running, const std::string& id = "w1") {
        const auto& job =
            add_job(fmt::format("{:016x}", 0x1000 + ++number), processors, long_running);
        run_row run;
        run.key = {{job.id, 0, 0, 0}, {1}};
        run.worker = {id};
        run.phase = run_phase::running;
        run.need = job.spec.steps[0].need;
        run.long_running = long_running;
        run.start_sent = now - duration(1'000);
        run.confirmed = run.start_sent;
        add_run(shard.tables, run);
        return run.key;
    }

    // Adds short tasks of one core that wait; they were accepted before all others.
    void add_short_tasks(std::uint32_t count) {
        auto& job = add_job("0000000000000001", 1'000, false, count);
        job.occurrences.at(0).stages[0].ready_since = now;
    }

    // Ends the run of a job that was cancelled.
    void end_run(const run_key& key) {
        remove_run(shard.tables, key);
        shard.active.erase(key.task.job);
        shard.placement_needed = true;
    }

    // Returns the starts of one round of placement: of short tasks, and of all others.
    std::pair<std::size_t, std::size_t> place() {
        shard_actions actions;
        place_tasks(shard, now, actions);
        const auto small =
            std::count_if(actions.starts.begin(), actions.starts.end(),
                          [](const worker_action<start_command>& start) {
                              return start.command.run.task.job == job_id{"0000000000000001"};
                          });
        const auto found = static_cast<std::size_t>(small);
        return {found, actions.starts.size() - found};
    }

    json request(const std::vector<wish>& wishes) {
        json rows = json::array();
        for (const auto& row : wishes) {
            rows.push_back({{"job", foreign_job(row.job)},
                            {"occurrence", 0},
                            {"step", 0},
                            {"task", 0},
                            {"service", "desk"},
                            {"label", ""},
                            {"spread_limit", 0},
                            {"need", resources{{row.processors}, {512}, {0}}},
                            {"waited_ms", row.waited},
                            {"first_run", row.first_run},
                            {"priority", 2},
                            {"evict", row.evict},
                            {"lending", false}});
        }
        const json body{
            {"from", "west.0"}, {"to", shard.id}, {"number", ++number}, {"tasks", rows}};
        return json::parse(on_room_requests(shard, body, now));
    }

    // Receives a reply by another shard that holds room for a task which isn't free yet.
    void reply_held(const std::string& from, const task_key& key) {
        const json row{{"job", key.job},
                       {"occurrence", key.occurrence},
                       {"step", key.step},
                       {"task", key.index}};
        const json body{{"grants", json::array()}, {"held", json::array({row})}};
        on_room_reply(shard, {from}, body.dump(), now);
    }

    // Returns the shard that is asked to evict runs for the only task that is listed.
    std::string find_asked() {
        std::string asked;
        for (const auto& message : make_room_requests(shard, now)) {
            const auto rows = json::parse(message.body).at("tasks");
            for (const auto& row : rows) {
                asked += row.at("evict").get<bool>() ? message.to.value : std::string();
            }
        }
        return asked;
    }

    void pass(duration time) {
        now += time;
        shard.claim_confirmed = now;
        serve_room_requests(shard, now);
    }
};

} // namespace

// Every room that wasn't free yet was given up, again and again, for a task that fits nowhere.
TEST_CASE("no room is given up for a task that doesn't fit then either") {
    order_world world;
    world.add_running(4'000, true);
    world.add_running(4'000, false);
    for (int i = 0; i < 10; ++i) {
        world.request({{1, 3'000, 2'000, false}, {2, 6'000, 20'000, true}});
        CHECK(world.has_room(1));
        CHECK_FALSE(world.has_room(2));
        world.pass(duration(250));
    }
}

// The longest wait lost its room to any task for which runs were to be evicted in this shard.
TEST_CASE("room for a longer wait isn't given up for a shorter one") {
    order_world world;
    world.add_running(8'000, false);
    world.request({{1, 6'000, 30'000, false}});
    REQUIRE(world.has_room(1));
    world.pass(duration(200));
    world.request({{1, 6'000, 30'200, false}, {2, 6'000, 5'000, true}});
    CHECK(world.has_room(1));
    CHECK_FALSE(world.has_room(2));
}

TEST_CASE("the shortest waits give way to a longer one, and no more than it needs") {
    order_world world(2);
    world.add_running(8'000, false, "w1");
    world.add_running(8'000, false, "w2");
    world.add_running(5'000, true, "w2");
    world.request({{1, 3'000, 3'000, false}, {2, 2'500, 2'000, false}, {3, 2'500, 1'000, false}});
    REQUIRE(world.worker().reserved.size() + world.worker("w2").reserved.size() == 3);
    world.request({{1, 3'000, 3'100, false},
                   {2, 2'500, 2'100, false},
                   {3, 2'500, 1'100, false},
                   {4, 5'000, 9'000, true}});
    CHECK(world.has_room(4));
    CHECK(world.has_room(1));
}

// A task of this shard with a shorter wait kept its room in the same way.
TEST_CASE("room for an own task gives way to a longer wait of another shard") {
    for (const bool own_longer : {true, false}) {
        order_world world;
        world.add_running(8'000, false);
        auto& job = world.add_job("00000000000000aa", 6'000, true);
        auto& stage = job.occurrences.at(0).stages[0];
        stage.ready_since = world.now - duration(own_longer ? 30'000 : 2'000);
        stage.tasks[0].last_run = {1};
        const task_key key{job.id, 0, 0, 0};
        reserve(world.shard, key, job.spec.steps[0].need, world.worker(), world.now);
        world.request({{1, 6'000, 9'000, true}});
        CHECK(world.has_room(1) == !own_longer);
        CHECK(world.worker().reserved.contains(key) == own_longer);
        CHECK(stage.tasks[0].reserved_worker.has_value() == own_longer);
    }
}

// Room that is free is used within moments; giving it up would only cost time.
TEST_CASE("room that is free or being lent isn't given up") {
    order_world world;
    world.request({{1, 6'000, 1'000, false}});
    REQUIRE(world.has_room(1));
    world.request({{1, 6'000, 1'100, false}, {2, 6'000, 9'000, true}});
    CHECK(world.has_room(1));
}

// Shards were asked in turn, 4 s each, and the one that could have made room came last.
TEST_CASE("the shard that holds room for a task is asked to evict runs for it") {
    order_world world;
    auto& job = world.add_job("00000000000000aa", 9'000, true);
    auto& stage = job.occurrences.at(0).stages[0];
    stage.ready_since = world.now - duration(3'000);
    const task_key key{job.id, 0, 0, 0};
    SECTION("as soon as runs may be evicted") {
        world.reply_held("west.0", key);
        CHECK(world.find_asked() == "west.0");
    }
    SECTION("once another one was asked and has none") {
        CHECK(world.find_asked() == "north.0");
        world.pass(duration(800));
        world.reply_held("west.0", key);
        CHECK(world.find_asked() == "west.0");
    }
    SECTION("but not for longer than one turn, as it may have nothing to evict") {
        world.reply_held("west.0", key);
        CHECK(world.find_asked() == "west.0");
        world.pass(eviction_turn);
        world.reply_held("west.0", key);
        CHECK(world.find_asked() == "north.0");
    }
}

TEST_CASE("an owner learns which shards hold room that isn't free yet") {
    order_world world;
    world.add_running(8'000, false);
    const auto reply = world.request({{1, 6'000, 2'000, false}});
    CHECK(reply.at("grants").empty());
    REQUIRE(reply.at("held").size() == 1);
    CHECK(decode_room_key(reply.at("held")[0]) == foreign_task(1));
}

// One task that waited for long made all tasks of its step count as if they had waited as long, and
// they came before tasks of other steps.
TEST_CASE("a task counts with its own wait, not with the longest one of its step") {
    order_world world;
    auto& job = world.add_job("00000000000000aa", 9'000, true, 2);
    auto& stage = job.occurrences.at(0).stages[0];
    stage.ready_since = world.now - duration(40'000);
    stage.tasks[0].idle_since = world.now - duration(40'000);
    stage.tasks[1].idle_since = world.now - duration(2'000);
    const auto messages = make_room_requests(world.shard, world.now);
    REQUIRE(messages.size() == 2);
    for (const auto& message : messages) {
        const auto rows = json::parse(message.body).at("tasks");
        REQUIRE(rows.size() == 2);
        for (const auto& row : rows) {
            const bool first = row.at("task") == 0;
            CHECK(row.at("waited_ms").get<std::int64_t>() <= (first ? 40'000 : 3'000));
            CHECK(row.at("waited_ms").get<std::int64_t>() >= (first ? 40'000 : 2'000));
        }
    }
}

// LOST: tasks that have to run again waited behind many that had never run.
TEST_CASE("a task that has run before gets room before one that never did") {
    order_world world;
    SECTION("if both belong to other shards") {
        world.request({{1, 6'000, 20'000, true, true}, {2, 6'000, 2'000, false, false}});
        CHECK(world.has_room(2));
        CHECK_FALSE(world.has_room(1));
    }
    SECTION("if the other one holds room that isn't free yet") {
        world.add_running(8'000, false);
        world.request({{1, 6'000, 20'000, false, true}});
        REQUIRE(world.has_room(1));
        world.request({{1, 6'000, 20'100, false, true}, {2, 6'000, 2'000, true, false}});
        CHECK(world.has_room(2));
        CHECK_FALSE(world.has_room(1));
    }
    SECTION("if the other one belongs to this shard") {
        auto& job = world.add_job("00000000000000aa", 6'000, true);
        auto& stage = job.occurrences.at(0).stages[0];
        stage.ready_since = world.now - duration(20'000);
        room_request request;
        request.from = {"west.0"};
        request.service = {"desk"};
        request.need = {{6'000}, {512}, {0}};
        request.claim.since = world.now - duration(2'000);
        request.until = world.now + duration(1'000);
        world.shard.room_requests.emplace(foreign_task(1), request);
        CHECK_FALSE(
            reserve_for_long_running(world.shard, job, stage, {job.id, 0, 0, 0}, world.now));
        CHECK(world.has_room(1));
    }
}

TEST_CASE("tasks that have run before are listed first, and an owner tells which these are") {
    order_world world;
    auto& job = world.add_job("00000000000000aa", 9'000, true, 20);
    auto& stage = job.occurrences.at(0).stages[0];
    stage.ready_since = world.now - duration(40'000);
    for (std::uint32_t i = 0; i < 20; ++i) {
        stage.tasks[i].idle_since = world.now - duration(i == 19 ? 1'000 : 40'000);
    }
    stage.tasks[19].last_run = {3};
    const auto messages = make_room_requests(world.shard, world.now);
    REQUIRE_FALSE(messages.empty());
    for (const auto& message : messages) {
        const auto rows = json::parse(message.body).at("tasks");
        CHECK(std::count_if(rows.begin(), rows.end(), [](const json& row) {
                  return row.at("task") == 19 && !row.at("first_run").get<bool>();
              }) == 1);
        CHECK(std::count_if(rows.begin(), rows.end(),
                            [](const json& row) { return !row.at("first_run").get<bool>(); }) == 1);
    }
}

// LOST: short tasks took the room that a long-running run left, while tasks of other shards had
// waited for it for 13 s; then they were evicted for these.
TEST_CASE("room that a long-running run leaves is reserved for requests before short tasks start") {
    order_world world;
    const auto run = world.add_running(7'000, true);
    world.add_short_tasks(10);
    world.request({{1, 6'000, 13'000}});
    REQUIRE_FALSE(world.has_room(1));
    CHECK(world.place().first == 1);
    world.end_run(run);
    CHECK(world.place().first == 1);
    CHECK(world.has_room(1));
}

// Guards against the same where a worker comes, or comes back.
TEST_CASE("room on a worker that becomes usable is reserved for requests first") {
    order_world world(2);
    world.add_running(8'000, true);
    world.worker("w2").inventoried = false;
    world.add_short_tasks(10);
    world.request({{1, 6'000, 13'000}});
    CHECK(world.place().first == 0);
    world.worker("w2").inventoried = true;
    CHECK(world.place().first == 2);
    CHECK(world.has_room(1, "w2"));
}

// LOST: nothing was reserved while the runs of a cancelled job were being stopped, so their room
// went to short tasks, and the wait began anew with their eviction.
TEST_CASE("the room of a run that is being stopped is reserved for the first claim") {
    order_world world;
    const auto run = world.add_running(7'000, true);
    world.request({{1, 6'000, 4'000}, {2, 6'000, 9'000}});
    CHECK_FALSE(world.has_room(2));
    request_stop(world.shard.tables.runs.at(run), stop_cause::cancelled, world.now);
    world.pass(duration(100));
    CHECK(world.has_room(2));
    CHECK_FALSE(world.has_room(1));
    // It can't be used before the run has ended.
    CHECK(world.request({{1, 6'000, 4'000}, {2, 6'000, 9'000}}).at("grants").empty());
    world.add_short_tasks(10);
    CHECK(world.place().first == 0);
    world.end_run(run);
    CHECK(world.place().first == 2);
    CHECK(world.request({{1, 6'000, 4'000}, {2, 6'000, 9'000}}).at("grants").size() == 1);
}

// Guards against a place that is kept for tasks beside a run which may last for as long as a late
// command may be executed.
TEST_CASE("the room of a run that may begin late isn't reserved") {
    order_world world;
    const auto run = world.add_running(7'000, true);
    auto& row = world.shard.tables.runs.at(run);
    row.confirmed.reset();
    request_stop(row, stop_cause::duplicate, world.now);
    world.request({{1, 6'000, 13'000}});
    world.pass(duration(100));
    CHECK_FALSE(world.has_room(1));
}

// Guards against short tasks that start where they would be evicted at once.
TEST_CASE("a long-running task that may have runs evicted starts before short tasks") {
    for (const bool waited : {true, false}) {
        INFO("it has waited " << waited);
        order_world world;
        const auto run = world.add_running(7'000, true);
        world.add_short_tasks(10);
        auto& job = world.add_job("00000000000000aa", 6'000, true);
        job.accepted = unix_time{5};
        auto& stage = job.occurrences.at(0).stages[0];
        stage.ready_since = world.now - duration(waited ? 2'000 : 500);
        stage.tasks[0].idle_since = stage.ready_since;
        world.end_run(run);
        CHECK(world.place() == std::pair<std::size_t, std::size_t>(waited ? 2 : 8, 0));
        CHECK(stage.tasks[0].planned_on.empty() == !waited);
        job.stored_version = job.version; // the store names its worker
        CHECK(world.place() == std::pair<std::size_t, std::size_t>(0, waited ? 1 : 0));
    }
}

// Guards against a request that is bound to a run which doesn't end, while another worker has short
// runs that may be evicted for it.
TEST_CASE("room beside a run that doesn't end when stopped is given up for another worker") {
    order_world world(2);
    const auto run = world.add_running(7'000, true, "w1");
    world.add_running(8'000, false, "w2");
    request_stop(world.shard.tables.runs.at(run), stop_cause::cancelled, world.now);
    bool moved = false;
    for (int i = 0; i < 100; ++i) {
        world.request({{1, 6'000, 4'000 + i * 100, true}});
        world.pass(duration(100));
        moved = moved || world.has_room(1, "w2");
    }
    CHECK(moved);
}

// LOST: a task of this shard that had waited for longer was passed over for a request, as requests
// are served before the shard's own tasks when room for long-running tasks becomes free.
TEST_CASE("room that a long-running run leaves goes to the longest wait, also one of this shard") {
    for (const std::int64_t waited : {30'000, 5'000}) {
        INFO("the shard's own task has waited for " << waited << " ms, the other for 13 s");
        order_world world;
        const auto run = world.add_running(7'000, true);
        auto& job = world.add_job("00000000000000aa", 6'000, true);
        job.accepted = unix_time{5};
        auto& stage = job.occurrences.at(0).stages[0];
        stage.ready_since = world.now - duration(waited);
        stage.tasks[0].idle_since = stage.ready_since;
        world.request({{1, 6'000, 13'000, false, true}});
        REQUIRE(world.place().second == 0);
        REQUIRE_FALSE(world.has_room(1));
        world.end_run(run);
        const bool own = waited > 13'000;
        CHECK(world.place().second == 0); // the store doesn't name the worker yet
        CHECK(stage.tasks[0].planned_on.empty() == !own);
        CHECK(world.has_room(1) == !own);
        job.stored_version = job.version;
        CHECK(world.place().second == (own ? 1 : 0));
        CHECK(world.has_room(1) == !own);
    }
}
