// Conversion of requests and responses between callers and endpoints.
#pragma once

#include "admission.hpp"
#include "ejection.hpp"
#include "fulmar/http_client.hpp"
#include "retry_policy.hpp"

namespace fulmar {

// Makes the call that forwards a request to an endpoint. `remaining` is the time left until the
// request's deadline; it becomes the call's timeout and the header Fulmar-Deadline-Ms. A
// non-idempotent request is sent on a new connection.
http_call make_forward_call(const http_request& request, const std::string& address,
                            duration remaining, bool idempotent);

// Makes the caller's response from an endpoint's response, without hop-by-hop headers and without
// the headers that only the gate may set.
http_response make_caller_response(http_response from);

// Returns whether the framing proves that the response is complete. A response that is delimited by
// the end of its connection may be truncated.
bool is_complete_response(const std::string& method, const http_response& response);

// Conclusions from a finished attempt about the request and its endpoint.
struct attempt_report {
    attempt_result result = attempt_result::answered;
    health_signal health = health_signal::neutral;
    std::optional<limit_signal> limit = {};
    std::string_view reason = {}; // failure reason for counters and Fulmar-Reason
    int unknown_status = 502;     // HTTP status if the outcome is unknown
};

// Classifies an attempt that ended after `elapsed`. A timeout counts as a failure of the endpoint
// only if the attempt lasted several times the typical response time; otherwise callers' short
// deadlines would eject endpoints and lower their limits.
attempt_report classify_attempt(const std::string& method, const http_call_result& outcome,
                                duration elapsed, duration typical_response_time);

// Returns the number of slots in use that the response reports, or nothing if the header
// Fulmar-Slots-Used is missing or malformed.
std::optional<std::int64_t> parse_slots_used(const http_response& response);

} // namespace fulmar
