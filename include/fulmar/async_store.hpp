// Asynchronous client interface of the platform's key-value store, for the control thread. Calls
// return at once and pass their result to a callback on the same thread.
#pragma once

#include "fulmar/store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// Precondition of a transaction: the key's revision must equal `expected`; 0: the key must not
// exist.
struct store_condition {
    std::string key;
    revision_number expected;
};

struct store_put {
    std::string key;
    std::string value;
    lease_id lease; // 0: none
};

// Applied atomically. The store accepts at most `max_transaction_entries` entries.
struct store_transaction {
    std::vector<store_condition> conditions;
    std::vector<store_put> puts;
    std::vector<std::string> removals;
};

inline constexpr std::size_t max_transaction_entries = 32; // limit of the platform's store

// Reply to a transaction: the revision at which it was applied or, if a condition failed, the
// current entries of the conditions' keys. A key that does not exist has no entry.
struct transaction_reply {
    std::optional<revision_number> applied;
    std::vector<store_entry> present;
};

// One page of entries. While `more` is set, request the next page after the last key. The pages of
// a listing are not a consistent snapshot.
struct store_page {
    std::vector<store_entry> entries;
    bool more = false;
    revision_number revision; // of the whole store
};

enum class read_mode : std::uint8_t { linearizable, stale };

template <class T>
using store_callback = std::function<void(result<T>)>;

// Errors of all calls: unavailable (the store did nothing), timeout or outcome_unknown (a write may
// have been applied, or may be applied later if its conditions still hold), expired (the lease has
// ended, or the requested history was discarded), protocol_error.
class async_store {
  public:
    async_store() = default;
    virtual ~async_store() = default;
    async_store(const async_store&) = delete;
    async_store& operator=(const async_store&) = delete;
    async_store(async_store&&) = delete;
    async_store& operator=(async_store&&) = delete;

    // Reads one key; a missing key is not an error.
    virtual void get(const std::string& key, store_callback<std::optional<store_entry>> done) = 0;

    // Reads the next page of keys that start with the prefix and follow `after`.
    virtual void list(const std::string& prefix, const std::string& after, read_mode mode,
                      store_callback<store_page> done) = 0;

    // Returns the events below the prefix after a revision. Waits up to `wait` for the first one.
    virtual void watch(const std::string& prefix, revision_number after, duration wait,
                       store_callback<store_events> done) = 0;

    virtual void commit(store_transaction transaction, store_callback<transaction_reply> done) = 0;

    // Creates a lease that expires unless it is renewed within `ttl`.
    virtual void grant_lease(duration ttl, store_callback<lease_id> done) = 0;

    // Renews a lease for its time to live.
    virtual void keep_alive(lease_id lease, store_callback<void> done) = 0;
};

} // namespace fulmar
