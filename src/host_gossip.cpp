#include "host_gossip.hpp"

#include "bounded_json.hpp"
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Estimates are encoded as whole hundredths, which take two or three bytes.
constexpr double effect_scale = 100;

// Workers per service whose room for long-running tasks is published: enough for the tasks of one
// loan when two fit on each worker, in about 100 bytes.
constexpr std::size_t published_rooms_limit = 8;

// Effect estimates in one datagram, summed over its shards; about 30 bytes each.
constexpr std::size_t published_effects_limit = 400;

// Classes of workers in one datagram, summed over its shards, and of one shard. A class takes some
// 100 bytes of a datagram to another owner, and 30 of one to any other host.
constexpr std::size_t published_classes_limit = 120;
constexpr std::size_t classes_per_shard_limit = 16;

std::int64_t to_hundredths(double value) {
    return static_cast<std::int64_t>(value * effect_scale);
}

service_load& find_load(std::vector<service_load>& loads, const service_id& service) {
    for (auto& load : loads) {
        if (load.service == service) {
            return load;
        }
    }
    return loads.emplace_back(service_load{.service = service});
}

service_room& find_room(std::vector<service_room>& rooms, const service_id& service) {
    for (auto& room : rooms) {
        if (room.service == service) {
            return room;
        }
    }
    service_room next;
    next.service = service;
    return rooms.emplace_back(std::move(next));
}

void add_room(service_room& room, const shard_state& shard, const worker_row& worker,
              worker_class& workers) {
    const auto free = free_resources(worker);
    add_free(workers, free);
    room.free = room.free + free;
    if (free.processors > room.largest.processors) {
        room.largest = free;
    }
    room.fillers += std::max<std::int64_t>(0, filler_room(shard, worker));
    room.long_running.push_back(long_running_room(shard.tables, worker));
    const bool may_start = shard.starts_allowed && shard.takeover_complete && !shard.releasing &&
                           worker.inventoried && is_stored(shard, worker.entry.target);
    if (may_start) {
        room.free_now.push_back(free);
    }
}

// Returns the smaller of the free shares of the processors and memory of a large worker.
double scarcest_share(const resources& free) {
    constexpr double large_processors = 64'000;
    constexpr double large_memory = 256'000;
    return std::min(static_cast<double>(free.processors.value) / large_processors,
                    static_cast<double>(free.memory.value) / large_memory);
}

// Keeps the workers with the most free room.
void keep_freest(std::vector<resources>& rooms) {
    std::sort(rooms.begin(), rooms.end(), [](const resources& a, const resources& b) {
        return scarcest_share(a) > scarcest_share(b);
    });
    rooms.resize(std::min(rooms.size(), published_rooms_limit));
}

// Encodes resources as an array, as field names would take up most of a datagram.
json encode_resources(const resources& amount) {
    return {amount.processors, amount.memory, amount.accelerators};
}

resources decode_resources(const json& row) {
    return {row.at(0).get<decltype(resources::processors)>(),
            row.at(1).get<decltype(resources::memory)>(),
            row.at(2).get<decltype(resources::accelerators)>()};
}

json encode_rooms(const std::vector<resources>& rooms) {
    json rows = json::array();
    for (const auto& room : rooms) {
        rows.push_back(encode_resources(room));
    }
    return rows;
}

std::vector<resources> decode_rooms(const json& rows) {
    std::vector<resources> rooms;
    for (const auto& row : rows) {
        rooms.push_back(decode_resources(row));
    }
    return rooms;
}

json encode_classes(const std::vector<worker_class>& classes) {
    json rows = json::array();
    for (const auto& workers : classes) {
        rows.push_back({workers.labels, workers.other_labels, workers.workers,
                        encode_rooms(workers.capacity), encode_rooms(workers.free),
                        encode_resources(workers.total_free)});
    }
    return rows;
}

std::vector<worker_class> decode_classes(const json& rows) {
    std::vector<worker_class> classes;
    for (const auto& row : rows) {
        classes.push_back({row.at(0).get<std::vector<std::string>>(), row.at(1).get<bool>(),
                           row.at(2).get<std::int64_t>(), decode_rooms(row.at(3)),
                           decode_rooms(row.at(4)), decode_resources(row.at(5))});
    }
    return classes;
}

