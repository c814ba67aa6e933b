#include "gate.hpp"

#include "fulmar/http_client.hpp"
#include "fulmar/records.hpp"
#include "gate_test_support.hpp"
#include "steady_clock.hpp"

#include <catch2/catch.hpp>

namespace fulmar {

// Guards against an answer, a refusal or an unknown outcome that is not true: whatever the endpoint
// does, the reported outcome must agree with the number of executions.
TEST_CASE("the outcome agrees with the executions at the endpoint", "[gate]") {
    struct row {
        std::string behaviour;
        std::string method;
        std::string outcome;
        int status;
        int executions; // of all attempts
    };
    // Without a retry budget each request is one attempt.
    const std::vector<row> rows{
        {"answer", "GET", "answered", 200, 1},       {"answer", "POST", "answered", 200, 1},
        {"error", "GET", "answered", 500, 1},        {"refuse", "GET", "not_run", 503, 0},
        {"refuse", "POST", "not_run", 503, 0},       {"close_before", "POST", "unknown", 502, 0},
        {"close_during", "POST", "unknown", 502, 1}, {"truncate", "POST", "unknown", 502, 1},
        {"truncate", "GET", "unknown", 502, 1},      {"unframed", "GET", "unknown", 502, 1},
        {"late", "POST", "unknown", 504, 1}};
    for (const auto& row : rows) {
        CAPTURE(row.behaviour, row.method);
        test_installation all;
        all.config.retry_budget_percent = 0;
        test_endpoint endpoint(row.behaviour);
        all.list("e1", endpoint.port());
        const auto one = all.start_gate("entry-1");
        const int deadline = row.behaviour == "late" ? 300 : 20'000;
        const auto answer = all.send(*one, row.method, "/desk/x", "key-1", "body", deadline);
        CHECK(answer.status == row.status);
        CHECK(find_header(answer.headers, "Fulmar-Outcome") == row.outcome);
        CHECK((find_header(answer.headers, "Fulmar-Reason").has_value() ==
               (row.outcome != "answered")));
        CHECK(endpoint.executions() == row.executions);
        if (row.behaviour == "answer") {
            CHECK(answer.body == row.method + " /desk/x body");
        }
    }
}

// Guards against "not run" for a request that an endpoint executed on a reused connection before it
// died: libcurl connects again by itself and then reports only that this failed.
TEST_CASE("an endpoint's death on a reused connection leaves the outcome unknown", "[gate]") {
    test_installation all;
    all.config.retry_budget_percent = 0;
    test_endpoint endpoint("answer");
    all.list("e1", endpoint.port());
    const auto one = all.start_gate("entry-1");
    CHECK(all.send(*one, "GET", "/desk/x").status == 200);
    endpoint.behave("die");
    const auto answer = all.send(*one, "GET", "/desk/x");
    CHECK(find_header(answer.headers, "Fulmar-Outcome") == "unknown");
    CHECK(endpoint.executions() == 2);
}

// Guards against a failed retry of what may be retried, and a retry of what may not.
TEST_CASE("another endpoint gets a request only when that is safe", "[gate]") {
    struct row {
        std::string behaviour;
        std::string method;
        std::string outcome;
        int good_executions;
    };
    const std::vector<row> rows{
        {"close_before", "GET", "answered", 1}, {"close_before", "POST", "unknown", 0},
        {"truncate", "GET", "answered", 1},     {"refuse", "POST", "answered", 1},
        {"absent", "POST", "answered", 1},
    };
    for (const auto& row : rows) {
        CAPTURE(row.behaviour, row.method);
        test_installation all;
        all.config.retry_budget_percent = 100; // each request pays for its own retry
        test_endpoint bad(row.behaviour);
        test_endpoint good("answer");
        // The bad endpoint is nearer, so it is tried first.
        all.list("bad", bad.port());
        all.list("good", good.port(), "kudus-b");
        const auto one = all.start_gate("entry-1", 2);
        const auto answer = all.send(*one, row.method, "/desk/x", "key-1");
        CHECK(find_header(answer.headers, "Fulmar-Outcome") == row.outcome);
        CHECK(good.executions() == row.good_executions);
    }
}

// Guards against requests that the gate must refuse itself and yet sends, and wrong statuses.
TEST_CASE("refusals state their reason and run nothing", "[gate]") {
    struct row {
        http_call call;
        int status;
        std::string reason;
    };
    const auto make = [](std::string method, std::string path, std::vector<http_header> headers) {
        http_call call;
        call.method = std::move(method);
        call.url = std::move(path);
        call.headers = std::move(headers);
        return call;
    };
    const std::vector<row> rows{
        {make("GET", "/nowhere/x", {}), 503, "no_endpoint"},
        {make("POST", "/desk/x", {}), 400, "idempotency_key_missing"},
        {make("GET", "/desk/x", {{"Fulmar-Deadline-Ms", "soon"}}), 400, "malformed_request"},
        {make("GET", "/desk/x", {{"Fulmar-Deadline-Ms", "0"}}), 503, "deadline_exceeded"}};
    test_installation all;
    test_endpoint endpoint("answer");
    all.list("e1", endpoint.port());
    const auto one = all.start_gate("entry-1");
    for (const auto& row : rows) {
        auto call = row.call;
        call.url = all.url(*one, call.url);
        const auto answer = all.call(std::move(call));
        CHECK(answer.status == row.status);
        CHECK(find_header(answer.headers, "Fulmar-Outcome") == "not_run");
        CHECK(find_header(answer.headers, "Fulmar-Reason") == row.reason);
        CHECK(one->counters().value("fulmar_gate_refusals_total", row.reason) == 1);
    }
    CHECK(endpoint.executions() == 0);
}

// Guards against a second run of one key at two gates, and a lost record of the first answer.
TEST_CASE("a repeated key at two gates runs once", "[gate]") {
    test_installation all;
    test_endpoint endpoint("answer");
    all.list("e1", endpoint.port());
    const auto one = all.start_gate("entry-1");
    const auto two = all.start_gate("entry-2");
    const auto first = all.send(*one, "POST", "/desk/x", "key-1");
    CHECK(first.status == 200);
    for (const auto* gate : {one.get(), two.get()}) {
        const auto repeated = all.send(*gate, "POST", "/desk/x", "key-1");
        CHECK(repeated.status == 200);
        CHECK(repeated.body == first.body);
        CHECK(find_header(repeated.headers, "Fulmar-Replayed") == "yes");
    }
    const auto reused = all.send(*two, "POST", "/desk/x", "key-1", "other body");
    CHECK(reused.status == 422);
    CHECK(find_header(reused.headers, "Fulmar-Outcome") == "not_run");
    CHECK(endpoint.executions() == 1);
}

// Guards against two runs when both gates get the key at the same time.
TEST_CASE("a key in progress elsewhere is answered with 409", "[gate]") {
    test_installation all;
    test_endpoint endpoint("hold");
    all.list("e1", endpoint.port());
    const auto one = all.start_gate("entry-1");
    const auto two = all.start_gate("entry-2");
    auto first = all.send_async(*one, "POST", "/desk/x", "key-1");
    endpoint.wait_for_executions(1);
    const auto second = all.send(*two, "POST", "/desk/x", "key-1");
    CHECK(second.status == 409);
    CHECK(find_header(second.headers, "Fulmar-Outcome") == "unknown");
    endpoint.release();
    CHECK(first.get().status == 200);
    CHECK(endpoint.executions() == 1);
}

// Guards against a key that stays blocked although nothing was run.
TEST_CASE("a key whose request was not run can be used again", "[gate]") {
    test_installation all;
    all.config.retry_budget_percent = 0;
    test_endpoint endpoint("refuse");
    all.list("e1", endpoint.port());
    const auto one = all.start_gate("entry-1");
    CHECK(all.send(*one, "POST", "/desk/x", "key-1").status == 503);
    endpoint.behave("answer");
    CHECK(all.send(*one, "POST", "/desk/x", "key-1").status == 200);
    CHECK(endpoint.executions() == 1);
}

// Guards against orders that run without an intent while the store is away, and against an outage
// of other requests then.
TEST_CASE("without the store only non-idempotent requests are refused", "[gate]") {
    test_installation all;
    test_endpoint endpoint("answer");
    all.list("e1", endpoint.port());
    const auto one = all.start_gate("entry-1");
    all.store->set_faults({true, false, {}});
    const auto refused = all.send(*one, "POST", "/desk/x", "key-1");
    CHECK(refused.status == 503);
    CHECK(find_header(refused.headers, "Fulmar-Outcome") == "not_run");
    CHECK(find_header(refused.headers, "Fulmar-Reason") == "store_unavailable");
    CHECK(all.send(*one, "GET", "/desk/x").status == 200);
    all.store->set_faults({});
    CHECK(all.send(*one, "POST", "/desk/x", "key-1").status == 200);
    CHECK(endpoint.executions() == 2);
}

// Guards against a lost store reply that blocks a key or lets a request run twice.
TEST_CASE("lost store replies are resolved", "[gate]") {
    test_installation all;
    test_endpoint endpoint("answer");
    all.list("e1", endpoint.port());
    const auto one = all.start_gate("entry-1");
    all.store->set_faults({false, true, {}});
    CHECK(all.send(*one, "POST", "/desk/x", "key-1").status == 200);
    CHECK(find_header(all.send(*one, "POST", "/desk/x", "key-1").headers, "Fulmar-Replayed") ==
          "yes");
    CHECK(endpoint.executions() == 1);
}

// Guards against a second run after a gate died between the intent and the end of the request.
TEST_CASE("a gate that dies after the intent leaves the outcome unknown", "[gate]") {
    test_installation all;
    test_endpoint endpoint("answer");
    all.list("e1", endpoint.port());
    const auto blocking = std::make_shared<faulty_store>(*all.store);
    blocking->block_write = true;
    auto one = all.start_gate("entry-1", 1, blocking);
    auto first = all.send_async(*one, "POST", "/desk/x", "key-1");
    blocking->wait_for_write();
    const auto port = one->caller_port();
    std::thread death([&one] { one.reset(); });
    CHECK(wait_until([&] { return !all.connects(port); }));
    blocking->release();
    death.join();
    CHECK(first.get().status == 0); // the connection broke
    const auto two = all.start_gate("entry-2");
    const auto repeated = all.send(*two, "POST", "/desk/x", "key-1");
    CHECK(repeated.status == 409);
    CHECK(find_header(repeated.headers, "Fulmar-Outcome") == "unknown");
    CHECK(endpoint.executions() == 0);
}

// Guards against a request that is sent although its deadline passed while the gate was held up.
TEST_CASE("the deadline is checked again after the intent", "[gate]") {
    test_installation all;
    test_endpoint endpoint("answer");
    all.list("e1", endpoint.port());
    const auto blocking = std::make_shared<faulty_store>(*all.store);
    blocking->block_write = true;
    const auto one = all.start_gate("entry-1", 1, blocking);
    auto first = all.send_async(*one, "POST", "/desk/x", "key-1", "body", 500);
    blocking->wait_for_write();
    std::this_thread::sleep_for(duration(600)); // a longer pause gives the same verdict
    blocking->release();
    const auto answer = first.get();
    CHECK(answer.status == 503);
    CHECK(find_header(answer.headers, "Fulmar-Reason") == "deadline_exceeded");
    CHECK(endpoint.executions() == 0);
    CHECK(all.send(*one, "POST", "/desk/x", "key-1").status == 200); // the intent was removed
}

// Guards against more intents than the store can take.
TEST_CASE("non-idempotent requests beyond the intent budget are refused", "[gate]") {
    test_installation all;
    all.config.intents_per_second = 0;
    test_endpoint endpoint("answer");
    all.list("e1", endpoint.port());
    const auto one = all.start_gate("entry-1");
    const auto refused = all.send(*one, "POST", "/desk/x", "key-1");
    CHECK(refused.status == 429);
    CHECK(find_header(refused.headers, "Fulmar-Reason") == "intent_budget");
    CHECK(endpoint.executions() == 0);
}

// Guards against requests to an endpoint that announced its leaving while the host list still names
// it, and one in a data centre that is being taken out (I8).
TEST_CASE("a leaving endpoint gets no new request", "[gate]") {
    test_installation all;
    test_endpoint leaving("leave");
    test_endpoint other("answer");
    all.list("leaving", leaving.port());
    all.list("other", other.port(), "kudus-b");
    const auto one = all.start_gate("entry-1", 2);
    CHECK(all.send(*one, "GET", "/desk/x").status == 200);
    CHECK(leaving.executions() == 1);
    all.list("leaving", leaving.port()); // an old entry of the lagging list
    test_endpoint third("answer");
    all.list("third", third.port());
    CHECK(wait_until([&] { return one->known_endpoints({"desk"}) == 2; }));
    CHECK(all.send(*one, "GET", "/desk/x").status == 200);
    CHECK(third.executions() == 1);
    all.set_data_centre("jepara-a", data_centre_state::draining);
    CHECK(wait_until([&] {
        all.send(*one, "GET", "/desk/x");
        return other.executions() > 0;
    }));
    const int before = third.executions();
    CHECK(all.send(*one, "GET", "/desk/x").status == 200);
    CHECK(third.executions() == before);
    CHECK(leaving.executions() == 1);
}

// Guards against an endpoint that fails every request and stays in use.
TEST_CASE("a failing endpoint is ejected", "[gate]") {
    test_installation all;
    all.config.eject_max_percent = 50;
    test_endpoint bad("error");
    test_endpoint good("answer");
    all.list("bad", bad.port());
    all.list("good", good.port(), "kudus-b");
    const auto one = all.start_gate("entry-1", 2);
    for (int i = 0; i < 5; ++i) {
        CHECK(all.send(*one, "GET", "/desk/x").status == 500);
    }
    CHECK(one->counters().value("fulmar_gate_ejections_total") == 1);
    CHECK(all.send(*one, "GET", "/desk/x").status == 200);
    CHECK(bad.executions() == 5);
}

// Guards against answers given to the wrong request under concurrency (I5).
TEST_CASE("each caller gets the answer to its own request", "[gate]") {
    test_installation all;
    test_endpoint first("answer");
    test_endpoint second("answer");
    all.list("e1", first.port());
    all.list("e2", second.port());
    const auto one = all.start_gate("entry-1", 2);
    std::vector<std::future<http_response>> answers;
    constexpr int count = 200;
    answers.reserve(count);
    for (int i = 0; i < count; ++i) {
        answers.push_back(all.send_async(*one, "GET", "/desk/" + std::to_string(i)));
    }
    for (int i = 0; i < count; ++i) {
        const auto answer = answers[i].get();
        CHECK(answer.status == 200);
        CHECK(answer.body == "GET /desk/" + std::to_string(i) + " body");
    }
    CHECK(first.executions() + second.executions() == count);
}

// Guards against a shutdown that cuts requests in progress or refuses before the balancer noticed
// (I9).
TEST_CASE("a shutdown serves, then refuses, and ends what is in progress", "[gate]") {
    test_installation all;
    test_endpoint endpoint("hold");
    all.list("e1", endpoint.port());
    all.grace = duration(500);
    const auto one = all.start_gate("entry-1");
    CHECK(all.get(one->operator_port(), "/readyz") == 200);
    auto held = all.send_async(*one, "GET", "/desk/x");
    endpoint.wait_for_executions(1);
    std::thread stopping([&one] { one->drain(); });
    CHECK(wait_until([&] { return all.get(one->operator_port(), "/readyz") == 503; }));
    http_response refused;
    CHECK(wait_until([&] {
        refused = all.send(*one, "GET", "/desk/y", "", "body", 100);
        return find_header(refused.headers, "Fulmar-Reason") == "shutting_down";
    }));
    CHECK(find_header(refused.headers, "Fulmar-Outcome") == "not_run");
    endpoint.release();
    CHECK(held.get().status == 200);
    stopping.join();
}

// Guards against a shutdown that waits without end for an endpoint.
TEST_CASE("a shutdown ends the remaining requests at its limit", "[gate]") {
    test_installation all;
    test_endpoint endpoint("hold");
    all.list("e1", endpoint.port());
    all.grace = duration(0);
    all.stop_limit = duration(300);
    const auto one = all.start_gate("entry-1");
    auto held = all.send_async(*one, "GET", "/desk/x");
    endpoint.wait_for_executions(1);
    one->drain();
    const auto answer = held.get();
    CHECK(answer.status == 502);
    CHECK(find_header(answer.headers, "Fulmar-Outcome") == "unknown");
    endpoint.release();
}

} // namespace fulmar
