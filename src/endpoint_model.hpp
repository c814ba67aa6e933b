// The decisions of the endpoint stand-in: slots and their queue, service times, injected faults and
// the count of executions. No I/O; one thread at a time.
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
    refuse,     // refuses as not run
};

// Returns the fault with this name, such as "die_before".
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
    bool refusing = false; // true after the grace period
    std::unordered_map<std::string, std::uint64_t> executions;
};

enum class admission : std::uint8_t { run, wait, refuse };

// Decides on an arriving request and takes its slot or its place in the queue.
admission admit_request(endpoint_model& model);

// Frees a slot. Returns true when a queued request takes it, which the caller must then run.
bool release_slot(endpoint_model& model);

// Counts one execution of a request; a request without id isn't counted.
void count_execution(endpoint_model& model, const std::string& request);

// Draws the service time of one request.
std::chrono::microseconds draw_service_time(endpoint_model& model);

// Returns the fault of an arriving request: the one it names, or the default on every n-th.
endpoint_fault pick_fault(endpoint_model& model, std::optional<endpoint_fault> named);

} // namespace fulmar
