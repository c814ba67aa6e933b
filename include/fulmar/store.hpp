// Blocking client interface of the platform's key-value service: compare-and-swap, leases and
// watches. Only store_http.cpp depends on the platform's protocol.
#pragma once

#include "fulmar/types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace fulmar {

using lease_id = strong_type<struct lease_tag, std::uint64_t>;

struct store_entry {
    std::string key;
    std::string value;
    revision_number revision; // of the last write to this key
};

// All entries below a prefix at one revision of the whole store.
struct store_listing {
    std::vector<store_entry> entries;
    revision_number revision;
};

struct store_event {
    store_entry entry; // the value is empty for a deletion
    bool deleted = false;
};

// Events after a revision, in order and without gaps.
struct store_events {
    std::vector<store_event> events;
    revision_number revision; // to pass to the next call
};

// One write. If `expected` is 0, the key must not exist. With a lease, the key is deleted when the
// lease expires.
struct store_write {
    std::string key;
    std::string value;
    revision_number expected;
    std::optional<lease_id> lease;
};

// Calls may block, so they need a dedicated thread. All calls return unavailable if the store is
// unreachable, timeout or outcome_unknown if a reply was lost, and protocol_error if it was
// unreadable; see is_unconfirmed().
class store_client {
  public:
    store_client() = default;
    virtual ~store_client() = default;
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    store_client(store_client&&) = delete;
    store_client& operator=(store_client&&) = delete;

    // Reads one key; a missing key is not an error.
    virtual result<std::optional<store_entry>> get(const std::string& key) = 0;

    // Reads all keys that start with the prefix.
    virtual result<store_listing> list(const std::string& prefix) = 0;

    // Writes the key if it has the expected revision. Returns the new revision, or conflict.
    virtual result<revision_number> compare_and_swap(const store_write& write) = 0;

    // Deletes the key if it has the expected revision; returns conflict otherwise.
    virtual result<revision_number> remove(const std::string& key, revision_number expected) = 0;

    // Creates a lease that expires unless it is renewed within `ttl`.
    virtual result<lease_id> grant_lease(duration ttl) = 0;

    // Renews a lease for its time to live; returns expired if it has expired.
    virtual result<void> keep_alive(lease_id lease) = 0;

    // Returns the events below the prefix after a revision. Waits up to `wait` for the first one
    // and returns none if there is none by then. Returns expired if the store no longer has the
    // history after that revision; the caller must then list the prefix again.
    virtual result<store_events> watch(const std::string& prefix, revision_number after,
                                       duration wait) = 0;
};

// Returns whether a write that ended with this error may have been applied, or may yet be.
bool is_unconfirmed(const error& failure);

// Writes like compare_and_swap. If the write may have been applied in spite of an error, reads the
// key back: the write succeeded if the key has this value at a higher revision than expected.
// Returns outcome_unknown if that read fails too or the write is not visible yet. The value must be
// unique to this write (contain a writer id or epoch), because an equal value of another writer
// would count as success.
result<revision_number> write_and_confirm(store_client& store, const store_write& write);

} // namespace fulmar
