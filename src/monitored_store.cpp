#include "monitored_store.hpp"

namespace fulmar {

namespace {

// A longer time without an answer, while calls fail, is a gap. Shorter ones are common: a host
// without shards makes few calls but watches, which are answered about once a second.
constexpr duration gap_limit{1'500};

} // namespace

monitored_store::monitored_store(async_store& store, event_loop& loop)
    : store_(store)
    , state_(std::make_shared<state>(state{loop, loop.now(), loop.now()})) {}

template <class T>
store_callback<T> monitored_store::record(store_callback<T> done) const {
    return [self = state_, done = std::move(done)](result<T> reply) {
        const auto now = self->loop.now();
        if (reply || reply.error().kind == error_kind::expired) {
            if (self->failing && now - self->last_answer > gap_limit) {
                self->healthy_since = now;
            }
            self->failing = false;
            self->last_answer = now;
        } else {
            self->failing = true;
        }
        done(std::move(reply));
    };
}

void monitored_store::get(const std::string& key, store_callback<std::optional<store_entry>> done) {
    store_.get(key, record(std::move(done)));
}

void monitored_store::list(const std::string& prefix, const std::string& after, read_mode mode,
                           store_callback<store_page> done) {
    store_.list(prefix, after, mode, record(std::move(done)));
}

void monitored_store::watch(const std::string& prefix, revision_number after, duration wait,
                            store_callback<store_events> done) {
    store_.watch(prefix, after, wait, record(std::move(done)));
}

void monitored_store::commit(store_transaction transaction,
                             store_callback<transaction_reply> done) {
    store_.commit(std::move(transaction), record(std::move(done)));
}

void monitored_store::grant_lease(duration ttl, store_callback<lease_id> done) {
    store_.grant_lease(ttl, record(std::move(done)));
}

void monitored_store::keep_alive(lease_id lease, store_callback<void> done) {
    store_.keep_alive(lease, record(std::move(done)));
}

duration monitored_store::unreachable_for() const {
    return state_->failing ? state_->loop.now() - state_->last_answer : duration(0);
}

bool monitored_store::healthy_for(duration time) const {
    return !state_->failing && state_->loop.now() - state_->healthy_since >= time;
}

} // namespace fulmar
