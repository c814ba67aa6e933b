#include "store_model.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Events kept for watches; older ones are deleted, as by a compaction.
constexpr std::size_t history_limit = 20'000;

} // namespace

std::optional<store_entry> store_model::get(const std::string& key) const {
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return std::nullopt;
    }
    return store_entry{key, found->second.value, found->second.revision};
}

store_page store_model::list(const std::string& prefix, const std::string& after,
                             std::size_t limit) const {
    store_page page;
    page.revision = revision_;
    auto it = after < prefix ? items_.lower_bound(prefix) : items_.upper_bound(after);
    for (; it != items_.end() && it->first.starts_with(prefix); ++it) {
        if (page.entries.size() == limit) {
            page.more = true;
            break;
        }
        page.entries.push_back({it->first, it->second.value, it->second.revision});
    }
    return page;
}

result<store_events> store_model::events_after(const std::string& prefix,
                                               revision_number after) const {
    if (after < compacted_revision_) {
        return error{error_kind::expired, "revision is older than the history"};
    }
    store_events events;
    events.revision = revision_;
    for (const auto& event : history_) {
        if (event.entry.revision > after && event.entry.key.starts_with(prefix)) {
            events.events.push_back(event);
        }
    }
    return events;
}

result<transaction_reply> store_model::commit(const store_transaction& transaction) {
    const bool holds = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                                   [&](const store_condition& condition) {
                                       const auto found = items_.find(condition.key);
                                       const auto present = found == items_.end()
                                                                ? revision_number{}
                                                                : found->second.revision;
                                       return present == condition.expected;
                                   });
    if (!holds) {
        transaction_reply refused;
        for (const auto& condition : transaction.conditions) {
            if (auto entry = get(condition.key)) {
                refused.present.push_back(std::move(*entry));
            }
        }
        return refused;
    }
    for (const auto& put : transaction.puts) {
        if (put.lease.value != 0 && !leases_.contains(put.lease)) {
            return error{error_kind::expired, "no such lease"};
        }
    }
    ++revision_.value;
    for (const auto& put : transaction.puts) {
        write(put.key, put.value, put.lease);
    }
    for (const auto& key : transaction.removals) {
        erase(key);
    }
    return transaction_reply{revision_, {}};
}

lease_id store_model::grant_lease(duration ttl, time_point now) {
    const lease_id lease{next_lease_++};
    leases_[lease] = {ttl, now + ttl};
    return lease;
}

result<duration> store_model::keep_alive(lease_id lease, time_point now) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return error{error_kind::expired, "no such lease"};
    }
    found->second.expires_at = now + found->second.ttl;
    return found->second.ttl;
}

void store_model::end_lease(lease_id lease) {
    if (leases_.erase(lease) == 0) {
        return;
    }
    std::vector<std::string> attached_keys;
    for (const auto& [key, row] : items_) {
        if (row.lease == lease) {
            attached_keys.push_back(key);
        }
    }
    for (const auto& key : attached_keys) {
        remove(key);
    }
}

void store_model::expire_leases(time_point now) {
    std::vector<lease_id> expired_leases;
    for (const auto& [lease, row] : leases_) {
        if (row.expires_at <= now) {
            expired_leases.push_back(lease);
        }
    }
    for (const auto lease : expired_leases) {
        end_lease(lease);
    }
}

void store_model::put(const std::string& key, const std::string& value) {
    ++revision_.value;
    write(key, value, {});
}

void store_model::remove(const std::string& key) {
    if (items_.contains(key)) {
        ++revision_.value;
        erase(key);
    }
}

void store_model::compact() {
    compacted_revision_ = revision_;
    history_.clear();
}

void store_model::write(const std::string& key, const std::string& value, lease_id lease) {
    items_[key] = {value, revision_, lease};
    history_.push_back({{key, value, revision_}, false});
    if (history_.size() > history_limit) {
        compacted_revision_ = history_.front().entry.revision;
        history_.pop_front();
    }
}

void store_model::erase(const std::string& key) {
    if (items_.erase(key) > 0) {
        history_.push_back({{key, "", revision_}, true});
    }
}

} // namespace fulmar
