// A human-readable description of a host's state.
#include "host_control.hpp"

#include <fmt/format.h>

namespace fulmar {

namespace {

std::string_view to_string(reachability_state reachability) {
    switch (reachability) {
    case reachability_state::unknown:
        return "unknown";
    case reachability_state::reachable:
        return "reachable";
    case reachability_state::unreachable:
        return "unreachable";
    }
    return "";
}

std::string describe_worker(const worker_row& worker, time_point now) {
    return fmt::format(
        "worker {} contact={} listed={} draining={} looked={} cpu={}/{} mem={}/{} fillers={} "
        "runs={} unstored_ends={} starts_in_ms={}\n",
        worker.entry.target.id.value, to_string(worker.reachability), worker.listed,
        worker.entry.draining, worker.inventoried, worker.committed.processors.value,
        worker.entry.capacity.processors.value, worker.committed.memory.value,
        worker.entry.capacity.memory.value, worker.filler_demand, worker.runs.size(),
        worker.unacknowledged_ends.size(),
        std::max<std::int64_t>(0, (worker.no_starts_before - now).count()));
}

std::string describe_job(const job_row& job) {
    std::string text = fmt::format("job {} phase={} version={} stored={} home={} loans={}",
                                   job.id.value, to_string(job.phase), job.version,
                                   job.stored_version, job.lender.value, job.loans.size());
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& stage : occurrence.stages) {
            std::size_t not_local = 0;
            for (const auto& task : stage.tasks) {
                not_local += task.not_local ? 1 : 0;
            }
            text += fmt::format(" [{}.{} open={} done={}/{} waiting={} away={}]", number,
                                stage.step, stage.open, stage.done, stage.tasks.size(),
                                stage.waiting.size(), not_local);
        }
    }
    return text + "\n";
}

std::string describe_run(const run_row& run, time_point now) {
    return fmt::format(
        "run {}.{}.{}.{} number={} worker={} phase={} confirmed={} stop_answered={} "
        "age_ms={} pace={}\n",
        run.key.task.job.value, run.key.task.occurrence, run.key.task.step, run.key.task.index,
        run.key.number.value, run.worker.value, to_string(run.phase), run.confirmed.has_value(),
        run.stop_answered.has_value(), (now - run.start_sent).count(), run.pace_target);
}

} // namespace

std::string host_control::describe() const {
    const auto now = loop_.now();
    std::string text = fmt::format("host {} generation={} orders_revision={} store={} leaving={}\n",
                                   self_.value, config_.generation.value, orders_.revision().value,
                                   orders_.healthy(), leaving_);
    for (const auto& [name, peer] : peers_) {
        text += fmt::format("peer {} alive={} heard_ms={}\n", name.value, is_alive(peer),
                            peer.last_received ? (now - *peer.last_received).count() : -1);
    }
    for (const auto& [id, shard] : owned_) {
        const auto& state = shard->state;
        text += fmt::format("shard {} epoch={} loaded={} settled={} starts={} open={} releasing={} "
                            "commit_unsure={}\n",
                            id.value, state.epoch.value, shard->loaded, state.takeover_complete,
                            state.starts_allowed, state.data_centre_open, state.releasing,
                            state.commit.unconfirmed);
        for (const auto& [worker_id, worker] : state.tables.workers) {
            text += describe_worker(worker, now);
        }
        for (const auto& job : state.active) {
            text += describe_job(state.tables.jobs.at(job));
        }
        for (const auto& [key, run] : state.tables.runs) {
            text += describe_run(run, now);
        }
    }
    return text;
}

} // namespace fulmar
