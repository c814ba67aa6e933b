// Model of the platform's key-value store: transactions, leases, watches and a limited history.
// Behind the stand-in of the platform and the simulations of the tests; does no I/O.
#pragma once

#include "fulmar/async_store.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace fulmar {

class store_model {
  public:
    std::optional<store_entry> get(const std::string& key) const;

    // Returns up to `limit` entries below the prefix that follow `after`.
    store_page list(const std::string& prefix, const std::string& after, std::size_t limit) const;

    // Returns the events below the prefix after a revision; expired when the history was dropped.
    result<store_events> events_after(const std::string& prefix, revision_number after) const;

    // Applies a transaction as a whole, or returns the present entries of its conditions. Returns
    // expired when a put names a lease that has ended.
    result<transaction_reply> commit(const store_transaction& transaction);

    lease_id grant_lease(duration ttl, time_point now);
    result<duration> keep_alive(lease_id lease, time_point now);
    void end_lease(lease_id lease);

    // Ends the leases that have run out and removes their keys.
    void expire_leases(time_point now);

    // Writes or removes a key past all conditions, as an operator does.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    // Drops the history, so that watches from earlier revisions must list again.
    void compact();

    revision_number revision() const { return revision_; }

  private:
    struct item {
        std::string value;
        revision_number revision;
        lease_id lease;
    };
    struct lease_row {
        duration ttl{};
        time_point ends;
    };

    void write(const std::string& key, const std::string& value, lease_id lease);
    void erase(const std::string& key);

    revision_number revision_{1};
    revision_number compacted_;
    std::map<std::string, item> items_;
    std::map<lease_id, lease_row> leases_;
    std::deque<store_event> history_;
    std::uint64_t next_lease_ = 1;
};

} // namespace fulmar
