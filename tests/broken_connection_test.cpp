// What an owner does when a connection ends before the response: the call may have been executed,
// and its target may be reachable on another connection.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
const error broken{error_kind::outcome_unknown, "the connection ended"};
const error silent{error_kind::timeout, "no answer"};
const error turned_away{error_kind::unavailable, "503"};

struct owner_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(1'000)};
    request_token next_token = 1;
    shard_actions actions; // of the last advance
    shard_state shard;

    owner_world()
        : shard(make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log)) {
        load_shard(shard, {});
        shard.claim_confirmed = now;
        shard.commit.last_applied = now;
    }

    void submit(const std::string& id) {
        job_spec spec;
        spec.steps.emplace_back();
        queue_spec queue;
        queue.service = {"desk"};
        submit_job(shard, {id}, queue, spec, {next_token++}, now, wall_clock);
    }

    void send() {
        actions = {};
        advance(shard, now, wall_clock, actions);
    }

    void reply(const result<transaction_reply>& answer) {
        on_commit_reply(shard, answer, now, now);
    }

    void answer_hold(const result<hold_reply>& answer) {
        on_hold_reply(shard, {"w1"}, answer, now, now, wall_clock);
    }
};

} // namespace

// A connection that the store closed delayed its submissions by the pause between attempts, and
// those that waited for the next transaction were refused although the store worked.
TEST_CASE("a transaction is repeated at once if only its connection broke") {
    owner_world world;
    world.submit("a");
    world.send();
    REQUIRE(world.actions.commit);
    world.submit("b");
    world.reply(broken);
    world.send();
    REQUIRE(world.actions.commit);
    CHECK(world.actions.submit_answers.empty());

    SECTION("it was applied, and the next transaction stores the rest") {
        const store_entry head{head_key(world.record.id), encode(head_record{{1}, 1}), {7}};
        const store_entry claim{claim_key(world.record.id), "", {1}};
        transaction_reply conflict;
        conflict.present = {head, claim};
        world.reply(conflict);
        world.send();
        REQUIRE(world.actions.submit_answers.size() == 1);
        CHECK(world.actions.submit_answers.front().outcome == submit_outcome::accepted);
        CHECK(world.actions.commit);
    }
    SECTION("the store turns it away: nothing of it is refused, as it may have been applied") {
        const bool again = GENERATE(false, true);
        world.reply(again ? broken : turned_away);
        world.send();
        CHECK_FALSE(world.actions.commit);
        REQUIRE(world.actions.submit_answers.size() == 1); // "b" was in no transaction
        CHECK(world.actions.submit_answers.front().outcome == submit_outcome::unavailable);
        CHECK(world.shard.tables.jobs.contains({"a"}));
        CHECK_FALSE(world.shard.tables.jobs.contains({"b"}));
        world.now += world.shard.timing.commit_retry;
        world.send();
        CHECK(world.actions.commit);
    }
}

// Guards against a store without answers that is called without a pause.
TEST_CASE("a transaction without an answer is repeated after a pause") {
    owner_world world;
    world.submit("a");
    world.send();
    REQUIRE(world.actions.commit);
    world.submit("b");
    world.reply(silent);
    world.send();
    CHECK_FALSE(world.actions.commit);
    CHECK(world.actions.submit_answers.size() == 1);
}

// A worker that closed one connection got no starts until its next probe.
TEST_CASE("a worker is asked again at once if only its connection broke") {
    owner_world world;
    worker_entry entry;
    entry.target = {{"w1"}, {"10.0.0.1", 1}};
    entry.service = {"desk"};
    on_worker_entry(world.shard, entry, world.now);
    hold_reply list;
    list.clock = {1};
    list.start_time = process_start_time{1};
    world.send();
    REQUIRE(world.actions.holds.size() == 1);
    world.answer_hold(list);
    world.send();
    REQUIRE(world.actions.holds.size() == 1);
    const error failure = GENERATE(broken, silent);
    world.answer_hold(failure);
    world.send();
    CHECK(world.actions.holds.size() == (failure.kind == broken.kind ? 1 : 0));
    if (!world.actions.holds.empty()) {
        // Another life of the worker may answer, and number its ends anew.
        CHECK(world.actions.holds.front().command.acknowledged == 0);
        world.answer_hold(broken);
        world.send();
        CHECK(world.actions.holds.empty());
    }
}
