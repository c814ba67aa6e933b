// The number of waiting jobs that hosts give while a shard changes its owner or has none.
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

constexpr std::size_t waiting_jobs = 12;

// Longer than any test here, so that the workers stay full.
constexpr duration filling_work{60'000};

// Silence of an owner in another region, the wait for its workers and the takeover.
constexpr duration takeover_limit{14'000};

// "This value may be 2 s old."
constexpr duration pending_age{2'000};

constexpr duration check_interval{50};

// Fills the workers of two regions and submits jobs that have to wait.
std::unique_ptr<sim_world> make_full_world(std::uint64_t seed) {
    auto world = std::make_unique<sim_world>(
        seed, std::vector<std::string>{"east", "west"}, 2, 6,
        std::map<std::string, std::string>{{"east", "east"}, {"west", "west"}});
    world->run_for(startup_time);
    world->submit(0, sim_world::simple_job(100), filling_work);
    world->submit(2, sim_world::simple_job(100), filling_work);
    world->run_for(startup_time);
    REQUIRE(world->starts() == 48); // 12 workers of 8 cores, 2 cores for a task
    for (std::size_t i = 0; i < waiting_jobs; ++i) {
        world->submit(i % world->host_count(), sim_world::simple_job(2), duration(300));
    }
    world->run_for(startup_time);
    return world;
}

// Advances time and returns the lowest and the highest number that a running host gives. Hosts that
// have started during the test may be left out.
std::pair<std::uint64_t, std::uint64_t> range_of_pending(sim_world& world, duration time,
                                                         std::optional<std::size_t> except = {}) {
    std::pair<std::uint64_t, std::uint64_t> range{waiting_jobs, waiting_jobs};
    for (duration passed{0}; passed < time; passed += check_interval) {
        world.run_for(check_interval);
        for (std::size_t host = 0; host < world.host_count(); ++host) {
            if (world.host(host) == nullptr || host == except) {
                continue;
            }
            const auto count = world.host(host)->pending({"renders"});
            range.first = std::min(range.first, count);
            range.second = std::max(range.second, count);
        }
    }
    return range;
}

// Ends all hosts and workers of a data centre.
void lose_east(sim_world& world) {
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        if (world.data_centre_of(host).value == "east") {
            world.kill_host(host);
        }
    }
    for (auto& [id, worker] : world.workers()) {
        if (worker.entry.data_centre.value == "east") {
            world.crash_worker(id);
        }
    }
}

void check_exact(const std::pair<std::uint64_t, std::uint64_t>& range) {
    CHECK(range.first == waiting_jobs);
    CHECK(range.second == waiting_jobs);
}

} // namespace

// Hosts left out the jobs of a shard from the moment when its owner counted as dead until the next
// one had loaded it: 8 s if a data centre was lost with all its hosts and workers.
TEST_CASE("jobs of a lost data centre count as waiting until another host has its shard") {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO("seed " << seed);
        const auto world = make_full_world(seed);
        check_exact(range_of_pending(*world, duration(1'000)));
        lose_east(*world);
        check_exact(range_of_pending(*world, takeover_limit));
        CHECK(world->owner_of("east.0"));
        check_guarantees(*world);
    }
}

// A host that started after a data centre was lost left its jobs out until another host had its
// shard, as it had heard nothing of their owner.
TEST_CASE("a host that starts after the loss of a data centre counts its waiting jobs") {
    for (std::uint64_t seed = 31; seed <= 34; ++seed) {
        INFO("seed " << seed);
        const auto world = make_full_world(seed);
        lose_east(*world);
        const std::size_t restarted = world->owner_of("west.0") == std::size_t{2} ? 3 : 2;
        world->kill_host(restarted);
        world->run_for(duration(200));
        world->start_host(restarted);
        world->run_for(pending_age);
        const bool without_owner = !world->owner_of("east.0");
        CHECK(without_owner);
        check_exact(range_of_pending(*world, takeover_limit));
        check_guarantees(*world);
    }
}

// Guards against a gap, or a job counted by both hosts, while a host hands its shard over.
TEST_CASE("waiting jobs are counted once while a shard is handed over") {
    for (std::uint64_t seed = 11; seed <= 14; ++seed) {
        INFO("seed " << seed);
        const auto world = make_full_world(seed);
        const auto owner = world->owner_of("east.0");
        REQUIRE(owner);
        world->stop_host(*owner);
        check_exact(range_of_pending(*world, startup_time));
        CHECK(world->owner_of("east.0") != owner);
        check_guarantees(*world);
    }
}

// Guards against a job counted twice, or not at all, because the former owner reports again as
// another incarnation, without the shard.
TEST_CASE("waiting jobs are counted once when an owner restarts") {
    for (std::uint64_t seed = 21; seed <= 24; ++seed) {
        INFO("seed " << seed);
        const auto world = make_full_world(seed);
        const auto owner = world->owner_of("east.0");
        REQUIRE(owner);
        world->kill_host(*owner);
        world->run_for(duration(300));
        world->start_host(*owner);
        check_exact(range_of_pending(*world, takeover_limit, owner));
        CHECK(world->host(*owner)->pending({"renders"}) == waiting_jobs);
        check_guarantees(*world);
    }
}

} // namespace fulmar
