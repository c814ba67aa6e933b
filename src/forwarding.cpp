#include "forwarding.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace fulmar {

namespace {

// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the HTTP library writes itself.
constexpr std::array<std::string_view, 11> hop_by_hop_headers{
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length",     "host",
    "expect"};
constexpr std::array<std::string_view, 6> gate_headers{"fulmar-outcome",     "fulmar-reason",
                                                       "fulmar-slots-used",  "fulmar-leaving",
                                                       "fulmar-deadline-ms", "fulmar-replayed"};

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return text;
}

bool is_forwarded(const http_header& header) {
    const auto name = to_lower(header.name);
    return std::find(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), name) ==
               hop_by_hop_headers.end() &&
           std::find(gate_headers.begin(), gate_headers.end(), name) == gate_headers.end();
}

std::vector<http_header> forwarded_headers(const std::vector<http_header>& from) {
    std::vector<http_header> kept;
    std::copy_if(from.begin(), from.end(), std::back_inserter(kept), is_forwarded);
    return kept;
}

std::optional<std::int64_t> parse_count(const std::optional<std::string>& text) {
    std::int64_t number = 0;
    if (!text) {
        return std::nullopt;
    }
    const char* end = text->data() + text->size();
    const auto [rest, problem] = std::from_chars(text->data(), end, number);
    return problem == std::errc{} && rest == end && number >= 0 ? std::optional(number)
                                                                : std::nullopt;
}

bool is_slow(duration elapsed, duration typical_response_time) {
    constexpr duration min_slow_time{50};
    constexpr int response_time_multiple = 4;
    return elapsed >= std::max(min_slow_time, typical_response_time * response_time_multiple);
}

attempt_report classify_response(const std::string& method, const http_response& response) {
    if (!is_complete_response(method, response)) {
        return {attempt_result::broken, health_signal::failure, {}, "incomplete_answer"};
    }
    const bool not_run = response.status == 503 &&
                         find_header(response.headers, "Fulmar-Outcome").value_or("") == "not_run";
    if (not_run) {
        return {attempt_result::endpoint_refused, health_signal::neutral, limit_signal::overloaded,
                "endpoint_refused"};
    }
    // Error responses are forwarded but count as failures. Otherwise an endpoint that fails every
    // request quickly would look idle and attract load.
    const auto health = response.status >= 500 ? health_signal::failure : health_signal::success;
    return {attempt_result::answered, health, limit_signal::answered, ""};
}

} // namespace

http_call make_forward_call(const http_request& request, const std::string& address,
                            duration remaining, bool idempotent) {
    http_call call;
    call.method = request.method;
    call.url = "http://" + address + request.path;
    if (!request.query.empty()) {
        call.url += "?" + request.query;
    }
    call.headers = forwarded_headers(request.headers);
    call.headers.push_back({"Fulmar-Deadline-Ms", std::to_string(remaining.count())});
    call.body = request.body;
    call.timeout = remaining;
    call.connect_timeout = std::min(call.connect_timeout, remaining);
    call.fresh_connection = !idempotent;
    return call;
}

http_response make_caller_response(http_response from) {
    from.headers = forwarded_headers(from.headers);
    from.headers.push_back({"Fulmar-Outcome", "answered"});
    return from;
}

bool is_complete_response(const std::string& method, const http_response& response) {
    if (method == "HEAD" || response.status == 204 || response.status == 304) {
        return true;
    }
    if (find_header(response.headers, "Transfer-Encoding")) {
        return true; // libcurl reports a truncated chunked body as an error
    }
    const auto length = parse_count(find_header(response.headers, "Content-Length"));
    return length && *length == static_cast<std::int64_t>(response.body.size());
}

attempt_report classify_attempt(const std::string& method, const http_call_result& outcome,
                                duration elapsed, duration typical_response_time) {
    if (outcome.response) {
        return classify_response(method, outcome.response.value());
    }
    if (!outcome.request_sent) {
        return {attempt_result::never_sent, health_signal::failure, {}, "endpoint_unreachable"};
    }
    switch (outcome.response.error().kind) {
    case error_kind::timeout:
        if (!is_slow(elapsed, typical_response_time)) {
            return {attempt_result::broken, health_signal::neutral, {}, "timeout", 504};
        }
        return {attempt_result::broken, health_signal::failure, limit_signal::overloaded, "timeout",
                504};
    case error_kind::protocol_error:
        return {attempt_result::broken, health_signal::neutral, {}, "answer_too_large"};
    default:
        return {attempt_result::broken, health_signal::failure, {}, "connection_broken"};
    }
}

std::optional<std::int64_t> parse_slots_used(const http_response& response) {
    return parse_count(find_header(response.headers, "Fulmar-Slots-Used"));
}

} // namespace fulmar
