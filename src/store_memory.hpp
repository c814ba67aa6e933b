// In-memory store with injected faults, used by standin_store and the tests.
#pragma once

#include "fulmar/store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace fulmar {

struct store_faults {
    bool unavailable = false;  // refuse every call
    bool lose_replies = false; // apply writes, then report a timeout
    duration delay{0};         // added to each reply by standin_store
    bool hold_writes = false;  // report a timeout; release_held_writes applies the write later
};

// Thread-safe. `watch` returns at once; standin_store implements the wait.
class store_memory final : public store_client {
  public:
    using clock = std::function<time_point()>;

    explicit store_memory(clock now);

    result<std::optional<store_entry>> get(const std::string& key) override;
    result<store_listing> list(const std::string& prefix) override;
    result<revision_number> compare_and_swap(const store_write& write) override;
    result<revision_number> remove(const std::string& key, revision_number expected) override;
    result<lease_id> grant_lease(duration ttl) override;
    result<void> keep_alive(lease_id lease) override;
    result<store_events> watch(const std::string& prefix, revision_number after,
                               duration wait) override;

    // Reads a key regardless of the injected faults and without counting a call, for checks in
    // tests.
    std::optional<store_entry> peek(const std::string& key) const;

    void set_faults(const store_faults& faults);
    store_faults faults() const;
    std::uint64_t calls() const;

    // Applies the held compare-and-swaps in order; those whose expected revision no longer matches
    // are dropped.
    void release_held_writes();

  private:
    struct entry_state {
        std::string value;
        revision_number revision;
        std::optional<lease_id> lease;
    };
    struct lease_state {
        duration ttl{};
        time_point expires_at;
    };

    std::optional<error> begin_call();
    void delete_expired_leases();
    void append_event(const std::string& key, const std::string& value, bool deleted);
    result<revision_number> apply_write(const store_write& write);
    result<revision_number> reply_to_write();

    clock now_;
    mutable std::mutex mutex_;
    store_faults faults_;
    std::uint64_t calls_ = 0;
    std::uint64_t next_lease_ = 1;
    revision_number revision_;
    revision_number compacted_revision_;
    std::map<std::string, entry_state> entries_;
    std::map<lease_id, lease_state> leases_;
    std::deque<store_event> history_;
    std::vector<store_write> held_writes_;
};

} // namespace fulmar
