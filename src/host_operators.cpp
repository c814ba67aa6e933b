// What operators write for all hosts: data centres that are taken out of service, and those that
// are gone.
#include "host_control.hpp"

#include "bounded_json.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr duration gone_check_interval{1'000};

} // namespace

void host_control::on_evacuation_change(const std::string& key, const store_entry* entry) {
    const data_centre_id data_centre{key.substr(options_.layout.evacuations_prefix.size())};
    if (entry != nullptr) {
        evacuated_.insert(data_centre);
    } else {
        evacuated_.erase(data_centre);
    }
    log_.write_rare("event=data_centre_{} data_centre={}",
                    entry != nullptr ? "taken_out" : "taken_back",
                    make_printable(data_centre.value));
    update_start_permissions();
}

// An operator states that a data centre is gone with all its hosts and workers, or takes that back.
void host_control::on_gone_statement(const data_centre_id& data_centre, const store_entry* entry) {
    if (entry == nullptr) {
        gone_statements_.erase(data_centre);
        return;
    }
    gone_statements_[data_centre] = entry->revision;
    next_gone_check_ = loop_.now();
    log_.write_rare("event=data_centre_stated_gone data_centre={}",
                    make_printable(data_centre.value));
}

// Returns whether a host of the data centre was heard lately, or one of its workers has an entry in
// the store.
bool host_control::shows_life(const data_centre_id& data_centre) const {
    return data_centre == options_.data_centre ||
           std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto& row) {
                           return row.second.record.data_centre == data_centre &&
                                  is_alive(row.second);
                       }) ||
           std::any_of(worker_entries_.begin(), worker_entries_.end(),
                       [&](const auto& row) { return row.second.data_centre == data_centre; });
}

// Ends the takeovers that wait for a data centre that is stated to be gone. A statement counts only
// for takeovers that began before it, so one that is left behind does no harm later, and not while
// something of the data centre shows that it lives.
void host_control::apply_gone_statements() {
    if (gone_statements_.empty() || loop_.now() < next_gone_check_) {
        return;
    }
    next_gone_check_ = loop_.now() + gone_check_interval;
    for (const auto& [id, shard] : owned_) {
        auto& state = shard->state;
        const auto statement = gone_statements_.find(state.data_centre);
        if (!shard->loaded || state.takeover_complete || statement == gone_statements_.end() ||
            statement->second <= state.claim_revision) {
            continue;
        }
        if (!worker_view_.loaded() || shows_life(state.data_centre)) {
            log_.write("event=data_centre_shows_life shard={} data_centre={}", id.value,
                       state.data_centre.value);
            continue;
        }
        on_data_centre_gone(state, loop_.now());
        schedule_shard(shard);
    }
}

} // namespace fulmar
