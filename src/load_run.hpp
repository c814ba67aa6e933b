// The load generator's schedule, records and checks. Does no I/O. Not thread-safe, except that
// different records may be written at the same time.
#pragma once

#include "fulmar/http_client.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

struct load_options {
    std::vector<std::string> gates; // host:port
    std::string path = "/load";
    double rate = 100; // arrivals per second
    std::uint64_t count = 1'000;
    std::int64_t non_idempotent_percent = 0;
    std::size_t body_bytes = 100;
    std::int64_t retries = 0;   // attempts after the first
    bool retry_unknown = false; // also retry non-idempotent requests whose outcome is unknown
    duration deadline{1'000};
    std::uint64_t seed = 1;
};

enum class load_outcome : std::uint8_t { pending, answered, not_run, unknown, transport, wrong };

// The state of one request.
struct load_record {
    load_outcome outcome = load_outcome::pending;
    bool non_idempotent = false;
    bool may_have_run = false; // in one of its attempts
    std::uint8_t attempts = 0;
    std::int64_t latency_us = 0; // from the scheduled send time to the last outcome
    std::string reason;          // empty when answered
};

// Returns whether the n-th request is not idempotent. The result depends only on the options and n.
bool is_non_idempotent(const load_options& options, std::uint64_t n);

// Returns the id of the n-th request, which is also its idempotency key.
std::string make_request_id(const load_options& options, std::uint64_t n);

// Returns the body of the n-th request: printable, and different for each request.
std::string make_request_body(const load_options& options, std::uint64_t n);

// Returns the scheduled send time of the n-th request, from the start of the run. It doesn't depend
// on answers.
std::chrono::nanoseconds arrival_time(const load_options& options, std::uint64_t n);

// Returns the call for one attempt of the n-th request. Successive attempts use different gates.
// The path ends with the request id, so that the request is also identified where a gate doesn't
// forward headers.
http_call make_load_call(const load_options& options, std::uint64_t n, std::uint64_t attempt);

// Records the outcome of one attempt. Checks that an answer belongs to this request.
void record_outcome(load_record& record, const load_options& options, std::uint64_t n,
                    const http_call_result& outcome);

// Returns whether a request should be sent again after its latest outcome.
bool should_retry(const load_record& record, const load_options& options);

// Executions by request id, as endpoints report them.
using execution_counts = std::map<std::string, std::uint64_t, std::less<>>;

// Parses the body of an endpoint's /executions and adds it to the counts.
result<void> add_executions(execution_counts& counts, std::string_view body);

// Returns a message for each violation, at most about 20: a wrong answer, a request without an
// outcome, a non-idempotent request that ran more than once, a request that ran although every
// attempt was reported as not run.
std::vector<std::string> find_violations(const load_options& options,
                                         const std::vector<load_record>& records,
                                         const execution_counts& counts);

// Formats percentiles, goodput and outcomes. `seconds` is the duration of the run.
std::string summarize(const load_options& options, const std::vector<load_record>& records,
                      double seconds);

// Returns the nearest-rank percentile: the smallest of the sorted values such that at least the
// fraction `rank` of them doesn't exceed it; 0 for an empty list.
std::int64_t percentile(const std::vector<std::int64_t>& sorted, double rank);

} // namespace fulmar
