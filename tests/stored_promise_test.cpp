// What an owner's promise to leave a worker alone must not hide from its successor: runs of a
// former owner at the address that the stored list named first, and owners that no record tells
// apart.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
const shard_record the_shard{{"a.0"}, {"a"}, {{"r1"}}};
const worker_id the_worker{"w1"};
const socket_address old_address{"10.0.0.1", 1};
const socket_address new_address{"10.0.0.2", 1};

// An owner that has loaded the shard at `now`.
struct owner_world {
    metrics counters;
    decision_log log{"", {}, {}};
    time_point now{duration(100'000)};
    shard_state shard;

    owner_world(epoch_number epoch, const std::vector<store_entry>& entries)
        : shard(make_shard(the_shard, {"b1/2"}, epoch, {1}, {}, counters, log)) {
        shard.witnesses = {{{"b1"}, {"a1"}}, {{"b1"}}};
        load_shard(shard, entries);
        shard.loaded_at = now;
        shard.commit.last_applied = now;
    }

    // Passes time while the store applies each transaction and no worker answers.
    void pass(duration time, std::vector<store_entry>& stored) {
        constexpr duration step{100};
        for (duration passed{0}; passed < time; passed += step) {
            now += step;
            shard.claim_confirmed = now;
            shard_actions actions;
            advance(shard, now, wall_clock, actions);
            for (const auto& hold : actions.holds) {
                on_hold_reply(shard, hold.target.id, error{error_kind::timeout, ""}, now, now,
                              wall_clock);
            }
            if (actions.commit) {
                for (const auto& put : actions.commit->puts) {
                    std::erase_if(stored, [&](const auto& row) { return row.key == put.key; });
                    stored.push_back({put.key, put.value, {++revision}});
                }
                transaction_reply reply;
                reply.applied = revision_number{++revision};
                on_commit_reply(shard, reply, now, now);
            }
        }
    }

    std::uint64_t revision = 10;
};

} // namespace

// A promise of the owner between covered the new address only, and the successor started tasks
// while the process at the old one still held a lease of the first owner.
TEST_CASE("a worker's new address doesn't end the wait for leases at the old one") {
    const bool moves = GENERATE(false, true);
    CAPTURE(moves);
    ownership_record former{{{1}, {"a1/1"}, {{{"a1"}, {"b1"}}, {{"a1"}}}}, {}};
    std::vector<store_entry> stored{
        {worker_list_key(the_shard.id),
         encode(std::vector<known_worker>{{{the_worker, old_address}, {1}}}),
         {1}},
        {ownership_key(the_shard.id), encode(former), {1}}};
    owner_world between({2}, stored);
    worker_entry entry;
    entry.target = {the_worker, moves ? new_address : old_address};
    entry.data_centre = {"a"};
    on_worker_entry(between.shard, entry, between.now);
    between.pass(duration(1'000), stored);
    owner_world last({3}, stored);
    last.pass(duration(500), stored);
    CHECK_FALSE(last.shard.takeover_complete);
    CHECK(last.shard.unreached_workers.contains(the_worker));
}

// Without witnesses no record tells the former owners apart, and the promise of the last one hid
// the leases of those before it.
TEST_CASE("without witnesses, a promise of the last owner doesn't end the wait for earlier ones") {
    std::vector<store_entry> stored{
        {worker_list_key(the_shard.id),
         encode(std::vector<known_worker>{{{the_worker, old_address}, {1}}}),
         {1}}};
    owner_world between({2}, stored);
    between.shard.witnesses = {};
    between.pass(duration(1'000), stored);
    owner_world last({3}, stored);
    last.shard.witnesses = {};
    last.pass(duration(500), stored);
    CHECK_FALSE(last.shard.takeover_complete);
    CHECK(last.shard.unreached_workers.contains(the_worker));
}
