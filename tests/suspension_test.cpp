// Machines that are suspended for seconds: the steady clock and all timers stand still meanwhile.
#include "sim_test_support.hpp"

using namespace fulmar;

namespace {

// Suspends the only host of a data centre while tasks wait for room, and has the data centre taken
// out of service meanwhile. Returns the starts that came too late.
std::vector<std::string> find_late_starts(std::uint64_t seed) {
    sim_world world(seed, {"east"}, 1);
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

// EVAC: after a pause, a reply that was processed before the first tick renewed the authority, and
// tasks started in a data centre that had been taken out of service meanwhile.
TEST_CASE("a host that was suspended starts nothing by orders that it read before") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        CHECK(find_late_starts(seed).empty());
    }
}
