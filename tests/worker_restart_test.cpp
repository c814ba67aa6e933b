// Workers that start again under their ids and are cut off soon after. Commands that were meant for
// the former process reach the new one, which takes the longest lease from them.
#include "sim_test_support.hpp"

#include <cstdlib>
#include <random>

using namespace fulmar;

namespace {

enum class owner_fate : std::uint8_t { stays, killed, stopped };

struct restart_play {
    std::uint64_t seed = 1;
    duration longest_lease{6'000};
    owner_fate owner = owner_fate::stays;
    double late_commands = 0;  // see sim_worker
    bool long_running = false; // so are the tasks, and others run before the restart
};

std::int64_t draw(std::mt19937_64& random, std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(high - low + 1));
}

// Three of six workers crash, are back after a moment, get tasks and are cut off from the hosts;
// their owner may be killed or stopped. The other three have room all the while.
void play_restart(const restart_play& play) {
    std::mt19937_64 random(play.seed);
    const auto hosts = 1 + random() % 2;
    sim_world world(play.seed, {"east"}, hosts);
    world.set_longest_lease(play.longest_lease);
    const std::vector<std::string> restarted{"w-east-0", "w-east-1", "w-east-2"};
    world.run_for(startup_time + duration(draw(random, 0, 3'000)));
    std::vector<std::string> lasting;
    const auto submit = [&] {
        auto spec = sim_world::simple_job(static_cast<std::uint32_t>(draw(random, 3, 10)));
        spec.steps.front().long_running = play.long_running;
        const auto id = world.submit(0, std::move(spec), duration(12'000));
        if (play.long_running) {
            lasting.push_back(id);
        }
    };
    if (play.long_running) {
        submit();
        world.run_for(duration(draw(random, 500, 4'000)));
    }
    for (const auto& id : restarted) {
        world.workers().at(id).late_commands = play.late_commands;
        world.crash_worker(id);
    }
    world.run_for(duration(draw(random, 5, 700)));
    for (const auto& id : restarted) {
        world.start_worker(id);
    }
    world.run_for(duration(draw(random, 0, 1'500)));
    submit();
    world.run_for(duration(draw(random, 20, 2'500)));
    for (const auto& id : restarted) {
        for (std::size_t host = 0; host < hosts; ++host) {
            world.workers().at(id).disconnected_hosts.insert(host);
        }
    }
    const auto owner = world.owner_of("east.0").value_or(0);
    if (play.owner == owner_fate::killed) {
        world.run_for(duration(draw(random, 0, 300)));
        world.kill_host(owner);
        world.run_for(duration(draw(random, 100, 1'000)));
        world.start_host(owner);
    } else if (play.owner == owner_fate::stopped) {
        world.run_for(duration(draw(random, 0, 4'000)));
        world.stop_host(owner);
        world.run_until([&] { return world.host(owner) == nullptr; }, duration(6'000));
        world.start_host(owner);
    }
    world.run_for(duration(14'000));
    for (const auto& id : restarted) {
        world.workers().at(id).disconnected_hosts.clear();
        world.workers().at(id).late_commands = 0;
    }
    for (const auto& id : lasting) {
        world.cancel(0, id);
    }
    INFO("seed " << play.seed << ", longest lease " << play.longest_lease.count() << " ms, hosts "
                 << hosts << ", owner's fate " << static_cast<int>(play.owner));
    CHECK(finish_all(world, finish_time));
    check_guarantees(world);
}

// SIM_SEEDS plays the given number of seeds.
std::uint64_t seed_count(std::uint64_t usual) {
    const char* wanted = std::getenv("SIM_SEEDS");
    return wanted != nullptr ? std::stoull(wanted) : usual;
}

constexpr std::uint64_t usual_seeds = 40;

void play_restarts(restart_play play) {
    for (const duration longest : {duration(6'000), duration(10'000)}) {
        for (play.seed = 1; play.seed <= seed_count(usual_seeds); ++play.seed) {
            play.longest_lease = longest;
            play_restart(play);
        }
    }
}

} // namespace

// TWICE: an owner that didn't know of the restart started tasks in the new process, counted their
// leases with the former one's clock, and started them elsewhere while they ran.
TEST_CASE("a task that a restarted worker took unnoticed doesn't run elsewhere beside it") {
    play_restarts({.owner = owner_fate::stays});
}
// TWICE: the same, by the next owner, which counted with the usual lease.
TEST_CASE(
    "a new owner waits for tasks that a restarted worker took from the former one unnoticed") {
    play_restarts({.owner = owner_fate::killed});
}

// TWICE: a promise about a silent worker told the successor the end of the usual lease.
TEST_CASE("an owner that stops tells of leases that a restarted worker took unnoticed") {
    play_restarts({.owner = owner_fate::stopped});
}

// TWICE: the same with runs that are recorded, which a new owner waits for by the usual lease.
TEST_CASE("recorded runs and those that a restarted worker took unnoticed run nowhere else") {
    for (const auto fate : {owner_fate::stays, owner_fate::killed, owner_fate::stopped}) {
        play_restarts({.owner = fate, .long_running = true});
    }
}

// TWICE: commands without an answer arrived seconds later, when the owner had started the tasks
// elsewhere.
TEST_CASE("a restarted worker runs no task beside another one's that a late command gave it") {
    for (const auto fate : {owner_fate::stays, owner_fate::killed, owner_fate::stopped}) {
        for (const bool long_running : {false, true}) {
            play_restarts({.owner = fate, .late_commands = 0.3, .long_running = long_running});
        }
    }
}

// Tasks waited until the hold that the crashed process had left unanswered timed out, up to 1.7 s.
TEST_CASE("tasks of a worker that is back start again once its entry shows the restart") {
    constexpr duration down_time{300};
    constexpr duration limit{500}; // for the entry, a hold and a start
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        sim_world world(seed, {"east"}, 1, 2);
        world.run_for(startup_time);
        world.submit(0, sim_world::simple_job(6), duration(20'000));
        world.run_for(duration(draw(random, 2'000, 3'000)));
        const std::string id = "w-east-0";
        const auto lost = world.workers().at(id).model->occupied().size();
        REQUIRE(lost > 0);
        world.crash_worker(id);
        world.run_for(down_time);
        const auto starts = world.starts();
        world.start_worker(id);
        const auto back = world.now();
        CHECK(world.run_until([&] { return world.starts() >= starts + lost; }, duration(5'000)));
        CHECK((world.now() - back) <= limit);
        check_guarantees(world);
    }
}

// TWICE: a start without an answer was carried out by the restarted process seconds later, when its
// run had been stopped and forgotten and the task ran elsewhere.
TEST_CASE("a restarted worker carries out no delayed start of a forgotten run") {
    for (std::uint64_t seed = 1; seed <= seed_count(usual_seeds); ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        sim_world world(seed, {"east"}, 1, 3);
        world.run_for(startup_time);
        world.lose_answer(
            {.kind = "start", .late = duration(draw(random, 6'000, 8'000)), .times_out = true});
        world.submit(0, sim_world::simple_job(static_cast<std::uint32_t>(draw(random, 1, 6))),
                     duration(20'000));
        world.run_for(duration(4'500));
        REQUIRE(world.answers_lost("start") == 1);
        for (auto& [id, worker] : world.workers()) {
            world.crash_worker(id);
        }
        world.run_for(duration(draw(random, 5, 300)));
        for (auto& [id, worker] : world.workers()) {
            world.start_worker(id);
        }
        CHECK(finish_all(world, finish_time));
        check_guarantees(world);
    }
}

// TWICE: a start got no answer and was sent again; its run ended as done, the worker restarted, and
// the first sending arrived there while the owner's first call to the new process got no answer.
TEST_CASE("a restarted worker carries out no delayed start of a run that has ended as done") {
    for (std::uint64_t seed = 1; seed <= seed_count(usual_seeds); ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        sim_world world(seed, {"east"}, 1, 1);
        world.run_for(startup_time);
        world.lose_answer({.kind = "start", .late = duration(8'000), .times_out = true});
        const auto id = world.submit(0, sim_world::simple_job(1), duration(1'000));
        world.run_for(duration(5'000));
        REQUIRE(world.answers_lost("start") == 1);
        REQUIRE(world.query(0, id) == job_phase::completed);
        world.run_for(duration(draw(random, 500, 2'000)));
        world.crash_worker("w-east-0");
        world.run_for(duration(draw(random, 5, 300)));
        world.start_worker("w-east-0");
        world.lose_answer({.kind = "hold", .late = duration(6'000), .times_out = true});
        world.run_for(duration(8'000));
        CHECK(world.starts() == 1);
        check_guarantees(world);
    }
}
