// Ejection of failing endpoints: its conditions, its duration and reinstatement by a probe.
#pragma once

#include "fulmar/types.hpp"

namespace fulmar {

struct ejection_rules {
    int consecutive_failures = 5;
    int failure_percent = 50;
    int min_rate_requests = 10; // a rate of fewer requests is not significant
    duration rate_window{10'000};
    duration base_ejection{5'000};
    duration max_ejection{60'000};
};

struct endpoint_health {
    int consecutive_failures = 0;
    int window_requests = 0;
    int window_failures = 0;
    time_point window_start{};
    bool ejected = false;
    bool probing = false; // a probe request is in progress
    time_point ejected_until{};
    duration last_ejection{0}; // duration of the last ejection
};

enum class availability : std::uint8_t { available, probe, unavailable };

// Evidence of a finished request about its endpoint's health; `neutral` is no evidence.
enum class health_signal : std::uint8_t { success, failure, neutral };

// Returns whether an endpoint may get any requests, one probe request, or none.
availability find_availability(const endpoint_health& health, time_point now);

// Returns whether the probe is overdue, so that a non-idempotent request may also serve as one.
bool probe_overdue(const endpoint_health& health, time_point now);

// Records the result of a request. A successful probe reinstates the endpoint; a failed one ejects
// it for twice as long. Other results that arrive during an ejection belong to requests sent before
// it and are ignored.
void record_health(endpoint_health& health, health_signal signal, bool was_probe, time_point now,
                   const ejection_rules& rules = {});

// Returns whether the recorded failures justify an ejection; false for an ejected endpoint.
bool should_eject(const endpoint_health& health, const ejection_rules& rules = {});

// Returns whether one more of `total` endpoints may be ejected, at most `max_percent` in all.
bool within_ejection_ceiling(std::size_t ejected, std::size_t total, std::int64_t max_percent);

// Ejects an endpoint for the base duration, or, after a recent ejection, for twice the duration of
// that one, up to the maximum.
void eject(endpoint_health& health, time_point now, const ejection_rules& rules = {});

} // namespace fulmar
