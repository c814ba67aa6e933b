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
