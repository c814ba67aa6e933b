// The gate: accepts callers' requests and forwards each to an endpoint of its service.
#pragma once

#include "fulmar/daemon.hpp"
#include "fulmar/runtime_config.hpp"
#include "fulmar/store.hpp"
#include "routing.hpp"

#include <functional>
#include <memory>
#include <span>

namespace fulmar {

struct gate_settings {
    host_id host;
    data_centre_id data_centre;
    region_id region;
    socket_address caller_address;
    socket_address operator_address;
    socket_address store_address;
    duration store_timeout{1'000};
    std::size_t store_threads = 4;
    std::size_t traffic_threads = 2;
    std::size_t queue_length = 256; // per service
    std::size_t gates_per_endpoint = 3;
    routing_policy policy = routing_policy::least_loaded;
    duration grace{5'000}; // from SIGTERM to the first refusal
    // From SIGTERM to the end of the last request. The process must exit within 30 s, and closing
    // the store's watches takes up to 2.5 s of that.
    duration stop_limit{27'000};
};

// The accepted keys of fulmar_gate's settings file.
std::span<const setting_spec> gate_setting_specs();

// Converts validated settings to gate settings; returns invalid_argument for an unknown routing
// policy.
result<gate_settings> parse_gate_settings(const settings& from);

// External dependencies of a gate.
struct gate_dependencies {
    std::shared_ptr<store_client> store;
    std::function<runtime_config()> current_config = [] { return runtime_config{}; };
    std::shared_ptr<metrics> counters = std::make_shared<metrics>(); // served at /metrics
};

struct gate_state;

class gate {
  public:
    // Starts serving; returns unavailable when an address can't be bound.
    static result<std::unique_ptr<gate>> start(const gate_settings& options,
                                               gate_dependencies dependencies);

    // Stops without waiting for requests in progress: sends nothing more and closes the callers'
    // connections.
    ~gate();
    gate(const gate&) = delete;
    gate& operator=(const gate&) = delete;
    gate(gate&&) = delete;
    gate& operator=(gate&&) = delete;

    std::uint16_t caller_port() const;
    std::uint16_t operator_port() const;

    // Returns whether the gate answers /readyz with success: it is serving and has loaded the
    // endpoint list.
    bool ready() const;

    // Returns the number of the service's listed endpoints that aren't leaving.
    std::size_t count_routable_endpoints(const service_id& service) const;

    // Shuts down gracefully: /readyz fails at once, new requests are refused after the grace
    // period, and the function returns when the requests in progress have ended or the stop limit
    // has passed.
    void drain();

    const metrics& counters() const;

  private:
    explicit gate(std::unique_ptr<gate_state> initial);
    std::unique_ptr<gate_state> state_;
};

// Runs a gate until SIGTERM, then shuts it down gracefully. Returns an exit code.
int run_gate(const gate_settings& options, gate_dependencies dependencies);

} // namespace fulmar
