#include "shard_list.hpp"

#include <algorithm>
#include <string>

namespace fulmar {

namespace {

// Returns the number of workers that the shard's racks have now.
std::size_t count_workers(const shard_record& shard, const rack_map& racks) {
    std::size_t count = 0;
    for (const auto& rack : shard.racks) {
        const auto found = racks.find({shard.data_centre, rack});
        count += found == racks.end() ? 0 : found->second.workers;
    }
    return count;
}

// Returns the last shard of the data centre with fewer workers than the limit, or nullptr.
shard_record* find_open_shard(std::vector<shard_record>& shards, const data_centre_id& data_centre,
                              const rack_map& racks, std::size_t workers_per_shard) {
    shard_record* found = nullptr;
    for (auto& shard : shards) {
        if (shard.data_centre == data_centre && count_workers(shard, racks) < workers_per_shard) {
            found = &shard;
        }
    }
    return found;
}

} // namespace

bool has_rack(const std::vector<shard_record>& shards, const data_centre_id& data_centre,
              const rack_id& rack) {
    return std::any_of(shards.begin(), shards.end(), [&](const shard_record& shard) {
        return shard.data_centre == data_centre &&
               std::find(shard.racks.begin(), shard.racks.end(), rack) != shard.racks.end();
    });
}

std::vector<shard_record> assign_racks(std::vector<shard_record> shards, const rack_map& racks,
                                       std::size_t workers_per_shard) {
    for (const auto& [place, state] : racks) {
        const auto& data_centre = place.first;
        const auto& rack = place.second;
        if (has_rack(shards, data_centre, rack)) {
            continue;
        }
        const bool large = state.workers >= workers_per_shard;
        if (!large && !state.settled && !state.overdue) {
            continue;
        }
        auto* open = large || !state.settled
                         ? nullptr
                         : find_open_shard(shards, data_centre, racks, workers_per_shard);
        if (open != nullptr) {
            open->racks.push_back(rack);
            continue;
        }
        const auto number =
            std::count_if(shards.begin(), shards.end(), [&](const shard_record& shard) {
                return shard.data_centre == data_centre;
            });
        shards.push_back({{data_centre.value + "." + std::to_string(number)}, data_centre, {rack}});
    }
    return shards;
}

} // namespace fulmar
