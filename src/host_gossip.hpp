// The status that hosts send each other in datagrams, and a host's record in the store.
#pragma once

#include "fulmar/settings.hpp"
#include "shard_control.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

// Largest datagram between hosts, in bytes: below the 65,507 of UDP. The status of 60 shards fits,
// which is what the last live host of a deployment of 590 workers owns; the receiver truncates
// larger datagrams, which then fail to parse.
inline constexpr std::size_t datagram_limit_bytes = 60'000;

// A host's record in the store.
struct host_record {
    host_id name;
    std::string incarnation;
    data_centre_id data_centre;
    socket_address address;    // for datagrams and calls
    std::int64_t weight = 100; // processor share in thousandths of a core
};

// Load of one service's workers in a shard. Processors are in thousandths of a core.
struct service_load {
    service_id service;
    std::int64_t capacity = 0;
    std::int64_t committed = 0; // by tasks that hold their processors
    std::int64_t fillers = 0;   // requested by fillers
    std::int64_t waiting = 0;   // requested by tasks that wait for room
};

struct shard_status {
    shard_id id;
    epoch_number epoch;
    std::int64_t workers = 0; // that its owner knows; 0: the owner runs an earlier version
    std::vector<service_load> loads;
    std::vector<service_room> rooms;
    std::vector<published_effect> effects;     // only in some datagrams; empty in the others
    std::map<queue_id, std::uint64_t> pending; // accepted jobs that have not started
};

struct host_status {
    host_id name;
    std::string incarnation;
    data_centre_id data_centre;
    bool leaving = false;
    bool store_reachable = false;
    std::int64_t store_unreachable_ms = 0; // time since the store's last answer; 0 while it answers
    std::vector<host_id> reachable_owners; // shard owners that the sender receives datagrams from
    generation_number generation;          // of the configuration in force
    // Time since the store was known to have no newer configuration.
    std::optional<duration> config_age;
    bool reads_config = false;       // the sender reads the configuration from the store
    bool reads_workers = true;       // the sender reads the workers' entries from the store
    revision_number orders_revision; // of the newest operator order received
    std::vector<shard_status> shards;
};

std::string encode(const host_record& record);
result<host_record> parse_host_record(std::string_view text);

// Encodes a datagram as MessagePack. Parsing returns protocol_error if it is malformed.
std::string encode(const host_status& status);
result<host_status> parse_host_status(std::string_view datagram);

// Drops what only owners of shards need from the status of each shard: the rooms of its workers
// but for what rates a shard for a new job, and the effects. That is most of a datagram.
void drop_owner_details(host_status& status);

// Limits the effects and the classes of workers of each shard to what fits into a datagram. The
// most certain effects, which come first, are kept.
void limit_details(host_status& status);

// Returns a shard's load, free resources and pending jobs. Of the workers that are listed and not
// draining, all count for the classes of workers, those that are reachable for the load, and those
// that get starts now for the free resources; the effects are left empty.
shard_status summarize(const shard_state& shard, time_point now);

} // namespace fulmar
