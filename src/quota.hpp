// Resource use of teams in a cell: fair shares and quotas.
#pragma once

#include "scheduler_tables.hpp"

namespace fulmar {

// Returns the team's dominant share, which is its largest share of any resource of the cell,
// divided by its weight.
double fair_share_use(const cell_tables& tables, std::size_t team);

// Returns whether one more task of this size would exceed the team's quota.
bool over_quota(const cell_team& team, const resources& need);

// Returns the part of a team's quota that a cell grants, in proportion to the cell's size. A quota
// above zero grants at least one unit, so that a team with a small quota can start tasks in every
// cell.
resources cell_quota(const resources& quota, const resources& cell, const resources& installation);

// Returns the total capacity of the cell's workers.
resources cell_capacity(const cell_tables& tables);

} // namespace fulmar
