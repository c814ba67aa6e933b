// Workers that fail what they start, or refuse it, for a while: they are avoided, but no longer
// than they are worth less than not running at all.
#include "sim_test_support.hpp"

using namespace fulmar;

namespace {

// LOST counts 3 s in which nothing of a job runs.
constexpr duration idle_limit{3'000};

constexpr const char* special = "w-east-0";
constexpr duration grey_time{9'000};

// Makes one worker the only one with a label, and returns a job whose tasks require it.
job_spec make_special(sim_world& world, std::uint32_t tasks) {
    auto& worker = world.workers().at(special);
    worker.entry.labels.emplace_back("special");
    world.crash_worker(special);
    world.start_worker(special);
    world.run_for(startup_time);
    auto spec = sim_world::simple_job(tasks);
    spec.steps.front().label = "special";
    return spec;
}

worker_model& model_of(sim_world& world, const std::string& id) {
    return *world.workers().at(id).model;
}

std::size_t count_failed(sim_world& world) {
    std::size_t failed = 0;
    for (const auto& row : model_of(world, special).observed()) {
        failed += row.end == run_end_kind::failed ? 1 : 0;
    }
    return failed;
}

} // namespace

// LOST: a task that had failed once on the only worker that may run it was never started again.
TEST_CASE("a task that failed on the only worker that may run it starts there again") {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO("seed " << seed);
        sim_world world(seed);
        const auto spec = make_special(world, 1);
        model_of(world, special).failing = true;
        const auto job = world.submit(0, spec, duration(600));
        REQUIRE(world.run_until([&] { return count_failed(world) == 1; }, duration(2'000)));
        model_of(world, special).failing = false;
        CHECK(world.run_until([&] { return world.running(job); }, idle_limit));
        CHECK(finish_all(world, duration(5'000)));
        CHECK(world.jobs().at(job).reported_phase == job_phase::completed);
        check_guarantees(world);
    }
}

// The same if all other workers run a task of the step already.
TEST_CASE("a long-running task that failed starts again where the spread limit leaves one worker") {
    sim_world world(11, {"east"}, 2);
    world.run_for(startup_time);
    auto spec = sim_world::simple_job(6);
    spec.steps.front().long_running = true;
    spec.steps.front().spread_limit = 1;
    const auto count = [&] {
        std::size_t running = 0;
        for (auto& [id, worker] : world.workers()) {
            running += worker.model->occupied().size();
        }
        return running;
    };
    world.submit(0, spec, duration(0));
    REQUIRE(world.run_until([&] { return count() == 6; }, duration(2'000)));
    model_of(world, special).failing = true;
    world.run_for(duration(100));
    model_of(world, special).failing = false;
    REQUIRE(count() == 5);
    CHECK(world.run_until([&] { return count() == 6; }, idle_limit));
    check_guarantees(world);
}

// LOST: a worker that refused starts for some seconds, or failed them, got none for 8 s afterwards.
TEST_CASE("the only worker that may run a task gets it soon after it has recovered") {
    for (const bool refuses : {false, true}) {
        for (std::uint64_t seed = 21; seed <= 24; ++seed) {
            INFO("seed " << seed << (refuses ? ", refuses" : ", fails"));
            sim_world world(seed);
            auto spec = make_special(world, 12);
            spec.steps.front().need.processors.value = 1'000;
            spec.steps.front().long_running = true; // has no limit of attempts
            auto& model = model_of(world, special);
            (refuses ? model.refusing : model.failing) = true;
            const auto job = world.submit(0, spec, duration(0));
            world.run_for(grey_time);
            (refuses ? model.refusing : model.failing) = false;
            CHECK(world.run_until([&] { return world.running(job); }, idle_limit));
            check_guarantees(world);
        }
    }
}

// A worker that fails everything took as many tasks as it has room for after each pause.
TEST_CASE("a worker that keeps failing gets one task after each pause") {
    sim_world world(31);
    auto spec = make_special(world, 40);
    spec.steps.front().need.processors.value = 1'000;
    spec.steps.front().long_running = true;
    model_of(world, special).failing = true;
    world.submit(0, spec, duration(0));
    world.run_for(duration(1'000));
    const auto before = count_failed(world);
    world.run_for(duration(10'000));
    CHECK(count_failed(world) - before <= 6); // the pauses last 2.5 s
    model_of(world, special).failing = false;
    // 8 tasks fit there.
    CHECK(world.run_until([&] { return model_of(world, special).occupied().size() == 8; },
                          idle_limit + duration(3'000)));
    check_guarantees(world);
}
