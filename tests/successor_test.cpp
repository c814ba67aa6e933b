// Which host gets the shards of one that stops.
#include "sim_test_support.hpp"

#include <memory>

namespace fulmar {

namespace {

// In thousandths of a core. A shard of six workers needs 18 of the 24 that a host may use for it.
constexpr std::int64_t share_for_one_shard = 30;
constexpr std::size_t hosts_each = 2;

// Three data centres, each a region of its own.
std::unique_ptr<sim_world> make_world(std::uint64_t seed) {
    auto world = std::make_unique<sim_world>(
        seed, std::vector<std::string>{"east", "north", "west"}, hosts_each, 6,
        std::map<std::string, std::string>{{"east", "e"}, {"north", "n"}, {"west", "w"}});
    for (std::size_t host = 0; host < world->host_count(); ++host) {
        world->kill_host(host);
        world->set_processor_share(host, share_for_one_shard);
        world->start_host(host);
    }
    world->run_for(duration(8'000));
    return world;
}

std::size_t most_shards_of_one_host(sim_world& world) {
    std::map<std::optional<std::size_t>, std::size_t> shards;
    std::size_t most = 0;
    for (const auto& shard : world.shards()) {
        most = std::max(most, ++shards[world.owner_of(shard)]);
    }
    return most;
}

} // namespace

// Rolling restarts moved all shards to one host, which then was late with everything, while hosts
// elsewhere owned nothing: a host that stopped chose among the owners that it heard.
TEST_CASE("planned stops in turn give no host several shards while others have none") {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO("seed " << seed);
        const auto world = make_world(seed);
        REQUIRE(world->shards().size() == 3);
        REQUIRE(most_shards_of_one_host(*world) == 1);
        for (std::size_t first = 0; first < world->host_count(); first += hosts_each) {
            world->stop_host(first);
            world->run_for(duration(1'000));
            world->stop_host(first + 1);
            world->run_for(duration(1'000));
            CHECK(most_shards_of_one_host(*world) == 1);
            world->start_host(first);
            world->start_host(first + 1);
            world->run_for(duration(1'000));
        }
        check_guarantees(*world);
    }
}

// Calls to hosts that have failed must not hold up the handover of a host that stops.
TEST_CASE("a host that stops waits only briefly for hosts that don't answer") {
    for (std::uint64_t seed = 11; seed <= 14; ++seed) {
        INFO("seed " << seed);
        const auto world = make_world(seed);
        const auto east = world->owner_of("east.0");
        const auto north = world->owner_of("north.0");
        REQUIRE((east && north));
        for (std::size_t host = 0; host < world->host_count(); ++host) {
            if (host != *east && host != *north) {
                world->kill_host(host);
            }
        }
        world->run_for(duration(2'300)); // silent hosts count as live for 2 s
        world->stop_host(*east);
        CHECK(
            world->run_until([&] { return world->owner_of("east.0") == north; }, duration(1'000)));
        check_guarantees(*world);
    }
}

} // namespace fulmar
