// Records of shards in the store: keys, values and their parsing.
#pragma once

#include "fulmar/json.hpp"
#include "shard_tables.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

// Prefix of what every host watches: hosts, claims and the list of shards. Rarely changes.
inline constexpr std::string_view meta_prefix = "meta/";
inline constexpr std::string_view hosts_prefix = "meta/hosts/";
inline constexpr std::string_view claims_prefix = "meta/claims/";
inline constexpr std::string_view shard_list_key = "meta/shards";

// Names the shard that a job belongs to; its creation decides which of two hand-ins of one job id
// counts.
std::string job_index_key(const job_id& job);

// Keys of one shard's data, written by its owner only.
std::string claim_key(const shard_id& shard);
std::string data_prefix(const shard_id& shard);
std::string head_key(const shard_id& shard);
std::string worker_list_key(const shard_id& shard);
std::string job_key(const shard_id& shard, const job_id& job);
std::string progress_key(const shard_id& shard, const job_id& job);

// Who controls a shard. The epoch rises with every claim.
struct claim_record {
    host_id owner; // an incarnation of a host; empty: released
    epoch_number epoch;
};

// Last commit of a shard's owner. Every commit requires the previous head, so that commits of one
// owner are applied in order and at most once.
struct head_record {
    epoch_number epoch;
    std::uint64_t number = 0;
};

// A worker that may run tasks of the shard; a successor must reach it or wait for its lease.
struct known_worker {
    worker_target target;
};

// A shard's workers are those of its racks in its data centre.
struct shard_record {
    shard_id id;
    data_centre_id data_centre;
    std::vector<rack_id> racks;
};

std::string encode(const claim_record& record);
std::string encode(const head_record& record);
std::string encode(const std::vector<known_worker>& record);
std::string encode(const std::vector<shard_record>& record);
result<claim_record> parse_claim(std::string_view text);
result<head_record> parse_head(std::string_view text);
result<std::vector<known_worker>> parse_known_workers(std::string_view text);
result<std::vector<shard_record>> parse_shards(std::string_view text);

// The job as handed in. Parsing fills queue, spec and time of acceptance.
std::string encode_job(const job_row& job);
result<job_row> parse_job(const job_id& id, std::string_view text);

// What has happened to the job. Parsing adds it to a row made by parse_job.
std::string encode_progress(const job_row& job);
result<void> parse_progress(job_row& job, std::string_view text);

json encode_spec(const job_spec& spec);
job_spec decode_spec(const json& from); // throws json::exception
json encode_queue(const queue_spec& queue);
queue_spec decode_queue(const json& from); // throws json::exception

} // namespace fulmar
