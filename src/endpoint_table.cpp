#include "endpoint_table.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string>

namespace fulmar {

namespace {

constexpr duration leaving_retention{600'000};

std::uint64_t rendezvous_score(const host_id& gate, const service_id& service,
                               const endpoint_id& endpoint) {
    const std::string text = gate.value + '\0' + service.value + '\0' + endpoint.value;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

void list_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                   const endpoint_record& record) {
    auto& endpoints = table.services[service];
    const auto at = endpoints.find(id);
    if (at == endpoints.end() || at->second.record.incarnation != record.incarnation) {
        gate_endpoint added;
        added.record = record;
        added.record.slots = std::max<std::int64_t>(1, record.slots);
        added.leaving = record.state == endpoint_state::leaving;
        added.limit = static_cast<double>(added.record.slots);
        endpoints.insert_or_assign(id, added);
        return;
    }
    auto& endpoint = at->second;
    endpoint.record = record;
    endpoint.record.slots = std::max<std::int64_t>(1, record.slots);
    endpoint.listed = true;
    endpoint.leaving = endpoint.leaving || record.state == endpoint_state::leaving;
    endpoint.limit = std::min(endpoint.limit, static_cast<double>(endpoint.record.slots));
}

void delist_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                     time_point now) {
    const auto found = table.services.find(service);
    if (found == table.services.end()) {
        return;
    }
    auto& endpoints = found->second;
    if (const auto at = endpoints.find(id); at != endpoints.end() && at->second.listed) {
        at->second.listed = false;
        at->second.delisted_at = now;
    }
    std::erase_if(endpoints, [&](const auto& entry) {
        const auto& endpoint = entry.second;
        return !endpoint.listed &&
               (!endpoint.leaving || now - endpoint.delisted_at >= leaving_retention);
    });
    if (endpoints.empty()) {
        table.services.erase(found);
    }
}

void mark_leaving(endpoint_table& table, const service_id& service, const endpoint_id& id,
                  std::uint64_t incarnation) {
    if (auto* endpoint = find_endpoint(table, service, id, incarnation)) {
        endpoint->leaving = true;
    }
}

gate_endpoint* find_endpoint(endpoint_table& table, const service_id& service,
                             const endpoint_id& id, std::uint64_t incarnation) {
    const auto endpoints = table.services.find(service);
    if (endpoints == table.services.end()) {
        return nullptr;
    }
    const auto at = endpoints->second.find(id);
    return at != endpoints->second.end() && at->second.record.incarnation == incarnation
               ? &at->second
               : nullptr;
}

void assign_subset(endpoint_table& table, const host_id& self, std::span<const host_id> gates,
                   std::size_t gates_per_endpoint) {
    for (auto& [service, endpoints] : table.services) {
        for (auto& [id, endpoint] : endpoints) {
            const auto own = rendezvous_score(self, service, id);
            std::size_t ahead = 0;
            for (const auto& gate : gates) {
                ahead += gate != self && rendezvous_score(gate, service, id) > own ? 1 : 0;
            }
            endpoint.in_subset = ahead < gates_per_endpoint;
        }
    }
}

bool eject_if_unhealthy(service_endpoints& endpoints, const endpoint_id& id,
                        std::int64_t max_percent, time_point now) {
    const auto at = endpoints.find(id);
    if (at == endpoints.end() || !should_eject(at->second.health)) {
        return false;
    }
    std::size_t ejected = 0;
    std::size_t total = 0;
    for (const auto& [other, endpoint] : endpoints) {
        if (!endpoint.listed || endpoint.leaving) {
            continue;
        }
        ++total;
        ejected += endpoint.health.ejected ? 1 : 0;
    }
    if (!within_ejection_ceiling(ejected, total, max_percent)) {
        return false;
    }
    eject(at->second.health, now);
    return true;
}

} // namespace fulmar
