// What callers are told by a host that stops, and by one whose shard's owner is late.
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

// From the signal until the last answer, as in the daemon with a grace period of 6 s.
constexpr duration last_answer_time{5'000};

// Callers may wait for longer than a stop takes.
constexpr duration patient_caller{9'000};

struct submission {
    std::optional<submit_answer> answer;
    time_point answered_at;
};

// Submits a job for a caller that doesn't try again.
std::shared_ptr<submission> submit_once(sim_world& world, std::size_t host, const std::string& id,
                                        duration timeout) {
    auto row = std::make_shared<submission>();
    world.host(host)->submit({id}, world.queue("renders"), sim_world::simple_job(1), timeout,
                             [&world, row](const submit_answer& answer) {
                                 row->answer = answer;
                                 row->answered_at = world.now();
                             });
    return row;
}

std::size_t find_other_host(std::size_t owner) {
    return owner == 0 ? 1 : 0;
}

void partition(sim_world& world, std::size_t host) {
    for (std::size_t other = 0; other < world.host_count(); ++other) {
        if (other != host) {
            world.set_partition(host, other, true);
        }
    }
}

} // namespace

// LOST: a host that stopped closed the connections of callers whose requests still waited for a
// silent owner, and tried owners for longer than its process lived.
TEST_CASE("a host that stops answers each request before it ends") {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        sim_world world(seed, {"east"}, 3);
        world.run_for(startup_time);
        const auto owner = world.owner_of("east.0");
        REQUIRE(owner);
        const auto host = find_other_host(*owner);
        partition(world, host);
        const auto handed_on = submit_once(world, host, "00000000000000a1", patient_caller);
        world.run_for(duration(2'500)); // until this host knows of no live owner
        const auto kept = submit_once(world, host, "00000000000000a2", patient_caller);
        CHECK_FALSE(handed_on->answer);
        CHECK_FALSE(kept->answer);
        const auto stopped_at = world.now();
        world.stop_host(host);
        world.run_for(last_answer_time - duration(50));
        // Too late to serve anything: rejected at once, so that the caller goes to another host.
        const auto late = submit_once(world, host, "00000000000000a3", patient_caller);
        REQUIRE(late->answer);
        CHECK(late->answer->outcome == submit_outcome::unavailable);
        CHECK(late->answer->retry_after > duration(0));
        world.run_for(duration(100));
        REQUIRE(handed_on->answer);
        CHECK(handed_on->answer->outcome == submit_outcome::unknown);
        CHECK(handed_on->answered_at - stopped_at <= last_answer_time);
        REQUIRE(kept->answer);
        CHECK(kept->answer->outcome == submit_outcome::unavailable);
        CHECK(kept->answered_at - stopped_at <= last_answer_time);
        check_guarantees(world);
    }
}

// LOST: a submission whose owner was late went to another shard while the first one's transaction
// went on. Each such job cost two transactions, which kept busy owners late.
TEST_CASE("a submission stays with the shard whose owner is late") {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        INFO("seed " << seed);
        sim_world world(seed, {"east", "west"}, 2);
        world.run_for(startup_time);
        std::size_t host = 0; // one that owns no shard
        while (world.owner_of("east.0") == host || world.owner_of("west.0") == host) {
            ++host;
        }
        world.lose_answer({.kind = "submission", .late = duration(1'200), .times_out = true});
        const auto began = world.now();
        const auto id = world.submit(host, sim_world::simple_job(2), duration(500));
        world.run_for(duration(100));
        // From now on, new jobs go to the other shard.
        world.evacuate(world.data_centre_of(host).value, true);
        REQUIRE(world.run_until([&] { return world.jobs().at(id).answer.has_value(); },
                                duration(2'700)));
        CHECK(world.answers_lost("submission") == 1);
        CHECK(world.now() - began >= duration(1'000)); // later than an attempt once lasted
        CHECK(world.jobs().at(id).answer == submit_outcome::accepted);
        CHECK(finish_all(world, finish_time));
        for (std::size_t owner = 0; owner < world.host_count(); ++owner) {
            CHECK(world.counter(owner, "hand_ins_duplicate", "") == 0);
        }
        check_guarantees(world);
    }
}

// LOST: callers were told that the outcome of accepted jobs was unknown, as the owner's answer was
// lost with it, although the store had the job.
TEST_CASE("a submission that was stored is reported as accepted although its owner is gone") {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        sim_world world(seed, {"east"}, 2);
        world.run_for(startup_time);
        const auto owner = world.owner_of("east.0");
        REQUIRE(owner);
        const auto host = find_other_host(*owner);
        world.lose_answer({.kind = "peer.submit", .times_out = true});
        const auto sent = submit_once(world, host, "00000000000000b1", duration(1'500));
        world.run_for(duration(100));
        world.kill_host(*owner);
        world.run_for(duration(1'500)); // a successor claims the shard after 2 s at the soonest
        REQUIRE(sent->answer);
        CHECK(sent->answer->outcome == submit_outcome::accepted);
        check_guarantees(world);
    }
}

// Callers of a host whose store didn't answer a read waited for longer than they had said.
TEST_CASE("a request is answered by its deadline while the store doesn't answer") {
    sim_world world(1, {"east"}, 2);
    world.run_for(startup_time);
    const auto host = find_other_host(*world.owner_of("east.0"));
    world.set_store_mode(host, store_mode::silent);
    constexpr duration timeout{350};
    std::optional<time_point> answered_at;
    const auto began = world.now();
    world.host(host)->query({"00000000000000c1"}, timeout, [&](const result<job_phase>& phase) {
        CHECK_FALSE(phase);
        answered_at = world.now();
    });
    world.run_for(duration(1'500));
    REQUIRE(answered_at);
    CHECK(*answered_at - began <= timeout);
}

} // namespace fulmar
