// Every order of events of a worker that restarts and takes commands that were meant for its former
// incarnation. A rule that is left out must be found to be needed: the task runs in two places.
#include "restart_model.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

std::string first_violation(const restart_rules& rules) {
    const auto report = check_restarts(rules);
    for (const auto& line : report.trace) {
        UNSCOPED_INFO(line);
    }
    UNSCOPED_INFO("states: " << report.states);
    return report.violation.value_or("none");
}

const std::string twice = "the task runs in two places";

} // namespace

// TWICE: owners believed that a command was executed by the incarnation that it was meant for.
TEST_CASE("no order of events of a worker that restarts unnoticed runs a task twice") {
    const auto report = check_restarts({});
    CHECK(report.violation.value_or("none") == "none");
    CHECK(report.states > 300'000);
    CHECK(first_violation({.lease = 1, .longest_lease = 2}) == "none");
    CHECK(first_violation(
              {.owners = 3, .restart_limit = 1, .run_limit = 1, .lease = 1, .longest_lease = 3}) ==
          "none");
}

// TWICE: the same owner started the task elsewhere while a later incarnation ran it.
TEST_CASE("the model finds the lease that a restarted worker took unnoticed") {
    CHECK(first_violation({.check_answer_clock = false, .owners = 1}) == twice);
    CHECK(first_violation({.wait_for_longest_lease = false, .owners = 1}) == twice);
    CHECK(first_violation({.count_longest_after_restart = false, .owners = 1}) == twice);
    CHECK(first_violation({.count_delivery_time = false, .owners = 1}) == twice);
}

// TWICE: a successor counted the former owner's leases with the usual one, or was told their ends
// so.
TEST_CASE("the model finds the lease that a former owner's start gave a restarted worker") {
    CHECK(first_violation({.count_unconfirmed_with_longest = false, .restart_limit = 1}) == twice);
    CHECK(first_violation({.count_unnoticed_at_handover = false, .restart_limit = 1}) == twice);
}

// Guards against a record that a successor believes although another run may have a longer lease.
TEST_CASE("the model finds records that don't hold for the task's run") {
    CHECK(first_violation({.clear_record_before_start = false, .restart_limit = 1}) == twice);
    CHECK(first_violation({.record_known_runs_only = false, .restart_limit = 1}) == twice);
    CHECK(first_violation({.record_usual_leases_only = false, .restart_limit = 1}) == twice);
}

// A gap of the protocol: a start whose call has failed is executed after its run was stopped and
// forgotten, as a restart has the worker forget the stop. All other checks leave such starts out.
TEST_CASE("the model finds the start that arrives after its run was forgotten") {
    CHECK(first_violation({.late_starts = true, .owners = 1, .restart_limit = 1}) == twice);
    CHECK(first_violation(
              {.keep_unanswered_starts = true, .late_starts = true, .restart_limit = 1}) == "none");
}

// A gap of the protocol: a former owner's start reaches an incarnation that began after the worker
// had answered the successor. All other checks leave such starts out.
TEST_CASE("the model finds the former owner's start at a worker that restarted after its answer") {
    CHECK(first_violation({.former_starts = true, .restart_limit = 1}) == twice);
    CHECK(first_violation({.former_starts = true, .recorded_at_claims = true}) == "none");
    CHECK(first_violation({.wait_for_former_commands = true, .former_starts = true}) == "none");
}
