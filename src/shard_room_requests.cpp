// Room requests: a long-running task is lent only for room that another shard's owner has reserved
// for it, and until then it waits for room in all shards at the same time. A task that can't start
// in its own shard does so beside being lent for published room. Requests and grants are
// kept in memory only and expire; a grant is never a right to run a task.
#include "shard_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fulmar {

namespace {

// Limit for room that is reserved for a task that isn't lent here, and for one whose loan is being
// made. The task then waits for a while before room is reserved for it again.
constexpr duration unused_limit = reservation_time;
constexpr duration lending_limit{6'000};
constexpr duration unused_pause{1'000};

// Ranks the worker where room wasn't used in time behind all others.
constexpr double unused_malus = 6;

constexpr duration service_interval{100};

// Log lines about requests without reserved room.
constexpr duration request_log_interval{1'000};
constexpr duration logged_request_wait{3'000};
constexpr std::size_t logged_requests = 4;

// Returns the worker with a request's reservation, or nullptr if there is none any more.
worker_row* find_reserved(shard_state& shard, const task_key& key, const room_request& request) {
    if (!request.worker) {
        return nullptr;
    }
    const auto worker = shard.tables.workers.find(*request.worker);
    return worker == shard.tables.workers.end() || !worker->second.reserved.contains(key)
               ? nullptr
               : &worker->second;
}

// Why room that was held for a task of another shard is released: the request wasn't repeated or
// may not be granted any more, the message of its shard doesn't list the task, the worker accepts
// no starts, the room was held for too long, another worker was chosen, or the room was given up
// for a task that has waited longer.
enum class release_reason : std::uint8_t { expired, unlisted, worker, unused, moved, displaced };

std::string_view to_string(release_reason reason) {
    switch (reason) {
    case release_reason::expired:
        return "expired";
    case release_reason::unlisted:
        return "unlisted";
    case release_reason::worker:
        return "worker";
    case release_reason::unused:
        return "unused";
    case release_reason::moved:
        return "moved";
    case release_reason::displaced:
        return "displaced";
    }
    return "";
}

// `by`: the task that gets the room, if it was displaced.
void release_room(shard_state& shard, const task_key& key, room_request& request,
                  release_reason reason, time_point now, const task_key* by = nullptr) {
    if (auto* worker = find_reserved(shard, key, request)) {
        worker->reserved.erase(key);
        shard.placement_needed = true;
        shard.log->write("event=room_released task={}.{}.{}.{} shard={} for={} worker={} reason={} "
                         "held_ms={} lending={} by={}",
                         key.job.value, key.occurrence, key.step, key.index, shard.id.value,
                         request.from.value, request.worker->value, to_string(reason),
                         (now - request.reserved_at).count(), request.lending,
                         by == nullptr ? std::string()
                                       : fmt::format("{}.{}.{}.{}", by->job.value, by->occurrence,
                                                     by->step, by->index));
    }
    request.worker.reset();
}

// Logs the longest waits for which no room is reserved here.
void log_open_requests(shard_state& shard, time_point now) {
    if (now < shard.next_request_log) {
        return;
    }
    shard.next_request_log = now + request_log_interval;
    std::vector<std::pair<time_point, task_key>> open;
    for (const auto& [key, request] : shard.room_requests) {
        if (!request.worker && now - request.claim.since >= logged_request_wait) {
            open.emplace_back(request.claim.since, key);
        }
    }
    std::sort(open.begin(), open.end());
    const auto count = open.size();
    open.resize(std::min(count, logged_requests));
    for (const auto& [since, key] : open) {
        const auto& request = shard.room_requests.at(key);
        const auto rooms = count_room_for(shard, request.need, request.service, request.label, now);
        shard.log->write_rare(
            "event=room_request_waits task={}.{}.{}.{} shard={} for={} waited_ms={} open={} "
            "need_cpu={} most_cpu={} rooms={} rooms_unreserved={} evict={}",
            key.job.value, key.occurrence, key.step, key.index, shard.id.value, request.from.value,
            (now - since).count(), count, request.need.processors.value, rooms.most.value,
            rooms.beside_reservations, rooms.without_reservations, request.evict);
    }
}

// Releases rooms whose requests have expired, that were held for too long, or that are on workers
// that accept no starts.
void expire_requests(shard_state& shard, time_point now) {
    const bool holds = holds_rooms(shard, now);
    for (auto row = shard.room_requests.begin(); row != shard.room_requests.end();) {
        auto& [key, request] = *row;
        if (!holds || request.until <= now) {
            release_room(shard, key, request, release_reason::expired, now);
            row = shard.room_requests.erase(row);
            continue;
        }
        const auto* worker = find_reserved(shard, key, request);
        if (worker == nullptr || !keeps_reservations(shard, *worker, now)) {
            release_room(shard, key, request, release_reason::worker, now);
        } else if (is_evicting(*worker)) {
            request.reserved_at = now; // the room isn't free yet
        } else if (now >= request.reserved_at + (request.lending ? lending_limit : unused_limit)) {
            request.unused_on = *request.worker;
            release_room(shard, key, request, release_reason::unused, now);
            // One for which runs may be evicted keeps its place.
            request.no_room_before = now + (request.evict ? duration(0) : unused_pause);
        }
        ++row;
    }
    log_open_requests(shard, now);
}

// Returns whether the worker may run a task of another shard, apart from its need.
bool suits_request(shard_state& shard, const task_key& key, const room_request& request,
                   const worker_row& worker, time_point now) {
    return accepts_starts(shard, worker, now) && worker.entry.service == request.service &&
           has_required_label(worker, request.label) &&
           !is_spread_full(request.spread_limit, find_stage(shard.tables, key), worker, key);
}

void reserve_for_request(shard_state& shard, const task_key& key, room_request& request,
                         time_point now) {
    worker_row* best = nullptr;
    std::optional<std::pair<double, millicores>> best_rank;
    for (auto& [id, worker] : shard.tables.workers) {
        if (!suits_request(shard, key, request, worker, now)) {
            continue;
        }
        auto rank = rank_for_reservation(shard, request.need, request.priority, worker, now);
        if (rank && id == request.unused_on) {
            rank->first -= unused_malus;
        }
        if (rank > best_rank) {
            best = &worker;
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        return;
    }
    best->reserved[key] = {request.need, request.until, now};
    request.worker = best->entry.target.id;
    request.reserved_at = now;
    shard.counters->count("room_requests", "reserved");
    shard.log->write("event=room_reserved_for_shard task={}.{}.{}.{} shard={} for={} worker={}",
                     key.job.value, key.occurrence, key.step, key.index, shard.id.value,
                     request.from.value, request.worker->value);
}

// Gives up rooms of shorter waits on the worker where that makes room for a request at the least
// loss. Returns whether it did.
bool displace_for_request(shard_state& shard, const task_key& key, const room_request& request,
                          time_point now) {
    worker_row* best = nullptr;
    std::optional<displacement> best_plan;
    for (auto& [id, worker] : shard.tables.workers) {
        if (worker.reserved.empty() || !suits_request(shard, key, request, worker, now)) {
            continue;
        }
        auto plan = plan_displacement(shard, worker, request.need, request.claim, now);
        if (plan && (!best_plan || plan->processors < best_plan->processors)) {
            best = &worker;
            best_plan = std::move(plan);
        }
    }
    if (best == nullptr) {
        return false;
    }
    for (const auto& displaced : best_plan->keys) {
        if (const auto found = shard.room_requests.find(displaced);
            found != shard.room_requests.end() && found->second.worker == best->entry.target.id) {
            release_room(shard, displaced, found->second, release_reason::displaced, now, &key);
            continue;
        }
        drop_reservation(shard.tables, displaced);
        shard.placement_needed = true;
        shard.log->write("event=room_released task={}.{}.{}.{} shard={} for={} worker={} reason={} "
                         "by={}.{}.{}.{}",
                         displaced.job.value, displaced.occurrence, displaced.step, displaced.index,
                         shard.id.value, shard.id.value, best->entry.target.id.value,
                         to_string(release_reason::displaced), key.job.value, key.occurrence,
                         key.step, key.index);
    }
    return true;
}

// Reserves room for open requests that come before a claim; returns for how many.
std::size_t serve_requests(shard_state& shard, const std::optional<room_claim>& before,
                           time_point now) {
    std::vector<std::pair<room_claim, task_key>> open;
    for (const auto& [key, request] : shard.room_requests) {
        if (!request.worker && !request.lending && (!before || request.claim <= *before) &&
            request.until > now && now >= request.no_room_before) {
            open.emplace_back(request.claim, key);
        }
    }
    if (open.empty() || !grants_room(shard, now)) {
        return 0;
    }
    std::sort(open.begin(), open.end());
    std::size_t served = 0;
    // By stage, as its tasks have the same need, and whether rooms may be displaced for them.
    std::set<std::pair<task_key, bool>> without_room;
    for (const auto& [claim, key] : open) {
        const task_key stage{key.job, key.occurrence, key.step, 0};
        auto& request = shard.room_requests.at(key);
        if (without_room.contains({stage, request.evict})) {
            continue;
        }
        reserve_for_request(shard, key, request, now);
        if (!request.worker && request.evict && displace_for_request(shard, key, request, now)) {
            reserve_for_request(shard, key, request, now);
        }
        if (request.worker) {
            ++served;
        } else {
            without_room.emplace(stage, request.evict);
        }
    }
    return served;
}

// Returns whether the task runs here or is to run here.
bool is_held(shard_state& shard, const task_key& key) {
    const auto* task = find_task(shard.tables, key);
    return task != nullptr && (!task->not_local || !task->runs.empty());
}

// Adds or repeats a request.
void update_request(shard_state& shard, const shard_id& from, const task_key& key, const json& row,
                    time_point now) {
    const auto found = shard.room_requests.find(key);
    const bool lending = row.at("lending").get<bool>();
    if (found == shard.room_requests.end()) {
        if (lending) {
            return; // without a grant, the offer is processed like any other
        }
        room_request request;
        request.from = from;
        request.service = row.at("service").get<service_id>();
        request.label = row.at("label").get<std::string>();
        request.spread_limit = row.at("spread_limit").get<std::uint32_t>();
        request.need = row.at("need").get<resources>();
        request.priority = row.value("priority", 0);
        request.evict = row.value("evict", false);
        // Owners of earlier versions don't tell; their tasks count by their waits only.
        request.claim.first_run = row.value("first_run", false);
        request.claim.since = now - duration(std::max<std::int64_t>(0, row.at("waited_ms")));
        request.until = now + room_request_validity;
        shard.room_requests.emplace(key, std::move(request));
        return;
    }
    auto& request = found->second;
    request.from = from;
    request.lending = lending;
    request.evict = row.value("evict", false);
    if (request.evict) {
        request.no_room_before = now;
    }
    request.until = now + room_request_validity;
    if (auto* worker = find_reserved(shard, key, request)) {
        worker->reserved.at(key).until = request.until;
    }
}

} // namespace

bool holds_rooms(const shard_state& shard, time_point now) {
    return shard.starts_allowed && shard.data_centre_open && has_authority(shard, now);
}

bool grants_room(const shard_state& shard, time_point now) {
    return holds_rooms(shard, now) && !shard.releasing;
}

task_key decode_room_key(const json& from) {
    return {from.at("job").get<job_id>(), from.at("occurrence").get<std::uint32_t>(),
            from.at("step").get<std::uint32_t>(), from.at("task").get<std::uint32_t>()};
}

bool has_required_label(const worker_row& worker, const std::string& label) {
    const auto& labels = worker.entry.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

void take_over_request(shard_state& shard, const task_key& key, const room_request& request,
                       worker_row* worker, time_point now) {
    if (is_held(shard, key)) {
        return;
    }
    // A message of the task's owner may have arrived before.
    auto& row = shard.room_requests.try_emplace(key, request).first->second;
    if (worker == nullptr || row.worker) {
        return;
    }
    worker->reserved[key] = {row.need, row.until, now};
    row.worker = worker->entry.target.id;
    row.reserved_at = now;
}

void serve_room_requests(shard_state& shard, time_point now) {
    if (shard.room_requests.empty() || now < shard.next_room_service) {
        return;
    }
    shard.next_room_service = now + service_interval;
    expire_requests(shard, now);
    serve_requests(shard, std::nullopt, now);
}

std::size_t serve_earlier_requests(shard_state& shard, const room_claim& before, time_point now) {
    return serve_requests(shard, before, now);
}

void use_granted_rooms(shard_state& shard, const job_row& job, const borrowed_tasks& loan,
                       time_point now) {
    if (shard.room_requests.empty()) {
        return;
    }
    auto& stage = *find_stage(shard.tables, {job.id, loan.occurrence, loan.step, 0});
    for (const auto index : loan.tasks) {
        const task_key key{job.id, loan.occurrence, loan.step, index};
        const auto found = shard.room_requests.find(key);
        if (found == shard.room_requests.end()) {
            continue;
        }
        auto& task = stage.tasks[index];
        auto* worker = find_reserved(shard, key, found->second);
        if (worker != nullptr && stage.waiting.contains(index) && !loan.withdrawn &&
            !task.reserved_worker) {
            worker->reserved.at(key).until = now + reservation_time;
            task.reserved_worker = worker->entry.target.id;
            task.reservation_expired = false;
            shard.counters->count("room_requests", "used");
        } else if (worker != nullptr && task.reserved_worker != found->second.worker) {
            release_room(shard, key, found->second, release_reason::moved, now);
        }
        shard.room_requests.erase(found);
    }
}

std::string on_room_requests(shard_state& shard, const json& body, time_point now) {
    const auto from = body.at("from").get<shard_id>();
    const auto number = body.at("number").get<std::uint64_t>();
    json grants = json::array();
    json held = json::array(); // reserved and not free yet
    if (!shard.other_shards.contains(from)) {
        return json{{"grants", grants}}.dump();
    }
    auto& last = shard.last_room_requests[from];
    if (number <= last) {
        return json{{"grants", grants}}.dump(); // a later message arrived before
    }
    last = number;
    std::set<task_key> listed;
    for (const auto& row : body.at("tasks")) {
        const auto key = decode_room_key(row);
        if (!is_held(shard, key)) {
            update_request(shard, from, key, row, now);
            listed.insert(key);
        }
    }
    for (auto row = shard.room_requests.begin(); row != shard.room_requests.end();) {
        auto& [key, request] = *row;
        if (request.from != from || listed.contains(key) || is_held(shard, key)) {
            ++row;
            continue;
        }
        release_room(shard, key, request, release_reason::unlisted, now);
        row = shard.room_requests.erase(row);
    }
    shard.next_room_service = now;
    serve_room_requests(shard, now);
    for (const auto& key : listed) {
        const auto request = shard.room_requests.find(key);
        if (request == shard.room_requests.end() || request->second.lending) {
            continue;
        }
        const auto* worker = find_reserved(shard, key, request->second);
        if (worker == nullptr) {
            continue;
        }
        const bool free = grants_room(shard, now) && accepts_starts(shard, *worker, now) &&
                          fits(request->second.need, free_resources(*worker, &key));
        (free ? grants : held)
            .push_back({{"job", key.job},
                        {"occurrence", key.occurrence},
                        {"step", key.step},
                        {"task", key.index}});
    }
    return json{{"grants", grants}, {"held", held}}.dump();
}

} // namespace fulmar
