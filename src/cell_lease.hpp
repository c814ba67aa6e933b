// Permissions of a cell's owner at a given time: the authority table of docs/design.md, section
// 3.1.
#pragma once

#include "cell_control.hpp"

namespace fulmar {

// Returns whether the store confirmed this host's claim within the freshness bound.
bool claim_is_fresh(const cell_state& cell, time_point now);

// Returns whether this host holds the unexpired leases of more than half of the cell's workers.
bool holds_majority(const cell_state& cell, time_point now);

// Returns whether worker leases may be renewed.
bool may_renew(const cell_state& cell, time_point now);

// Returns whether syncs to this worker must pause because it has not answered for one lease time.
// Each further sync could renew its lease without a reply, so the lease would never be known to
// have expired.
bool must_let_lease_expire(const cell_state& cell, const cell_worker& worker, time_point now);

// Returns why tasks that run nowhere must not be started now, or nothing when they may.
std::optional<std::string_view> find_start_obstacle(const cell_state& cell, time_point now);

// Returns the time until which a start sent now remains permitted.
time_point start_permitted_until(const cell_state& cell);

// Returns whether no task of an earlier lease can still run on this worker.
bool lease_certainly_expired(const cell_state& cell, const cell_worker& worker, time_point now);

} // namespace fulmar
