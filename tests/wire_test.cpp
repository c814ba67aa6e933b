// What other programs write for this one: entries of workers, orders, submissions and replies.
#include "wire.hpp"

#include "host_gossip.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fulmar;
using namespace fulmar::platform;

namespace {

constexpr std::size_t largest_value = 1 << 20;

json make_entry() {
    return {{"address", "10.0.0.1:8080"},
            {"service", "desk"},
            {"zone", "centro-a"},
            {"state", "ready"},
            {"born", 1'700'000'000'000},
            {"seqNo", 7},
            {"capacity", {{"cpu", 8000}, {"memMb", 32000}}},
            {"labels", {"a", "r1-3"}}};
}

bool accepts(const json& entry, const std::string& id = "i-1") {
    return parse_worker_entry(id, entry.dump()).has_value();
}

// Returns whether the text can be part of a log line or of a JSON text.
bool is_printable(const std::string& text) {
    return text.size() < 1'000 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

} // namespace

// A worker with a capacity beyond 64 bits had either an immense or a negative one, depending on the
// processor of the host, and made the sums over all workers overflow.
TEST_CASE("a worker's entry with a number out of range names no worker") {
    CHECK(accepts(make_entry()));
    for (const char* name : {"cpu", "memMb", "gpu"}) {
        for (const json& number : {json(1e300), json(-1e300), json(9.3e18), json(INT64_MAX),
                                   json(UINT64_MAX), json(-1), json("8000"), json(true)}) {
            INFO(name << " " << number.dump());
            auto entry = make_entry();
            entry["capacity"][name] = number;
            CHECK_FALSE(accepts(entry));
        }
    }
    for (const char* name : {"born", "remainingMs"}) {
        for (const json& number : {json(1e300), json(-1e300), json(UINT64_MAX), json(INT64_MIN)}) {
            INFO(name << " " << number.dump());
            auto entry = make_entry();
            entry[name] = number;
            CHECK_FALSE(accepts(entry));
        }
    }
    CHECK_FALSE(parse_worker_entry("i-1", R"({"capacity":{"cpu":1e999}})"));
}

// A host that takes an unusable address for a worker's calls it without end, and its tasks wait for
// a worker that doesn't exist.
TEST_CASE("a worker's entry without a usable address names no worker") {
    for (const char* address :
         {"10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:99999999999999999999", "10.0.0.1:-1",
          "10.0.0.1:", "10.0.0.1", "", "worker:80", "10.0.0.1:80 ", "10.0.0.300:80", "[::1]:80"}) {
        INFO(address);
        auto entry = make_entry();
        entry["address"] = address;
        CHECK_FALSE(accepts(entry));
    }
    auto entry = make_entry();
    entry["address"] = std::string("10.0.0.1\0.example:80", 20);
    CHECK_FALSE(accepts(entry));
    entry["address"] = 80;
    CHECK_FALSE(accepts(entry));
}

// The zone and the rack become part of the shard list and of the keys of a shard. If the store
// can't store these, no new worker gets a shard. The id becomes part of a header.
TEST_CASE("a worker's entry with names that can't be part of a key names no worker") {
    for (const auto& name : {std::string(), std::string(200, 'z'), std::string("a/b"),
                             std::string("a b"), std::string("a\r\nb"), std::string("a\"b")}) {
        INFO(name);
        CHECK_FALSE(accepts(make_entry(), name));
        auto entry = make_entry();
        entry["zone"] = name;
        CHECK_FALSE(accepts(entry));
        entry = make_entry();
        entry["service"] = name;
        CHECK_FALSE(accepts(entry));
        entry = make_entry();
        entry["labels"][1] = name;
        CHECK_FALSE(accepts(entry));
    }
}

// Building the tree of one deeply nested value takes more than a small host's memory allows, and
// parsers that recurse exhaust the stack.
TEST_CASE("deeply nested values are rejected") {
    for (const auto& open : {std::string("["), std::string(R"({"a":)")}) {
        std::string text;
        while (text.size() + open.size() <= largest_value) {
            text += open;
        }
        CHECK_FALSE(parse_worker_entry("i-1", text));
        CHECK_FALSE(parse_job_body(text));
        CHECK_FALSE(parse_config(text));
        CHECK(decode_command_reply(200, text).outcome == command_outcome::done);
        CHECK_FALSE(decode_hold_reply(200, text));
    }
    auto entry = make_entry();
    json nested = 1;
    for (int i = 0; i < 60; ++i) {
        nested = json::array({nested});
    }
    entry["extra"] = nested;
    CHECK_FALSE(accepts(entry));
}

// A datagram of 60,000 nested arrays ended the process: the parser of MessagePack recurses.
TEST_CASE("a deeply nested datagram is rejected") {
    CHECK_FALSE(parse_host_status(std::string(60'000, '\x91')));
}

// The parser's message quotes the rejected text. Writing that into a reply or a log line failed
// with an exception, or broke the line.
TEST_CASE("the reason why a text is rejected is printable") {
    for (const auto& text :
         {std::string("{\"taskSpec\":\"\xff\xfe\"}"), std::string("\xc3\x28"),
          std::string("\"") + std::string(largest_value, 'x'), std::string("\"\n\"")}) {
        const auto worker = parse_worker_entry("i-1", text.substr(0, 10'000));
        REQUIRE_FALSE(worker);
        CHECK(is_printable(worker.error().detail));
        const auto job = parse_job_body(text);
        REQUIRE_FALSE(job);
        CHECK(is_printable(job.error().detail));
        CHECK_NOTHROW(json{{"error", job.error().detail}}.dump());
    }
}

// A worker's odd reply ended the process: nothing caught the exception.
TEST_CASE("replies with fields of another type or range end no process") {
    for (const char* body : {R"({"reason":5})", R"({"reason":["fence"]})", "[]", "\xff", ""}) {
        INFO(body);
        CHECK(decode_outcome(409, body) == command_outcome::missing);
        CHECK(decode_command_reply(409, body).outcome == command_outcome::missing);
        CHECK(decode_hold_reply(409, body).value().outcome == command_outcome::missing);
    }
    for (const char* body : {R"({"clockMs":"5"})", R"({"clockMs":1e300})", R"({"clockMs":null})"}) {
        INFO(body);
        const auto reply = decode_command_reply(200, body);
        CHECK(reply.outcome == command_outcome::done);
        CHECK_FALSE(reply.clock);
        CHECK_FALSE(decode_hold_reply(200, body));
    }
    const auto reply = decode_hold_reply(
        200,
        R"({"clockMs":5,"running":[["5c0e7a21d94b36f8.0.0.0",1,"",1e300,-1e300]],"ended":[]})");
    REQUIRE(reply);
    CHECK(reply.value().running.at(0).progress_percent == 100);
    CHECK(reply.value().running.at(0).measurement == 0);
    CHECK_FALSE(decode_hold_reply(
        200, R"({"clockMs":5,"running":[],"ended":[[-1,"5c0e7a21d94b36f8.0.0.0",1,"done",""]]})"));
}

// A count of 2^32 + 1 was taken for 1: the job was accepted and another one ran.
TEST_CASE("a job with a number out of range is rejected") {
    const auto accepts_step = [](const std::string& fields) {
        return parse_job_body(R"({"taskSpec":"x","steps":[{)" + fields + "}]}").has_value();
    };
    CHECK(accepts_step(R"("count":4,"cpu":500,"after":[],"estRuntimeMs":900.5)"));
    CHECK_FALSE(accepts_step(R"("count":4294967297)"));
    CHECK_FALSE(accepts_step(R"("count":-1)"));
    CHECK_FALSE(accepts_step(R"("count":1e300)"));
    CHECK_FALSE(accepts_step(R"("cpu":1e19)"));
    CHECK_FALSE(accepts_step(R"("estRuntimeMs":1e300)"));
    CHECK_FALSE(accepts_step(R"("after":[4294967296])"));
    CHECK_FALSE(accepts_step(R"("antiAffinity":4294967296)"));
    CHECK_FALSE(parse_job_body(R"({"taskSpec":"x","steps":[],"intervalMs":9e18,"repeatCount":3})"));
    CHECK_FALSE(parse_job_body(R"({"taskSpec":"x","steps":[],"repeatCount":4294967295})"));
    CHECK_FALSE(parse_job_body(R"({"taskSpec":"x","steps":[],"startAtMs":1e300})"));
}

// One odd item made the whole page unreadable: the list was requested again and again, and no
// worker was followed.
TEST_CASE("an odd item doesn't hide the others of a page") {
    const auto page = decode_page(json::parse(R"({"atRev":9,"items":[
        {"key":"servers/a","value":"e30=","revision":5},
        {"key":5,"value":"e30=","revision":5},
        {"key":"servers/b","value":7,"revision":5},
        {"key":"servers/c","value":"e30=","revision":"x"},
        {"key":"servers/d","value":"!!!!","revision":6},
        17,
        {"key":"servers/e","value":"e30=","revision":7}]})"));
    REQUIRE(page.entries.size() == 3);
    CHECK(page.entries[0].key == "servers/a");
    CHECK(page.entries[1].key == "servers/d");
    CHECK(page.entries[1].value.empty());
    CHECK(page.entries[2].key == "servers/e");
    CHECK(page.revision.value == 9);
    const auto events = decode_events(json::parse(R"({"atRev":9,"events":[
        null, {"key":"servers/a","revision":8,"deleted":true}]})"));
    REQUIRE(events.events.size() == 1);
    CHECK(events.events[0].deleted);
}
