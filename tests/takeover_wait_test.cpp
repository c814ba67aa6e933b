// What a takeover waits for, and that each wait ends: an owner fails together with its shard's
// workers, of which none, some or all come back.
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

constexpr std::size_t jobs = 6;
constexpr std::uint32_t tasks_each = 4;

// By the design: a silent owner of the own data centre is replaced within 1.5 s, and a worker that
// has restarted answers the first hold.
constexpr duration claim_limit{2'500};

// The confirmation window and the lease with its margins, as the leases of the workers that don't
// answer have to end.
constexpr duration lease_limit{8'000};

std::vector<std::string> worker_ids(sim_world& world) {
    std::vector<std::string> ids;
    for (const auto& [id, worker] : world.workers()) {
        ids.push_back(id);
    }
    return ids;
}

std::size_t count_occupied(sim_world& world) {
    std::size_t total = 0;
    for (const auto& [id, worker] : world.workers()) {
        total += worker.model ? worker.model->occupied().size() : 0;
    }
    return total;
}

// Starts long-running tasks in the only shard and returns its owner.
std::size_t fill_shard(sim_world& world) {
    world.run_for(startup_time);
    auto spec = sim_world::simple_job(tasks_each);
    spec.steps.front().long_running = true;
    for (std::size_t i = 0; i < jobs; ++i) {
        world.submit(0, spec, duration(0));
    }
    world.run_for(duration(2'000));
    REQUIRE(count_occupied(world) == jobs * tasks_each);
    const auto owner = world.owner_of("east.0");
    REQUIRE(owner);
    return *owner;
}

bool all_run(sim_world& world) {
    return count_occupied(world) == jobs * tasks_each;
}

} // namespace

// The successor waited for good for workers at whose addresses others answered: a third of a fleet
// stood idle, and its long-running tasks were lost.
TEST_CASE("a takeover ends although all workers were replaced at their addresses") {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        INFO("seed " << seed);
        sim_world world(seed, {"east"}, 3);
        const auto owner = fill_shard(world);
        world.kill_host(owner);
        for (const auto& id : worker_ids(world)) {
            world.replace_worker(id);
        }
        CHECK(world.run_until([&] { return all_run(world); }, claim_limit + duration(2'000)));
        check_guarantees(world);
    }
}

// The leases of the silent minority end in time.
TEST_CASE("a takeover ends although a minority of the workers is lost for good") {
    for (std::uint64_t seed = 11; seed <= 16; ++seed) {
        INFO("seed " << seed);
        sim_world world(seed, {"east"}, 3, 9);
        const auto owner = fill_shard(world);
        const auto ids = worker_ids(world);
        world.kill_host(owner);
        for (std::size_t i = 0; i < ids.size(); ++i) {
            i < 3 ? world.crash_worker(ids[i]) : world.replace_worker(ids[i]);
        }
        CHECK(world.run_until([&] { return all_run(world); }, claim_limit + lease_limit));
        check_guarantees(world);
    }
}

// Owner and workers are cut off from the store and from the other hosts, and go on. The successor
// must not start their tasks while they run, however long it takes.
TEST_CASE("a takeover waits for workers that go on with an owner that is cut off") {
    sim_world world(21, {"east"}, 3);
    const auto owner = fill_shard(world);
    world.set_store_mode(owner, store_mode::silent);
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        if (host == owner) {
            continue;
        }
        world.set_partition(owner, host, true);
        for (auto& [id, worker] : world.workers()) {
            worker.disconnected_hosts.insert(host);
        }
    }
    world.run_for(duration(40'000));
    check_guarantees(world);
    CHECK(count_occupied(world) == jobs * tasks_each);
    for (auto& [id, worker] : world.workers()) {
        worker.disconnected_hosts.clear();
    }
    world.run_for(duration(3'000));
    check_guarantees(world);
    CHECK(all_run(world));
}

// New jobs don't wait for the workers that a takeover waits for.
TEST_CASE("a shard in takeover starts new jobs on the workers that have answered") {
    sim_world world(31, {"east"}, 3, 9);
    const auto owner = fill_shard(world);
    const auto ids = worker_ids(world);
    world.kill_host(owner);
    for (std::size_t i = 0; i < ids.size(); ++i) {
        i < 5 ? world.crash_worker(ids[i]) : world.replace_worker(ids[i]);
    }
    world.run_for(claim_limit);
    const auto successor = world.owner_of("east.0");
    REQUIRE(successor);
    const auto job = world.submit(*successor, sim_world::simple_job(1), duration(200));
    CHECK(world.run_until([&] { return world.query(*successor, job) == job_phase::completed; },
                          duration(2'500)));
    check_guarantees(world);
}

} // namespace fulmar
