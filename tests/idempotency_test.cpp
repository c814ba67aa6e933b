#include "idempotency.hpp"

#include "faulty_store.hpp"
#include "store_memory.hpp"

#include <catch2/catch.hpp>

namespace fulmar {

namespace {

store_memory make_store() {
    return store_memory([] { return time_point{}; });
}

idempotency_record make_intent(const std::string& writer, const std::string& body = "order 7") {
    return {"key-1", writer, request_fingerprint({"POST", "/desk/orders", "", {}, body})};
}

} // namespace

// Guards against a second run: of two gates with one key only the first may send, and the second
// gets the first's outcome.
TEST_CASE("one key lets one request proceed", "[idempotency]") {
    auto store = make_store();
    const auto first = make_intent("gate-a/1");
    const auto written = write_intent(store, first);
    CHECK(written.result == intent_result::proceed);
    // The first gate is gone or still at work: the outcome is unknown, and never a second run.
    CHECK(write_intent(store, make_intent("gate-b/1")).result == intent_result::unknown);
    CHECK(write_intent(store, make_intent("gate-b/2", "order 8")).result ==
          intent_result::key_reused);

    const std::string body("\xff\x00\"binary", 9);
    REQUIRE(record_answer(store, first, written.revision,
                          {201, {{"content-type", "text/plain"}}, body}));
    const auto repeated = write_intent(store, make_intent("gate-b/3"));
    REQUIRE(repeated.result == intent_result::recorded);
    const auto replay = replay_answer(*repeated.record);
    CHECK(replay.status == 201);
    CHECK(replay.body == body);
    CHECK(find_header(replay.headers, "Content-Type") == "text/plain");
    CHECK(find_header(replay.headers, "Fulmar-Outcome") == "answered");
}

// Guards against records beyond the store's value limit and a truncated body passed off as whole.
TEST_CASE("a body above the limit is recorded as answered without body", "[idempotency]") {
    auto store = make_store();
    for (const std::size_t size : {recorded_body_limit, recorded_body_limit + 1}) {
        auto intent = make_intent("gate-a/1");
        intent.key = std::to_string(size);
        const auto written = write_intent(store, intent);
        REQUIRE(record_answer(store, intent, written.revision, {200, {}, std::string(size, 'x')}));
        intent.writer = "gate-b/1";
        const auto replay = replay_answer(*write_intent(store, intent).record);
        const bool kept = size == recorded_body_limit;
        CHECK(replay.body.size() == (kept ? size : 0));
        CHECK(find_header(replay.headers, "Fulmar-Reason").value_or("") ==
              (kept ? "" : "body_not_recorded"));
    }
}

// Guards against a key that stays blocked although its request was certainly not run.
TEST_CASE("a removed intent frees the key", "[idempotency]") {
    auto store = make_store();
    const auto first = make_intent("gate-a/1");
    const auto written = write_intent(store, first);
    REQUIRE(remove_intent(store, first, written.revision));
    const auto second = write_intent(store, make_intent("gate-b/1"));
    CHECK(second.result == intent_result::proceed);
    CHECK_FALSE(remove_intent(store, first, written.revision)); // a late removal changes nothing
    CHECK(write_intent(store, make_intent("gate-c/1")).result == intent_result::unknown);
}

// Guards against a lost store reply that is taken for a failure (the key would stay blocked by the
// gate's own intent) or for success (the request would run without an intent).
TEST_CASE("a lost reply is resolved by reading back", "[idempotency]") {
    auto inner = make_store();
    faulty_store store(inner);
    SECTION("the write was applied") {
        store.lose_write_reply = true;
        CHECK(write_intent(store, make_intent("gate-a/1")).result == intent_result::proceed);
    }
    SECTION("the write was lost") {
        store.drop_write = true;
        CHECK(write_intent(store, make_intent("gate-a/1")).result == intent_result::proceed);
    }
    SECTION("another gate's record with the same request is not taken for our own") {
        CHECK(write_intent(inner, make_intent("gate-b/1")).result == intent_result::proceed);
        store.lose_write_reply = true;
        CHECK(write_intent(store, make_intent("gate-a/1")).result == intent_result::unknown);
    }
    SECTION("reading back fails too") {
        store.lose_write_reply = true;
        store.fail_reads = true;
        CHECK(write_intent(store, make_intent("gate-a/1")).result ==
              intent_result::store_unavailable);
    }
    SECTION("the store is away") {
        inner.set_faults({true, false, {}});
        CHECK(write_intent(store, make_intent("gate-a/1")).result ==
              intent_result::store_unavailable);
    }
}

// Guards against requests that differ in one part but count as the same.
TEST_CASE("the fingerprint covers method, path, query and body", "[idempotency]") {
    const http_request base{"POST", "/desk/a", "q=1", {}, "x"};
    for (const auto field :
         {&http_request::method, &http_request::path, &http_request::query, &http_request::body}) {
        auto changed = base;
        changed.*field += "1";
        CHECK(request_fingerprint(changed) != request_fingerprint(base));
    }
    CHECK(request_fingerprint(base) ==
          request_fingerprint({"POST", "/desk/a", "q=1", {{"a", "b"}}, "x"}));
}

// Guards against a damaged record that stops the gate or counts as an answer.
TEST_CASE("a malformed record is an error value", "[idempotency]") {
    for (const auto* text :
         {"", "[]", "{}", R"({"key": 1})",
          R"({"key":"0","writer":"","fingerprint":"","state":"answered","status":200})"}) {
        CHECK_FALSE(parse_idempotency_record(text).has_value());
    }
    auto store = make_store();
    REQUIRE(store.compare_and_swap({idempotency_store_key("key-1"), "damaged", {}, {}}));
    CHECK(write_intent(store, make_intent("gate-a/1")).result == intent_result::unknown);
}

} // namespace fulmar
