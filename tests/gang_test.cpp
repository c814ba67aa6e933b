// Gangs: their members have one run number, start in one round and end together.
#include "shard_internal.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <set>

using namespace fulmar;

namespace {

constexpr unix_time wall_clock{1'700'000'000'000};
constexpr std::uint64_t the_loan = 7;
constexpr std::uint32_t members = 3;
constexpr duration tick{20};
// By when a silent worker's runs have certainly ended.
constexpr duration lease_limit{8'000};
const job_id the_job{"00000000000000aa"};

job_spec make_gang() {
    job_spec spec;
    spec.steps.emplace_back();
    spec.steps.front().count = members;
    spec.steps.front().gang = true;
    spec.steps.front().spread_limit = 1;
    spec.steps.front().need = {{1'000}, {512}, {0}};
    spec.steps.front().estimate = duration(60'000);
    return spec;
}

// A shard of four workers. They carry out each start unless it is refused, and report what they
// are told.
struct gang_world {
    metrics counters;
    decision_log log{"", {}, {}};
    shard_record record{{"east.0"}, {"east"}, {{"r1"}}};
    time_point now{duration(1'000)};
    std::uint64_t revision = 10;
    request_token token = 0;
    shard_state shard;
    std::vector<start_command> starts; // all that were sent
    std::set<worker_id> silent;
    std::set<worker_id> refusing;
    std::map<worker_id, std::set<run_key>> running;
    std::map<worker_id, std::vector<run_end>> ended; // not acknowledged
    std::map<worker_id, std::uint64_t> ends;
    std::vector<json> results; // sent to the lender

    // `entries` are what former owners stored.
    explicit gang_world(std::vector<store_entry> entries = {}, epoch_number epoch = {1},
                        std::uint32_t workers = members + 1)
        : shard(make_shard(record, {"host/1"}, epoch, {1}, {}, counters, log)) {
        std::vector<known_worker> known;
        for (std::uint32_t i = 0; i < workers; ++i) {
            known.push_back({make_target(fmt::format("w{}", i))});
        }
        entries.push_back({worker_list_key(record.id), encode(known), {3}});
        load_shard(shard, entries);
        for (const auto& row : known) {
            add_worker(row.target.id.value);
        }
    }

    static worker_target make_target(const std::string& id) { return {{id}, {"10.0.0.1", 1}}; }

    void add_worker(const std::string& id) {
        worker_entry entry;
        entry.target = make_target(id);
        entry.service = {"desk"};
        entry.capacity = {{8'000}, {32'000}, {0}};
        on_worker_entry(shard, entry, now);
        report(entry.target.id);
    }

    void report(const worker_id& id) {
        if (silent.contains(id)) {
            on_hold_reply(shard, id, error{error_kind::timeout, ""}, now, now, wall_clock);
            return;
        }
        hold_reply reply;
        reply.clock = {now.time_since_epoch().count()};
        for (const auto& run : running[id]) {
            reply.running.push_back({run, fmt::format("seen-{}", id.value), 50, 0});
        }
        reply.ended = ended[id];
        on_hold_reply(shard, id, reply, now, now, wall_clock);
    }

    void end(const run_key& run, run_end_kind kind, const std::string& checkpoint = "") {
        for (auto& [id, runs] : running) {
            if (runs.erase(run) > 0) {
                ended[id].push_back({++ends[id], run, kind, checkpoint});
            }
        }
    }

    void step() {
        now += tick;
        shard.claim_confirmed = now;
        shard_actions actions;
        advance(shard, now, wall_clock, actions);
        for (const auto& start : actions.starts) {
            starts.push_back(start.command);
            if (silent.contains(start.target.id)) {
                continue;
            }
            command_reply reply;
            reply.outcome = command_outcome::done;
            if (refusing.contains(start.target.id)) {
                reply.outcome = command_outcome::no_room;
            } else {
                running[start.target.id].insert(start.command.run);
            }
            on_start_reply(shard, start.command.run, reply, now);
        }
        for (const auto& stop : actions.stops) {
            if (!silent.contains(stop.target.id)) {
                end(stop.command.run, run_end_kind::stopped, "stopped");
                on_stop_reply(shard, stop.command.run, command_reply{}, now);
            }
        }
        for (const auto& message : actions.loan_messages) {
            results.push_back(json::parse(message.body));
        }
        if (actions.commit) {
            transaction_reply reply;
            reply.applied = revision_number{++revision};
            on_commit_reply(shard, reply, now, now);
        }
        for (const auto& hold : actions.holds) {
            report(hold.target.id);
        }
    }

    void pass(duration time) {
        for (const auto until = now + time; now < until;) {
            step();
        }
    }

    // Has another shard lend the gang.
    void borrow() {
        queue_spec queue;
        queue.service = {"desk"};
        json body{{"kind", "offer"},
                  {"from", "west.0"},
                  {"to", "east.0"},
                  {"loan", the_loan},
                  {"job", the_job},
                  {"queue", encode_queue(queue)},
                  {"spec", encode_spec(make_gang())},
                  {"accepted", wall_clock},
                  {"occurrence", 0},
                  {"step", 0},
                  {"tasks", json::array()}};
        for (std::uint32_t index = 0; index < members; ++index) {
            body["tasks"].push_back({index, 0, json::array(), 0, ""});
        }
        on_loan_message(shard, body, ++token, now, wall_clock);
    }

    worker_id worker_of(std::uint32_t index) {
        for (const auto& [id, runs] : running) {
            for (const auto& run : runs) {
                if (run.task.index == index) {
                    return id;
                }
            }
        }
        return {};
    }

    std::size_t count_running() const {
        std::size_t count = 0;
        for (const auto& [id, runs] : running) {
            count += runs.size();
        }
        return count;
    }
};

} // namespace

// TWICE: a borrower finished only the member whose end was reported. A member on a worker that
// didn't answer around the end of its gang ran again.
TEST_CASE("no member of a borrowed gang starts again after another one has ended as done") {
    gang_world world;
    world.borrow();
    world.pass(duration(500));
    REQUIRE(world.count_running() == members);
    const auto first = world.starts.at(0).run;
    world.silent.insert(world.worker_of(2));
    world.end(first, run_end_kind::done);
    world.pass(lease_limit);
    CHECK(world.starts.size() == members);
    REQUIRE_FALSE(world.results.empty());
    CHECK(world.results.front().at("tasks").size() == members);
    for (const auto& row : world.results.front().at("tasks")) {
        CHECK(row.at(1) == static_cast<int>(loan_result::done));
    }
}
