// Distribution of the configuration. One host of each region reads it from the store; the others
// get the changes from it, or from any host that has them.
#include "host_control.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// A reader's configuration is at most two of its watches old, or a pause between two lists; an
// older one means that the reader has failed or lost the store.
constexpr duration config_age_limit{1'500};

// Readers send datagrams every global_gossip_interval.
constexpr duration reader_silence_limit{1'200};

// After its start a host waits this long to hear of a reader. Spans two datagrams of its data
// centre.
constexpr duration startup_wait{400};

// A region without a reader gets one after this for each host that comes before, so that its hosts
// don't all read at once.
constexpr duration reader_stagger{300};
constexpr duration longest_stagger{1'200};

// The store's calls may fail for a moment without a reason to change the reader.
constexpr duration store_failure_limit{500};

// Until a peer that didn't answer is called again.
constexpr duration fetch_retry{1'000};

// A whole configuration takes a quarter of a second on the slowest links of hosts.
constexpr duration fetch_timeout{1'000};

// Time for the first host of a data centre to get a configuration, and for the reader of a region.
constexpr duration neighbour_delay{200};
constexpr duration region_delay{600};

// A host that knows of a newer configuration of its region for this long reads it from the store
// itself: the others can be heard but not called.
constexpr duration self_read_delay{800};

// A host that has known of a newer configuration for longer than this refuses submissions.
constexpr duration outdated_limit{1'500};

} // namespace

// Returns whether this host comes before another one in the choice of the reader: hosts with more
// processors also have faster links.
bool host_control::precedes(const peer_row& peer) const {
    return std::tie(peer.record.weight, options_.name) <
           std::tie(options_.weight, peer.record.name);
}

bool host_control::is_in_region(const peer_row& peer) const {
    return distance_to(peer.record.data_centre) < 2;
}

// Returns the time since the store last confirmed the configuration in force; nullopt if there is
// none yet.
std::optional<duration> host_control::config_age() const {
    if (config_.generation.value == 0 || !config_confirmed_) {
        return std::nullopt;
    }
    return loop_.now() - *config_confirmed_;
}

// Returns whether a host of this region, other than this one, reads the configuration from the
// store successfully.
bool host_control::has_other_reader(bool preceding_only) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& row) {
        const auto& peer = row.second;
        const auto age = peer.status.config_age;
        return is_in_region(peer) && peer.last_received &&
               loop_.now() - *peer.last_received <= reader_silence_limit && !peer.status.leaving &&
               peer.status.reads_config && age && *age <= config_age_limit &&
               !(preceding_only && precedes(peer));
    });
}

// Returns whether this host reads the configuration and the store answers it.
bool host_control::reads_config() const {
    return !config_view_.paused() && store_.unreachable_for() <= store_failure_limit;
}

// Returns how many hosts of the region come before this one and haven't fallen silent.
std::size_t host_control::count_preceding_readers() const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& row) {
            const auto& peer = row.second;
            const bool silent =
                peer.last_received && loop_.now() - *peer.last_received > reader_silence_limit;
            return is_in_region(peer) && !precedes(peer) && !silent && !peer.status.leaving &&
                   peer.status.store_unreachable_ms == 0;
        }));
}

// Starts or ends reading the configuration from the store. Two readers are harmless; a region
// without one is noticed by the age of the configuration.
void host_control::choose_config_reader() {
    const auto now = loop_.now();
    const bool reading = !config_view_.paused();
    const bool unreachable_source = config_outdated_for() > self_read_delay;
    if (reading) {
        if (leaving_ || (has_other_reader(true) && !unreachable_source)) {
            config_view_.pause();
            log_.write_rare("event=config_reader state=stopped generation={}",
                            config_.generation.value);
        }
        return;
    }
    if (leaving_ || !meta_.loaded() || (has_other_reader(false) && !unreachable_source)) {
        reader_missing_since_.reset();
        return;
    }
    if (!reader_missing_since_) {
        const bool alone = std::none_of(peers_.begin(), peers_.end(),
                                        [&](const auto& row) { return is_in_region(row.second); });
        reader_missing_since_ = alone ? now : std::max(now, started_ + startup_wait);
    }
    const auto preceding = static_cast<std::int64_t>(count_preceding_readers());
    const auto stagger = std::min(reader_stagger * preceding, longest_stagger);
    if (now < *reader_missing_since_ + stagger) {
        return;
    }
    const auto age = config_age();
    log_.write_rare("event=config_reader state=started generation={} age_ms={} preceding={} "
                    "outdated_ms={}",
                    config_.generation.value, age ? age->count() : -1, preceding,
                    config_outdated_for().count());
    config_view_.resume();
}

