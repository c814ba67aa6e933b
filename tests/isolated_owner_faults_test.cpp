// Owners that the store doesn't confirm, with the shorter limit for those that only hosts of their
// own data centres confirm, under random combinations of cuts, outages and failures.
#include "sim_test_support.hpp"

#include <cstdlib>

namespace fulmar {

namespace {

const std::vector<std::string> data_centres = {"a", "b", "c"};
constexpr std::uint32_t tasks_each = 3;

struct fault_world {
    std::mt19937_64 random;
    std::vector<std::string> names;
    std::unique_ptr<sim_world> world;

    explicit fault_world(std::uint64_t seed)
        : random(seed) {
        const auto count = 2 + pick(2);
        names.assign(data_centres.begin(), data_centres.begin() + static_cast<int>(count));
        std::map<std::string, std::string> regions;
        for (const auto& name : names) {
            regions[name] = name;
        }
        world = std::make_unique<sim_world>(seed, names, 1 + pick(3), 3, regions);
        world->set_isolated_limit(default_isolated_limit);
        world->run_for(startup_time);
        // Data centres of unlike sizes.
        if (pick(3) == 0) {
            world->kill_host(0);
        }
        auto spec = sim_world::simple_job(tasks_each);
        spec.steps.front().long_running = true;
        for (std::size_t host = 0; host < world->host_count(); ++host) {
            if (world->host(host) != nullptr) {
                world->submit(host, spec, duration(0));
            }
        }
        world->run_for(duration(6'000));
    }

    std::size_t pick(std::size_t count) { return random() % count; }

    duration pick_time(std::int64_t least, std::int64_t most) {
        return duration(
            least + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most - least)));
    }

