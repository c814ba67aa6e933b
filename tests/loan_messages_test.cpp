// Answers to messages about loans: each waits for what the message asked for, and for nothing else.
#include "shard_internal.hpp"
#include "shard_records.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
const job_id lent_job{"00000000000000aa"};

job_spec make_spec() {
    job_spec spec;
    spec.steps.emplace_back();
    spec.steps.front().count = 3;
    spec.steps.front().long_running = true;
    return spec;
}

struct loan_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(1'000)};
    std::uint64_t revision = 10;
    request_token next_token = 1;
    shard_state shard;

    loan_world()
        : shard(make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log)) {}

    json envelope(const std::string& kind, std::uint64_t loan) const {
        return {{"kind", kind},
                {"from", "west.0"},
                {"to", "east.0"},
                {"loan", loan},
                {"job", lent_job}};
    }

    json offer(std::uint64_t loan, std::uint32_t task) const {
        queue_spec queue;
        queue.service = {"desk"};
        auto body = envelope("offer", loan);
        body["queue"] = encode_queue(queue);
        body["spec"] = encode_spec(make_spec());
        body["accepted"] = wall_clock;
        body["occurrence"] = 0;
        body["step"] = 0;
        body["tasks"] = {{task, 0, json::array(), 0, ""}};
        return body;
    }

    // A loan of tasks 0 and 1 that this shard made.
    void lend(std::uint64_t number, const job_id& id = lent_job) {
        job_row job;
        job.id = id;
        job.queue.service = {"desk"};
        job.spec = make_spec();
        job.next_occurrence = 1;
        job.phase = job_phase::running;
        auto occurrence = make_occurrence(job.spec, 0);
        for (const auto index : {0U, 1U}) {
            occurrence.stages.front().tasks[index].loan = number;
            occurrence.stages.front().tasks[index].not_local = true;
        }
        job.occurrences.emplace(0, std::move(occurrence));
        job.loans[number] = {"west.0"};
        load_shard(shard, {{job_key(record.id, job.id), encode_job(job), {1}},
                           {progress_key(record.id, job.id), encode_progress(job), {2}}});
    }

    json returned(std::uint64_t loan, const std::vector<std::uint32_t>& tasks) const {
        auto body = envelope("result", loan);
        body["tasks"] = json::array();
        for (const auto index : tasks) {
            body["tasks"].push_back(
                {index, static_cast<int>(loan_result::returned), json::array(), 0, ""});
        }
        return body;
    }

    request_token receive(const json& body) {
        const auto token = next_token++;
        on_loan_message(shard, body, token, now, wall_clock);
        return token;
    }

    shard_actions step() {
        shard_actions actions;
        now += shard.timing.commit_delay;
        advance(shard, now, wall_clock, actions);
        return actions;
    }

    void apply() {
        transaction_reply reply;
        reply.applied = revision_number{++revision};
        on_commit_reply(shard, reply, now, now);
    }

    void change() { record_change(shard, shard.tables.jobs.at(lent_job), false, now); }
};

std::string find_answer(const shard_actions& actions, request_token token) {
    const auto found =
        std::find_if(actions.loan_answers.begin(), actions.loan_answers.end(),
                     [&](const loan_answer& answer) { return answer.token == token; });
    return found == actions.loan_answers.end() ? "" : found->state;
}

// Sends a message, and again while the record with its effect is being stored and keeps changing.
// Returns the answer to the repetition once that record is stored, or "early" if an answer came
// before.
std::string answer_to_repetition(loan_world& world, const json& body, const std::string& state) {
    const auto first = world.receive(body);
    auto actions = world.step();
    REQUIRE(actions.commit);
    const bool early = find_answer(actions, first) == state;
    world.change();
    const auto second = world.receive(body);
    const bool repeated_early = find_answer(world.step(), second) == state;
    world.change();
    world.apply();
    const auto answer = find_answer(world.step(), second);
    return early || repeated_early ? "early" : answer;
}

} // namespace

// A repeated offer waited for a newer version of the record each time: on a busy host, none was
// answered in time, and the lender took its tasks for unconfirmed although they were stored.
TEST_CASE("a repeated offer is answered once the loan is stored") {
    loan_world world;
    CHECK(answer_to_repetition(world, world.offer(7, 0), "taken") == "taken");
    // Its effect is stored, so that a further one is answered at once.
    world.change();
    const auto token = world.receive(world.offer(7, 0));
    CHECK(find_answer(world.step(), token) == "taken");
}

