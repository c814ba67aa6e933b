// Every order of events of a worker that restarts and executes commands late that were meant for
// its former incarnation. A rule that is left out must be found to be needed: the task runs in two
// places.
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

// TWICE: owners believed that a command was executed by the incarnation that it was meant for, and
// that one without a reply wasn't executed later.
TEST_CASE("no order of events of a worker that restarts unnoticed runs a task twice") {
    const auto report = check_restarts({.late_limit = 1});
    CHECK(report.violation.value_or("none") == "none");
    CHECK(report.states > 2'500'000);
    CHECK(first_violation({.restart_limit = 1}) == "none");
    CHECK(first_violation({.restart_limit = 1, .longest_lease = 2, .late_limit = 1}) == "none");
    CHECK(first_violation({.open_holds = 0, .lease = 2, .longest_lease = 4}) == "none");
    CHECK(first_violation({.owners = 3, .restart_limit = 1, .start_limit = 1, .late_limit = 1}) ==
          "none");
    CHECK(first_violation({.owners = 1, .restart_limit = 3, .start_limit = 3}) == "none");
    CHECK(first_violation({.owners = 1, .open_holds = 2, .lease = 2, .longest_lease = 4}) ==
          "none");
}

// TWICE: the same owner started the task elsewhere while a later incarnation ran it.
TEST_CASE("the model finds the lease that a restarted worker took unnoticed") {
    CHECK(first_violation({.check_answer_clock = false, .owners = 1}) == twice);
    CHECK(first_violation({.wait_for_longest_lease = false, .owners = 1}) == twice);
    CHECK(first_violation({.count_longest_after_restart = false, .owners = 1}) == twice);
    CHECK(first_violation({.count_late_limit = false, .owners = 1}) == twice);
}

// TWICE: a hold that got no reply was executed after its owner had noticed the restart.
TEST_CASE("the model finds the command that arrives after the restart was noticed") {
    CHECK(first_violation({.refuse_lower_fences = false, .owners = 1}) == twice);
    CHECK(first_violation({.ask_again = false, .owners = 1}) == twice);
    // If owners ask again, it doesn't matter whether they have raised the fence before.
    CHECK(first_violation(
              {.raise_after_silence = false, .raise_when_suspected = false, .owners = 1}) ==
          "none");
}

// Guards against a run that counts as ended with a lease that no list of its incarnation has shown.
TEST_CASE("the model finds the start that is answered between two lists after a restart") {
    CHECK(first_violation({.know_listed_incarnations_only = false, .owners = 1}) == twice);
}

// TWICE: a start without a reply was executed after its run had been given up.
TEST_CASE("the model finds the start that arrives after its run was forgotten") {
    CHECK(first_violation({.keep_open_starts = false, .owners = 1, .restart_limit = 1}) == twice);
    CHECK(first_violation({.keep_after_restart = false, .owners = 1, .restart_limit = 1}) == twice);
    CHECK(first_violation(
              {.keep_doubtful_after_restart = false, .owners = 1, .restart_limit = 1}) == twice);
    CHECK(first_violation({.keep_ended_runs = false, .owners = 1, .restart_limit = 1}) == twice);
    CHECK(first_violation({.keep_calling_starts = false, .owners = 1, .restart_limit = 1}) ==
          twice);
    CHECK(first_violation({.keep_repeated_if_refused = false, .owners = 1, .restart_limit = 1}) ==
          twice);
}

// Guards against a list that is believed of what happened after the worker had made it.
TEST_CASE("the model finds the list of runs that is older than a late start") {
    CHECK(first_violation({.compare_time_of_list = false,
                           .delayed_lists = true,
                           .owners = 1,
                           .restart_limit = 1}) == twice);
    CHECK(first_violation(
              {.know_runs_by_later_lists = false, .delayed_lists = true, .owners = 1}) == twice);
    CHECK(first_violation({.delayed_lists = true, .delayed_answers = true, .owners = 1}) == "none");
    CHECK(first_violation({.delayed_lists = true,
                           .delayed_answers = true,
                           .restart_limit = 1,
                           .open_holds = 0}) == "none");
}

// Guards against a repeated start that has two runs, or whose run counts as certain although the
// first sending may have given it to a later incarnation.
TEST_CASE("the model finds the first sending of a repeated start") {
    CHECK(first_violation({.repeat_same_run = false, .owners = 1}) == twice);
    CHECK(first_violation({.doubt_open_starts = false, .owners = 1}) == twice);
}