    void restart_host(std::size_t host) {
        world->kill_host(host);
        world->run_for(pick_time(100, 1'500));
        world->start_host(host);
    }

    void inject_fault() {
        const auto host = pick(world->host_count());
        const auto& name = names[pick(names.size())];
        auto worker = world->workers().begin();
        std::advance(worker, static_cast<std::ptrdiff_t>(pick(world->workers().size())));
        switch (pick(16)) {
        case 0:
        case 1:
        case 2:
            world->cut_data_centre(name, true);
            break;
        case 3:
            world->cut_data_centre(name, false);
            break;
        case 4:
            world->cut_region(name, names[pick(names.size())], pick(2) == 0);
            break;
        case 5:
        case 6:
            world->set_store_mode_for_all(pick(2) == 0 ? store_mode::silent : store_mode::busy);
            break;
        case 7:
            world->set_store_mode_for_all(store_mode::up);
            break;
        case 8:
            world->set_store_mode(host, pick(2) == 0 ? store_mode::silent : store_mode::up);
            break;
        case 9:
            world->kill_host(host);
            break;
        case 10:
            if (world->host(host) != nullptr) {
                restart_host(host);
            }
            break;
        case 11:
            world->freeze_host(host, pick_time(500, 16'000));
            break;
        case 12:
            world->suspend_host(host, pick_time(500, 16'000));
            break;
        case 13:
            if (const auto owner = world->owner_of(name + ".0")) {
                restart_host(*owner);
            }
            break;
        case 14:
            if (pick(2) == 0) {
                world->crash_worker(worker->first);
                world->start_worker(worker->first);
            } else {
                worker->second.disconnected = !worker->second.disconnected;
            }
            break;
        case 15:
            if (world->host(host) == nullptr) {
                world->start_host(host);
            } else {
                world->set_partition(host, pick(world->host_count()), pick(2) == 0);
            }
            break;
        }
    }

    void heal() {
        for (const auto& from : names) {
            world->cut_data_centre(from, false);
            for (const auto& to : names) {
                world->cut_region(from, to, false);
            }
        }
        world->set_store_mode_for_all(store_mode::up);
        for (std::size_t a = 0; a < world->host_count(); ++a) {
            world->freeze_host(a, duration(0));
            for (std::size_t b = 0; b < world->host_count(); ++b) {
                world->set_partition(a, b, false);
            }
            if (world->host(a) == nullptr) {
                world->start_host(a);
            }
        }
        for (auto& [id, worker] : world->workers()) {
            worker.disconnected = false;
        }
    }

    std::size_t count_runs() const {
        std::size_t count = 0;
        for (const auto& [id, worker] : world->workers()) {
            count += worker.model ? worker.model->occupied().size() : 0;
        }
        return count;
    }
};

} // namespace

// Guards against an owner in a data centre that is cut off which outlasts the wait of its successor
// for the shorter limit, in any order of cuts, outages of the store, restarts and pauses.
TEST_CASE("random faults of isolated owners let no task run twice") {
    const auto* first = std::getenv("FULMAR_ISOLATED_SEED");
    const auto* count = std::getenv("FULMAR_ISOLATED_SEEDS");
    const std::uint64_t begin = first == nullptr ? 1 : std::stoull(first);
    const std::uint64_t seeds = count == nullptr ? 20 : std::stoull(count);
    for (auto seed = begin; seed < begin + seeds; ++seed) {
        INFO("seed " << seed);
        fault_world test(seed);
        auto& world = *test.world;
        world.lost_replies = test.pick(3) == 0 ? 0.1 : 0;
        world.late_writes = test.pick(3) == 0 ? 0.05 : 0;
        const auto faults = 6 + test.pick(12);
        for (std::size_t i = 0; i < faults; ++i) {
            test.inject_fault();
            world.run_for(test.pick(4) == 0 ? test.pick_time(6'000, 25'000)
                                            : test.pick_time(0, 4'000));
        }
        world.lost_replies = 0;
        world.late_writes = 0;
        test.heal();
        const auto all = world.jobs().size() * tasks_each;
        CHECK(world.run_until([&] { return test.count_runs() == all; }, duration(60'000)));
        check_guarantees(world);
    }
}

// Guards against the same where the owner was confirmed from elsewhere for a part of an outage, and
// is cut off before the store answers again: only the witnesses know when the limit began.
TEST_CASE("an owner that is cut off during an outage of the store lets no task run twice") {
    const auto* first = std::getenv("FULMAR_ISOLATED_SEED");
    const auto* count = std::getenv("FULMAR_ISOLATED_SEEDS");
    const std::uint64_t begin = first == nullptr ? 1 : std::stoull(first);
    const std::uint64_t seeds = count == nullptr ? 20 : std::stoull(count);
    for (auto seed = begin; seed < begin + seeds; ++seed) {
        INFO("seed " << seed);
        fault_world test(seed);
        auto& world = *test.world;
        const auto restart_any = [&] {
            const auto host = test.pick(world.host_count());
            switch (test.pick(4)) {
            case 0:
                test.restart_host(host);
                break;
            case 1:
                world.freeze_host(host, test.pick_time(500, 20'000));
                break;
            case 2:
                world.kill_host(host);
                break;
            default:
                break;
            }
        };
        const auto& name = test.names[test.pick(test.names.size())];
        // Others may have read the owner's last transaction before the outage.
        for (std::size_t host = 0; host < world.host_count(); ++host) {
            if (world.data_centre_of(host).value == name) {
                world.set_store_mode(host, store_mode::silent);
            }
        }
        world.run_for(test.pick_time(0, 3'000));
        world.set_store_mode_for_all(store_mode::silent);
        world.run_for(test.pick_time(0, 30'000));
        restart_any();
        world.run_for(test.pick_time(0, 3'000));
        for (const auto& other : test.names) {
            if (other != name && test.pick(2) == 0) {
                // The ways out and in are cut one after the other.
                world.cut_region(name, other, true);
                world.run_for(test.pick_time(0, 3'000));
            }
        }
        world.cut_data_centre(name, true);
        world.run_for(test.pick_time(0, 9'000));
        restart_any();
        for (std::size_t host = 0; host < world.host_count(); ++host) {
            if (world.data_centre_of(host).value != name) {
                world.set_store_mode(host, store_mode::up);
            }
        }
        for (int i = 0; i < 3; ++i) {
            world.run_for(test.pick_time(1'000, 8'000));
            restart_any();
        }
        world.run_for(test.pick_time(5'000, 30'000));
        test.heal();
        const auto all = world.jobs().size() * tasks_each;
        CHECK(world.run_until([&] { return test.count_runs() == all; }, duration(60'000)));
        check_guarantees(world);
    }
}

} // namespace fulmar
