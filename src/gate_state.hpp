// State that the parts of a gate share.
#pragma once

#include "admission.hpp"
#include "blocking_pool.hpp"
#include "fulmar/http_client.hpp"
#include "gate.hpp"
#include "idempotency.hpp"
#include "retry_policy.hpp"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace fulmar {

// A request from its arrival to its response. One thread at a time modifies it: the traffic thread,
// a store thread or, under the gate's mutex, the thread that dispatches it.
struct active_request {
    std::uint64_t number = 0;
    http_request request;
    http_responder respond;
    request_attributes attributes;
    int attempts = 0;
    bool any_sent = false;             // set under the gate's mutex before the first attempt
    bool earlier_may_have_run = false; // no proof that the endpoint didn't run some attempt
    std::vector<endpoint_id> tried;
    std::optional<idempotency_record> intent;
    revision_number intent_revision; // 0 until the intent is written
    routing_choice target;
    time_point sent{};
};

using request_handle = std::shared_ptr<active_request>;

struct service_state {
    admission_queue queue;
    std::map<std::uint64_t, request_handle> waiting;
    retry_budget budget;
    duration typical_response_time{0};
    std::int64_t outstanding = 0;
};

enum class gate_stage : std::uint8_t { serving, grace, refusing, terminated };

struct gate_state {
    explicit gate_state(gate_dependencies initial)
        : dependencies(std::move(initial))
        , counters(*dependencies.counters) {}

    gate_settings options;
    gate_dependencies dependencies;
    std::string instance; // identifies this incarnation in idempotency records
    metrics& counters;
    std::atomic<gate_stage> stage{gate_stage::serving};
    std::atomic<bool> endpoints_loaded{false};
    std::atomic<std::int64_t> in_progress{0};
    std::atomic<std::uint64_t> next_request_number{1};
    std::atomic<int> responding{0}; // threads that are passing a response to the server

    std::mutex mutex; // guards the control state below
    endpoint_table endpoints;
    bool subset_stale = false;            // endpoints or gates changed since the last update
    std::map<std::string, host_id> gates; // live gates of this data centre by member key
    std::map<service_id, service_state> services;
    routing_state routing;
    token_bucket intent_tokens;
    std::map<std::uint64_t, request_handle> active_requests; // all requests without a response

    std::unique_ptr<blocking_pool> store_pool;
    std::unique_ptr<http_client> http;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> operator_server;
    std::vector<std::jthread> threads;
};

// Admits or refuses a caller's request; runs on a traffic thread.
void accept_request(gate_state& self, http_request request, http_responder respond);

// Ends queued requests whose deadline has passed and dispatches those for which endpoints have
// room.
void run_queues(gate_state& self);

// Ends all requests when the shutdown limit is reached. Nothing is sent from then on: requests that
// were never sent are refused, and the outcome of the others is reported as unknown.
void end_all_requests(gate_state& self);

// Sends a dispatched request to its chosen endpoint. Ends the request instead if its deadline has
// passed. Must be called without the mutex.
void send_attempt(gate_state& self, const request_handle& request);

// Sends the response and ends the request. If the request has an intent, an answer is recorded in
// the store first, a request that was not run has its intent removed first, and an unknown outcome
// leaves the intent in place.
enum class request_outcome : std::uint8_t { answered, not_run, unknown };
void finish_request(gate_state& self, const request_handle& request, request_outcome outcome,
                    http_response response);

// Refuses a request that was provably not run.
void refuse(gate_state& self, const request_handle& request, refusal_reason reason);

// Ends a request with the outcome unknown: an endpoint may or may not have run it.
void report_unknown(gate_state& self, const request_handle& request, std::string_view reason,
                    int status);

// Queues a new or retried request for its service, then dispatches the requests that can be sent.
void enqueue(gate_state& self, const request_handle& request);

// Assigns queued requests of a service to endpoints while these have room. The calling function
// holds the mutex and passes the returned requests to send_attempt after it releases the mutex.
std::vector<request_handle> dispatch(gate_state& self, const service_id& service, time_point now);

// Recomputes this gate's subset of the endpoints if the endpoints or the live gates have changed.
void update_subset(gate_state& self);

// Starts the threads that follow endpoints, data centre states and gates in the store until they
// are stopped.
void start_followers(gate_state& self);

} // namespace fulmar
