// Machines that are suspended for seconds: the steady clock and all timers stand still meanwhile.
#include "asio_loop.hpp"
#include "sim_test_support.hpp"

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

using namespace fulmar;

namespace {

// Time for which the machine seems to have been suspended.
std::atomic<std::int64_t> suspended_s{0};

} // namespace

// Replaces the function of the C library in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept {
    const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
    if (clock == CLOCK_BOOTTIME) {
        now->tv_sec += suspended_s.load();
    }
    return result;
}

// EVAC, DRAIN: after a suspension, what the store had confirmed before it counted as recent.
TEST_CASE("the control thread's clock counts the time for which the machine was suspended") {
    asio_loop loop;
    const auto before = steady_now();
    const auto before_on_loop = loop.now();
    const auto steady_before = std::chrono::steady_clock::now();
    suspended_s += 3'600;
    CHECK(steady_now() - before >= std::chrono::hours(1));
    CHECK(loop.now() - before_on_loop >= std::chrono::hours(1));
    // Shows that only the clock that counts suspensions has advanced.
    CHECK(std::chrono::steady_clock::now() - steady_before < std::chrono::hours(1));
    suspended_s -= 3'600;
}

namespace {

// Suspends the only host of a data centre while tasks wait for room, and has the data centre taken
// out of service meanwhile. Returns the starts that came too late.
std::vector<std::string> find_late_starts(std::uint64_t seed, bool clock_counts) {
    sim_world world(seed, {"east"}, 1);
    world.clocks_count_suspensions = clock_counts;
    world.run_for(startup_time);
    world.submit(0, sim_world::simple_job(300), duration(700));
    world.run_for(duration(1'500));
    world.suspend_host(0, duration(8'000));
    world.run_for(duration(100));
    world.evacuate("east", true);
    world.run_for(duration(15'000));
    return world.violations();
}

} // namespace

// EVAC: tasks started in a data centre that had been taken out of service meanwhile, by a clock
// that had stood still, or because a reply that was processed before the first tick renewed the
// authority.
TEST_CASE("a host that was suspended starts nothing by orders that it read before") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        CHECK(find_late_starts(seed, true).empty());
    }
}

// Shows that the simulation notices a clock that stands still.
TEST_CASE("a host whose clock stands still while it is suspended starts tasks too late") {
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        broken += find_late_starts(seed, false).empty() ? 0 : 1;
    }
    CHECK(broken > 0);
}

namespace {

void run_suspensions(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    sim_world world(seed);
    world.run_for(startup_time);
    auto lasting = sim_world::simple_job(4);
    lasting.steps.front().long_running = true;
    const auto watched = world.submit(0, lasting, duration(0));
    for (int round = 0; round < 6; ++round) {
        world.submit(random() % world.host_count(),
                     sim_world::simple_job(1 + static_cast<std::uint32_t>(random() % 20)),
                     duration(200 + static_cast<std::int64_t>(random() % 2'500)));
        const duration time{500 + static_cast<std::int64_t>(random() % 8'000)};
        world.suspend_host(random() % world.host_count(), time);
        if (random() % 3 == 0) {
            world.cancel(random() % world.host_count(), std::prev(world.jobs().end())->first);
        }
        world.run_for(duration(static_cast<std::int64_t>(random() % 6'000)));
    }
    world.run_for(duration(10'000));
    CHECK(world.running(watched));
    world.cancel(0, watched);
    const bool finished = finish_all(world, finish_time);
    INFO(world.dump());
    CHECK(finished);
    check_guarantees(world);
}

} // namespace

// TWICE, UNASKED, LOST: owners and their successors are suspended at any time, several at once.
TEST_CASE("machines that are suspended violate no guarantee") {
    // SIM_SEEDS runs the given number of seeds.
    const char* wanted = std::getenv("SIM_SEEDS");
    const std::uint64_t seeds = wanted != nullptr ? std::stoull(wanted) : 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        run_suspensions(seed);
    }
}

// LOST: a host that runs again hears no other one for a moment, and its clock shows for how long.
TEST_CASE("a host that was suspended takes no shard although its clock counts that time") {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        INFO("seed " << seed);
        sim_world world(seed);
        world.run_for(startup_time);
        const auto owner = world.owner_of("east.0");
        REQUIRE(owner);
        const auto claim = std::string(claims_prefix) + "east.0";
        const auto before = world.store().get(claim)->revision;
        world.run_for(duration(static_cast<std::int64_t>(seed) * 37));
        world.suspend_host(*owner ^ 1U, duration(6'000));
        world.run_for(duration(15'000));
        CHECK(world.store().get(claim)->revision == before);
    }
}
