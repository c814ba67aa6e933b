// A worker that restarts under its id: what its former incarnation answered or was granted must not
// count for the new one.
#include "restart_world.hpp"

using namespace fulmar;

// TWICE: the run was forgotten because the worker's former process had answered its stop, the task
// started again, and then the new process executed the delayed first start.
TEST_CASE("a stop that a worker's former incarnation answered doesn't stop a delayed start") {
    restart_world world(1);
    world.find_worker();
    const auto late = restart_world::take(world.starts);
    on_start_reply(world.shard, late.run, silent, world.now);
    world.drain(true);   // so that the start isn't sent again
    world.answer_hold(); // sent with the start
    world.pass();
    world.answer_hold(); // sent after it, and doesn't list the run
    world.pass();
    const auto stop = restart_world::take(world.stops);
    const auto former = restart_world::as_sent(world.model->stop(stop, world.now));
    world.restart();
    world.notice_restart();
    on_stop_reply(world.shard, stop.run, former, world.now);
    world.pass();
    world.answer_hold(); // doesn't list the run either
    CHECK(world.shard.tables.runs.contains(late.run));
    CHECK(world.model->start(late, world.now).outcome == command_outcome::fenced);
    world.drain(false);
    world.answer_all(world.shard.timing.late_limit);
    CHECK(world.starts_sent == 2);
    CHECK(world.model->start(late, world.now).outcome == command_outcome::fenced);
}

