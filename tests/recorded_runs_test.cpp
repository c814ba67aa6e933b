// Long-running tasks whose runs are stored with their workers: what a successor waits for, and what
// the owner may do with such a task.
#include "shard_internal.hpp"

#include "fulmar/json.hpp"
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
const job_id watch{"00000000000000bb"};
constexpr duration step_time{50};

// By the design, of a worker that doesn't answer: 2.5 s until the former owner stops, the usual
// lease of 5 s and margins; or 15 s for commands that are executed late and the longest lease.
constexpr duration usual_limit{8'000};
constexpr duration longest_limit{15'100};

worker_target target_of(const std::string& id) {
    return {{id}, {"10.0.0.1", 1}};
}

step_spec make_step() {
    step_spec step;
    step.count = 3;
    step.need = {{1'000}, {512}, {0}};
    step.long_running = true;
    return step;
}

// The whereabouts of the tasks in the loaded record.
using prepare_tasks = std::function<void(std::vector<task_row>&)>;

prepare_tasks record_runs(epoch_number by) {
    return [by](std::vector<task_row>& tasks) {
        for (std::size_t i = 0; i < 2; ++i) {
            tasks[i].recorded_on = worker_id{i == 0 ? "gone" : "sound"};
            tasks[i].recorded_by = by;
        }
    };
}

std::vector<store_entry> make_entries(const shard_record& record, const prepare_tasks& prepare,
                                      const settled_incarnations& settled) {
    std::vector<known_worker> listed;
    for (const auto* id : {"gone", "sound", "spare"}) {
        listed.push_back({target_of(id), {1}});
    }
    job_row job;
    job.id = watch;
    job.queue.service = {"desk"};
    job.spec.steps = {make_step()};
    job.next_occurrence = 1;
    auto& stage = job.occurrences.emplace(0, make_occurrence(job.spec, 0)).first->second.stages[0];
    prepare(stage.tasks);
    return {{worker_list_key(record.id), encode(listed), {1}},
            {job_key(record.id, watch), encode_job(job), {1}},
            {progress_key(record.id, watch), encode_progress(job), {2}},
            {incarnations_key(record.id), encode(settled), {3}}};
}

// A shard with three workers, of which "gone" is silent, and a job with three long-running tasks.
// Its second owner has loaded it: if nothing else is said, the runs of the first two tasks are
// recorded on the workers "gone" and "sound".
struct recorded_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"a.0"}, {"a"}, {{"r1"}}};
    time_point now{duration(100'000)};
    std::uint64_t revision = 10;
    shard_state shard;
    std::set<std::uint32_t> started; // indexes of tasks
    bool store_answers = true;

    explicit recorded_world(epoch_number recorded_by = {1},
                            const settled_incarnations& settled = {})
        : recorded_world(record_runs(recorded_by), settled) {}

    explicit recorded_world(const prepare_tasks& prepare, const settled_incarnations& settled = {})
        : shard(make_shard(record, {"b1/2"}, {2}, {1}, {}, counters, log)) {
        load(make_entries(record, prepare, settled));
    }

    // The next owner after one that has just been lost.
    recorded_world(const std::map<std::string, std::string>& last_stored, time_point lost)
        : now(lost + duration(500))
        , shard(make_shard(record, {"b2/3"}, {3}, {2}, {}, counters, log)) {
        std::vector<store_entry> entries;
        entries.reserve(last_stored.size());
        for (const auto& [key, value] : last_stored) {
            entries.push_back({key, value, {1}});
        }
        load(entries);
    }

    void load(const std::vector<store_entry>& entries) {
        for (const auto& entry : entries) {
            stored[entry.key] = entry.value;
        }
        load_shard(shard, entries);
        shard.loaded_at = now;
        shard.commit.last_applied = now;
        add_worker("gone", 8'000, false);
        add_worker("sound", 8'000, false);
        add_worker("spare", 500, false); // none of the tasks fits there
    }

    void add_worker(const std::string& id, std::int64_t processors, bool draining) {
        worker_entry entry;
        entry.target = target_of(id);
        entry.service = {"desk"};
        entry.data_centre = {"a"};
        entry.capacity = {{processors}, {32'000}, {0}};
        entry.draining = draining;
        entry.remaining = duration(60'000);
        on_worker_entry(shard, entry, now);
    }

    task_row& task(std::uint32_t index) {
        return shard.tables.jobs.at(watch).occurrences.at(0).stages[0].tasks[index];
    }

    // The task as a successor would load it.
    task_row read_task(const job_id& id, std::uint32_t index) const {
        job_row read;
        read.id = id;
        read.spec.steps = {make_step()};
        const auto progress = stored.find(progress_key(shard.id, id));
        if (progress == stored.end() || !parse_progress(read, progress->second) ||
            !read.occurrences.contains(0)) {
            return {};
        }
        return read.occurrences.at(0).stages[0].tasks[index];
    }

    // Calls are answered at once, those to silent workers by a time-out.
    void pass(duration time) {
        for (duration passed{0}; passed < time; passed += step_time) {
            now += step_time;
            shard.claim_confirmed = now;
            shard_actions actions;
            advance(shard, now, wall_clock, actions);
            for (const auto& start : actions.starts) {
                const auto& key = start.command.run.task;
                started.insert(key.index);
                unrecorded +=
                    read_task(key.job, key.index).planned_on.contains(start.target.id) ? 0 : 1;
                running.push_back({start.command.run, "", 100, 0});
                command_reply reply;
                reply.clock = clock();
                reply.start_time = start_time();
                on_start_reply(shard, start.command.run, reply, now);
            }
            for (const auto& hold : actions.holds) {
                answer_hold(hold.target.id);
            }
            if (actions.commit && store_answers) {
                transaction_reply reply;
                reply.applied = revision_number{++revision};
                apply(*actions.commit);
                on_commit_reply(shard, reply, now, now);
            }
        }
    }

    void apply(const store_transaction& transaction) {
        for (const auto& put : transaction.puts) {
            stored[put.key] = put.value;
        }
    }

    void answer_hold(const worker_id& id) {
        if (silent.contains(id.value)) {
            on_hold_reply(shard, id, error{error_kind::timeout, ""}, now, now, wall_clock);
            return;
        }
        hold_reply reply;
        reply.clock = clock();
        reply.start_time = start_time();
        if (id.value == "sound") {
            reply.running = running;
        }
        on_hold_reply(shard, id, reply, now, now, wall_clock);
    }

    worker_clock clock() const { return {(now - restarted).count()}; }
    process_start_time start_time() const { return {restarted.time_since_epoch().count() + 1}; }

    std::map<std::string, std::string> stored;
    std::set<std::string> silent{"gone"};
    std::size_t unrecorded = 0;      // starts on workers that the stored record doesn't name
    std::vector<run_status> running; // on "sound"
    time_point restarted{duration(0)};
};

} // namespace

// LOST: tasks waited for the longest lease that any worker may have taken, beyond the time within
// which they have to run again. TWICE: one whose start may have reached a restarted worker has to.
TEST_CASE("a recorded run is waited for by the usual lease of its worker only") {
    recorded_world world;
    world.pass(usual_limit - duration(300));
    CHECK(world.started == std::set<std::uint32_t>{1}); // "sound" has listed no run of it
    world.pass(duration(400));
    CHECK(world.started == std::set<std::uint32_t>{0, 1});
    world.pass(longest_limit - usual_limit - duration(300));
    CHECK_FALSE(world.shard.takeover_complete);
    CHECK(world.started == std::set<std::uint32_t>{0, 1});
    world.pass(duration(400));
    CHECK(world.shard.takeover_complete);
    CHECK(world.started == std::set<std::uint32_t>{0, 1, 2});
}

// TWICE: an owner of an earlier version starts a recorded task and leaves its record as it is.
TEST_CASE("a run that an earlier owner than the last one recorded waits for the takeover") {
    recorded_world world(epoch_number{0});
    world.pass(longest_limit - duration(200));
    CHECK(world.started.empty());
    world.pass(duration(400));
    CHECK(world.started.size() == 3);
}

// TWICE: a successor would start the task while it runs on a worker that the record doesn't name.
TEST_CASE("a long-running task starts once its worker is stored") {
    recorded_world world;
    world.store_answers = false;
    world.pass(longest_limit);
    CHECK(world.started.empty());
    world.store_answers = true;
    transaction_reply reply;
    reply.applied = revision_number{++world.revision};
    world.apply(*world.shard.commit.pending);
    on_commit_reply(world.shard, reply, world.now, world.now);
    world.pass(duration(1'000));
    CHECK(world.started == std::set<std::uint32_t>{0, 1, 2});
    CHECK(world.unrecorded == 0);
}

// LOST: a task whose worker and owner were lost within a second of its start waited for the longest
// lease, and as long as any worker was silent.
TEST_CASE("a run is recorded with its worker as soon as that has confirmed it") {
    recorded_world world(epoch_number{1}, {{worker_id{"sound"}, {1}}});
    world.pass(duration(600));
    REQUIRE(world.started.contains(1));
    REQUIRE(world.task(1).recorded_on == worker_id{"sound"});
    CHECK(world.task(1).planned_on.empty());
    const auto stored = world.read_task(watch, 1);
    CHECK(stored.recorded_on == worker_id{"sound"});
    CHECK(stored.recorded_by == epoch_number{2});

    recorded_world next(world.stored, world.now);
    next.silent = {"sound"};
    next.pass(usual_limit - duration(300));
    CHECK_FALSE(next.started.contains(1));
    next.pass(duration(500));
    CHECK(next.started.contains(1));
}

// LOST: a task that had been stopped for a move waited for all workers of its shard.
TEST_CASE("a task that is stopped for a move stays recorded on its worker") {
    recorded_world world;
    world.pass(longest_limit + duration(2'000));
    REQUIRE(world.shard.takeover_complete);
    REQUIRE(world.read_task(watch, 1).recorded_on == worker_id{"sound"});
    world.add_worker("spare", 8'000, false);
    world.add_worker("sound", 8'000, true);
    world.pass(duration(300));
    const task_key key{watch, 0, 0, 1};
    const auto& run = world.shard.tables.runs.at({key, world.task(1).runs.at(0)});
    REQUIRE(run.cause == stop_cause::moved);
    std::erase_if(world.running, [&](const run_status& row) { return row.run.task == key; });

    recorded_world next(world.stored, world.now);
    next.silent = {"gone", "spare"};
    next.pass(duration(500));
    CHECK(next.started.contains(1));
    CHECK(next.unrecorded == 0);
}

// TWICE: the start that a lost owner sent last may still reach a worker that is silent.
TEST_CASE("a planned start is waited for by the longest lease of its worker") {
    recorded_world world([](std::vector<task_row>& tasks) {
        tasks[0].planned_on = {{"gone"}};
        tasks[1].planned_on = {{"sound"}};
        tasks[2].planned_on = {{"sound"}, {"spare"}};
        for (auto& task : tasks) {
            task.recorded_by = {1};
        }
    });
    world.pass(longest_limit - duration(300));
    CHECK(world.started == std::set<std::uint32_t>{1, 2});
    world.pass(duration(500));
    CHECK(world.started == std::set<std::uint32_t>{0, 1, 2});
}

// TWICE: an owner of an earlier version would wait for the usual lease of a planned worker, or for
// the recorded one only.
TEST_CASE("owners of an earlier version find no record of a task with planned starts") {
    recorded_world world([](std::vector<task_row>& tasks) {
        tasks[0].planned_on = {{"gone"}};
        tasks[1].recorded_on = worker_id{"sound"};
        tasks[1].planned_on = {{"spare"}};
    });
    const auto progress = json::parse(world.stored.at(progress_key(world.shard.id, watch)));
    CHECK_FALSE(progress.contains("recorded"));
}

// LOST: jobs that had never started waited for all workers of their shard.
TEST_CASE("a job that was never started waits for no worker of former owners") {
    const job_id fresh{"00000000000000cc"};
    recorded_world world;
    step_spec step = make_step();
    step.label = "none"; // no worker has it
    job_spec spec;
    spec.steps = {step};
    queue_spec queue;
    queue.service = {"desk"};
    submit_job(world.shard, fresh, queue, spec, {}, world.now, wall_clock);
    world.pass(duration(300));
    REQUIRE(world.stored.contains(job_key(world.shard.id, fresh)));
    REQUIRE(world.stored.erase(progress_key(world.shard.id, fresh)) == 0);
    for (const bool direct : {true, false}) {
        recorded_world next(world.stored, world.now);
        if (!direct) {
            next.shard.tables.jobs.at(fresh).starts_recorded = false; // another owner in between
        }
        next.pass(duration(300));
        const auto& job = next.shard.tables.jobs.at(fresh);
        const auto& tasks = job.occurrences.at(0).stages[0].tasks;
        CHECK(has_unknown_run(next.shard, job, tasks[0]) != direct);
    }
}

// LOST: owners that were lost within seconds of their claims recorded no run, as each took it that
// its workers might have the longest lease.
TEST_CASE("a new owner records runs at once on workers whose incarnations are settled") {
    constexpr duration soon{1'500};
    for (const bool settled : {true, false}) {
        const process_start_time known{settled ? 1 : 7};
        recorded_world world(epoch_number{1}, {{worker_id{"sound"}, known}});
        world.shard.timing.longest_lease = duration(10'000);
        world.pass(duration(300));
        REQUIRE(world.started.contains(1));
        world.pass(soon);
        CHECK(world.task(1).recorded_on.has_value() == settled);
    }
}

// The same for the owners that follow.
TEST_CASE("an owner stores which incarnations are settled") {
    recorded_world world;
    world.pass(duration(5'000));
    CHECK(world.shard.stored_settled ==
          settled_incarnations{{worker_id{"sound"}, world.start_time()},
                               {worker_id{"spare"}, world.start_time()}});
    world.restarted = world.now;
    world.running.clear();
    world.pass(duration(500));
    CHECK(world.shard.stored_settled.at(worker_id{"sound"}) != world.start_time());
    world.pass(duration(5'000));
    CHECK(world.shard.stored_settled.at(worker_id{"sound"}) == world.start_time());
}

// TWICE: after a restart, a worker may have a longer lease than the usual one for all that runs on
// it, from a command for its former incarnation.
TEST_CASE("no run is recorded while its worker may have a longer lease than the usual one") {
    recorded_world world;
    world.shard.timing.longest_lease = duration(10'000);
    world.pass(duration(8'000));
    REQUIRE(world.task(1).recorded_on);
    world.restarted = world.now;
    world.running.clear();
    const auto longest = world.shard.timing.longest_lease - world.shard.timing.lease;
    world.pass(longest - duration(500));
    REQUIRE(world.task(1).runs.size() == 1);
    CHECK_FALSE(world.task(1).recorded_on);
    world.pass(duration(2'000));
    CHECK(world.task(1).recorded_on);
}
