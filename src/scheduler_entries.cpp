#include "scheduler_entries.hpp"

#include "quota.hpp"
#include "steady_clock.hpp"

#include <spdlog/spdlog.h>

namespace fulmar {

namespace {

// Applies a worker's record; creates the worker's cell if it is new.
void apply_worker_record(scheduler& self, const worker_id& id, const worker_record& record) {
    self.cell_data_centres[record.cell] = record.data_centre;
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

void apply_job_record(scheduler& self, const job_id& id, const job_record& record,
                      revision_number revision) {
    self.jobs[id] = {record, revision};
    // A cell that handed the job over detects from the record that the move took effect.
    for (auto& [cell_key, cell] : self.cells) {
        on_job(cell, id, record, revision, steady_now());
    }
}

// Applies the data centre's state, as returned by a store call sent at `sent`, to every cell.
void apply_data_centre_state(scheduler& self, data_centre_state state, time_point sent) {
    if (self.state && *self.state != state) {
        spdlog::info("data centre {}: state changed to {}", self.options.data_centre.value,
                     to_string(state));
    }
    self.state = state;
    self.state_confirmed = sent;
    for (auto& [id, cell] : self.cells) {
        on_data_centre_state(cell, state, sent);
    }
}

// Applies a scheduler's member record. Deleted records are still used as heartbeat addresses,
// because a record is also deleted when its scheduler merely loses its connection to the store.
void apply_member_record(scheduler& self, const host_id& id, const member_record& record) {
    if (record.data_centre != self.options.data_centre || id == self.instance ||
        record.program != "fulmar_scheduler") {
        return;
    }
    // A restarted scheduler replaces its earlier instance at the same heartbeat address.
    std::erase_if(self.peers, [&](const auto& peer) {
        return peer.second.heartbeat_address == record.heartbeat_address;
    });
    self.peers[id] = record;
    const std::lock_guard lock(self.shared_mutex);
    self.shared_peer_addresses.clear();
    for (const auto& [peer, member] : self.peers) {
        self.shared_peer_addresses.push_back(member.address);
    }
}

} // namespace

void apply_event(scheduler& self, const store_event& event, time_point sent) {
    const auto& entry = event.entry;
    const auto strip_prefix = [&](std::string_view prefix) {
        return entry.key.substr(prefix.size());
    };
    if (event.deleted) {
        if (entry.key.starts_with(teams_prefix)) {
            self.quotas[{strip_prefix(teams_prefix)}] = {};
            self.quotas_changed = true;
        }
        return;
    }
    if (entry.key.starts_with(workers_prefix)) {
        if (const auto record = parse_worker_record(entry.value)) {
            apply_worker_record(self, {strip_prefix(workers_prefix)}, record.value());
        }
    } else if (entry.key.starts_with(jobs_prefix)) {
        if (const auto record = parse_job_record(entry.value)) {
            apply_job_record(self, {strip_prefix(jobs_prefix)}, record.value(), entry.revision);
        }
    } else if (entry.key.starts_with(members_prefix)) {
        if (const auto record = parse_member_record(entry.value)) {
            apply_member_record(self, {strip_prefix(members_prefix)}, record.value());
        }
    } else if (entry.key.starts_with(teams_prefix)) {
        if (const auto record = parse_team_record(entry.value)) {
            self.quotas[{strip_prefix(teams_prefix)}] = record.value().quota;
            self.quotas_changed = true;
        }
    } else if (entry.key.starts_with(data_centres_prefix)) {
        const data_centre_id name{strip_prefix(data_centres_prefix)};
        if (const auto record = parse_data_centre_record(entry.value)) {
            self.data_centre_states[name] = record.value().state;
            if (name == self.options.data_centre) {
                apply_data_centre_state(self, record.value().state, sent);
            }
        }
    }
}

void apply_quotas(scheduler& self) {
    if (!std::exchange(self.quotas_changed, false)) {
        return;
    }
    const auto all_workers = static_cast<std::int64_t>(self.worker_cells.size());
    for (auto& [id, cell] : self.cells) {
        const auto cell_workers = static_cast<std::int64_t>(cell.tables.workers.size());
        for (const auto& [team, quota] : self.quotas) {
            auto& row = cell.tables.teams.at(find_team(cell.tables, team));
            row.quota = cell_quota(quota, {{cell_workers}, {cell_workers}, {cell_workers}},
                                   {{all_workers}, {all_workers}, {all_workers}});
        }
    }
}

void confirm_state(scheduler& self, time_point sent) {
    if (self.state) {
        apply_data_centre_state(self, *self.state, sent);
    }
}

} // namespace fulmar
