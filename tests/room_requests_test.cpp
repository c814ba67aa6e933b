// Room requests of other shards: when room is granted, and when a grant ends.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
const shard_id requester{"west.0"};
const job_id foreign_job{"00000000000000bb"};

// A shard with two workers of 8 cores, w1 with the label "fast", and a peer that requests room.
struct room_world {
    metrics counters;
    decision_log log{"", {}, {}};
    time_point now{duration(10'000)};
    shard_state shard;
    std::uint64_t number = 0;

    room_world() {
        const shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
        shard = make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log);
        shard.other_shards[requester].shard = requester;
        shard.other_shards[requester].available = true;
        for (const auto* id : {"w1", "w2"}) {
            worker_entry entry;
            entry.target = {{id}, {"10.0.0.1", 1}};
            entry.service = {"desk"};
            entry.capacity = {{8'000}, {32'000}, {0}};
            if (entry.target.id.value == "w1") {
                entry.labels = {"fast"};
            }
            on_worker_entry(shard, entry, now);
            auto& worker = shard.tables.workers.at(entry.target.id);
            worker.reachability = reachability_state::reachable;
            worker.inventoried = true;
            shard.stored_workers[entry.target.id] = entry.target.address;
        }
        shard.claim_confirmed = now;
    }

    void pass(duration time) {
        now += time;
        shard.claim_confirmed = now;
        serve_room_requests(shard, now);
    }

    worker_row& worker(const std::string& id) { return shard.tables.workers.at({id}); }

    static json make_row(std::uint32_t task, std::int64_t processors, const std::string& label,
                         std::uint32_t spread_limit, bool lending) {
        return {{"job", foreign_job},
                {"occurrence", 0},
                {"step", 0},
                {"task", task},
                {"service", "desk"},
                {"label", label},
                {"spread_limit", spread_limit},
                {"need", resources{{processors}, {512}, {0}}},
                {"waited_ms", 1'000},
                {"lending", lending}};
    }

    // Sends a message with these rows and returns the tasks for which room is granted.
    std::vector<std::uint32_t> request(const json& rows) {
        const json body{
            {"from", requester}, {"to", shard.id}, {"number", ++number}, {"tasks", rows}};
        std::vector<std::uint32_t> granted;
        const auto reply = json::parse(on_room_requests(shard, body, now));
        for (const auto& row : reply.at("grants")) {
            granted.push_back(row.at("task").get<std::uint32_t>());
        }
        return granted;
    }

    // Adds an own job with long-running tasks that have waited for this long.
    void add_waiting(const job_id& id, std::uint32_t tasks, const std::string& label,
                     duration waited, resources need = {{6'000}, {512}, {0}}) {
        job_row job;
        job.id = id;
        job.queue.service = {"desk"};
        step_spec step;
        step.count = tasks;
        step.need = need;
        step.label = label;
        step.long_running = true;
        job.spec.steps = {step};
        job.next_occurrence = 1;
        job.occurrences.emplace(0, make_occurrence(job.spec, 0));
        load_shard(shard, {{job_key(shard.id, id), encode_job(job), {1}},
                           {progress_key(shard.id, id), encode_progress(job), {2}}});
        shard.takeover_complete = true;
        shard.tables.jobs.at(id).occurrences.at(0).stages[0].ready_since = now - waited;
    }

    // Returns the rows of the next message to the peer.
    json requested() {
        const auto messages = make_room_requests(shard, now);
        return messages.empty() ? json::array() : json::parse(messages.at(0).body).at("tasks");
    }

    // Adds a run of another job that uses the worker's processors.
    void occupy(const std::string& id, std::int64_t processors, bool long_running) {
        run_row run;
        run.key = {{{"00000000000000cc"}, 0, 0, static_cast<std::uint32_t>(++number)}, {1}};
        run.worker = {id};
        run.phase = run_phase::running;
        run.need = {{processors}, {0}, {0}};
        run.long_running = long_running;
        add_run(shard.tables, run);
    }

    // Makes the offer of one task of the foreign job, as the lender does after a grant.
    job_row& offer(std::uint32_t task, std::uint64_t loan) {
        job_spec spec;
        step_spec step;
        step.count = 4;
        step.need = {{6'000}, {512}, {0}};
        step.long_running = true;
        spec.steps = {step};
        queue_spec queue;
        queue.service = {"desk"};
        const json body{{"kind", "offer"},
                        {"from", requester},
                        {"to", shard.id},
                        {"loan", loan},
                        {"job", foreign_job},
                        {"queue", encode_queue(queue)},
                        {"spec", encode_spec(spec)},
                        {"accepted", wall_clock},
                        {"occurrence", 0},
                        {"step", 0},
                        {"tasks", json::array({json::array({task, 0, json::array(), 0, ""})})}};
        on_loan_message(shard, body, 1, now, wall_clock);
        return shard.tables.jobs.at(foreign_job);
    }
};

} // namespace

// Offers were made for room that a step's label, its spread limit or a paused worker ruled out.
TEST_CASE("room is granted only where the task may start") {
    room_world world;
    const auto fast = [](std::uint32_t task) {
        return room_world::make_row(task, 2'000, "fast", 1, false);
    };
    CHECK(world.request(json::array({room_world::make_row(2, 2'000, "other", 0, false)})).empty());
    CHECK(world.request(json::array({room_world::make_row(3, 9'000, "", 0, false)})).empty());
    // Only w1 has the label, and it may run one task of the step.
    CHECK(world.request(json::array({fast(0), fast(1)})) == std::vector<std::uint32_t>{0});
    CHECK(world.worker("w1").reserved.size() == 1);
    CHECK(world.worker("w2").reserved.empty());
    world.worker("w1").no_starts_before = world.now + duration(5'000);
    CHECK(world.request(json::array({fast(0), fast(1)})).empty());
    CHECK(world.worker("w1").reserved.empty());
}

// Room that short tasks freed went to the next short tasks, and a waiting task of another shard got
// none.
TEST_CASE("room is held for a request while short tasks end, and granted once it is free") {
    room_world world;
    world.occupy("w1", 8'000, false);
    world.occupy("w2", 8'000, true);
    const auto rows = json::array({room_world::make_row(0, 6'000, "", 0, false)});
    CHECK(world.request(rows).empty());
    CHECK(world.worker("w1").reserved.size() == 1);
    CHECK(free_resources(world.worker("w1")).processors.value < 0);
    remove_run(world.shard.tables, *world.worker("w1").runs.begin());
    world.pass(duration(300));
    CHECK(world.request(rows) == std::vector<std::uint32_t>{0});
}

// A lost requester would hold room for ever, and one that never uses its grant as well.
TEST_CASE("a grant ends if it isn't repeated, used in time or wanted any more") {
    room_world world;
    const auto rows = json::array({room_world::make_row(0, 6'000, "", 0, false)});
    const auto held = [&] {
        return world.worker("w1").reserved.size() + world.worker("w2").reserved.size();
    };
    REQUIRE(world.request(rows).size() == 1);
    CHECK(held() == 1);
    world.pass(duration(1'100));
    CHECK(held() == 0);
    CHECK(world.shard.room_requests.empty());

    REQUIRE(world.request(rows).size() == 1);
    CHECK(world.request(json::array()).empty());
    CHECK(held() == 0);

    std::size_t rounds_without = 0;
    for (int i = 0; i < 15; ++i) {
        world.request(rows);
        world.pass(duration(300));
        rounds_without += held() == 0 ? 1 : 0;
    }
    CHECK(rounds_without >= 2);
}

// Two tasks started for one reserved room, or the room stayed reserved after its task had started.
TEST_CASE("a grant is used by its task only, and once") {
    room_world world;
    world.occupy("w2", 8'000, true);
    const auto rows = json::array({room_world::make_row(0, 6'000, "", 0, false),
                                   room_world::make_row(1, 6'000, "", 0, false)});
    REQUIRE(world.request(rows) == std::vector<std::uint32_t>{0});
    auto& job = world.offer(1, 7);
    use_granted_rooms(world.shard, job, job.borrowed.front(), world.now);
    CHECK_FALSE(job.occurrences.at(0).stages[0].tasks[1].reserved_worker);
    world.offer(0, 8);
    use_granted_rooms(world.shard, job, job.borrowed.back(), world.now);
    CHECK(job.occurrences.at(0).stages[0].tasks[0].reserved_worker == worker_id{"w1"});
    CHECK(world.shard.room_requests.empty());
    // The lender's messages may still list both tasks.
    CHECK(world.request(rows).empty());
    run_row run;
    run.key = {{foreign_job, 0, 0, 0}, {1}};
    run.worker = {"w1"};
    run.need = {{6'000}, {512}, {0}};
    run.long_running = true;
    add_run(world.shard.tables, run);
    CHECK(world.worker("w1").reserved.empty());
    CHECK(world.request(rows).empty());
}

// The oldest task waited on while younger ones got the room.
TEST_CASE("own tasks and those of other shards get room in the order of their waits") {
    for (const bool own_first : {true, false}) {
        room_world world;
        world.occupy("w2", 8'000, true);
        auto& job = world.shard.tables.jobs[{"00000000000000aa"}];
        job.id = {"00000000000000aa"};
        job.queue.service = {"desk"};
        step_spec step;
        step.need = {{6'000}, {512}, {0}};
        step.long_running = true;
        job.spec.steps = {step};
        job.occurrences.emplace(0, make_occurrence(job.spec, 0));
        auto& stage = job.occurrences.at(0).stages[0];
        stage.ready_since = world.now - duration(own_first ? 3'000 : 100);
        stage.tasks[0].last_run = {1};
        room_request request;
        request.from = requester;
        request.service = {"desk"};
        request.need = step.need;
        request.claim.since = world.now - duration(1'000);
        request.until = world.now + duration(1'000);
        const task_key key{foreign_job, 0, 0, 0};
        world.shard.room_requests.emplace(key, request);
        CHECK(reserve_for_long_running(world.shard, job, stage, {job.id, 0, 0, 0}, world.now) ==
              own_first);
        CHECK(world.worker("w1").reserved.contains(key) == !own_first);
    }
}

// Long-running tasks were lent to no shard whose owner runs a version without room requests.
TEST_CASE("tasks are lent for published room to an owner that doesn't know room requests") {
    room_world world;
    auto& job = world.shard.tables.jobs[{"00000000000000aa"}];
    job.id = {"00000000000000aa"};
    job.queue.service = {"desk"};
    step_spec step;
    step.need = {{6'000}, {512}, {0}};
    step.long_running = true;
    job.spec.steps = {step};
    job.occurrences.emplace(0, make_occurrence(job.spec, 0));
    job.occurrences.at(0).stages[0].ready_since = world.now - duration(1'000);
    world.shard.active.insert(job.id);
    service_room room;
    room.service = {"desk"};
    room.free_now = {{{8'000}, {32'000}, {0}}};
    world.shard.other_shards.at(requester).rooms = {room};
    const auto find = [&] {
        const auto& stage = job.occurrences.at(0).stages[0];
        return find_borrower(world.shard, job, stage, room_kind::free_now, world.now).first;
    };
    CHECK(make_room_requests(world.shard, world.now).size() == 1);
    CHECK(find() == nullptr);
    const result<std::string> timeout = error{error_kind::timeout, "no answer"};
    on_room_reply(world.shard, requester, timeout, world.now);
    CHECK(find() == nullptr);
    const result<std::string> unknown = error{error_kind::invalid_argument, "unknown method"};
    on_room_reply(world.shard, requester, unknown, world.now);
    CHECK(find() != nullptr);
    CHECK(make_room_requests(world.shard, world.now).empty());
    world.pass(duration(4'000));
    CHECK(find() == nullptr);
    CHECK(make_room_requests(world.shard, world.now).size() == 1);
    const json grant{{"job", job.id}, {"occurrence", 0}, {"step", 0}, {"task", 0}};
    const result<std::string> granted = json{{"grants", json::array({grant})}}.dump();
    on_room_reply(world.shard, requester, granted, world.now);
    CHECK(find_granter(world.shard, {job.id, 0, 0, 0}, world.now) != nullptr);
    CHECK(find_granter(world.shard, {job.id, 0, 0, 0}, world.now + duration(1'100)) == nullptr);
}

// Tasks for which no shard has room filled each message, so that the room for others was never
// requested.
TEST_CASE("room is requested for a task beside many that have waited longer") {
    room_world world;
    const job_id late{"00000000000000dd"};
    world.add_waiting({"00000000000000aa"}, 40, "nowhere", duration(9'000));
    world.add_waiting(late, 1, "", duration(1'000));
    const auto rows = world.requested();
    CHECK(rows.size() == 16);
    CHECK(std::any_of(rows.begin(), rows.end(),
                      [&](const json& row) { return row.at("job").get<job_id>() == late; }));
}

// LOST: the tasks of some steps filled each message. Room that was too small for them, and large
// enough for a step that had waited a little less, stayed free.
TEST_CASE("room is requested for the smallest of many steps that wait") {
    room_world world;
    const job_id smallest{"00000000000000ff"};
    for (std::int64_t i = 0; i < 40; ++i) {
        world.add_waiting({fmt::format("{:016x}", i + 1)}, 9, "", duration(9'000 - i),
                          {{9'000 - i % 7 * 100}, {512 + i % 5}, {0}});
    }
    world.add_waiting(smallest, 9, "", duration(1'000), {{3'500}, {512}, {0}});
    const auto is_listed = [&](const job_id& id) {
        const auto rows = world.requested();
        CHECK(rows.size() == 16);
        return std::any_of(rows.begin(), rows.end(),
                           [&](const json& row) { return row.at("job").get<job_id>() == id; });
    };
    CHECK(is_listed(smallest));
    // Needs that are smaller than all others in one respect.
    const std::vector<std::pair<std::string, resources>> others{
        {"fast", {{3'400}, {999}, {0}}}, {"", {{9'000}, {100}, {0}}}, {"", {{100}, {9'000}, {0}}}};
    for (std::size_t i = 0; i < others.size(); ++i) {
        const job_id id{fmt::format("{:016x}", 0x1000 + i)};
        const auto& [label, need] = others[i];
        world.add_waiting(id, 9, label, duration(900), need);
        // Messages are sent every 0.3 s.
        bool listed = false;
        for (int message = 0; message < 4; ++message) {
            listed = is_listed(id) || listed;
        }
        CHECK(listed);
    }
}

// A step that may not use all room doesn't stand for others.
TEST_CASE("room is requested for a step beside a smaller one that runs on all workers already") {
    room_world world;
    const job_id large{"00000000000000ff"};
    for (std::int64_t i = 0; i < 20; ++i) {
        const job_id id{fmt::format("{:016x}", i + 1)};
        world.add_waiting(id, 9, "", duration(9'000 - i), {{3'000 - i}, {512}, {0}});
        world.shard.tables.jobs.at(id).spec.steps.front().spread_limit = 1;
    }
    world.add_waiting(large, 1, "", duration(8'990), {{8'000}, {512}, {0}});
    const auto rows = world.requested();
    CHECK(std::any_of(rows.begin(), rows.end(),
                      [&](const json& row) { return row.at("job").get<job_id>() == large; }));
}

// The shard that holds the room releases it if a message doesn't list the task. The offer then
// arrived without room and was returned.
TEST_CASE("a task that is being lent is listed beside many that have waited longer") {
    room_world world;
    const job_id lent{"00000000000000dd"};
    world.add_waiting({"00000000000000aa"}, 40, "nowhere", duration(9'000));
    world.add_waiting(lent, 1, "", duration(1'000));
    auto& job = world.shard.tables.jobs.at(lent);
    auto& stage = job.occurrences.at(0).stages[0];
    loan_row loan;
    loan.number = 7;
    loan.to = requester;
    loan.job = lent;
    loan.tasks = {0};
    job.loans[loan.number] = requester;
    stage.tasks[0].loan = loan.number;
    stage.tasks[0].not_local = true;
    stage.waiting.clear();
    stage.ready_since.reset();
    world.shard.tables.loans.emplace(loan.number, loan);
    const auto rows = world.requested();
    CHECK(rows.size() == 17);
    CHECK(rows.at(0).at("job").get<job_id>() == lent);
    CHECK(rows.at(0).at("lending").get<bool>());
}

// Room held for tasks of other shards counted as moves, of which a shard makes two at a time, so
// that serving tasks weren't regrouped while others requested room.
TEST_CASE("room that is held for other shards doesn't count as moves of serving tasks") {
    room_world world;
    const auto granted = world.request(json::array(
        {world.make_row(0, 6'000, "", 0, false), world.make_row(1, 6'000, "", 0, false)}));
    CHECK(granted.size() == 2);
    CHECK(expire_reservations(world.shard, world.now) == 0);
}