// The same for a withdrawal: a cancellation waited until the borrowed job had no changes.
TEST_CASE("a repeated withdrawal is answered once it is stored") {
    loan_world world;
    world.receive(world.offer(7, 0));
    world.receive(world.offer(8, 1));
    world.step();
    world.apply();
    CHECK(answer_to_repetition(world, world.envelope("withdraw", 7), "gone") == "gone");
    world.change();
    const auto token = world.receive(world.envelope("withdraw", 7));
    CHECK(find_answer(world.step(), token) == "gone");
}

// The same for results: the borrower kept tasks that the lender had already taken back.
TEST_CASE("a repeated result is answered once it is stored") {
    loan_world world;
    world.lend(7);
    CHECK(answer_to_repetition(world, world.returned(7, {0}), "settled") == "settled");
    world.step();
    world.apply();
    // This one closes the loan.
    CHECK(answer_to_repetition(world, world.returned(7, {1}), "settled") == "settled");
    world.change();
    const auto token = world.receive(world.returned(7, {1}));
    CHECK(find_answer(world.step(), token) == "settled");
}

// A repeated result changed the record again, so that a transaction stored it for nothing.
TEST_CASE("a repeated result changes no record") {
    loan_world world;
    world.lend(7);
    world.receive(world.returned(7, {0}));
    const auto version = world.shard.tables.jobs.at(lent_job).version;
    world.receive(world.returned(7, {0}));
    CHECK(world.shard.tables.jobs.at(lent_job).version == version);
}

// Each repetition added an answer that waited, for as long as the store didn't reply.
TEST_CASE("repeated messages do not add up to waiting answers") {
    loan_world world;
    world.receive(world.offer(7, 0));
    REQUIRE(world.step().commit);
    for (int repetition = 0; repetition < 50; ++repetition) {
        world.receive(world.offer(7, 0));
        world.step();
    }
    CHECK(world.shard.loan_answers.size() == 1);
}

// A shard that had returned all its tasks of a job refused new ones until the job's records were
// removed, which waited for all other changes: 6.9 s in a run on a user's bench.
TEST_CASE("an offer is taken while the removal of the job's records waits") {
    loan_world world;
    world.receive(world.offer(7, 0));
    world.step();
    world.apply();
    world.receive(world.envelope("withdraw", 7));
    world.step();
    world.apply();
    // The loan is removed, and then the job; another transaction is in flight meanwhile.
    world.step();
    REQUIRE(world.step().commit);
    world.apply();
    world.shard.commit.in_flight = true;
    world.step();
    REQUIRE(world.shard.to_purge == std::vector<job_id>{lent_job});
    world.shard.commit.in_flight = false;
    const auto token = world.receive(world.offer(8, 1));
    const auto actions = world.step();
    CHECK(find_answer(actions, token).empty());
    REQUIRE(actions.commit);
    CHECK(actions.commit->removals.empty());
    world.apply();
    CHECK(find_answer(world.step(), token) == "taken");
    CHECK(world.shard.tables.jobs.at(lent_job).borrowed.size() == 1);
}

// A transaction that removes the job's records may take effect, so that the tasks must not be
// taken before its outcome is known.
TEST_CASE("an offer is to be repeated while the job's records are being removed") {
    loan_world world;
    world.receive(world.offer(7, 0));
    world.step();
    world.apply();
    world.receive(world.envelope("withdraw", 7));
    world.step();
    world.apply();
    std::optional<store_transaction> sent;
    for (int round = 0; round < 5 && (!sent || sent->removals.empty()); ++round) {
        if (sent) {
            world.apply();
        }
        sent = world.step().commit;
    }
    REQUIRE(sent);
    REQUIRE_FALSE(sent->removals.empty());
    const auto refused = world.receive(world.offer(8, 1));
    CHECK(find_answer(world.step(), refused) == "retry");
    world.apply();
    world.step();
    REQUIRE_FALSE(world.shard.tables.jobs.contains(lent_job));
    world.receive(world.offer(8, 1));
    CHECK(world.shard.tables.jobs.contains(lent_job));
}

