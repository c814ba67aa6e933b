#include "ejection.hpp"

#include <algorithm>

namespace fulmar {

availability find_availability(const endpoint_health& health, time_point now) {
    if (!health.ejected) {
        return availability::available;
    }
    return now >= health.ejected_until && !health.probing ? availability::probe
                                                          : availability::unavailable;
}

bool probe_overdue(const endpoint_health& health, time_point now) {
    constexpr duration overdue_after{10'000};
    return health.ejected && now >= health.ejected_until + overdue_after;
}

void record_health(endpoint_health& health, health_signal signal, bool was_probe, time_point now,
                   const ejection_rules& rules) {
    if (health.ejected) {
        if (!was_probe) {
            return;
        }
        health.probing = false;
        if (signal == health_signal::success) {
            const auto last = health.last_ejection;
            const auto until = health.ejected_until;
            health = {};
            health.last_ejection = last;
            health.ejected_until = until;
            health.window_start = now;
        } else if (signal == health_signal::failure) {
            eject(health, now, rules);
        }
        return;
    }
    if (signal == health_signal::neutral) {
        return;
    }
    if (now - health.window_start >= rules.rate_window) {
        health.window_start = now;
        health.window_requests = 0;
        health.window_failures = 0;
    }
    const bool failed = signal == health_signal::failure;
    ++health.window_requests;
    health.window_failures += failed ? 1 : 0;
    health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
}

bool should_eject(const endpoint_health& health, const ejection_rules& rules) {
    if (health.ejected) {
        return false;
    }
    return health.consecutive_failures >= rules.consecutive_failures ||
           (health.window_requests >= rules.min_rate_requests &&
            health.window_failures * 100 > health.window_requests * rules.failure_percent);
}

bool within_ejection_ceiling(std::size_t ejected, std::size_t total, std::int64_t max_percent) {
    return (ejected + 1) * 100 <= total * static_cast<std::size_t>(max_percent);
}

void eject(endpoint_health& health, time_point now, const ejection_rules& rules) {
    const bool recent =
        health.last_ejection > duration(0) && now < health.ejected_until + rules.max_ejection;
    const auto ejection_time =
        recent ? std::min(health.last_ejection * 2, rules.max_ejection) : rules.base_ejection;
    health = {};
    health.ejected = true;
    health.last_ejection = ejection_time;
    health.ejected_until = now + ejection_time;
    health.window_start = now;
}

} // namespace fulmar
