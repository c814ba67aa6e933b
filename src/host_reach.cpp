// Whether this host can serve a shard: it must reach the shard's workers. And whether the owner of
// a shard, which alone can tell, is disconnected from the other hosts.
#include "host_control.hpp"

#include "fulmar/json.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Workers of a shard that are asked; one answer suffices, so that lost workers don't count.
constexpr std::size_t probed_workers = 4;

// For how long an answer counts, and until workers that didn't answer are asked again.
constexpr duration reach_memory{2'000};
constexpr duration probe_interval{500};

// After this a host claims a shard although none of its workers answers: somebody has to answer
// queries about its jobs.
constexpr duration unreached_claim_delay{5'000};

// A request in the store counts for this long.
constexpr duration request_lifetime{3'000};

// An owner that has received no datagram for this long is disconnected from all other hosts.
constexpr duration isolation_time{2'000};

} // namespace

// Returns 0 for the same data centre, 1 for the same region, 2 otherwise.
int host_control::distance_to(const data_centre_id& data_centre) const {
    if (data_centre == options_.data_centre) {
        return 0;
    }
    const auto here = options_.regions.find(options_.data_centre);
    const auto there = options_.regions.find(data_centre);
    const bool same = here != options_.regions.end() && there != options_.regions.end() &&
                      here->second == there->second;
    return same ? 1 : 2;
}

std::vector<worker_target> host_control::list_workers(const shard_record& shard) const {
    std::vector<worker_target> workers;
    for (const auto& [id, worker] : worker_entries_) {
        const bool member =
            worker.data_centre == shard.data_centre &&
            std::find(shard.racks.begin(), shard.racks.end(), worker.rack) != shard.racks.end();
        if (member && !worker.draining) {
            workers.push_back(worker.target);
        }
    }
    return workers;
}

// Asks some of a shard's workers for a reply, without taking a lease; others each time, as some may
// have failed.
void host_control::probe_workers(const shard_record& shard) {
    auto& reach = shard_reach_[shard.id];
    const auto now = loop_.now();
    if (now < reach.next_probe) {
        return;
    }
    reach.next_probe = now + probe_interval;
    const auto workers = list_workers(shard);
    for (std::size_t i = 0; i < std::min(probed_workers, workers.size()); ++i) {
        // The lowest token: a worker with an owner refuses it, which is an answer as well.
        workers_.hold(workers[reach.next_worker++ % workers.size()], hold_command{},
                      [this, alive = alive_, shard = shard.id](const result<hold_reply>& reply) {
                          if (*alive && reply) {
                              shard_reach_[shard].answered = loop_.now();
                              next_claim_check_ = loop_.now();
                          }
                      });
    }
}

// Returns whether a worker of the shard has answered this host lately, or the shard has none that
// could. Asks them otherwise.
bool host_control::reaches_workers(const shard_record& shard) {
    const auto now = loop_.now();
    const auto size = shard_sizes_.find(shard.id);
    if (size == shard_sizes_.end() || size->second.workers == 0) {
        return true;
    }
    auto& reach = shard_reach_[shard.id];
    if (reach.answered && now - *reach.answered <= reach_memory) {
        return true;
    }
    if (!reach.wanted_since || now - reach.last_wanted > reach_memory) {
        reach.wanted_since = now;
    }
    reach.last_wanted = now;
    probe_workers(shard);
    return now - *reach.wanted_since > unreached_claim_delay;
}

// Returns whether this host has received no datagram of any other host for a while.
bool host_control::is_isolated() const {
    const auto now = loop_.now();
    return now >= started_ + isolation_time && !peers_.empty() &&
           std::none_of(peers_.begin(), peers_.end(), [&](const auto& row) {
               const auto& received = row.second.last_received;
               return received && now - *received <= isolation_time;
           });
}

// Requests a shard, by the store, from an owner that works but that no host hears. Only the owner
// can tell whether it or the requesting hosts are disconnected.
void host_control::request_in_store(const shard_record& shard) {
    auto& next = next_request_[shard.id];
    const auto now = loop_.now();
    if (now < next) {
        return;
    }
    next = now + request_lifetime;
    log_.write_rare("event=shard_requested_in_store shard={} owner={}", shard.id.value,
                    claims_.at(shard.id).record.owner.value);
    store_transaction put;
    put.puts.push_back({std::string(requests_prefix) + shard.id.value,
                        json{{"host", options_.name}}.dump(), lease_.value_or(lease_id{})});
    store_.commit(std::move(put), [this, alive = alive_](const result<transaction_reply>& reply) {
        if (*alive && !reply) {
            log_.write_rare("event=shard_request_failed reason={}", to_string(reply.error().kind));
        }
    });
}

// Records a request for a shard of this host.
void host_control::on_request_entry(const shard_id& id, const store_entry& entry) {
    const auto shard = find_owned(id);
    const auto in = json::parse(entry.value, nullptr, false);
    const host_id host{in.is_object() ? in.value("host", "") : ""};
    if (!shard || host == options_.name || !peers_.contains(host)) {
        return;
    }
    shard->requested_by = host;
    shard->requested_at = loop_.now();
    next_claim_check_ = loop_.now();
}

// Hands over the shards that were requested in the store if this host is disconnected from all
// other hosts.
void host_control::answer_store_requests() {
    if (!is_isolated()) {
        return;
    }
    for (const auto& [id, shard] : owned_) {
        const bool requested = !shard->requested_by.value.empty() &&
                               loop_.now() - shard->requested_at <= request_lifetime;
        if (requested && shard->successor.value.empty() && shard->loaded) {
            log_.write_rare("event=isolated_owner shard={} successor={}", id.value,
                            shard->requested_by.value);
            shard->successor = std::exchange(shard->requested_by, {});
        }
    }
}

} // namespace fulmar
