// The configuration that operators change while the system runs.
#pragma once

#include "fulmar/types.hpp"

#include <string>
#include <string_view>

namespace fulmar {

// The values in force. The defaults apply until a configuration is accepted.
struct runtime_config {
    std::int64_t retry_budget_percent = 10;        // retries in percent of requests
    std::int64_t eject_max_percent = 30;           // limit of a service's ejected endpoints
    std::int64_t spill_bytes_per_second = 125'000; // limit of each gate towards the other region
    std::int64_t intents_per_second = 20;          // non-idempotent requests that a gate admits
    std::int64_t default_deadline_ms = 5'000;      // for requests without a deadline
    std::int64_t throttle_slowdown_percent = 115;  // service slowdown at which batch is throttled
    std::int64_t evict_slowdown_percent = 140;     // service slowdown at which batch is evicted
    std::int64_t return_ramp_ms = 60'000; // time to ramp up the load of a returning data centre

    bool operator==(const runtime_config&) const = default;
};

// Parses a JSON object; absent fields keep their defaults. Returns invalid_argument, naming the
// field, for unknown fields, wrong types and values out of range; the whole document is then
// refused.
result<runtime_config> parse_runtime_config(std::string_view document);

// Formats all fields as a JSON object.
std::string serialize(const runtime_config& config);

} // namespace fulmar
