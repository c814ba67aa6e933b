// Run ends that a worker listed to an owner which lost the shard before it stored them. The worker
// lists them to the next owner as well, but that owner may complete its takeover without reaching
// the worker, and would start the tasks again.
#include "shard_handover.hpp"
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr std::string_view end_done = "done";
constexpr std::string_view end_failed = "failed";

bool is_stored_version(const shard_state& shard, const job_id& id, std::uint64_t version) {
    const auto job = shard.tables.jobs.find(id);
    return job == shard.tables.jobs.end() || job->second.stored_version >= version;
}

// Returns whether the end was recorded before, or its task isn't known.
bool is_recorded(shard_state& shard, const run_end& end) {
    const auto* task = find_task(shard.tables, end.run.task);
    if (task == nullptr || task->done) {
        return true;
    }
    const auto& failed = task->failed_runs;
    return std::find(failed.begin(), failed.end(), end.run.number) != failed.end();
}

} // namespace

bool counts_for_successor(const run_end& end) {
    return end.kind == run_end_kind::done || end.kind == run_end_kind::failed;
}

std::vector<listed_run_end> find_unstored_ends(const shard_state& shard) {
    std::vector<listed_run_end> found;
    const auto add = [&](const worker_id& worker, const unacknowledged_run_end& row) {
        if (counts_for_successor(row.end) &&
            !is_stored_version(shard, row.end.run.task.job, row.version)) {
            found.push_back({worker, row.end});
        }
    };
    for (const auto& [id, worker] : shard.tables.workers) {
        for (const auto& row : worker.unacknowledged_ends) {
            add(id, row);
        }
    }
    for (const auto& [worker, row] : shard.passed_ends) {
        add(worker, row);
    }
    return found;
}

std::string encode_passed_ends(const shard_id& shard, const std::vector<listed_run_end>& ends) {
    json rows = json::array();
    for (const auto& [worker, end] : ends) {
        const auto& task = end.run.task;
        rows.push_back({worker, task.job, task.occurrence, task.step, task.index, end.run.number,
                        end.kind == run_end_kind::done ? end_done : end_failed});
    }
    return json{{"to", shard}, {"ends", std::move(rows)}}.dump();
}

std::vector<listed_run_end> parse_passed_ends(const json& body) {
    std::vector<listed_run_end> ends;
    for (const auto& row : body.at("ends")) {
        listed_run_end next;
        next.worker = row.at(0).get<worker_id>();
        next.end.run.task = {row.at(1).get<job_id>(), row.at(2).get<std::uint32_t>(),
                             row.at(3).get<std::uint32_t>(), row.at(4).get<std::uint32_t>()};
        next.end.run.number = row.at(5).get<run_number>();
        const auto kind = row.at(6).get<std::string>();
        if (kind != end_done && kind != end_failed) {
            continue;
        }
        next.end.kind = kind == end_done ? run_end_kind::done : run_end_kind::failed;
        ends.push_back(std::move(next));
    }
    return ends;
}

void on_passed_ends(shard_state& shard, const std::vector<listed_run_end>& ends, time_point now,
                    unix_time unix_now) {
    std::erase_if(shard.passed_ends, [&](const auto& passed) {
        return is_stored_version(shard, passed.second.end.run.task.job, passed.second.version);
    });
    std::size_t applied = 0;
    for (const auto& [worker, end] : ends) {
        open_reported_occurrence(shard, end.run.task, unix_now);
        if (is_recorded(shard, end)) {
            continue;
        }
        apply_run_end(shard, worker, end, now, unix_now);
        const auto job = shard.tables.jobs.find(end.run.task.job);
        if (job != shard.tables.jobs.end()) {
            shard.passed_ends.push_back({worker, {end, job->second.version}});
        }
        ++applied;
    }
    shard.counters->count("ends_passed", "applied", static_cast<double>(applied));
    shard.log->write_rare("event=passed_ends_received shard={} epoch={} ends={} applied={} "
                          "takeover_complete={}",
                          shard.id.value, shard.epoch.value, ends.size(), applied,
                          shard.takeover_complete);
}

} // namespace fulmar
