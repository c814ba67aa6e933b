#include "quota.hpp"

#include <algorithm>

namespace fulmar {

namespace {

double share_of(std::int64_t part, std::int64_t whole) {
    return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::int64_t portion(std::int64_t quota, std::int64_t part, std::int64_t whole) {
    if (quota == 0) {
        return 0;
    }
    return whole <= 0 ? quota : std::max<std::int64_t>(1, quota * part / whole);
}

bool exceeds(std::int64_t used, std::int64_t need, std::int64_t quota) {
    return quota > 0 && need > 0 && used + need > quota;
}

} // namespace

resources cell_capacity(const cell_tables& tables) {
    resources sum;
    for (const auto& worker : tables.workers) {
        sum = sum + worker.capacity;
    }
    return sum;
}

double fair_share_use(const cell_tables& tables, std::size_t team) {
    const auto& row = tables.teams.at(team);
    const auto& all = tables.round_capacity;
    const double dominant =
        std::max({share_of(row.used.processors.value, all.processors.value),
                  share_of(row.used.memory.value, all.memory.value),
                  share_of(row.used.accelerators.value, all.accelerators.value)});
    return dominant / row.weight;
}

bool over_quota(const cell_team& team, const resources& need) {
    const auto& quota = team.quota;
    return exceeds(team.used.processors.value, need.processors.value, quota.processors.value) ||
           exceeds(team.used.memory.value, need.memory.value, quota.memory.value) ||
           exceeds(team.used.accelerators.value, need.accelerators.value, quota.accelerators.value);
}

resources cell_quota(const resources& quota, const resources& cell, const resources& installation) {
    return {{portion(quota.processors.value, cell.processors.value, installation.processors.value)},
            {portion(quota.memory.value, cell.memory.value, installation.memory.value)},
            {portion(quota.accelerators.value, cell.accelerators.value,
                     installation.accelerators.value)}};
}

} // namespace fulmar
