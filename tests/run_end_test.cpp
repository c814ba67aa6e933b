// Ends of runs that complete more than their task: an occurrence or the whole job, whose rows are
// freed at that moment.
#include "shard_handover.hpp"
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
const job_id the_job{"00000000000000bb"};
const worker_id the_worker{"w-1"};

struct run_end_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(1'000)};
    shard_state shard;

    // `open` occurrences were stored as open.
    explicit run_end_world(const job_spec& spec, std::uint32_t max_attempts = 1,
                           std::optional<std::uint32_t> open = {})
        : shard(make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log)) {
        job_row job;
        job.id = the_job;
        job.queue.service = {"desk"};
        job.queue.max_attempts = max_attempts;
        job.spec = spec;
        job.phase = job_phase::running;
        for (std::uint32_t number = 0; number < open.value_or(std::max(1U, spec.occurrences));
             ++number) {
            job.occurrences.emplace(number, make_occurrence(spec, number));
        }
        job.next_occurrence = static_cast<std::uint32_t>(job.occurrences.size());
        load_shard(shard, {{job_key(record.id, job.id), encode_job(job), {1}},
                           {progress_key(record.id, job.id), encode_progress(job), {2}}});
        worker_entry entry;
        entry.target.id = the_worker;
        entry.service = {"desk"};
        entry.data_centre = record.data_centre;
        entry.rack = {"r1"};
        on_worker_entry(shard, entry, now);
    }

    run_key start(std::uint32_t occurrence, std::uint32_t index) {
        run_row run;
        run.key = {{the_job, occurrence, 0, index}, {1}};
        run.worker = the_worker;
        return add_run(shard.tables, run).key;
    }

    void end(const run_key& run, run_end_kind kind) {
        on_run_ended(shard, shard.tables.workers.at(the_worker), {++ends, run, kind, ""}, now,
                     wall_clock);
    }

    const task_row* task(std::uint32_t occurrence, std::uint32_t index) {
        return find_task(shard.tables, {the_job, occurrence, 0, index});
    }

    std::uint64_t ends = 0;
};

job_spec make_spec(std::uint32_t tasks, std::uint32_t occurrences) {
    job_spec spec;
    spec.steps.emplace_back();
    spec.steps.front().count = tasks;
    spec.occurrences = occurrences;
    return spec;
}

} // namespace

// A task's row was read after the end of its last run had freed its whole occurrence. Visible with
// AddressSanitizer.
TEST_CASE("the last run end of an occurrence doesn't touch the occurrence's rows") {
    constexpr std::uint32_t tasks = 3;
    run_end_world world(make_spec(tasks, 2));
    for (std::uint32_t index = 0; index < tasks; ++index) {
        world.end(world.start(0, index), run_end_kind::done);
    }
    const auto& job = world.shard.tables.jobs.at(the_job);
    CHECK(job.occurrences_done == 1);
    CHECK(job.phase == job_phase::running);
    for (std::uint32_t index = 0; index < tasks; ++index) {
        world.end(world.start(1, index), run_end_kind::done);
    }
    CHECK(job.phase == job_phase::completed);
}

// The same for an end that fails the job.
TEST_CASE("the run end that fails a job doesn't touch the job's occurrences") {
    run_end_world world(make_spec(2, 1));
    const auto other = world.start(0, 1);
    world.end(world.start(0, 0), run_end_kind::failed);
    CHECK(world.shard.tables.jobs.at(the_job).phase == job_phase::failed);
    world.end(other, run_end_kind::stopped);
    CHECK(world.shard.tables.runs.empty());
}

namespace {

constexpr duration clock_difference{2'000};

// Two occurrences; by this owner's clock the first one is due in two seconds. The former owner's
// clock was ahead of it, so it had started tasks.
job_spec make_scheduled_spec() {
    auto spec = make_spec(2, 2);
    spec.first_due = {wall_clock.value + clock_difference.count()};
    spec.interval = duration(10'000);
    return spec;
}

run_key first_run(std::uint32_t index) {
    return {{the_job, 0, 0, index}, {1}};
}

} // namespace

// TWICE: a new owner whose time of day was behind the former owner's dropped and acknowledged the
// end of a run whose occurrence wasn't due for it, and ran the task again.
TEST_CASE("the end of a run counts although its occurrence isn't due by the new owner's clock") {
    run_end_world world(make_scheduled_spec(), 1, 0);
    shard_actions actions;
    advance(world.shard, world.now, wall_clock, actions);
    REQUIRE(world.task(0, 0) == nullptr);
    world.end(first_run(0), run_end_kind::done);
    REQUIRE(world.task(0, 0) != nullptr);
    CHECK(world.task(0, 0)->done);
    CHECK_FALSE(world.task(0, 1)->done);
    CHECK(world.task(1, 0) == nullptr);
    // It is acknowledged once the job's record with it is stored.
    const auto& job = world.shard.tables.jobs.at(the_job);
    const auto& ends = world.shard.tables.workers.at(the_worker).unacknowledged_ends;
    REQUIRE(ends.size() == 1);
    CHECK(job.stored_version < ends.front().version);
}

// TWICE: the same between the loading of a shard and the first time that it is advanced, when none
// of its jobs had an open occurrence, for an end that a former owner passes on.
TEST_CASE("an end that is passed on to an owner which has just loaded the shard counts") {
    run_end_world world(make_spec(2, 0), 1, 0);
    on_passed_ends(world.shard, {{the_worker, {1, first_run(0), run_end_kind::done, ""}}},
                   world.now, wall_clock);
    REQUIRE(world.task(0, 0) != nullptr);
    CHECK(world.task(0, 0)->done);
    CHECK(find_unstored_ends(world.shard).size() == 1);
}

// Lost work: the new owner stopped such a run while it was at work.
TEST_CASE("a run goes on although its occurrence isn't due by the new owner's clock") {
    run_end_world world(make_scheduled_spec(), 1, 0);
    hold_reply reply;
    reply.outcome = command_outcome::done;
    reply.running = {{first_run(0), "", 10, 0}};
    for (int i = 0; i < 8; ++i) {
        shard_actions actions;
        world.now += duration(50);
        advance(world.shard, world.now, wall_clock, actions);
        reply.clock = {100'000 + world.now.time_since_epoch().count()};
        for (const auto& hold : actions.holds) {
            on_hold_reply(world.shard, hold.target.id, reply, world.now, world.now, wall_clock);
        }
    }
    REQUIRE(world.shard.tables.runs.contains(first_run(0)));
    CHECK(world.shard.tables.runs.at(first_run(0)).phase == run_phase::running);
}

// An end of no occurrence of the job, or of one that is far in the future, changes nothing.
TEST_CASE("the end of a run that no owner can have started opens no occurrence") {
    run_end_world world(make_scheduled_spec(), 1, 0);
    world.end({{the_job, 2, 0, 0}, {1}}, run_end_kind::done);
    auto far = make_scheduled_spec();
    far.occurrences = 1'000'000;
    run_end_world other(far, 1, 0);
    other.end({{the_job, 500'000, 0, 0}, {1}}, run_end_kind::done);
    for (auto* each : {&world, &other}) {
        CHECK(each->shard.tables.jobs.at(the_job).occurrences.empty());
        CHECK(each->shard.tables.jobs.at(the_job).next_occurrence == 0);
    }
}