// Keeps the workers with the most room for long-running tasks, among them the one with the most
// accelerators.
void keep_largest(std::vector<resources>& rooms) {
    std::sort(rooms.begin(), rooms.end(), [](const resources& a, const resources& b) {
        return a.processors.value > b.processors.value;
    });
    const auto most_accelerators =
        std::max_element(rooms.begin(), rooms.end(), [](const resources& a, const resources& b) {
            return a.accelerators < b.accelerators;
        });
    if (most_accelerators != rooms.end() && most_accelerators->accelerators.value > 0) {
        std::rotate(rooms.begin(), most_accelerators, std::next(most_accelerators));
    }
    rooms.resize(std::min(rooms.size(), published_rooms_limit));
}

} // namespace

std::string encode(const host_record& record) {
    return json{{"name", record.name},
                {"incarnation", record.incarnation},
                {"data_centre", record.data_centre},
                {"address", to_string(record.address)},
                {"weight", record.weight}}
        .dump();
}

result<host_record> parse_host_record(std::string_view text) {
    try {
        const auto in = parse_bounded_json(text);
        const auto address = parse_address(in.at("address").get<std::string>());
        if (!address) {
            return address.error();
        }
        return host_record{in.at("name").get<host_id>(), in.at("incarnation").get<std::string>(),
                           in.at("data_centre").get<data_centre_id>(), address.value(),
                           in.at("weight").get<std::int64_t>()};
    } catch (const std::exception& failure) {
        return error{error_kind::protocol_error, make_printable(failure.what())};
    }
}

std::string encode(const host_status& status) {
    json shards = json::array();
    for (const auto& shard : status.shards) {
        json loads = json::array();
        for (const auto& load : shard.loads) {
            loads.push_back(
                {load.service, load.capacity, load.committed, load.fillers, load.waiting});
        }
        json pending = json::array();
        for (const auto& [queue, count] : shard.pending) {
            pending.push_back({queue, count});
        }
        json effects = json::array();
        for (const auto& pair : shard.effects) {
            effects.push_back({pair.serving, pair.filler, to_hundredths(pair.mean),
                               to_hundredths(pair.variance)});
        }
        json rooms = json::array();
        for (const auto& room : shard.rooms) {
            rooms.push_back({room.service, encode_resources(room.free),
                             encode_resources(room.largest), room.fillers, room.undisturbing_rooms,
                             encode_rooms(room.long_running), encode_rooms(room.free_now),
                             encode_classes(room.classes)});
        }
        shards.push_back({shard.id, shard.epoch, std::move(loads), std::move(pending),
                          std::move(rooms), std::move(effects), shard.workers});
    }
    const json out{status.name,
                   status.incarnation,
                   status.data_centre,
                   status.leaving,
                   status.store_reachable,
                   status.generation,
                   status.orders_revision,
                   std::move(shards),
                   status.store_unreachable_ms,
                   status.reachable_owners,
                   status.config_age ? status.config_age->count() : -1,
                   status.reads_config,
                   status.reads_workers};
    std::string text;
    json::to_msgpack(out, text);
    return text;
}

