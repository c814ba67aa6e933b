// How a configuration reaches the hosts: how many bytes of it the store returns, and how soon it is
// in force everywhere while single hosts fail.
#include "sim_test_support.hpp"

#include <deque>

namespace fulmar {

namespace {

// A version must be in force this long after the store acknowledged it, on the strictest
// deployments.
constexpr duration apply_limit{2'500};
constexpr std::size_t large_configuration = 1'600; // queues
constexpr duration poll{20};

// Two regions of two data centres with three hosts each.
const std::vector<std::string> data_centres{"east-a", "east-b", "west-a", "west-b"};
constexpr std::size_t hosts_each = 3;

std::string region_of(const std::string& data_centre) {
    return data_centre.substr(0, data_centre.find('-'));
}

void restart_all(sim_world& world) {
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        world.kill_host(host);
        world.start_host(host);
    }
}

void set_regions(sim_world& world) {
    for (const auto& data_centre : data_centres) {
        world.set_region(data_centre, region_of(data_centre));
    }
    restart_all(world);
}

std::vector<queue_spec> make_queues(const sim_world& world, std::size_t count) {
    std::vector<queue_spec> queues{world.queue("previews"), world.queue("renders")};
    while (queues.size() < count) {
        // About 170 bytes each; on the platform 220.
        queues.push_back(world.queue("queue-of-a-large-site-" + std::to_string(queues.size())));
    }
    return queues;
}

// Writes a configuration; returns its generation.
generation_number configure(sim_world& world, const std::vector<queue_spec>& queues) {
    world.configure(queues);
    return json::parse(world.store().get("op/config")->value)
        .at("generation")
        .get<generation_number>();
}

bool has_generation(sim_world& world, std::size_t host, generation_number generation) {
    return world.host(host) != nullptr && world.host(host)->config().generation >= generation;
}

std::vector<std::size_t> all_hosts(const sim_world& world) {
    std::vector<std::size_t> hosts;
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        hosts.push_back(host);
    }
    return hosts;
}

std::vector<std::size_t> all_hosts_but(const sim_world& world, std::size_t left_out) {
    auto hosts = all_hosts(world);
    std::erase(hosts, left_out);
    return hosts;
}

// Advances time until all the hosts have a configuration; returns the time that it took, or the
// limit.
duration time_to_apply(sim_world& world, const std::vector<std::size_t>& hosts,
                       generation_number generation, duration limit = apply_limit * 4) {
    const auto began = world.now();
    const auto applied = [&] {
        return std::all_of(hosts.begin(), hosts.end(), [&](std::size_t host) {
            return has_generation(world, host, generation);
        });
    };
    while (!applied() && world.now() - began < limit) {
        world.run_for(poll);
    }
    return world.now() - began;
}

// Returns the bytes of the operators' keys that the store has returned so far, by region.
std::map<std::string, std::uint64_t> bytes_read(const sim_world& world) {
    std::map<std::string, std::uint64_t> bytes;
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        bytes[region_of(world.data_centre_of(host).value)] += world.order_bytes_read(host);
    }
    return bytes;
}

void isolate(sim_world& world, std::size_t host, bool isolated) {
    for (const auto other : all_hosts_but(world, host)) {
        world.set_partition(host, other, isolated);
    }
}

} // namespace

