// Request admission: deadlines, a bounded queue, load shedding and endpoint concurrency limits.
#pragma once

#include "fulmar/http.hpp"
#include "fulmar/types.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fulmar {

// Why the gate refused a request. Each reason has a counter label and an HTTP status.
enum class refusal_reason : std::uint8_t {
    no_endpoint,
    malformed_request,
    idempotency_key_missing,
    key_reused,
    intent_budget,
    store_unavailable,
    deadline_exceeded,
    deadline_unattainable,
    queue_full,
    class_shed,
    team_share,
    endpoint_unreachable,
    endpoint_refused,
    shutting_down,
};

// Returns the reason's name, which is the value of the header Fulmar-Reason.
std::string_view to_string(refusal_reason reason);

// Returns the HTTP status of a refused request's response.
int refusal_status(refusal_reason reason);

enum class request_class : std::uint8_t { interactive, background };

// Attributes of a request, parsed from its path and headers.
struct request_attributes {
    service_id service;
    request_class priority = request_class::interactive;
    std::string team;
    bool idempotent = false;
    std::string key; // Idempotency-Key; used for non-idempotent requests
    time_point deadline{};
};

// Parses the path and headers of a request that arrived at `arrived`. Without Fulmar-Deadline-Ms
// the default deadline applies. Returns invalid_argument, which names the header or the path, for a
// malformed value.
result<request_attributes> parse_request_attributes(const http_request& request,
                                                    duration default_deadline, time_point arrived);

struct queued_request {
    std::uint64_t number = 0;
    time_point deadline{};
    request_class priority = request_class::interactive;
    std::string team;
};

// Requests that wait for an endpoint of one service, ordered by deadline.
struct admission_queue {
    struct earlier_deadline {
        bool operator()(const queued_request& a, const queued_request& b) const {
            return std::tie(a.deadline, a.number) < std::tie(b.deadline, b.number);
        }
    };

    std::set<queued_request, earlier_deadline> waiting;
    std::map<std::string, std::size_t> by_team;
    std::size_t background = 0;
};

// Measured throughput of a service. `typical_response_time` is 0 until the first request was
// answered.
struct service_throughput {
    duration typical_response_time{0};
    std::int64_t capacity = 0;
    std::int64_t outstanding = 0;
};

struct admission_result {
    std::optional<refusal_reason> refused;
    std::optional<std::uint64_t> displaced; // the background request that was removed to make room
};

// Queues a request or refuses it. Reasons to refuse are a deadline that is past or can't be met, a
// full queue, and, while the queue is at least half full, background work or a team that already
// has its share of the places. A full queue drops its background request with the latest deadline,
// if it has one, to admit an interactive request.
admission_result admit(admission_queue& queue, const queued_request& request,
                       const service_throughput& load, std::size_t length_limit, time_point now);

// Queues a request again for a retry. The request was admitted before, so only its deadline is
// checked.
admission_result admit_retry(admission_queue& queue, const queued_request& request, time_point now);

// Returns the request with the earliest deadline, or nothing if the queue is empty.
std::optional<queued_request> first_waiting(const admission_queue& queue);

// Removes a request from the queue, if it is there.
void remove_waiting(admission_queue& queue, const queued_request& request);

// Removes and returns the requests whose deadline has passed.
std::vector<queued_request> remove_expired(admission_queue& queue, time_point now);

// Returns the typical response time updated with a measured one. The value falls faster than it
// rises, so that the gate stops refusing requests soon after a slow period ends.
duration update_typical_response_time(duration typical_response_time, duration measured);

enum class limit_signal : std::uint8_t { answered, overloaded };

// Returns an endpoint's adapted concurrency limit: it grows by one for each `limit` answers and
// shrinks by a quarter when the endpoint is overloaded. The result is between 1 and `slots`.
double adapt_limit(double limit, std::int64_t slots, limit_signal signal);

} // namespace fulmar
