// Records of shards in the store: keys, values and their parsing.
#pragma once

#include "fulmar/json.hpp"
#include "shard_tables.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

// Keys that every host watches: hosts, claims and the list of shards. They rarely change.
inline constexpr std::string_view meta_prefix = "meta/";
inline constexpr std::string_view hosts_prefix = "meta/hosts/";
inline constexpr std::string_view claims_prefix = "meta/claims/";
inline constexpr std::string_view shard_list_key = "meta/shards";
// Requests for a shard that the owner gets by the store, as datagrams and calls don't reach it.
inline constexpr std::string_view requests_prefix = "meta/requests/";
// Followed by a data centre: an operator's statement that it is gone with all its hosts and
// workers.
inline constexpr std::string_view gone_prefix = "meta/gone/";

// Key of the entry that names the shard of a job. If a job id is submitted twice, the first
// creation of this entry decides which submission counts.
std::string job_index_key(const job_id& job);

// Keys of one shard's data. Only the shard's owner writes them.
std::string claim_key(const shard_id& shard);
std::string data_prefix(const shard_id& shard);
std::string head_key(const shard_id& shard);
std::string worker_list_key(const shard_id& shard);
std::string ownership_key(const shard_id& shard);
std::string incarnations_key(const shard_id& shard);
std::string open_starts_key(const shard_id& shard);
std::string job_key(const shard_id& shard, const job_id& job);
std::string progress_key(const shard_id& shard, const job_id& job);

// Names the owner of a shard. The epoch increases with every claim.
struct claim_record {
    host_id owner; // an incarnation of a host; empty if the shard was released
    epoch_number epoch;
};

// Returns the host's name, given an incarnation of it.
host_id host_name_of(const host_id& incarnation);

// Last commit of a shard's owner. Every commit requires that the head is still that of the previous
// commit, so the commits of one owner are applied in order and at most once.
struct head_record {
    epoch_number epoch;
    std::uint64_t number = 0;
};

// For how long owners go on without the store unless the settings say otherwise. The same for
// owners of earlier versions.
inline constexpr duration default_unconfirmed_limit{600'000};

// The same unless hosts of each other data centre confirm them. Longer than most cuts, and
// short enough for the tasks of a data centre that has lost its hosts as well to run elsewhere in
// time.
inline constexpr duration default_isolated_limit{7'000};

// A promise that an owner stores with the worker list: it grants the worker no lease before it has
// stored the list without the promise.
struct lease_promise {
    epoch_number by{}; // the owner that promises
    // The last owner that may have granted the worker a lease; no later one up to `by` has.
    epoch_number last_user{};
    // By when all leases that owners up to `by` granted have ended, counted from when the list was
    // written; nothing if that depends on the former owners.
    std::optional<duration> leases_end_in{};

    bool operator==(const lease_promise&) const = default;
};

// A worker that may run tasks of the shard. A successor must reach it or wait for its leases to
// end.
struct known_worker {
    worker_target target;
    epoch_number since{}; // of the owner that listed it first; 0: listed by an earlier version
    std::optional<lease_promise> promise{};
};

// Start times of workers' incarnations that have no lease longer than the usual one, nor get one:
// no command that was meant for a former incarnation can arrive any more.
using settled_incarnations = std::map<worker_id, process_start_time>;

// A run that may begin on its worker, or have begun there, without its owner's knowledge: its start
// got no reply in the usual time, or another incarnation than the known one executed it.
struct open_start {
    run_key run;
    worker_id worker;
    // Counted from when the record was written: until when a start of the run may be executed, and
    // until when the worker may be given the longest lease by a command without a reply.
    duration late_in{0};
    duration leases_taken_in{0};

    bool operator==(const open_start&) const = default;
};

// The open starts of an owner, and of former ones that it knows.
struct open_starts_record {
    epoch_number by; // the owner
    std::vector<open_start> rows{};

    bool operator==(const open_starts_record&) const = default;
};

// Hosts that confirm an owner while the store doesn't, by name. Its own host is one of each.
struct witness_sets {
    std::set<host_id> spread; // over the data centres
    std::set<host_id> local;  // of the owner's data centre
    // The spread ones of each other data centre. In an outage of the store, half of each confirm.
    std::map<data_centre_id, std::set<host_id>> elsewhere{};

    bool operator==(const witness_sets&) const = default;
};

// What an owner's authority rests on while the store doesn't confirm it. Most of its workers have
// to accept its epoch in any case but the last.
struct owner_term {
    enum class support : std::uint8_t {
        spread_witnesses, // most of these as well; the owner runs an earlier version
        workers,          // nothing else; the owner runs a version before that
        nothing,          // the owner stored no record yet
        either_witnesses, // most of the spread witnesses or most of the local ones as well
    };

    epoch_number epoch;
    host_id owner{}; // an incarnation of a host; empty if unknown
    witness_sets witnesses{};
    support rests_on = support::either_witnesses;
    // For how long the owner goes on after the store has confirmed it last.
    duration limit = default_unconfirmed_limit;
    // For how long it does so after half of the witnesses of each other data centre have confirmed
    // it last. Owners of earlier versions know one limit only.
    duration isolated_limit = default_unconfirmed_limit;
    // The limit counts from the owner's last transaction. Owners of earlier versions count it from
    // the last call that confirmed their claims, which leaves no trace in the store.
    bool limit_from_transaction = false;
    // Of an earlier owner: by when the last lease that it may have granted has ended, counted from
    // when the record was written. Rests on nothing that could give it its authority back.
    std::optional<duration> leases_end_in{};

    bool operator==(const owner_term&) const = default;
};

// The term of a shard's owner, and those of former owners that it hasn't ruled out yet.
struct ownership_record {
    owner_term current;
    std::vector<owner_term> earlier;

    bool operator==(const ownership_record&) const = default;
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
std::string encode(const ownership_record& record);
std::string encode(const std::vector<shard_record>& record);
std::string encode(const settled_incarnations& record);
std::string encode(const open_starts_record& record);
result<claim_record> parse_claim(std::string_view text);
result<head_record> parse_head(std::string_view text);
result<std::vector<known_worker>> parse_known_workers(std::string_view text);
result<ownership_record> parse_ownership(std::string_view text);
result<std::vector<shard_record>> parse_shards(std::string_view text);
result<settled_incarnations> parse_incarnations(std::string_view text);
result<open_starts_record> parse_open_starts(std::string_view text);

// The job as submitted. Parsing sets its queue, spec and time of acceptance, and the lender of a
// borrowed job.
std::string encode_job(const job_row& job);
result<job_row> parse_job(const job_id& id, std::string_view text);

// The job's phase and progress. Parsing adds them to a row made by parse_job.
std::string encode_progress(const job_row& job);
result<void> parse_progress(job_row& job, std::string_view text);

json encode_spec(const job_spec& spec);
job_spec decode_spec(const json& from); // throws json::exception
json encode_queue(const queue_spec& queue);
queue_spec decode_queue(const json& from); // throws json::exception

} // namespace fulmar