result<host_status> parse_host_status(std::string_view datagram) {
    try {
        const auto in = parse_bounded_msgpack(datagram);
        host_status status;
        status.name = in.at(0).get<host_id>();
        status.incarnation = in.at(1).get<std::string>();
        status.data_centre = in.at(2).get<data_centre_id>();
        status.leaving = in.at(3).get<bool>();
        status.store_reachable = in.at(4).get<bool>();
        status.generation = in.at(5).get<generation_number>();
        status.orders_revision = in.at(6).get<revision_number>();
        status.store_unreachable_ms = in.at(8).get<std::int64_t>();
        status.reachable_owners = in.at(9).get<std::vector<host_id>>();
        // Earlier versions send neither of these.
        if (in.size() > 11 && in.at(10).get<std::int64_t>() >= 0) {
            status.config_age = duration(in.at(10).get<std::int64_t>());
        }
        status.reads_config = in.size() > 11 && in.at(11).get<bool>();
        status.reads_workers = in.size() <= 12 || in.at(12).get<bool>();
        for (const auto& row : in.at(7)) {
            shard_status shard;
            shard.id = row.at(0).get<shard_id>();
            shard.epoch = row.at(1).get<epoch_number>();
            for (const auto& load : row.at(2)) {
                shard.loads.push_back({load.at(0).get<service_id>(), load.at(1).get<std::int64_t>(),
                                       load.at(2).get<std::int64_t>(),
                                       load.at(3).get<std::int64_t>(),
                                       load.at(4).get<std::int64_t>()});
            }
            for (const auto& entry : row.at(3)) {
                shard.pending[entry.at(0).get<queue_id>()] = entry.at(1).get<std::uint64_t>();
            }
            for (const auto& room : row.at(4)) {
                shard.rooms.push_back(
                    {room.at(0).get<service_id>(), decode_resources(room.at(1)),
                     decode_resources(room.at(2)), decode_rooms(room.at(5)),
                     room.size() > 6 ? decode_rooms(room.at(6)) : std::vector<resources>(),
                     room.at(3).get<std::int64_t>(),
                     room.at(4).get<std::map<std::string, std::int64_t>>(),
                     room.size() > 7 ? decode_classes(room.at(7)) : std::vector<worker_class>()});
            }
            for (const auto& pair : row.at(5)) {
                shard.effects.push_back({pair.at(0).get<std::string>(),
                                         pair.at(1).get<std::string>(),
                                         pair.at(2).get<double>() / effect_scale,
                                         pair.at(3).get<double>() / effect_scale});
            }
            shard.workers = row.size() > 6 ? row.at(6).get<std::int64_t>() : 0;
            status.shards.push_back(std::move(shard));
        }
        return status;
    } catch (const std::exception& failure) {
        return error{error_kind::protocol_error, make_printable(failure.what())};
    }
}

void drop_owner_details(host_status& status) {
    for (auto& shard : status.shards) {
        shard.effects.clear();
        for (auto& room : shard.rooms) {
            room.long_running.clear();
            room.free_now.clear();
            for (auto& workers : room.classes) {
                workers.free.clear();
            }
        }
    }
}

void limit_details(host_status& status) {
    const auto shards = std::max<std::size_t>(1, status.shards.size());
    for (auto& shard : status.shards) {
        shard.effects.resize(std::min(shard.effects.size(), published_effects_limit / shards));
        for (auto& room : shard.rooms) {
            const auto rooms = shards * shard.rooms.size();
            limit_classes(room.classes, published_classes_limit / rooms);
        }
    }
}

shard_status summarize(const shard_state& shard, time_point now) {
    shard_status status;
    status.id = shard.id;
    status.epoch = shard.epoch;
    for (const auto& [id, worker] : shard.tables.workers) {
        status.workers += worker.listed ? 1 : 0;
        if (!worker.listed || worker.entry.draining) {
            continue;
        }
        auto& load = find_load(status.loads, worker.entry.service);
        auto& room = find_room(status.rooms, worker.entry.service);
        auto& workers =
            add_worker(room.classes, worker.entry.labels, worker.entry.rack, worker.entry.capacity);
        if (worker.reachability != reachability_state::reachable) {
            continue;
        }
        load.capacity += worker.entry.capacity.processors.value;
        load.committed += worker.committed.processors.value;
        load.fillers += worker.filler_demand;
        if (!is_paused(worker, now)) {
            add_room(room, shard, worker, workers);
        }
    }
    for (auto& room : status.rooms) {
        keep_largest(room.long_running);
        keep_freest(room.free_now);
        limit_classes(room.classes, classes_per_shard_limit);
        for (const auto& [image, open] : shard.undisturbing_rooms) {
            room.undisturbing_rooms[image] = static_cast<std::int64_t>(open);
        }
    }
    for (const auto& id : shard.active) {
        const auto& job = shard.tables.jobs.at(id);
        if (job.phase == job_phase::queued) {
            ++status.pending[job.queue.id];
        }
        auto& load = find_load(status.loads, job.queue.service);
        for (const auto& [number, occurrence] : job.occurrences) {
            for (const auto& stage : occurrence.stages) {
                if (stage.open) {
                    load.waiting += static_cast<std::int64_t>(stage.waiting.size()) *
                                    job.spec.steps[stage.step].need.processors.value;
                }
            }
        }
    }
    return status;
}

} // namespace fulmar
