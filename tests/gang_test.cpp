// Gangs: their members have one run number, start in one round and end together.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <set>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
constexpr std::uint64_t the_loan = 7;
constexpr std::uint32_t members = 3;
constexpr duration tick{20};
// By when a silent worker's runs have certainly ended.
constexpr duration lease_limit{8'000};
const job_id the_job{"00000000000000aa"};
const job_id large_job{"0000000000000001"};

job_spec make_gang() {
    job_spec spec;
    spec.steps.emplace_back();
    spec.steps.front().count = members;
    spec.steps.front().gang = true;
    spec.steps.front().spread_limit = 1;
    spec.steps.front().need = {{1'000}, {512}, {0}};
    spec.steps.front().estimate = duration(60'000);
    return spec;
}

// The records of a gang that the shard owns, with the last run of each member.
std::vector<store_entry> make_own_gang(const std::map<std::uint32_t, std::uint64_t>& last = {},
                                       std::uint32_t max_attempts = 1) {
    job_row job;
    job.id = the_job;
    job.queue.service = {"desk"};
    job.queue.max_attempts = max_attempts;
    job.spec = make_gang();
    job.next_occurrence = 1;
    job.occurrences.emplace(0, make_occurrence(job.spec, 0));
    for (const auto& [index, number] : last) {
        job.occurrences.at(0).stages.front().tasks[index].last_run = {number};
    }
    return {{job_key({"east.0"}, job.id), encode_job(job), {1}},
            {progress_key({"east.0"}, job.id), encode_progress(job), {2}}};
}

// The records of a job with one task that fills a worker.
std::vector<store_entry> make_large_job() {
    job_row job;
    job.id = large_job;
    job.queue.service = {"desk"};
    job.spec.steps.emplace_back();
    job.spec.steps.front().need = {{8'000}, {512}, {0}};
    job.next_occurrence = 1;
    job.occurrences.emplace(0, make_occurrence(job.spec, 0));
    return {{job_key({"east.0"}, job.id), encode_job(job), {1}},
            {progress_key({"east.0"}, job.id), encode_progress(job), {2}}};
}

// A shard of four workers. They carry out each start unless it is refused, and report what they
// are told.
struct gang_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(1'000)};
    std::uint64_t revision = 10;
    request_token token = 0;
    shard_state shard;
    std::vector<start_command> starts; // all that were sent
    std::set<worker_id> silent;
    std::set<worker_id> refusing;
    std::map<worker_id, std::set<run_key>> running;
    std::map<worker_id, std::vector<run_end>> ended; // not acknowledged
    std::map<worker_id, std::uint64_t> ends;
    std::vector<json> results; // sent to the lender

    // `entries` are what former owners stored.
    explicit gang_world(std::vector<store_entry> entries = {}, epoch_number epoch = {1},
                        std::uint32_t workers = members + 1)
        : shard(make_shard(record, {"host/1"}, epoch, {1}, {}, counters, log)) {
        std::vector<known_worker> known;
        for (std::uint32_t i = 0; i < workers; ++i) {
            known.push_back({make_target(fmt::format("w{}", i))});
        }
        entries.push_back({worker_list_key(record.id), encode(known), {3}});
        load_shard(shard, entries);
        for (const auto& row : known) {
            add_worker(row.target.id.value);
        }
    }

    static worker_target make_target(const std::string& id) { return {{id}, {"10.0.0.1", 1}}; }

    void add_worker(const std::string& id) {
        worker_entry entry;
        entry.target = make_target(id);
        entry.service = {"desk"};
        entry.capacity = {{8'000}, {32'000}, {0}};
        on_worker_entry(shard, entry, now);
        report(entry.target.id);
    }

    void report(const worker_id& id) {
        if (silent.contains(id)) {
            on_hold_reply(shard, id, error{error_kind::timeout, ""}, now, now, wall_clock);
            return;
        }
        hold_reply reply;
        reply.clock = {now.time_since_epoch().count()};
        for (const auto& run : running[id]) {
            reply.running.push_back({run, fmt::format("seen-{}", id.value), 50, 0});
        }
        reply.ended = ended[id];
        on_hold_reply(shard, id, reply, now, now, wall_clock);
    }

    void end(const run_key& run, run_end_kind kind, const std::string& checkpoint = "") {
        for (auto& [id, runs] : running) {
            if (runs.erase(run) > 0) {
                ended[id].push_back({++ends[id], run, kind, checkpoint});
            }
        }
    }

    void step() {
        now += tick;
        shard.claim_confirmed = now;
        shard_actions actions;
        advance(shard, now, wall_clock, actions);
        for (const auto& start : actions.starts) {
            starts.push_back(start.command);
            if (silent.contains(start.target.id)) {
                continue;
            }
            command_reply reply;
            reply.outcome = command_outcome::done;
            if (refusing.contains(start.target.id)) {
                reply.outcome = command_outcome::no_room;
            } else {
                running[start.target.id].insert(start.command.run);
            }
            on_start_reply(shard, start.command.run, reply, now);
        }
        for (const auto& stop : actions.stops) {
            if (!silent.contains(stop.target.id)) {
                end(stop.command.run, run_end_kind::stopped, "stopped");
                on_stop_reply(shard, stop.command.run, command_reply{}, now);
            }
        }
        for (const auto& message : actions.loan_messages) {
            results.push_back(json::parse(message.body));
        }
        if (actions.commit) {
            transaction_reply reply;
            reply.applied = revision_number{++revision};
            on_commit_reply(shard, reply, now, now);
        }
        for (const auto& hold : actions.holds) {
            report(hold.target.id);
        }
    }

    void pass(duration time) {
        for (const auto until = now + time; now < until;) {
            step();
        }
    }

    // Has another shard lend the gang.
    void borrow() {
        queue_spec queue;
        queue.service = {"desk"};
        json body{{"kind", "offer"},
                  {"from", "west.0"},
                  {"to", "east.0"},
                  {"loan", the_loan},
                  {"job", the_job},
                  {"queue", encode_queue(queue)},
                  {"spec", encode_spec(make_gang())},
                  {"accepted", wall_clock},
                  {"occurrence", 0},
                  {"step", 0},
                  {"tasks", json::array()}};
        for (std::uint32_t index = 0; index < members; ++index) {
            body["tasks"].push_back({index, 0, json::array(), 0, ""});
        }
        on_loan_message(shard, body, ++token, now, wall_clock);
    }

    worker_id worker_of(std::uint32_t index) {
        for (const auto& [id, runs] : running) {
            for (const auto& run : runs) {
                if (run.task.index == index) {
                    return id;
                }
            }
        }
        return {};
    }

    std::size_t count_running() const {
        std::size_t count = 0;
        for (const auto& [id, runs] : running) {
            count += runs.size();
        }
        return count;
    }
};

run_key find_run_on(const gang_world& world, const worker_id& id) {
    return *world.shard.tables.workers.at(id).runs.begin();
}

// Returns the numbers of the runs of a gang's last start.
std::set<run_number> last_numbers(const gang_world& world) {
    std::set<run_number> found;
    for (auto i = world.starts.size() - members; i < world.starts.size(); ++i) {
        found.insert(world.starts[i].run.number);
    }
    return found;
}

} // namespace

// GANG: each member was numbered and started again by itself, and after the loss of one they never
// met again.
TEST_CASE("a gang whose member is lost starts again in one round, under one number") {
    for (const bool borrowed : {false, true}) {
        INFO("borrowed " << borrowed);
        gang_world world(borrowed ? std::vector<store_entry>() : make_own_gang());
        if (borrowed) {
            world.borrow();
        }
        world.pass(duration(500));
        REQUIRE(world.count_running() == members);
        const auto lost = world.worker_of(2);
        world.silent.insert(lost);
        world.running.erase(lost);
        for (const auto& start : std::vector(world.starts)) {
            world.end(start.run, run_end_kind::broken, "broken");
        }
        world.pass(duration(3'000));
        CHECK(world.starts.size() == members); // the lost member may still run
        world.pass(lease_limit);
        REQUIRE(world.starts.size() == 2 * members);
        CHECK(last_numbers(world).size() == 1);
        CHECK(*last_numbers(world).begin() > world.starts.front().run.number);
        for (std::size_t i = members; i < world.starts.size(); ++i) {
            CHECK(world.starts[i].checkpoint == "broken");
        }
        CHECK(world.count_running() == members);
    }
}

// GANG: members whose numbers differ, as the version before left them, ended alone for good. A
// successor finds one that runs and others that don't.
TEST_CASE("a successor ends a run that the other members of its gang can't join") {
    gang_world world(make_own_gang({{0, 4}, {1, 7}, {2, 5}}), {3});
    const run_key left{{the_job, 0, 0, 1}, {7}};
    world.running[{"w1"}].insert(left);
    world.report({"w1"});
    world.pass(duration(20'000));
    REQUIRE(world.starts.size() == members);
    CHECK(last_numbers(world).size() == 1);
    CHECK(*last_numbers(world).begin() > left.number);
    CHECK(world.count_running() == members);
    CHECK_FALSE(world.running[{"w1"}].contains(left));
}

// GANG: after a refusal the members that had started waited until they ended alone.
TEST_CASE("a gang of which a worker refuses a member is taken back and starts as a whole") {
    gang_world world(make_own_gang());
    world.refusing.insert({"w0"});
    world.pass(tick);
    REQUIRE(world.starts.size() == members);
    REQUIRE(world.count_running() == members - 1);
    world.pass(duration(300));
    CHECK(world.count_running() % members == 0);
    world.refusing.clear();
    world.pass(duration(2'000));
    CHECK(world.count_running() == members);
    CHECK(last_numbers(world).size() == 1);
}

// GANG: the same for a start that got no answer.
TEST_CASE("a gang of which a start gets no answer is stopped before its members end alone") {
    gang_world world(make_own_gang());
    world.silent.insert({"w0"});
    world.pass(tick);
    REQUIRE(world.count_running() == members - 1);
    on_start_reply(world.shard, find_run_on(world, {"w0"}), error{error_kind::timeout, ""},
                   world.now);
    world.pass(world.shard.timing.gang_wait - duration(500));
    CHECK(world.count_running() == 0);
}

// A gang started member by member as room came, and some waited for the others until they ended
// alone. What its search holds must not hide room from other tasks.
TEST_CASE("no member of a gang starts while there is room for some of them only") {
    auto entries = make_own_gang();
    const auto large = make_large_job();
    entries.insert(entries.end(), large.begin(), large.end());
    gang_world world(entries, {1}, members);
    world.pass(duration(5'000));
    REQUIRE(world.starts.size() == 1);
    CHECK(world.starts.front().run.task.job == large_job);
    for (const auto& [id, worker] : world.shard.tables.workers) {
        CHECK((!worker.runs.empty() ||
               free_resources(worker).processors == worker.entry.capacity.processors));
    }
    CHECK(world.shard.tables.searches.classes.empty());
    world.end(world.starts.front().run, run_end_kind::done);
    world.pass(duration(500));
    CHECK(world.starts.size() == 1 + members);
    CHECK(last_numbers(world).size() == 1);
}

// MIXED: attempts were counted by member, so a gang of which another one failed each time ran on.
TEST_CASE("a gang has failed as often as its runs, whichever members failed") {
    gang_world world(make_own_gang({}, 2));
    for (std::size_t failing = 0; failing < 2; ++failing) {
        world.pass(duration(1'000));
        REQUIRE(world.starts.size() == (failing + 1) * members);
        const auto first = world.starts.size() - members;
        world.end(world.starts[first + failing].run, run_end_kind::failed);
        for (std::size_t i = first; i < world.starts.size(); ++i) {
            world.end(world.starts[i].run, run_end_kind::broken);
        }
    }
    world.pass(duration(3'000));
    CHECK(world.starts.size() == 2 * members);
    CHECK(world.shard.tables.jobs.at(the_job).phase == job_phase::failed);
}

// TWICE: a borrower finished only the member whose end was reported. A member on a worker that
// didn't answer around the end of its gang ran again.
TEST_CASE("no member of a borrowed gang starts again after another one has ended as done") {
    gang_world world;
    world.borrow();
    world.pass(duration(500));
    REQUIRE(world.count_running() == members);
    const auto first = world.starts.at(0).run;
    world.silent.insert(world.worker_of(2));
    world.end(first, run_end_kind::done);
    world.pass(lease_limit);
    CHECK(world.starts.size() == members);
    REQUIRE_FALSE(world.results.empty());
    CHECK(world.results.front().at("tasks").size() == members);
    for (const auto& row : world.results.front().at("tasks")) {
        CHECK(row.at(1) == static_cast<int>(loan_result::done));
    }
}
