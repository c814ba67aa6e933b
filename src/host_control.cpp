#include "host_control.hpp"

#include "bounded_json.hpp"

#include <algorithm>
#include <cassert>

namespace fulmar {

namespace {

// Jobs whose shard a host caches; about 100 bytes each.
constexpr std::size_t location_cache_limit = 20'000;

// Each watch reply confirms the orders, so the wait bounds the age of the confirmation.
constexpr duration orders_watch_wait{1'500};
constexpr duration config_watch_wait{500};

// Between two calls of one peer for newer orders.
constexpr duration orders_call_interval{500};

// Of a region's reader: an eighth of the narrowest link between regions.
constexpr std::int64_t config_bytes_per_second = 500'000;
constexpr duration meta_watch_wait{10'000};
// Twice the wait, or the wait and the interval below, is the age that a quiet view reaches; it must
// be below host_timing::workers_freshness.
constexpr duration workers_watch_wait{600};

// Batches changes, as each worker writes its entry every second or two and each write is an event.
// Must be well below the 2.5 s after which a draining worker must get no more starts.
constexpr duration workers_watch_interval{800};

// A host reports an owner as reachable if it received a datagram within this many gossip intervals.
// With more, a takeover waits for two failure detections in a row: that of the reporting hosts,
// then that of the host that waits for their reports to end.
constexpr int reachable_intervals = 2;

} // namespace

host_control::host_control(host_options options, event_loop& loop, async_store& store,
                           worker_link& workers, peer_link& peers, metrics& counters,
                           decision_log& log)
    : options_(std::move(options))
    , self_{options_.name.value + "/" + options_.incarnation}
    , loop_(loop)
    , store_(store, loop)
    , workers_(workers)
    , peers_link_(peers)
    , counters_(counters)
    , log_(log)
    , started_(loop.now())
    , meta_(
          store_, loop, log, {.prefix = std::string(meta_prefix), .wait = meta_watch_wait},
          [this](const auto& key, const auto* entry) { on_meta_change(key, entry); },
          [this] { maintain_claims(); })
    , config_view_(
          store_, loop, log,
          {.prefix = options_.layout.config_key,
           .wait = config_watch_wait,
           .bytes_per_second = config_bytes_per_second},
          [this](const auto& key, const auto* entry) {
              if (entry != nullptr && key == options_.layout.config_key) {
                  on_config_entry(*entry);
              }
          },
          [] {})
    , orders_(
          store_, loop, log,
          {.prefix = options_.layout.evacuations_prefix, .wait = orders_watch_wait},
          [this](const auto& key, const auto* entry) { on_evacuation_change(key, entry); }, [] {})
    , worker_view_(
          store_, loop, log,
          {.prefix = options_.layout.workers_prefix,
           .wait = workers_watch_wait,
           .min_watch_interval = workers_watch_interval},
          [this](const auto& key, const auto* entry) { on_workers_change(key, entry); },
          [this] {
              maintain_shard_list();
              next_claim_check_ = loop_.now();
          }) {
    config_view_.pause();
    worker_view_.pause();
}

host_control::~host_control() {
    *alive_ = false;
    meta_.stop();
    config_view_.stop();
    orders_.stop();
    worker_view_.stop();
}

void host_control::start() {
    log_.write_rare("event=host_started incarnation={} data_centre={}", options_.incarnation,
                    options_.data_centre.value);
    orders_.start();
    config_view_.start();
    meta_.start();
    worker_view_.start();
    register_host();
    tick();
}

bool host_control::ready() const {
    return config_.generation.value != 0 && !leaving_;
}

// Changes in the store.

void host_control::on_meta_change(const std::string& key, const store_entry* entry) {
    const auto reject = [&](const error& failure) {
        counters_.count("unreadable_records");
        log_.write(R"(event=record_unreadable key="{}" detail="{}")", make_printable(key),
                   make_printable(failure.detail));
    };
    if (key.starts_with(hosts_prefix)) {
        const host_id name{key.substr(hosts_prefix.size())};
        if (name == options_.name) {
            check_own_record(entry);
            return;
        }
        if (entry == nullptr) {
            // Datagrams determine liveness; the address stays in use.
            peers_[name].unregistered_since = loop_.now();
            return;
        }
        const auto record = parse_host_record(entry->value);
        if (!record) {
            reject(record.error());
            return;
        }
        auto& peer = peers_[name];
        if (peer.record.incarnation != record.value().incarnation) {
            peer.last_received.reset();
            peer.registered_at = loop_.now();
            log_.write("event=peer_registered peer={} incarnation={}", name.value,
                       record.value().incarnation);
        }
        peer.record = record.value();
        peer.registered_revision = entry->revision;
        peer.unregistered_since.reset();
        return;
    }
    if (key.starts_with(gone_prefix)) {
        on_gone_statement({key.substr(gone_prefix.size())}, entry);
        return;
    }
    if (key.starts_with(requests_prefix) && entry != nullptr) {
        on_request_entry({key.substr(requests_prefix.size())}, *entry);
        return;
    }
    if (key == shard_list_key) {
        shard_list_revision_ = entry == nullptr ? revision_number{} : entry->revision;
        if (entry == nullptr) {
            return;
        }
        auto shards = parse_shards(entry->value);
        if (!shards) {
            reject(shards.error());
            return;
        }
        shard_list_ = std::move(shards).value();
        for (const auto& shard : shard_list_) {
            shard_first_seen_.try_emplace(shard.id, loop_.now());
        }
        next_size_update_ = loop_.now();
        for (const auto& [id, shard] : owned_) {
            for (const auto& record : shard_list_) {
                if (record.id == id) {
                    shard->state.racks.insert(record.racks.begin(), record.racks.end());
                    attach_workers(*shard);
                }
            }
        }
        next_claim_check_ = loop_.now();
        return;
    }
    if (key.starts_with(claims_prefix) && entry != nullptr) {
        const shard_id id{key.substr(claims_prefix.size())};
        const auto record = parse_claim(entry->value);
        if (!record) {
            reject(record.error());
            return;
        }
        auto& row = claims_[id];
        if (entry->revision <= row.revision) {
            return;
        }
        row = {record.value(), entry->revision, loop_.now()};
        const auto own = find_owned(id);
        if (own && record.value().epoch > own->state.epoch) {
            drop_shard(id, "claim_taken");
        }
        for (const auto& [name, shard] : owned_) {
            on_owner_changed(shard->state, id);
        }
        next_claim_check_ = loop_.now();
    }
}

// Membership.

bool host_control::is_alive(const peer_row& peer) const {
    return peer.last_received &&
           loop_.now() - *peer.last_received <= options_.timing.region_owner_timeout &&
           !peer.status.leaving;
}

void host_control::on_datagram(const std::string& datagram) {
    auto parsed = parse_host_status(datagram);
    if (!parsed) {
        counters_.count("datagrams_unreadable");
        return;
    }
    auto& status = parsed.value();
    if (status.name == options_.name) {
        return;
    }
    auto& peer = peers_[status.name];
    if (!peer.last_received) {
        log_.write("event=peer_heard peer={}", status.name.value);
    }
    peer.last_received = loop_.now();
    peer.status = std::move(status);
    for (auto& shard : peer.status.shards) {
        record_backlog(shard);
        if (!shard.effects.empty()) {
            published_effects_[shard.id] = std::exchange(shard.effects, {});
        }
    }
    if (peer.status.orders_revision > orders_.revision() && !orders_.healthy()) {
        fetch_orders();
    }
    note_peer_config(peer);
    fetch_config();
}

host_status host_control::make_status() const {
    host_status status;
    status.name = options_.name;
    status.incarnation = options_.incarnation;
    status.data_centre = options_.data_centre;
    status.leaving = leaving_;
    status.store_reachable = orders_.healthy();
    status.store_unreachable_ms = store_.unreachable_for().count();
    for (const auto& [name, peer] : peers_) {
        const auto& timing = options_.timing;
        const auto interval = peer.record.data_centre == options_.data_centre
                                  ? timing.local_gossip_interval
                                  : timing.global_gossip_interval;
        if (is_alive(peer) && !peer.status.shards.empty() &&
            loop_.now() - *peer.last_received <= interval * reachable_intervals) {
            status.reachable_owners.push_back(name);
        }
    }
    status.generation = config_.generation;
    status.config_age = config_age();
    status.reads_config = reads_config();
    status.reads_workers = reads_workers();
    status.orders_revision = orders_.revision();
    for (const auto& [id, shard] : owned_) {
        if (shard->loaded) {
            status.shards.push_back(summarize(shard->state, loop_.now()));
        }
    }
    return status;
}

// Sends this host's status to the hosts in its data centre, while it reads the configuration also
// to those in its region, and while it owns shards or leaves to all hosts.
void host_control::gossip() {
    const auto now = loop_.now();
    const bool local_due = now >= next_local_gossip_;
    const int reach = !owned_.empty() || leaving_ ? 2 : config_view_.paused() ? 0 : 1;
    const bool global_due = now >= next_global_gossip_ && reach > 0;
    if (!local_due && !global_due) {
        return;
    }
    auto status = make_status();
    if (now >= next_effects_gossip_) {
        next_effects_gossip_ = now + options_.timing.effects_gossip_interval;
        for (auto& shard : status.shards) {
            shard.effects = effects_to_publish(owned_.at(shard.id)->state.effects);
            published_effects_[shard.id] = shard.effects;
        }
    }
    limit_details(status);
    const auto datagram = encode(status);
    drop_owner_details(status);
    const auto brief = status.shards.empty() ? datagram : encode(status);
    const auto owners = list_owners();
    for (const auto& [name, peer] : peers_) {
        const auto distance = distance_to(peer.record.data_centre);
        const bool due = distance == 0 ? local_due : global_due && distance <= reach;
        if (peer.record.address.port != 0 && due) {
            peers_link_.send(peer.record.address, owners.contains(name) ? datagram : brief);
        }
    }
    if (local_due) {
        next_local_gossip_ = now + options_.timing.local_gossip_interval;
    }
    if (global_due) {
        next_global_gossip_ = now + options_.timing.global_gossip_interval;
    }
}

// Returns what this host's peers report about the store.
host_control::peer_reports host_control::collect_reports() const {
    peer_reports reports;
    std::size_t reachable = 1;
    for (const auto& [name, peer] : peers_) {
        if (!peer.last_received ||
            loop_.now() - *peer.last_received > options_.timing.region_owner_timeout) {
            continue;
        }
        ++reachable;
        reports.store_reached = reports.store_reached || peer.status.store_unreachable_ms == 0;
        reports.orders_current =
            reports.orders_current ||
            (peer.status.store_reachable && peer.status.orders_revision <= orders_.revision());
    }
    reports.from_most_hosts = reachable * 2 > peers_.size() + 1;
    return reports;
}

// Updates whether this host's copies of the operator orders and of the worker entries are recent
// enough for starts. They are if the store has confirmed them. Orders also are if a peer that
// reaches the store has no newer ones. While the store answers neither this host nor those that it
// receives datagrams from, which are most, copies that were recent enough stay so: operators and
// workers write to the same store.
void host_control::update_freshness() {
    const auto now = loop_.now();
    const auto& timing = options_.timing;
    const auto confirmed_within = [&](const store_view& view, duration limit) {
        return view.confirmed() && now - *view.confirmed() <= limit;
    };
    const bool orders_confirmed = confirmed_within(orders_, timing.freshness);
    const bool workers_confirmed = confirmed_within(worker_view_, timing.workers_freshness);
    if (orders_confirmed && workers_confirmed) {
        orders_fresh_ = true;
        workers_fresh_ = true;
        return;
    }
    const auto reports = collect_reports();
    const bool outage =
        store_.unreachable_for() > duration(0) && !reports.store_reached && reports.from_most_hosts;
    orders_fresh_ = orders_confirmed || reports.orders_current || (outage && orders_fresh_);
    if (outage && workers_fresh_) {
        last_outage_ = now;
    }
    workers_fresh_ =
        workers_confirmed || (last_outage_ && now - *last_outage_ <= timing.workers_freshness);
}

// Requests newer operator orders from the nearest peer that has them.
void host_control::fetch_orders() {
    if (fetching_orders_) {
        return;
    }
    peer_row* best = nullptr;
    for (auto& [name, peer] : peers_) {
        const bool usable = is_alive(peer) && peer.status.store_reachable &&
                            peer.status.orders_revision > orders_.revision() &&
                            loop_.now() >= peer.next_orders_call;
        if (usable && (best == nullptr || distance_to(peer.record.data_centre) <
                                              distance_to(best->record.data_centre))) {
            best = &peer;
        }
    }
    if (best == nullptr) {
        return;
    }
    fetching_orders_ = true;
    const auto sent = loop_.now();
    // A peer that has restarted since its last datagram may answer without any.
    best->next_orders_call = sent + orders_call_interval;
    peers_link_.call(
        best->record.address, "orders", "", options_.timing.peer_timeout,
        [this, alive = alive_, sent, peer = best->record.name](result<std::string> reply) {
            if (!*alive) {
                return;
            }
            fetching_orders_ = false;
            const auto passed = (loop_.now() - sent).count();
            if (!reply) {
                log_.write_rare("event=orders_call_failed peer={} reason={} ms={}", peer.value,
                                to_string(reply.error().kind), passed);
                return;
            }
            try {
                const auto in = json::parse(reply.value());
                std::map<std::string, store_entry> entries;
                for (const auto& row : in.at("entries")) {
                    const auto key = row.at(0).get<std::string>();
                    entries[key] = {key, row.at(1).get<std::string>(),
                                    row.at(2).get<revision_number>()};
                }
                log_.write_rare("event=orders_from_peer revision={} peer={} ms={} bytes={}",
                                in.at("revision").get<std::uint64_t>(), peer.value, passed,
                                reply.value().size());
                orders_.merge(entries, in.at("revision").get<revision_number>(), sent);
            } catch (const std::exception& failure) {
                log_.write_rare("event=orders_unreadable detail=\"{}\"", failure.what());
            }
        });
}

// Measures how late the control thread runs, and logs delays that other hosts may take for a
// failure of this one.
void host_control::measure_delay() {
    constexpr duration report_interval{1'000};
    constexpr duration reported_delay{100};
    const auto now = loop_.now();
    if (next_tick_ != time_point{}) {
        worst_delay_ = std::max(worst_delay_, now - next_tick_);
    }
    next_tick_ = now + options_.timing.tick;
    if (now < next_delay_report_) {
        return;
    }
    if (worst_delay_ >= reported_delay) {
        std::size_t workers = 0;
        std::size_t jobs = 0;
        std::size_t waiting = 0;
        std::uint64_t rounds = 0;
        std::uint64_t checks = 0;
        for (const auto& [id, shard] : owned_) {
            workers += shard->state.tables.workers.size();
            jobs += shard->state.active.size();
            waiting += count_waiting_tasks(shard->state);
            rounds += shard->state.placement_rounds;
            checks += shard->state.placement_checks;
        }
        log_.write_rare("event=control_delayed delay_ms={} share={} shards={} workers={} jobs={} "
                        "waiting_tasks={} advances={} placements={} worker_checks={}",
                        worst_delay_.count(), options_.weight, owned_.size(), workers, jobs,
                        waiting, advances_, rounds, checks);
    }
    worst_delay_ = duration(0);
    advances_ = 0;
    for (const auto& [id, shard] : owned_) {
        shard->state.placement_rounds = 0;
        shard->state.placement_checks = 0;
    }
    next_delay_report_ = now + report_interval;
}

void host_control::tick() {
    // Scheduled first, so that an unexpected error below ends this tick only.
    loop_.call_after(options_.timing.tick, [this, alive = alive_] {
        if (*alive) {
            tick();
        }
    });
    measure_delay();
    confirm_config();
    choose_config_reader();
    choose_workers_reader();
    fetch_config();
    gossip();
    if (loop_.now() >= next_claim_check_) {
        maintain_claims();
    }
    update_start_permissions();
    if (loop_.now() >= next_room_update_) {
        update_rooms();
    }
    send_passed_ends();
    update_witnesses();
    call_witnesses();
    apply_gone_statements();
    for (const auto& [id, shard] : owned_) {
        if (shard->loaded) {
            schedule_shard(shard);
        }
    }
}

// Updates whether the tasks of each owned shard may start.
void host_control::update_start_permissions() {
    update_freshness();
    const bool fresh = orders_fresh_ && workers_fresh_;
    for (const auto& [id, shard] : owned_) {
        auto& state = shard->state;
        const bool open = !evacuated_.contains(state.data_centre);
        if (state.starts_allowed != fresh || state.data_centre_open != open) {
            const auto age =
                worker_view_.confirmed() ? (loop_.now() - *worker_view_.confirmed()).count() : -1;
            log_.write_rare("event=shard_starts shard={} orders_fresh={} data_centre_open={} "
                            "workers_fresh={} workers_age_ms={}",
                            id.value, orders_fresh_, open, workers_fresh_, age);
            state.starts_allowed = fresh;
            state.data_centre_open = open;
            state.placement_needed = true;
        }
    }
}

void host_control::cache_location(const job_id& id, const shard_id& shard) {
    if (!location_cache_.insert_or_assign(id, shard).second) {
        return;
    }
    if (location_cache_keys_.size() < location_cache_limit) {
        location_cache_keys_.push_back(id);
        return;
    }
    location_cache_.erase(std::exchange(location_cache_keys_[location_cache_next_], id));
    location_cache_next_ = (location_cache_next_ + 1) % location_cache_limit;
}

host_control::shard_pointer host_control::find_owned(const shard_id& id) const {
    const auto found = owned_.find(id);
    return found == owned_.end() ? nullptr : found->second;
}

} // namespace fulmar
