#include "endpoint_table.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string>

namespace fulmar {

namespace {

constexpr duration leaving_memory{600'000};

std::uint64_t rendezvous_score(const host_id& gate, const service_id& service,
                               const endpoint_id& endpoint) {
    const std::string text = gate.value + '\0' + service.value + '\0' + endpoint.value;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

void list_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                   const endpoint_record& record) {
    auto& rows = table.services[service];
    const auto at = rows.find(id);
    if (at == rows.end() || at->second.record.incarnation != record.incarnation) {
        endpoint_row fresh;
        fresh.record = record;
        fresh.record.slots = std::max<std::int64_t>(1, record.slots);
        fresh.leaving = record.state == endpoint_state::leaving;
        fresh.limit = static_cast<double>(fresh.record.slots);
        rows.insert_or_assign(id, fresh);
        return;
    }
    auto& row = at->second;
    row.record = record;
    row.record.slots = std::max<std::int64_t>(1, record.slots);
    row.listed = true;
    row.leaving = row.leaving || record.state == endpoint_state::leaving;
    row.limit = std::min(row.limit, static_cast<double>(row.record.slots));
}

void delist_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                     time_point now) {
    const auto found = table.services.find(service);
    if (found == table.services.end()) {
        return;
    }
    auto& rows = found->second;
    if (const auto at = rows.find(id); at != rows.end() && at->second.listed) {
        at->second.listed = false;
        at->second.delisted_at = now;
    }
    std::erase_if(rows, [&](const auto& entry) {
        const auto& row = entry.second;
        return !row.listed && (!row.leaving || now - row.delisted_at >= leaving_memory);
    });
    if (rows.empty()) {
        table.services.erase(found);
    }
}

void mark_leaving(endpoint_table& table, const service_id& service, const endpoint_id& id,
                  std::uint64_t incarnation) {
    if (auto* row = find_endpoint(table, service, id, incarnation)) {
        row->leaving = true;
    }
}

endpoint_row* find_endpoint(endpoint_table& table, const service_id& service, const endpoint_id& id,
                            std::uint64_t incarnation) {
    const auto rows = table.services.find(service);
    if (rows == table.services.end()) {
        return nullptr;
    }
    const auto at = rows->second.find(id);
    return at != rows->second.end() && at->second.record.incarnation == incarnation ? &at->second
                                                                                    : nullptr;
}

void assign_subset(endpoint_table& table, const host_id& self, std::span<const host_id> gates,
                   std::size_t gates_per_endpoint) {
    for (auto& [service, rows] : table.services) {
        for (auto& [id, row] : rows) {
            const auto own = rendezvous_score(self, service, id);
            std::size_t ahead = 0;
            for (const auto& gate : gates) {
                ahead += gate != self && rendezvous_score(gate, service, id) > own ? 1 : 0;
            }
            row.in_subset = ahead < gates_per_endpoint;
        }
    }
}

bool eject_if_due(service_endpoints& endpoints, const endpoint_id& id, std::int64_t max_percent,
                  time_point now) {
    const auto at = endpoints.find(id);
    if (at == endpoints.end() || !deserves_ejection(at->second.health)) {
        return false;
    }
    std::size_t ejected = 0;
    std::size_t total = 0;
    for (const auto& [other, row] : endpoints) {
        if (!row.listed || row.leaving) {
            continue;
        }
        ++total;
        ejected += row.health.ejected ? 1 : 0;
    }
    if (!within_ejection_ceiling(ejected, total, max_percent)) {
        return false;
    }
    eject(at->second.health, now);
    return true;
}

} // namespace fulmar
