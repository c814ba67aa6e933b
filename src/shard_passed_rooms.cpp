// Room that an owner passes on to its successor in a planned handover: reservations for tasks that
// wait here, requests of other shards with their claims, and grants of other shards. All of these
// are hints: the successor reserves what still fits on workers whose runs it knows.
#include "shard_handover.hpp"
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// A successor knows most workers within a second: their addresses are stored first.
constexpr duration passed_rooms_validity{2'000};

// For so long after a load, borrowed tasks aren't returned for want of room while workers that
// could run them haven't listed their runs. Lending them anew takes as long.
constexpr duration inventory_wait{1'500};

// Of each kind. A request or a reservation beyond these is made anew.
constexpr std::size_t passed_rows = 128;

json encode_key(const task_key& key) {
    return {
        {"job", key.job}, {"occurrence", key.occurrence}, {"step", key.step}, {"task", key.index}};
}

json encode_passed_request(const task_key& key, const room_request& request, time_point now) {
    auto row = encode_key(key);
    row["from"] = request.from;
    row["service"] = request.service;
    row["label"] = request.label;
    row["spread_limit"] = request.spread_limit;
    row["need"] = request.need;
    row["first_run"] = request.claim.first_run;
    row["waited_ms"] = (now - request.claim.since).count();
    row["priority"] = request.priority;
    row["evict"] = request.evict;
    row["lending"] = request.lending;
    row["worker"] = request.worker.value_or(worker_id{});
    return row;
}

room_request parse_passed_request(const json& row, time_point now) {
    room_request request;
    request.from = row.at("from").get<shard_id>();
    request.service = row.at("service").get<service_id>();
    request.label = row.value("label", std::string());
    request.spread_limit = row.value("spread_limit", std::uint32_t{0});
    request.need = row.at("need").get<resources>();
    request.claim.first_run = row.value("first_run", false);
    request.claim.since = now - duration(std::max<std::int64_t>(0, row.value("waited_ms", 0)));
    request.priority = row.value("priority", 0);
    request.evict = row.value("evict", false);
    request.lending = row.value("lending", false);
    if (auto worker = row.value("worker", worker_id{}); !worker.value.empty()) {
        request.worker = std::move(worker);
    }
    return request;
}

// Returns the rows of a list that may be missing, no more than an owner passes on.
std::vector<json> list_rows(const json& body, const char* name) {
    auto rows = body.value(name, std::vector<json>());
    rows.resize(std::min(rows.size(), passed_rows));
    return rows;
}

// Returns the worker if its runs are known and it is in use by now, or nullptr.
worker_row* find_known_worker(shard_state& shard, const worker_id& id, time_point now) {
    const auto worker = shard.tables.workers.find(id);
    return worker == shard.tables.workers.end() || !keeps_reservations(shard, worker->second, now)
               ? nullptr
               : &worker->second;
}

bool has_room(const shard_state& shard, const worker_row& worker, const resources& need) {
    return fits(need, long_running_room(shard.tables, worker));
}

// Reserves room for a task that waits here. Returns false if the worker isn't known yet.
bool apply_reservation(shard_state& shard, const passed_rooms::reservation& passed,
                       time_point now) {
    const auto* stage = find_stage(shard.tables, passed.task);
    if (stage == nullptr || !stage->waiting.contains(passed.task.index) ||
        stage->tasks[passed.task.index].reserved_worker) {
        return true;
    }
    auto* worker = find_known_worker(shard, passed.worker, now);
    if (worker == nullptr) {
        return false;
    }
    const auto& job = shard.tables.jobs.at(passed.task.job);
    const auto& need = job.spec.steps[passed.task.step].need;
    if (can_run_on(job, *stage, *worker) && has_room(shard, *worker, need)) {
        reserve(shard, passed.task, need, *worker, now);
        shard.counters->count("passed_rooms", "reserved");
    }
    return true;
}

// Adds a request of another shard. Returns false if the worker that holds room for it isn't known
// yet.
bool apply_request(shard_state& shard, const task_key& key, const room_request& passed,
                   time_point now) {
    auto request = passed;
    if (find_stage(shard.tables, key) != nullptr && request.worker) {
        return apply_reservation(shard, {key, *request.worker}, now); // it was lent meanwhile
    }
    worker_row* worker = nullptr;
    if (request.worker) {
        worker = find_known_worker(shard, *request.worker, now);
        if (worker == nullptr && now < shard.inherited_rooms->until) {
            return false;
        }
        request.worker.reset();
    }
    if (worker != nullptr && !has_room(shard, *worker, request.need)) {
        worker = nullptr;
    }
    request.until = now + room_request_validity;
    take_over_request(shard, key, request, worker, now);
    shard.counters->count("passed_rooms", worker == nullptr ? "requested" : "held");
    return true;
}

void apply_grant(shard_state& shard, const task_key& key, const shard_id& by, time_point now) {
    const auto* stage = find_stage(shard.tables, key);
    if (stage != nullptr && stage->waiting.contains(key.index)) {
        shard.granted_rooms.try_emplace(key, granted_room{by, now + room_request_validity});
    }
}

} // namespace

std::string encode_passed_rooms(const shard_state& shard, epoch_number successor, time_point now) {
    json reservations = json::array();
    json requests = json::array();
    json grants = json::array();
    for (const auto& [id, worker] : shard.tables.workers) {
        for (const auto& [key, reservation] : worker.reserved) {
            if (!shard.room_requests.contains(key) && reservations.size() < passed_rows) {
                auto row = encode_key(key);
                row["worker"] = id;
                reservations.push_back(std::move(row));
            }
        }
    }
    for (const auto& [key, request] : shard.room_requests) {
        if (request.until > now && requests.size() < passed_rows) {
            requests.push_back(encode_passed_request(key, request, now));
        }
    }
    for (const auto& [key, granted] : shard.granted_rooms) {
        if (granted.until > now && grants.size() < passed_rows) {
            auto row = encode_key(key);
            row["by"] = granted.by;
            grants.push_back(std::move(row));
        }
    }
    if (reservations.empty() && requests.empty() && grants.empty()) {
        return {};
    }
    return json{{"to", shard.id},
                {"epoch", successor},
                {"reservations", std::move(reservations)},
                {"requests", std::move(requests)},
                {"grants", std::move(grants)}}
        .dump();
}

passed_rooms parse_passed_rooms(const json& body, time_point now) {
    passed_rooms rooms;
    for (const auto& row : list_rows(body, "reservations")) {
        rooms.reservations.push_back({decode_room_key(row), row.at("worker").get<worker_id>()});
    }
    for (const auto& row : list_rows(body, "requests")) {
        rooms.requests.emplace_back(decode_room_key(row), parse_passed_request(row, now));
    }
    for (const auto& row : list_rows(body, "grants")) {
        rooms.grants.emplace_back(decode_room_key(row), row.at("by").get<shard_id>());
    }
    return rooms;
}

void apply_passed_rooms(shard_state& shard, time_point now) {
    if (!shard.inherited_rooms || !grants_room(shard, now)) {
        return;
    }
    auto& rooms = *shard.inherited_rooms;
    if (rooms.until == time_point{}) {
        rooms.until = now + passed_rooms_validity;
        for (const auto& [key, by] : rooms.grants) {
            apply_grant(shard, key, by, now);
        }
        shard.log->write_rare("event=rooms_inherited shard={} epoch={} reservations={} requests={} "
                              "grants={}",
                              shard.id.value, shard.epoch.value, rooms.reservations.size(),
                              rooms.requests.size(), rooms.grants.size());
    }
    const auto applied = std::erase_if(rooms.reservations,
                                       [&](const passed_rooms::reservation& row) {
                                           return apply_reservation(shard, row, now);
                                       }) +
                         std::erase_if(rooms.requests, [&](const auto& row) {
                             return apply_request(shard, row.first, row.second, now);
                         });
    shard.placement_needed = shard.placement_needed || applied > 0;
    if (now >= rooms.until || (rooms.reservations.empty() && rooms.requests.empty())) {
        shard.inherited_rooms.reset();
    }
}

bool awaits_workers(const shard_state& shard, const job_row& job, const stage_row& stage,
                    time_point now) {
    if (now >= shard.loaded_at + inventory_wait) {
        return false;
    }
    if (!shard.takeover_complete && job.inherited) {
        return true;
    }
    const auto& step = job.spec.steps[stage.step];
    return std::any_of(shard.tables.workers.begin(), shard.tables.workers.end(),
                       [&](const auto& row) {
                           const auto& worker = row.second;
                           return worker.listed && !worker.entry.draining &&
                                  worker.reachability != reachability_state::unreachable &&
                                  is_eligible(job.queue.service, step, worker) &&
                                  !(worker.inventoried && is_usable(shard, worker));
                       });
}

} // namespace fulmar
