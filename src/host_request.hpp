// One request of a caller, from its arrival to its answer.
#pragma once

#include "host_control.hpp"

namespace fulmar {

// Reasons of answers between hosts that the receiver acts on.
inline constexpr std::string_view not_owner = "not_owner";
inline constexpr std::string_view shard_full = "full";

// Retry-After for requests rejected because the store or the owner is unreachable; takeovers and
// short outages are over by then.
inline constexpr duration unavailable_retry_after{1'000};

enum class request_kind : std::uint8_t { submit, query, cancel };

std::string_view to_string(request_kind kind);

struct host_control::request {
    request_kind kind = request_kind::submit;
    job_id id;
    queue_spec queue;
    job_spec spec;
    time_point began;
    time_point deadline;          // for attempts; a stop of this host brings it forward
    generation_number generation; // of the configuration that routed the request
    bool answered = false;
    bool waits_here = false; // for a shard of this host, which answers also after the deadline
    std::string last_reason = "no_shard";

    // Of a submission. Its attempts may overlap, as one that is late isn't given up.
    std::size_t attempts = 0;      // sent so far
    std::size_t open_attempts = 0; // not answered yet
    bool retry_pending = false;
    bool unconfirmed = false;               // an attempt that ended may have stored the job
    std::optional<shard_id> unconfirmed_at; // the shard that may have stored it
    bool index_check_planned = false;
    bool ignore_full = false;                 // the shard has to take the job, as all are full
    std::set<shard_id> full;                  // shards that have answered that they are full
    std::map<shard_id, time_point> not_owned; // when a shard's owner was last found to change

    bool from_index = false; // look the shard up in the store, not in the cache
    submit_callback on_submit;
    phase_callback on_phase;
};

} // namespace fulmar
