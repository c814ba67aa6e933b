#include "cell_progress.hpp"

#include "fulmar/json.hpp"

namespace fulmar {

namespace {

// Converts a set of indexes to [first, last] pairs, so that the progress of a finished job stays
// small however many tasks it has.
json ranges_of(const std::set<std::uint32_t>& indexes) {
    json ranges = json::array();
    for (const std::uint32_t index : indexes) {
        if (!ranges.empty() && ranges.back()[1].get<std::uint32_t>() + 1 == index) {
            ranges.back()[1] = index;
        } else {
            ranges.push_back({index, index});
        }
    }
    return ranges;
}

std::set<std::uint32_t> indexes_of(const json& ranges) {
    std::set<std::uint32_t> indexes;
    for (const auto& range : ranges) {
        const auto last = range.at(1).get<std::uint32_t>();
        for (auto index = range.at(0).get<std::uint32_t>(); index <= last; ++index) {
            indexes.insert(indexes.end(), index);
        }
    }
    return indexes;
}

// Adds the set to the job's JSON object unless it is empty.
void write_set(json& out, const char* key, const std::set<std::uint32_t>& indexes) {
    if (!indexes.empty()) {
        out[key] = ranges_of(indexes);
    }
}

std::set<std::uint32_t> read_set(const json& in, const char* key) {
    return in.contains(key) ? indexes_of(in.at(key)) : std::set<std::uint32_t>{};
}

} // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(committed_checkpoint, attempt, checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(committed_intent, attempt, worker)

void to_json(json& out, const job_progress& in) {
    out = json::object();
    write_set(out, "finished", in.finished);
    write_set(out, "parked", in.parked);
    write_set(out, "unknown", in.outcome_unknown);
    write_set(out, "cancelled", in.cancelled);
    write_set(out, "stopped", in.stopped);
    if (!in.checkpoints.empty()) {
        out["checkpoints"] = in.checkpoints;
    }
    if (!in.intents.empty()) {
        out["intents"] = in.intents;
    }
    if (!in.failures.empty()) {
        out["failures"] = in.failures;
        out["failed_attempts"] = in.failed_attempts;
    }
    if (!in.moving_to.value.empty()) {
        out["moving_to"] = in.moving_to;
    }
    if (in.moves != 0) {
        out["moves"] = in.moves;
    }
}

void from_json(const json& in, job_progress& out) {
    out.finished = read_set(in, "finished");
    out.parked = read_set(in, "parked");
    out.outcome_unknown = read_set(in, "unknown");
    out.cancelled = read_set(in, "cancelled");
    out.stopped = read_set(in, "stopped");
    out.checkpoints = in.value("checkpoints", out.checkpoints);
    out.intents = in.value("intents", out.intents);
    out.failures = in.value("failures", out.failures);
    out.failed_attempts = in.value("failed_attempts", out.failed_attempts);
    out.moving_to = in.value("moving_to", out.moving_to);
    out.moves = in.value("moves", out.moves);
}

void to_json(json& out, const cell_progress& in) {
    json jobs = json::object();
    for (const auto& [id, progress] : in.jobs) {
        jobs[id.value] = progress;
    }
    out = json{{"epoch", in.epoch}, {"jobs", std::move(jobs)}};
}

void from_json(const json& in, cell_progress& out) {
    in.at("epoch").get_to(out.epoch);
    for (const auto& [id, progress] : in.at("jobs").items()) {
        out.jobs[job_id{id}] = progress.get<job_progress>();
    }
}

std::string serialize(const cell_progress& progress) {
    return json(progress).dump();
}

std::string serialize(const job_progress& progress) {
    return json(progress).dump();
}

result<job_progress> parse_job_progress(std::string_view text) {
    return parse_json<job_progress>(text);
}

result<cell_progress> parse_cell_progress(std::string_view text) {
    return parse_json<cell_progress>(text);
}

} // namespace fulmar
