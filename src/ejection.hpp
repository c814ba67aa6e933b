// Ejection of failing endpoints: when, for how long, and how one comes back.
#pragma once

#include "fulmar/types.hpp"

namespace fulmar {

struct ejection_rules {
    int consecutive_failures = 5;
    int failure_percent = 50;
    int rate_minimum_requests = 10; // fewer requests say nothing about a rate
    duration rate_window{10'000};
    duration first_ejection{5'000};
    duration longest_ejection{60'000};
};

struct endpoint_health {
    int consecutive_failures = 0;
    int window_requests = 0;
    int window_failures = 0;
    time_point window_start{};
    bool ejected = false;
    bool probing = false; // the probe request is on its way
    time_point ejected_until{};
    duration ejection{0}; // length of the last ejection
};

enum class availability : std::uint8_t { open, probe, closed };

// How a request to an endpoint ended; `neutral` says nothing about the endpoint.
enum class health_signal : std::uint8_t { success, failure, neutral };

// Tells whether an endpoint takes requests, one probe request, or none.
availability find_availability(const endpoint_health& health, time_point now);

// Tells whether a probe is so late that also a non-idempotent request may serve as one.
bool probe_overdue(const endpoint_health& health, time_point now);

// Records the end of a request. A probe's success reinstates the endpoint and its failure ejects it
// for twice as long. Other results that arrive during an ejection are of older requests and change
// nothing.
void record_health(endpoint_health& health, health_signal signal, bool was_probe, time_point now,
                   const ejection_rules& rules = {});

// Tells whether the failures seen justify an ejection.
bool deserves_ejection(const endpoint_health& health, const ejection_rules& rules = {});

// Tells whether one more of `total` endpoints may be ejected.
bool within_ejection_ceiling(std::size_t ejected, std::size_t total, std::int64_t max_percent);

// Ejects for the first time span, or for twice the last one after a recent ejection.
void eject(endpoint_health& health, time_point now, const ejection_rules& rules = {});

} // namespace fulmar
