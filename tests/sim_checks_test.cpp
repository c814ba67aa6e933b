// The checks of the simulation themselves, with commands that no host sends.
#include "sim_test_support.hpp"

using namespace fulmar;

namespace {

const std::string job_name = "0000000000000001";

bool reports(const sim_world& world, const std::string& text) {
    const auto& found = world.violations();
    return std::any_of(found.begin(), found.end(), [&](const std::string& violation) {
        return violation.find(text) != std::string::npos;
    });
}

// A world in which only the test starts tasks: its hosts are down.
struct checked_world {
    sim_world world{1, {"east"}, 1, 2};
    std::uint64_t token = 1ULL << 40U; // above those of the hosts
    std::map<std::string, std::uint64_t> ends;

    explicit checked_world(std::set<std::uint32_t> failing_tasks) {
        world.kill_host(0);
        auto& job = world.jobs()[job_name];
        job.spec = sim_world::simple_job(1);
        job.queue = world.queue("renders"); // three attempts
        job.work = duration(4);
        job.failing_tasks = std::move(failing_tasks);
        world.run_for(duration(20)); // to the moment of a check
    }

    void start(const std::string& worker, std::uint64_t number) {
        auto& model = *world.workers().at(worker).model;
        const worker_clock lease{model.clock(world.now()).value + 5'000};
        const run_key run{{{job_name}, 0, 0, 0}, {number}};
        const auto reply = model.start({run, "payload", {token}, lease, "", ""}, world.now());
        REQUIRE(reply.outcome == command_outcome::done);
    }

    // Has a run start, end and get its end acknowledged within 6 ms, between two checks.
    void play_run(const std::string& worker, std::uint64_t number) {
        start(worker, number);
        world.run_for(duration(6));
        end(worker);
    }

    // Has the worker list the end of its run and acknowledges it.
    void end(const std::string& worker) {
        auto& model = *world.workers().at(worker).model;
        model.hold({{token}, ++ends[worker], std::nullopt, duration(0)}, world.now());
        REQUIRE_FALSE(model.has_unacknowledged_ends());
    }

    void check() { world.run_for(duration(40)); }
};

const std::string budget_text = "BUDGET start beyond the maximum attempts";
const std::string parallel_text = "TWICE two runs at once";
const std::string done_text = "TWICE start after an acknowledged end";

} // namespace

// BUDGET was reported for the last attempt that a queue allows, on account of that run's own end.
TEST_CASE("the simulation doesn't count a run's own failure against its start") {
    checked_world checked({0});
    SECTION("a check after each run") {
        for (std::uint64_t number = 1; number <= 3; ++number) {
            checked.play_run("w-east-0", number);
            checked.check();
        }
    }
    SECTION("one check after all runs") {
        checked.play_run("w-east-0", 1);
        checked.play_run("w-east-1", 2);
        checked.play_run("w-east-0", 3);
        checked.check();
    }
    check_guarantees(checked.world);
}

// BUDGET: a start beyond the attempts must not escape because the run ends before the next check.
TEST_CASE("the simulation reports a start beyond the attempts, however short the run is") {
    checked_world checked({0});
    SECTION("ended and acknowledged before the check") {
        for (std::uint64_t number = 1; number <= 3; ++number) {
            checked.play_run("w-east-0", number);
            checked.check();
        }
        check_guarantees(checked.world);
        checked.play_run("w-east-1", 4);
    }
    SECTION("all runs before the check") {
        checked.play_run("w-east-0", 1);
        checked.play_run("w-east-1", 2);
        checked.play_run("w-east-0", 3);
        checked.start("w-east-1", 4);
    }
    SECTION("a run that was carried out by two incarnations of its worker counts twice") {
        checked.play_run("w-east-0", 1);
        checked.world.crash_worker("w-east-0");
        checked.world.start_worker("w-east-0");
        checked.ends.clear();
        checked.play_run("w-east-0", 1);
        checked.play_run("w-east-1", 2);
        checked.check();
        check_guarantees(checked.world);
        checked.play_run("w-east-1", 3);
    }
    checked.check();
    CHECK(reports(checked.world, budget_text));
}

// TWICE was reported for the one run of a task, on account of that run's own end.
TEST_CASE("the simulation doesn't count a run's own end as done against its start") {
    checked_world checked({});
    checked.play_run("w-east-0", 1);
    checked.check();
    check_guarantees(checked.world);
}

// TWICE: a second run of a task that is done must not escape because it ends before the next check.
TEST_CASE("the simulation reports a start after an acknowledged end, however short the run is") {
    checked_world checked({});
    checked.play_run("w-east-0", 1);
    SECTION("a check in between") {
        checked.check();
    }
    SECTION("no check in between") {}
    checked.play_run("w-east-1", 2);
    checked.check();
    CHECK(reports(checked.world, done_text));
}

// TWICE was reported when a worker crashed shortly after a start, or for a run that had ended
// before the next one started: all between two checks.
TEST_CASE("the simulation doesn't take runs for parallel that follow each other between checks") {
    checked_world checked({0});
    SECTION("the second worker crashes before the check") {
        checked.world.jobs().at(job_name).work = duration(45);
        checked.start("w-east-1", 1);
        checked.check();
        checked.world.run_for(duration(6));
        checked.end("w-east-1");
        checked.start("w-east-0", 2);
        checked.world.run_for(duration(2));
        checked.world.crash_worker("w-east-0");
    }
    SECTION("the second run is checked first") {
        checked.play_run("w-east-1", 1);
        checked.world.run_for(duration(2));
        checked.world.jobs().at(job_name).work = duration(500);
        checked.start("w-east-0", 2);
    }
    checked.check();
    check_guarantees(checked.world);
}

// TWICE: runs that overlap must be reported also if one is short or its worker crashes.
TEST_CASE("the simulation reports parallel runs that start between checks") {
    checked_world checked({0});
    SECTION("both run at the check") {
        checked.world.jobs().at(job_name).work = duration(500);
        checked.start("w-east-0", 1);
        checked.world.run_for(duration(2));
        checked.start("w-east-1", 2);
    }
    SECTION("one has ended at the check") {
        checked.start("w-east-1", 1);
        checked.world.run_for(duration(2));
        checked.world.jobs().at(job_name).work = duration(500);
        checked.start("w-east-0", 2);
    }
    SECTION("the second worker crashes before the check") {
        checked.world.jobs().at(job_name).work = duration(500);
        checked.start("w-east-1", 1);
        checked.check();
        checked.world.run_for(duration(6));
        checked.start("w-east-0", 2);
        checked.world.run_for(duration(2));
        checked.world.crash_worker("w-east-0");
    }
    checked.check();
    CHECK(reports(checked.world, parallel_text));
}