// A withdrawn loan was removed only once its job had no unstored changes.
TEST_CASE("a withdrawn loan is removed although its job keeps changing") {
    loan_world world;
    world.receive(world.offer(7, 0));
    world.receive(world.offer(8, 1));
    world.step();
    world.apply();
    world.receive(world.envelope("withdraw", 7));
    for (int round = 0; round < 4; ++round) {
        world.step();
        world.change();
        world.apply();
        world.change();
        world.step();
    }
    CHECK(world.shard.tables.jobs.at(lent_job).borrowed.size() == 1);
}

// The row of the job stayed behind, without a loan and never stored, and later offers of the job
// were added to it.
TEST_CASE("a malformed offer changes nothing") {
    loan_world world;
    auto no_task = world.offer(7, 0);
    no_task["tasks"].push_back({99, 0, json::array(), 0, ""});
    auto no_step = world.offer(7, 0);
    no_step["step"] = 5;
    auto no_list = world.offer(7, 0);
    no_list["tasks"] = "all";
    for (const auto& body : {no_task, no_step, no_list}) {
        CHECK_THROWS(world.receive(body));
        CHECK(world.shard.tables.jobs.empty());
        CHECK(world.shard.active.empty());
        CHECK(world.shard.unstored_borrowed_jobs.empty());
    }
    // The same offer in good order is taken.
    world.receive(world.offer(7, 0));
    CHECK(world.shard.tables.jobs.at(lent_job).borrowed.size() == 1);
}

// The result of one member completes a gang's occurrence; the next member's result threw, was
// repeated for ever, and the loan was never closed.
TEST_CASE("results of a gang close its loan although the first one completes the occurrence") {
    loan_world world;
    job_row job;
    job.id = lent_job;
    job.queue.service = {"desk"};
    job.spec = make_spec();
    job.spec.steps.front().long_running = false;
    job.spec.steps.front().gang = true;
    job.spec.steps.front().count = 2;
    job.spec.occurrences = 2;
    job.next_occurrence = 2;
    job.phase = job_phase::running;
    for (const auto number : {0U, 1U}) {
        job.occurrences.emplace(number, make_occurrence(job.spec, number));
    }
    for (const auto index : {0U, 1U}) {
        auto& task = job.occurrences.at(0).stages.front().tasks[index];
        task.loan = 7;
        task.not_local = true;
    }
    job.loans[7] = {"west.0"};
    load_shard(world.shard, {{job_key(world.record.id, job.id), encode_job(job), {1}},
                             {progress_key(world.record.id, job.id), encode_progress(job), {2}}});
    auto body = world.envelope("result", 7);
    body["tasks"] = json::array();
    for (const auto index : {0U, 1U}) {
        body["tasks"].push_back({index, static_cast<int>(loan_result::done), json::array(), 1, ""});
    }
    CHECK_NOTHROW(world.receive(body));
    CHECK(world.shard.tables.loans.empty());
    CHECK(world.shard.tables.jobs.at(lent_job).occurrences_done == 1);
}

// TWICE: a borrower of an earlier version starts the members again whose ends it hasn't seen.
TEST_CASE("members of a completed gang that were not reported are withdrawn from their borrower") {
    loan_world world;
    job_row job;
    job.id = lent_job;
    job.spec = make_spec();
    job.spec.steps.front().long_running = false;
    job.spec.steps.front().gang = true;
    job.spec.steps.push_back(job.spec.steps.front());
    job.spec.steps.back().after = {0};
    job.next_occurrence = 1;
    job.phase = job_phase::running;
    job.occurrences.emplace(0, make_occurrence(job.spec, 0));
    for (auto& task : job.occurrences.at(0).stages.front().tasks) {
        task.loan = 7;
        task.not_local = true;
    }
    job.loans[7] = {"west.0"};
    load_shard(world.shard, {{job_key(world.record.id, job.id), encode_job(job), {1}},
                             {progress_key(world.record.id, job.id), encode_progress(job), {2}}});
    auto body = world.envelope("result", 7);
    body["tasks"] = {{1, static_cast<int>(loan_result::done), json::array(), 1, ""}};
    world.receive(body);
    world.step();
    world.apply();
    const auto messages = world.step().loan_messages;
    REQUIRE(messages.size() == 1);
    CHECK(json::parse(messages.front().body).at("kind") == "withdraw");
}

