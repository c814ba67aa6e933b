// Who owns a shard: an owner is replaced only if it has failed, and no host gets more shards than
// its processors can serve. Each change of owner delays the shard's tasks.
#include "shard_list.hpp"
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

rack_map make_racks(const std::vector<std::size_t>& workers, bool settled, bool overdue = false) {
    rack_map racks;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        racks[{{"east"}, {"r" + std::to_string(i)}}] = {workers[i], settled, overdue};
    }
    return racks;
}

} // namespace

// Racks were counted while their workers were still registering, so that all racks of a data centre
// went to one shard, whose owner could then not serve it.
TEST_CASE("a rack joins another one's shard only once both are settled") {
    const auto growing = assign_racks({}, make_racks({3, 4, 2}, false), 12);
    CHECK(growing.empty());
    const auto large = assign_racks({}, make_racks({3, 12, 2}, false), 12);
    REQUIRE(large.size() == 1);
    CHECK(large.front().racks == std::vector<rack_id>{{"r1"}});
    const auto full = assign_racks(large, make_racks({20, 20, 20}, true), 12);
    REQUIRE(full.size() == 3);
    for (const auto& shard : full) {
        CHECK(shard.racks.size() == 1);
    }
    CHECK(assign_racks({}, make_racks({8, 8}, true), 12).size() == 1);
    CHECK(assign_racks({}, make_racks({8, 8, 8}, true), 12).size() == 2);
    const auto overdue = assign_racks({}, make_racks({3, 4}, false, true), 12);
    CHECK(overdue.size() == 2);
}

// The same with workers that register one after the other, the racks in turn.
TEST_CASE("shards have their intended size when workers register slowly") {
    sim_world world(63, {"east"}, 2, 36);
    std::vector<std::string> order;
    for (const auto& [id, worker] : world.workers()) {
        order.push_back(id);
    }
    std::sort(order.begin(), order.end(), [](const std::string& a, const std::string& b) {
        const auto number = [](const std::string& id) {
            return std::stoul(id.substr(id.rfind('-') + 1));
        };
        return std::pair(number(a) % 3, number(a)) < std::pair(number(b) % 3, number(b));
    });
    for (const auto& id : order) {
        world.crash_worker(id);
        world.store().remove("servers/" + id);
    }
    for (const auto& id : order) {
        world.run_for(duration(100));
        world.start_worker(id);
    }
    world.run_for(startup_time);
    const auto listed = parse_shards(world.store().get(std::string(shard_list_key))->value).value();
    CHECK(listed.size() == 3);
    for (const auto& shard : listed) {
        CHECK(shard.racks.size() == 4);
    }
}

} // namespace fulmar
