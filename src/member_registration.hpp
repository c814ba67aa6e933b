// This daemon's member record in the store. It is bound to a lease, so it is deleted when the
// daemon stops renewing the lease.
#pragma once

#include "fulmar/metrics.hpp"
#include "fulmar/records.hpp"
#include "fulmar/store.hpp"

#include <optional>

namespace fulmar {

struct member_registration {
    host_id instance;
    member_record record;
    duration ttl{6'000};
    std::optional<lease_id> lease;
    revision_number revision; // revision of members/<instance> at the last write
    std::string written;      // text of the record at the last write
};

enum class registration_outcome : std::uint8_t {
    alive,       // the store confirmed the lease by a call sent after keep_registered began
    lapsed,      // the lease has expired; others may own whatever depended on it
    unreachable, // the store did not confirm the lease; its state is unknown
};

// Returns a unique name for this process, so that a restarted daemon can't be mistaken for its
// predecessor.
host_id make_instance(const std::string& host);

// Renews the lease, creates lease and record when they don't exist, and rewrites the record when it
// changed. Blocks on store calls.
registration_outcome keep_registered(member_registration& member, store_client& store,
                                     metrics& counters);

// Removes the record at shutdown, so that others need not wait for the lease to expire.
void unregister(member_registration& member, store_client& store);

} // namespace fulmar
