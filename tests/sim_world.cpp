#include "sim_parts.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace fulmar {

namespace {

constexpr duration world_tick{20};

// From a planned stop until the host must have answered its callers, and until its process ends.
constexpr duration last_answer_time{5'000};
constexpr duration stop_time{5'300};
constexpr duration heartbeat_interval{1'500};
constexpr std::int64_t unix_start_ms = 1'700'000'000'000;

// The simulation's own format of operator orders and worker entries.
result<site_config> parse_sim_config(const std::string& text) {
    const auto in = json::parse(text, nullptr, false);
    if (!in.is_object()) {
        return error{error_kind::protocol_error, "not a configuration"};
    }
    site_config config;
    config.generation = in.at("generation").get<generation_number>();
    for (const auto& row : in.at("queues")) {
        auto queue = decode_queue(row);
        queue.host = row.at("host").get<std::string>();
        queue.prefix = row.at("prefix").get<std::string>();
        config.queues.push_back(std::move(queue));
    }
    return config;
}

std::string encode_sim_worker(const worker_entry& entry, std::uint64_t heartbeat) {
    json out{{"service", entry.service},   {"dc", entry.data_centre},
             {"rack", entry.rack},         {"address", to_string(entry.target.address)},
             {"capacity", entry.capacity}, {"labels", entry.labels},
             {"draining", entry.draining}, {"beat", heartbeat}};
    out["born"] = entry.start_time->value;
    return out.dump();
}

result<worker_entry> parse_sim_worker(const std::string& id, const std::string& text) {
    const auto in = json::parse(text, nullptr, false);
    if (!in.is_object() || !in.contains("address")) {
        return error{error_kind::protocol_error, "not a worker"};
    }
    worker_entry entry;
    entry.target = {{id}, parse_address(in.at("address").get<std::string>()).value()};
    entry.service = in.at("service").get<service_id>();
    entry.data_centre = in.at("dc").get<data_centre_id>();
    entry.rack = in.at("rack").get<rack_id>();
    entry.capacity = in.at("capacity").get<resources>();
    entry.labels = in.at("labels").get<std::vector<std::string>>();
    entry.draining = in.at("draining").get<bool>();
    entry.start_time = process_start_time{in.at("born").get<std::int64_t>()};
    return entry;
}

} // namespace
sim_world::sim_world(std::uint64_t seed, const std::vector<std::string>& data_centres,
                     std::size_t hosts_each, std::size_t workers_each,
                     const std::map<std::string, std::string>& regions)
    : random_(seed)
    , now_(time_point(duration(10'000))) {
    for (const auto& name : data_centres) {
        const auto found = regions.find(name);
        regions_[{name}] = {found == regions.end() ? "region" : found->second};
    }
    constexpr std::size_t workers_per_rack = 3;
    std::uint16_t worker_port = 1;
    for (const auto& data_centre : data_centres) {
        for (std::size_t i = 0; i < hosts_each; ++i) {
            auto next = std::make_unique<sim_host>();
            next->index = hosts_.size();
            next->options.name.value = data_centre + "-" + std::to_string(i + 1);
            next->options.data_centre.value = data_centre;
            next->options.workers_per_shard = 12;
            next->options.regions = regions_;
            next->options.peer_address = {"10.0.0.1",
                                          static_cast<std::uint16_t>(hosts_.size() + 1)};
            next->options.layout = {.config_key = "op/config",
                                    .evacuations_prefix = "op/evacuate/",
                                    .workers_prefix = "servers/",
                                    .parse_config = parse_sim_config,
                                    .parse_worker = parse_sim_worker};
            hosts_.push_back(std::move(next));
        }
        for (std::size_t i = 0; i < workers_each; ++i) {
            sim_worker worker;
            const auto id = "w-" + data_centre + "-" + std::to_string(i);
            worker.entry.target = {{id}, {"10.0.1.1", worker_port++}};
            worker.entry.service.value = "desk";
            worker.entry.data_centre.value = data_centre;
            worker.entry.rack.value = data_centre + "-r" + std::to_string(i / workers_per_rack);
            worker.entry.labels = {"a", worker.entry.rack.value};
            worker.entry.capacity = {{8'000}, {32'000}, {0}};
            worker.options.id.value = id;
            worker.options.capacity = worker.entry.capacity;
            worker.options.enforces_capacity = false;
            worker.options.behaviour = [this](const run_key& run, const std::string&) {
                return behaviour_of(run);
            };
            workers_.emplace(id, std::move(worker));
        }
    }
    queues_ = {queue("previews"), queue("renders")};
    configure(queues_);
    for (auto& [id, worker] : workers_) {
        start_worker(id);
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        start_host(i);
    }
    tick();
}

sim_world::~sim_world() {
    for (auto& host : hosts_) {
        host->control.reset();
    }
}

unix_time sim_world::unix_now() const {
    return {unix_start_ms + now_.time_since_epoch().count()};
}

void sim_world::at(duration delay, std::function<void()> action) {
    events_.push({now_ + std::max(delay, duration(0)), next_order_++, std::move(action)});
}

void sim_world::on_host(std::size_t index, std::uint64_t incarnation, duration delay,
                        std::function<void()> action) {
    at(delay, [this, index, incarnation, action = std::move(action)] {
        const auto& host = *hosts_[index];
        if (!host.alive || host.incarnation != incarnation) {
            return;
        }
        if (host.frozen_until > now_) {
            on_host(index, incarnation, host.frozen_until - now_ + resend_delay(host), action);
            return;
        }
        action();
    });
}

duration sim_world::latency() {
    return duration(1 + static_cast<std::int64_t>(random_() % 3));
}

bool sim_world::chance(double probability) {
    return probability > 0 && static_cast<double>(random_() % 10'000) < probability * 10'000;
}

void sim_world::run_for(duration time) {
    const auto until = now_ + time;
    while (!events_.empty() && events_.top().at <= until) {
        const auto next = events_.top();
        events_.pop();
        now_ = std::max(now_, next.at);
        next.action();
    }
    now_ = until;
}

bool sim_world::run_until(const std::function<bool()>& condition, duration limit) {
    constexpr duration step{50};
    for (duration passed{0}; passed < limit; passed += step) {
        if (condition()) {
            return true;
        }
        run_for(step);
    }
    return condition();
}

// Advances leases, watches and workers to the current time and checks the runs that they executed.
void sim_world::tick() {
    store_.expire_leases(now_);
    answer_watches();
    for (auto& [id, worker] : workers_) {
        if (!worker.model) {
            continue;
        }
        worker.model->advance(now_);
        record_ends(worker, *worker.model);
    }
    for (auto& [id, worker] : workers_) {
        if (worker.model) {
            check_starts(worker, *worker.model);
            check_capacity(worker);
        }
    }
    at(world_tick, [this] { tick(); });
}

// Returns whether the watch has ended without an answer.
bool sim_world::answer_hung_watch(waiting_watch& watch) {
    constexpr duration timeout_margin{1'000}; // of the host's client
    if (now_ < watch.until + timeout_margin) {
        return false;
    }
    on_host(watch.host, watch.incarnation, duration(0), [done = watch.done] {
        done(error{error_kind::timeout, "simulated"});
    });
    return true;
}

void sim_world::answer_watches() {
    for (std::size_t i = 0; i < watches_.size();) {
        auto& watch = watches_[i];
        if (hosts_[watch.host]->hangs(watch.prefix)) {
            if (answer_hung_watch(watch)) {
                watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
            } else {
                ++i;
            }
            continue;
        }
        auto events = store_.events_after(watch.prefix, watch.after);
        const bool due = !events || !events.value().events.empty() || now_ >= watch.until;
        if (!due) {
            ++i;
            continue;
        }
        const auto mode = hosts_[watch.host]->mode;
        if (mode == store_mode::up) {
            for (const auto& row : events ? events.value().events : std::vector<store_event>()) {
                hosts_[watch.host]->count_bytes(row.entry);
            }
            on_host(watch.host, watch.incarnation, latency(),
                    [done = watch.done, events = std::move(events)] { done(events); });
        } else {
            on_host(watch.host, watch.incarnation, duration(1'000), [done = watch.done] {
                done(error{error_kind::timeout, "simulated"});
            });
        }
        watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

// Hosts.

host_control* sim_world::host(std::size_t index) {
    return hosts_[index]->alive ? hosts_[index]->control.get() : nullptr;
}

void sim_world::start_host(std::size_t index) {
    auto& host = *hosts_[index];
    if (host.alive) {
        return;
    }
    // Events of an earlier incarnation still refer to these.
    host.retired.push_back({std::move(host.loop), std::move(host.store), std::move(host.workers),
                            std::move(host.link), std::move(host.counters), std::move(host.log)});
    ++host.incarnation;
    host.alive = true;
    host.leaving = false;
    host.frozen_until = {};
    host.options.incarnation =
        "run-" + std::to_string(host.incarnation) + "-" + std::to_string(index);
    host.loop = make_sim_loop(*this, index, host.incarnation);
    host.store = make_sim_store(*this, index, host.incarnation);
    host.workers = make_sim_worker_link(*this, index, host.incarnation);
    host.link = make_sim_peer_link(*this, index, host.incarnation);
    host.counters = std::make_unique<metrics>();
    decision_log::sink sink;
    // For debugging: SIM_LOG=1 prints the log of every host.
    if (std::getenv("SIM_LOG") != nullptr) {
        sink = [](const std::string& lines) { std::fputs(lines.c_str(), stdout); };
    }
    if (host.log_kept) {
        sink = [kept = host.log_lines](const std::string& lines) { *kept += lines; };
    }
    const decision_log_limits unlimited{.lines_per_second = 1'000'000,
                                        .burst = 1'000'000,
                                        .rare_lines_per_second = 1'000'000,
                                        .rare_burst = 1'000'000,
                                        .buffer_bytes = 1U << 30U};
    host.log = std::make_unique<decision_log>("host=" + host.options.name.value, unlimited, sink,
                                              [this] { return now_.time_since_epoch().count(); });
    host.control =
        std::make_unique<host_control>(host.options, *host.loop, *host.store, *host.workers,
                                       *host.link, *host.counters, *host.log);
    host.control->start();
}

void sim_world::kill_host(std::size_t index) {
    auto& host = *hosts_[index];
    if (!host.alive) {
        return;
    }
    host.alive = false;
    host.control.reset();
}

void sim_world::stop_host(std::size_t index) {
    auto& host = *hosts_[index];
    if (!host.alive || std::exchange(host.leaving, true)) {
        return;
    }
    const auto incarnation = host.incarnation;
    host.control->drain(now_ + last_answer_time, [this, index, incarnation] {
        on_host(index, incarnation, duration(200), [this, index] { finish_stop(index); });
    });
    on_host(index, incarnation, stop_time, [this, index] {
        if (hosts_[index]->control->open_requests() > 0) {
            record_violation(hosts_[index]->options.name.value + " ended with open requests");
        }
        kill_host(index);
    });
}

// Ends a process that has handed over its shards once it has answered its callers.
void sim_world::finish_stop(std::size_t index) {
    auto& host = *hosts_[index];
    if (host.control->open_requests() == 0) {
        kill_host(index);
        return;
    }
    on_host(index, host.incarnation, duration(50), [this, index] { finish_stop(index); });
}

void sim_world::freeze_host(std::size_t index, duration time) {
    hosts_[index]->frozen_until = now_ + time;
}

void sim_world::set_store_mode(std::size_t index, store_mode mode) {
    hosts_[index]->mode = mode;
}

void sim_world::hang_watches(std::size_t index, const std::string& prefix, bool hang) {
    if (hang) {
        hosts_[index]->hung_prefixes.insert(prefix);
    } else {
        hosts_[index]->hung_prefixes.erase(prefix);
    }
}

void sim_world::delay_data_reads(std::size_t index, duration delay) {
    hosts_[index]->data_read_delay = delay;
}

void sim_world::set_processor_share(std::size_t index, std::int64_t share) {
    hosts_[index]->options.weight = share;
}

void sim_world::set_longest_lease(duration lease) {
    for (auto& [id, worker] : workers_) {
        worker.options.longest_lease = lease;
        crash_worker(id);
        start_worker(id);
    }
    for (auto& host : hosts_) {
        host->options.shard.longest_lease = lease;
        kill_host(host->index);
        start_host(host->index);
    }
}

void sim_world::set_region(const std::string& data_centre, const std::string& region) {
    for (auto& host : hosts_) {
        host->options.regions[{data_centre}] = {region};
    }
}

void sim_world::keep_log(std::size_t index) {
    hosts_[index]->log_kept = true;
}

std::string sim_world::log_of(std::size_t index) {
    hosts_[index]->log->flush();
    return *hosts_[index]->log_lines;
}

std::uint64_t sim_world::order_bytes_read(std::size_t index) const {
    return hosts_[index]->order_bytes;
}

std::uint64_t sim_world::worker_bytes_read(std::size_t index) const {
    return hosts_[index]->worker_bytes;
}

void sim_world::reset_worker_bytes(std::size_t index) {
    hosts_[index]->worker_bytes = 0;
}

const data_centre_id& sim_world::data_centre_of(std::size_t index) const {
    return hosts_[index]->options.data_centre;
}

const std::string& sim_world::name_of(std::size_t index) const {
    return hosts_[index]->options.name.value;
}

double sim_world::counter(std::size_t index, const std::string& name, const std::string& reason) {
    return hosts_[index]->counters->value(name, reason);
}

void sim_world::set_store_mode_for_all(store_mode mode) {
    for (auto& host : hosts_) {
        host->mode = mode;
    }
}

void sim_world::set_partition(std::size_t a, std::size_t b, bool partitioned) {
    if (partitioned) {
        partitions_.insert(std::minmax(a, b));
    } else {
        partitions_.erase(std::minmax(a, b));
    }
}

void sim_world::cut_region(const std::string& from, const std::string& to, bool cut) {
    if (cut) {
        cut_regions_.emplace(from, to);
    } else {
        cut_regions_.erase({from, to});
    }
}

void sim_world::cut_data_centre(const std::string& data_centre, bool cut) {
    for (const auto& [name, region] : regions_) {
        if (name.value != data_centre) {
            cut_region(data_centre, region.value, cut);
            cut_region(region.value, data_centre, cut);
        }
    }
    for (const auto& host : hosts_) {
        if (host->options.data_centre.value == data_centre) {
            host->mode = cut ? store_mode::silent : store_mode::up;
        }
    }
    for (auto& [id, worker] : workers_) {
        if (worker.entry.data_centre.value == data_centre) {
            worker.cut_from_store = cut;
            worker.missed_heartbeats = 0;
        }
    }
}

const std::string& sim_world::region_of_host(std::size_t index) const {
    return regions_.at(hosts_[index]->options.data_centre).value;
}

bool sim_world::is_cut(const data_centre_id& from, const data_centre_id& to) const {
    return cut_regions_.contains({regions_.at(from).value, regions_.at(to).value});
}

std::vector<std::string> sim_world::shards() {
    std::vector<std::string> names;
    const auto entry = store_.get(std::string(shard_list_key));
    if (entry) {
        const auto listed = parse_shards(entry->value);
        for (const auto& shard : listed.value()) {
            names.push_back(shard.id.value);
        }
    }
    return names;
}

std::optional<std::size_t> sim_world::owner_of(const std::string& shard) {
    const auto entry = store_.get(claim_key({shard}));
    if (!entry) {
        return std::nullopt;
    }
    const auto owner = parse_claim(entry->value).value().owner.value;
    for (const auto& host : hosts_) {
        if (owner == host->options.name.value + "/" + host->options.incarnation && host->alive) {
            return host->index;
        }
    }
    return std::nullopt;
}

// Workers.

void sim_world::write_entry(const std::string& id) {
    constexpr std::size_t heartbeat_limit = 3;
    auto& worker = workers_.at(id);
    const auto key = "servers/" + id;
    if (!worker.model) {
        return;
    }
    if (worker.cut_from_store && ++worker.missed_heartbeats == heartbeat_limit) {
        store_.remove(key);
        answer_watches();
    } else if (!worker.disconnected && !worker.cut_from_store) {
        store_.put(key, encode_sim_worker(worker.entry, next_order_));
        answer_watches();
    }
    const auto incarnation = worker.incarnation;
    at(heartbeat_interval, [this, id, incarnation] {
        if (workers_.at(id).incarnation == incarnation) {
            write_entry(id);
        }
    });
}

void sim_world::crash_worker(const std::string& id) {
    auto& worker = workers_.at(id);
    if (!worker.model) {
        return;
    }
    worker.model->advance(now_);
    record_all_ends();
    check_starts(worker, *worker.model);
    const auto incarnation_prefix = id + "/" + std::to_string(worker.incarnation) + "#";
    for (auto& [key, history] : history_) {
        std::erase_if(history.running,
                      [&](const auto& run) { return run.first.starts_with(incarnation_prefix); });
    }
    worker.retired_models.push_back(std::move(worker.model));
    ++worker.incarnation;
    // The entry is removed after three missed heartbeats.
    const auto incarnation = worker.incarnation;
    at(heartbeat_interval * 3, [this, id, incarnation] {
        if (workers_.at(id).incarnation == incarnation && !workers_.at(id).model) {
            store_.remove("servers/" + id);
            answer_watches();
        }
    });
}

void sim_world::start_worker(const std::string& id) {
    auto& worker = workers_.at(id);
    if (worker.model) {
        return;
    }
    ++worker.incarnation;
    worker.checked_runs = 0;
    worker.counted_ends.clear();
    worker.entry.draining = false;
    const process_start_time started{unix_now().value};
    worker.entry.start_time = started;
    worker.model = std::make_unique<worker_model>(worker.options, started, now_);
    write_entry(id);
}

void sim_world::replace_worker(const std::string& id) {
    crash_worker(id);
    const auto& old = workers_.at(id);
    const auto next_id = id + "x";
    sim_worker next;
    next.entry = old.entry;
    next.entry.target.id.value = next_id;
    next.options = old.options;
    next.options.id.value = next_id;
    workers_.emplace(next_id, std::move(next));
    start_worker(next_id);
}

void sim_world::drain_worker(const std::string& id) {
    workers_.at(id).entry.draining = true;
    store_.put("servers/" + id, encode_sim_worker(workers_.at(id).entry, next_order_));
    answer_watches();
}

// Operators.

queue_spec sim_world::queue(const std::string& name) const {
    queue_spec spec;
    spec.id.value = name;
    spec.host = "desk.example";
    spec.prefix = "/" + name + "/";
    spec.service.value = name == "side" ? "side" : "desk";
    spec.priority = name == "previews" ? 0 : 2;
    spec.max_attempts = 3;
    spec.stretch = 2;
    spec.objective = duration(1'000);
    return spec;
}

void sim_world::configure(const std::vector<queue_spec>& queues) {
    json rows = json::array();
    for (const auto& queue : queues) {
        auto row = encode_queue(queue);
        row["host"] = queue.host;
        row["prefix"] = queue.prefix;
        rows.push_back(std::move(row));
    }
    store_.put("op/config", json{{"generation", ++generation_}, {"queues", rows}}.dump());
    answer_watches();
}

void sim_world::evacuate(const std::string& data_centre, bool out) {
    if (out) {
        store_.put("op/evacuate/" + data_centre, "{}");
        evacuated_at_[data_centre] = now_;
    } else {
        store_.remove("op/evacuate/" + data_centre);
        evacuated_at_.erase(data_centre);
    }
    answer_watches();
}

} // namespace fulmar
