// The whole control path of several hosts under random combinations of faults.
#include "sim_test_support.hpp"

#include <cstdlib>

using namespace fulmar;

namespace {

// Injects one random fault; only the freeze of a host ends by itself.
void inject_fault(sim_world& world, std::mt19937_64& random) {
    const auto host = random() % world.host_count();
    const duration time{500 + static_cast<std::int64_t>(random() % 6'000)};
    auto worker = world.workers().begin();
    std::advance(worker, static_cast<std::ptrdiff_t>(random() % world.workers().size()));
    const auto id = worker->first;
    switch (random() % 13) {
    case 0:
        world.kill_host(host);
        break;
    case 1:
        world.freeze_host(host, time);
        break;
    case 2:
        world.set_store_mode(host, store_mode::silent);
        break;
    case 3:
        world.set_store_mode_for_all(random() % 2 == 0 ? store_mode::busy : store_mode::reset);
        break;
    case 4:
        world.set_partition(host, (host + 1) % world.host_count(), true);
        break;
    case 5:
        world.crash_worker(id);
        break;
    case 6:
        worker->second.disconnected = true;
        break;
    case 7:
        worker->second.disconnected_hosts.insert(host);
        break;
    case 8:
        world.lost_replies = 0.3;
        break;
    case 9:
        world.late_writes = 0.2;
        break;
    case 10:
        worker->second.late_commands = 0.5;
        break;
    case 11:
        world.stop_host(host);
        break;
    default:
        world.store().compact();
        break;
    }
}

void remove_faults(sim_world& world) {
    world.set_store_mode_for_all(store_mode::up);
    world.lost_replies = 0;
    world.late_writes = 0;
    for (std::size_t a = 0; a < world.host_count(); ++a) {
        world.freeze_host(a, duration(0));
        for (std::size_t b = 0; b < a; ++b) {
            world.set_partition(a, b, false);
        }
        world.start_host(a);
    }
    for (auto& [id, worker] : world.workers()) {
        worker.disconnected = false;
        worker.disconnected_hosts.clear();
        worker.late_commands = 0;
        world.start_worker(id);
    }
}

void run_random_faults(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    sim_world world(seed);
    world.run_for(startup_time);
    for (int round = 0; round < 8; ++round) {
        world.submit(random() % world.host_count(),
                     sim_world::simple_job(1 + static_cast<std::uint32_t>(random() % 20),
                                           1 + static_cast<std::uint32_t>(random() % 3)),
                     duration(200 + static_cast<std::int64_t>(random() % 2'500)));
        inject_fault(world, random);
        if (random() % 3 == 0) {
            world.cancel(random() % world.host_count(), world.jobs().begin()->first);
        }
        world.run_for(duration(static_cast<std::int64_t>(random() % 2'500)));
        if (random() % 3 == 0) {
            remove_faults(world);
        }
    }
    remove_faults(world);
    INFO("seed " << seed);
    const bool finished = finish_all(world, duration(90'000));
    INFO(world.dump());
    CHECK(finished);
    check_guarantees(world);
}

} // namespace

// Injects faults one after another and at the same time, a different combination for each seed.
TEST_CASE("random faults violate no guarantee") {
    // SIM_SEED runs only the given seed, SIM_SEEDS the given number of seeds.
    if (const char* only = std::getenv("SIM_SEED")) {
        run_random_faults(std::stoull(only));
        return;
    }
    const char* wanted = std::getenv("SIM_SEEDS");
    const std::uint64_t first = 100;
    const std::uint64_t count = wanted != nullptr ? std::stoull(wanted) : 60;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        run_random_faults(seed);
    }
}

// MIXED: the store granted the lease of a starting host and turned its record away. The others
// never knew the host, which was ready and refused all submissions until it was restarted.
TEST_CASE("a host whose first registration fails is registered later") {
    const auto mode = GENERATE(store_mode::busy, store_mode::reset, store_mode::silent);
    std::size_t failed = 0;
    // One of the delays lies between the grant of the lease and the write of the record.
    for (std::int64_t delay = 1; delay <= 16; ++delay) {
        INFO("mode " << static_cast<int>(mode) << ", " << delay << " ms");
        sim_world world(81, {"east"}, 2);
        world.run_for(startup_time);
        world.kill_host(1);
        world.run_for(duration(25'000)); // the record of its earlier life lapses
        const auto key = "meta/hosts/" + world.name_of(1);
        REQUIRE_FALSE(world.store().get(key));
        world.start_host(1);
        world.run_for(duration(delay));
        world.set_store_mode(1, mode);
        world.run_for(duration(3'000));
        failed += world.store().get(key) ? 0 : 1;
        world.set_store_mode(1, store_mode::up);
        CHECK(world.run_until([&] { return world.store().get(key).has_value(); }, duration(6'000)));
    }
    CHECK(failed > 0);
}

namespace {

std::string registration_of(sim_world& world, std::size_t host) {
    const auto entry = world.store().get("meta/hosts/" + world.name_of(host));
    return entry ? entry->value : "";
}

} // namespace

// MIXED: the store carried out the registration of a host's earlier process after that of the
// present one. The others took the host for restarted and claimed its shards.
TEST_CASE("a host whose registration is replaced by an earlier one registers again") {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO("seed " << seed);
        sim_world world(seed, {"east"}, 2);
        world.run_for(startup_time);
        const auto owner = world.owner_of("east.0");
        REQUIRE(owner);
        world.kill_host(*owner);
        const auto registrations = world.answers_lost("registration");
        world.lose_answer({.kind = "registration", .late = duration(9'000), .times_out = true});
        world.start_host(*owner);
        REQUIRE(world.run_until([&] { return world.answers_lost("registration") > registrations; },
                                duration(500)));
        world.kill_host(*owner);
        world.start_host(*owner);
        world.run_for(duration(8'000));
        const auto present = registration_of(world, *owner);
        REQUIRE_FALSE(present.empty());
        const auto key = "meta/hosts/" + world.name_of(*owner);
        const auto written = world.store().get(key)->revision;
        world.run_for(duration(6'000)); // the late write is carried out 1 s later
        CHECK(world.store().get(key)->revision > written);
        CHECK(registration_of(world, *owner) == present);
        check_guarantees(world);
    }
}

// MIXED: a host whose record the store had removed wrote it without a lease, so that it stayed for
// good after the host had gone, and its owners' witnesses weren't replaced.
TEST_CASE("the record of a host lapses after its end although it was removed once") {
    const auto mode = GENERATE(store_mode::up, store_mode::busy, store_mode::reset);
    for (const std::int64_t outage : {0, 1'000, 5'000, 19'000, 21'000}) {
        INFO("mode " << static_cast<int>(mode) << ", " << outage << " ms");
        sim_world world(82, {"east"}, 2);
        world.run_for(startup_time);
        store_transaction removal;
        removal.removals.push_back("meta/hosts/" + world.name_of(1));
        REQUIRE(world.store().commit(removal));
        world.set_store_mode(1, mode);
        world.run_for(duration(outage));
        world.set_store_mode(1, store_mode::up);
        CHECK(
            world.run_until([&] { return !registration_of(world, 1).empty(); }, duration(12'000)));
        world.run_for(duration(25'000));
        CHECK_FALSE(registration_of(world, 1).empty());
        world.kill_host(1);
        world.run_for(duration(25'000));
        CHECK(registration_of(world, 1).empty());
    }
}

// MIXED, LOST: a starting host's calls to the store are answered late, or the store refuses or
// answers nothing for 5 s. All that it writes or reads once at its start is true afterwards.
TEST_CASE("a host that starts while the store is disturbed takes its part afterwards") {
    const auto mode =
        GENERATE(store_mode::up, store_mode::busy, store_mode::reset, store_mode::silent);
    for (std::int64_t delay = 1; delay <= 400; delay += 21) {
        INFO("mode " << static_cast<int>(mode) << ", " << delay << " ms");
        sim_world world(static_cast<std::uint64_t>(delay), {"east"}, 2);
        world.run_for(duration(delay));
        if (mode == store_mode::up) {
            world.late_writes = 1; // each write is carried out later and gets no answer
        } else {
            world.set_store_mode_for_all(mode);
        }
        world.run_for(duration(5'000));
        world.late_writes = 0;
        world.set_store_mode_for_all(store_mode::up);
        world.submit(0, sim_world::simple_job(4), duration(500));
        CHECK(
            world.run_until([&] { return world.owner_of("east.0").has_value(); }, duration(8'000)));
        CHECK(finish_all(world, duration(20'000)));
        world.run_for(duration(8'000));
        for (std::size_t host = 0; host < 2; ++host) {
            CHECK_FALSE(registration_of(world, host).empty());
        }
        check_guarantees(world);
    }
}

// The same for a single call that is carried out, at once or 5 s late, and gets no answer, with or
// without a second in which the store refuses all calls.
TEST_CASE("a host that starts makes up for each single call to the store that gets no answer") {
    for (const std::string kind : {"lease", "registration", "shard_list", "claim", "progress"}) {
        for (const std::int64_t late : {0, 5'000}) {
            for (const bool times_out : {false, true}) {
                for (const bool refuses : {false, true}) {
                    INFO(kind << " late " << late << " times_out " << times_out << " refuses "
                              << refuses);
                    sim_world world(7, {"east"}, 2);
                    world.kill_host(0);
                    world.lose_answer({kind, duration(late), times_out, refuses});
                    world.start_host(0);
                    world.run_for(duration(500));
                    world.submit(0, sim_world::simple_job(4), duration(500));
                    CHECK(finish_all(world, duration(30'000)));
                    CHECK(world.answers_lost(kind) == 1);
                    world.run_for(duration(8'000));
                    for (std::size_t host = 0; host < 2; ++host) {
                        CHECK_FALSE(registration_of(world, host).empty());
                    }
                    check_guarantees(world);
                }
            }
        }
    }
}

namespace {

// Has a shard change its owner, which is stopped or heard by no other host, while `disturb` acts;
// `mend` ends that 5 s later.
void play_change_of_owner(sim_world& world, bool stopped,
                          const std::function<void(std::size_t owner)>& disturb,
                          const std::function<void()>& mend) {
    const auto owner = world.owner_of("east.0");
    REQUIRE(owner);
    world.submit(*owner, sim_world::simple_job(30), duration(2'000));
    if (stopped) {
        world.stop_host(*owner);
    }
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        if (host != *owner && !stopped) {
            world.set_partition(host, *owner, true);
        }
    }
    disturb(*owner);
    world.run_for(duration(5'000));
    mend();
    CHECK(world.run_until(
        [&] {
            const auto next = world.owner_of("east.0");
            return next && next != owner;
        },
        duration(12'000)));
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        if (host != *owner) {
            world.set_partition(host, *owner, false);
        }
    }
    CHECK(finish_all(world, finish_time));
    check_guarantees(world);
}

} // namespace

// LOST: the claim of a shard is handed over, or requested of an owner that no host hears, while the
// store refuses, answers nothing or carries out writes late for 5 s, from several moments on.
TEST_CASE("a shard gets its next owner although the store was disturbed when it was to change") {
    const auto mode =
        GENERATE(store_mode::up, store_mode::busy, store_mode::reset, store_mode::silent);
    const auto stopped = GENERATE(false, true);
    for (std::int64_t delay = 0; delay <= 4'000; delay += 500) {
        INFO("mode " << static_cast<int>(mode) << (stopped ? " stopped " : " not heard ") << delay
                     << " ms");
        sim_world world(83, {"east"}, 3);
        world.run_for(startup_time);
        const auto disturb = [&](std::size_t owner) {
            world.run_for(duration(delay));
            if (mode == store_mode::up) {
                world.late_writes = 1; // each write is carried out later and gets no answer
                return;
            }
            for (std::size_t host = 0; host < world.host_count(); ++host) {
                if (host != owner || stopped) {
                    world.set_store_mode(host, mode);
                }
            }
        };
        play_change_of_owner(world, stopped, disturb, [&] {
            world.late_writes = 0;
            world.set_store_mode_for_all(store_mode::up);
        });
    }
}

// The same for a single handover or request that is carried out, at once or 5 s late, and gets no
// answer, with or without a second in which the store refuses all calls.
TEST_CASE("a shard gets its next owner although the one call for that gets no answer") {
    const auto stopped = GENERATE(false, true);
    const std::string kind = stopped ? "handover" : "request";
    for (const std::int64_t late : {0, 5'000}) {
        for (const bool times_out : {false, true}) {
            for (const bool refuses : {false, true}) {
                INFO(kind << " late " << late << " times_out " << times_out << " refuses "
                          << refuses);
                sim_world world(83, {"east"}, 3);
                world.run_for(startup_time);
                world.lose_answer({kind, duration(late), times_out, refuses});
                play_change_of_owner(
                    world, stopped, [](std::size_t) {}, [] {});
                CHECK(world.answers_lost(kind) == 1);
            }
        }
    }
}
