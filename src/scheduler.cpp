#include "scheduler.hpp"

#include "cell_status.hpp"
#include "control_queue.hpp"
#include "fulmar/http_client.hpp"
#include "fulmar/json.hpp"
#include "fulmar/store_http.hpp"
#include "fulmar/worker_http.hpp"
#include "steady_clock.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <future>
#include <map>
#include <random>
#include <thread>

namespace fulmar {

namespace {

constexpr duration watch_wait{1'500};
constexpr duration keep_alive_interval{1'500};
constexpr duration retry_interval{500};

constexpr std::array rows{
    setting_row{"host", "name", setting_kind::text, "", 0, 0, "name of this host"},
    setting_row{"host", "data_centre", setting_kind::text, "", 0, 0, "data centre of this host"},
    setting_row{"operator", "address", setting_kind::address, "127.0.0.1:0", 0, 0,
                "where metrics, health and cell status are served"},
    setting_row{"store", "address", setting_kind::address, "", 0, 0, "the platform's store"},
    setting_row{"store", "timeout", setting_kind::duration, "1 s", 10, 10'000,
                "longest wait for a store call"},
    setting_row{"store", "member_lease", setting_kind::duration, "6 s", 1'000, 60'000,
                "time after which a dead scheduler's claims end"},
    setting_row{"cells", "tick", setting_kind::duration, "100 ms", 10, 1'000,
                "interval of the control loop"},
    setting_row{"cells", "worker_lease", setting_kind::duration, "10 s", 1'000, 60'000,
                "time after which a worker stops its tasks without a renewal"},
    setting_row{"cells", "worker_timeout", setting_kind::duration, "1500 ms", 100, 10'000,
                "longest wait for a worker's reply"},
    setting_row{"cells", "sync_interval", setting_kind::duration, "2 s", 100, 20'000,
                "interval of lease renewals"},
    setting_row{"cells", "freshness", setting_kind::duration, "4 s", 500, 30'000,
                "age beyond which state read from the store permits no start"},
};

// Names one run of this process, so that a restarted scheduler isn't taken for its predecessor.
host_id make_instance(const host_id& host) {
    std::random_device entropy;
    return {host.value + "." + std::to_string(entropy())};
}

struct scheduler {
    scheduler_settings options;
    host_id instance;
    metrics counters;
    http_client http;
    control_queue queue;
    std::atomic<bool> stopping{false};
    std::atomic<bool> ready{false};

    // Owned by the control thread.
    std::map<cell_id, cell_state> cells;
    std::map<job_id, job_row> jobs; // of all cells of this data centre, owned by us or not
    std::optional<data_centre_state> state;
    std::optional<time_point> state_confirmed;

    // Guards what other threads read of the control state.
    std::mutex shared_mutex;
    std::map<worker_id, std::string> shared_addresses;
    std::string status = "{}";

    std::unique_ptr<store_client> make_store() {
        return make_store_http(http, options.store_address, options.store_timeout);
    }
};

// --- Control thread
// -------------------------------------------------------------------------------

// Takes a worker's description and creates its cell when it is new.
void take_worker(scheduler& self, const worker_id& id, const worker_record& record) {
    if (record.data_centre != self.options.data_centre) {
        return;
    }
    auto at = self.cells.find(record.cell);
    if (at == self.cells.end()) {
        at = self.cells
                 .emplace(record.cell, make_cell(record.cell, self.options.data_centre,
                                                 self.instance, self.options.timing, self.counters))
                 .first;
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
    const auto cell = self.cells.find(record.cell);
    if (cell != self.cells.end()) {
        on_job(cell->second, id, record, revision, steady_now());
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

// Applies one entry of the store to the tables.
void take_entry(scheduler& self, const store_entry& entry, time_point sent) {
    const auto tail = [&](std::string_view prefix) { return entry.key.substr(prefix.size()); };
    if (entry.key.starts_with(workers_prefix)) {
        if (const auto record = parse_worker_record(entry.value)) {
            take_worker(self, {tail(workers_prefix)}, record.value());
        }
    } else if (entry.key.starts_with(jobs_prefix)) {
        if (const auto record = parse_job_record(entry.value)) {
            take_job(self, {tail(jobs_prefix)}, record.value(), entry.revision);
        }
    } else if (entry.key == std::string(data_centres_prefix) + self.options.data_centre.value) {
        if (const auto record = parse_data_centre_record(entry.value)) {
            take_state(self, record.value().state, sent);
        }
    }
}

// Notes that the data centre's state had not changed when a call sent at `sent` was answered.
void confirm_state(scheduler& self, time_point sent) {
    if (self.state) {
        take_state(self, *self.state, sent);
    }
}

void publish_status(scheduler& self) {
    json cells = json::object();
    for (const auto& [id, cell] : self.cells) {
        cells[id.value] = describe_cell(cell, steady_now());
    }
    const std::lock_guard lock(self.shared_mutex);
    self.status = json{{"instance", self.instance}, {"cells", cells}}.dump();
}

// --- Store calls
// ----------------------------------------------------------------------------------

struct claim_attempt {
    cell_id cell;
    epoch_number epoch;
    store_write write;
};

// Writes the cell's claim, reads its progress and activates the cell; runs on the membership
// thread.
void finish_claim(scheduler& self, store_client& store, const claim_attempt& attempt) {
    const auto sent = steady_now();
    const auto written = write_and_settle(store, attempt.write);
    if (!written) {
        self.counters.count("fulmar_claim_failures_total", to_string(written.error().kind));
        return;
    }
    const auto progress = store.get(std::string(progress_prefix) + attempt.cell.value);
    if (!progress) {
        self.counters.count("fulmar_claim_failures_total", "progress_unread");
        return;
    }
    self.queue.post([&self, attempt, sent, revision = written.value(), entry = progress.value()] {
        auto& cell = self.cells.at(attempt.cell);
        if (attempt.epoch <= cell.epoch) {
            return;
        }
        const auto now = steady_now();
        activate(cell, attempt.epoch, now);
        on_claim_confirmed(cell, revision, sent);
        on_progress_read(cell, entry, now);
        for (const auto& [id, job] : self.jobs) {
            on_job(cell, id, job.record, job.revision, now);
        }
        spdlog::info("cell {}: claimed at epoch {}", attempt.cell.value, attempt.epoch.value);
    });
}

// Claims cells of this data centre whose owner is gone.
void claim_free_cells(scheduler& self, store_client& store,
                      const std::map<cell_id, epoch_number>& inactive) {
    const auto claims = store.list(std::string(cells_prefix));
    const auto members = store.list(std::string(members_prefix));
    if (!claims || !members) {
        return;
    }
    std::map<std::string, store_entry> claim_by_cell;
    for (const auto& entry : claims.value().entries) {
        claim_by_cell[entry.key.substr(cells_prefix.size())] = entry;
    }
    std::map<std::string, bool> alive;
    for (const auto& entry : members.value().entries) {
        alive[entry.key.substr(members_prefix.size())] = true;
    }
    for (const auto& [cell, epoch] : inactive) {
        cell_claim present;
        revision_number revision;
        if (const auto found = claim_by_cell.find(cell.value); found != claim_by_cell.end()) {
            const auto claim = parse_cell_claim(found->second.value);
            if (!claim || alive.contains(claim.value().owner.value)) {
                continue;
            }
            present = claim.value();
            revision = found->second.revision;
        }
        const epoch_number next{std::max(present.epoch.value, epoch.value) + 1};
        const std::string key = std::string(cells_prefix) + cell.value;
        finish_claim(self, store,
                     {cell, next, {key, serialize(cell_claim{self.instance, next}), revision, {}}});
    }
}

// Asks the control thread for something and waits for the answer.
template <class T>
T ask_control(scheduler& self, std::function<T()> question) {
    std::promise<T> answer;
    auto future = answer.get_future();
    self.queue.post([&] { answer.set_value(question()); });
    return future.get();
}

// Writes this instance's member record under a new lease.
std::optional<lease_id> register_member(scheduler& self, store_client& store) {
    const auto lease = store.grant_lease(self.options.member_lease);
    if (!lease) {
        return std::nullopt;
    }
    const member_record record{"fulmar_scheduler",
                               self.options.host.value,
                               to_string(self.options.operator_address),
                               self.options.data_centre,
                               {}};
    const std::string key = std::string(members_prefix) + self.instance.value;
    const auto present = store.get(key);
    if (!present) {
        return std::nullopt;
    }
    const auto revision = present.value() ? present.value()->revision : revision_number{};
    const auto written = write_and_settle(store, {key, serialize(record), revision, lease.value()});
    return written ? std::optional(lease.value()) : std::nullopt;
}

void confirm_claims(scheduler& self, time_point sent) {
    self.queue.post([&self, sent] {
        for (auto& [id, cell] : self.cells) {
            if (cell.claim_revision.value != 0) {
                on_claim_confirmed(cell, cell.claim_revision, sent);
            }
        }
    });
}

// Gives up all claims after the member lease was lost, as another scheduler may have taken them.
void drop_claims(scheduler& self) {
    ask_control<bool>(self, [&self] {
        for (auto& [id, cell] : self.cells) {
            if (cell.epoch.value != 0) {
                spdlog::warn("cell {}: member lease lapsed, giving the cell up", id.value);
                deactivate(cell);
                cell.claim_to_release.reset();
            }
        }
        return true;
    });
}

// Keeps the member lease alive and claims free cells, until the scheduler stops.
void run_membership(scheduler& self) {
    const auto store = self.make_store();
    std::optional<lease_id> lease;
    while (!self.stopping) {
        const auto sent = steady_now();
        if (!lease) {
            lease = register_member(self, *store);
        }
        if (lease) {
            const auto kept = store->keep_alive(*lease);
            if (kept) {
                confirm_claims(self, sent);
                const auto inactive = ask_control<std::map<cell_id, epoch_number>>(self, [&self] {
                    std::map<cell_id, epoch_number> found;
                    for (const auto& [id, cell] : self.cells) {
                        if (cell.epoch.value == 0) {
                            found[id] = cell.progress.epoch;
                        }
                    }
                    return found;
                });
                claim_free_cells(self, *store, inactive);
            } else if (kept.error().kind == error_kind::expired) {
                lease.reset();
                drop_claims(self);
                continue;
            }
        }
        std::this_thread::sleep_for(lease ? keep_alive_interval : retry_interval);
    }
}

// Follows one prefix of the store and posts each entry to the control thread.
void run_watch(scheduler& self, const std::string& prefix) {
    const auto store = self.make_store();
    std::optional<revision_number> revision;
    while (!self.stopping) {
        const auto sent = steady_now();
        std::vector<store_entry> entries;
        if (!revision) {
            auto listing = store->list(prefix);
            if (!listing) {
                std::this_thread::sleep_for(retry_interval);
                continue;
            }
            revision = listing.value().revision;
            entries = std::move(listing.value().entries);
        } else {
            auto events = store->watch(prefix, *revision, watch_wait);
            if (!events) {
                if (events.error().kind == error_kind::expired) {
                    revision.reset();
                } else {
                    std::this_thread::sleep_for(retry_interval);
                }
                continue;
            }
            revision = events.value().revision;
            for (auto& event : events.value().events) {
                if (!event.deleted) {
                    entries.push_back(std::move(event.entry));
                }
            }
        }
        const bool confirms_state = prefix == data_centres_prefix;
        self.queue.post([&self, entries = std::move(entries), sent, confirms_state] {
            for (const auto& entry : entries) {
                take_entry(self, entry, sent);
            }
            if (confirms_state) {
                confirm_state(self, sent);
            }
        });
    }
}

// Writes group commits in their order; runs on its own thread because a slow store must not delay
// syncs.
void run_commits(scheduler& self, control_queue& commits) {
    while (!self.stopping) {
        commits.run_for(self.options.tick);
    }
}

void commit_progress(scheduler& self, store_client& store, const cell_id& id,
                     const store_write& write) {
    const auto written = write_and_settle(store, write);
    const bool reread = !written && (written.error().kind == error_kind::conflict ||
                                     written.error().kind == error_kind::outcome_unknown);
    const auto entry =
        reread ? store.get(write.key) : result<std::optional<store_entry>>(std::nullopt);
    self.queue.post([&self, id, written, reread, entry] {
        auto& cell = self.cells.at(id);
        on_progress_written(cell, written, steady_now());
        if (reread && entry) {
            on_progress_read(cell, entry.value(), steady_now());
        }
    });
}

// Reads the progress of cells whose copy is in doubt and whose last reread failed too.
void reread_progress(scheduler& self, store_client& store, const cell_id& id) {
    const auto entry = store.get(std::string(progress_prefix) + id.value);
    if (!entry) {
        return;
    }
    self.queue.post([&self, id, entry = entry.value()] {
        auto& cell = self.cells.at(id);
        if (cell.progress_conflict) {
            on_progress_read(cell, entry, steady_now());
        }
    });
}

http_response answer(scheduler& self, const http_request& request) {
    if (const auto standard = answer_operator_route(request, self.counters, self.ready)) {
        return *standard;
    }
    if (request.path == "/status") {
        const std::lock_guard lock(self.shared_mutex);
        return json_response(200, self.status);
    }
    return error_response({error_kind::not_found, "no such path: " + request.path});
}

// Runs ticks and performs their actions until SIGTERM.
void run_control(scheduler& self, worker_client& workers, store_client& store,
                 control_queue& commits) {
    time_point next_reread;
    while (!stop_signal_arrived(duration(0))) {
        self.queue.run_for(self.options.tick);
        for (auto& [id, cell] : self.cells) {
            auto actions = tick(cell, steady_now());
            for (auto& action : actions.syncs) {
                workers.sync(action.worker, std::move(action.request),
                             [&self, cell_key = id, worker = action.worker,
                              sent = action.sent](const result<sync_reply>& reply) {
                                 self.queue.post([&self, cell_key, worker, sent, reply] {
                                     on_sync(self.cells.at(cell_key), worker, sent, reply,
                                             steady_now());
                                 });
                             });
            }
            if (actions.progress_write) {
                commits.post([&self, &store, cell_key = id, write = *actions.progress_write] {
                    commit_progress(self, store, cell_key, write);
                });
            } else if (cell.progress_conflict && steady_now() >= next_reread) {
                next_reread = steady_now() + retry_interval;
                commits.post(
                    [&self, &store, cell_key = id] { reread_progress(self, store, cell_key); });
            }
        }
        publish_status(self);
        self.ready = !self.cells.empty();
    }
}

} // namespace

std::span<const setting_row> scheduler_setting_rows() {
    return rows;
}

scheduler_settings parse_scheduler_settings(const settings& from) {
    scheduler_settings options;
    options.host = {text_setting(from, "host", "name")};
    options.data_centre = {text_setting(from, "host", "data_centre")};
    options.operator_address = address_setting(from, "operator", "address");
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
    scheduler self;
    self.options = options;
    self.instance = make_instance(options.host);
    auto server =
        http_server::start({options.operator_address, 1, {}},
                           [&self](const http_request& request, const http_responder& respond) {
                               respond(answer(self, request));
                           });
    if (!server) {
        spdlog::error("{}", server.error().detail);
        return exit_failure;
    }
    const auto workers = make_worker_http(
        self.http,
        [&self](const worker_id& id) {
            const std::lock_guard lock(self.shared_mutex);
            const auto found = self.shared_addresses.find(id);
            return found == self.shared_addresses.end() ? std::string() : found->second;
        },
        options.worker_timeout);
    const auto store = self.make_store();
    control_queue commits;
    spdlog::info("scheduler {} started in data centre {}", self.instance.value,
                 options.data_centre.value);

    std::vector<std::jthread> threads;
    for (const auto prefix : {workers_prefix, jobs_prefix, data_centres_prefix}) {
        threads.emplace_back([&self, prefix] { run_watch(self, std::string(prefix)); });
    }
    threads.emplace_back([&self] { run_membership(self); });
    threads.emplace_back([&self, &commits] { run_commits(self, commits); });
    run_control(self, *workers, *store, commits);

    // Let waiting threads finish their questions to the control thread, then end them.
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
