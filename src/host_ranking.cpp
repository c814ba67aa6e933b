// Which shard a new job goes to.
#include "host_control.hpp"

#include <xxhash.h>

#include <algorithm>

namespace fulmar {

namespace {

// Added to the load of a shard in the same data centre, the same region or another region when
// shards are ranked, in thousandths of its capacity: traffic between data centres costs more than a
// little queueing in the local one.
constexpr double distance_penalty[] = {0, 60, 150};

// Subtracted from the load of a shard, in thousandths, if its undisturbing room fits a whole filler
// step, and proportionally less if it fits only a part.
constexpr double undisturbing_room_weight = 400;

std::uint64_t hash_pair(const std::string& a, const std::string& b) {
    const auto text = a + "|" + b;
    return XXH64(text.data(), text.size(), 0);
}

// Returns the fraction of a filler step that fits without disturbing serving tasks, 0 to 1.
double undisturbing_share(const service_room& room, const step_spec& step) {
    const auto open = room.undisturbing_rooms.find(step.image);
    const auto wanted = static_cast<double>(step.count * step.need.processors.value);
    const auto left =
        static_cast<double>(open == room.undisturbing_rooms.end() ? room.fillers : open->second);
    return wanted <= 0 ? 1.0 : std::clamp(left / wanted, 0.0, 1.0);
}

// Returns the number of steps that no worker of the shard could run.
std::int64_t count_unrunnable(const shard_status& status, const std::vector<rack_id>& racks,
                              const service_id& service, const job_spec& spec) {
    const auto room = std::find_if(status.rooms.begin(), status.rooms.end(),
                                   [&](const service_room& row) { return row.service == service; });
    if (room == status.rooms.end() || room->classes.empty()) {
        return 0; // unknown, as the owner runs an earlier version
    }
    return std::count_if(spec.steps.begin(), spec.steps.end(), [&](const step_spec& step) {
        return !could_run(room->classes, racks, step);
    });
}

} // namespace

// Returns the shards that can run a job, best first: those with a worker for each of its steps
// before others, as the tasks of a step without one have to be lent. Long-running serving tasks of
// one image prefer the same shards, so that the workers that run them can be left to the fillers
// that don't disturb that image. Other jobs prefer shards with the least load relative to capacity,
// and near ones over distant ones.
std::vector<shard_id> host_control::rank_shards(const queue_spec& queue,
                                                const job_spec& spec) const {
    const auto& first = spec.steps.front();
    const bool serving = first.long_running && !first.image.empty();
    struct option {
        std::int64_t unrunnable; // steps
        double cost;
        shard_id id;
    };
    std::vector<option> options;
    const auto add_option = [&](const shard_status& status) {
        const auto record =
            std::find_if(shard_list_.begin(), shard_list_.end(),
                         [&](const shard_record& row) { return row.id == status.id; });
        if (record == shard_list_.end() || evacuated_.contains(record->data_centre)) {
            return;
        }
        for (std::size_t i = 0; i < status.loads.size(); ++i) {
            const auto& load = status.loads[i];
            if (load.service != queue.service || load.capacity == 0) {
                continue;
            }
            double cost = 0;
            if (serving) {
                cost = static_cast<double>(hash_pair(first.image, status.id.value));
            } else {
                const auto used = load.committed + load.fillers + load.waiting;
                cost = static_cast<double>(used) * 1000 / static_cast<double>(load.capacity) +
                       distance_penalty[distance_to(record->data_centre)];
                // Loads and rooms list the services of the shard's workers in the same order.
                if (first.filler && i < status.rooms.size()) {
                    cost -= undisturbing_room_weight * undisturbing_share(status.rooms[i], first);
                }
            }
            const auto unrunnable = count_unrunnable(status, record->racks, queue.service, spec);
            options.push_back({unrunnable, cost, status.id});
        }
    };
    for (const auto& [id, shard] : owned_) {
        if (shard->loaded) {
            add_option(summarize(shard->state, loop_.now()));
        }
    }
    for (const auto& [name, peer] : peers_) {
        if (!is_alive(peer)) {
            continue;
        }
        for (const auto& status : peer.status.shards) {
            if (!owned_.contains(status.id)) {
                add_option(status);
            }
        }
    }
    std::sort(options.begin(), options.end(), [](const option& a, const option& b) {
        return std::tie(a.unrunnable, a.cost, a.id) < std::tie(b.unrunnable, b.cost, b.id);
    });
    std::vector<shard_id> ranked;
    ranked.reserve(options.size());
    for (const auto& option : options) {
        ranked.push_back(option.id);
    }
    return ranked;
}

} // namespace fulmar
