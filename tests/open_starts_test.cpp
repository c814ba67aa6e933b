// Starts without a reply that an owner stores, and what a successor does with their tasks.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
const job_id the_job{"00000000000000bb"};
const worker_id first_worker{"w-1"};
const worker_id other_worker{"w-2"};
constexpr duration step_time{50};

// An owner of a shard with two workers and one task. Transactions are applied at once.
struct open_starts_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(100'000)};
    std::uint64_t revision = 10;
    std::map<std::string, store_entry> store;
    shard_state shard;
    std::vector<start_command> starts; // sent
    std::set<worker_id> silent;        // workers whose holds get no answer
    std::set<worker_id> started_on;
    std::map<worker_id, std::vector<run_status>> running;
    bool starts_answered = true;
    std::size_t records_written = 0; // with open starts

    explicit open_starts_world(epoch_number epoch = {1},
                               const std::map<std::string, store_entry>& stored = {})
        : store(stored)
        , shard(make_shard(record, {"host/" + std::to_string(epoch.value)}, epoch, {1}, {},
                           counters, log)) {
        if (store.empty()) {
            job_row job;
            job.id = the_job;
            job.queue.service = {"desk"};
            job.queue.max_attempts = 3;
            job.spec.steps.emplace_back();
            job.spec.steps.front().count = 1;
            job.spec.steps.front().need = {{1'000}, {512}, {0}};
            job.next_occurrence = 1;
            job.occurrences.emplace(0, make_occurrence(job.spec, 0));
            put(job_key(record.id, the_job), encode_job(job));
            put(progress_key(record.id, the_job), encode_progress(job));
        }
        std::vector<store_entry> entries;
        for (const auto& [key, entry] : store) {
            entries.push_back(entry);
        }
        load_shard(shard, entries);
        shard.loaded_at = now;
        shard.commit.last_applied = now;
        for (const auto& id : {first_worker, other_worker}) {
            worker_entry entry;
            entry.target = {id, {"10.0.0.1", static_cast<std::uint16_t>(id == first_worker)}};
            entry.service = {"desk"};
            entry.data_centre = {"east"};
            entry.capacity = {{8'000}, {32'000}, {0}};
            on_worker_entry(shard, entry, now);
        }
    }

    void put(const std::string& key, const std::string& value) {
        store[key] = {key, value, revision_number{++revision}};
    }

    void apply(const store_transaction& transaction) {
        for (const auto& row : transaction.puts) {
            put(row.key, row.value);
            records_written += row.key == open_starts_key(record.id) ? 1 : 0;
        }
        transaction_reply reply;
        reply.applied = store.at(head_key(record.id)).revision;
        on_commit_reply(shard, reply, now, now);
    }

    void pass(duration time) {
        for (duration passed{0}; passed < time; passed += step_time) {
            now += step_time;
            shard.claim_confirmed = now;
            shard_actions actions;
            advance(shard, now, wall_clock, actions);
            for (const auto& start : actions.starts) {
                starts.push_back(start.command);
                started_on.insert(start.target.id);
                if (starts_answered) {
                    answer_start(start.target.id, start.command);
                }
            }
            for (const auto& hold : actions.holds) {
                answer_hold(hold.target.id);
            }
            if (actions.commit) {
                apply(*actions.commit);
            }
        }
    }

    void answer_start(const worker_id& id, const start_command& start) {
        running[id].push_back({start.run, "", 0, 0});
        command_reply reply;
        reply.clock = clock();
        on_start_reply(shard, start.run, reply, now);
    }

    // The start gets no reply for as long.
    void lose_start(duration time) {
        starts_answered = false;
        pass(duration(200));
        REQUIRE(starts.size() == 1);
        pass(time);
    }

    void answer_hold(const worker_id& id) {
        if (silent.contains(id)) {
            on_hold_reply(shard, id, error{error_kind::timeout, ""}, now, now, wall_clock);
            return;
        }
        hold_reply reply;
        reply.clock = clock();
        reply.running = running[id];
        on_hold_reply(shard, id, reply, now, now, wall_clock);
    }

    worker_clock clock() const { return {now.time_since_epoch().count()}; }

    open_starts_record stored_starts() {
        const auto found = store.find(open_starts_key(record.id));
        return found == store.end() ? open_starts_record{}
                                    : parse_open_starts(found->second.value).value();
    }
};

} // namespace

// Guards against store traffic for each start.
TEST_CASE("starts that are answered in the usual time aren't stored") {
    open_starts_world world;
    world.pass(duration(2'000));
    CHECK(world.starts.size() == 1);
    CHECK(world.records_written == 0);
}

// TWICE: a successor didn't know of a start without a reply.
TEST_CASE("a start without a reply is stored soon, with the time for which it may still arrive") {
    constexpr duration limit{400};
    open_starts_world world;
    world.lose_start(limit);
    const auto stored = world.stored_starts();
    REQUIRE(stored.rows.size() == 1);
    CHECK(stored.by == epoch_number{1});
    CHECK(stored.rows.front().run == world.starts.front().run);
    CHECK(stored.rows.front().late_in <= world.shard.timing.late_limit);
    CHECK(stored.rows.front().late_in >= world.shard.timing.late_limit - limit - duration(200));
    CHECK(world.store.at(open_starts_key(world.record.id)).value.size() < 100);

    world.answer_start(*world.started_on.begin(), world.starts.front());
    world.pass(duration(400));
    CHECK(world.stored_starts().rows.empty());
    const auto written = world.records_written;
    world.pass(duration(1'000));
    CHECK(world.records_written == written);
}

// TWICE: a successor started the task elsewhere once the worker had answered it without the run;
// the worker restarted, and the former owner's start arrived there.
TEST_CASE("a successor sends a former owner's open start again to the same worker") {
    open_starts_world former;
    former.lose_start(duration(400));
    open_starts_world world({2}, former.store);
    world.pass(duration(500));
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().run == former.starts.front().run);
    CHECK(world.started_on == former.started_on);
}

// TWICE: the same with a worker that doesn't answer, which was waited for by a shorter time.
TEST_CASE("a successor waits for a silent worker until a former owner's start can't arrive") {
    open_starts_world former;
    former.lose_start(duration(400));
    open_starts_world world({2}, former.store);
    world.silent = former.started_on;
    const auto wait = world.shard.timing.late_limit + world.shard.timing.longest_lease;
    world.pass(wait - duration(700));
    CHECK(world.starts.empty());
    world.pass(duration(1'500));
    CHECK(world.starts.size() == 1);
    CHECK(world.started_on != former.started_on);
}

// TWICE: a successor that was lost before its first transaction, or after it, told the next one
// nothing.
TEST_CASE("open starts are passed on from successor to successor") {
    open_starts_world former;
    former.lose_start(duration(400));
    open_starts_world second({2}, former.store);
    second.silent = former.started_on;
    second.pass(duration(1'000));
    for (const auto& stored : {former.store, second.store}) {
        open_starts_world third({3}, stored);
        third.silent = former.started_on;
        third.pass(duration(15'000));
        CHECK(third.starts.empty());
        REQUIRE(third.stored_starts().rows.size() == 1);
        CHECK(third.stored_starts().by == epoch_number{3});
        CHECK(third.stored_starts().rows.front().run == former.starts.front().run);
    }
}

// LOST: a task would wait for a start of long ago, which an owner of an earlier version left in the
// store.
TEST_CASE("open starts of an owner before the last one don't count") {
    open_starts_world former;
    former.lose_start(duration(400));
    former.put(head_key(former.record.id), encode(head_record{{2}, 1}));
    open_starts_world world({3}, former.store);
    world.silent = former.started_on;
    CHECK(world.shard.inherited_starts.empty());
    world.pass(duration(1'000));
    CHECK(world.stored_starts().rows.empty());
}

// TWICE: an open start of an occurrence that isn't due by the successor's clock yet counts as one
// of an unknown task, and the task starts elsewhere as soon as the occurrence is due.
TEST_CASE("an open start of an occurrence that isn't due by the successor's clock is adopted") {
    for (const std::int64_t ahead : {0, 500}) {
        INFO("the occurrence is due in ms: " << ahead);
        open_starts_world former;
        former.lose_start(duration(400));
        job_row job;
        job.id = the_job;
        job.queue.service = {"desk"};
        job.queue.max_attempts = 3;
        job.spec.steps.emplace_back();
        job.spec.steps.front().count = 1;
        job.spec.steps.front().need = {{1'000}, {512}, {0}};
        job.spec.occurrences = 2;
        job.spec.interval = duration(3'600'000);
        job.spec.first_due = {wall_clock.value + ahead};
        former.put(job_key(former.record.id, the_job), encode_job(job));
        former.put(progress_key(former.record.id, the_job), encode_progress(job));
        open_starts_world world({2}, former.store);
        world.silent = former.started_on;
        world.starts_answered = false;
        world.pass(duration(200)); // the first occurrence isn't due
        constexpr int steps = 320; // 16 s: the former start may have arrived, and its lease lasts
        for (int i = 0; i < steps; ++i) {
            world.now += step_time;
            world.shard.claim_confirmed = world.now;
            shard_actions actions;
            advance(world.shard, world.now, {wall_clock.value + 1'000}, actions);
            for (const auto& start : actions.starts) {
                world.started_on.insert(start.target.id);
                world.starts.push_back(start.command);
            }
            for (const auto& hold : actions.holds) {
                world.answer_hold(hold.target.id);
            }
            if (actions.commit) {
                world.apply(*actions.commit);
            }
        }
        CHECK(world.shard.tables.runs.at(former.starts.front().run).phase != run_phase::stopping);
        CHECK(world.starts.empty()); // none elsewhere while the former start may arrive
    }
}

// BUDGET: the row of a run that has failed stays until its first start can't arrive any more. The
// successor took it for a run that is wanted and sent its start again; a second failure of the same
// number doesn't count.
TEST_CASE("a successor doesn't start a former owner's run again that has failed") {
    open_starts_world former;
    former.lose_start(duration(400));
    const auto run = former.starts.front().run;
    const auto worker = *former.started_on.begin();
    former.running[worker].push_back({run, "", 0, 0}); // the worker did carry it out
    former.pass(duration(500));
    former.running[worker].clear();
    hold_reply reply;
    reply.clock = former.clock();
    reply.ended.push_back({1, run, run_end_kind::failed, ""});
    former.silent = {worker};
    on_hold_reply(former.shard, worker, reply, former.now, former.now, wall_clock);
    former.pass(duration(1'000));
    // The failure is stored and acknowledged.
    REQUIRE(former.shard.tables.workers.at(worker).acknowledged_end == 1);
    CAPTURE(former.stored_starts().rows.size());

    open_starts_world world({2}, former.store);
    const auto* task = find_task(world.shard.tables, run.task);
    REQUIRE(task != nullptr);
    REQUIRE(task->failed_runs.size() == 1);
    REQUIRE(task->failed_runs.front() == run.number);
    world.pass(duration(3'000));
    for (const auto& start : world.starts) {
        CHECK(start.run != run);
    }
}
