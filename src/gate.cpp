#include "gate.hpp"

#include "gate_state.hpp"
#include "member_registration.hpp"
#include "steady_clock.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

namespace fulmar {

namespace {

constexpr duration queue_interval{10};
constexpr duration drain_poll_interval{10};
// Maximum time to wait until the last responses are sent.
constexpr duration response_flush_timeout{2'000};
// Must exceed the longest request deadline, or the server closes the connection of a request that
// is still in progress.
constexpr duration max_request_duration{610'000};
// Limit of pending store jobs. At 20 intents/s a longer backlog means that the store is stuck.
constexpr std::size_t store_job_limit = 256;

void handle_operator_request(gate_state& self, const http_request& request,
                             const http_responder& respond) {
    const bool ready = self.stage == gate_stage::serving && self.endpoints_loaded;
    const auto standard = handle_operator_route(request, self.counters, ready);
    respond(standard.value_or(
        error_response({error_kind::not_found, "no such path: " + request.path})));
}

// Updates the gauge metrics; called once a second.
void update_gauges(gate_state& self) {
    const std::lock_guard lock(self.mutex);
    std::size_t routable = 0;
    std::size_t ejected = 0;
    std::size_t waiting = 0;
    for (const auto& [service, endpoints] : self.endpoints.services) {
        for (const auto& [id, endpoint] : endpoints) {
            routable += endpoint.listed && !endpoint.leaving ? 1 : 0;
            ejected += endpoint.health.ejected ? 1 : 0;
        }
    }
    for (const auto& [id, service] : self.services) {
        waiting += service.queue.waiting.size();
    }
    self.counters.set("fulmar_gate_endpoints", static_cast<double>(routable));
    self.counters.set("fulmar_gate_endpoints_ejected", static_cast<double>(ejected));
    self.counters.set("fulmar_gate_queue", static_cast<double>(waiting));
    self.counters.set("fulmar_gate_in_progress", static_cast<double>(self.in_progress));
}

// Updates the endpoint subset, the request queues and the gauges periodically until the stop is
// requested.
void run_queue_loop(gate_state& self, const std::stop_token& stop) {
    constexpr int ticks_per_gauge = 100;
    for (int tick = 0; !stop.stop_requested(); ++tick) {
        update_subset(self);
        run_queues(self);
        if (tick % ticks_per_gauge == 0) {
            update_gauges(self);
        }
        std::this_thread::sleep_for(queue_interval);
    }
}

bool wait_until_idle(gate_state& self, time_point limit) {
    while (self.in_progress > 0 && steady_now() < limit) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return self.in_progress == 0;
}

} // namespace

gate::gate(std::unique_ptr<gate_state> initial)
    : state_(std::move(initial)) {}

result<std::unique_ptr<gate>> gate::start(const gate_settings& options,
                                          gate_dependencies dependencies) {
    // Step 1: create the state that the threads share.
    auto initial = std::make_unique<gate_state>(std::move(dependencies));
    auto& self = *initial;
    self.options = options;
    self.instance = make_instance(options.host.value).value;
    self.routing.random.seed(std::random_device()());
    self.store_pool = std::make_unique<blocking_pool>(options.store_threads, store_job_limit);
    self.http = std::make_unique<http_client>();
    std::unique_ptr<gate> started(new gate(std::move(initial)));

    // Step 2: open the ports.
    http_server_limits limits;
    limits.handle_timeout = max_request_duration;
    auto callers =
        http_server::start({options.caller_address, options.traffic_threads, limits},
                           [&self](http_request request, http_responder respond) {
                               accept_request(self, std::move(request), std::move(respond));
                           });
    if (!callers) {
        return callers.error();
    }
    self.caller_server = std::move(callers).value();
    auto operators =
        http_server::start({options.operator_address, 1, {}},
                           [&self](const http_request& request, const http_responder& respond) {
                               handle_operator_request(self, request, respond);
                           });
    if (!operators) {
        return operators.error();
    }
    self.operator_server = std::move(operators).value();

    // Step 3: start the threads.
    start_followers(self);
    self.threads.emplace_back([&self](const std::stop_token& stop) { run_queue_loop(self, stop); });
    return started;
}

gate::~gate() {
    auto& self = *state_;
    self.stage = gate_stage::terminated;
    while (self.responding > 0) {
        std::this_thread::yield();
    }
    for (auto* server : {&self.caller_server, &self.operator_server}) {
        if (*server) {
            (*server)->stop();
        }
    }
    self.threads.clear(); // requests the stop and joins
    self.store_pool->join();
    self.http.reset();
}

std::uint16_t gate::caller_port() const {
    return state_->caller_server->port();
}

std::uint16_t gate::operator_port() const {
    return state_->operator_server->port();
}

bool gate::ready() const {
    return state_->stage == gate_stage::serving && state_->endpoints_loaded;
}

const metrics& gate::counters() const {
    return state_->counters;
}

std::size_t gate::count_routable_endpoints(const service_id& service) const {
    const std::lock_guard lock(state_->mutex);
    const auto endpoints = state_->endpoints.services.find(service);
    if (endpoints == state_->endpoints.services.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(endpoints->second.begin(), endpoints->second.end(), [](const auto& entry) {
            return entry.second.listed && !entry.second.leaving;
        }));
}

void gate::drain() {
    auto& self = *state_;
    const auto limit = steady_now() + self.options.stop_limit;

    // Step 1: report not ready, but serve until the load balancer has stopped sending requests.
    self.stage = gate_stage::grace;
    std::this_thread::sleep_for(std::min(self.options.grace, self.options.stop_limit));

    // Step 2: refuse new requests and wait for those in progress.
    self.stage = gate_stage::refusing;
    spdlog::info("gate {}: shutting down, refusing new requests", self.options.host.value);
    if (!wait_until_idle(self, limit)) {
        // Step 3: end the remaining requests. Those that were never sent were not run; the outcome
        // of the others is unknown.
        spdlog::warn("gate {}: shutdown limit reached, ending {} requests in progress",
                     self.options.host.value, self.in_progress.load());
        end_all_requests(self);
    }
    // Step 4: wait until the last responses are passed to the operating system, because the
    // connections are closed afterwards.
    const auto flush_limit = steady_now() + response_flush_timeout;
    while (self.caller_server->requests_in_progress() > 0 && steady_now() < flush_limit) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
}

int run_gate(const gate_settings& options, gate_dependencies dependencies) {
    const auto started = gate::start(options, std::move(dependencies));
    if (!started) {
        spdlog::error("{}", started.error().detail);
        return exit_failure;
    }
    spdlog::info("gate {} started", options.host.value);
    wait_for_stop_signal();
    started.value()->drain();
    spdlog::info("gate {} stopped", options.host.value);
    return exit_ok;
}

} // namespace fulmar
