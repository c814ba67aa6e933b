// Endpoint selection for one request, based on the gate's own table only.
#pragma once

#include "endpoint_table.hpp"
#include "token_bucket.hpp"

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace fulmar {

// `round_robin` and `random` are baselines that ignore load within a data centre.
enum class routing_policy : std::uint8_t { least_loaded, round_robin, random };

// Parses the name of a policy; returns invalid_argument for an unknown name.
result<routing_policy> parse_routing_policy(std::string_view name);

struct gate_location {
    data_centre_id data_centre;
    region_id region;
};

struct routing_state {
    std::mt19937_64 random;
    std::uint64_t next_index = 0; // of round robin
    token_bucket spill;           // budget of bytes to the other region
};

struct routing_query {
    routing_policy policy = routing_policy::least_loaded;
    std::int64_t bytes = 0; // of the request, charged if it is sent to the other region
    std::int64_t spill_bytes_per_second = 0;
    bool idempotent = true;                   // may serve as a probe
    std::vector<endpoint_id> tried_endpoints; // used again only if no other is available
};

struct routing_choice {
    endpoint_id id;
    std::uint64_t incarnation = 0;
    std::string address;
    bool probe = false;
    bool other_region = false;
};

// Returns this gate's outstanding requests plus the number of used slots that the endpoint last
// reported, whose weight decreases with age.
double endpoint_load(const gate_endpoint& endpoint, time_point now);

// Returns whether an endpoint has no room for another request of this gate.
bool is_saturated(const gate_endpoint& endpoint, time_point now);

// Returns whether the service has any endpoint that is listed and not leaving, even if it is busy
// or ejected.
bool has_endpoint(const endpoint_table& table, const service_id& service);

// Returns the number of concurrent requests that the usable endpoints accept from this gate.
std::int64_t usable_capacity(const endpoint_table& table, const service_id& service,
                             time_point now);

// Chooses the nearest endpoint with room: first in this data centre, then in its region, then in
// the other region within the spill budget. At equal distance this gate's subset comes first.
// Returns nothing if all endpoints are saturated, ejected or beyond the budget. Doesn't count the
// request as outstanding.
std::optional<routing_choice> choose_endpoint(const endpoint_table& table, routing_state& state,
                                              const gate_location& location,
                                              const service_id& service, const routing_query& query,
                                              time_point now);

} // namespace fulmar
