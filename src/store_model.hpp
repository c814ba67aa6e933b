// Model of the platform's key-value store: transactions, leases, watches and a limited history.
// Used by the stand-in of the platform and by the simulations of the tests. Does no I/O.
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

    // Returns the events below the prefix after a revision; expired if the history no longer holds
    // them.
    result<store_events> events_after(const std::string& prefix, revision_number after) const;

    // Applies all of a transaction if its conditions hold, otherwise returns the present entries of
    // its conditions. Returns expired if a put refers to a lease that has ended.
    result<transaction_reply> commit(const store_transaction& transaction);

    lease_id grant_lease(duration ttl, time_point now);

    // Renews a lease and returns its time to live; expired if it has ended.
    result<duration> keep_alive(lease_id lease, time_point now);

    // Ends a lease and removes its keys. Does nothing for an unknown lease.
    void end_lease(lease_id lease);

    // Ends the leases whose time to live has passed and removes their keys.
    void expire_leases(time_point now);

    // Writes or removes a key unconditionally, as an operator does.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    // Deletes the history, so that watches from earlier revisions fail and must list again.
    void compact();

    revision_number revision() const { return revision_; }

  private:
    struct item {
        std::string value;
        revision_number revision;
        lease_id lease;
    };
    struct lease_state {
        duration ttl{};
        time_point expires_at;
    };

    void write(const std::string& key, const std::string& value, lease_id lease);
    void erase(const std::string& key);

    revision_number revision_{1};
    revision_number compacted_revision_;
    std::map<std::string, item> items_;
    std::map<lease_id, lease_state> leases_;
    std::deque<store_event> history_;
    std::uint64_t next_lease_ = 1;
};

} // namespace fulmar
