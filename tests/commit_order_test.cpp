// The order in which changes of a shard's records are stored when they don't fit into one
// transaction.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
constexpr std::size_t job_count = 100;

job_id make_id(std::size_t number) {
    return {fmt::format("{:016x}", number)};
}

struct commit_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(1'000)};
    std::uint64_t revision = 10;
    request_token next_token = 1;
    shard_state shard;

    commit_world()
        : shard(make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log)) {
        std::vector<store_entry> entries;
        for (std::size_t number = 1; number <= job_count; ++number) {
            job_row job;
            job.id = make_id(number);
            job.queue.service = {"desk"};
            job.spec.steps.emplace_back();
            job.next_occurrence = 1;
            job.occurrences.emplace(0, make_occurrence(job.spec, 0));
            entries.push_back({job_key(record.id, job.id), encode_job(job), {1}});
            entries.push_back({progress_key(record.id, job.id), encode_progress(job), {2}});
        }
        load_shard(shard, entries);
        shard.commit.last_applied = now;
    }

    void change(std::size_t first, std::size_t last, bool urgent) {
        for (std::size_t number = first; number <= last; ++number) {
            record_change(shard, shard.tables.jobs.at(make_id(number)), urgent, now);
        }
    }

    void submit(std::size_t first, std::size_t last) {
        for (std::size_t number = first; number <= last; ++number) {
            job_spec spec;
            spec.steps.emplace_back();
            queue_spec queue;
            queue.service = {"desk"};
            submit_job(shard, make_id(number), queue, spec, {next_token++}, now, wall_clock);
        }
    }

    std::vector<std::string> accepted; // reasons of the answers to submissions that were accepted
    std::vector<job_id> reads;         // index entries that are to be read

    std::optional<store_transaction> send() {
        shard_actions actions;
        advance(shard, now, wall_clock, actions);
        for (const auto& answer : actions.submit_answers) {
            REQUIRE(answer.outcome == submit_outcome::accepted);
            accepted.push_back(answer.reason);
        }
        reads.insert(reads.end(), actions.index_reads.begin(), actions.index_reads.end());
        return actions.commit;
    }

    // Rejects the transaction that was sent: another shard has stored the job.
    void reject_for(std::size_t duplicate) {
        transaction_reply reply;
        reply.present = {{claim_key(record.id), "", shard.claim_revision},
                         {head_key(record.id), "", shard.head_revision},
                         {job_index_key(make_id(duplicate)), "west.0", {5}}};
        const auto sent = now;
        now += duration(20);
        on_commit_reply(shard, reply, sent, now);
    }

    void answer_read(std::size_t number, bool exists) {
        const auto key = job_index_key(make_id(number));
        const auto entry = exists ? std::optional(store_entry{key, "west.0", {5}}) : std::nullopt;
        on_index_read(shard, make_id(number), entry, now);
    }

    void apply() {
        transaction_reply reply;
        reply.applied = revision_number{++revision};
        const auto sent = now;
        now += duration(20);
        on_commit_reply(shard, reply, sent, now);
    }

    bool includes(const store_transaction& sent, std::size_t number) const {
        const auto key = progress_key(record.id, make_id(number));
        return std::any_of(sent.puts.begin(), sent.puts.end(),
                           [&](const auto& put) { return put.key == key; });
    }

    bool submits(const store_transaction& sent, std::size_t number) const {
        const auto key = job_key(record.id, make_id(number));
        return std::any_of(sent.puts.begin(), sent.puts.end(),
                           [&](const auto& put) { return put.key == key; });
    }

    // Returns the number of transactions until the change of a job is stored, at most `limit`.
    template <class Load>
    std::size_t count_until_stored(std::size_t number, std::size_t limit, Load add_load) {
        const auto version = shard.tables.jobs.at(make_id(number)).version;
        for (std::size_t count = 1; count <= limit; ++count) {
            now += shard.timing.commit_delay;
            add_load();
            if (send()) {
                apply();
            }
            if (shard.tables.jobs.at(make_id(number)).stored_version >= version) {
                return count;
            }
        }
        return limit + 1;
    }
};

} // namespace

