// Entries that another writer leaves among those of the workers.
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

std::size_t count_runs(sim_world& world, const std::string& worker) {
    const auto& model = world.workers().at(worker).model;
    return model ? model->occupied().size() : 0;
}

} // namespace

// A host that stops following the list because of one entry doesn't learn that workers join, and
// tasks that run until they are cancelled wait although there is room.
TEST_CASE("hosts follow the list of workers past odd entries") {
    sim_world world(31, {"east"});
    world.run_for(startup_time);
    const std::string last = "w-east-5";
    world.crash_worker(last);
    world.store().remove("servers/" + last);
    for (const auto& key : {"a", "w-east-", "w-east-4x", "z", "", "a/b", "a\nb"}) {
        world.store().put(std::string("servers/") + key, std::string(100'000, '['));
    }
    world.store().put("servers/other", "\xff\xfe");
    world.run_for(duration(1'500));
    world.start_worker(last);
    world.run_for(duration(2'500));
    for (std::size_t i = 0; i < world.host_count(); ++i) {
        CHECK(world.counter(i, "unreadable_worker_entries", "") == 8);
    }
    world.submit(0, sim_world::simple_job(24), duration(5'000));
    CHECK(world.run_until([&] { return count_runs(world, last) == 4; }, duration(2'000)));
    CHECK(finish_all(world, finish_time));
    check_guarantees(world);
}

// The store may refuse the keys of a shard that is named by another writer, and hosts then try to
// claim it without end. Its worker doesn't exist.
TEST_CASE("an entry with an unknown data centre makes no shard") {
    sim_world world(32, {"east"});
    world.run_for(startup_time);
    const auto before = world.shards();
    auto entry = json::parse(world.store().get("servers/w-east-0")->value);
    entry["dc"] = "nowhere";
    world.store().put("servers/odd", entry.dump());
    world.run_for(duration(5'000));
    CHECK(world.shards() == before);
    check_guarantees(world);
}

// A worker whose entry another writer has replaced still got tasks.
TEST_CASE("a worker gets no starts while its entry names no worker") {
    sim_world world(33, {"east"});
    world.run_for(startup_time);
    const std::string odd = "w-east-2";
    world.run_for(duration(100)); // past the heartbeats of the workers
    world.store().put("servers/" + odd, "{}");
    REQUIRE(world.run_until(
        [&] {
            return world.counter(0, "unreadable_worker_entries", "") == 1 &&
                   world.counter(1, "unreadable_worker_entries", "") == 1;
        },
        duration(1'000)));
    world.submit(0, sim_world::simple_job(24), duration(2'000));
    world.run_for(duration(300));
    CHECK(count_runs(world, "w-east-1") == 4);
    CHECK(count_runs(world, odd) == 0);
    // The worker's next heartbeat replaces the entry.
    CHECK(world.run_until([&] { return count_runs(world, odd) == 4; }, duration(2'500)));
    CHECK(finish_all(world, finish_time));
    check_guarantees(world);
}

} // namespace fulmar
