#include "config_follower.hpp"

namespace fulmar {

namespace {

constexpr const char* config_prefix = "config/";

} // namespace

config_follower::config_follower(metrics& counters)
    : counters_(counters) {}

runtime_config config_follower::values() const {
    const std::lock_guard lock(mutex_);
    return state_.values;
}

config_record config_follower::record() const {
    const std::lock_guard lock(mutex_);
    return state_.record;
}

bool config_follower::is_confirmed() const {
    const std::lock_guard lock(mutex_);
    return state_.confirmed;
}

bool config_follower::apply_record(const config_record& record) {
    const std::lock_guard lock(mutex_);
    return apply_config(state_, record, counters_);
}

bool config_follower::follow_store(store_client& store, duration wait) {
    std::vector<store_entry> entries;
    if (!watch_revision_) {
        auto listing = store.list(config_prefix);
        if (!listing) {
            return false;
        }
        watch_revision_ = listing.value().revision;
        entries = std::move(listing.value().entries);
    } else {
        auto events = store.watch(config_prefix, *watch_revision_, wait);
        if (!events) {
            if (events.error().kind == error_kind::expired) {
                watch_revision_.reset();
                return true;
            }
            return false;
        }
        watch_revision_ = events.value().revision;
        for (auto& event : events.value().events) {
            if (!event.deleted) {
                entries.push_back(std::move(event.entry));
            }
        }
    }
    for (const auto& entry : entries) {
        const auto record = parse_config_record(entry.value);
        if (entry.key == config_key && record) {
            apply_record(record.value());
        }
    }
    const std::lock_guard lock(mutex_);
    state_.confirmed = true;
    return true;
}

void config_follower::follow_once(store_client& store, duration wait,
                                  const std::vector<std::string>& peers,
                                  const config_fetch& fetch) {
    if (follow_store(store, wait)) {
        return;
    }
    counters_.count("fulmar_config_store_failures_total");
    bool all_answered = !peers.empty();
    for (const auto& peer : peers) {
        const auto record = fetch(peer);
        all_answered = all_answered && record.has_value();
        if (record) {
            apply_record(record.value());
        }
    }
    if (all_answered) {
        const std::lock_guard lock(mutex_);
        state_.confirmed = true;
    }
}

void config_follower::fetch_from(const std::vector<std::string>& peers, const config_fetch& fetch) {
    for (const auto& peer : peers) {
        if (const auto record = fetch(peer)) {
            apply_record(record.value());
        }
    }
}

} // namespace fulmar
