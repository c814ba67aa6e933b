// Tasks that another shard lent while its owner is replaced as planned: between the grant of their
// room and their start, they wait no longer than for the successor itself.
#include "sim_test_support.hpp"

#include <optional>

namespace fulmar {

namespace {

job_spec long_running_job(std::uint32_t tasks) {
    auto spec = sim_world::simple_job(tasks);
    spec.steps.front().long_running = true;
    spec.steps.front().checkpoints = false;
    spec.steps.front().need = {{7'000}, {4'000}, {0}};
    return spec;
}

std::size_t count_runs(sim_world& world, const std::string& job) {
    std::size_t total = 0;
    for (const auto& [id, worker] : world.workers()) {
        if (worker.model) {
            for (const auto& [run, need] : worker.model->occupied()) {
                total += run.task.job.value == job ? 1 : 0;
            }
        }
    }
    return total;
}

// Tasks of a full data centre lose their workers; those of the other one are full of short tasks.
// Returns how long it takes until they run there, the shard with the room being handed over so long
// after the loss.
duration find_wait(std::uint64_t seed, std::optional<duration> handover) {
    constexpr std::uint32_t tasks = 6; // one for each worker of a data centre
    sim_world world(seed);
    world.run_for(startup_time);
    const auto lender = world.owner_of("east.0");
    const auto borrower = world.owner_of("west.0");
    REQUIRE(lender);
    REQUIRE(borrower);
    REQUIRE(*lender != *borrower);
    world.evacuate("west", true);
    world.run_for(duration(1'000));
    const auto id = world.submit(*lender, long_running_job(tasks), duration(0));
    world.run_for(duration(1'500));
    REQUIRE(count_runs(world, id) == tasks);
    world.evacuate("west", false);
    world.run_for(duration(1'000));
    auto short_tasks = sim_world::simple_job(60);
    short_tasks.steps.front().checkpoints = false;
    world.submit(*borrower, short_tasks, duration(20'000));
    world.run_for(duration(1'000));
    world.crash_worker("w-east-0");
    world.crash_worker("w-east-1");
    const auto lost = world.now();
    if (handover) {
        world.run_for(*handover);
        world.stop_host(*borrower);
    }
    CHECK(world.run_until([&] { return count_runs(world, id) == tasks; }, duration(12'000)));
    check_guarantees(world);
    return world.now() - lost;
}

} // namespace

// LOST (review/3, seed 7): room is held for tasks of another shard, short ones are evicted for it,
// and the shard is handed over. The successor knew nothing of the room, and the waits began anew.
TEST_CASE("tasks wait no longer for room because its shard is handed over") {
    // The handover takes 0.1 s. One room request is sent to the former owner in vain, and the grant
    // is told with the next one; requests follow each other after 0.3 s.
    constexpr duration allowed{100 + 2 * 300};
    for (std::int64_t after = 6'600; after <= 7'300; after += 50) {
        INFO("handover " << after << " ms after the loss");
        const auto seed = static_cast<std::uint64_t>(after);
        CHECK(find_wait(seed, duration(after)) - find_wait(seed, std::nullopt) <= allowed);
    }
}

} // namespace fulmar
