// Which hosts read the workers' entries: each of them costs hosts times workers in bytes, which
// filled the border of a large site before any work was done.
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

constexpr std::size_t hosts_each = 12;

// By the design: the owner of a data centre's shard, and two hosts that may take it.
constexpr std::size_t readers_each = 3;

// A silent owner of the own data centre is replaced after 1 s; 1.5 s are for the checks before a
// claim and for the list of the workers.
constexpr duration takeover_limit{2'500};

// A worker that has reported that it leaves gets no more starts after this, on the strictest
// deployments.
constexpr duration drain_notice{2'500};

std::size_t count_readers(sim_world& world) {
    std::size_t readers = 0;
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        readers += world.host(host) != nullptr && world.worker_bytes_read(host) > 0 ? 1 : 0;
    }
    return readers;
}

void reset_bytes(sim_world& world) {
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        world.reset_worker_bytes(host);
    }
}

} // namespace

TEST_CASE("at rest, only owners of shards and two hosts of each data centre read the workers") {
    sim_world world(41, {"east", "west"}, hosts_each);
    world.run_for(duration(20'000));
    reset_bytes(world);
    world.run_for(duration(10'000));
    CHECK(count_readers(world) >= 2);
    CHECK(count_readers(world) <= 2 * readers_each);
}

// The hosts that read fail one after the other; others have to read and to take the shard.
TEST_CASE("a shard is taken although all hosts that read its workers have failed") {
    sim_world world(42, {"east"}, hosts_each);
    world.run_for(duration(15'000));
    for (int round = 0; round < 3; ++round) {
        reset_bytes(world);
        world.run_for(duration(5'000));
        for (std::size_t host = 0; host < world.host_count(); ++host) {
            if (world.host(host) != nullptr && world.worker_bytes_read(host) > 0) {
                world.kill_host(host);
            }
        }
        CHECK(
            world.run_until([&] { return world.owner_of("east.0").has_value(); }, takeover_limit));
        const auto owner = world.owner_of("east.0");
        REQUIRE(owner);
        const auto job = world.submit(*owner, sim_world::simple_job(2), duration(200));
        CHECK(world.run_until([&] { return world.query(*owner, job) == job_phase::completed; },
                              duration(5'000)));
    }
    check_guarantees(world);
}

// A host that began to read stops again; it must not use what it read before.
TEST_CASE("a draining worker gets nothing from an owner that has just begun to read") {
    sim_world world(43, {"east"}, hosts_each);
    world.run_for(duration(15'000));
    const auto first = world.owner_of("east.0");
    REQUIRE(first);
    world.drain_worker("w-east-0");
    world.run_for(drain_notice);
    world.stop_host(*first);
    CHECK(world.run_until(
        [&] {
            const auto owner = world.owner_of("east.0");
            return owner && owner != first;
        },
        takeover_limit));
    const auto owner = world.owner_of("east.0");
    REQUIRE(owner);
    world.submit(*owner, sim_world::simple_job(12), duration(500));
    world.run_for(duration(3'000));
    CHECK(world.workers().at("w-east-0").model->observed().empty());
    check_guarantees(world);
}

} // namespace fulmar
