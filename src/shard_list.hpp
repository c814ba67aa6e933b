// Division of the workers into shards: which racks each shard has.
#pragma once

#include "fulmar/types.hpp"
#include "shard_records.hpp"

#include <map>
#include <utility>
#include <vector>

namespace fulmar {

// A rack as this host's view of the workers shows it.
struct rack_state {
    std::size_t workers = 0;
    // No worker has joined a rack without a shard in this data centre for a while, so `workers`
    // isn't expected to grow.
    bool settled = false;
    bool overdue = false; // it has waited long enough to get a shard of its own even so
};

using rack_map = std::map<std::pair<data_centre_id, rack_id>, rack_state>;

// Returns whether a shard of the list has the rack.
bool has_rack(const std::vector<shard_record>& shards, const data_centre_id& data_centre,
              const rack_id& rack);

// Adds the racks that belong to no shard to the list. A rack joins a shard that has fewer than
// `workers_per_shard` workers only once it is settled: workers register one after the other, and
// racks that are counted too early all look small. Racks that are neither settled nor overdue nor
// large enough for a shard of their own are left out.
std::vector<shard_record> assign_racks(std::vector<shard_record> shards, const rack_map& racks,
                                       std::size_t workers_per_shard);

} // namespace fulmar
