// Choice of the host that should own a shard. A host that stops asks hosts that it doesn't hear
// whether they live, before it chooses.
#include "host_control.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace fulmar {

namespace {

// Part of its load with which the present owner of a shard is compared with others: a shard moves
// for a clear gain only.
constexpr double owner_advantage = 0.8;

// A stopping host waits this long for the answers of hosts that may take its shards: a connection
// and a call between regions. Hosts that are gone cost each handover at most this time.
constexpr duration ask_timeout{400};

// Until it asks again while it still has shards. With the timeout less than the 2 s for which a
// host counts as live after its last status.
constexpr duration ask_interval{1'000};

// A status of this age needs no other one yet; owners send theirs every 0.5 s.
constexpr duration recent_status{700};

// How many hosts are asked for each shard, and of these in one data centre, which may be down or
// cut off as a whole.
constexpr std::size_t hosts_asked_per_shard = 6;
constexpr std::size_t hosts_asked_per_data_centre = 2;

// In all, however many shards the host has.
constexpr std::size_t hosts_asked = 18;

std::uint64_t rendezvous_hash(const shard_id& shard, const host_id& host) {
    const auto text = shard.value + "|" + host.value;
    return XXH64(text.data(), text.size(), 0);
}

// Returns 0 within a data centre, 1 within a region, 2 otherwise.
int distance_between(const std::map<data_centre_id, region_id>& regions, const data_centre_id& a,
                     const data_centre_id& b) {
    const auto region_of = [&](const data_centre_id& data_centre) {
        const auto found = regions.find(data_centre);
        return found == regions.end() ? region_id{} : found->second;
    };
    return a == b ? 0 : region_of(a) == region_of(b) ? 1 : 2;
}

} // namespace

// Returns the host that should own a shard, excluding `except`; nothing if there is none. Live
// hosts that reach the store come first, then those whose processors suffice for the shard and
// those that they own already or are about to, then the nearest ones, then those with the fewest
// workers relative to their processor share; ties go to the highest rendezvous hash. The present
// owner's load counts a little less. `candidate` counts as live: hosts without shards send no
// datagrams to other data centres.
std::optional<host_control::owner_option>
host_control::find_best_owner(const shard_record& shard, const host_id& except,
                              const host_id& candidate) const {
    const auto size_of = [&](const shard_id& id) {
        const auto found = shard_sizes_.find(id);
        return found == shard_sizes_.end() ? std::int64_t{0} : found->second.workers;
    };
    std::map<host_id, std::int64_t> workers;
    for (const auto& [id, row] : claims_) {
        const auto next = next_owners_.find(id);
        const auto owner =
            next == next_owners_.end() ? host_name_of(row.record.owner) : next->second;
        workers[owner] += id == shard.id ? 0 : size_of(id);
    }
    const auto claim = claims_.find(shard.id);
    const auto current =
        claim == claims_.end() ? host_id{} : host_name_of(claim->second.record.owner);
    const auto make = [&](const host_id& name, const data_centre_id& data_centre,
                          std::int64_t weight, std::int64_t store_unreachable_ms) {
        const auto load =
            static_cast<double>((workers[name] + size_of(shard.id)) * processors_per_worker) /
            static_cast<double>(std::max<std::int64_t>(1, weight)) *
            (name == current ? owner_advantage : 1);
        const bool store_unreachable =
            store_unreachable_ms > options_.timing.store_outage_limit.count();
        return owner_option{store_unreachable,
                            load > usable_processor_share,
                            distance_between(options_.regions, data_centre, shard.data_centre),
                            load,
                            rendezvous_hash(shard.id, name),
                            name};
    };
    std::optional<owner_option> best;
    const auto add_option = [&](const owner_option& next) {
        if (next.name == except) {
            return;
        }
        // The higher hash is better, so the two change places.
        if (!best ||
            std::tie(next.store_unreachable, next.overloaded, next.distance, next.load, best->hash,
                     next.name) < std::tie(best->store_unreachable, best->overloaded,
                                           best->distance, best->load, next.hash, best->name)) {
            best = next;
        }
    };
    if (!leaving_) {
        add_option(make(options_.name, options_.data_centre, options_.weight,
                        store_.unreachable_for().count()));
    }
    for (const auto& [name, peer] : peers_) {
        const bool live = is_alive(peer) && peer.status.incarnation == peer.record.incarnation;
        if (live || (name == candidate && !is_leaving(peer))) {
            add_option(make(name, peer.record.data_centre, peer.record.weight,
                            peer.status.store_unreachable_ms));
        }
    }
    return best;
}

host_id host_control::choose_owner(const shard_record& shard, const host_id& except,
                                   const host_id& candidate) const {
    const auto best = find_best_owner(shard, except, candidate);
    return best ? best->name : host_id{};
}

// Returns whether a host that this one doesn't hear may suit a shard better than those that it
// does.
bool host_control::lacks_successor(const shard_record& shard) const {
    const auto best = find_best_owner(shard, options_.name);
    return !best || best->store_unreachable || best->overloaded || best->distance > 0;
}

// Returns whether the handover of a shard waits for hosts that were asked.
bool host_control::awaits_answers(const shard_record& shard) const {
    return unanswered_asks_ > 0 && loop_.now() < asks_end_ && lacks_successor(shard);
}

// Returns the hosts to be asked whether they can take a shard: the nearest ones without a recent
// status, in each data centre those that choose_owner prefers among equals.
std::vector<host_id> host_control::choose_hosts_to_ask(const shard_record& shard) const {
    std::vector<std::tuple<int, std::uint64_t, host_id>> candidates;
    for (const auto& [name, peer] : peers_) {
        const bool recent =
            peer.last_received && loop_.now() - *peer.last_received <= recent_status;
        if (recent || peer.record.address.port == 0 || peer.unregistered_since ||
            is_leaving(peer)) {
            continue;
        }
        const auto distance =
            distance_between(options_.regions, peer.record.data_centre, shard.data_centre);
        candidates.emplace_back(distance, ~rendezvous_hash(shard.id, name), name);
    }
    std::sort(candidates.begin(), candidates.end());
    std::map<data_centre_id, std::size_t> chosen;
    std::vector<host_id> hosts;
    for (const auto& [distance, hash, name] : candidates) {
        if (hosts.size() == hosts_asked_per_shard) {
            break;
        }
        if (chosen[peers_.at(name).record.data_centre]++ < hosts_asked_per_data_centre) {
            hosts.push_back(name);
        }
    }
    return hosts;
}

// Asks hosts that this one doesn't hear for their status, for the shards that no host that it hears
// should get. Hosts without shards send no datagrams to other regions.
void host_control::ask_unheard_hosts() {
    if (loop_.now() < next_asks_) {
        return;
    }
    std::set<host_id> hosts;
    for (const auto& shard : shard_list_) {
        const auto claim = claims_.find(shard.id);
        const bool own = claim != claims_.end() && claim->second.record.owner == self_;
        if (!own || next_owners_.contains(shard.id) || !lacks_successor(shard)) {
            continue;
        }
        for (const auto& name : choose_hosts_to_ask(shard)) {
            if (hosts.size() < hosts_asked) {
                hosts.insert(name);
            }
        }
    }
    if (hosts.empty()) {
        return;
    }
    next_asks_ = loop_.now() + ask_interval;
    asks_end_ = loop_.now() + ask_timeout;
    log_.write_rare("event=hosts_asked hosts={} owned={}", hosts.size(), owned_.size());
    for (const auto& name : hosts) {
        ask_for_status(name);
    }
}

// Calls a host for its status, which then counts like a datagram.
void host_control::ask_for_status(const host_id& name) {
    ++unanswered_asks_;
    peers_link_.call(peers_.at(name).record.address, "status", "", ask_timeout,
                     [this, alive = alive_](const result<std::string>& reply) {
                         if (!*alive) {
                             return;
                         }
                         --unanswered_asks_;
                         next_claim_check_ = loop_.now();
                         if (reply) {
                             on_datagram(reply.value());
                         }
                     });
}

std::string host_control::answer_status_call() const {
    auto status = make_status();
    limit_details(status);
    drop_owner_details(status);
    return encode(status);
}

} // namespace fulmar
