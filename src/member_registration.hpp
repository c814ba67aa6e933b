// This daemon's member record in the store: bound to a lease, so it goes when the daemon does.
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
    revision_number revision; // of members/<instance> as last written
    std::string written;      // the record's text as last written
};

enum class registration_outcome : std::uint8_t {
    alive,       // the store confirmed the lease by a call sent after this one began
    lapsed,      // the lease is gone: whatever depended on it may belong to others
    unreachable, // nothing is known
};

// Names one run of a program, so that a restarted daemon isn't taken for its predecessor.
host_id make_instance(const std::string& host);

// Keeps the lease alive, creating lease and record when there are none, and rewrites the record
// when it changed. Blocks on store calls.
registration_outcome keep_registered(member_registration& member, store_client& store,
                                     metrics& counters);

// Removes the record at shutdown, so that others need not wait for the lease to lapse.
void unregister(member_registration& member, store_client& store);

} // namespace fulmar
