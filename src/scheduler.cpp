#include "scheduler.hpp"

#include "cell_status.hpp"
#include "fulmar/json.hpp"
#include "fulmar/worker_http.hpp"
#include "peer_rpc.hpp"
#include "scheduler_entries.hpp"
#include "scheduler_handover.hpp"
#include "scheduler_state.hpp"
#include "scheduler_store.hpp"
#include "steady_clock.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <set>
#include <thread>

namespace fulmar {

namespace {

// Interval at which the status is rebuilt. It lists every job, so it is not rebuilt at each tick.
constexpr duration status_interval{500};

// Longest wait for the last group commits at shutdown.
constexpr duration shutdown_commit_timeout{3'000};

constexpr std::array setting_specs{
    setting_spec{"host", "name", setting_kind::text, "", 0, 0, "name of this host"},
    setting_spec{"host", "data_centre", setting_kind::text, "", 0, 0, "data centre of this host"},
    setting_spec{"operator", "address", setting_kind::address, "127.0.0.1:0", 0, 0,
                 "where metrics, health and cell status are served"},
    setting_spec{"heartbeats", "address", setting_kind::address, "127.0.0.1:0", 0, 0,
                 "UDP address for heartbeats of the data centre's schedulers"},
    setting_spec{"peers", "*", setting_kind::address, "", 0, 0,
                 "heartbeat address of another scheduler of the data centre, by its name; needed "
                 "only to find peers while the store is unreachable"},
    setting_spec{"peer_operators", "*", setting_kind::address, "", 0, 0,
                 "operator address of a peer, queried for the configuration while the store is "
                 "unreachable"},
    setting_spec{"store", "address", setting_kind::address, "", 0, 0, "the platform's store"},
    setting_spec{"store", "timeout", setting_kind::duration, "1 s", 10, 10'000,
                 "longest wait for a store call"},
    setting_spec{"store", "member_lease", setting_kind::duration, "6 s", 1'000, 60'000,
                 "time after which a dead scheduler's claims end"},
    setting_spec{"cells", "tick", setting_kind::duration, "100 ms", 10, 1'000,
                 "interval of the control loop"},
    setting_spec{"cells", "worker_lease", setting_kind::duration, "10 s", 1'000, 60'000,
                 "time after which a worker stops its tasks without a renewal"},
    setting_spec{"cells", "worker_timeout", setting_kind::duration, "1500 ms", 100, 10'000,
                 "longest wait for a worker's reply"},
    setting_spec{"cells", "sync_interval", setting_kind::duration, "2 s", 100, 20'000,
                 "interval of lease renewals"},
    setting_spec{"cells", "freshness", setting_kind::duration, "4 s", 500, 30'000,
                 "age beyond which state read from the store permits no start"},
};

// Returns the Unix time minus this host's monotonic time; converts deadlines.
std::int64_t unix_offset_ms() {
    const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(unix_now).count() -
           steady_now().time_since_epoch().count();
}

// Records in the membership a cell that deactivated itself during a tick or a reply.
void record_lost_cell(scheduler& self, const cell_id& id, epoch_number epoch) {
    auto& ownership = self.members.cells[id];
    ownership.highest_epoch = std::max(ownership.highest_epoch, epoch);
    if (ownership.owner == self.instance) {
        ownership.owner = {};
        ownership.owner_since = steady_now();
    }
    spdlog::warn("cell {}: lost at epoch {}", id.value, epoch.value);
}

void publish_status(scheduler& self) {
    json cells = json::object();
    for (const auto& [id, cell] : self.cells) {
        cells[id.value] = describe_cell(cell, steady_now());
    }
    const std::lock_guard lock(self.shared_mutex);
    self.status = json{{"instance", self.instance}, {"cells", cells}}.dump();
}

// Applies a heartbeat. Releases each owned cell for which the peer reports a higher epoch, because
// the peer superseded this instance.
void process_heartbeat(scheduler& self, const heartbeat& message) {
    on_heartbeat(self.members, message, steady_now());
    for (const auto& owned : message.cells) {
        const auto cell = self.cells.find(owned.cell);
        if (cell != self.cells.end() && cell->second.epoch.value != 0 &&
            cell->second.epoch < owned.epoch) {
            release_cell(self, cell->second, "newer_epoch_at_peer");
        }
    }
}

void send_heartbeats(scheduler& self, heartbeat_socket& socket) {
    heartbeat message{self.instance,
                      self.options.data_centre,
                      self.config.record().generation,
                      self.members.leaving,
                      {}};
    for (const auto& [id, cell] : self.cells) {
        if (cell.epoch.value != 0) {
            message.cells.push_back({id, cell.epoch});
        }
    }
    const auto datagram = serialize(message);
    std::set<std::string> addresses;
    for (const auto& [name, address] : self.options.peers) {
        addresses.insert(address);
    }
    for (const auto& [instance, record] : self.peers) {
        addresses.insert(record.heartbeat_address);
    }
    for (const auto& text : addresses) {
        const auto address = parse_address(text);
        if (address && address.value() != self.options.heartbeat_address) {
            socket.send(datagram, address.value());
            self.counters.count("fulmar_control_bytes_sent_total", "heartbeat",
                                static_cast<double>(datagram.size()));
        }
    }
}

// Adopts the cells of unreachable owners under a higher epoch, without the store.
void adopt_cells(scheduler& self) {
    const auto now = steady_now();
    for (const auto& found : find_adoptable(self.members, now)) {
        const auto at = self.cells.find(found.cell);
        if (at == self.cells.end() || at->second.epoch.value != 0) {
            continue;
        }
        const epoch_number epoch{std::max(found.epoch, at->second.highest_epoch).value + 1};
        activate(at->second, epoch, now);
        self.quotas_changed = true;
        record_claim(self.members, found.cell, self.instance, epoch, now);
        for (const auto& [job, row] : self.jobs) {
            on_job(at->second, job, row.record, row.revision, now);
        }
        self.counters.count("fulmar_cell_adoptions_total");
        spdlog::info("cell {}: owner unreachable, adopted at epoch {}", found.cell.value,
                     epoch.value);
    }
}

// Releases one cell in favour of a settled peer when this instance owns too many.
void rebalance(scheduler& self) {
    std::vector<cell_id> owned;
    for (const auto& [id, cell] : self.cells) {
        if (cell.claim_revision.value != 0) {
            owned.push_back(id);
        }
    }
    if (const auto surplus = find_surplus(self.members, owned, steady_now())) {
        release_cell(self, self.cells.at(*surplus), "rebalanced");
    }
}

http_response answer_request(scheduler& self, peer_rpc_server& rpc, const http_request& request) {
    if (const auto standard = handle_operator_route(request, self.counters, self.ready)) {
        return *standard;
    }
    if (request.path == peer_rpc_path && request.method == "POST") {
        return json_response(200, rpc.handle_request(request.body));
    }
    if (request.path == "/status") {
        const std::lock_guard lock(self.shared_mutex);
        return json_response(200, self.status);
    }
    return error_response({error_kind::not_found, "no such path: " + request.path});
}

// Sends the syncs and posts the store write that a tick of one cell returned.
void perform_actions(scheduler& self, worker_client& workers, store_client& store,
                     const cell_id& id, cell_actions actions) {
    for (auto& action : actions.syncs) {
        workers.sync(action.worker, std::move(action.request),
                     [&self, id, worker = action.worker,
                      sent = action.sent](const result<sync_reply>& reply) {
                         self.queue.post([&self, id, worker, sent, reply] {
                             on_sync(self.cells.at(id), worker, sent, reply, steady_now());
                         });
                     });
    }
    if (actions.progress_write) {
        self.commits.post(
            [&self, &store, id, epoch = actions.epoch, write = std::move(*actions.progress_write)] {
                commit_progress(self, store, id, epoch, write);
            });
    }
}

// Runs one tick over all cells.
void tick_cells(scheduler& self, worker_client& workers, store_client& store) {
    for (auto& [id, cell] : self.cells) {
        const epoch_number before = self.members.cells[id].owner == self.instance
                                        ? self.members.cells[id].highest_epoch
                                        : epoch_number{};
        cell.tables.unix_offset_ms = unix_offset_ms();
        on_config(cell, self.config.values());
        perform_actions(self, workers, store, id, tick(cell, steady_now()));
        run_handovers(self, store, cell, steady_now());
        if (before.value != 0 && cell.epoch.value == 0) {
            record_lost_cell(self, id, before);
        }
        if (cell.progress_conflict && steady_now() >= cell.next_commit) {
            cell.next_commit = steady_now() + cell.timing.commit_interval;
            self.commits.post(
                [&self, &store, cell_key = id] { reread_progress(self, store, cell_key); });
        }
    }
}

// Handles events for the duration of one tick. The tick interval does not depend on the number of
// events, because each tick iterates over all tables.
void run_events(scheduler& self) {
    const auto end = steady_now() + self.options.tick;
    for (auto now = steady_now(); now < end; now = steady_now()) {
        self.queue.run_for(end - now);
    }
}

// Runs ticks until SIGTERM.
void run_control(scheduler& self, worker_client& workers, store_client& store,
                 heartbeat_socket& socket) {
    time_point next_heartbeat;
    time_point next_status;
    time_point next_rebalance = steady_now() + self.members.timing.settling_time;
    while (!stop_signal_arrived(duration(0))) {
        run_events(self);
        apply_quotas(self);
        tick_cells(self, workers, store);
        adopt_cells(self);
        const auto now = steady_now();
        if (now >= next_heartbeat) {
            next_heartbeat = now + self.members.timing.heartbeat_interval;
            send_heartbeats(self, socket);
        }
        if (now >= next_rebalance) {
            next_rebalance = now + self.members.timing.settling_time;
            rebalance(self);
        }
        if (now >= next_status) {
            next_status = now + status_interval;
            publish_status(self);
        }
        self.ready = !self.cells.empty() && self.config.is_confirmed();
    }
}

// Stores uncommitted changes within a time limit, then releases all cells.
void hand_over_cells(scheduler& self, worker_client& workers, store_client& store,
                     heartbeat_socket& socket) {
    self.members.leaving = true;
    const auto deadline = steady_now() + shutdown_commit_timeout;
    const auto is_pending = [](const auto& cell) {
        return cell.second.claim_revision.value != 0 &&
               (cell.second.commit_in_flight || cell.second.progress_dirty);
    };
    while (steady_now() < deadline &&
           std::any_of(self.cells.begin(), self.cells.end(), is_pending)) {
        self.queue.run_for(self.options.tick);
        tick_cells(self, workers, store);
    }
    for (auto& [id, cell] : self.cells) {
        if (cell.epoch.value != 0) {
            release_cell(self, cell, "shutdown");
        }
    }
    send_heartbeats(self, socket);
}

} // namespace

std::unique_ptr<store_client> make_store(scheduler& self) {
    return make_http_store_client(self.http, self.options.store_address,
                                  self.options.store_timeout);
}

void release_cell(scheduler& self, cell_state& cell, std::string_view reason) {
    auto& ownership = self.members.cells[cell.id];
    ownership.highest_epoch = std::max(ownership.highest_epoch, cell.epoch);
    if (ownership.owner == self.instance) {
        ownership.owner = {};
        ownership.owner_since = steady_now();
    }
    spdlog::info("cell {}: released at epoch {}: {}", cell.id.value, cell.epoch.value, reason);
    self.counters.count("fulmar_cell_yields_total", reason);
    deactivate(cell);
}

std::span<const setting_spec> scheduler_setting_specs() {
    return setting_specs;
}

scheduler_settings parse_scheduler_settings(const settings& from) {
    scheduler_settings options;
    options.host = {text_setting(from, "host", "name")};
    options.data_centre = {text_setting(from, "host", "data_centre")};
    options.operator_address = address_setting(from, "operator", "address");
    options.heartbeat_address = address_setting(from, "heartbeats", "address");
    options.peers = section_settings(from, "peers");
    options.peer_operators = section_settings(from, "peer_operators");
    options.store_address = address_setting(from, "store", "address");
    options.store_timeout = duration_setting(from, "store", "timeout");
    options.member_lease = duration_setting(from, "store", "member_lease");
    options.tick = duration_setting(from, "cells", "tick");
    options.worker_timeout = duration_setting(from, "cells", "worker_timeout");
    options.timing.worker_lease = duration_setting(from, "cells", "worker_lease");
    options.timing.sync_interval = duration_setting(from, "cells", "sync_interval");
    options.timing.freshness = duration_setting(from, "cells", "freshness");
    return options;
}

int run_scheduler(const scheduler_settings& options) {
    // Step 1: create the state and the operator port, which also answers peers.
    scheduler self;
    self.options = options;
    self.instance = make_instance(options.host.value);
    self.members.self = self.instance;
    self.members.data_centre = options.data_centre;
    self.members.started = steady_now();
    for (const auto& [name, address] : options.peer_operators) {
        self.shared_peer_addresses.push_back(address);
    }
    peer_rpc_server rpc({[&self] { return self.config.record(); }});
    auto server = http_server::start(
        {options.operator_address, 1, {}},
        [&self, &rpc](const http_request& request, const http_responder& respond) {
            respond(answer_request(self, rpc, request));
        });
    if (!server) {
        spdlog::error("{}", server.error().detail);
        return exit_failure;
    }

    // Step 2: open the connections to peers, workers and the store.
    auto socket =
        heartbeat_socket::open(options.heartbeat_address, [&self](const std::string& datagram) {
            const auto message = parse_heartbeat(datagram);
            if (!message) {
                self.counters.count("fulmar_heartbeat_errors_total");
                return;
            }
            self.queue.post(
                [&self, message = message.value()] { process_heartbeat(self, message); });
        });
    if (!socket) {
        spdlog::error("{}", socket.error().detail);
        return exit_failure;
    }
    self.options.heartbeat_address = socket.value()->address();
    const auto workers = make_http_worker_client(
        self.http,
        [&self](const worker_id& id) {
            const std::lock_guard lock(self.shared_mutex);
            const auto found = self.shared_addresses.find(id);
            return found == self.shared_addresses.end() ? std::string() : found->second;
        },
        options.worker_timeout);
    const auto store = make_store(self);
    spdlog::info("scheduler {} started in data centre {}", self.instance.value,
                 options.data_centre.value);

    // Step 3: run until SIGTERM, then release the cells.
    std::vector<std::jthread> threads;
    for (const auto prefix :
         {workers_prefix, jobs_prefix, data_centres_prefix, members_prefix, teams_prefix}) {
        threads.emplace_back([&self, prefix] { run_watch(self, std::string(prefix)); });
    }
    threads.emplace_back([&self] { run_registration(self); });
    threads.emplace_back([&self] { run_config(self); });
    threads.emplace_back([&self] {
        while (!self.stopping) {
            self.commits.run_for(self.options.tick);
        }
    });
    run_control(self, *workers, *store, *socket.value());
    hand_over_cells(self, *workers, *store, *socket.value());

    // Step 4: join the other threads. Until then the control thread keeps running their queued
    // requests, on which they may block.
    self.stopping = true;
    std::atomic<bool> joined{false};
    std::jthread joiner([&] {
        threads.clear();
        joined = true;
    });
    while (!joined) {
        self.queue.run_for(options.tick);
    }
    spdlog::info("scheduler {} stopped", self.instance.value);
    return exit_ok;
}

} // namespace fulmar
