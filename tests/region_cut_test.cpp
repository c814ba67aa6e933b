// Ownership of shards while two regions are cut off from each other and the store answers all: the
// owners work and store, so nobody of the other region may take their shards, and whoever replaces
// a failed owner must reach the shard's workers. Each change of owner delays the shard's tasks, and
// the runs of an owner that reaches no worker end with their leases.
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

constexpr std::size_t hosts_each = 3;
constexpr std::uint32_t tasks_each = 8;
constexpr std::size_t all_tasks = 6 * tasks_each;

// By the design, a host of the owner's data centre takes the shard of a failed owner after 1 s of
// silence, one of its region after 2 s and one of another region after 3 s. Half a second is for
// the checks before a claim.
constexpr duration region_takeover{2'500};
constexpr duration remote_takeover{3'500};

// An owner that restarted repeats a claim that the store didn't answer: 1 s for the call, 1 s until
// the next attempt.
constexpr duration restart_takeover{3'000};

// Longer than the lease, so that a run that nobody renews any more ends within it.
constexpr duration after_cut{8'000};

job_spec long_running_job() {
    auto spec = sim_world::simple_job(tasks_each);
    spec.steps.front().long_running = true;
    spec.steps.front().checkpoints = false;
    return spec;
}

std::size_t count_running(sim_world& world) {
    std::size_t total = 0;
    for (const auto& [id, worker] : world.workers()) {
        total += worker.model->occupied().size();
    }
    return total;
}

// Returns the number of runs that have ended; long-running tasks end only with their lease or when
// they are stopped.
std::size_t count_ended(sim_world& world) {
    std::size_t total = 0;
    for (const auto& [id, worker] : world.workers()) {
        const auto& runs = worker.model->observed();
        total += static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [](const auto& run) { return !!run.to; }));
    }
    return total;
}

// Makes two regions of three data centres with a shard each, whose long-running tasks are at work.
std::unique_ptr<sim_world> make_two_regions(std::uint64_t seed) {
    const std::vector<std::string> data_centres = {"east-a", "west-a", "east-b",
                                                   "west-b", "east-c", "west-c"};
    std::map<std::string, std::string> regions;
    for (const auto& name : data_centres) {
        regions[name] = name.substr(0, name.find('-'));
    }
    auto world = std::make_unique<sim_world>(seed, data_centres, hosts_each, 6, regions);
    world->run_for(startup_time);
    for (std::size_t i = 0; i < data_centres.size(); ++i) {
        world->submit(i * hosts_each, long_running_job(), duration(0));
    }
    world->run_for(duration(3'000));
    REQUIRE(world->shards().size() == data_centres.size());
    REQUIRE(count_running(*world) == all_tasks);
    REQUIRE(count_ended(*world) == 0);
    return world;
}

bool is_local(std::size_t host, std::size_t other) {
    return host / hosts_each == other / hosts_each;
}

bool is_of_region(const sim_world& world, const std::string& shard, std::size_t host) {
    return shard.starts_with(world.region_of_host(host) + "-");
}

bool is_served_from_its_region(sim_world& world, const std::string& shard) {
    const auto owner = world.owner_of(shard);
    return owner && is_of_region(world, shard, *owner);
}

// Returns each shard's owner and epoch.
std::vector<std::string> list_claims(sim_world& world) {
    std::vector<std::string> claims;
    for (const auto& shard : world.shards()) {
        const auto claim = parse_claim(world.store().get(claim_key({shard}))->value).value();
        claims.push_back(shard + " " + claim.owner.value + " epoch " +
                         std::to_string(claim.epoch.value));
    }
    return claims;
}

// Advances time and describes the claims by hosts that may not have the shard.
std::vector<std::string>
find_claims(sim_world& world, duration time,
            const std::function<bool(const std::string& shard, std::size_t host)>& forbidden) {
    constexpr duration step{20};
    std::vector<std::string> found;
    std::map<std::string, std::optional<std::size_t>> owners;
    for (duration passed{0}; passed < time; passed += step) {
        world.run_for(step);
        for (const auto& shard : world.shards()) {
            const auto owner = world.owner_of(shard);
            if (owner && std::exchange(owners[shard], owner) != owner && forbidden(shard, *owner)) {
                found.push_back(shard + " by host " + std::to_string(*owner) + " of " +
                                world.region_of_host(*owner) + " after " +
                                std::to_string(passed.count()) + " ms");
            }
        }
    }
    return found;
}

std::vector<std::string> find_remote_claims(sim_world& world, duration time) {
    return find_claims(world, time, [&](const std::string& shard, std::size_t host) {
        return !is_of_region(world, shard, host);
    });
}

void check_none(const std::vector<std::string>& claims) {
    CAPTURE(claims);
    CHECK(claims.empty());
}

void cut_both_ways(sim_world& world, bool cut) {
    world.cut_region("east", "west", cut);
    world.cut_region("west", "east", cut);
}

void separate_hosts(sim_world& world, bool separated) {
    for (std::size_t a = 0; a < world.host_count(); ++a) {
        for (std::size_t b = 0; b < a; ++b) {
            if (world.region_of_host(a) != world.region_of_host(b)) {
                world.set_partition(a, b, separated);
            }
        }
    }
}

} // namespace

// Hosts of the other region claimed the shards of owners that worked and stored, with the reason
// owner_cut_off, after 5 s, and reached none of their workers.
TEST_CASE("regions that are cut off from each other keep their owners") {
    for (std::uint64_t seed = 300; seed < 304; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        const auto claims = list_claims(*world);
        cut_both_ways(*world, true);
        check_none(find_remote_claims(*world, duration(12'000)));
        CHECK(list_claims(*world) == claims);
        cut_both_ways(*world, false);
        world->run_for(after_cut);
        CHECK(list_claims(*world) == claims);
        check_guarantees(*world);
    }
}

// The same with one way cut, as when large transfers fill the link in one direction: the workers
// receive the calls of the other region's hosts and refuse their owner from then on, but the
// answers don't arrive.
TEST_CASE("a region that isn't heard by the other one keeps its owners") {
    for (std::uint64_t seed = 360; seed < 364; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        const auto claims = list_claims(*world);
        world->cut_region("east", "west", true);
        check_none(find_remote_claims(*world, duration(12'000)));
        CHECK(list_claims(*world) == claims);
        world->cut_region("east", "west", false);
        world->run_for(after_cut);
        CHECK(list_claims(*world) == claims);
        check_guarantees(*world);
    }
}

// The same with hosts that reach the workers of both regions: silence between regions says nothing
// about an owner that the hosts of its own region hear.
TEST_CASE("regions whose hosts don't hear each other keep their owners") {
    for (std::uint64_t seed = 304; seed < 308; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        const auto claims = list_claims(*world);
        separate_hosts(*world, true);
        check_none(find_remote_claims(*world, duration(12'000)));
        CHECK(list_claims(*world) == claims);
        separate_hosts(*world, false);
        world->run_for(after_cut);
        CHECK(list_claims(*world) == claims);
        check_guarantees(*world);
    }
}

// Runs lapsed under owners of the other region, which can't renew their leases.
TEST_CASE("long-running tasks stay at work while regions are cut off from each other") {
    for (const auto time : {duration(5'000), duration(10'000), duration(15'000)}) {
        for (const bool one_way : {false, true}) {
            for (std::uint64_t seed = 308; seed < 311; ++seed) {
                INFO("seed " << seed << ", cut for " << time.count() << " ms, one way " << one_way);
                const auto world = make_two_regions(seed);
                world->cut_region("east", "west", true);
                world->cut_region("west", "east", !one_way);
                world->run_for(time);
                CHECK(count_ended(*world) == 0);
                cut_both_ways(*world, false);
                world->run_for(after_cut);
                CHECK(count_ended(*world) == 0);
                CHECK(count_running(*world) == all_tasks);
                check_guarantees(*world);
            }
        }
    }
}

// A host of the other region, which counted its own region's hosts only, took the shard of an owner
// that failed while the regions were cut off from each other.
TEST_CASE("an owner that dies during a cut is replaced by a host that reaches its workers") {
    for (std::uint64_t seed = 312; seed < 320; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        cut_both_ways(*world, true);
        world->run_for(duration(4'000));
        const auto owner = world->owner_of("east-b.0");
        REQUIRE(owner);
        world->kill_host(*owner);
        check_none(find_remote_claims(*world, region_takeover));
        CHECK(is_served_from_its_region(*world, "east-b.0"));
        world->run_for(after_cut);
        CHECK(count_ended(*world) == 0);
        check_guarantees(*world);
    }
}

// A host of the other region claimed the shard, with the reason owner_restart, before the owner's
// new process did: it doesn't hear the new process and took itself for the nearest host. The new
// process is late when the store doesn't answer its first claim.
TEST_CASE("an owner that restarts during a cut is replaced by a host that reaches its workers") {
    for (const bool late : {false, true}) {
        for (std::uint64_t seed = 320; seed < 328; ++seed) {
            INFO("seed " << seed << ", late " << late);
            const auto world = make_two_regions(seed);
            cut_both_ways(*world, true);
            world->run_for(duration(2'500));
            const auto owner = world->owner_of("east-b.0");
            REQUIRE(owner);
            world->kill_host(*owner);
            world->run_for(duration(300));
            world->start_host(*owner);
            world->run_for(duration(30)); // it has registered
            world->set_store_mode(*owner, late ? store_mode::silent : store_mode::up);
            auto claims = find_remote_claims(*world, duration(800));
            check_none(claims);
            world->set_store_mode(*owner, store_mode::up);
            claims = find_remote_claims(*world, restart_takeover - duration(800));
            check_none(claims);
            CHECK(is_served_from_its_region(*world, "east-b.0"));
            cut_both_ways(*world, false);
            world->run_for(after_cut);
            CHECK(count_ended(*world) == 0);
            check_guarantees(*world);
        }
    }
}

// The same when no host of the data centre is left: one of another data centre of the region
// reaches the workers, those of the other region don't.
TEST_CASE("a data centre without hosts is served from its own region during a cut") {
    for (std::uint64_t seed = 332; seed < 340; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        const auto owner = world->owner_of("east-b.0");
        REQUIRE(owner);
        cut_both_ways(*world, true);
        world->run_for(duration(2'000));
        for (std::size_t host = 0; host < world->host_count(); ++host) {
            if (is_local(host, *owner)) {
                world->kill_host(host);
            }
        }
        check_none(find_remote_claims(*world, region_takeover));
        CHECK(is_served_from_its_region(*world, "east-b.0"));
        world->run_for(after_cut);
        CHECK(count_ended(*world) == 0);
        check_guarantees(*world);
    }
}

// A host claimed the shard of a failed owner although it reached none of the shard's workers and
// others did; the leases of all its runs ended.
TEST_CASE("a host that reaches no worker of a shard leaves it to one that does") {
    for (std::uint64_t seed = 340; seed < 344; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        const auto owner = world->owner_of("east-b.0");
        REQUIRE(owner);
        for (auto& [id, worker] : world->workers()) {
            for (std::size_t host = 0; host < world->host_count(); ++host) {
                if (worker.entry.data_centre.value == "east-b" && host != *owner &&
                    is_local(host, *owner)) {
                    worker.disconnected_hosts.insert(host);
                }
            }
        }
        world->run_for(duration(1'000));
        world->kill_host(*owner);
        const auto claims =
            find_claims(*world, region_takeover, [&](const std::string& shard, std::size_t host) {
                return shard == "east-b.0" && host != *owner && is_local(host, *owner);
            });
        check_none(claims);
        CHECK(world->owner_of("east-b.0"));
        world->run_for(after_cut);
        CHECK(count_ended(*world) == 0);
        check_guarantees(*world);
    }
}

// Guards the opposite: a cut must not keep the hosts of a region from replacing an owner that has
// died at its beginning.
TEST_CASE("a cut between regions doesn't delay the replacement of an owner that has died") {
    for (std::uint64_t seed = 344; seed < 352; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        const auto east = world->owner_of("east-b.0");
        const auto west = world->owner_of("west-c.0");
        REQUIRE((east && west));
        cut_both_ways(*world, true);
        world->kill_host(*east);
        world->kill_host(*west);
        check_none(find_remote_claims(*world, region_takeover));
        CHECK(is_served_from_its_region(*world, "east-b.0"));
        CHECK(is_served_from_its_region(*world, "west-c.0"));
        world->run_for(duration(2'000));
        CHECK(count_ended(*world) == 0);
        check_guarantees(*world);
    }
}

// Guards the opposite: the shards of a region without hosts are served from the other one, which
// reaches their workers.
TEST_CASE("a region whose hosts have all died is served from the other region") {
    for (std::uint64_t seed = 352; seed < 356; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        for (std::size_t host = 0; host < world->host_count(); ++host) {
            if (world->region_of_host(host) == "east") {
                world->kill_host(host);
            }
        }
        world->run_for(remote_takeover);
        for (const auto& shard : world->shards()) {
            INFO(shard);
            CHECK(world->owner_of(shard));
        }
        check_guarantees(*world);
    }
}

// The same for hosts that died while the regions were cut off from each other: the end of the cut
// must be noticed.
TEST_CASE("a region whose hosts died during a cut is served from the other region after it") {
    for (std::uint64_t seed = 356; seed < 360; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        cut_both_ways(*world, true);
        world->run_for(duration(1'000));
        for (std::size_t host = 0; host < world->host_count(); ++host) {
            if (world->region_of_host(host) == "east") {
                world->kill_host(host);
            }
        }
        world->run_for(duration(6'000));
        cut_both_ways(*world, false);
        world->run_for(remote_takeover);
        for (const auto& shard : world->shards()) {
            INFO(shard);
            CHECK(world->owner_of(shard));
        }
        CHECK(
            world->run_until([&] { return count_running(*world) == all_tasks; }, duration(6'000)));
        check_guarantees(*world);
    }
}

// The first suspicion of an owner that dies during an outage of the store is long past when the
// store answers again.
TEST_CASE("an owner that dies during an outage of the store is replaced after it") {
    for (std::uint64_t seed = 364; seed < 368; ++seed) {
        INFO("seed " << seed);
        const auto world = make_two_regions(seed);
        const auto owner = world->owner_of("east-b.0");
        REQUIRE(owner);
        world->set_store_mode_for_all(store_mode::silent);
        world->run_for(duration(500));
        world->kill_host(*owner);
        world->run_for(duration(6'000));
        world->set_store_mode_for_all(store_mode::up);
        world->run_for(remote_takeover);
        const auto next = world->owner_of("east-b.0");
        REQUIRE(next);
        CHECK(next != owner);
        CHECK(
            world->run_until([&] { return count_running(*world) == all_tasks; }, duration(8'000)));
        check_guarantees(*world);
    }
}

} // namespace fulmar