// Guards against each host reading the whole configuration from the store: the copies fill the
// links between the regions, which datagrams and calls share.
TEST_CASE("a bounded number of hosts of each region read a change of the configuration") {
    constexpr std::uint64_t most_copies = 3;
    sim_world world(71, data_centres, hosts_each);
    set_regions(world);
    world.run_for(startup_time);
    auto queues = make_queues(world, large_configuration);
    auto generation = configure(world, queues);
    REQUIRE(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
    world.run_for(startup_time);
    for (int change = 0; change < 3; ++change) {
        const auto before = bytes_read(world);
        queues.back().max_attempts += 1;
        generation = configure(world, queues);
        const auto size = world.store().get("op/config")->value.size();
        CHECK(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
        world.run_for(startup_time);
        for (const auto& [region, bytes] : bytes_read(world)) {
            INFO("change " << change << ", region " << region << ", " << hosts_each * 2
                           << " hosts, a version of " << size << " bytes");
            CHECK(bytes - before.at(region) <= most_copies * size);
        }
    }
}

// Guards against versions that follow each other faster than they can be read: each is read from
// the store although the next one replaces it at once.
TEST_CASE("a storm of configurations is read from the store at a bounded rate") {
    constexpr duration gap{80};
    constexpr int versions = 25; // 2 s
    constexpr duration window{1'000};
    constexpr std::uint64_t most_bytes = 1'000'000; // in each window, in each region
    sim_world world(72, data_centres, hosts_each);
    set_regions(world);
    world.run_for(startup_time);
    auto queues = make_queues(world, large_configuration);
    auto generation = configure(world, queues);
    REQUIRE(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
    world.run_for(startup_time);

    struct sample {
        time_point at;
        std::map<std::string, std::uint64_t> bytes;
    };
    std::deque<sample> samples{{world.now(), bytes_read(world)}};
    std::map<std::string, std::uint64_t> most;
    const auto take_sample = [&] {
        const auto bytes = bytes_read(world);
        while (samples.front().at < world.now() - window) {
            samples.pop_front();
        }
        for (const auto& [region, total] : bytes) {
            most[region] = std::max(most[region], total - samples.front().bytes.at(region));
        }
        samples.push_back({world.now(), bytes});
    };
    for (int version = 0; version < versions; ++version) {
        queues.back().max_attempts += 1;
        generation = configure(world, queues);
        world.run_for(gap);
        take_sample();
    }
    const auto last_written = world.now() - gap;
    while (world.now() - last_written < apply_limit) {
        world.run_for(gap);
        take_sample();
    }
    for (const auto host : all_hosts(world)) {
        INFO("host " << host);
        CHECK(has_generation(world, host, generation));
    }
    for (const auto& [region, bytes] : most) {
        INFO("region " << region << ", " << hosts_each * 2 << " hosts, a version of "
                       << world.store().get("op/config")->value.size() << " bytes");
        CHECK(bytes <= most_bytes);
    }
}

// Guards against a host that falls behind and then reads each version that it missed: its next
// answer is several times as long, so that it falls behind further.
TEST_CASE("a host that missed many versions reads the newest only") {
    constexpr int versions = 12;
    constexpr duration gap{150};
    constexpr std::uint64_t most_copies = 3;
    constexpr std::size_t late = 1;
    sim_world world(78);
    world.run_for(startup_time);
    auto queues = make_queues(world, large_configuration);
    auto generation = configure(world, queues);
    REQUIRE(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
    const auto before = world.order_bytes_read(late);
    world.freeze_host(late, gap * versions);
    for (int version = 0; version < versions; ++version) {
        queues.back().max_attempts += 1;
        generation = configure(world, queues);
        world.run_for(gap);
    }
    CHECK(time_to_apply(world, {late}, generation) <= apply_limit);
    const auto size = world.store().get("op/config")->value.size();
    INFO(versions << " versions of " << size << " bytes");
    CHECK(world.order_bytes_read(late) - before <= most_copies * size);
}

// Guards against a host that waits for a watch without answer although other hosts have the
// configuration. The delay depends on when the watch began.
TEST_CASE("a host whose watches hang gets a configuration from the others in time") {
    constexpr duration phase_step{250};
    constexpr duration longest_wait{1'500}; // of a watch of the operators' keys
    constexpr std::size_t hung = 1;
    sim_world world(73);
    world.run_for(startup_time);
    std::uint32_t attempts = 10;
    for (duration phase{0}; phase <= longest_wait; phase += phase_step) {
        world.hang_watches(hung, "op/", true);
        world.run_for(phase);
        auto queues = make_queues(world, 2);
        queues.back().max_attempts = attempts++;
        const auto generation = configure(world, queues);
        INFO("written " << phase.count() << " ms after the watches began to hang");
        CHECK(time_to_apply(world, all_hosts_but(world, hung), generation) <= apply_limit);
        CHECK(time_to_apply(world, {hung}, generation) <= apply_limit);
        world.hang_watches(hung, "op/", false);
        world.run_for(startup_time * 2);
    }
}

// The same at the worst moment: a watch has just been answered, so the next one waits for the whole
// time limit before the host asks others.
TEST_CASE("a host whose watches hang right after a version gets the next one in time") {
    constexpr std::size_t hung = 1;
    sim_world world(74);
    world.run_for(startup_time);
    auto queues = make_queues(world, 2);
    for (int round = 0; round < 3; ++round) {
        queues.back().max_attempts += 1;
        auto generation = configure(world, queues);
        REQUIRE(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
        world.hang_watches(hung, "op/", true);
        queues.back().max_attempts += 1;
        generation = configure(world, queues);
        INFO("round " << round);
        CHECK(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
        world.hang_watches(hung, "op/", false);
        world.run_for(startup_time * 2);
    }
}

// Guards against a host that goes on asking a restarted peer: the peer has nothing yet, but what it
// reported before its restart counts for 2 s more.
TEST_CASE("a host that a restarted peer answers without a configuration asks another") {
    constexpr std::size_t asking = 0;
    constexpr std::size_t restarted = 1; // the one that is asked first
    constexpr duration until_write{1'500};
    constexpr duration until_restart{800};
    sim_world world(79, {"east"}, 3);
    world.run_for(startup_time);
    auto queues = make_queues(world, 2);
    auto generation = configure(world, queues);
    REQUIRE(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
    world.hang_watches(asking, "op/", true);
    world.run_for(until_write);
    queues.back().max_attempts += 1;
    generation = configure(world, queues);
    const auto written = world.now();
    world.run_for(until_restart);
    world.kill_host(restarted);
    world.set_store_mode(restarted, store_mode::silent);
    world.start_host(restarted);
    time_to_apply(world, {asking}, generation);
    CHECK(world.now() - written <= apply_limit);
}

// Guards against a host that comes back with an old configuration, or waits for the next one.
TEST_CASE("a restarted host gets the newest configuration") {
    sim_world world(75, data_centres, hosts_each);
    set_regions(world);
    world.run_for(startup_time);
    auto queues = make_queues(world, large_configuration);
    for (const auto host : all_hosts(world)) {
        world.kill_host(host);
        queues.back().max_attempts += 1;
        const auto generation = configure(world, queues);
        world.run_for(duration(300));
        world.start_host(host);
        INFO("host " << host);
        CHECK(time_to_apply(world, {host}, generation) <= apply_limit);
        CHECK(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
    }
}

// Guards against a host that depends on others for the configuration: each machine that reaches the
// store must have it, also one that reaches no other host.
TEST_CASE("a host that reaches only the store gets each configuration in time") {
    sim_world world(76, data_centres, hosts_each);
    set_regions(world);
    world.run_for(startup_time);
    auto queues = make_queues(world, 2);
    for (const auto host : all_hosts(world)) {
        isolate(world, host, true);
        // The first version comes before the others are considered lost, the last one after.
        for (const auto pause : {duration(0), duration(100), duration(1'500), duration(3'000)}) {
            world.run_for(pause);
            queues.back().max_attempts += 1;
            const auto generation = configure(world, queues);
            INFO("host " << host << ", pause " << pause.count() << " ms");
            CHECK(time_to_apply(world, {host}, generation) <= apply_limit);
            CHECK(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
        }
        isolate(world, host, false);
        world.run_for(startup_time);
    }
}

// Guards against hosts that wait for the one that served them: any host may be that one, so each is
// killed or frozen in turn, before and after the write.
TEST_CASE("the others get each configuration in time after any host was killed or frozen") {
    const auto freeze = GENERATE(false, true);
    constexpr duration frozen_for{5'000};
    constexpr std::size_t workers_each = 1;
    sim_world world(77, {"east-a", "west-a"}, hosts_each, workers_each);
    set_regions(world);
    world.run_for(startup_time);
    auto queues = make_queues(world, 2);
    const auto stop = [&](std::size_t host) {
        if (freeze) {
            world.freeze_host(host, frozen_for);
        } else {
            world.kill_host(host);
        }
    };
    for (const auto host : all_hosts(world)) {
        // The host stops this long after the write, or before it.
        for (const auto delay : {-1'000, 0, 8, 100}) {
            if (delay <= 0) {
                stop(host);
                world.run_for(duration(-delay));
            }
            queues.back().max_attempts += 1;
            auto generation = configure(world, queues);
            const auto written = world.now();
            if (delay > 0) {
                world.run_for(duration(delay));
                stop(host);
            }
            INFO("host " << host << (freeze ? " frozen " : " killed ") << delay
                         << " ms after the write");
            time_to_apply(world, all_hosts_but(world, host), generation);
            CHECK(world.now() - written <= apply_limit);
            // And the next version, while the host is still stopped.
            queues.back().max_attempts += 1;
            generation = configure(world, queues);
            CHECK(time_to_apply(world, all_hosts_but(world, host), generation) <= apply_limit);
            world.run_for(frozen_for);
            world.start_host(host);
            world.run_for(startup_time);
        }
    }
}

// Guards against hosts that take a working reader for failed and read the configuration as well.
TEST_CASE("a configuration that doesn't change is read no more") {
    sim_world world(79, data_centres, hosts_each);
    set_regions(world);
    world.run_for(startup_time);
    const auto generation = configure(world, make_queues(world, large_configuration));
    REQUIRE(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
    world.run_for(startup_time);
    const auto before = bytes_read(world);
    world.run_for(duration(20'000));
    CHECK(bytes_read(world) == before);
}

// Guards against all hosts of a region reading at once when the one that read for them is gone.
TEST_CASE("a bounded number of hosts read the configuration after a host was killed") {
    constexpr std::uint64_t most_copies = 3;
    sim_world world(80, data_centres, hosts_each);
    set_regions(world);
    world.run_for(startup_time);
    const auto generation = configure(world, make_queues(world, large_configuration));
    REQUIRE(time_to_apply(world, all_hosts(world), generation) <= apply_limit);
    world.run_for(startup_time);
    const auto size = world.store().get("op/config")->value.size();
    for (const auto host : all_hosts(world)) {
        const auto before = bytes_read(world);
        world.kill_host(host);
        world.run_for(startup_time * 2);
        for (const auto& [region, bytes] : bytes_read(world)) {
            INFO("host " << host << " killed, region " << region << ", " << size << " bytes");
            CHECK(bytes - before.at(region) <= most_copies * size);
        }
        world.start_host(host);
        world.run_for(startup_time);
    }
}

} // namespace fulmar
