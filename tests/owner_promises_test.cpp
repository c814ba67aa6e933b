// What an owner may do with a task or a worker that a record says it leaves alone, and what its
// successor makes of that record.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
const job_id watch{"00000000000000aa"};

// A shard that its second owner has loaded: two workers in the stored list, and a job with two
// tasks, long-running ones if not told otherwise, of which the first one was stored as parked.
struct inherited_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"a.0"}, {"a"}, {{"r1"}}};
    time_point now{duration(100'000)};
    std::uint64_t revision = 10;
    shard_state shard;
    shard_actions last;

    explicit inherited_world(epoch_number parked_by = {1}, bool long_running = true)
        : shard(make_shard(record, {"b1/2"}, {2}, {1}, {}, counters, log)) {
        std::vector<known_worker> listed;
        for (const auto* id : {"gone", "sound"}) {
            listed.push_back({target_of(id), {1}});
        }
        job_row job;
        job.id = watch;
        job.queue.service = {"desk"};
        step_spec step;
        step.count = 2;
        step.need = {{1'000}, {512}, {0}};
        step.long_running = long_running;
        job.spec.steps = {step};
        job.next_occurrence = 1;
        auto& stage = job.occurrences.emplace(0, make_occurrence(job.spec, 0)).first->second.stages;
        stage[0].tasks[0].parked = true;
        stage[0].tasks[0].parked_by = parked_by;
        stage[0].tasks[0].waiting_since = {wall_clock.value - 20'000};
        load_shard(shard, {{worker_list_key(record.id), encode(listed), {1}},
                           {job_key(record.id, watch), encode_job(job), {1}},
                           {progress_key(record.id, watch), encode_progress(job), {2}}});
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

    static worker_target target_of(const std::string& id) { return {{id}, {"10.0.0.1", 1}}; }

    // A worker answers with an empty list of runs.
    void answer(const std::string& id) {
        hold_reply reply;
        reply.outcome = command_outcome::done;
        reply.clock = {now.time_since_epoch().count()};
        on_hold_reply(shard, {id}, reply, now, now, wall_clock);
    }

    void advance_by(duration time) {
        now += time;
        shard.claim_confirmed = now;
        last = {};
        advance(shard, now, wall_clock, last);
    }

    // The store applies the transaction that was sent.
    void apply() {
        transaction_reply reply;
        reply.applied = revision_number{++revision};
        on_commit_reply(shard, reply, now, now);
    }

    bool renews_lease(const std::string& id) const {
        return std::any_of(last.holds.begin(), last.holds.end(), [&](const auto& hold) {
            return hold.target.id.value == id && hold.command.lease_until;
        });
    }
};

} // namespace

// TWICE: a successor takes a parked task for one that runs nowhere, so it must not start while the
// stored record says that it is parked.
TEST_CASE("a parked task starts once it is stored as not parked") {
    inherited_world world({1}, GENERATE(true, false));
    world.answer("sound");
    world.advance_by(duration(50));
    CHECK_FALSE(world.shard.takeover_complete);
    CHECK(world.last.starts.empty());
    REQUIRE(world.last.commit);
    const auto& puts = world.last.commit->puts;
    const auto stored = std::find_if(puts.begin(), puts.end(), [](const auto& put) {
        return put.key == progress_key({"a.0"}, watch);
    });
    REQUIRE(stored != puts.end());
    CHECK(stored->value.find(std::to_string(wall_clock.value - 20'000)) == std::string::npos);
    world.advance_by(duration(50));
    CHECK(world.last.starts.empty());
    world.apply();
    world.advance_by(duration(10));
    REQUIRE(world.last.starts.size() == 1);
    CHECK(world.last.starts[0].command.run.task.index == 0);
}

// TWICE: an owner of an earlier version starts a parked task and leaves its record as it is.
TEST_CASE("a task that an earlier owner than the last one parked waits for the takeover") {
    inherited_world world({0}, GENERATE(true, false));
    world.answer("sound");
    for (int step = 0; step < 20; ++step) {
        world.advance_by(duration(50));
        CHECK(world.last.starts.empty());
        if (world.last.commit) {
            world.apply();
        }
    }
}

// LOST: a task that an owner didn't store as parked again would wait under the one after it.
TEST_CASE("an owner stores again which of the tasks that it has loaded are parked") {
    inherited_world world;
    world.advance_by(duration(50));
    REQUIRE(world.last.commit);
    const auto& puts = world.last.commit->puts;
    const auto stored = std::find_if(puts.begin(), puts.end(), [](const auto& put) {
        return put.key == progress_key({"a.0"}, watch);
    });
    REQUIRE(stored != puts.end());
    job_row read;
    read.id = watch;
    read.spec = world.shard.tables.jobs.at(watch).spec;
    REQUIRE(parse_progress(read, stored->value));
    CHECK(read.occurrences.at(0).stages[0].tasks[0].parked);
    CHECK(read.occurrences.at(0).stages[0].tasks[0].parked_by == epoch_number{2});
}

// TWICE: the other task of the job may run on the worker that doesn't answer.
TEST_CASE("a task that isn't parked waits until the takeover is complete") {
    inherited_world world;
    world.answer("sound");
    for (int step = 0; step < 20; ++step) {
        world.advance_by(duration(50));
        for (const auto& start : world.last.starts) {
            CHECK(start.command.run.task.index == 0);
        }
        if (world.last.commit) {
            world.apply();
        }
    }
    world.answer("gone");
    world.advance_by(duration(10));
    CHECK(world.shard.takeover_complete);
    CHECK(world.last.starts.empty()); // the store doesn't name its worker yet
    REQUIRE(world.last.commit);
    world.apply();
    world.advance_by(duration(10));
    CHECK(world.last.starts.size() == 1);
}

// TWICE: a successor doesn't wait for a worker that this owner promised to leave alone.
TEST_CASE("a worker gets no lease while the stored list says that its owner leaves it alone") {
    inherited_world world;
    world.answer("sound");
    bool promised = false;
    for (int step = 0; step < 40 && !promised; ++step) {
        world.advance_by(duration(50));
        if (world.last.commit) {
            world.apply();
        }
        promised = is_promised(world.shard, {"gone"});
    }
    REQUIRE(promised);
    CHECK_FALSE(is_promised(world.shard, {"sound"}));
    world.answer("gone");
    for (int step = 0; step < 6; ++step) {
        world.advance_by(duration(20));
        CHECK_FALSE(world.renews_lease("gone"));
    }
    REQUIRE(world.shard.commit.pending);
    world.apply();
    world.answer("gone");
    world.advance_by(duration(10));
    CHECK(world.renews_lease("gone"));
}

// LOST: a shard whose worker was silent was handed over only after another transaction, up to 3 s
// later on a busy host that was stopping. Meanwhile nothing of it started.
TEST_CASE("a shard with a silent worker is handed over without another transaction") {
    inherited_world world;
    world.answer("sound");
    for (int step = 0; step < 4; ++step) {
        world.advance_by(duration(50));
        if (world.last.commit) {
            world.apply();
        }
    }
    world.shard.releasing = true;
    world.advance_by(duration(50));
    CHECK_FALSE(world.last.commit);
    CHECK(can_release(world.shard));
    store_transaction handover;
    add_handover_records(world.shard, handover, world.now);
    REQUIRE_FALSE(handover.puts.empty());
    const auto listed = parse_known_workers(handover.puts[0].value);
    REQUIRE(listed);
    REQUIRE(listed.value().size() == 2);
    CHECK(listed.value()[0].promise.has_value()); // "gone"
    CHECK_FALSE(listed.value()[1].promise.has_value());
    // The outcome of the handover may be unknown.
    world.answer("gone");
    world.advance_by(duration(50));
    CHECK_FALSE(world.renews_lease("gone"));
}

// TWICE: the promise about a worker that was cut off after an unnoticed restart told the end of the
// usual lease, and the successor started the task elsewhere while it ran.
TEST_CASE("a promise includes the lease that a restarted worker took unnoticed") {
    inherited_world world;
    world.shard.starts_allowed = false;
    for (int step = 0; step < 200 && world.last.starts.empty(); ++step) {
        world.answer("gone");
        world.answer("sound");
        world.advance_by(duration(50));
        if (world.last.commit) {
            world.apply();
        }
        world.shard.starts_allowed = step > 100; // the leases of the takeover have ended by then
    }
    REQUIRE_FALSE(world.last.starts.empty());
    const auto start = world.last.starts.front();
    const auto started = world.now;
    command_reply reply;
    reply.clock = {300}; // of another process than the one that replied to the hold
    on_start_reply(world.shard, start.command.run, reply, world.now);
    for (const auto* id : {"gone", "sound"}) {
        on_hold_reply(world.shard, {id}, error{error_kind::timeout, ""}, world.now, world.now,
                      wall_clock);
    }
    world.advance_by(duration(3'000));
    store_transaction handover;
    add_handover_records(world.shard, handover, world.now);
    REQUIRE_FALSE(handover.puts.empty());
    const auto listed = parse_known_workers(handover.puts[0].value);
    REQUIRE(listed);
    for (const auto& worker : listed.value()) {
        if (worker.target.id != start.target.id) {
            continue;
        }
        REQUIRE(worker.promise);
        REQUIRE(worker.promise->leases_end_in);
        CHECK(world.now + *worker.promise->leases_end_in >=
              started + world.shard.timing.longest_lease);
    }
}

// Guards against a promise that is lost, or read into a list that has none.
TEST_CASE("the list of workers is read back with its promises, and one of an earlier version") {
    const std::vector<known_worker> listed{
        {inherited_world::target_of("w1"), {1}},
        {inherited_world::target_of("w2"), {1}, lease_promise{{3}, {2}}},
        {inherited_world::target_of("w3"), {2}, lease_promise{{3}, {3}, duration(1'200)}},
    };
    const auto read = parse_known_workers(encode(listed));
    REQUIRE(read);
    REQUIRE(read.value().size() == listed.size());
    for (std::size_t i = 0; i < listed.size(); ++i) {
        CHECK(read.value()[i].since == listed[i].since);
        CHECK(read.value()[i].promise == listed[i].promise);
    }
    const auto earlier = parse_known_workers(R"([["w1","10.0.0.1:1"],["w2","10.0.0.1:2",4]])");
    REQUIRE(earlier);
    CHECK_FALSE(earlier.value()[0].promise);
    CHECK(earlier.value()[1].since == epoch_number{4});
}
