// What rules a former owner of a shard out: its workers, its witnesses, the limit that it stored,
// or an operator.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};

// By the design: 15 s, of which 2.5 s until the former owner stops, 6.3 s for the longest lease
// that a restarted worker takes from its last command, and the rest for that command to arrive.
constexpr duration refusal_limit{15'200};

// A shard that its second owner has loaded, with three workers in the stored list.
struct takeover_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"a.0"}, {"a"}, {{"r1"}}};
    time_point now{duration(100'000)};
    shard_state shard;

    explicit takeover_world(const std::optional<ownership_record>& former, epoch_number since)
        : shard(make_shard(record, {"b1/2"}, {2}, {1}, {}, counters, log)) {
        std::vector<known_worker> listed;
        for (const auto* id : {"w1", "w2", "w3"}) {
            listed.push_back({{{id}, {"10.0.0.1", 1}}, since});
        }
        std::vector<store_entry> entries{{worker_list_key(record.id), encode(listed), {1}}};
        if (former) {
            entries.push_back({ownership_key(record.id), encode(*former), {1}});
        }
        load_shard(shard, entries);
        shard.loaded_at = now;
        shard.claim_confirmed = now;
        shard.timing.isolated_limit = shard.timing.unconfirmed_limit;
    }

    void pass(duration time) {
        constexpr duration step{100};
        for (duration passed{0}; passed < time; passed += step) {
            now += step;
            shard.claim_confirmed = now;
            shard_actions actions;
            advance(shard, now, wall_clock, actions);
        }
    }

    // Another worker answers at the worker's address, and its entry goes.
    void replace(const std::string& id) {
        hold_reply reply;
        reply.outcome = command_outcome::other_incarnation;
        on_hold_reply(shard, {id}, reply, now, now, wall_clock);
        on_worker_unlisted(shard, {id}, now);
    }
};

} // namespace

