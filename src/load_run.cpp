#include "load_run.hpp"

#include "fulmar/json.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace fulmar {

namespace {

constexpr std::size_t violation_limit = 20;

constexpr std::array<std::string_view, 6> outcome_names{"pending", "answered",  "not_run",
                                                        "unknown", "transport", "wrong"};
static_assert(outcome_names.size() == static_cast<std::size_t>(load_outcome::wrong) + 1);

// Mixes a seed and a number into 64 bits (the finaliser of SplitMix64).
std::uint64_t mix(std::uint64_t seed, std::uint64_t n) {
    std::uint64_t z = seed * 0x9e3779b97f4a7c15ULL + n + 1;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

// Returns why a response body is not the expected answer to the n-th request; empty if it is.
std::string find_mismatch(const load_options& options, std::uint64_t n, const std::string& body) {
    const auto parsed = parse_json<json>(body);
    if (!parsed || !parsed.value().is_object()) {
        return "answer is not an echo";
    }
    const auto& echo = parsed.value();
    if (echo.value("request", json()) != make_request_id(options, n)) {
        return "answer to another request";
    }
    return echo.value("echo", json()) == make_request_body(options, n) ? "" : "changed body";
}

void set_outcome(load_record& record, load_outcome outcome, std::string reason) {
    record.outcome = outcome;
    record.reason = std::move(reason);
}

void record_response(load_record& record, const load_options& options, std::uint64_t n,
                     const http_response& response) {
    const auto outcome = find_header(response.headers, "Fulmar-Outcome").value_or("");
    const auto reason =
        find_header(response.headers, "Fulmar-Reason").value_or(std::to_string(response.status));
    if (outcome == "not_run") {
        set_outcome(record, load_outcome::not_run, reason);
        return;
    }
    record.may_have_run = true;
    if (response.status == 200 && (outcome.empty() || outcome == "answered")) {
        auto mismatch = find_mismatch(options, n, response.body);
        const auto kind = mismatch.empty() ? load_outcome::answered : load_outcome::wrong;
        set_outcome(record, kind, std::move(mismatch));
    } else {
        set_outcome(record, load_outcome::unknown, reason);
    }
}

} // namespace

bool is_non_idempotent(const load_options& options, std::uint64_t n) {
    return static_cast<std::int64_t>(mix(options.seed, n) % 100) < options.non_idempotent_percent;
}

std::string make_request_id(const load_options& options, std::uint64_t n) {
    return fmt::format("{}-{}", options.seed, n);
}

std::string make_request_body(const load_options& options, std::uint64_t n) {
    std::string body = make_request_id(options, n) + ":";
    std::uint64_t state = mix(options.seed, n);
    while (body.size() < options.body_bytes) {
        state = mix(state, n);
        body += static_cast<char>('a' + state % 26);
    }
    return body;
}

std::chrono::nanoseconds arrival_time(const load_options& options, std::uint64_t n) {
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(n) * 1e9 / options.rate));
}

