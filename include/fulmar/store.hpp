// Client interface of the platform's key-value service: compare-and-swap, leases and watches.
// Replacing the platform's protocol means replacing store_http.cpp only.
#pragma once

#include "fulmar/types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace fulmar {

using lease_id = strong<struct lease_tag, std::uint64_t>;

struct store_entry {
    std::string key;
    std::string value;
    revision_number revision; // of the last write to this key
};

// All entries below a prefix, as of one revision of the whole store.
struct store_listing {
    std::vector<store_entry> entries;
    revision_number revision;
};

struct store_event {
    store_entry entry; // for a deletion the value is empty
    bool deleted = false;
};

// Events after a revision, in order, without gaps.
struct store_events {
    std::vector<store_event> events;
    revision_number revision; // pass this to the next call
};

// One write. With `expected` 0 the key must not exist. With a lease the key goes when that lapses.
struct store_write {
    std::string key;
    std::string value;
    revision_number expected;
    std::optional<lease_id> lease;
};

// Calls may block; use from a thread of its own. All calls return unavailable when the store can't
// be reached and timeout or outcome_unknown when a reply was lost: a write may then have been
// applied.
class store_client {
  public:
    store_client() = default;
    virtual ~store_client() = default;
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    store_client(store_client&&) = delete;
    store_client& operator=(store_client&&) = delete;

    // Reads one key; an absent key is no error.
    virtual result<std::optional<store_entry>> get(const std::string& key) = 0;

    // Reads all keys that start with the prefix.
    virtual result<store_listing> list(const std::string& prefix) = 0;

    // Writes if the key's revision is the expected one; returns the new revision, or conflict.
    virtual result<revision_number> compare_and_swap(const store_write& write) = 0;

    // Deletes if the key's revision is the expected one; returns conflict otherwise.
    virtual result<revision_number> remove(const std::string& key, revision_number expected) = 0;

    // Creates a lease that lapses when it isn't kept alive for `ttl`.
    virtual result<lease_id> grant_lease(duration ttl) = 0;

    // Extends a lease by its time to live; returns expired when it has lapsed.
    virtual result<void> keep_alive(lease_id lease) = 0;

    // Returns events below the prefix after a revision, waiting up to `wait` for the first; none on
    // time-out. Returns expired when the history no longer reaches back: list again.
    virtual result<store_events> watch(const std::string& prefix, revision_number after,
                                       duration wait) = 0;
};

// Writes like compare_and_swap and settles a lost reply by reading the key back: success if it
// holds this value at a higher revision than expected. Returns outcome_unknown when that read fails
// too. The value must be unique to this write (carry a writer id or epoch), or another writer's
// equal value counts as success.
result<revision_number> write_and_settle(store_client& store, const store_write& write);

} // namespace fulmar
