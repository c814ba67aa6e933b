// A data centre that is cut off from the store and from all others goes on with what runs there,
// and nothing of it starts elsewhere meanwhile or again afterwards.
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

const std::vector<std::string> data_centres = {"a", "b", "c"};
constexpr std::uint32_t tasks_each = 4;

// "Regions lose each other for minutes."
constexpr duration cut_time{60'000};

// For installations that set the limit for data centres that are cut off to what an outage of the
// store may last.
constexpr duration long_limit = default_unconfirmed_limit;

// After the cut, hosts and workers register again within 2 s, and a takeover is complete once all
// workers have answered.
constexpr duration heal_time{12'000};

struct cut_world {
    std::size_t hosts_each;
    std::unique_ptr<sim_world> world;

    cut_world(std::uint64_t seed, std::size_t hosts, duration limit = long_limit)
        : hosts_each(hosts) {
        std::map<std::string, std::string> regions;
        for (const auto& name : data_centres) {
            regions[name] = name;
        }
        world = std::make_unique<sim_world>(seed, data_centres, hosts_each, 6, regions);
        world->set_isolated_limit(limit);
        world->run_for(startup_time);
        auto spec = sim_world::simple_job(tasks_each);
        spec.steps.front().long_running = true;
        for (std::size_t host = 0; host < world->host_count(); ++host) {
            world->submit(host, spec, duration(0));
        }
        world->run_for(duration(3'000));
        REQUIRE(world->shards().size() == data_centres.size());
        REQUIRE(list_runs().size() == world->host_count() * tasks_each);
        // Until the owners have stored who confirms them.
        world->run_for(duration(3'000));
    }

    // Returns the runs in progress with their workers, of one data centre or of all.
    std::set<std::string> list_runs(const std::string& data_centre = "") const {
        std::set<std::string> runs;
        for (const auto& [id, worker] : world->workers()) {
            if (!worker.model ||
                !(data_centre.empty() || worker.entry.data_centre.value == data_centre)) {
                continue;
            }
            for (const auto& [run, need] : worker.model->occupied()) {
                runs.insert(id + " " + run.task.job.value + "." + std::to_string(run.task.index) +
                            " run " + std::to_string(run.number.value));
            }
        }
        return runs;
    }

    std::vector<std::size_t> hosts_of(const std::string& data_centre) const {
        std::vector<std::size_t> found;
        for (std::size_t host = 0; host < world->host_count(); ++host) {
            if (world->data_centre_of(host).value == data_centre) {
                found.push_back(host);
            }
        }
        return found;
    }

    std::size_t owner_in(const std::string& data_centre) const {
        const auto owner = world->owner_of(data_centre + ".0");
        REQUIRE(owner);
        REQUIRE(world->data_centre_of(*owner).value == data_centre);
        return *owner;
    }

    void cut(const std::vector<std::string>& names, bool off) const {
        for (const auto& name : names) {
            world->cut_data_centre(name, off);
        }
    }

    // Advances time; returns for how many of the seconds all of these runs went on.
    int count_seconds(const std::set<std::string>& runs, duration time) const {
        constexpr duration second{1'000};
        int kept = 0;
        for (duration passed{0}; passed < time; passed += second) {
            world->run_for(second);
            const auto present = list_runs();
            kept += std::includes(present.begin(), present.end(), runs.begin(), runs.end()) ? 1 : 0;
        }
        return kept;
    }
};

// The data centres to cut off: each of them alone, and all at once.
std::vector<std::vector<std::string>> list_cuts() {
    std::vector<std::vector<std::string>> cuts{data_centres};
    for (const auto& name : data_centres) {
        cuts.push_back({name});
    }
    return cuts;
}

} // namespace

// All tasks of the data centre ended after 7.5 s, and if each was cut off, nothing ran anywhere.
TEST_CASE("a data centre that is cut off goes on, and its runs are the same afterwards") {
    for (const std::size_t hosts : {1U, 2U, 3U}) {
        for (const auto& names : list_cuts()) {
            INFO(hosts << " hosts each, " << names.size() << " cut off, first " << names.front());
            const cut_world test(71 + hosts, hosts);
            const auto runs = test.list_runs();
            const auto starts = test.world->starts();
            test.cut(names, true);
            CHECK(test.count_seconds(runs, cut_time) == 60);
            test.cut(names, false);
            CHECK(test.count_seconds(runs, heal_time) == 12);
            CHECK(test.world->starts() == starts);
            check_guarantees(*test.world);
        }
    }
}

// Guards against a claim from elsewhere while a data centre is cut off for a moment: its owner goes
// on, and the shard would move to a host that reaches none of its workers.
TEST_CASE("a data centre that is cut off for a few seconds keeps its owner") {
    constexpr duration short_cut{6'000};
    for (std::uint64_t seed = 141; seed <= 144; ++seed) {
        INFO("seed " << seed);
        const cut_world test(seed, 2);
        auto& world = *test.world;
        const auto owner = test.owner_in("a");
        const auto epoch = parse_claim(world.store().get(claim_key({"a.0"}))->value).value().epoch;
        const auto runs = test.list_runs();
        const auto starts = world.starts();
        test.cut({"a"}, true);
        world.run_for(short_cut);
        test.cut({"a"}, false);
        world.run_for(heal_time);
        CHECK(world.owner_of("a.0") == owner);
        CHECK(parse_claim(world.store().get(claim_key({"a.0"}))->value).value().epoch == epoch);
        CHECK(test.list_runs() == runs);
        CHECK(world.starts() == starts);
        check_guarantees(world);
    }
}

// What can't be stored is refused at once, so that the caller can go elsewhere.
TEST_CASE("a data centre that is cut off refuses submissions at once as not run") {
    for (const std::size_t hosts : {1U, 2U, 3U}) {
        for (const auto& names : list_cuts()) {
            const cut_world test(81 + hosts, hosts);
            test.cut(names, true);
            // Hosts that are out of reach are known as such.
            test.world->run_for(duration(5'000));
            for (const auto& name : names) {
                for (const auto host : test.hosts_of(name)) {
                    INFO(hosts << " hosts each, " << names.size() << " cut off, host " << host);
                    std::optional<submit_answer> answer;
                    test.world->host(host)->submit(
                        {"00000000000000f" + std::to_string(host)}, test.world->queue("renders"),
                        sim_world::simple_job(1), duration(2'500),
                        [&](const submit_answer& given) { answer = given; });
                    CHECK(test.world->run_until([&] { return answer.has_value(); }, duration(300)));
                    REQUIRE(answer);
                    CHECK(answer->outcome == submit_outcome::unavailable);
                    CHECK(answer->retry_after > duration(0));
                }
            }
            test.cut(names, false);
            test.world->run_for(heal_time);
            check_guarantees(*test.world); // no other job may start
        }
    }
}

// What happens in the part that is cut off must not let a task run in two places, whatever the
// hosts outside conclude from its silence.
TEST_CASE("nothing runs twice when the owner in a cut-off data centre fails meanwhile") {
    enum class fault : std::uint8_t { freeze, kill, restart, replace, lose_peer, restart_peer };
    for (const auto what : {fault::freeze, fault::kill, fault::restart, fault::replace,
                            fault::lose_peer, fault::restart_peer}) {
        for (const std::size_t hosts : {1U, 2U, 3U}) {
            INFO("fault " << static_cast<int>(what) << ", " << hosts << " hosts each");
            const cut_world test(91 + hosts, hosts);
            auto& world = *test.world;
            const auto owner = test.owner_in("a");
            const auto local = test.hosts_of("a");
            const auto peer = *std::find_if(local.begin(), local.end(), [&](std::size_t host) {
                return host != owner || local.size() == 1;
            });
            const auto all = world.host_count() * tasks_each;
            test.cut({"a"}, true);
            world.run_for(duration(7'000));
            switch (what) {
            case fault::freeze:
                world.freeze_host(owner, duration(9'000));
                break;
            case fault::kill:
                world.kill_host(owner);
                break;
            case fault::restart:
                world.kill_host(owner);
                world.run_for(duration(500));
                world.start_host(owner);
                break;
            case fault::replace:
                world.stop_host(owner);
                world.run_for(duration(2'000));
                world.kill_host(owner);
                world.start_host(owner);
                break;
            case fault::lose_peer:
                world.kill_host(peer);
                break;
            case fault::restart_peer:
                world.kill_host(peer);
                world.run_for(duration(500));
                world.start_host(peer);
                break;
            }
            for (int second = 0; second < 40; ++second) {
                world.run_for(duration(1'000));
                CHECK(test.list_runs().size() <= all);
            }
            test.cut({"a"}, false);
            for (const auto host : local) {
                world.start_host(host);
            }
            CHECK(world.run_until([&] { return test.list_runs().size() == all; },
                                  heal_time + duration(8'000)));
            world.run_for(duration(5'000));
            CHECK(test.list_runs().size() == all);
            check_guarantees(world);
        }
    }
}

// Each host outside that claims the shard fails in turn. The last one has to wait as well.
TEST_CASE("nothing runs twice over a chain of takeovers outside of a cut-off data centre") {
    for (const std::size_t hosts : {1U, 2U, 3U}) {
        INFO(hosts << " hosts each");
        const cut_world test(101 + hosts, hosts);
        auto& world = *test.world;
        const auto runs = test.list_runs("a");
        const auto all = world.host_count() * tasks_each;
        test.cut({"a"}, true);
        std::set<std::size_t> owners;
        for (int round = 0; round < 3; ++round) {
            const auto outside = [&] {
                const auto owner = world.owner_of("a.0");
                return owner && world.data_centre_of(*owner).value != "a";
            };
            REQUIRE(world.run_until(outside, duration(12'000)));
            const auto owner = *world.owner_of("a.0");
            owners.insert(owner);
            world.run_for(duration(1'500));
            world.kill_host(owner);
            world.run_for(duration(1'000));
            world.start_host(owner);
        }
        CHECK(test.count_seconds(runs, duration(20'000)) == 20);
        test.cut({"a"}, false);
        CHECK(test.count_seconds(runs, heal_time) == 12);
        CHECK(test.list_runs().size() == all);
        check_guarantees(world);
    }
}

// The cut heals in parts: hosts hear each other before the workers are back, or the other way.
TEST_CASE("nothing runs twice when a cut heals on one side first") {
    for (const std::size_t hosts : {1U, 2U, 3U}) {
        for (const bool from_inside : {true, false}) {
            INFO(hosts << " hosts each, from inside " << from_inside);
            const cut_world test(111 + hosts, hosts);
            auto& world = *test.world;
            const auto all = world.host_count() * tasks_each;
            test.cut({"a"}, true);
            world.run_for(duration(15'000));
            for (const auto* other : {"b", "c"}) {
                world.cut_region(from_inside ? "a" : other, from_inside ? other : "a", false);
            }
            world.run_for(duration(15'000));
            test.cut({"a"}, false);
            world.run_for(heal_time + duration(8'000));
            CHECK(test.list_runs().size() == all);
            check_guarantees(world);
        }
    }
}

// What is left of a data centre that is gone with all its hosts and workers looks like one that is
// cut off. Its tasks wait for the limit, which the metrics show, or for an operator.
TEST_CASE("the tasks of a data centre that is gone run elsewhere after the limit, or when told") {
    for (const bool told : {false, true}) {
        INFO("told " << told);
        const cut_world test(121, 1);
        auto& world = *test.world;
        const auto all = world.host_count() * tasks_each;
        const auto lost = test.list_runs("a").size();
        const auto owner = test.owner_in("a");
        // A statement that was left behind doesn't count.
        world.store().put("meta/gone/a", "earlier");
        world.kill_host(owner);
        for (auto& [id, worker] : world.workers()) {
            if (worker.entry.data_centre.value == "a") {
                world.crash_worker(id);
            }
        }
        world.run_for(duration(60'000));
        CHECK(test.list_runs().size() == all - lost);
        const auto successor = world.owner_of("a.0");
        REQUIRE(successor);
        CHECK(world.counter(*successor, "takeover_waiting_ms", "a.0") > 45'000);
        const auto left = world.counter(*successor, "takeover_ends_in_ms", "a.0");
        CHECK(left > 540'000);
        CHECK(left < 600'000);
        if (told) {
            world.store().put("meta/gone/a", "the data centre burned down");
            CHECK(world.run_until([&] { return test.list_runs().size() == all; }, duration(5'000)));
        } else {
            // Recorded runs are waited for by the usual lease only, 7.2 s less than the takeover.
            world.run_for(duration(static_cast<std::int64_t>(left) - 8'500));
            CHECK(test.list_runs().size() == all - lost);
            CHECK(world.run_until([&] { return test.list_runs().size() == all; }, duration(8'500)));
            world.run_for(duration(8'500));
        }
        CHECK(world.counter(*successor, "takeover_ends_in_ms", "a.0") == 0);
        check_guarantees(world);
    }
}

// At the limit, an owner that is cut off has to stop before those outside start its tasks. If each
// data centre is cut off, nobody does before the cut ends.
TEST_CASE("nothing runs twice when a cut lasts longer than the limit") {
    for (const std::size_t hosts : {1U, 2U}) {
        for (const auto& names : {std::vector<std::string>{"a"}, data_centres}) {
            INFO(hosts << " hosts each, " << names.size() << " cut off");
            const cut_world test(141 + hosts, hosts);
            auto& world = *test.world;
            const auto all = world.host_count() * tasks_each;
            const auto runs = names.size() == 1 ? test.list_runs("a") : test.list_runs();
            const auto starts = world.starts();
            test.cut(names, true);
            // The limit of 10 minutes counts from the store's last answer.
            world.run_for(duration(590'000));
            CHECK(test.count_seconds(runs, duration(5'000)) == 5);
            CHECK(world.starts() == starts);
            // 2% for slow clocks, and a takeover of 15 s.
            world.run_for(duration(49'000));
            CHECK(test.list_runs().size() == (names.size() == 1 ? all : 0));
            CHECK(world.starts() == starts + (names.size() == 1 ? runs.size() : 0));
            check_guarantees(world);
            test.cut(names, false);
            CHECK(world.run_until([&] { return test.list_runs().size() == all; }, heal_time));
            world.run_for(heal_time);
            CHECK(test.list_runs().size() == all);
            CHECK(world.starts() == starts + runs.size());
            check_guarantees(world);
        }
    }
}

// LOST: a data centre is cut off and loses power with all others, so nothing of it runs any more,
// and nothing outside tells. With a short limit, its tasks run elsewhere soon after it: the limit,
// 8 s for a takeover with recorded runs, and 3 s in which hosts see the last transaction.
TEST_CASE(
    "the tasks of a data centre that is cut off and restarted run elsewhere after the limit") {
    constexpr duration limit{10'000};
    for (const bool cut_first : {true, false}) {
        for (const std::size_t hosts : {1U, 2U}) {
            INFO("the cut comes first " << cut_first << ", " << hosts << " hosts each");
            const cut_world test(151 + hosts, hosts, limit);
            auto& world = *test.world;
            const auto all = world.host_count() * tasks_each;
            const auto power_off = [&] {
                for (std::size_t host = 0; host < world.host_count(); ++host) {
                    world.kill_host(host);
                }
            };
            if (cut_first) {
                test.cut({"a"}, true);
                world.run_for(duration(6'000));
                power_off();
            } else {
                power_off();
                world.run_for(duration(700));
                test.cut({"a"}, true);
            }
            world.run_for(duration(1'400));
            for (std::size_t host = 0; host < world.host_count(); ++host) {
                world.start_host(host);
            }
            const auto bound = world.now() + limit * 102 / 100 + duration(11'000);
            // The workers keep what they run for as long as their leases last.
            REQUIRE(world.run_until([&] { return test.list_runs("a").empty(); }, duration(6'000)));
            CHECK(world.run_until([&] { return test.list_runs().size() == all; },
                                  bound - world.now()));
            check_guarantees(world);
            test.cut({"a"}, false);
            world.run_for(heal_time);
            CHECK(test.list_runs().size() == all);
            check_guarantees(world);
        }
    }
}

// Guards against tasks that start elsewhere while a data centre with a short limit goes on, however
// often the owners outside change.
TEST_CASE("nothing runs twice when a cut lasts longer than a short limit") {
    constexpr duration limit{10'000};
    for (const std::size_t hosts : {1U, 2U}) {
        for (std::uint64_t seed = 161; seed <= 164; ++seed) {
            INFO("seed " << seed << ", " << hosts << " hosts each");
            const cut_world test(seed, hosts, limit);
            auto& world = *test.world;
            const auto all = world.host_count() * tasks_each;
            const auto runs = test.list_runs("a");
            test.cut({"a"}, true);
            // The store confirmed the owner less than a second before the cut.
            CHECK(test.count_seconds(runs, duration(9'000)) == 9);
            const auto outside = [&] {
                const auto owner = world.owner_of("a.0");
                return owner && world.data_centre_of(*owner).value != "a";
            };
            REQUIRE(world.run_until(outside, duration(3'000)));
            const auto owner = *world.owner_of("a.0");
            world.run_for(duration(3'000));
            world.kill_host(owner);
            world.run_for(duration(1'000));
            world.start_host(owner);
            // The owner that was killed stores nothing more, and its limit counts as well.
            CHECK(world.run_until([&] { return test.list_runs().size() == all; },
                                  duration(14'000) + limit * 102 / 100 + duration(20'000)));
            test.cut({"a"}, false);
            world.run_for(heal_time);
            CHECK(test.list_runs().size() == all);
            check_guarantees(world);
        }
    }
}

// Guards against a limit for cuts that also ends what an outage of the store leaves alone: hosts of
// other data centres confirm each owner, and nobody can claim its shard.
TEST_CASE("an outage of the store ends nothing at the limit for a data centre that is cut off") {
    for (const std::size_t hosts : {1U, 2U, 3U}) {
        INFO(hosts << " hosts each");
        const cut_world test(181 + hosts, hosts, default_isolated_limit);
        auto& world = *test.world;
        const auto runs = test.list_runs();
        const auto starts = world.starts();
        world.set_store_mode_for_all(store_mode::silent);
        CHECK(test.count_seconds(runs, cut_time) == 60);
        // The limit counts from the last confirmation from elsewhere, not from the outage.
        test.cut({"a"}, true);
        CHECK(test.count_seconds(runs, default_isolated_limit - duration(1'000)) == 6);
        test.cut({"a"}, false);
        CHECK(test.count_seconds(runs, duration(5'000)) == 5);
        world.set_store_mode_for_all(store_mode::up);
        CHECK(test.count_seconds(runs, heal_time) == 12);
        CHECK(world.starts() == starts);
        check_guarantees(world);
    }
}

// Guards against an owner whose record doesn't tell which data centre its witnesses are in: neither
// side could tell an outage of the store from a cut.
TEST_CASE("the witnesses of an owner are recorded with their data centres") {
    const cut_world test(191, 3, default_isolated_limit);
    const auto& world = *test.world;
    const auto stored = test.world->store().get(ownership_key({"a.0"}));
    REQUIRE(stored);
    const auto witnesses = parse_ownership(stored->value).value().current.witnesses;
    REQUIRE(witnesses.spread.size() == 7);
    CHECK(witnesses.elsewhere.size() == 2);
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        const host_id name{world.name_of(host)};
        const auto& data_centre = world.data_centre_of(host);
        const auto group = witnesses.elsewhere.find(data_centre);
        const bool listed = group != witnesses.elsewhere.end() && group->second.contains(name);
        CHECK(listed == (data_centre.value != "a" && witnesses.spread.contains(name)));
    }
}

// TWICE: a transaction was applied but not answered; seconds later a repeated attempt showed that,
// and the owner counted its limit from there. Its successor had seen the transaction long before.
TEST_CASE("nothing runs twice when an owner learns late that its last transaction was applied") {
    constexpr duration limit{10'000};
    constexpr duration step{5};
    for (std::uint64_t seed = 171; seed <= 174; ++seed) {
        for (const std::int64_t silent : {3'000, 4'500, 6'000}) {
            INFO("seed " << seed << ", silent for " << silent << " ms");
            const cut_world test(seed, 1, limit);
            auto& world = *test.world;
            const auto owner = test.owner_in("a");
            world.lost_replies = 1;
            world.run_for(duration(400));
            world.lost_replies = 0;
            test.cut({"a"}, true);
            world.run_for(duration(silent));
            // The store answers the owner until it has learned of its transaction.
            const auto conflicts = world.counter(owner, "commits", "conflict");
            world.set_store_mode(owner, store_mode::up);
            const auto learned = [&] {
                world.run_for(step);
                return world.counter(owner, "commits", "conflict") > conflicts;
            };
            for (int i = 0; i < 400 && !learned(); ++i) {
            }
            CAPTURE(world.counter(owner, "commits", "conflict") - conflicts);
            world.set_store_mode(owner, store_mode::silent);
            world.run_for(duration(45'000));
            check_guarantees(world);
        }
    }
}

// An operator who is mistaken must not make tasks run in two places.
TEST_CASE("a data centre isn't taken for gone while something of it shows that it lives") {
    for (const bool hosts_heard : {true, false}) {
        INFO("hosts are heard " << hosts_heard);
        const cut_world test(131, 2);
        auto& world = *test.world;
        const auto runs = test.list_runs("a");
        test.cut({"a"}, true);
        if (hosts_heard) {
            // Their datagrams arrive, and nothing else does.
            world.cut_region("a", "b", false);
            world.cut_region("a", "c", false);
        } else {
            // The workers reach the store, which no host of the data centre does.
            for (auto& [id, worker] : world.workers()) {
                worker.cut_from_store = false;
            }
        }
        world.run_for(duration(20'000));
        world.store().put("meta/gone/a", "all lost");
        CHECK(test.count_seconds(runs, duration(20'000)) == 20);
        CHECK(test.list_runs().size() == world.host_count() * tasks_each);
        check_guarantees(world);
        test.cut({"a"}, false);
        world.run_for(heal_time);
        check_guarantees(world);
    }
}

} // namespace fulmar
