// Model of a service endpoint: slots, a queue of requests, service times, injected faults and a
// count of executions. It does no I/O and is not thread-safe.
#pragma once

#include "fulmar/types.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

namespace fulmar {

enum class endpoint_fault : std::uint8_t {
    none,
    die_before, // runs the request and closes the connection without an answer
    die_during, // closes the connection after the headers
    die_after,  // closes the connection after a whole answer
    truncate,   // closes the connection after half of the body
    pause,      // waits between the halves of the body
    late,       // waits before the answer
    leaving,    // answers with the header Fulmar-Leaving: 1
    refuse,     // refuses the request and reports that it did not run
};

// Returns the fault with this name, such as "die_before"; nothing for an unknown name.
std::optional<endpoint_fault> parse_endpoint_fault(std::string_view name);

enum class service_time_kind : std::uint8_t { fixed, exponential };

struct endpoint_model {
    std::int64_t slots = 8;
    std::int64_t queue_limit = 64;
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::chrono::microseconds service_time{0}; // mean
    service_time_kind kind = service_time_kind::fixed;
    std::mt19937_64 random;
    endpoint_fault default_fault = endpoint_fault::none;
    std::uint64_t fault_interval = 1; // every n-th request gets the default fault
    std::uint64_t requests = 0;
    bool refusing = false; // set at the end of the grace period of a shutdown
    std::unordered_map<std::string, std::uint64_t> executions; // by request id
};

enum class admission : std::uint8_t { run, wait, refuse };

// Decides on an incoming request. A request that runs occupies a slot, one that waits a place in
// the queue.
admission admit_request(endpoint_model& model);

// Frees a slot. Returns true if a queued request now occupies it; the caller must then run that
// request.
bool release_slot(endpoint_model& model);

// Counts one execution of a request; a request without id isn't counted.
void count_execution(endpoint_model& model, const std::string& request);

// Returns the service time of one request, drawn from the configured distribution.
std::chrono::microseconds draw_service_time(endpoint_model& model);

// Returns the fault for an incoming request: the one named by the request, otherwise the default
// fault for every n-th request.
endpoint_fault pick_fault(endpoint_model& model, std::optional<endpoint_fault> named);

} // namespace fulmar
