// Client interface of the platform's key-value store for the control thread: calls return at once
// and report their result later on the same thread.
#pragma once

#include "fulmar/store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

// A key that must still be at this revision when the transaction is applied; 0: must not exist.
struct store_condition {
    std::string key;
    revision_number expected;
};

struct store_put {
    std::string key;
    std::string value;
    lease_id lease; // 0: none
};

// Applied as a whole or not at all. The store takes at most `transaction_entries` entries.
struct store_transaction {
    std::vector<store_condition> conditions;
    std::vector<store_put> puts;
    std::vector<std::string> removals;
};

inline constexpr std::size_t transaction_entries = 32; // limit of the platform's store

// Answer to a transaction: the revision it was applied at, or the present entries of its
// conditions; a condition's key that doesn't exist has no entry.
struct transaction_reply {
    std::optional<revision_number> applied;
    std::vector<store_entry> present;
};

// One page of entries; ask again after the last key while `more` is set. Pages are no snapshot.
struct store_page {
    std::vector<store_entry> entries;
    bool more = false;
    revision_number revision; // of the whole store
};

enum class read_mode : std::uint8_t { linearizable, stale };

template <class T>
using store_callback = std::function<void(result<T>)>;

// Errors of all calls: unavailable (certainly nothing was done), timeout or outcome_unknown (a
// write may have been applied, or may be applied later while its conditions hold), expired (a
// lease that has ended, or history that is gone), protocol_error.
class async_store {
  public:
    async_store() = default;
    virtual ~async_store() = default;
    async_store(const async_store&) = delete;
    async_store& operator=(const async_store&) = delete;
    async_store(async_store&&) = delete;
    async_store& operator=(async_store&&) = delete;

    // Reads one key; an absent key is no error.
    virtual void get(const std::string& key, store_callback<std::optional<store_entry>> done) = 0;

    // Reads the next page of keys that start with the prefix and follow `after`.
    virtual void list(const std::string& prefix, const std::string& after, read_mode mode,
                      store_callback<store_page> done) = 0;

    // Returns events below the prefix after a revision, waiting up to `wait` for the first.
    virtual void watch(const std::string& prefix, revision_number after, duration wait,
                       store_callback<store_events> done) = 0;

    virtual void commit(store_transaction transaction, store_callback<transaction_reply> done) = 0;

    // Creates a lease that lapses when it isn't kept alive for `ttl`.
    virtual void grant_lease(duration ttl, store_callback<lease_id> done) = 0;

    // Extends a lease by its time to live.
    virtual void keep_alive(lease_id lease, store_callback<void> done) = 0;
};

} // namespace fulmar