// A takeover by the workers' answers never ended: a worker that had been replaced was forgotten
// when its entry went, and then counted as one that may still accept the former owner.
TEST_CASE("a replaced worker rules a former owner out until the takeover is complete") {
    takeover_world world(std::nullopt, {0}); // listed by an earlier version
    for (const auto* id : {"w1", "w2", "w3"}) {
        worker_entry entry;
        entry.target = {{id}, {"10.0.0.1", 1}};
        entry.data_centre = {"a"};
        on_worker_entry(world.shard, entry, world.now);
    }
    world.replace("w1");
    world.replace("w2");
    world.pass(refusal_limit - duration(200));
    CHECK_FALSE(world.shard.takeover_complete);
    world.pass(duration(200));
    CHECK(world.shard.takeover_complete);
    world.replace("w1");
    world.pass(duration(1'000));
    CHECK_FALSE(world.shard.tables.workers.contains({"w1"}));
}

namespace {

ownership_record make_record(owner_term::support support, witness_sets witnesses) {
    owner_term term{{1}, {"a1/1"}, std::move(witnesses)};
    term.rests_on = support;
    return {std::move(term), {}};
}

const witness_sets witnesses{{{"a1"}, {"a2"}, {"b1"}, {"c1"}}, {{"a1"}, {"a2"}}};

} // namespace

// A data centre that is cut off goes on with its own hosts, so those of the others alone must not
// rule its owner out.
TEST_CASE("a former owner is ruled out by half of its spread and half of its local witnesses") {
    takeover_world world(make_record(owner_term::support::either_witnesses, witnesses), {1});
    CHECK(find_unfenced_witnesses(world.shard) == all_witnesses(witnesses));
    on_witness_fenced(world.shard, {"b1"}, world.now, world.now);
    on_witness_fenced(world.shard, {"c1"}, world.now, world.now);
    world.pass(duration(60'000));
    CHECK_FALSE(world.shard.takeover_complete);
    CHECK(find_unfenced_witnesses(world.shard) == witnesses.local);
    on_witness_fenced(world.shard, {"a2"}, world.now, world.now);
    world.pass(refusal_limit - duration(200));
    CHECK_FALSE(world.shard.takeover_complete);
    world.pass(duration(200));
    CHECK(world.shard.takeover_complete);
}

// An owner of an earlier version stops when half of its spread witnesses refuse it.
TEST_CASE("a former owner without local witnesses is ruled out by half of the spread ones") {
    takeover_world world(make_record(owner_term::support::spread_witnesses, {witnesses.spread, {}}),
                         {1});
    on_witness_fenced(world.shard, {"b1"}, world.now, world.now);
    on_witness_fenced(world.shard, {"c1"}, world.now, world.now);
    world.pass(refusal_limit - duration(200));
    CHECK_FALSE(world.shard.takeover_complete);
    world.pass(duration(200));
    CHECK(world.shard.takeover_complete);
}

// A successor with another setting must not start tasks while the former owner goes on.
TEST_CASE("a takeover waits for the limit that the former owner stored") {
    for (const duration stored : {duration(60'000), duration(900'000)}) {
        auto record = make_record(owner_term::support::either_witnesses, witnesses);
        record.current.limit = stored;
        record.current.isolated_limit = stored;
        takeover_world world(record, {1});
        world.shard.timing.unconfirmed_limit = duration(300'000);
        const auto limit = std::max(stored, duration(300'000));
        const auto found = find_takeover_limit(world.shard);
        REQUIRE(found);
        // The confirmation window, and what a last command may take with 2% for slow clocks.
        CHECK(*found >= world.now + limit * 102 / 100 + refusal_limit - duration(200));
        CHECK(*found <= world.now + limit * 102 / 100 + refusal_limit);
    }
}

// LOST: the limit counted from the claim, which comes up to 9 s after the owner's last transaction.
TEST_CASE("the limit counts from the last transaction that the former owner can have made") {
    constexpr duration limit{20'000};
    for (const bool recorded : {true, false}) {
        INFO("the record says that it does: " << recorded);
        auto record = make_record(owner_term::support::either_witnesses, witnesses);
        record.current.limit = limit;
        record.current.limit_from_transaction = recorded; // earlier versions don't
        takeover_world world(record, {1});
        world.shard.timing.unconfirmed_limit = limit;
        world.shard.predecessors_stored_by = world.now - duration(9'000);
        const auto since = recorded ? world.now - duration(9'000) : world.now;
        const auto found = find_takeover_limit(world.shard);
        REQUIRE(found);
        CHECK(*found >= since + limit * 102 / 100 + refusal_limit - duration(200));
        CHECK(*found <= since + limit * 102 / 100 + refusal_limit);
        // The store may have confirmed the former owner until the claim.
        world.shard.predecessors_stored_by = world.now - duration(90'000);
        CHECK(*find_takeover_limit(world.shard) >= world.now + refusal_limit - duration(200));
    }
}

// Guards against an owner that goes on beyond its limit because it can still read its claim: its
// successor sees only transactions.
TEST_CASE("an owner that the store doesn't confirm stops by its limit from its last transaction") {
    auto record = make_record(owner_term::support::either_witnesses, {});
    record.current.epoch = {2};
    takeover_world world(record, {1});
    auto& shard = world.shard;
    shard.timing.unconfirmed_limit = duration(20'000);
    shard.unreached_workers.clear();
    const auto accept = [&] {
        for (auto& [id, worker] : shard.tables.workers) {
            worker.clock = worker_clock{1};
            worker.clock_at = world.now;
        }
    };
    const auto stored = world.now;
    shard.claim_confirmed = stored + duration(10'000); // by a read
    world.now = stored + duration(15'000);
    accept();
    CHECK_FALSE(has_authority(shard, world.now)); // it has stored nothing
    shard.commit.last_applied = stored;
    CHECK(has_authority(shard, world.now));
    world.now = stored + duration(20'000);
    accept();
    CHECK(has_authority(shard, world.now));
    world.now += duration(1);
    CHECK_FALSE(has_authority(shard, world.now));
}

// LOST: the tasks of a data centre that was cut off and had lost its hosts waited for the limit for
// outages of the store, although hosts elsewhere had told that they confirmed its owner no more.
TEST_CASE("a former owner that only local witnesses may confirm is waited for by its own limit") {
    constexpr duration limit{20'000};
    const witness_sets several{{{"a1"}, {"a2"}, {"a3"}, {"b1"}, {"b2"}, {"b3"}, {"c1"}},
                               {{"a1"}, {"a2"}, {"a3"}},
                               {{{"b"}, {{"b1"}, {"b2"}, {"b3"}}}, {{"c"}, {{"c1"}}}}};
    auto record = make_record(owner_term::support::either_witnesses, several);
    record.current.isolated_limit = limit;
    record.current.limit_from_transaction = true;
    for (const std::int64_t confirmed : {3'000, 30'000}) {
        INFO("most witnesses in b confirmed it " << confirmed << " ms ago");
        takeover_world world(record, {1});
        world.shard.timing.isolated_limit = limit;
        world.shard.predecessors_stored_by = world.now - duration(9'000);
        const auto long_limit = duration(600'000) * 102 / 100 - duration(9'000) + refusal_limit;
        on_witness_fenced(world.shard, {"b1"}, world.now, world.now - duration(confirmed));
        // Most of those in b and the one in c may still confirm it.
        CHECK(*find_takeover_limit(world.shard) >= world.now + long_limit - duration(200));
        on_witness_fenced(world.shard, {"b2"}, world.now, world.now - duration(confirmed + 500));
        const auto since = std::min<std::int64_t>(confirmed, 9'000);
        const auto expected = world.now - duration(since) + limit * 102 / 100 + refusal_limit;
        CHECK(*find_takeover_limit(world.shard) >= expected - duration(200));
        CHECK(*find_takeover_limit(world.shard) <= expected);
    }
}

// Guards against an owner that outlasts the wait of its successor, in any combination of what its
// witnesses confirmed and when.
TEST_CASE("an owner that only its local witnesses confirm stops by its limit") {
    constexpr duration limit{20'000};
    auto record = make_record(owner_term::support::either_witnesses, witnesses);
    record.current.epoch = {2};
    record.current.owner = {"b1/2"};
    record.current.isolated_limit = limit;
    record.current.witnesses = {
        {{"b1"}, {"b2"}, {"a1"}, {"c1"}}, {{"b1"}, {"b2"}}, {{{"a"}, {{"a1"}}}, {{"c"}, {{"c1"}}}}};
    const duration step{500};
    for (const std::int64_t confirmed : {0, 2'000, 12'000, 40'000}) {
        INFO("both other data centres confirmed it until " << confirmed << " ms");
        takeover_world world(record, {1});
        auto& shard = world.shard;
        shard.timing.isolated_limit = limit;
        shard.witnesses = record.current.witnesses;
        shard.unreached_workers.clear();
        const auto stored = world.now;
        shard.commit.last_applied = stored;
        shard.claim_confirmed.reset();
        time_point last = stored;
        for (; world.now < stored + duration(100'000); world.now += step) {
            for (auto& [id, worker] : shard.tables.workers) {
                worker.clock = worker_clock{1};
                worker.clock_at = world.now;
            }
            on_witness_confirmed(shard, {"b2"}, world.now);
            on_witness_confirmed(shard, {"a1"}, world.now);
            if (world.now <= stored + duration(confirmed)) {
                on_witness_confirmed(shard, {"c1"}, world.now);
            }
            last = has_authority(shard, world.now) ? world.now : last;
        }
        CHECK((last - stored).count() == confirmed + limit.count());
    }
}

// LOST: each owner of a chain waited for the whole limit again.
TEST_CASE("a successor waits only for what is left of a former owner's limit") {
    auto record = make_record(owner_term::support::either_witnesses, witnesses);
    takeover_world first(record, {1});
    first.shard.witnesses = {{{"b1"}}, {{"b1"}}};
    std::optional<ownership_record> stored;
    const auto begin = first.now;
    while (first.now < begin + duration(200'000)) {
        first.now += duration(100);
        shard_actions actions;
        advance(first.shard, first.now, wall_clock, actions);
        if (!actions.commit) {
            continue;
        }
        for (const auto& row : actions.commit->puts) {
            if (row.key == ownership_key(first.record.id)) {
                stored = parse_ownership(row.value).value();
            }
        }
        on_commit_reply(first.shard, transaction_reply{revision_number{2}, {}}, first.now,
                        first.now);
    }
    REQUIRE(stored);
    takeover_world second(stored, {1});
    second.pass(duration(100));
    const auto left = *find_takeover_limit(first.shard) - first.now;
    REQUIRE(second.shard.former_owners.size() == 2);
    REQUIRE(second.shard.former_owners.front().leases_end);
    const auto rest = *second.shard.former_owners.front().leases_end - second.shard.loaded_at;
    CHECK(rest >= left);
    CHECK(rest <= left + duration(5'000));
}

// LOST: a takeover with a worker that is gone for good lasted 25 s, as it waited for commands that
// are executed late; jobs without any run count as lost 21 s after the last disruption.
TEST_CASE("a takeover with a silent worker ends within its target") {
    constexpr duration target{15'000};
    for (const duration longest : {duration(6'000), duration(10'000)}) {
        shard_timing timing;
        timing.longest_lease = longest;
        CHECK(usual_takeover_limit(timing) <= target);
        CHECK(usual_takeover_limit(timing) >=
              timing.confirmation_window + longest + duration(1'700));
    }
}

TEST_CASE("the record of a shard's owners is read back, and one of an earlier version") {
    auto record = make_record(owner_term::support::either_witnesses, witnesses);
    record.current.limit = duration(120'000);
    record.current.isolated_limit = duration(12'000);
    record.current.witnesses.elsewhere = {{{"b"}, {{"b1"}}}, {{"c"}, {{"c1"}}}};
    record.earlier.push_back(make_record(owner_term::support::workers, {}).current);
    const auto read = parse_ownership(encode(record));
    REQUIRE(read);
    CHECK(read.value() == record);
    const auto earlier = parse_ownership(
        R"({"current":{"epoch":1,"owner":"a1/1","witnesses":["a1","b1"],"rests_on":0},"earlier":[]})");
    REQUIRE(earlier);
    CHECK(earlier.value().current.rests_on == owner_term::support::spread_witnesses);
    CHECK(earlier.value().current.witnesses.spread.size() == 2);
    CHECK(earlier.value().current.witnesses.local.empty());
    CHECK(earlier.value().current.limit == duration(600'000));
    CHECK(earlier.value().current.isolated_limit == duration(600'000));
    const auto one_limit = parse_ownership(
        R"({"current":{"epoch":1,"owner":"a1/1","witnesses":["a1"],"local":["a1"],"rests_on":3,)"
        R"("limit_ms":60000,"limit_from_transaction":true},"earlier":[]})");
    REQUIRE(one_limit);
    CHECK(one_limit.value().current.isolated_limit == duration(60'000));
}

// TWICE: an owner that learned late that a transaction had been applied counted its limit from the
// attempt that told it so, while its successor counts from when it first read that transaction.
TEST_CASE("the limit counts from the attempt that was applied, not from the one that showed it") {
    constexpr duration limit{20'000};
    auto record = make_record(owner_term::support::either_witnesses, witnesses);
    record.current.limit = limit;
    record.current.limit_from_transaction = true;
    takeover_world owner(record, {1});
    auto& shard = owner.shard;
    shard.timing.unconfirmed_limit = limit;
    shard.witnesses = {{{"b1"}}, {{"b1"}}}; // its own host, as in a data centre that is cut off
    std::optional<store_transaction> transaction;
    const auto send = [&] {
        for (int i = 0; i < 100; ++i) {
            owner.now += duration(100);
            shard_actions actions;
            advance(shard, owner.now, wall_clock, actions);
            if (actions.commit) {
                transaction = actions.commit;
                return owner.now;
            }
        }
        FAIL("no transaction");
        return owner.now;
    };
    const auto first = send();
    // The store applies it at once; the reply is lost, and calls fail for a while.
    on_commit_reply(shard, error{error_kind::outcome_unknown, ""}, first, owner.now);
    const auto read_by_successor = first + duration(1'000);
    owner.now = first + duration(60'000);
    const auto second = send();
    transaction_reply applied_before;
    applied_before.present.push_back({claim_key(shard.id), "", shard.claim_revision});
    for (const auto& row : transaction->puts) {
        if (row.key == head_key(shard.id)) {
            applied_before.present.push_back({row.key, row.value, {7}});
        }
    }
    on_commit_reply(shard, applied_before, second, owner.now);
    REQUIRE_FALSE(shard.ownership_lost);
    REQUIRE(shard.stored_ownership.current.limit_from_transaction);

    // The successor claims right after; the head hasn't changed since it read it first.
    takeover_world successor(shard.stored_ownership, {1});
    successor.shard.loaded_at = owner.now + duration(100);
    successor.shard.timing.unconfirmed_limit = limit;
    successor.shard.predecessors_stored_by = read_by_successor;
    const auto complete = *find_takeover_limit(successor.shard);
    // No lease of the former owner ends later if the last is granted a confirmation window and the
    // longest time for a lease earlier.
    const auto last_grant = complete - usual_takeover_limit(shard.timing);
    owner.now = last_grant + duration(5'000);
    for (auto& [id, worker] : shard.tables.workers) {
        worker.clock = worker_clock{1};
        worker.clock_at = owner.now;
    }
    CAPTURE((complete - second).count(), (*shard.commit.last_applied - first).count());
    CHECK(shard.commit.last_applied <= read_by_successor);
    CHECK_FALSE(has_authority(shard, owner.now));
    owner.now = complete + duration(1);
    for (auto& [id, worker] : shard.tables.workers) {
        worker.clock_at = owner.now;
    }
    CHECK_FALSE(has_authority(shard, owner.now));
}

// Guards against store traffic for as long as the limit: the third owner of a chain writes the
// worker list with each transaction, as the inherited end by the limit counts as a near one.
TEST_CASE("an inherited end that is far away isn't written with each transaction") {
    auto record = make_record(owner_term::support::either_witnesses, witnesses);
    record.current.epoch = {1};
    for (const bool inherited : {false, true}) {
        auto former = record;
        if (inherited) {
            former.current.leases_end_in = duration(500'000);
            former.earlier.push_back(former.current);
            former.current = {{2}, {"a2/1"}, witnesses};
        }
        takeover_world world(former, {1});
        world.shard.witnesses = {{{"b1"}}, {{"b1"}}};
        std::size_t transactions = 0;
        std::size_t lists = 0;
        const auto begin = world.now;
        while (world.now < begin + duration(120'000)) {
            world.now += duration(100);
            world.shard.claim_confirmed = world.now;
            shard_actions actions;
            advance(world.shard, world.now, wall_clock, actions);
            if (!actions.commit) {
                continue;
            }
            ++transactions;
            for (const auto& row : actions.commit->puts) {
                lists += row.key == worker_list_key(world.record.id) ? 1 : 0;
            }
            on_commit_reply(world.shard, transaction_reply{revision_number{2}, {}}, world.now,
                            world.now);
        }
        CAPTURE(inherited, transactions, lists);
        CHECK_FALSE(world.shard.takeover_complete);
        CHECK(lists <= 120 / 3 + 5);
    }
}