// TWICE: a successor counted the former owner's leases with the usual one, or was told their ends
// so.
TEST_CASE("the model finds the lease that a former owner's start gave a restarted worker") {
    CHECK(first_violation({.count_unconfirmed_with_longest = false, .restart_limit = 1}) == twice);
    CHECK(first_violation({.count_unnoticed_at_handover = false, .restart_limit = 1}) == twice);
    CHECK(first_violation({.count_late_limit_of_former = false, .restart_limit = 1}) == twice);
}

// Guards against a record that a successor believes although another run may have a longer lease,
// or a start that is open may give it one.
TEST_CASE("the model finds records that don't hold for the task's run") {
    CHECK(first_violation(
              {.clear_record_before_start = false, .restart_limit = 1, .open_holds = 0}) == twice);
    CHECK(first_violation({.record_known_runs_only = false, .restart_limit = 1, .open_holds = 0}) ==
          twice);
    CHECK(first_violation(
              {.record_usual_leases_only = false, .restart_limit = 1, .open_holds = 0}) == twice);
    CHECK(first_violation({.record_without_open_starts = false,
                           .record_certain_runs_only = false,
                           .restart_limit = 1,
                           .open_holds = 0}) == twice);
    CHECK(first_violation(
              {.record_certain_runs_only = false, .restart_limit = 1, .open_holds = 0}) == twice);
}

// TWICE: a successor would start the task elsewhere while it runs on a worker that the record
// doesn't name.
TEST_CASE("the model finds the start on a worker that isn't named before") {
    CHECK(first_violation({.plans = true, .restart_limit = 1, .open_holds = 0}) == "none");
    CHECK(first_violation({.name_worker_before_start = false,
                           .plans = true,
                           .restart_limit = 1,
                           .open_holds = 0}) == twice);
}

// Guards against a worker that left and is back: what its owner has forgotten may have given it the
// longest lease.
TEST_CASE("the model finds the lease that a worker took before its owner forgot it") {
    CHECK(first_violation(
              {.count_longest_in_new_rows = false, .workers_leave = true, .owners = 1}) == twice);
    CHECK(first_violation({.workers_leave = true, .owners = 1}) == "none");
    CHECK(first_violation({.workers_leave = true, .open_holds = 0}) == "none");
}

// A gap of the protocol: a former owner's start reaches an incarnation that began after the worker
// had answered the successor. All other checks leave such starts out.
TEST_CASE("the model finds the former owner's start at a worker that restarted after its answer") {
    CHECK(first_violation({.former_starts = true, .restart_limit = 1}) == twice);
    CHECK(first_violation({.former_starts = true, .recorded_at_claims = true}) == "none");
    CHECK(first_violation(
              {.wait_for_former_commands = true, .former_starts = true, .restart_limit = 1}) ==
          "none");
    CHECK(first_violation(
              {.wait_for_former_commands = true, .former_starts = true, .open_holds = 0}) ==
          "none");
}

// TWICE: a successor started the task elsewhere while a start of its predecessor, which had got no
// reply, could still reach a worker that had restarted, after its answer or silently.
TEST_CASE("a successor that knows of all open starts runs no task twice") {
    const restart_rules killed{.count_late_limit_of_former = false,
                               .former_starts = true,
                               .pass_lasting_calls = true,
                               .send_after_claim = false};
    auto rules = killed;
    rules.restart_limit = 1;
    CHECK(first_violation(rules) == "none");
    rules.pass_open_starts = false;
    CHECK(first_violation(rules) == twice);
    rules = killed;
    rules.open_holds = 0;
    CHECK(first_violation(rules) == "none");
    rules.pass_open_starts = false;
    CHECK(first_violation(rules) == twice);
    rules = killed;
    rules.owners = 3;
    rules.restart_limit = 1;
    rules.start_limit = 1;
    rules.late_limit = 1;
    CHECK(first_violation(rules) == "none");
}

// A gap of the protocol: an owner is lost within a moment after it sent a start, which isn't stored
// then, or it sends one after its successor's claim.
TEST_CASE("the model finds the start that is sent within the last moments of an owner") {
    CHECK(first_violation({.former_starts = true, .send_after_claim = false, .restart_limit = 1}) ==
          twice);
    CHECK(first_violation(
              {.former_starts = true, .pass_lasting_calls = true, .restart_limit = 1}) == twice);
}
