// A gate's table of endpoints, with the listed record and the measured state of each.
#pragma once

#include "ejection.hpp"
#include "fulmar/records.hpp"

#include <map>
#include <span>

namespace fulmar {

// State of one endpoint in the table of a gate.
struct gate_endpoint {
    endpoint_record record;
    bool listed = true;
    bool leaving = false; // stays set until the incarnation changes
    bool in_subset = true;
    std::int64_t outstanding = 0;
    double limit = 1; // adaptive concurrency limit, at most record.slots
    std::int64_t reported_slots_used = 0;
    time_point reported_at{};
    time_point delisted_at{};
    endpoint_health health;
};

using service_endpoints = std::map<endpoint_id, gate_endpoint>;

struct endpoint_table {
    std::map<service_id, service_endpoints> services;
    std::map<data_centre_id, data_centre_state> data_centres;
};

// Applies one entry of the platform's endpoint list. A new incarnation replaces the stored state.
// An entry of the same incarnation updates the record but never clears `leaving`.
void list_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                   const endpoint_record& record);

// Removes an endpoint that is no longer listed. A leaving endpoint is kept for ten minutes, so that
// an old entry that reappears in the list doesn't reinstate it.
void delist_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                     time_point now);

// Marks an endpoint of this incarnation as leaving.
void mark_leaving(endpoint_table& table, const service_id& service, const endpoint_id& id,
                  std::uint64_t incarnation);

// Returns the endpoint if it has this incarnation, otherwise null. Responses of an earlier
// incarnation must not affect the current one.
gate_endpoint* find_endpoint(endpoint_table& table, const service_id& service,
                             const endpoint_id& id, std::uint64_t incarnation);

// Selects this gate's subset of endpoints by rendezvous hashing: each endpoint belongs to the
// `gates_per_endpoint` gates with the highest scores for it. Every endpoint is therefore covered,
// and a gate that joins or leaves changes the assignment of its own endpoints only. `gates` are the
// live gates of this gate's data centre; if it is empty, the subset has all endpoints.
void assign_subset(endpoint_table& table, const host_id& self, std::span<const host_id> gates,
                   std::size_t gates_per_endpoint);

// Ejects an endpoint if its failures justify it and at most `max_percent` of the routable endpoints
// are then ejected. Returns whether the endpoint was ejected.
bool eject_if_unhealthy(service_endpoints& endpoints, const endpoint_id& id,
                        std::int64_t max_percent, time_point now);

} // namespace fulmar