// Changes were stored in the order of the jobs' ids: those of high ids waited for as long as jobs
// with lower ids kept changing, 20 s in a run on a user's bench.
TEST_CASE("a change is stored within few transactions whatever its job's id") {
    commit_world world;
    world.change(job_count, job_count, false);
    CHECK(world.count_until_stored(job_count, 30, [&] { world.change(1, 60, false); }) <= 1);

    world.change(1, 60, false);
    world.now += duration(1);
    world.change(job_count, job_count, false);
    CHECK(world.count_until_stored(job_count, 30, [&] { world.change(1, 60, true); }) <= 11);
}

// A loan waited for the progress of all jobs with lower ids, although another shard's owner, or
// its own, could do nothing before it was stored.
TEST_CASE("urgent changes are stored before others that have waited longer") {
    commit_world world;
    world.change(1, 90, false);
    world.now += duration(1);
    world.change(95, job_count, true);
    const auto sent = world.send();
    REQUIRE(sent);
    for (std::size_t number = 95; number <= job_count; ++number) {
        CHECK(world.includes(*sent, number));
    }
    // Those that are not urgent have a share as well.
    CHECK(world.includes(*sent, 1));
}

// Urgent changes that didn't fit into a transaction waited for the commit delay as if they were not
// urgent.
TEST_CASE("urgent changes that did not fit follow without delay") {
    commit_world world;
    world.change(1, 60, true);
    REQUIRE(world.send());
    world.apply();
    const auto next = world.send();
    REQUIRE(next);
    world.apply();
    CHECK(world.send());
}

// A burst of submissions left no room in the transactions for progress.
TEST_CASE("submissions and progress share each transaction") {
    commit_world world;
    world.change(1, 60, true);
    world.submit(201, 240);
    const auto sent = world.send();
    REQUIRE(sent);
    std::size_t changes = 0;
    std::size_t submissions = 0;
    for (std::size_t number = 1; number <= 240; ++number) {
        if (number <= job_count) {
            changes += world.includes(*sent, number) ? 1 : 0;
        } else {
            submissions += world.submits(*sent, number) ? 1 : 0;
        }
    }
    CHECK(changes >= 12);
    CHECK(submissions >= 4);
    CHECK(sent->conditions.size() + sent->puts.size() + sent->removals.size() <=
          max_transaction_entries);
}

// Busy owners stored jobs whose callers had been told seconds before that the outcome was unknown,
// while those of callers that still waited came too late as well.
TEST_CASE("a submission that can't be answered in time is refused unless it has been sent") {
    commit_world world;
    const auto add = [&](std::size_t number, request_token token) {
        job_spec spec;
        spec.steps.emplace_back();
        submit_job(world.shard, make_id(number), {}, spec, {token, world.now + duration(100)},
                   world.now, wall_clock);
    };
    add(301, 901);
    REQUIRE(world.send()); // stays unanswered
    add(302, 902);
    world.now += duration(100);
    shard_actions actions;
    advance(world.shard, world.now, wall_clock, actions);
    REQUIRE(actions.submit_answers.size() == 1);
    CHECK(actions.submit_answers.front().token == 902);
    CHECK(actions.submit_answers.front().outcome == submit_outcome::unavailable);
    world.apply();
    const auto next = world.send();
    CHECK_FALSE((next && world.submits(*next, 302)));
    CHECK(world.shard.tables.jobs.at(make_id(301)).spec_stored);
}

// Submissions were stored in the order of their ids, so that a caller with a high id waited until
// no other job was submitted.
TEST_CASE("the submission that has waited longest is stored first") {
    commit_world world;
    world.shard.commit.in_flight = true;
    submit_job(world.shard, make_id(999), {},
               [] {
                   job_spec spec;
                   spec.steps.emplace_back();
                   return spec;
               }(),
               {77}, world.now, {wall_clock.value - 1});
    world.shard.commit.in_flight = false;
    world.submit(201, 240);
    const auto sent = world.send();
    REQUIRE(sent);
    CHECK(world.submits(*sent, 999));
}

