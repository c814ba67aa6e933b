#include "scheduler_entries.hpp"

#include "quota.hpp"
#include "steady_clock.hpp"

#include <spdlog/spdlog.h>

namespace fulmar {

namespace {

// Takes a worker's description and creates its cell when it is new.
void take_worker(scheduler& self, const worker_id& id, const worker_record& record) {
    self.cell_homes[record.cell] = record.data_centre;
    self.worker_cells[id] = record.cell;
    self.quotas_changed = true;
    if (record.data_centre != self.options.data_centre) {
        return;
    }
    auto at = self.cells.find(record.cell);
    if (at == self.cells.end()) {
        at = self.cells
                 .emplace(record.cell, make_cell(record.cell, self.options.data_centre,
                                                 self.instance, self.options.timing, self.counters))
                 .first;
        self.members.cells[record.cell].owner_since = steady_now();
        if (self.state) {
            on_data_centre_state(at->second, *self.state, *self.state_confirmed);
        }
    }
    add_worker(at->second, id, record);
    const std::lock_guard lock(self.shared_mutex);
    self.shared_addresses[id] = record.address;
}

void take_job(scheduler& self, const job_id& id, const job_record& record,
              revision_number revision) {
    self.jobs[id] = {record, revision};
    // A cell that handed the job over learns from the record that the move took effect.
    for (auto& [cell_key, cell] : self.cells) {
        on_job(cell, id, record, revision, steady_now());
    }
}

// Applies the data centre's state, as shown by a store call sent at `sent`, to every cell.
void take_state(scheduler& self, data_centre_state state, time_point sent) {
    if (self.state && *self.state != state) {
        spdlog::info("data centre {}: now {}", self.options.data_centre.value, to_string(state));
    }
    self.state = state;
    self.state_confirmed = sent;
    for (auto& [id, cell] : self.cells) {
        on_data_centre_state(cell, state, sent);
    }
}

// Takes a daemon's member record. Records of dead members stay usable for heartbeats, because a
// record also goes when its owner merely lost the store.
void take_member(scheduler& self, const host_id& id, const member_record& record) {
    if (record.data_centre != self.options.data_centre || id == self.instance ||
        record.program != "fulmar_scheduler") {
        return;
    }
    // A restarted scheduler replaces the earlier instance at the same heartbeat address.
    std::erase_if(self.peers, [&](const auto& peer) {
        return peer.second.heartbeat_address == record.heartbeat_address;
    });
    self.peers[id] = record;
    const std::lock_guard lock(self.shared_mutex);
    self.shared_peer_addresses.clear();
    for (const auto& [peer, known] : self.peers) {
        self.shared_peer_addresses.push_back(known.address);
    }
}

} // namespace

void take_event(scheduler& self, const store_event& event, time_point sent) {
    const auto& entry = event.entry;
    const auto tail = [&](std::string_view prefix) { return entry.key.substr(prefix.size()); };
    if (event.deleted) {
        if (entry.key.starts_with(teams_prefix)) {
            self.quotas[{tail(teams_prefix)}] = {};
            self.quotas_changed = true;
        }
        return;
    }
    if (entry.key.starts_with(workers_prefix)) {
        if (const auto record = parse_worker_record(entry.value)) {
            take_worker(self, {tail(workers_prefix)}, record.value());
        }
    } else if (entry.key.starts_with(jobs_prefix)) {
        if (const auto record = parse_job_record(entry.value)) {
            take_job(self, {tail(jobs_prefix)}, record.value(), entry.revision);
        }
    } else if (entry.key.starts_with(members_prefix)) {
        if (const auto record = parse_member_record(entry.value)) {
            take_member(self, {tail(members_prefix)}, record.value());
        }
    } else if (entry.key.starts_with(teams_prefix)) {
        if (const auto record = parse_team_record(entry.value)) {
            self.quotas[{tail(teams_prefix)}] = record.value().quota;
            self.quotas_changed = true;
        }
    } else if (entry.key.starts_with(data_centres_prefix)) {
        const data_centre_id name{tail(data_centres_prefix)};
        if (const auto record = parse_data_centre_record(entry.value)) {
            self.data_centre_states[name] = record.value().state;
            if (name == self.options.data_centre) {
                take_state(self, record.value().state, sent);
            }
        }
    }
}

void apply_quotas(scheduler& self) {
    if (!std::exchange(self.quotas_changed, false)) {
        return;
    }
    const auto whole = static_cast<std::int64_t>(self.worker_cells.size());
    for (auto& [id, cell] : self.cells) {
        const auto part = static_cast<std::int64_t>(cell.tables.workers.size());
        for (const auto& [team, quota] : self.quotas) {
            auto& row = cell.tables.teams.at(find_team(cell.tables, team));
            row.quota = cell_quota(quota, {{part}, {part}, {part}}, {{whole}, {whole}, {whole}});
        }
    }
}

void confirm_state(scheduler& self, time_point sent) {
    if (self.state) {
        take_state(self, *self.state, sent);
    }
}

} // namespace fulmar
