// The endpoints that a gate knows, with what it has learned about each.
#pragma once

#include "ejection.hpp"
#include "fulmar/records.hpp"

#include <map>
#include <span>

namespace fulmar {

struct endpoint_row {
    endpoint_record record;
    bool listed = true;
    bool leaving = false; // sticky until the incarnation changes
    bool in_subset = true;
    std::int64_t outstanding = 0;
    double limit = 1; // adaptive, at most record.slots
    std::int64_t reported_used = 0;
    time_point reported_at{};
    time_point delisted_at{};
    endpoint_health health;
};

using service_endpoints = std::map<endpoint_id, endpoint_row>;

struct endpoint_table {
    std::map<service_id, service_endpoints> services;
    std::map<data_centre_id, data_centre_state> data_centres;
};

// Takes one entry of the platform's list. A new incarnation starts afresh; an entry of the known
// incarnation never ends its leaving.
void list_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                   const endpoint_record& record);

// Removes an endpoint that is no longer listed. A leaving one is remembered for ten minutes, so
// that an old entry that reappears doesn't reinstate it.
void delist_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                     time_point now);

// Marks an endpoint that announced that it leaves.
void mark_leaving(endpoint_table& table, const service_id& service, const endpoint_id& id,
                  std::uint64_t incarnation);

// Returns the row of this incarnation, or null: an answer of an earlier one says nothing about it.
endpoint_row* find_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                            std::uint64_t incarnation);

// Chooses this gate's endpoints by rendezvous hashing: each endpoint belongs to the
// `gates_per_endpoint` gates with the highest scores for it. So every endpoint is covered, and a
// gate that joins or leaves moves only its own share. `gates` are the live gates of this gate's
// data centre; without them the gate keeps all endpoints.
void assign_subset(endpoint_table& table, const host_id& self, std::span<const host_id> gates,
                   std::size_t gates_per_endpoint);

// Ejects an endpoint when its failures justify that and the ceiling permits it; tells whether it
// did.
bool eject_if_due(service_endpoints& endpoints, const endpoint_id& id, std::int64_t max_percent,
                  time_point now);

} // namespace fulmar