// The removal of a borrowed job's records waited for all progress; until then the shard refused
// the job's tasks.
TEST_CASE("removals are not displaced by progress") {
    commit_world world;
    world.shard.to_purge.push_back(make_id(job_count));
    world.change(1, 90, true);
    const auto sent = world.send();
    REQUIRE(sent);
    CHECK(std::any_of(sent->removals.begin(), sent->removals.end(), [&](const auto& key) {
        return key == progress_key(world.record.id, make_id(job_count));
    }));
}

// A change whose transaction wasn't applied, or that was made while its job's record was being
// stored, must be stored by a later transaction.
TEST_CASE("no change is forgotten when transactions fail or overlap with changes") {
    commit_world world;
    world.change(1, 40, false);
    world.now += world.shard.timing.commit_delay;
    const auto first = world.send();
    REQUIRE(first);
    REQUIRE(world.includes(*first, 1));
    on_commit_reply(world.shard, error{error_kind::unavailable, "simulated"}, world.now, world.now);
    world.now += world.shard.timing.commit_retry;
    const auto second = world.send();
    REQUIRE(second);
    CHECK(world.includes(*second, 1));
    world.change(1, 3, false);
    world.apply();
    for (int round = 0; round < 10; ++round) {
        world.now += world.shard.timing.commit_delay;
        if (world.send()) {
            world.apply();
        }
    }
    for (const auto& [id, job] : world.shard.tables.jobs) {
        CHECK(job.stored_version == job.version);
    }
    CHECK_FALSE(world.send());
}

// Jobs that another shard had stored had nearly every transaction rejected, one after the other,
// while new jobs waited for seconds in each of them again.
TEST_CASE("a duplicate does not have later transactions rejected, nor cost one itself") {
    commit_world world;
    world.submit(201, 204);
    const auto first = world.send();
    REQUIRE(first);
    CHECK(world.reads.empty()); // none before a duplicate was seen
    world.submit(205, 208);
    CHECK_FALSE(world.send());
    world.reject_for(201);
    // The store has just told that it lacks the others of the rejected transaction.
    const auto second = world.send();
    REQUIRE(second);
    CHECK(world.submits(*second, 202));
    CHECK_FALSE(world.submits(*second, 205));
    CHECK(world.reads == std::vector{make_id(205), make_id(206), make_id(207), make_id(208)});
    world.answer_read(205, true);
    world.answer_read(206, false);
    world.answer_read(202, true); // may be its own transaction, whose reply is late
    world.apply();
    const auto third = world.send();
    REQUIRE(third);
    CHECK(world.accepted == std::vector<std::string>{"duplicate", "duplicate", "", "", ""});
    CHECK(world.submits(*third, 206));
    CHECK_FALSE(world.submits(*third, 205));
    CHECK_FALSE(world.submits(*third, 207));
}

// A submission that waits is likely to be sent again, to another shard. A store that doesn't answer
// reads must not hold it back.
TEST_CASE("the index entries of submissions that wait for long are read, without waiting for it") {
    commit_world world;
    world.submit(201, 201);
    REQUIRE(world.send());
    world.submit(202, 240);
    world.now += duration(900);
    REQUIRE_FALSE(world.send());
    CHECK(world.reads.size() == 8);
    world.answer_read(202, true);
    world.answer_read(203, false);
    world.now += duration(300);
    world.apply();
    const auto next = world.send();
    REQUIRE(next);
    CHECK(world.accepted == std::vector<std::string>{"duplicate", ""});
    CHECK(world.submits(*next, 203));
    CHECK(world.submits(*next, 204)); // its read has no answer
    CHECK_FALSE(world.submits(*next, 240));
}
