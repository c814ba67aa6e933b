#include "routing.hpp"

#include <algorithm>
#include <array>

namespace fulmar {

namespace {

// Age from which a report of used slots is ignored. Without this limit an endpoint that reported
// full slots would get no more requests and could never report free ones.
constexpr duration report_lifetime{500};
// Age up to which a report of full slots stops new requests to the endpoint.
constexpr duration full_report_lifetime{50};

struct policy_name {
    routing_policy policy;
    std::string_view name;
};

constexpr std::array policies{policy_name{routing_policy::least_loaded, "least_loaded"},
                              policy_name{routing_policy::round_robin, "round_robin"},
                              policy_name{routing_policy::random, "random"}};

// Tiers by distance: own data centre, own region, other region; in each the gate's subset comes
// before the other endpoints.
constexpr std::size_t tier_count = 6;
constexpr std::size_t first_other_region_tier = 4;

struct candidate {
    const endpoint_id* id = nullptr;
    const gate_endpoint* endpoint = nullptr;
    bool probe = false;
    bool already_tried = false;
};

using tier = std::vector<candidate>;

bool is_routable(const gate_endpoint& endpoint) {
    return endpoint.listed && !endpoint.leaving;
}

bool is_drained(const endpoint_table& table, const gate_endpoint& endpoint) {
    const auto at = table.data_centres.find(endpoint.record.data_centre);
    return at != table.data_centres.end() &&
           (at->second == data_centre_state::draining || at->second == data_centre_state::out);
}

// Returns whether the service has a routable endpoint in a data centre that is neither draining nor
// out.
bool has_undrained_endpoint(const endpoint_table& table, const service_endpoints& endpoints) {
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& entry) {
        return is_routable(entry.second) && !is_drained(table, entry.second);
    });
}

std::size_t tier_index(const gate_endpoint& endpoint, const gate_location& location) {
    const std::size_t distance = endpoint.record.data_centre == location.data_centre ? 0
                                 : endpoint.record.region == location.region         ? 1
                                                                                     : 2;
    return distance * 2 + (endpoint.in_subset ? 0 : 1);
}

std::array<tier, tier_count> collect_tiers(const endpoint_table& table,
                                           const service_endpoints& endpoints,
                                           const gate_location& location,
                                           const routing_query& query, time_point now) {
    std::array<tier, tier_count> tiers;
    const bool skip_drained = has_undrained_endpoint(table, endpoints);
    for (const auto& [id, endpoint] : endpoints) {
        if (!is_routable(endpoint) || is_saturated(endpoint, now) ||
            (skip_drained && is_drained(table, endpoint))) {
            continue;
        }
        const auto state = find_availability(endpoint.health, now);
        if (state == availability::unavailable) {
            continue;
        }
        const bool probe = state == availability::probe;
        if (probe && !query.idempotent && !probe_overdue(endpoint.health, now)) {
            continue;
        }
        const bool already_tried =
            std::find(query.tried_endpoints.begin(), query.tried_endpoints.end(), id) !=
            query.tried_endpoints.end();
        tiers.at(tier_index(endpoint, location)).push_back({&id, &endpoint, probe, already_tried});
    }
    return tiers;
}

const candidate& pick_candidate(const tier& from, routing_state& state, routing_policy policy,
                                time_point now) {
    if (policy == routing_policy::round_robin) {
        return from[state.next_index++ % from.size()];
    }
    const auto& first = from[state.random() % from.size()];
    if (policy == routing_policy::random || from.size() == 1) {
        return first;
    }
    const auto& second = from[state.random() % from.size()];
    return endpoint_load(*second.endpoint, now) < endpoint_load(*first.endpoint, now) ? second
                                                                                      : first;
}

// Picks an endpoint of one tier; one that is due for a probe comes first. Endpoints that the
// request already tried are skipped unless `allow_tried` is set.
std::optional<candidate> pick_from_tier(const tier& candidates, routing_state& state,
                                        const routing_query& query, bool allow_tried,
                                        time_point now) {
    tier allowed;
    for (const auto& one : candidates) {
        if (one.already_tried && !allow_tried) {
            continue;
        }
        if (one.probe) {
            return one;
        }
        allowed.push_back(one);
    }
    if (allowed.empty()) {
        return std::nullopt;
    }
    return pick_candidate(allowed, state, query.policy, now);
}

} // namespace

result<routing_policy> parse_routing_policy(std::string_view name) {
    for (const auto& entry : policies) {
        if (entry.name == name) {
            return entry.policy;
        }
    }
    return error{error_kind::invalid_argument, "unknown routing policy: " + std::string(name)};
}

double endpoint_load(const gate_endpoint& endpoint, time_point now) {
    const auto age = now - endpoint.reported_at;
    const double weight =
        age >= report_lifetime
            ? 0
            : 1 - static_cast<double>(age.count()) / static_cast<double>(report_lifetime.count());
    return static_cast<double>(endpoint.outstanding) +
           weight * static_cast<double>(endpoint.reported_slots_used);
}

bool is_saturated(const gate_endpoint& endpoint, time_point now) {
    const auto limit = std::max<std::int64_t>(1, static_cast<std::int64_t>(endpoint.limit));
    const bool reported_full = endpoint.reported_slots_used >= endpoint.record.slots &&
                               now - endpoint.reported_at < full_report_lifetime;
    return endpoint.outstanding >= limit || reported_full;
}

bool has_endpoint(const endpoint_table& table, const service_id& service) {
    const auto endpoints = table.services.find(service);
    return endpoints != table.services.end() &&
           std::any_of(endpoints->second.begin(), endpoints->second.end(),
                       [](const auto& entry) { return is_routable(entry.second); });
}

std::int64_t usable_capacity(const endpoint_table& table, const service_id& service,
                             time_point now) {
    std::int64_t capacity = 0;
    const auto endpoints = table.services.find(service);
    if (endpoints == table.services.end()) {
        return capacity;
    }
    const bool skip_drained = has_undrained_endpoint(table, endpoints->second);
    for (const auto& [id, endpoint] : endpoints->second) {
        if (!is_routable(endpoint) || (skip_drained && is_drained(table, endpoint)) ||
            find_availability(endpoint.health, now) == availability::unavailable) {
            continue;
        }
        capacity += std::max<std::int64_t>(1, static_cast<std::int64_t>(endpoint.limit));
    }
    return capacity;
}

std::optional<routing_choice> choose_endpoint(const endpoint_table& table, routing_state& state,
                                              const gate_location& location,
                                              const service_id& service, const routing_query& query,
                                              time_point now) {
    const auto endpoints = table.services.find(service);
    if (endpoints == table.services.end()) {
        return std::nullopt;
    }
    const auto tiers = collect_tiers(table, endpoints->second, location, query, now);
    for (const bool allow_tried : {false, true}) {
        for (std::size_t i = 0; i < tier_count; ++i) {
            const auto picked = pick_from_tier(tiers.at(i), state, query, allow_tried, now);
            if (!picked) {
                continue;
            }
            const bool other_region = i >= first_other_region_tier;
            if (other_region &&
                !try_consume_tokens(state.spill, static_cast<double>(query.bytes),
                                    static_cast<double>(query.spill_bytes_per_second), now)) {
                continue;
            }
            return routing_choice{*picked->id, picked->endpoint->record.incarnation,
                                  picked->endpoint->record.address, picked->probe, other_region};
        }
    }
    return std::nullopt;
}

} // namespace fulmar
