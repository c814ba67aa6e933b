// Long-running tasks whose runs are stored with their workers: what a successor waits for, and what
// the owner may do with such a task.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
const job_id watch{"00000000000000bb"};
constexpr duration step_time{50};

// By the design, of a worker that doesn't answer: 2.5 s until the former owner stops, the usual
// lease of 5 s and margins; or 15 s for commands that are executed late and the longest lease.
constexpr duration usual_limit{8'000};
constexpr duration longest_limit{15'100};

worker_target target_of(const std::string& id) {
    return {{id}, {"10.0.0.1", 1}};
}

step_spec make_step() {
    step_spec step;
    step.count = 3;
    step.need = {{1'000}, {512}, {0}};
    step.long_running = true;
    return step;
}

// A shard with two workers and a job with three long-running tasks. Its second owner has loaded it:
// the runs of the first two tasks are recorded on the workers "gone" and "sound".
struct recorded_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"a.0"}, {"a"}, {{"r1"}}};
    time_point now{duration(100'000)};
    std::uint64_t revision = 10;
    shard_state shard;
    std::set<std::uint32_t> started; // indexes of tasks
    bool store_answers = true;

    explicit recorded_world(epoch_number recorded_by = {1},
                            const settled_incarnations& settled = {})
        : shard(make_shard(record, {"b1/2"}, {2}, {1}, {}, counters, log)) {
        std::vector<known_worker> listed;
        for (const auto* id : {"gone", "sound"}) {
            listed.push_back({target_of(id), {1}});
        }
        job_row job;
        job.id = watch;
        job.queue.service = {"desk"};
        job.spec.steps = {make_step()};
        job.next_occurrence = 1;
        auto& stage = job.occurrences.emplace(0, make_occurrence(job.spec, 0)).first->second.stages;
        for (std::size_t i = 0; i < 2; ++i) {
            stage[0].tasks[i].recorded_on = worker_id{i == 0 ? "gone" : "sound"};
            stage[0].tasks[i].recorded_by = recorded_by;
        }
        load_shard(shard, {{worker_list_key(record.id), encode(listed), {1}},
                           {job_key(record.id, watch), encode_job(job), {1}},
                           {progress_key(record.id, watch), encode_progress(job), {2}},
                           {incarnations_key(record.id), encode(settled), {3}}});
        shard.loaded_at = now;
        shard.commit.last_applied = now;
        for (const auto* id : {"gone", "sound"}) {
            worker_entry entry;
            entry.target = target_of(id);
            entry.service = {"desk"};
            entry.data_centre = {"a"};
            entry.capacity = {{8'000}, {32'000}, {0}};
            on_worker_entry(shard, entry, now);
        }
    }

    task_row& task(std::uint32_t index) {
        return shard.tables.jobs.at(watch).occurrences.at(0).stages[0].tasks[index];
    }

    // Calls are answered at once, those to "gone" by a time-out.
    void pass(duration time) {
        for (duration passed{0}; passed < time; passed += step_time) {
            now += step_time;
            shard.claim_confirmed = now;
            shard_actions actions;
            advance(shard, now, wall_clock, actions);
            for (const auto& start : actions.starts) {
                started.insert(start.command.run.task.index);
                running.push_back({start.command.run, "", 100, 0});
                command_reply reply;
                reply.clock = clock();
                on_start_reply(shard, start.command.run, reply, now);
            }
            for (const auto& hold : actions.holds) {
                answer_hold(hold.target.id);
            }
            if (actions.commit && store_answers) {
                transaction_reply reply;
                reply.applied = revision_number{++revision};
                on_commit_reply(shard, reply, now, now);
            }
        }
    }

    void answer_hold(const worker_id& id) {
        if (id.value == "gone") {
            on_hold_reply(shard, id, error{error_kind::timeout, ""}, now, now, wall_clock);
            return;
        }
        hold_reply reply;
        reply.clock = clock();
        reply.start_time = start_time();
        reply.running = running;
        on_hold_reply(shard, id, reply, now, now, wall_clock);
    }

    worker_clock clock() const { return {(now - restarted).count()}; }
    process_start_time start_time() const { return {restarted.time_since_epoch().count() + 1}; }

    std::vector<run_status> running; // on "sound"
    time_point restarted{duration(0)};
};

} // namespace

// LOST: tasks waited for the longest lease that any worker may have taken, beyond the time within
// which they have to run again. TWICE: one whose start may have reached a restarted worker has to.
TEST_CASE("a recorded run is waited for by the usual lease of its worker only") {
    recorded_world world;
    world.pass(usual_limit - duration(300));
    CHECK(world.started == std::set<std::uint32_t>{1}); // "sound" has listed no run of it
    world.pass(duration(400));
    CHECK(world.started == std::set<std::uint32_t>{0, 1});
    world.pass(longest_limit - usual_limit - duration(300));
    CHECK_FALSE(world.shard.takeover_complete);
    CHECK(world.started == std::set<std::uint32_t>{0, 1});
    world.pass(duration(400));
    CHECK(world.shard.takeover_complete);
    CHECK(world.started == std::set<std::uint32_t>{0, 1, 2});
}

// TWICE: an owner of an earlier version starts a recorded task and leaves its record as it is.
TEST_CASE("a run that an earlier owner than the last one recorded waits for the takeover") {
    recorded_world world({0});
    world.pass(longest_limit - duration(200));
    CHECK(world.started.empty());
    world.pass(duration(400));
    CHECK(world.started.size() == 3);
}

// TWICE: a successor would start the task while it runs on another worker than the recorded one.
TEST_CASE("a recorded task starts once it is stored as not recorded") {
    recorded_world world;
    world.store_answers = false;
    world.pass(longest_limit);
    CHECK(world.started == std::set<std::uint32_t>{2}); // it isn't recorded
    world.store_answers = true;
    transaction_reply reply;
    reply.applied = revision_number{++world.revision};
    on_commit_reply(world.shard, reply, world.now, world.now);
    world.pass(duration(200));
    CHECK(world.started.contains(1));
}

// LOST: the next successor would wait for the longest lease.
TEST_CASE("a run that its worker has listed for a second is recorded with the worker") {
    recorded_world world;
    world.pass(duration(300));
    REQUIRE(world.started.contains(1));
    CHECK_FALSE(world.task(1).recorded_on);
    world.pass(duration(3'000));
    REQUIRE(world.task(1).recorded_on);
    CHECK(*world.task(1).recorded_on == worker_id{"sound"});
    job_row read;
    read.id = watch;
    read.spec.steps = {make_step()};
    REQUIRE(parse_progress(read, encode_progress(world.shard.tables.jobs.at(watch))));
    const auto& stored = read.occurrences.at(0).stages[0].tasks[1];
    CHECK(stored.recorded_on == worker_id{"sound"});
    CHECK(stored.recorded_by == epoch_number{2});
}

// LOST: owners that were lost within seconds of their claims recorded no run, as each took it that
// its workers might have the longest lease.
TEST_CASE("a new owner records runs at once on workers whose incarnations are settled") {
    constexpr duration soon{1'500};
    for (const bool settled : {true, false}) {
        const process_start_time known{settled ? 1 : 7};
        recorded_world world({1}, {{worker_id{"sound"}, known}});
        world.shard.timing.longest_lease = duration(10'000);
        world.pass(duration(300));
        REQUIRE(world.started.contains(1));
        world.pass(soon);
        CHECK(world.task(1).recorded_on.has_value() == settled);
    }
}

// The same for the owners that follow.
TEST_CASE("an owner stores which incarnations are settled") {
    recorded_world world;
    world.pass(duration(5'000));
    CHECK(world.shard.stored_settled ==
          settled_incarnations{{worker_id{"sound"}, world.start_time()}});
    world.restarted = world.now;
    world.running.clear();
    world.pass(duration(500));
    CHECK(world.shard.stored_settled.at(worker_id{"sound"}) != world.start_time());
    world.pass(duration(5'000));
    CHECK(world.shard.stored_settled.at(worker_id{"sound"}) == world.start_time());
}

// TWICE: after a restart, a worker may have a longer lease than the usual one for all that runs on
// it, from a command for its former incarnation.
TEST_CASE("no run is recorded while its worker may have a longer lease than the usual one") {
    recorded_world world;
    world.shard.timing.longest_lease = duration(10'000);
    world.pass(duration(8'000));
    REQUIRE(world.task(1).recorded_on);
    world.restarted = world.now;
    world.running.clear();
    const auto longest = world.shard.timing.longest_lease - world.shard.timing.lease;
    world.pass(longest - duration(500));
    REQUIRE(world.task(1).runs.size() == 1);
    CHECK_FALSE(world.task(1).recorded_on);
    world.pass(duration(2'000));
    CHECK(world.task(1).recorded_on);
}
