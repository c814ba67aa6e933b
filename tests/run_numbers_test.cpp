// Run numbers of tasks that rise beyond the numbers reserved for their owner's epoch.
#include "shard_internal.hpp"
#include "shard_records.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
constexpr duration step_time{50};
const job_id the_job{"00000000000000bb"};
const worker_id the_worker{"w-1"};

// As one owner may start a task this often without a change of its record.
constexpr std::uint64_t runs_of_owner = 1'000;

job_row make_job(const shard_id& lender) {
    job_row job;
    job.id = the_job;
    job.lender = lender;
    job.queue.service = {"desk"};
    job.spec.steps.emplace_back();
    job.spec.steps.front().count = 1;
    job.phase = job_phase::running;
    return job;
}

// One owner of a shard, with a worker that answers at once. What it stores is kept.
struct owner_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(100'000)};
    std::uint64_t revision = 10;
    shard_state shard;
    std::vector<run_number> started;
    std::map<std::string, store_entry> stored;

    owner_world(epoch_number epoch, const std::map<std::string, store_entry>& before)
        : shard(make_shard(record, {"host/" + std::to_string(epoch.value)}, epoch, {1}, {},
                           counters, log))
        , stored(before) {
        std::vector<store_entry> entries;
        for (const auto& [key, entry] : stored) {
            entries.push_back(entry);
        }
        load_shard(shard, entries);
        shard.loaded_at = now;
        shard.commit.last_applied = now;
        worker_entry entry;
        entry.target.id = the_worker;
        entry.service = {"desk"};
        entry.data_centre = record.data_centre;
        entry.rack = {"r1"};
        entry.capacity = {{8'000}, {32'000}, {0}};
        on_worker_entry(shard, entry, now);
    }

    void pass(duration time) {
        for (duration passed{0}; passed < time; passed += step_time) {
            now += step_time;
            shard.claim_confirmed = now;
            shard_actions actions;
            advance(shard, now, wall_clock, actions);
            for (const auto& start : actions.starts) {
                started.push_back(start.command.run.number);
                command_reply reply;
                reply.clock = {now.time_since_epoch().count()};
                on_start_reply(shard, start.command.run, reply, now);
                running.push_back({start.command.run, "", 100, 0});
            }
            for (const auto& hold : actions.holds) {
                hold_reply reply;
                reply.clock = {now.time_since_epoch().count()};
                reply.start_time = process_start_time{1};
                reply.running = running;
                on_hold_reply(shard, hold.target.id, reply, now, now, wall_clock);
            }
            if (actions.commit) {
                store(*actions.commit);
            }
        }
    }

    void store(const store_transaction& transaction) {
        transaction_reply reply;
        reply.applied = revision_number{++revision};
        // The store of the shard's records stops as soon as the task runs: what the owner knows of
        // its runs from then on is lost with it.
        if (started.empty()) {
            for (const auto& put : transaction.puts) {
                stored[put.key] = {put.key, put.value, {revision}};
            }
        }
        on_commit_reply(shard, reply, now, now);
    }

    std::vector<run_status> running;
};

std::map<std::string, store_entry> records_of(const job_row& job) {
    const shard_id shard{"east.0"};
    const auto put = [](const std::string& key, std::string value) {
        return std::pair(key, store_entry{key, std::move(value), {1}});
    };
    return {put(job_key(shard, job.id), encode_job(job)),
            put(progress_key(shard, job.id), encode_progress(job))};
}

// Has several owners one after another start the task, each from the records that were stored
// before its predecessors' runs, and returns the numbers of the runs.
std::vector<std::uint64_t> start_under(const std::vector<std::uint64_t>& epochs,
                                       std::map<std::string, store_entry> records) {
    std::vector<std::uint64_t> numbers;
    for (const auto epoch : epochs) {
        owner_world world({epoch}, records);
        world.pass(duration(30'000));
        REQUIRE(!world.started.empty());
        numbers.push_back(world.started.front().value);
        records = world.stored;
    }
    return numbers;
}

void check_distinct(const std::vector<std::uint64_t>& numbers) {
    for (std::size_t i = 1; i < numbers.size(); ++i) {
        INFO(numbers[i - 1] << " and " << numbers[i]);
        CHECK(numbers[i] >= numbers[i - 1] + runs_of_owner);
    }
}

} // namespace

// BUDGET, TWICE: two owners of a borrowing shard gave two runs of a task the same number if the
// lender's epoch was higher. A failure of the second run wasn't counted, and a late start of the
// first one was taken for it.
TEST_CASE("runs of a borrowed task have other numbers under each owner of the borrower") {
    auto job = make_job({"west.0"});
    auto& stage = find_borrowed_stage(job, 0, 0);
    stage.tasks[0].not_local = false;
    stage.tasks[0].loan = 1;
    stage.tasks[0].last_run = {8'001};
    stage.waiting.insert(0);
    borrowed_tasks loan;
    loan.loan = 1;
    loan.tasks.insert(0);
    job.borrowed.push_back(loan);
    job.stored_by = {1};
    check_distinct(start_under({2, 3, 4, 6, 11}, records_of(job)));
    // A record of an earlier version doesn't name its owner.
    job.stored_by = {};
    CHECK(start_under({2}, records_of(job)).front() > 8'001 + runs_of_owner);
}

// The same for a task that was returned by a shard with a higher epoch.
TEST_CASE("runs of a returned task have other numbers under each owner of the lender") {
    auto job = make_job({});
    job.next_occurrence = 1;
    job.occurrences.emplace(0, make_occurrence(job.spec, 0));
    job.occurrences.at(0).stages[0].tasks[0].last_run = {3'007};
    for (const auto stored_by : {std::uint64_t{1}, std::uint64_t{2}}) {
        job.stored_by = {stored_by};
        check_distinct(start_under({3, 4, 5, 9}, records_of(job)));
    }
}
