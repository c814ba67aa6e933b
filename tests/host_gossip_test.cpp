// Datagrams between hosts.
#include "host_gossip.hpp"
#include "shard_internal.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

// The receiver truncates datagrams above the limit and then can't parse them; hosts that can't read
// each other's status claim each other's shards.
TEST_CASE("a status of 60 shards fits into a datagram and is read back") {
    constexpr std::size_t shards = 60;
    host_status status;
    status.name = {"frontend-centro-a-12"};
    status.incarnation = "cfd6f53b4742ef57";
    for (std::size_t i = 0; i < shards; ++i) {
        shard_status shard;
        shard.id = {"centro-a." + std::to_string(i)};
        shard.epoch = {100};
        shard.loads = {{{"mesa-despeje"}, 512'000, 400'000, 300'000, 200'000}};
        service_room room;
        room.service = {"mesa-despeje"};
        room.free = {{100'000}, {400'000}, {0}};
        room.largest = {{30'000}, {120'000}, {0}};
        room.long_running.assign(8, room.largest);
        room.fillers = 200'000;
        for (int image = 0; image < 9; ++image) {
            room.undisturbing_rooms["2e437" + std::to_string(image)] = 100'000;
        }
        // More kinds of workers and more unlike ones than are published.
        for (std::int64_t kind = 0; kind < 20; ++kind) {
            worker_class workers{{"kind-" + std::to_string(kind)}, false, 24, {}, {}, room.free};
            for (std::int64_t size = 0; size < 20; ++size) {
                const resources unlike{{100'000 + size}, {400'000 - size}, {kind}};
                workers.capacity.push_back(unlike);
                workers.free.push_back(unlike);
            }
            room.classes.push_back(workers);
        }
        shard.rooms = {room};
        shard.effects.assign(80, {"d8ccdd", "2e437d", 12.34, 0.56});
        status.shards.push_back(shard);
    }
    limit_details(status);
    const auto datagram = encode(status);
    CHECK(datagram.size() <= datagram_limit_bytes);
    const auto read = parse_host_status(datagram);
    REQUIRE(read);
    REQUIRE(read.value().shards.size() == shards);
    CHECK(read.value().shards.back().rooms.front().long_running.size() == 8);
    CHECK(read.value().shards.back().rooms.front().long_running.back().memory.value == 120'000);
    const auto& classes = read.value().shards.back().rooms.front().classes;
    step_spec step;
    step.need = {{100'019}, {399'981}, {19}};
    for (const auto* label : {"kind-0", "kind-1", "kind-19"}) {
        step.label = label;
        step.need.accelerators = {label == std::string("kind-0") ? 0 : 1};
        INFO(label);
        CHECK(could_run(classes, {}, step));
    }
    CHECK(classes.back().total_free.memory.value >= 400'000);
    // Hosts that own no shard get the capacities as well, to hand jobs in where they can run.
    auto brief = status;
    drop_owner_details(brief);
    const auto received = parse_host_status(encode(brief));
    REQUIRE(received);
    CHECK(could_run(received.value().shards.back().rooms.front().classes, {}, step));
}

// Other shards lent tasks for the room of a worker that got no starts after failed runs. Its room
// was the largest of all because of that, and the tasks were returned.
TEST_CASE("a worker that gets no starts for now offers no room to other shards") {
    metrics counters;
    decision_log log("", {}, {});
    const time_point now{duration(1'000)};
    const shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    auto shard = make_shard(record, {"host/1"}, {1}, {1}, {}, counters, log);
    load_shard(shard, {});
    for (const auto* id : {"paused", "busy"}) {
        worker_entry entry;
        entry.target = {{id}, {"10.0.0.1", 1}};
        entry.service = {"desk"};
        entry.capacity = {{8'000}, {32'000}, {0}};
        on_worker_entry(shard, entry, now);
        hold_reply report;
        report.clock = {1'000};
        on_hold_reply(shard, entry.target.id, report, now, now, unix_time{1'700'000'000'000});
    }
    shard.tables.workers.at({"busy"}).committed.processors.value = 6'000;
    auto& paused = shard.tables.workers.at({"paused"});
    paused.no_starts_before = now + duration(500);

    const auto room = summarize(shard, now).rooms.at(0);
    CHECK(room.largest.processors.value == 2'000);
    CHECK(room.free.processors.value == 2'000);
    CHECK(room.fillers == 8'000); // fillers also use what other tasks reserve and leave idle
    CHECK(room.long_running.size() == 1);
    CHECK(summarize(shard, now).loads.at(0).capacity == 16'000);

    const auto later = summarize(shard, paused.no_starts_before).rooms.at(0);
    CHECK(later.largest.processors.value == 8'000);
    CHECK(later.fillers == 16'000);
    CHECK(later.long_running.size() == 2);
}
