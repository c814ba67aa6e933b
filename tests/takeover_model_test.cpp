// Every order of events of a small takeover. A rule that is left out must be found to be needed;
// the first is the one that the protocol lacked, so that takeovers of replaced workers never ended.
#include "takeover_model.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

std::string first_violation(const takeover_rules& rules) {
    const auto report = check_takeover(rules);
    std::string text = report.violation.value_or("none");
    for (const auto& line : report.trace) {
        UNSCOPED_INFO(line);
    }
    UNSCOPED_INFO("states: " << report.states);
    return text;
}

} // namespace

TEST_CASE("no order of events runs a task twice or keeps a takeover from ending") {
    const auto report = check_takeover({});
    CHECK(report.violation.value_or("none") == "none");
    CHECK(report.states > 100'000);
}

// The owner's data centre has one host; or one more, and another data centre has a witness as well.
TEST_CASE("a data centre that is cut off goes on, and no order of events runs its task twice") {
    CHECK(first_violation({.local_peers = {false}}) == "none");
    CHECK(first_violation({.workers = 1, .local_peers = {true, false}}) == "none");
    CHECK(first_violation({.workers = 1, .local_peers = {true, true}}) == "none");
}

// Guards against a successor that counts the limit from a transaction while the owner counts it
// from a later confirmation.
TEST_CASE("the limit counts from the owner's last transaction on both sides") {
    for (const int stalled : {2, 4, 6}) {
        INFO("stalled for " << stalled);
        CHECK(first_violation({.workers = 1, .local_peers = {true, false}, .stalled = stalled}) ==
              "none");
    }
    CHECK(first_violation({.workers = 1,
                           .local_peers = {true, false},
                           .stalled = 6,
                           .limit_from_transaction = false}) == "the task runs in two places");
}

// LOST: the tasks of a data centre that was cut off and had lost its hosts waited for the limit for
// outages of the store. And guards against counting the shorter limit from different events.
TEST_CASE("an owner that only local witnesses confirm has a limit of its own on both sides") {
    CHECK(first_violation({.workers = 1, .local_peers = {true, false}, .stalled = 3}) == "none");
    CHECK(first_violation({.workers = 1,
                           .local_peers = {true},
                           .owner_limit = 12,
                           .isolated_limit = 5,
                           .successor_counts_confirmations = false,
                           .stalled = 6}) == "the task runs in two places");
    CHECK(first_violation({.workers = 1,
                           .local_peers = {true},
                           .owner_limit = 12,
                           .isolated_limit = 5,
                           .stalled = 6}) == "none");
    // Without the shorter limit.
    CHECK(first_violation({.workers = 1, .local_peers = {true, true}, .isolated_limit = 20}) ==
          "none");
}

// The protocol before: witnesses of other data centres had to confirm an owner. With the shorter
// limit it stops before the loss of confirmations shows.
TEST_CASE("the model finds the data centre that stopped when it was cut off") {
    CHECK(first_violation({.local_suffice = false, .local_peers = {false}, .isolated_limit = 5}) ==
          "a data centre that is cut off doesn't go on");
    CHECK(first_violation({.local_suffice = false,
                           .workers = 1,
                           .local_peers = {true, false},
                           .isolated_limit = 5}) == "a data centre that is cut off doesn't go on");
}

TEST_CASE("the model finds the takeover that never ended, and each rule that is left out") {
    CHECK(first_violation({.pass_replaced_workers = false, .limit_unconfirmed_owner = false}) ==
          "the takeover doesn't end");
    CHECK(first_violation({.limit_unconfirmed_owner = false}) == "the takeover doesn't end");
    CHECK(first_violation({.wait_for_leases = false}) == "the task runs in two places");
    CHECK(first_violation({.fence_epochs = false, .isolated_limit = 5}) ==
          "the task runs in two places");
}

// The protocol without witnesses: with half of the workers gone, a takeover lasted as long as an
// owner without the store may go on.
TEST_CASE("the model finds the takeover that waits for workers that are gone for good") {
    CHECK(first_violation({.need_witnesses = false, .ask_witnesses = false}) ==
          "the takeover doesn't end");
    CHECK(first_violation({.ask_witnesses = false}) == "the takeover doesn't end");
}

TEST_CASE(
    "the model finds that witnesses keep their promises, and the former owner's host its own") {
    CHECK(first_violation({.keep_promises = false, .isolated_limit = 5}) ==
          "the task runs in two places");
    CHECK(first_violation({.give_up_when_asked = false, .isolated_limit = 5}) ==
          "the task runs in two places");
}
