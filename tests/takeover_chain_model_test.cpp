// Every order of events of two small takeovers in a row. A rule that is left out must be found to
// be needed: either the task runs in two places, or each owner waits anew.
#include "takeover_chain_model.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

std::string first_violation(const takeover_chain_rules& rules) {
    const auto report = check_takeover_chain(rules);
    for (const auto& line : report.trace) {
        UNSCOPED_INFO(line);
    }
    UNSCOPED_INFO("states: " << report.states);
    return report.violation.value_or("none");
}

const std::string twice = "the task runs in two places";

} // namespace

// Guards against a task that runs twice, or waits anew, as owners change during a takeover.
TEST_CASE("no order of events of two takeovers runs a task twice or begins a wait anew") {
    CHECK(first_violation({.workers = 1, .fault_limit = 1, .lease = 1, .owner_limit = 3}) ==
          "none");
    CHECK(
        first_violation(
            {.workers = 1, .late_holds = false, .fault_limit = 0, .lease = 2, .owner_limit = 4}) ==
        "none");
    CHECK(first_violation({.late_holds = false,
                           .fault_limit = 0,
                           .lease = 1,
                           .confirmation_window = 0,
                           .owner_limit = 2}) == "none");
}

// Guards against a promise of the first owner that would hide the second one, which stored nothing.
TEST_CASE("an owner between that stored nothing is waited for") {
    takeover_chain_rules rules{.workers = 1, .left_by_first = true, .fault_limit = 0};
    rules.owner_limit = 3;
    CHECK(first_violation(rules) == "none");
    rules.wait_for_silent_owner = false;
    CHECK(first_violation(rules) == twice);
}

// LOST: each owner of a chain waited anew, as no owner stored which workers it had left alone, nor
// by when the leases of the first one had ended.
TEST_CASE("the model finds the wait that began anew with each owner") {
    CHECK(first_violation({.store_promises = false, .workers = 1}) == "the wait begins anew");
    CHECK(first_violation({.store_ends = false, .workers = 1}) == "the wait begins anew");
}

// Guards against a lease that the stored promise denies.
TEST_CASE("the model finds the lease granted before the list without the promise is stored") {
    CHECK(first_violation(
              {.keep_promises = false, .workers = 1, .fault_limit = 0, .owner_limit = 3}) == twice);
}

// Guards against ends that are counted from before the write.
TEST_CASE("the model finds that ends count from the load of the record") {
    CHECK(first_violation(
              {.count_ends_from_load = false, .workers = 1, .fault_limit = 0, .owner_limit = 3}) ==
          twice);
}

// Guards against leases of an owner that was stopped while a worker didn't answer.
TEST_CASE("the model finds the lease of an owner that stopped as planned") {
    CHECK(first_violation({.wait_for_released_leases = false,
                           .workers = 1,
                           .fault_limit = 1,
                           .owner_limit = 3}) == twice);
}

// The first owner's data centre is cut off from its successors. Each of these reaches a worker that
// restarts and then knows no epoch, so that most workers accept the first owner again.
TEST_CASE("the model finds that stored ends must not rest on workers alone") {
    takeover_chain_rules rules{.late_holds = false, .hosts_change = false, .first_side_cut = true};
    rules.fault_limit = 2;
    rules.lease = 3;
    rules.confirmation_window = 0;
    CHECK(first_violation(rules) == "none");
    rules.store_fenced_ends_only = false;
    CHECK(first_violation(rules) == twice);
}

// A gap of the protocol that is older than chains: a former owner with authority left may start the
// task on a listed worker that has restarted. All other checks leave such starts out.
TEST_CASE("the model finds the former owner's start on a worker that has restarted") {
    CHECK(first_violation({.start_after_claim = true,
                           .workers = 1,
                           .late_holds = false,
                           .hosts_change = false,
                           .fault_limit = 2,
                           .lease = 1,
                           .owner_limit = 3}) == twice);
}
