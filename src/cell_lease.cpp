#include "cell_lease.hpp"

#include <algorithm>

namespace fulmar {

namespace {

bool is_fresh(const std::optional<time_point>& confirmed, duration bound, time_point now) {
    return confirmed && now < *confirmed + bound;
}

} // namespace

bool claim_is_fresh(const cell_state& cell, time_point now) {
    return cell.claim_revision.value != 0 &&
           is_fresh(cell.claim_confirmed, cell.timing.freshness, now);
}

bool holds_majority(const cell_state& cell, time_point now) {
    std::size_t held = 0;
    for (const auto& worker : cell.tables.workers) {
        held += is_fresh(worker.renewal_confirmed, cell.timing.worker_lease, now) ? 1 : 0;
    }
    return held * 2 > cell.tables.workers.size();
}

bool may_renew(const cell_state& cell, time_point now) {
    return claim_is_fresh(cell, now) || holds_majority(cell, now);
}

bool must_let_lease_expire(const cell_state& cell, const cell_worker& worker, time_point now) {
    // Without a majority the syncs must continue, because they are the means to gain one.
    const bool awaited =
        worker.inventoried || (!worker.predecessor_ended && holds_majority(cell, now));
    return awaited && worker.unanswered_since &&
           now >= *worker.unanswered_since + cell.timing.worker_lease;
}

std::optional<std::string_view> find_start_obstacle(const cell_state& cell, time_point now) {
    if (cell.epoch.value == 0 || !claim_is_fresh(cell, now)) {
        return "claim_unconfirmed";
    }
    if (!cell.progress_owned) {
        return "progress_unread";
    }
    if (!is_fresh(cell.state_confirmed, cell.timing.freshness, now)) {
        return "stale_state";
    }
    if (cell.state != data_centre_state::in && cell.state != data_centre_state::returning) {
        return "data_centre_out";
    }
    return std::nullopt;
}

time_point start_permitted_until(const cell_state& cell) {
    if (!cell.claim_confirmed || !cell.state_confirmed) {
        return {};
    }
    return std::min(*cell.claim_confirmed, *cell.state_confirmed) + cell.timing.freshness;
}

bool lease_certainly_expired(const cell_state& cell, const cell_worker& worker, time_point now) {
    const auto& timing = cell.timing;
    if (worker.inventoried) {
        // This owner has sent every renewal since the inventory.
        return worker.renewal_sent &&
               now >= *worker.renewal_sent + timing.worker_lease + timing.lease_margin;
    }
    // An earlier owner may renew until it detects the loss of its majority, after at most one lease
    // time, and its last renewal is valid for another lease time.
    const bool predecessor_ended =
        cell.majority_since && holds_majority(cell, now) && claim_is_fresh(cell, now) &&
        now >= *cell.majority_since + 2 * timing.worker_lease + timing.lease_margin;
    const bool own_syncs_ended =
        !worker.renewal_sent ||
        now >= *worker.renewal_sent + timing.worker_lease + timing.lease_margin;
    return predecessor_ended && own_syncs_ended;
}

} // namespace fulmar
