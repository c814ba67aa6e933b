// Ends of runs that complete more than their task: an occurrence or the whole job, whose rows are
// freed at that moment.
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

    explicit run_end_world(const job_spec& spec, std::uint32_t max_attempts = 1)
        : shard(make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log)) {
        job_row job;
        job.id = the_job;
        job.queue.service = {"desk"};
        job.queue.max_attempts = max_attempts;
        job.spec = spec;
        job.phase = job_phase::running;
        for (std::uint32_t number = 0; number < std::max(1U, spec.occurrences); ++number) {
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
