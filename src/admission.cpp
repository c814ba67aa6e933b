#include "admission.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>

namespace fulmar {

namespace {

constexpr std::int64_t max_deadline_ms = 600'000;
constexpr std::size_t max_name_length = 255; // of a team or an idempotency key

struct refusal_info {
    refusal_reason reason;
    std::string_view name;
    int status;
};

// Status 429 means that the caller exceeds its own quota, 503 that the service lacks capacity.
constexpr std::array reasons{
    refusal_info{refusal_reason::no_endpoint, "no_endpoint", 503},
    refusal_info{refusal_reason::malformed_request, "malformed_request", 400},
    refusal_info{refusal_reason::idempotency_key_missing, "idempotency_key_missing", 400},
    refusal_info{refusal_reason::key_reused, "key_reused", 422},
    refusal_info{refusal_reason::intent_budget, "intent_budget", 429},
    refusal_info{refusal_reason::store_unavailable, "store_unavailable", 503},
    refusal_info{refusal_reason::deadline_exceeded, "deadline_exceeded", 503},
    refusal_info{refusal_reason::deadline_unattainable, "deadline_unattainable", 503},
    refusal_info{refusal_reason::queue_full, "queue_full", 503},
    refusal_info{refusal_reason::class_shed, "class_shed", 503},
    refusal_info{refusal_reason::team_share, "team_share", 429},
    refusal_info{refusal_reason::endpoint_unreachable, "endpoint_unreachable", 503},
    refusal_info{refusal_reason::endpoint_refused, "endpoint_refused", 503},
    refusal_info{refusal_reason::shutting_down, "shutting_down", 503}};

// Returns whether the index of each entry is the value of its enumerator.
constexpr bool is_indexed_by_reason() {
    for (std::size_t i = 0; i < reasons.size(); ++i) {
        if (static_cast<std::size_t>(reasons.at(i).reason) != i) {
            return false;
        }
    }
    return true;
}

static_assert(is_indexed_by_reason());
static_assert(reasons.size() == static_cast<std::size_t>(refusal_reason::shutting_down) + 1);

error malformed(std::string_view what) {
    return {error_kind::invalid_argument, "malformed " + std::string(what)};
}

result<duration> parse_deadline(const std::string& text) {
    std::int64_t number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (problem != std::errc{} || end != text.data() + text.size()) {
        return malformed("Fulmar-Deadline-Ms");
    }
    return duration(std::min(number, max_deadline_ms));
}

void insert_waiting(admission_queue& queue, const queued_request& request) {
    if (!queue.waiting.insert(request).second) {
        assert(false && "the request is queued already");
        return;
    }
    ++queue.by_team[request.team];
    queue.background += request.priority == request_class::background ? 1 : 0;
}

// Returns whether a request can't be answered before its deadline because of the queued requests
// with earlier deadlines.
bool is_unattainable(const admission_queue& queue, const queued_request& request,
                     const service_throughput& load, time_point now) {
    if (load.capacity == 0 || load.typical_response_time == duration(0) ||
        load.outstanding < load.capacity) {
        return false;
    }
    // std::set has no rank, so this counts in linear time; the queue's length limit bounds it.
    const auto ahead = std::distance(queue.waiting.begin(), queue.waiting.lower_bound(request)) + 1;
    const auto wait = load.typical_response_time * ahead / load.capacity;
    return now + wait + load.typical_response_time > request.deadline;
}

// Returns whether the request's team already has its equal share of the queue's places.
bool exceeds_team_share(const admission_queue& queue, const queued_request& request,
                        std::size_t length_limit) {
    const auto team = queue.by_team.find(request.team);
    if (team == queue.by_team.end() || queue.by_team.size() < 2) {
        return false;
    }
    return team->second * queue.by_team.size() >= length_limit;
}

} // namespace

std::string_view to_string(refusal_reason reason) {
    return reasons.at(static_cast<std::size_t>(reason)).name;
}

int refusal_status(refusal_reason reason) {
    return reasons.at(static_cast<std::size_t>(reason)).status;
}

result<request_attributes> parse_request_attributes(const http_request& request,
                                                    duration default_deadline, time_point arrived) {
    request_attributes attributes;
    const auto slash = request.path.find('/', 1);
    attributes.service = {
        request.path.substr(std::min<std::size_t>(1, request.path.size()),
                            slash == std::string::npos ? std::string::npos : slash - 1)};
    if (!request.path.starts_with('/') || attributes.service.value.empty()) {
        return malformed("path");
    }
    const auto priority = find_header(request.headers, "Fulmar-Class").value_or("interactive");
    if (priority != "interactive" && priority != "background") {
        return malformed("Fulmar-Class");
    }
    attributes.priority =
        priority == "background" ? request_class::background : request_class::interactive;
    attributes.team = find_header(request.headers, "Fulmar-Team").value_or("");
    attributes.key = find_header(request.headers, "Idempotency-Key").value_or("");
    if (attributes.team.size() > max_name_length) {
        return malformed("Fulmar-Team");
    }
    if (attributes.key.size() > max_name_length) {
        return malformed("Idempotency-Key");
    }
    attributes.idempotent = request.method == "GET" || request.method == "HEAD" ||
                            find_header(request.headers, "Fulmar-Idempotent").value_or("") == "yes";
    auto allowed = default_deadline;
    if (const auto text = find_header(request.headers, "Fulmar-Deadline-Ms")) {
        BOOST_OUTCOME_TRY(parsed, parse_deadline(*text));
        allowed = parsed;
    }
    attributes.deadline = arrived + allowed;
    return attributes;
}

admission_result admit(admission_queue& queue, const queued_request& request,
                       const service_throughput& load, std::size_t length_limit, time_point now) {
    if (request.deadline <= now) {
        return {refusal_reason::deadline_exceeded, {}};
    }
    if (is_unattainable(queue, request, load, now)) {
        return {refusal_reason::deadline_unattainable, {}};
    }
    const bool half_full = queue.waiting.size() * 2 >= length_limit;
    if (half_full && request.priority == request_class::background && !queue.waiting.empty()) {
        return {refusal_reason::class_shed, {}};
    }
    if (half_full && exceeds_team_share(queue, request, length_limit)) {
        return {refusal_reason::team_share, {}};
    }
    admission_result admitted;
    if (queue.waiting.size() >= length_limit) {
        const auto victim =
            std::find_if(queue.waiting.rbegin(), queue.waiting.rend(), [](const auto& waiting) {
                return waiting.priority == request_class::background;
            });
        if (victim == queue.waiting.rend()) {
            return {refusal_reason::queue_full, {}};
        }
        admitted.displaced = victim->number;
        remove_waiting(queue, *victim);
    }
    insert_waiting(queue, request);
    return admitted;
}

admission_result admit_retry(admission_queue& queue, const queued_request& request,
                             time_point now) {
    if (request.deadline <= now) {
        return {refusal_reason::deadline_exceeded, {}};
    }
    insert_waiting(queue, request);
    return {};
}

std::optional<queued_request> first_waiting(const admission_queue& queue) {
    return queue.waiting.empty() ? std::nullopt : std::optional(*queue.waiting.begin());
}

void remove_waiting(admission_queue& queue, const queued_request& request) {
    const auto at = queue.waiting.find(request);
    if (at == queue.waiting.end()) {
        return;
    }
    const auto team = queue.by_team.find(at->team);
    assert(team != queue.by_team.end());
    if (--team->second == 0) {
        queue.by_team.erase(team);
    }
    queue.background -= at->priority == request_class::background ? 1 : 0;
    queue.waiting.erase(at);
}

std::vector<queued_request> remove_expired(admission_queue& queue, time_point now) {
    std::vector<queued_request> expired;
    while (!queue.waiting.empty() && queue.waiting.begin()->deadline <= now) {
        expired.push_back(*queue.waiting.begin());
        remove_waiting(queue, expired.back());
    }
    return expired;
}

duration update_typical_response_time(duration typical_response_time, duration measured) {
    if (typical_response_time == duration(0)) {
        return std::max(duration(1), measured);
    }
    const int weight_percent = measured < typical_response_time ? 30 : 5;
    const auto change = (measured - typical_response_time) * weight_percent / 100;
    return std::max(duration(1), typical_response_time + change);
}

double adapt_limit(double limit, std::int64_t slots, limit_signal signal) {
    constexpr double reduction = 0.75;
    const double next =
        signal == limit_signal::answered ? limit + 1 / std::max(1.0, limit) : limit * reduction;
    return std::clamp(next, 1.0, static_cast<double>(slots));
}

} // namespace fulmar
