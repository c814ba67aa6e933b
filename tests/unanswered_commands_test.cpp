// What an owner may tell a worker, and callers, while commands are without a reply.
#include "host_gossip.hpp"
#include "restart_world.hpp"

using namespace fulmar;

// MIXED: a job whose only start got no answer was shown as running, and nobody counted it.
TEST_CASE("a job is pending until a run of it is known to have begun") {
    restart_world world(1);
    const auto pending = [&] {
        return summarize(world.shard, world.now).pending[world.job().queue.id];
    };
    world.find_worker();
    CHECK(pending() == 1);
    const auto start = restart_world::take(world.starts);
    on_start_reply(world.shard, start.run, silent, world.now);
    world.pass();
    CHECK(pending() == 1);
    CHECK(visible_phase(world.shard, the_job) == job_phase::queued);
    SECTION("its start is answered") {
        on_start_reply(world.shard, start.run,
                       restart_world::as_sent(world.model->start(start, world.now)), world.now);
    }
    SECTION("a worker lists the run") {
        world.model->start(start, world.now);
        world.answer_hold();
    }
    SECTION("a worker lists its end") {
        world.work = duration(10);
        world.model->start(start, world.now);
        world.now += duration(100);
        world.model->advance(world.now);
        world.answer_hold();
    }
    CHECK(pending() == 0);
}

// TWICE: a start and a hold that acknowledged ends were open at once. A worker that was back under
// its id carried out both, forgot the end that no owner had seen, and the task ran again.
TEST_CASE("a late acknowledgement is refused where a start was executed that was sent beside it") {
    restart_world world(2);
    world.work = duration(300);
    world.find_worker();
    world.answer_start();
    // The other task starts after a pause.
    on_start_reply(world.shard, restart_world::take(world.starts).run, turned_away, world.now);
    while (world.holds.empty() || world.holds.front().first.acknowledged == 0) {
        while (!world.holds.empty()) {
            world.answer_hold();
        }
        world.pass();
    }
    const auto delayed = world.holds.front().first;
    REQUIRE(world.starts.empty());
    for (int i = 0; i < 20 && world.starts.empty(); ++i) {
        world.pass();
    }
    const auto start = restart_world::take(world.starts);
    SECTION("by a later incarnation, both late") {
        on_start_reply(world.shard, start.run, silent, world.now);
        world.fail_hold(silent);
        world.restart();
        world.model->start(start, world.now);
        world.now += duration(400);
        CHECK(world.model->hold(delayed, world.now).outcome == command_outcome::fenced);
        CHECK(world.model->has_unacknowledged_ends());
    }
    SECTION("by the same one, where they overtake each other") {
        on_start_reply(world.shard, start.run,
                       restart_world::as_sent(world.model->start(start, world.now)), world.now);
        world.answer_hold();
        CHECK_FALSE(world.shard.ownership_lost);
    }
    world.answer_all(world.shard.timing.late_limit + duration(2'000));
    CHECK(world.job().phase == job_phase::completed);
    CHECK_FALSE(world.model->has_unacknowledged_ends());
}

// TWICE: the same with the start sent first. A worker replies at once while it lists ends, so the
// holds must not follow each other without a pause.
TEST_CASE("no run end is acknowledged while a start without a reply may be executed") {
    restart_world world(2);
    world.work = duration(300);
    world.find_worker();
    world.answer_start();
    const auto start = restart_world::take(world.starts);
    const auto sent = world.now;
    on_start_reply(world.shard, start.run, silent, world.now);
    std::size_t holds = 0;
    while (world.now < sent + world.shard.timing.late_limit - step_time) {
        world.pass();
        world.starts.clear(); // further attempts have no reply either
        while (!world.holds.empty()) {
            ++holds;
            CHECK(world.holds.front().first.acknowledged == 0);
            world.answer_hold();
        }
    }
    CHECK(world.row().acknowledged_end == 1);
    CHECK(holds < 60);
    for (const auto& key : std::vector(world.row().runs.begin(), world.row().runs.end())) {
        on_start_reply(world.shard, key, silent, world.now);
    }
    world.answer_all(world.shard.timing.late_limit + duration(1'000));
    CHECK_FALSE(world.model->has_unacknowledged_ends());
    CHECK(world.job().phase == job_phase::completed);
}