// TWICE: each hold repeated the last acknowledged number, so the hold that was on its way in a
// restart, or carried out late, had the new process delete an end that no owner had seen.
TEST_CASE("a hold doesn't have a restarted worker delete run ends that nobody has seen") {
    restart_world world(2);
    world.work = duration(300);
    world.find_worker();
    world.answer_start(); // it ends soon
    world.work = work_time;
    while (!world.starts.empty()) {
        world.answer_start();
    }
    world.answer_all(duration(1'000));
    REQUIRE(world.job().occurrences.at(0).stages[0].done == 1);
    REQUIRE_FALSE(world.model->has_unacknowledged_ends());
    world.pass();
    const auto delayed = world.holds.front().first;
    world.work = duration(300);
    world.restart();
    // The owner doesn't know of the restart, and its hold stays unanswered.
    world.fail_hold(broken);
    world.answer_all(duration(200)); // the other task starts again
    world.now += duration(300);
    world.model->advance(world.now);
    REQUIRE(world.model->has_unacknowledged_ends());
    world.model->hold(delayed, world.now);
    world.answer_all(duration(1'000));
    CHECK(world.job().phase == job_phase::completed);
    CHECK(world.starts_sent == 3);
}

// A new number that crosses a restart still has the new process delete ends: the log has to tell.
TEST_CASE("a gap in the numbers of a restarted worker's run ends is counted") {
    restart_world world(2);
    world.find_worker();
    world.answer_all(duration(500));
    world.pass();
    world.restart();
    world.notice_restart();
    world.work = duration(300);
    world.answer_all(duration(300));
    world.now += duration(300);
    world.model->advance(world.now);
    REQUIRE(world.model->has_unacknowledged_ends());
    hold_command delayed;
    delayed.token = make_token(world.shard, world.row());
    delayed.acknowledged = 1;
    world.model->hold(delayed, world.now);
    world.answer_all(duration(500));
    CHECK(world.counters.value("run_ends_missing", "") == 1);
}

// Work of a crashed worker waited for the time-out of the hold that its former process left
// unanswered. A worker writes its entry every second, so an entry must not have it asked again.
TEST_CASE("a worker's entry with a later start time has the worker asked once") {
    restart_world world(1);
    world.find_worker();
    world.answer_all(duration(500));
    world.pass();
    REQUIRE(world.holds.size() == 1);
    const auto former = restart_world::take(world.holds); // unanswered
    const auto start_time = world.row().start_time->value;
    on_worker_entry(world.shard, restart_world::entry({start_time - 1}), world.now);
    on_worker_entry(world.shard, restart_world::entry({start_time}), world.now);
    world.pass();
    CHECK(world.holds.empty());
    world.restart();
    const auto entry =
        restart_world::entry({world.now.time_since_epoch().count() + wall_clock.value});
    on_worker_entry(world.shard, entry, world.now);
    world.pass();
    REQUIRE(world.holds.size() == 1);
    on_worker_entry(world.shard, entry, world.now);
    world.pass();
    CHECK(world.holds.size() == 1);
    world.answer_hold();
    world.pass();
    CHECK(world.starts_sent == 2);
    on_hold_reply(world.shard, the_worker, silent, former.second, world.now, wall_clock);
    CHECK(world.row().reachability == reachability_state::reachable);
}

// Replies on different connections overtake each other. The start's reply counted as a second
// restart, so the worker was asked again and got no starts meanwhile.
TEST_CASE("a start's reply by a former incarnation doesn't count as another restart") {
    restart_world world(2);
    world.now += duration(5'000);
    world.find_worker();
    world.answer_start();
    const auto start = restart_world::take(world.starts);
    const auto former = restart_world::as_sent(world.model->start(start, world.now));
    world.now += duration(2'000);
    world.restart();
    world.notice_restart();
    REQUIRE(world.row().inventoried);
    on_start_reply(world.shard, start.run, former, world.now);
    CHECK(world.row().inventoried);
    CHECK(world.shard.tables.runs.contains(start.run)); // until a list lacks it
    world.answer_all(duration(300));
    CHECK_FALSE(world.shard.tables.runs.contains(start.run));
    CHECK(world.starts_sent == 4);
    CHECK(world.shard.tables.runs.size() == 2);
}

// TWICE: this host was suspended while a start was on its way, and its clock with it, so the
// worker's clock in the reply was ahead. The run was taken for one of a former incarnation.
TEST_CASE("a start's reply with a clock that is ahead doesn't end the run") {
    restart_world world(1);
    world.now += duration(5'000);
    world.find_worker();
    const auto start = restart_world::take(world.starts);
    const auto suspended = duration(4'000);
    const auto reply = restart_world::as_sent(world.model->start(start, world.now + suspended));
    on_start_reply(world.shard, start.run, reply, world.now);
    REQUIRE(world.shard.tables.runs.contains(start.run));
    CHECK_FALSE(world.shard.tables.runs.at(start.run).incarnation_known);
    CHECK(world.starts_sent == 1);
}

// Guards against a list of the former incarnation that undoes what the new one has listed.
TEST_CASE("a hold's reply by a former incarnation after the new one's is ignored") {
    restart_world world(1);
    world.find_worker();
    world.answer_start();
    world.answer_all(duration(500));
    world.pass();
    const auto [command, sent] = restart_world::take(world.holds);
    const auto former = world.model->hold(command, world.now);
    world.restart();
    world.pass();
    suspect_restart(world.shard, world.row(), "test", world.now);
    world.pass();
    world.answer_hold();
    const auto start_time = world.row().start_time;
    world.answer_all(duration(300));
    REQUIRE(world.starts_sent == 2);
    on_hold_reply(world.shard, the_worker, former, sent, world.now, wall_clock);
    CHECK(world.row().start_time == start_time);
    world.answer_all(duration(300));
    CHECK(world.starts_sent == 2);
    CHECK(world.shard.tables.runs.size() == 1);
}

// TWICE: a stopped run was forgotten while its start was still on its way, and the worker restarted
// before it arrived: the new process didn't know of the stop.
TEST_CASE("a stopped run is kept until its start can't arrive any more") {
    restart_world world(1);
    world.find_worker();
    const auto start = restart_world::take(world.starts);
    const auto sent = world.now;
    on_start_reply(world.shard, start.run, broken, world.now);
    world.drain(true);
    while (world.now < sent + world.shard.timing.late_limit - duration(200)) {
        world.answer_all(duration(100));
        CHECK(world.shard.tables.runs.contains(start.run));
        CHECK(world.starts_sent == 1);
    }
    world.drain(false);
    world.answer_all(duration(1'500));
    CHECK_FALSE(world.shard.tables.runs.contains(start.run));
    CHECK(world.starts_sent == 2);
}

// TWICE: a task whose start got no reply started elsewhere, and its worker's next process executed
// the first start. It would also wait for 12 s if it weren't sent to the same worker again.
TEST_CASE("a start without a reply is sent again to the same worker, for the same run") {
    restart_world world(1);
    world.find_worker();
    const auto late = restart_world::take(world.starts);
    on_start_reply(world.shard, late.run, silent, world.now);
    world.answer_all(duration(500));
    REQUIRE(world.starts_sent == 2);
    CHECK(world.shard.tables.runs.size() == 1);
    CHECK(world.shard.tables.runs.at(late.run).phase == run_phase::running);
    CHECK(world.model->observed().size() == 1);
    // The first one arrives, before and after a restart that the owner has noticed.
    CHECK(world.model->start(late, world.now).outcome == command_outcome::fenced);
    world.pass();
    world.restart();
    world.notice_restart();
    CHECK(world.model->start(late, world.now).outcome == command_outcome::fenced);
    world.answer_all(duration(500));
    CHECK(world.shard.tables.runs.size() == 1);
    CHECK(world.model->observed().size() == 1);
}

// Guards against a task that stays with a worker that refuses it after a start without a reply, and
// against one that starts elsewhere while that start may still be executed.
TEST_CASE("a start that can't be repeated has the task wait until the first one can't arrive") {
    restart_world world(1);
    world.find_worker();
    const auto late = restart_world::take(world.starts);
    const auto sent = world.now;
    on_start_reply(world.shard, late.run, silent, world.now);
    world.model->refusing = true;
    while (world.now < sent + world.shard.timing.late_limit - duration(200)) {
        world.answer_all(duration(100));
        REQUIRE(world.shard.tables.runs.contains(late.run));
    }
    CHECK(world.shard.tables.runs.at(late.run).phase == run_phase::stopping);
    world.model->refusing = false;
    world.answer_all(duration(4'000));
    CHECK_FALSE(world.shard.tables.runs.contains(late.run));
    CHECK(world.shard.tables.runs.size() == 1);
}

// TWICE: a start without a reply was carried out by the worker's new process after its run had been
// stopped and forgotten, beside the task's next run.
TEST_CASE("a restarted worker refuses a delayed start whose run was forgotten") {
    restart_world world(1);
    world.find_worker();
    const auto late = restart_world::take(world.starts);
    on_start_reply(world.shard, late.run, silent, world.now);
    world.drain(true);
    world.answer_all(duration(14'000)); // the run is stopped and forgotten
    REQUIRE_FALSE(world.shard.tables.runs.contains(late.run));
    world.drain(false);
    world.answer_all(duration(500));
    REQUIRE(world.starts_sent == 2);
    const int restarts = GENERATE(1, 2);
    for (int i = 0; i < restarts; ++i) {
        world.pass();
        world.restart();
        world.notice_restart();
        CHECK(world.model->start(late, world.now).outcome == command_outcome::fenced);
        world.answer_all(duration(1'500));
        CHECK(world.model->start(late, world.now).outcome == command_outcome::fenced);
    }
}

// TWICE: a hold that was meant for the former process reached the new one after the owner had
// noticed the restart, and gave its runs a lease of which the owner didn't know.
TEST_CASE("a restarted worker refuses a delayed hold once its owner has noticed the restart") {
    restart_world world(1);
    world.find_worker();
    world.answer_start();
    world.answer_all(duration(500));
    world.pass();
    const auto late = world.holds.front().first;
    REQUIRE(late.lease_until);
    world.restart();
    const bool answered_start = GENERATE(false, true); // by the new process, which shows it
    if (answered_start) {
        suspect_restart(world.shard, world.row(), "test", world.now);
        world.holds.clear();
        world.pass();
        world.answer_hold();
    } else {
        world.notice_restart();
    }
    CHECK(world.row().inventoried);
    CHECK(world.model->hold(late, world.now).outcome == command_outcome::fenced);
}

// A command that was on its way when the fence was raised told its owner that there was another
// one, and the shard was dropped.
TEST_CASE("a command that an own later one has overtaken doesn't end the ownership") {
    restart_world world(2);
    world.find_worker();
    const auto overtaken = restart_world::take(world.starts);
    const auto late = restart_world::take(world.starts);
    on_start_reply(world.shard, late.run, silent, world.now);
    world.pass();
    world.answer_hold();
    world.pass();
    world.answer_hold(); // with the raised fence
    const auto refused = restart_world::as_sent(world.model->start(overtaken, world.now));
    REQUIRE(refused.outcome == command_outcome::fenced);
    on_start_reply(world.shard, overtaken.run, refused, world.now);
    CHECK_FALSE(world.shard.ownership_lost);
    world.answer_all(duration(500));
    CHECK(world.shard.tables.runs.size() == 2);
    hold_command by_successor;
    by_successor.token = {(world.shard.epoch.value + 1) << 20U};
    world.model->hold(by_successor, world.now);
    world.answer_all(duration(1'500));
    CHECK(world.shard.ownership_lost);
}

// Tasks waited for 12 s and the longest lease although each hold had been answered: the time at
// which it was sent was read anew after the decision to send it.
TEST_CASE("a command with a reply isn't counted as one that may arrive late") {
    restart_world world(1);
    world.find_worker();
    world.answer_start();
    world.answer_all(duration(2'000));
    world.pass();
    REQUIRE(world.holds.size() == 1);
    CHECK(world.row().unanswered_leases.size() == 1);
    shard_actions actions;
    world.answer_hold();
    advance(world.shard, world.now, wall_clock, actions);
    REQUIRE(actions.holds.size() == 1);
    CHECK(actions.time == world.row().hold_sent);
    on_hold_reply(world.shard, the_worker,
                  world.model->hold(actions.holds.front().command, world.now), actions.time,
                  world.now + duration(3), wall_clock);
    CHECK(world.row().unanswered_leases.empty());
}

// LOST: tasks on a restarted worker weren't recorded for 5 s, as it might have had the longest
// lease, although no command that could have given it one was open; their owner was lost in that
// time.
TEST_CASE(
    "a restarted worker counts with the usual lease if no command can have reached it before") {
    const bool open = GENERATE(false, true);
    restart_world world(1);
    world.shard.timing.longest_lease = duration(10'000);
    world.now += duration(5'000);
    world.find_worker();
    world.answer_start();
    world.answer_all(duration(1'000));
    world.pass();
    world.fail_hold(open ? silent : error{error_kind::unavailable, "refused"});
    world.restart();
    world.pass(duration(500));
    world.answer_hold();
    REQUIRE(world.row().inventoried);
    CHECK(has_usual_lease(world.shard, world.row(), world.now) != open);
}

// TWICE: a long-running task that ended as done started elsewhere while its first start, which had
// no reply and was sent again, could still be executed.
TEST_CASE("a long-running task that ends waits until its first start can't arrive any more") {
    restart_world world(1);
    world.shard.tables.jobs.at(the_job).spec.steps.front().long_running = true;
    world.find_worker();
    const auto late = restart_world::take(world.starts);
    const auto sent = world.now;
    on_start_reply(world.shard, late.run, silent, world.now);
    world.work = duration(300);
    while (world.now < sent + world.shard.timing.late_limit - duration(200)) {
        world.answer_all(duration(100));
        REQUIRE(world.shard.tables.runs.contains(late.run));
        REQUIRE(world.shard.tables.runs.size() == 1);
    }
    world.answer_all(duration(3'000));
    CHECK_FALSE(world.shard.tables.runs.contains(late.run));
}

// A pause of a filler without a reply was executed after the full pace had been confirmed, and the
// filler stood still for good.
TEST_CASE("a worker refuses a delayed pace once a later one was sent") {
    restart_world world(1);
    world.find_worker();
    world.answer_start();
    world.answer_all(duration(500));
    const auto run = *world.row().runs.begin();
    const pace_command late{run, make_token(world.shard, world.row()), 0};
    on_pace_reply(world.shard, run, 0, silent);
    world.answer_all(duration(1'500));
    CHECK(world.model->pace(late, world.now).outcome == command_outcome::fenced);
}

// Guards against memory that grows with a worker that answers no commands, and against forgetting
// by when they may be executed.
TEST_CASE("the unanswered commands that are kept for a worker are limited in number") {
    restart_world world(1);
    world.find_worker();
    const auto& timing = world.shard.timing;
    for (int i = 0; i < 1'000; ++i) {
        world.now += duration(1);
        note_lease_sent(timing, world.row(), world.now);
    }
    const auto last = world.now;
    CHECK(world.row().unanswered_leases.size() <= 64);
    note_lease_answered(world.row(), last);
    CHECK(find_unnoticed_leases_end(timing, world.row()) >=
          last - duration(1) + timing.late_limit + timing.longest_lease);
    world.now += timing.late_limit + duration(1);
    note_lease_sent(timing, world.row(), world.now);
    CHECK(world.row().unanswered_leases.size() == 1);
}

// ROUTE, and a worker beyond its capacity: a worker was back under its id as another kind, and
// tasks started there by the labels and the capacity in its former incarnation's entry.
TEST_CASE("nothing starts on a restarted worker by the entry of its former incarnation") {
    restart_world world(2);
    world.shard.tables.jobs.at(the_job).spec.steps.front().label = "a";
    auto entry = restart_world::entry();
    entry.labels = {"a"};
    on_worker_entry(world.shard, entry, world.now);
    world.find_worker();
    entry.start_time = world.row().start_time;
    on_worker_entry(world.shard, entry, world.now);
    world.answer_start();
    const auto late = restart_world::take(world.starts);
    on_start_reply(world.shard, late.run, silent, world.now);
    world.answer_all(duration(200));
    const auto sent = world.starts_sent;
    world.pass();
    world.restart();
    SECTION("that has the label") {
        world.notice_restart();
        world.answer_all(duration(1'000));
        CHECK(world.starts_sent == sent);
        entry.start_time = world.row().start_time;
        SECTION("and so has the next one's") {
            on_worker_entry(world.shard, entry, world.now);
            world.answer_all(duration(500));
            CHECK(world.starts_sent > sent);
        }
        SECTION("but not the next one's") {
            entry.labels = {"b"};
            on_worker_entry(world.shard, entry, world.now);
            world.answer_all(duration(20'000));
            CHECK(world.starts_sent == sent);
        }
        SECTION("for ever, as it stays") {
            world.answer_all(duration(20'000));
            CHECK(world.starts_sent == sent);
        }
    }
    SECTION("for ever, although no label is asked for") {
        world.shard.tables.jobs.at(the_job).spec.steps.front().label.clear();
        world.notice_restart();
        world.answer_all(duration(1'000));
        CHECK(world.starts_sent == sent);
        world.answer_all(duration(20'000)); // the store may be out
        CHECK(world.starts_sent > sent);
    }
}