http_call make_load_call(const load_options& options, std::uint64_t n, std::uint64_t attempt) {
    const bool non_idempotent = is_non_idempotent(options, n);
    http_call call;
    call.method = non_idempotent ? "POST" : "GET";
    call.url = "http://" + options.gates[(n + attempt) % options.gates.size()] + options.path +
               "/" + make_request_id(options, n);
    call.body = make_request_body(options, n);
    call.headers = {{"Content-Type", "text/plain"},
                    {"Fulmar-Request-Id", make_request_id(options, n)},
                    {"Fulmar-Deadline-Ms", std::to_string(options.deadline.count())}};
    if (non_idempotent) {
        call.headers.push_back({"Idempotency-Key", make_request_id(options, n)});
    }
    // A gate must answer by the deadline. One that hasn't answered a second later counts as a
    // transport error.
    call.timeout = options.deadline + duration(1'000);
    call.fresh_connection = non_idempotent;
    return call;
}

void record_outcome(load_record& record, const load_options& options, std::uint64_t n,
                    const http_call_result& outcome) {
    ++record.attempts;
    if (outcome.response) {
        record_response(record, options, n, outcome.response.value());
        return;
    }
    record.may_have_run = record.may_have_run || outcome.request_sent;
    set_outcome(record, load_outcome::transport,
                std::string(to_string(outcome.response.error().kind)) +
                    (outcome.request_sent ? "" : ", not sent"));
}

bool should_retry(const load_record& record, const load_options& options) {
    if (record.attempts > options.retries || record.outcome == load_outcome::answered ||
        record.outcome == load_outcome::wrong) {
        return false;
    }
    return !record.may_have_run || !record.non_idempotent || options.retry_unknown;
}

result<void> add_executions(execution_counts& counts, std::string_view body) {
    const auto parsed = parse_json<std::map<std::string, std::uint64_t>>(body);
    if (!parsed) {
        return parsed.error();
    }
    for (const auto& [id, count] : parsed.value()) {
        counts[id] += count;
    }
    return outcome::success();
}

std::vector<std::string> find_violations(const load_options& options,
                                         const std::vector<load_record>& records,
                                         const execution_counts& counts) {
    std::vector<std::string> found;
    for (std::uint64_t n = 0; n < records.size() && found.size() < violation_limit; ++n) {
        const auto& record = records[n];
        const auto id = make_request_id(options, n);
        const auto executed = counts.find(id);
        const std::uint64_t runs = executed == counts.end() ? 0 : executed->second;
        if (record.outcome == load_outcome::wrong) {
            found.push_back(id + ": " + record.reason);
        }
        if (record.outcome == load_outcome::pending) {
            found.push_back(id + ": no outcome");
        }
        if (record.non_idempotent && runs > 1) {
            found.push_back(fmt::format("{}: non-idempotent, but ran {} times", id, runs));
        }
        if (!record.may_have_run && runs > 0) {
            found.push_back(
                fmt::format("{}: reported as not run ({}), but ran", id, record.reason));
        }
    }
    return found;
}

std::int64_t percentile(const std::vector<std::int64_t>& sorted, double rank) {
    if (sorted.empty()) {
        return 0;
    }
    const auto position = std::ceil(rank * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(position, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

std::string summarize(const load_options& options, const std::vector<load_record>& records,
                      double seconds) {
    std::vector<std::int64_t> latencies; // of answered requests
    std::vector<std::int64_t> all; // of all requests, so that failed ones are part of the tail
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t in_time = 0;
    for (const auto& record : records) {
        const auto name = outcome_names[static_cast<std::size_t>(record.outcome)];
        ++outcomes[std::string(name) + (record.reason.empty() ? "" : " (" + record.reason + ")")];
        all.push_back(record.latency_us);
        if (record.outcome != load_outcome::answered) {
            continue;
        }
        latencies.push_back(record.latency_us);
        in_time += duration(record.latency_us / 1000) < options.deadline ? 1 : 0;
    }
    std::sort(latencies.begin(), latencies.end());
    std::sort(all.begin(), all.end());
    std::string text;
    const auto line = [&text](const char* name, const std::vector<std::int64_t>& sorted) {
        text += fmt::format("{}: {} requests, p50 {} us, p99 {} us, p99.9 {} us, max {} us\n", name,
                            sorted.size(), percentile(sorted, 0.5), percentile(sorted, 0.99),
                            percentile(sorted, 0.999), percentile(sorted, 1));
    };
    line("answered", latencies);
    line("all", all);
    text += fmt::format("offered {:.1f}/s, goodput {:.1f}/s, {:.3f} s\n", options.rate,
                        static_cast<double>(in_time) / seconds, seconds);
    for (const auto& [name, count] : outcomes) {
        text += fmt::format("outcome {}: {}\n", name, count);
    }
    return text;
}

} // namespace fulmar
