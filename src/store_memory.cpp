#include "store_memory.hpp"

namespace fulmar {

namespace {

constexpr std::size_t history_limit = 10'000;
constexpr std::size_t value_limit_bytes = 1024 * 1024;

} // namespace

store_memory::store_memory(clock now)
    : now_(std::move(now)) {}

result<std::optional<store_entry>> store_memory::get(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (auto refused = begin_call()) {
        return *refused;
    }
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return std::optional<store_entry>{};
    }
    return std::optional(store_entry{key, found->second.value, found->second.revision});
}

result<store_listing> store_memory::list(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    if (auto refused = begin_call()) {
        return *refused;
    }
    store_listing listing{{}, revision_};
    for (auto at = entries_.lower_bound(prefix); at != entries_.end(); ++at) {
        if (!at->first.starts_with(prefix)) {
            break;
        }
        listing.entries.push_back({at->first, at->second.value, at->second.revision});
    }
    return listing;
}

result<revision_number> store_memory::compare_and_swap(const store_write& write) {
    const std::lock_guard lock(mutex_);
    if (auto refused = begin_call()) {
        return *refused;
    }
    if (faults_.hold_writes) {
        held_writes_.push_back(write);
        return error{error_kind::timeout, "store reply lost"};
    }
    return apply_write(write);
}

// Writes the value. Fails if it is too large, its lease has expired or the revision is not the
// expected one.
result<revision_number> store_memory::apply_write(const store_write& write) {
    if (write.value.size() > value_limit_bytes) {
        return error{error_kind::invalid_argument, write.key + ": value exceeds 1 MiB"};
    }
    if (write.lease && !leases_.contains(*write.lease)) {
        return error{error_kind::expired, write.key + ": lease has expired"};
    }
    const auto found = entries_.find(write.key);
    const auto present = found == entries_.end() ? revision_number{} : found->second.revision;
    if (present != write.expected) {
        return error{error_kind::conflict, write.key + ": revision is " +
                                               std::to_string(present.value) + ", expected " +
                                               std::to_string(write.expected.value)};
    }
    append_event(write.key, write.value, false);
    entries_[write.key] = {write.value, revision_, write.lease};
    return reply_to_write();
}

result<revision_number> store_memory::remove(const std::string& key, revision_number expected) {
    const std::lock_guard lock(mutex_);
    if (auto refused = begin_call()) {
        return *refused;
    }
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.revision != expected) {
        return error{error_kind::conflict, key + ": key is absent or its revision has changed"};
    }
    entries_.erase(found);
    append_event(key, "", true);
    return reply_to_write();
}

result<lease_id> store_memory::grant_lease(duration ttl) {
    const std::lock_guard lock(mutex_);
    if (auto refused = begin_call()) {
        return *refused;
    }
    const lease_id lease{next_lease_++};
    leases_[lease] = {ttl, now_() + ttl};
    if (faults_.lose_replies) {
        return error{error_kind::timeout, "store reply lost"};
    }
    return lease;
}

result<void> store_memory::keep_alive(lease_id lease) {
    const std::lock_guard lock(mutex_);
    if (auto refused = begin_call()) {
        return *refused;
    }
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return error{error_kind::expired, "lease has expired"};
    }
    found->second.expires_at = now_() + found->second.ttl;
    if (faults_.lose_replies) {
        return error{error_kind::timeout, "store reply lost"};
    }
    return outcome::success();
}

result<store_events> store_memory::watch(const std::string& prefix, revision_number after,
                                         duration /*wait*/) {
    const std::lock_guard lock(mutex_);
    if (auto refused = begin_call()) {
        return *refused;
    }
    if (after < compacted_revision_) {
        return error{error_kind::expired, "revision is older than the history"};
    }
    store_events found{{}, revision_};
    for (const auto& event : history_) {
        if (event.entry.revision > after && event.entry.key.starts_with(prefix)) {
            found.events.push_back(event);
        }
    }
    return found;
}

std::optional<store_entry> store_memory::peek(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(key);
    return found == entries_.end()
               ? std::nullopt
               : std::optional(store_entry{key, found->second.value, found->second.revision});
}

void store_memory::set_faults(const store_faults& faults) {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

store_faults store_memory::faults() const {
    const std::lock_guard lock(mutex_);
    return faults_;
}

std::uint64_t store_memory::calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
}

void store_memory::release_held_writes() {
    const std::lock_guard lock(mutex_);
    delete_expired_leases();
    for (const auto& write : held_writes_) {
        (void)apply_write(write);
    }
    held_writes_.clear();
}

// Counts a call and deletes expired leases. Returns an error if the store is set to be unavailable.
std::optional<error> store_memory::begin_call() {
    ++calls_;
    delete_expired_leases();
    if (faults_.unavailable) {
        return error{error_kind::unavailable, "store unavailable"};
    }
    return std::nullopt;
}

void store_memory::delete_expired_leases() {
    const auto now = now_();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (now < lease->second.expires_at) {
            ++lease;
            continue;
        }
        for (auto entry = entries_.begin(); entry != entries_.end();) {
            if (entry->second.lease != lease->first) {
                ++entry;
                continue;
            }
            const auto key = entry->first;
            entry = entries_.erase(entry);
            append_event(key, "", true);
        }
        lease = leases_.erase(lease);
    }
}

void store_memory::append_event(const std::string& key, const std::string& value, bool deleted) {
    ++revision_.value;
    history_.push_back({{key, value, revision_}, deleted});
    if (history_.size() > history_limit) {
        compacted_revision_ = history_.front().entry.revision;
        history_.pop_front();
    }
}

result<revision_number> store_memory::reply_to_write() {
    if (faults_.lose_replies) {
        return error{error_kind::timeout, "store reply lost"};
    }
    return revision_;
}

} // namespace fulmar
