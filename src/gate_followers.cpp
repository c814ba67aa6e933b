#include "gate_state.hpp"
#include "steady_clock.hpp"
#include "store_follower.hpp"

#include <spdlog/spdlog.h>

namespace fulmar {

namespace {

constexpr std::string_view gate_program = "fulmar_gate";

struct endpoint_name {
    service_id service;
    endpoint_id id;
};

// Parses endpoints/<service>/<id>; returns nothing if the key has no id.
std::optional<endpoint_name> parse_endpoint_key(std::string_view key) {
    key.remove_prefix(endpoints_prefix.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    return endpoint_name{{std::string(key.substr(0, slash))}, {std::string(key.substr(slash + 1))}};
}

// Applies one endpoint's entry. A malformed record is counted and otherwise ignored. The calling
// function holds the mutex.
void apply_endpoint(gate_state& self, const store_entry& entry, bool deleted) {
    const auto name = parse_endpoint_key(entry.key);
    if (!name) {
        return;
    }
    if (deleted) {
        delist_endpoint(self.endpoints, name->service, name->id, steady_now());
        return;
    }
    if (const auto record = parse_endpoint_record(entry.value)) {
        list_endpoint(self.endpoints, name->service, name->id, record.value());
    } else {
        self.counters.count("fulmar_gate_malformed_records_total");
    }
}

follower_actions endpoint_actions(gate_state& self) {
    return {[&self](const std::vector<store_entry>& entries) {
                const std::lock_guard lock(self.mutex);
                std::set<std::string> present;
                for (const auto& entry : entries) {
                    apply_endpoint(self, entry, false);
                    present.insert(entry.key);
                }
                std::vector<endpoint_name> removed;
                for (const auto& [service, endpoints] : self.endpoints.services) {
                    for (const auto& [id, endpoint] : endpoints) {
                        if (!present.contains(std::string(endpoints_prefix) + service.value + "/" +
                                              id.value)) {
                            removed.push_back({service, id});
                        }
                    }
                }
                for (const auto& name : removed) {
                    delist_endpoint(self.endpoints, name.service, name.id, steady_now());
                }
                self.subset_stale = true;
                self.endpoints_loaded = true;
            },
            [&self](const store_event& event) {
                const std::lock_guard lock(self.mutex);
                apply_endpoint(self, event.entry, event.deleted);
                self.subset_stale = true;
            }};
}

// Applies the entry dcs/<name>; a malformed record is ignored. The calling function holds the
// mutex.
void apply_data_centre(gate_state& self, const store_entry& entry, bool deleted) {
    const data_centre_id name{entry.key.substr(data_centres_prefix.size())};
    const auto record = parse_data_centre_record(entry.value);
    if (deleted) {
        self.endpoints.data_centres.erase(name);
    } else if (record) {
        self.endpoints.data_centres[name] = record.value().state;
        spdlog::info("data centre {}: now {}", name.value, to_string(record.value().state));
    }
}

follower_actions data_centre_actions(gate_state& self) {
    return {[&self](const std::vector<store_entry>& entries) {
                const std::lock_guard lock(self.mutex);
                self.endpoints.data_centres.clear();
                for (const auto& entry : entries) {
                    apply_data_centre(self, entry, false);
                }
            },
            [&self](const store_event& event) {
                const std::lock_guard lock(self.mutex);
                apply_data_centre(self, event.entry, event.deleted);
            }};
}

// Applies the entry members/<instance>. The calling function holds the mutex.
void apply_member(gate_state& self, const store_entry& entry, bool deleted) {
    self.gates.erase(entry.key);
    const auto record = parse_member_record(entry.value);
    if (!deleted && record && record.value().program == gate_program &&
        record.value().data_centre == self.options.data_centre) {
        self.gates[entry.key] = {record.value().host};
    }
}

follower_actions member_actions(gate_state& self) {
    return {[&self](const std::vector<store_entry>& entries) {
                const std::lock_guard lock(self.mutex);
                self.gates.clear();
                for (const auto& entry : entries) {
                    apply_member(self, entry, false);
                }
                self.subset_stale = true;
            },
            [&self](const store_event& event) {
                const std::lock_guard lock(self.mutex);
                apply_member(self, event.entry, event.deleted);
                self.subset_stale = true;
            }};
}

} // namespace

void update_subset(gate_state& self) {
    const std::lock_guard lock(self.mutex);
    if (!std::exchange(self.subset_stale, false)) {
        return;
    }
    std::set<host_id> hosts;
    for (const auto& [member, host] : self.gates) {
        hosts.insert(host);
    }
    const std::vector<host_id> gates(hosts.begin(), hosts.end());
    assign_subset(self.endpoints, self.options.host, gates, self.options.gates_per_endpoint);
}

void start_followers(gate_state& self) {
    const auto follow = [&self](std::string_view prefix, follower_actions actions) {
        self.threads.emplace_back(
            [&self, prefix, actions = std::move(actions)](const std::stop_token& stop) {
                follow_prefix(*self.dependencies.store, std::string(prefix), actions, stop);
            });
    };
    follow(endpoints_prefix, endpoint_actions(self));
    follow(data_centres_prefix, data_centre_actions(self));
    follow(members_prefix, member_actions(self));
}

} // namespace fulmar
