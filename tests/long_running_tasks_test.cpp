// Long-running tasks: where they find room, and how soon they run again after a worker leaves or
// fails.
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

// A job whose tasks run until they are cancelled.
job_spec long_running_job(std::uint32_t tasks) {
    auto spec = sim_world::simple_job(tasks);
    spec.steps.front().long_running = true;
    spec.steps.front().checkpoints = false;
    spec.steps.front().max_unavailable = 1;
    return spec;
}

std::size_t count_running(const sim_world& world) {
    std::size_t total = 0;
    for (const auto& [id, worker] : const_cast<sim_world&>(world).workers()) {
        total += worker.model ? worker.model->occupied().size() : 0;
    }
    return total;
}

// Returns the number of runs of a job on workers whose names start with `prefix`.
std::size_t count_running(sim_world& world, const std::string& job, const std::string& prefix) {
    std::size_t total = 0;
    for (const auto& [id, worker] : world.workers()) {
        if (worker.model && id.starts_with(prefix)) {
            for (const auto& [run, need] : worker.model->occupied()) {
                total += run.task.job.value == job ? 1 : 0;
            }
        }
    }
    return total;
}

} // namespace

// A long-running task that stays on a draining worker until the worker has left is unavailable
// until the worker's lease ends.
TEST_CASE("long-running tasks leave a worker before it stops") {
    sim_world world(19);
    world.run_for(startup_time);
    world.submit(0, long_running_job(9), duration(0));
    world.run_for(duration(1'500));
    REQUIRE(count_running(world) == 9);
    for (auto& [id, worker] : world.workers()) {
        if (worker.model && !worker.model->occupied().empty()) {
            world.drain_worker(id);
            world.run_for(duration(2'000));
            CHECK(worker.model->occupied().empty());
            CHECK(count_running(world) == 9);
            break;
        }
    }
    check_guarantees(world);
}

// Tasks of a lost worker are unavailable until the worker's lease ends.
TEST_CASE("long-running tasks of a crashed worker run again within six seconds") {
    sim_world world(20);
    world.run_for(startup_time);
    world.submit(0, long_running_job(9), duration(0));
    world.run_for(duration(1'500));
    for (const auto& [id, worker] : world.workers()) {
        if (worker.model && !worker.model->occupied().empty()) {
            world.crash_worker(id);
            break;
        }
    }
    CHECK(count_running(world) < 9);
    CHECK(world.run_until([&] { return count_running(world) == 9; }, duration(6'000)));
    check_guarantees(world);
}

// Short tasks used free room as soon as it appeared, so that a larger long-running task never
// started.
TEST_CASE("a long-running task starts on a data centre kept full by short tasks") {
    sim_world world(21, {"east"});
    world.run_for(startup_time);
    const auto add_short_work = [&](std::size_t rounds) {
        for (std::size_t i = 0; i < rounds; ++i) {
            world.submit(i % 2, sim_world::simple_job(40), duration(700), "previews");
            world.run_for(duration(400));
        }
    };
    add_short_work(8);
    auto spec = long_running_job(2);
    spec.steps.front().need = {{6'000}, {4'000}, {0}};
    const auto job = world.submit(0, spec, duration(0));
    add_short_work(8);
    CHECK(count_running(world, job, "w-") == 2);
    check_guarantees(world);
}

// A long-running task whose shard had no room for it stayed on a draining worker until the worker
// had left.
TEST_CASE("long-running tasks of a full data centre leave a draining worker for another one") {
    sim_world world(22);
    world.run_for(startup_time);
    world.evacuate("west", true);
    world.run_for(duration(1'000));
    auto spec = long_running_job(6);
    spec.steps.front().need = {{7'000}, {4'000}, {0}};
    const auto job = world.submit(0, spec, duration(0));
    world.run_for(duration(2'000));
    REQUIRE(count_running(world, job, "w-east") == 6);
    world.evacuate("west", false);
    world.run_for(duration(1'000));
    world.drain_worker("w-east-0");
    CHECK(
        world.run_until([&] { return count_running(world, job, "w-west") == 1; }, duration(3'000)));
    CHECK(count_running(world, job, "w-") == 6);
    check_guarantees(world);
}

// A long-running task was lent to the shard that would have the most room once short tasks had
// ended. It waited there, was returned and lent to the next one, and didn't run for up to 10 s
// while a third shard had free room.
TEST_CASE("a long-running task is lent to a shard with free room") {
    sim_world world(24, {"east", "north", "west"});
    const auto open_only = [&](const std::string& open) {
        for (const auto& name : {"east", "north", "west"}) {
            world.evacuate(name, name != open);
        }
        world.run_for(duration(1'000));
    };
    world.run_for(startup_time);
    open_only("east");
    auto spec = long_running_job(6);
    spec.steps.front().need = {{7'000}, {4'000}, {0}};
    const auto job = world.submit(0, spec, duration(0));
    world.run_for(duration(1'500));
    REQUIRE(count_running(world, job, "w-east") == 6);
    open_only("west");
    spec.steps.front().count = 5;
    const auto others = world.submit(4, spec, duration(0));
    world.run_for(duration(1'500));
    REQUIRE(count_running(world, others, "w-west") == 5);
    open_only("north");
    auto short_tasks = sim_world::simple_job(24);
    short_tasks.steps.front().checkpoints = false;
    const auto busy = world.submit(2, short_tasks, duration(20'000));
    world.run_for(duration(1'500));
    REQUIRE(count_running(world, busy, "w-north") == 24);
    for (const auto& name : {"east", "north", "west"}) {
        world.evacuate(name, false);
    }
    world.run_for(duration(1'000));
    world.drain_worker("w-east-0");
    CHECK(
        world.run_until([&] { return count_running(world, job, "w-west") == 1; }, duration(2'500)));
    CHECK(count_running(world, job, "w-") == 6);
    check_guarantees(world);
}

// A long-running task was lent to shards whose published room it couldn't use, again and again.
// Each loan took seconds, and meanwhile the task waited for room nowhere.
TEST_CASE("a long-running task of a closed data centre is lent only for room that is reserved") {
    sim_world world(25, {"east", "north", "west"});
    world.run_for(startup_time);
    world.crash_worker("w-west-5");
    world.run_for(duration(8'000));
    auto spec = long_running_job(17);
    spec.steps.front().need = {{3'000}, {2'000}, {0}};
    spec.steps.front().spread_limit = 1;
    const auto job = world.submit(0, spec, duration(0));
    REQUIRE(
        world.run_until([&] { return count_running(world, job, "w-") == 17; }, duration(10'000)));
    const auto count_returned = [&] {
        double returned = 0;
        for (std::size_t host = 0; host < world.host_count(); ++host) {
            returned += world.counter(host, "loans", "returned");
        }
        return returned;
    };
    const auto returned_before = count_returned();
    world.crash_worker("w-east-0");
    world.evacuate("east", true);
    // Each remaining worker already runs a task of the step, so there is no room for this one.
    world.run_for(duration(14'000));
    REQUIRE(count_running(world, job, "w-") == 16);
    CHECK(count_returned() == returned_before);
    world.start_worker("w-west-5");
    const auto room_since = world.now();
    for (std::size_t round = 0; round < 30 && count_running(world, job, "w-") < 17; ++round) {
        world.submit(2 + 2 * (round % 2), sim_world::simple_job(30), duration(700), "previews");
        world.run_for(duration(400));
    }
    CHECK(count_running(world, job, "w-") == 17);
    CHECK((world.now() - room_since).count() <= 6'000);
    check_guarantees(world);
}

// Each takeover waited again for workers that had been lost long before it.
TEST_CASE("a takeover doesn't wait for workers whose leases had ended before") {
    sim_world world(23, {"east"});
    world.run_for(startup_time);
    world.submit(0, long_running_job(9), duration(0));
    world.run_for(duration(1'500));
    world.workers().at("w-east-0").disconnected = true;
    world.run_for(duration(9'000));
    REQUIRE(count_running(world) == 9);
    const auto owner = world.owner_of("east.0");
    REQUIRE(owner);
    const auto job = world.submit(1 - *owner, sim_world::simple_job(60), duration(900));
    world.run_for(duration(300));
    REQUIRE(world.jobs().at(job).ever_accepted);
    world.kill_host(*owner);
    REQUIRE(
        world.run_until([&] { return world.owner_of("east.0") == 1 - *owner; }, duration(4'000)));
    world.run_for(duration(1'500));
    CHECK(count_running(world, job, "w-") > 0);
    check_guarantees(world);
}

} // namespace fulmar
