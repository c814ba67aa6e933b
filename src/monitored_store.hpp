// A client of the store that records whether the store answers.
#pragma once

#include "fulmar/async_store.hpp"
#include "fulmar/event_loop.hpp"

#include <memory>

namespace fulmar {

// Forwards all calls. Any answer shows that the store is reachable: a single call, such as a watch,
// may stay unanswered while the store serves all others.
class monitored_store final : public async_store {
  public:
    monitored_store(async_store& store, event_loop& loop);

    void get(const std::string& key, store_callback<std::optional<store_entry>> done) override;
    void list(const std::string& prefix, const std::string& after, read_mode mode,
              store_callback<store_page> done) override;
    void watch(const std::string& prefix, revision_number after, duration wait,
               store_callback<store_events> done) override;
    void commit(store_transaction transaction, store_callback<transaction_reply> done) override;
    void grant_lease(duration ttl, store_callback<lease_id> done) override;
    void keep_alive(lease_id lease, store_callback<void> done) override;

    // Returns the time since the last answer if calls have failed since; 0 while the store answers.
    duration unreachable_for() const;

    // Returns whether no call has failed since the last answer, and answers have come without a gap
    // for this long.
    bool healthy_for(duration time) const;

  private:
    struct state {
        event_loop& loop;
        time_point last_answer;
        time_point healthy_since;
        bool failing = false; // a call has failed since the last answer
    };

    template <class T>
    store_callback<T> record(store_callback<T> done) const;

    async_store& store_;
    std::shared_ptr<state> state_;
};

} // namespace fulmar