// Updates the age of the configuration in force from the store's answers to this host.
void host_control::confirm_config() {
    if (config_view_.paused() || !config_view_.confirmed()) {
        return;
    }
    config_confirmed_ =
        std::max(config_confirmed_.value_or(*config_view_.confirmed()), *config_view_.confirmed());
}

// Takes the generation and its age from a peer's last datagram.
void host_control::note_peer_config(const peer_row& peer) {
    constexpr std::size_t remembered_generations = 64;
    const auto& status = peer.status;
    if (!peer.last_received) {
        return;
    }
    // Another region may have a version earlier, and this region's reader gets it from the store.
    const bool expected = is_in_region(peer) || !(reads_config() || has_other_reader(false));
    if (expected && status.generation > config_.generation &&
        newer_generations_.size() < remembered_generations) {
        newer_generations_.try_emplace(status.generation, loop_.now());
    }
    if (status.generation == config_.generation && status.config_age) {
        const auto confirmed = *peer.last_received - *status.config_age;
        config_confirmed_ = std::max(config_confirmed_.value_or(confirmed), confirmed);
    }
}

// Returns for how long this host has known of a newer configuration than the one in force.
duration host_control::config_outdated_for() const {
    return newer_generations_.empty() ? duration(0)
                                      : loop_.now() - newer_generations_.begin()->second;
}

bool host_control::knows_newer_config() const {
    return !newer_generations_.empty();
}

bool host_control::config_outdated() const {
    return config_outdated_for() > outdated_limit;
}

// Returns whether this host comes first among the live hosts of its data centre.
bool host_control::is_first_in_data_centre() const {
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& row) {
        const auto& peer = row.second;
        return distance_to(peer.record.data_centre) == 0 && is_alive(peer) && !precedes(peer);
    });
}

// Requests the changes to the newest configuration from the nearest peer that has it.
void host_control::fetch_config() {
    if (fetching_config_ || !knows_newer_config()) {
        return;
    }
    const auto now = loop_.now();
    const auto known_for = config_outdated_for();
    // The first host of a data centre gets a configuration for the others of its data centre.
    const auto far_delay = is_first_in_data_centre() ? duration(0) : neighbour_delay;
    const duration delays[] = {duration(0), far_delay, far_delay + region_delay};
    peer_row* best = nullptr;
    for (auto& [name, peer] : peers_) {
        const auto rank = [&](const peer_row& row) {
            return std::pair(distance_to(row.record.data_centre), -row.record.weight);
        };
        const bool usable = peer.last_received &&
                            now - *peer.last_received <= reader_silence_limit &&
                            peer.status.generation > config_.generation &&
                            peer.record.address.port != 0 && now >= peer.next_config_call &&
                            known_for >= delays[distance_to(peer.record.data_centre)];
        if (usable && (best == nullptr || rank(peer) < rank(*best))) {
            best = &peer;
        }
    }
    if (best == nullptr) {
        return;
    }
    fetching_config_ = true;
    const auto have = config_.generation;
    const json body{{"have", have}};
    peers_link_.call(best->record.address, "config", body.dump(), fetch_timeout,
                     [this, alive = alive_, name = best->record.name, have,
                      now](const result<std::string>& reply) {
                         if (!*alive) {
                             return;
                         }
                         fetching_config_ = false;
                         peers_[name].next_config_call = loop_.now() + fetch_retry;
                         if (!reply) {
                             log_.write_rare("event=config_fetch_failed peer={} reason={} ms={}",
                                             name.value, to_string(reply.error().kind),
                                             (loop_.now() - now).count());
                             return;
                         }
                         apply_changes(name, reply.value());
                         if (config_.generation > have) {
                             peers_[name].next_config_call = {};
                             fetch_config();
                         }
                     });
}

