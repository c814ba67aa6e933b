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
    CHECK(first_violation({}) == "none");
    CHECK(check_takeover({}).states > 1'000);
}

TEST_CASE("the model finds the takeover that never ended, and each rule that is left out") {
    CHECK(first_violation({.pass_replaced_workers = false, .limit_unconfirmed_owner = false}) ==
          "the takeover doesn't end");
    CHECK(first_violation({.limit_unconfirmed_owner = false}) == "the takeover doesn't end");
    CHECK(first_violation({.wait_for_leases = false}) == "the task runs in two places");
    CHECK(first_violation({.fence_epochs = false}) == "the task runs in two places");
}
