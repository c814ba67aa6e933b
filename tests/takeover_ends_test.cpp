// Run ends around a change of a shard's owner: what a worker has listed to one owner counts for the
// next one, although that one may not reach the worker.
#include "shard_records.hpp"
#include "sim_test_support.hpp"

namespace fulmar {

namespace {

constexpr std::size_t far_workers = 2; // of six, so that the others are a majority

// Gives a shard to another host, as if that host had claimed it. Nothing has failed.
void move_claim(sim_world& world, const std::string& shard, std::size_t to) {
    const auto present = parse_claim(world.store().get(claim_key({shard}))->value).value();
    const auto name = "east-" + std::to_string(to + 1);
    const claim_record next{{name + "/run-1-" + std::to_string(to)}, {present.epoch.value + 1}};
    world.store().put(claim_key({shard}), encode(next));
}

// Returns the workers with the most runs that haven't ended.
std::vector<std::string> find_busiest(sim_world& world, std::size_t count) {
    std::vector<std::pair<std::size_t, std::string>> sorted;
    for (const auto& [id, worker] : world.workers()) {
        sorted.emplace_back(worker.model->occupied().size(), id);
    }
    std::sort(sorted.rbegin(), sorted.rend());
    std::vector<std::string> found;
    for (std::size_t i = 0; i < std::min(count, sorted.size()); ++i) {
        found.push_back(sorted[i].second);
    }
    return found;
}

struct listed_ends {
    std::size_t after_claim = 0;  // ends as done that were first listed after the claim
    std::size_t before_claim = 0; // those listed shortly before it
    std::string again; // the runs that started after such an end of their task was listed
};

// Finds the ends as done that the given workers listed near the time of the claim and before they
// were reached again, and the later starts of their tasks on any worker.
listed_ends find_listed(sim_world& world, const std::vector<std::string>& workers, time_point claim,
                        time_point reached) {
    constexpr duration shortly{400};
    listed_ends found;
    std::map<task_key, time_point> listed;
    for (const auto& id : workers) {
        for (const auto& run : world.workers().at(id).model->observed()) {
            if (run.end != run_end_kind::done || !run.listed || *run.listed >= reached ||
                *run.listed < claim - shortly) {
                continue;
            }
            ++(*run.listed >= claim ? found.after_claim : found.before_claim);
            listed.try_emplace(run.run.task, *run.listed);
        }
    }
    for (const auto& [id, worker] : world.workers()) {
        for (const auto& run : worker.model->observed()) {
            const auto end = listed.find(run.run.task);
            if (end != listed.end() && run.from > end->second) {
                found.again += run.run.task.job.value + " run " +
                               std::to_string(run.run.number.value) + " on " + id + "\n";
            }
        }
    }
    return found;
}

// Moves the claim of a shard while tasks end, with two workers that the new owner doesn't reach.
listed_ends end_during_takeover(std::uint64_t seed, bool store_answers) {
    constexpr std::size_t jobs = 20;
    constexpr duration first_work{2'000};
    constexpr duration spacing{70};
    sim_world world(seed, {"east"}, 2);
    world.run_for(startup_time);
    const auto owner = world.owner_of("east.0");
    REQUIRE(owner);
    const std::size_t successor = *owner ^ 1U;
    for (std::size_t i = 0; i < jobs; ++i) {
        world.submit(*owner, sim_world::simple_job(1),
                     first_work + spacing * static_cast<std::int64_t>(i));
    }
    world.run_for(duration(1'000));
    const auto far = find_busiest(world, far_workers);
    for (const auto& id : far) {
        world.workers().at(id).disconnected_hosts.insert(successor);
    }
    world.run_for(duration(1'100));
    if (!store_answers) {
        // The owner processes ends and can't store them.
        world.set_store_mode(*owner, store_mode::busy);
        world.run_for(duration(350));
    }
    const auto claim = world.now();
    move_claim(world, "east.0", successor);
    if (!store_answers) {
        world.run_for(duration(1'000));
        world.set_store_mode(*owner, store_mode::up);
    }
    // The new owner completes its takeover by waiting, and starts what isn't done.
    world.run_for(duration(14'000));
    CHECK(world.owner_of("east.0") == successor);
    const auto reached = world.now();
    for (const auto& id : far) {
        world.workers().at(id).disconnected_hosts.clear();
    }
    CHECK(finish_all(world, finish_time));
    check_guarantees(world);
    return find_listed(world, far, claim, reached);
}

} // namespace

// A worker answers a hold of the former owner after that one has dropped the shard. The end was
// ignored, and the new owner started the task again.
TEST_CASE("an end listed to a former owner counts for an owner that doesn't reach the worker") {
    std::size_t after_claim = 0;
    for (std::uint64_t seed = 70; seed < 76; ++seed) {
        INFO("seed " << seed);
        const auto found = end_during_takeover(seed, true);
        INFO(found.again);
        CHECK(found.again.empty());
        after_claim += found.after_claim;
    }
    CHECK(after_claim > 0);
}

// The former owner processed ends and lost the shard before it stored them.
TEST_CASE("an end that a former owner processed and didn't store counts for the new owner") {
    std::size_t before_claim = 0;
    for (std::uint64_t seed = 76; seed < 82; ++seed) {
        INFO("seed " << seed);
        const auto found = end_during_takeover(seed, false);
        INFO(found.again);
        CHECK(found.again.empty());
        before_claim += found.before_claim;
    }
    CHECK(before_claim > 0);
}

} // namespace fulmar
