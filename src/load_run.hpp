// The load generator's plan, records and checks. No I/O; one thread at a time, except that each
// record is written by one call at a time.
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
    std::int64_t retries = 0;
    bool retry_unknown = false; // repeat non-idempotent requests whose outcome is unknown, too
    duration deadline{1'000};
    std::uint64_t seed = 1;
};

enum class load_outcome : std::uint8_t { pending, answered, not_run, unknown, transport, wrong };

// One request and what is known about it.
struct load_record {
    load_outcome outcome = load_outcome::pending;
    bool non_idempotent = false;
    bool may_have_run = false; // after any of its attempts
    std::uint8_t attempts = 0;
    std::int64_t latency_us = 0; // from the scheduled send time to the last outcome
    std::string reason;          // empty when answered
};

// Returns whether the n-th request is not idempotent; the same for a seed every time.
bool is_non_idempotent(const load_options& options, std::uint64_t n);

// Returns the id of the n-th request, which is also its idempotency key.
std::string make_request_id(const load_options& options, std::uint64_t n);

// Returns the body of the n-th request: printable, and different for each request.
std::string make_request_body(const load_options& options, std::uint64_t n);

// Returns the time from the start of the run to the n-th arrival. It doesn't depend on answers.
std::chrono::nanoseconds arrival_time(const load_options& options, std::uint64_t n);

// Makes one attempt of the n-th request; attempts go to different gates. The path ends with the id,
// so that the request can be told by a gate or endpoint that doesn't pass headers on.
http_call make_load_call(const load_options& options, std::uint64_t n, std::uint64_t attempt);

// Notes the outcome of one attempt, and checks that an answer is the one to this request.
void note_outcome(load_record& record, const load_options& options, std::uint64_t n,
                  const http_call_result& outcome);

// Tells whether a request should be sent again after its latest outcome.
bool should_retry(const load_record& record, const load_options& options);

// Executions by request id, as endpoints report them.
using execution_counts = std::map<std::string, std::uint64_t, std::less<>>;

// Parses the answer of an endpoint's /executions and adds it up.
result<void> add_executions(execution_counts& counts, std::string_view body);

// Returns a sentence for each broken promise, at most 20: a wrong answer, a non-idempotent request
// that ran twice, a request that ran although every attempt was reported as not run.
std::vector<std::string> find_violations(const load_options& options,
                                         const std::vector<load_record>& records,
                                         const execution_counts& counts);

// Formats percentiles, goodput and outcomes; `seconds` is the length of the run.
std::string summarize(const load_options& options, const std::vector<load_record>& records,
                      double seconds);

// Returns the smallest of the sorted values that at least the share `rank` doesn't exceed.
std::int64_t percentile(const std::vector<std::int64_t>& sorted, double rank);

} // namespace fulmar