// Applies the changes that a peer sent, one after another.
void host_control::apply_changes(const host_id& source, const std::string& text) {
    const auto changes = parse_config_changes(text);
    if (!changes) {
        counters_.count("configurations", "unreadable");
        log_.write_rare("event=configuration_unreadable source={} detail=\"{}\"", source.value,
                        changes.error().detail);
        return;
    }
    for (const auto& change : changes.value()) {
        if (change.to <= config_.generation) {
            continue;
        }
        auto next = apply(change, config_);
        if (!next) {
            log_.write_rare("event=configuration_change_rejected source={} from={} to={} have={}",
                            source.value, change.from.value, change.to.value,
                            config_.generation.value);
            return;
        }
        set_config(std::move(next).value(), change, source.value, text.size());
    }
    note_peer_config(peers_[source]);
}

// Answers with the changes that lead from the caller's generation to the one in force here.
void host_control::answer_config_call(const std::string& body, const peer_reply& reply) {
    const auto in = json::parse(body, nullptr, false);
    if (!in.is_object() || !in.contains("have") || !in.at("have").is_number_unsigned()) {
        reply(error{error_kind::invalid_argument, "the generation is missing"});
        return;
    }
    const auto have = in.at("have").get<generation_number>();
    if (have >= config_.generation) {
        reply(encode(std::vector<config_change>()));
        return;
    }
    const auto changes = changes_since(config_history_, have, config_);
    const bool whole = changes.size() == 1 && changes.front().from.value == 0;
    if (!whole) {
        reply(encode(changes));
        return;
    }
    // After a large change, all hosts of the region request the whole at the same time.
    if (encoded_config_.generation != config_.generation) {
        encoded_config_ = {config_.generation, encode(changes)};
    }
    reply(encoded_config_.text);
}

// Reads a configuration that the operators wrote. One in force is never replaced by an older one.
void host_control::on_config_entry(const store_entry& entry) {
    auto config = options_.layout.parse_config(entry.value);
    if (!config) {
        counters_.count("configurations", "unreadable");
        log_.write_rare("event=configuration_unreadable source=store detail=\"{}\"",
                        config.error().detail);
        return;
    }
    if (config.value().generation <= config_.generation) {
        return;
    }
    const auto change = compare(config_, config.value());
    set_config(std::move(config).value(), change, "store", entry.value.size());
}

void host_control::set_config(site_config next, const config_change& change,
                              std::string_view source, std::size_t bytes) {
    const auto known = config_outdated_for();
    config_ = std::move(next);
    config_applied_ = loop_.now();
    newer_generations_.erase(newer_generations_.begin(),
                             newer_generations_.upper_bound(config_.generation));
    encoded_config_ = {};
    record_change(config_history_, change);
    config_confirmed_.reset();
    confirm_config();
    counters_.count("configurations", "applied");
    counters_.count("configuration_bytes", source == "store" ? "store" : "peer",
                    static_cast<double>(bytes));
    counters_.set("configuration_generation", static_cast<double>(config_.generation.value));
    log_.write_rare("event=configuration_applied generation={} from={} queues={} changed={} "
                    "removed={} source={} bytes={} known_ms={}",
                    config_.generation.value, change.from.value, config_.queues.size(),
                    change.queues.size(), change.removed_queues.size(), source, bytes,
                    known.count());
    announce_config(source == "store");
}

// Sends this host's status at once to those that wait for its configuration: a reader to its
// region, another host that got it first to its data centre.
void host_control::announce_config(bool reader) {
    const auto datagram = encode(make_status());
    for (const auto& [name, peer] : peers_) {
        const auto distance = distance_to(peer.record.data_centre);
        const bool waiting = peer.status.generation < config_.generation;
        if (peer.record.address.port != 0 && distance <= (reader ? 1 : 0) && waiting) {
            peers_link_.send(peer.record.address, datagram);
        }
    }
}

} // namespace fulmar
