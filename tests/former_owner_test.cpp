// What rules a former owner of a shard out: its workers, its witnesses, the limit that it stored,
// or an operator.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};

// By the design: 2.5 s until the former owner stops, 5 s for its leases, and their margins.
constexpr duration refusal_limit{8'000};

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
    world.pass(refusal_limit);
    CHECK(world.shard.takeover_complete);
    world.replace("w1");
    world.pass(duration(1'000));
    CHECK_FALSE(world.shard.tables.workers.contains({"w1"}));
}