// Tasks that no worker here could run were taken, and returned after 2.5 s. All other loans to the
// shard paused then.
TEST_CASE("an offer that no worker here could run is refused, and others go on") {
    loan_world world;
    worker_entry entry;
    entry.target = {{"w1"}, {"10.0.0.1", 1}};
    entry.service = {"desk"};
    entry.capacity = {{8'000}, {32'000}, {1}};
    on_worker_entry(world.shard, entry, world.now);
    const auto offer = [&](std::uint64_t loan, std::int64_t wanted, bool gang) {
        auto spec = make_spec();
        spec.steps.front().need.accelerators = {wanted};
        spec.steps.front().gang = gang;
        auto body = world.offer(loan, 0);
        body["job"] = "00000000000000a" + std::to_string(loan);
        body["spec"] = encode_spec(spec);
        return world.receive(body);
    };
    const auto too_large = offer(1, 2, false);
    const auto gang = offer(2, 1, true);
    CHECK(world.step().loan_answers.empty());
    world.apply(); // confirms that this is the shard's owner
    const auto actions = world.step();
    CHECK(find_answer(actions, too_large) == "refused");
    CHECK(find_answer(actions, gang) == "refused");
    CHECK(world.shard.tables.jobs.empty());
    const auto fitting = offer(3, 1, false);
    world.step();
    world.apply();
    CHECK(find_answer(world.step(), fitting) == "taken");
}

// The lender offers nothing to that shard for a while that needs as much.
TEST_CASE("a refusal concerns tasks that need as much") {
    loan_world world;
    auto& other = world.shard.other_shards[{"west.0"}];
    other.shard = {"west.0"};
    other.available = true;
    service_room room;
    room.service = {"desk"};
    room.free = room.largest = {{8'000}, {32'000}, {4}};
    other.rooms = {room};
    world.lend(7);
    auto& job = world.shard.tables.jobs.at(lent_job);
    const auto find = [&](std::int64_t wanted, const std::string& label) {
        auto& step = job.spec.steps.front();
        step.long_running = false;
        step.need.accelerators = {wanted};
        step.label = label;
        const auto& stage = job.occurrences.at(0).stages.front();
        return find_borrower(world.shard, job, stage, room_kind::free_now, world.now).first;
    };
    CHECK(find(2, "") != nullptr);
    on_loan_reply(world.shard, {{"west.0"}, 7, lent_job, ""}, std::string("refused"), world.now);
    CHECK(world.shard.tables.loans.empty());
    CHECK(find(2, "") == nullptr);
    CHECK(find(3, "") == nullptr);
    CHECK(find(1, "") != nullptr);
    CHECK(find(2, "kind-a") != nullptr);
    world.now += duration(3'000);
    CHECK(find(2, "") != nullptr);
}

// While an owner handed its shard over, each loan sent it a message every 400 ms: 564 calls failed
// in 5 s, at a tenth of a core, and submissions waited for it.
TEST_CASE("an owner that processes no loan messages gets one at a time") {
    loan_world world;
    constexpr std::size_t loans = 20;
    for (std::size_t number = 1; number <= loans; ++number) {
        world.lend(number, {fmt::format("{:016x}", number)});
    }
    auto messages = world.step().loan_messages;
    REQUIRE(messages.size() == loans);
    std::size_t sent = 0;
    std::set<std::uint64_t> tried;
    const auto until = world.now + duration(10'000);
    while (world.now < until) {
        for (const auto& message : messages) {
            on_loan_reply(world.shard, message, error{error_kind::unavailable, "simulated"},
                          world.now);
        }
        messages = world.step().loan_messages;
        sent += messages.size();
        for (const auto& message : messages) {
            tried.insert(message.loan);
        }
    }
    CHECK(sent <= 26);
    CHECK(sent >= loans);
    CHECK(tried.size() == loans); // one that always fails doesn't keep the others back
    for (const auto& message : messages) {
        on_loan_reply(world.shard, message, error{error_kind::unavailable, "simulated"}, world.now);
    }
    CHECK(world.step().loan_messages.empty());
    on_owner_changed(world.shard, {"west.0"}); // without a pause for the new owner
    messages = world.step().loan_messages;
    REQUIRE(messages.size() == 1);
    on_loan_reply(world.shard, messages.front(), std::string("taken"), world.now);
    CHECK(world.step().loan_messages.size() > loans / 2);
}
