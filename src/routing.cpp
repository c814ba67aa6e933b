#include "routing.hpp"

#include <algorithm>
#include <array>

namespace fulmar {

namespace {

// A reported slot use older than this says nothing; without an end a full endpoint that gets no
// requests could never report that it is free again.
constexpr duration report_lifetime{500};
// While it is younger than this, a report of full slots stops new requests.
constexpr duration full_report_lifetime{50};

struct policy_name {
    routing_policy policy;
    std::string_view name;
};

constexpr std::array policies{policy_name{routing_policy::least_loaded, "least_loaded"},
                              policy_name{routing_policy::round_robin, "round_robin"},
                              policy_name{routing_policy::random, "random"}};

// Distance classes: data centre, region, other region; each with the subset before the rest.
constexpr std::size_t tier_count = 6;
constexpr std::size_t first_other_region_tier = 4;

struct candidate {
    const endpoint_id* id = nullptr;
    const endpoint_row* row = nullptr;
    bool probe = false;
    bool avoided = false;
};

using tier = std::vector<candidate>;

bool is_routable(const endpoint_row& row) {
    return row.listed && !row.leaving;
}

bool is_drained(const endpoint_table& table, const endpoint_row& row) {
    const auto at = table.data_centres.find(row.record.data_centre);
    return at != table.data_centres.end() &&
           (at->second == data_centre_state::draining || at->second == data_centre_state::out);
}

// Tells whether some data centre that isn't being taken out has endpoints of the service.
bool has_undrained(const endpoint_table& table, const service_endpoints& rows) {
    return std::any_of(rows.begin(), rows.end(), [&](const auto& entry) {
        return is_routable(entry.second) && !is_drained(table, entry.second);
    });
}

std::size_t find_tier(const endpoint_row& row, const gate_location& here) {
    const std::size_t distance = row.record.data_centre == here.data_centre ? 0
                                 : row.record.region == here.region         ? 1
                                                                            : 2;
    return distance * 2 + (row.in_subset ? 0 : 1);
}

std::array<tier, tier_count> collect_tiers(const endpoint_table& table,
                                           const service_endpoints& rows, const gate_location& here,
                                           const routing_query& query, time_point now) {
    std::array<tier, tier_count> tiers;
    const bool skip_drained = has_undrained(table, rows);
    for (const auto& [id, row] : rows) {
        if (!is_routable(row) || is_saturated(row, now) ||
            (skip_drained && is_drained(table, row))) {
            continue;
        }
        const auto state = find_availability(row.health, now);
        if (state == availability::closed) {
            continue;
        }
        const bool probe = state == availability::probe;
        if (probe && !query.idempotent && !probe_overdue(row.health, now)) {
            continue;
        }
        const bool avoided =
            std::find(query.avoid.begin(), query.avoid.end(), id) != query.avoid.end();
        tiers.at(find_tier(row, here)).push_back({&id, &row, probe, avoided});
    }
    return tiers;
}

const candidate& pick(const tier& from, routing_state& state, routing_policy policy,
                      time_point now) {
    if (policy == routing_policy::round_robin) {
        return from[state.next++ % from.size()];
    }
    const auto& first = from[state.random() % from.size()];
    if (policy == routing_policy::random || from.size() == 1) {
        return first;
    }
    const auto& second = from[state.random() % from.size()];
    return endpoint_load(*second.row, now) < endpoint_load(*first.row, now) ? second : first;
}

// Picks from one tier: a due probe first, then endpoints that were not tried before.
std::optional<candidate> pick_from_tier(const tier& all, routing_state& state,
                                        const routing_query& query, bool take_avoided,
                                        time_point now) {
    tier allowed;
    for (const auto& one : all) {
        if (one.avoided && !take_avoided) {
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
    return pick(allowed, state, query.policy, now);
}

} // namespace

result<routing_policy> parse_routing_policy(std::string_view name) {
    for (const auto& row : policies) {
        if (row.name == name) {
            return row.policy;
        }
    }
    return error{error_kind::invalid_argument, "no such routing policy: " + std::string(name)};
}

double endpoint_load(const endpoint_row& row, time_point now) {
    const auto age = now - row.reported_at;
    const double weight =
        age >= report_lifetime
            ? 0
            : 1 - static_cast<double>(age.count()) / static_cast<double>(report_lifetime.count());
    return static_cast<double>(row.outstanding) + weight * static_cast<double>(row.reported_used);
}

bool is_saturated(const endpoint_row& row, time_point now) {
    const auto limit = std::max<std::int64_t>(1, static_cast<std::int64_t>(row.limit));
    const bool reported_full =
        row.reported_used >= row.record.slots && now - row.reported_at < full_report_lifetime;
    return row.outstanding >= limit || reported_full;
}

bool has_endpoint(const endpoint_table& table, const service_id& service) {
    const auto rows = table.services.find(service);
    return rows != table.services.end() &&
           std::any_of(rows->second.begin(), rows->second.end(),
                       [](const auto& entry) { return is_routable(entry.second); });
}

std::int64_t usable_capacity(const endpoint_table& table, const service_id& service,
                             time_point now) {
    std::int64_t capacity = 0;
    const auto rows = table.services.find(service);
    if (rows == table.services.end()) {
        return capacity;
    }
    const bool skip_drained = has_undrained(table, rows->second);
    for (const auto& [id, row] : rows->second) {
        if (!is_routable(row) || (skip_drained && is_drained(table, row)) ||
            find_availability(row.health, now) == availability::closed) {
            continue;
        }
        capacity += std::max<std::int64_t>(1, static_cast<std::int64_t>(row.limit));
    }
    return capacity;
}

std::optional<routing_choice> choose_endpoint(const endpoint_table& table, routing_state& state,
                                              const gate_location& here, const service_id& service,
                                              const routing_query& query, time_point now) {
    const auto rows = table.services.find(service);
    if (rows == table.services.end()) {
        return std::nullopt;
    }
    const auto tiers = collect_tiers(table, rows->second, here, query, now);
    for (const bool take_avoided : {false, true}) {
        for (std::size_t i = 0; i < tier_count; ++i) {
            const auto picked = pick_from_tier(tiers.at(i), state, query, take_avoided, now);
            if (!picked) {
                continue;
            }
            const bool other_region = i >= first_other_region_tier;
            if (other_region &&
                !take_tokens(state.spill, static_cast<double>(query.bytes),
                             static_cast<double>(query.spill_bytes_per_second), now)) {
                continue;
            }
            return routing_choice{*picked->id, picked->row->record.incarnation,
                                  picked->row->record.address, picked->probe, other_region};
        }
    }
    return std::nullopt;
}

} // namespace fulmar
