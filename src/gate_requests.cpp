#include "forwarding.hpp"
#include "gate_state.hpp"
#include "steady_clock.hpp"

#include <spdlog/spdlog.h>

namespace fulmar {

namespace {

// Estimated size of a message's start line and headers, for the traffic between regions.
constexpr std::int64_t header_bytes_estimate = 512;

queued_request make_queued_request(const active_request& request) {
    return {request.number, request.attributes.deadline, request.attributes.priority,
            request.attributes.team};
}

http_response refusal_response(refusal_reason reason) {
    return {refusal_status(reason),
            {{"Fulmar-Outcome", "not_run"}, {"Fulmar-Reason", std::string(to_string(reason))}},
            ""};
}

// Removes a request from the active requests and sends its response.
void send_response(gate_state& self, const request_handle& request, http_response response) {
    {
        const std::lock_guard lock(self.mutex);
        self.active_requests.erase(request->number);
    }
    // The server must not be destroyed while a responder runs. The gate's destructor therefore sets
    // the stage and then waits until this count is 0.
    ++self.responding;
    if (self.stage != gate_stage::terminated) {
        request->respond(std::move(response));
    }
    --self.responding;
    --self.in_progress;
}

// Records the answer to a request with an intent, or removes the intent if the request was not run.
// Runs on a store thread.
void complete_intent(gate_state& self, const request_handle& request, request_outcome outcome,
                     const http_response& response) {
    auto& store = *self.dependencies.store;
    const auto settled =
        outcome == request_outcome::answered
            ? record_response(store, *request->intent, request->intent_revision, response)
            : remove_intent(store, *request->intent, request->intent_revision);
    if (!settled) {
        self.counters.count("fulmar_gate_unrecorded_total", to_string(settled.error().kind));
    }
}

// Continues or ends a request according to the result of its intent write; runs on a store thread.
void handle_intent_reply(gate_state& self, const request_handle& request,
                         const intent_reply& reply) {
    switch (reply.result) {
    case intent_result::proceed:
        request->intent_revision = reply.revision;
        enqueue(self, request);
        return;
    case intent_result::recorded:
        self.counters.count("fulmar_gate_replays_total");
        send_response(self, request, make_replay_response(*reply.record));
        return;
    case intent_result::unknown:
        report_unknown(self, request, "key_outcome_unknown", 409);
        return;
    case intent_result::key_reused:
        refuse(self, request, refusal_reason::key_reused);
        return;
    case intent_result::store_unavailable:
        refuse(self, request, refusal_reason::store_unavailable);
        return;
    }
}

// Submits the intent write of a non-idempotent request to a store thread. Refuses the request if
// too many store jobs are pending.
void submit_intent_write(gate_state& self, const request_handle& request) {
    const bool accepted = self.store_pool->submit([&self, request] {
        if (self.stage == gate_stage::terminated) {
            return;
        }
        if (steady_now() >= request->attributes.deadline) {
            refuse(self, request, refusal_reason::deadline_exceeded);
            return;
        }
        request->intent = idempotency_record{request->attributes.key,
                                             self.instance + "/" + std::to_string(request->number),
                                             request_fingerprint(request->request)};
        const auto reply = write_intent(*self.dependencies.store, *request->intent);
        if (self.stage != gate_stage::terminated) {
            handle_intent_reply(self, request, reply);
        }
    });
    if (!accepted) {
        refuse(self, request, refusal_reason::store_unavailable);
    }
}

// Returns the reason to refuse a request on arrival, if there is one. Credits the service's retry
// budget and, for a non-idempotent request, consumes a token of the intent budget.
std::optional<refusal_reason> find_arrival_refusal(gate_state& self, const active_request& request,
                                                   const runtime_config& config, time_point now) {
    if (self.stage == gate_stage::refusing || self.stage == gate_stage::terminated) {
        return refusal_reason::shutting_down;
    }
    if (request.attributes.deadline <= now) {
        return refusal_reason::deadline_exceeded;
    }
    const std::lock_guard lock(self.mutex);
    if (!has_endpoint(self.endpoints, request.attributes.service)) {
        return refusal_reason::no_endpoint;
    }
    deposit_request(self.services[request.attributes.service].budget, config.retry_budget_percent);
    if (request.attributes.idempotent) {
        return std::nullopt;
    }
    if (request.attributes.key.empty()) {
        return refusal_reason::idempotency_key_missing;
    }
    if (!try_consume_tokens(self.intent_tokens, 1, static_cast<double>(config.intents_per_second),
                            now)) {
        return refusal_reason::intent_budget;
    }
    return std::nullopt;
}

// Counts a request as outstanding at the chosen endpoint. The calling function holds the mutex.
void begin_attempt(gate_state& self, service_state& service, const request_handle& request,
                   routing_choice choice, time_point now) {
    auto* endpoint =
        find_endpoint(self.endpoints, request->attributes.service, choice.id, choice.incarnation);
    ++endpoint->outstanding;
    endpoint->health.probing = endpoint->health.probing || choice.probe;
    ++service.outstanding;
    ++request->attempts;
    request->any_sent = true;
    request->tried.push_back(choice.id);
    if (choice.other_region) {
        self.counters.count("fulmar_gate_spilled_total");
        const auto bytes =
            header_bytes_estimate + static_cast<std::int64_t>(request->request.body.size());
        self.counters.count("fulmar_gate_spilled_bytes_total", {}, static_cast<double>(bytes));
    }
    request->target = std::move(choice);
    request->sent = now;
}

// Updates an endpoint's limit, reported slots and health from a finished attempt. Does nothing if
// the endpoint has been removed or replaced. The calling function holds the mutex.
void update_endpoint(gate_state& self, const active_request& request, const attempt_report& report,
                     const http_call_result& outcome, std::int64_t eject_max_percent,
                     time_point now) {
    const auto& target = request.target;
    auto* endpoint =
        find_endpoint(self.endpoints, request.attributes.service, target.id, target.incarnation);
    if (endpoint == nullptr) {
        return;
    }
    --endpoint->outstanding;
    if (report.limit) {
        endpoint->limit = adapt_limit(endpoint->limit, endpoint->record.slots, *report.limit);
    }
    if (outcome.response) {
        const auto& response = outcome.response.value();
        if (const auto used = parse_slots_used(response)) {
            endpoint->reported_slots_used = *used;
            endpoint->reported_at = now;
        }
        if (!endpoint->leaving &&
            find_header(response.headers, "Fulmar-Leaving").value_or("") == "1") {
            endpoint->leaving = true;
            spdlog::info("endpoint {}: announced that it is leaving", target.id.value);
        }
    }
    const bool was_ejected = endpoint->health.ejected;
    record_health(endpoint->health, report.health, target.probe, now);
    if (was_ejected && !endpoint->health.ejected) {
        self.counters.count("fulmar_gate_reinstatements_total");
        spdlog::info("endpoint {}: reinstated after a successful probe", target.id.value);
    }
    auto& endpoints = self.endpoints.services[request.attributes.service];
    if (eject_if_unhealthy(endpoints, target.id, eject_max_percent, now)) {
        self.counters.count("fulmar_gate_ejections_total");
        spdlog::warn("endpoint {}: ejected, last failure: {}", target.id.value,
                     report.reason.empty() ? "error_status" : report.reason);
    }
}

// Updates the service and its endpoint from a finished attempt and decides whether to retry. The
// calling function holds the mutex.
retry_decision apply_attempt_result(gate_state& self, const request_handle& request,
                                    const attempt_report& report, const http_call_result& outcome,
                                    time_point now) {
    const auto config = self.dependencies.current_config();
    auto& service = self.services[request->attributes.service];
    --service.outstanding;
    update_endpoint(self, *request, report, outcome, config.eject_max_percent, now);
    if (report.result == attempt_result::answered) {
        service.typical_response_time =
            update_typical_response_time(service.typical_response_time, now - request->sent);
    }
    if (request->target.other_region && outcome.response) {
        const auto bytes =
            header_bytes_estimate + static_cast<std::int64_t>(outcome.response.value().body.size());
        charge_tokens(self.routing.spill, static_cast<double>(bytes));
        self.counters.count("fulmar_gate_spilled_bytes_total", {}, static_cast<double>(bytes));
    }
    bool budget_empty = false;
    const auto decision =
        decide_retry(service.budget,
                     {report.result, request->attributes.idempotent, request->attempts,
                      request->earlier_may_have_run, request->attributes.deadline},
                     now, budget_empty);
    request->earlier_may_have_run =
        request->earlier_may_have_run || report.result == attempt_result::broken;
    if (budget_empty) {
        self.counters.count("fulmar_gate_retry_budget_empty_total");
    }
    return decision;
}

refusal_reason not_run_reason(attempt_result result) {
    return result == attempt_result::endpoint_refused ? refusal_reason::endpoint_refused
                                                      : refusal_reason::endpoint_unreachable;
}

// Retries or ends a request after an attempt.
void finish_attempt(gate_state& self, const request_handle& request, http_call_result outcome) {
    if (self.stage == gate_stage::terminated) {
        return; // end_all_requests has responded, or the connections are closed
    }
    const auto now = steady_now();
    attempt_report report;
    retry_decision decision{};
    {
        const std::lock_guard lock(self.mutex);
        const auto typical_response_time =
            self.services[request->attributes.service].typical_response_time;
        report = classify_attempt(request->request.method, outcome, now - request->sent,
                                  typical_response_time);
        decision = apply_attempt_result(self, request, report, outcome, now);
    }
    switch (decision) {
    case retry_decision::retry:
        self.counters.count("fulmar_gate_retries_total", report.reason);
        enqueue(self, request);
        return; // enqueue also dispatches
    case retry_decision::answered:
        self.counters.count("fulmar_gate_answers_total");
        finish_request(self, request, request_outcome::answered,
                       make_caller_response(std::move(outcome.response).value()));
        break;
    case retry_decision::not_run:
        refuse(self, request, not_run_reason(report.result));
        break;
    case retry_decision::unknown:
        report_unknown(self, request, report.reason, report.unknown_status);
        break;
    }
    // The finished attempt has freed a place at its endpoint.
    std::vector<request_handle> ready;
    {
        const std::lock_guard lock(self.mutex);
        ready = dispatch(self, request->attributes.service, now);
    }
    for (const auto& next : ready) {
        send_attempt(self, next);
    }
}

// Ends a request that can't be queued or sent. The outcome is unknown if an earlier attempt may
// have run, otherwise the request is refused.
void reject_request(gate_state& self, const request_handle& request, refusal_reason reason) {
    if (request->earlier_may_have_run) {
        report_unknown(self, request, to_string(reason), 504);
    } else {
        refuse(self, request, reason);
    }
}

} // namespace

void finish_request(gate_state& self, const request_handle& request, request_outcome outcome,
                    http_response response) {
    const bool has_intent = request->intent_revision != revision_number{};
    if (!has_intent || outcome == request_outcome::unknown) {
        send_response(self, request, std::move(response));
        return;
    }
    auto shared = std::make_shared<http_response>(std::move(response));
    const bool accepted = self.store_pool->submit([&self, request, outcome, shared] {
        complete_intent(self, request, outcome, *shared);
        send_response(self, request, std::move(*shared));
    });
    if (!accepted) {
        self.counters.count("fulmar_gate_unrecorded_total", "store_pool_full");
        send_response(self, request, std::move(*shared));
    }
}

void refuse(gate_state& self, const request_handle& request, refusal_reason reason) {
    self.counters.count("fulmar_gate_refusals_total", to_string(reason));
    finish_request(self, request, request_outcome::not_run, refusal_response(reason));
}

void report_unknown(gate_state& self, const request_handle& request, std::string_view reason,
                    int status) {
    self.counters.count("fulmar_gate_unknown_total", reason);
    finish_request(
        self, request, request_outcome::unknown,
        {status, {{"Fulmar-Outcome", "unknown"}, {"Fulmar-Reason", std::string(reason)}}, ""});
}

void accept_request(gate_state& self, http_request request, http_responder respond) {
    const auto now = steady_now();
    const auto config = self.dependencies.current_config();
    ++self.in_progress;
    self.counters.count("fulmar_gate_requests_total");
    auto active = std::make_shared<active_request>();
    active->number = self.next_request_number++;
    active->respond = std::move(respond);
    active->request = std::move(request);
    auto attributes =
        parse_request_attributes(active->request, duration(config.default_deadline_ms), now);
    if (!attributes) {
        refuse(self, active, refusal_reason::malformed_request);
        return;
    }
    active->attributes = std::move(attributes).value();
    if (const auto reason = find_arrival_refusal(self, *active, config, now)) {
        refuse(self, active, *reason);
        return;
    }
    {
        const std::lock_guard lock(self.mutex);
        self.active_requests[active->number] = active;
    }
    if (active->attributes.idempotent) {
        enqueue(self, active);
    } else {
        submit_intent_write(self, active);
    }
}

void enqueue(gate_state& self, const request_handle& request) {
    const auto now = steady_now();
    admission_result admitted;
    request_handle displaced;
    std::vector<request_handle> ready;
    {
        const std::lock_guard lock(self.mutex);
        auto& service = self.services[request->attributes.service];
        const service_throughput load{
            service.typical_response_time,
            usable_capacity(self.endpoints, request->attributes.service, now), service.outstanding};
        const auto entry = make_queued_request(*request);
        admitted = request->attempts == 0
                       ? admit(service.queue, entry, load, self.options.queue_length, now)
                       : admit_retry(service.queue, entry, now);
        if (!admitted.refused) {
            service.waiting[request->number] = request;
        }
        if (admitted.displaced) {
            displaced = std::move(service.waiting.extract(*admitted.displaced).mapped());
        }
        ready = dispatch(self, request->attributes.service, now);
    }
    if (admitted.refused) {
        reject_request(self, request, *admitted.refused);
    }
    if (displaced) {
        reject_request(self, displaced, refusal_reason::class_shed);
    }
    for (const auto& next : ready) {
        send_attempt(self, next);
    }
}

std::vector<request_handle> dispatch(gate_state& self, const service_id& id, time_point now) {
    std::vector<request_handle> ready;
    auto& service = self.services[id];
    if (service.queue.waiting.empty()) {
        return ready;
    }
    const auto config = self.dependencies.current_config();
    while (self.stage != gate_stage::terminated) {
        const auto first = first_waiting(service.queue);
        if (!first) {
            break;
        }
        const auto request = service.waiting.at(first->number);
        const auto bytes =
            header_bytes_estimate + static_cast<std::int64_t>(request->request.body.size());
        auto choice = choose_endpoint(self.endpoints, self.routing,
                                      {self.options.data_centre, self.options.region}, id,
                                      {self.options.policy, bytes, config.spill_bytes_per_second,
                                       request->attributes.idempotent, request->tried},
                                      now);
        if (!choice) {
            break;
        }
        remove_waiting(service.queue, *first);
        service.waiting.erase(first->number);
        begin_attempt(self, service, request, std::move(*choice), now);
        ready.push_back(request);
    }
    return ready;
}

void send_attempt(gate_state& self, const request_handle& request) {
    // The deadline may have passed since dispatch if the process was paused.
    const auto remaining = request->attributes.deadline - steady_now();
    if (remaining <= duration(0)) {
        {
            const std::lock_guard lock(self.mutex);
            --self.services[request->attributes.service].outstanding;
            const attempt_report nothing{attempt_result::never_sent};
            update_endpoint(self, *request, nothing, {}, 0, steady_now());
        }
        reject_request(self, request, refusal_reason::deadline_exceeded);
        return;
    }
    self.http->submit(make_forward_call(request->request, request->target.address, remaining,
                                        request->attributes.idempotent),
                      [&self, request](http_call_result outcome) {
                          finish_attempt(self, request, std::move(outcome));
                      });
}

void run_queues(gate_state& self) {
    const auto now = steady_now();
    std::vector<request_handle> expired;
    std::vector<request_handle> ready;
    {
        const std::lock_guard lock(self.mutex);
        for (auto& [id, service] : self.services) {
            for (const auto& entry : remove_expired(service.queue, now)) {
                expired.push_back(std::move(service.waiting.extract(entry.number).mapped()));
            }
            for (auto& request : dispatch(self, id, now)) {
                ready.push_back(std::move(request));
            }
        }
    }
    for (const auto& request : expired) {
        reject_request(self, request, refusal_reason::deadline_exceeded);
    }
    for (const auto& request : ready) {
        send_attempt(self, request);
    }
}

void end_all_requests(gate_state& self) {
    std::map<std::uint64_t, request_handle> unfinished;
    {
        const std::lock_guard lock(self.mutex);
        self.stage = gate_stage::terminated;
        unfinished.swap(self.active_requests);
    }
    for (const auto& [number, request] : unfinished) {
        if (request->any_sent) {
            self.counters.count("fulmar_gate_unknown_total", "shutting_down");
            request->respond(
                {502, {{"Fulmar-Outcome", "unknown"}, {"Fulmar-Reason", "shutting_down"}}, ""});
        } else {
            self.counters.count("fulmar_gate_refusals_total", "shutting_down");
            request->respond(refusal_response(refusal_reason::shutting_down));
        }
    }
}

} // namespace fulmar
