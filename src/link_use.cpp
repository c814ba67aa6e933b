#include "link_use.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace fulmar {

namespace {

double to_milliseconds(std::chrono::microseconds time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

link_use::link_use(metrics& counters)
    : counters_(counters) {}

link_use::sums& link_use::find(std::string_view label) {
    const auto found = span_.find(label);
    return found != span_.end() ? found->second : span_.emplace(label, sums()).first->second;
}

void link_use::add(sums& to, const sums& from) {
    to.calls += from.calls;
    to.received_bytes += from.received_bytes;
    to.sent_bytes += from.sent_bytes;
    to.first_byte_ms = std::max(to.first_byte_ms, from.first_byte_ms);
    to.timeouts += from.timeouts;
}

void link_use::record_call(const http_call_use& use) {
    sums call{1, use.received_bytes, use.sent_bytes, -1, use.timed_out ? 1U : 0U};
    counters_.count("link_calls", use.label);
    counters_.count("link_received_bytes", use.label, static_cast<double>(use.received_bytes));
    counters_.count("link_sent_bytes", use.label, static_cast<double>(use.sent_bytes));
    if (use.timed_out) {
        counters_.count("link_timeouts", use.label);
    }
    if (use.broken_connections > 0) {
        counters_.count("link_broken_connections", use.label, use.broken_connections);
    }
    if (use.ready) {
        counters_.observe("link_ready_ms", to_milliseconds(*use.ready), use.label);
    }
    if (use.first_byte) {
        counters_.observe("link_first_byte_ms", to_milliseconds(*use.first_byte), use.label);
        call.first_byte_ms = std::chrono::ceil<std::chrono::milliseconds>(*use.first_byte).count();
    }
    add(find(use.label), call);
}

void link_use::record_served(std::string_view method, std::size_t received, std::size_t sent) {
    const auto label = fmt::format("served.{}", method);
    counters_.count("link_calls", label);
    counters_.count("link_received_bytes", label, static_cast<double>(received));
    counters_.count("link_sent_bytes", label, static_cast<double>(sent));
    add(find(label), {1, received, sent, -1, 0});
}

void link_use::record_datagram_sent(std::size_t bytes) {
    counters_.count("datagrams_sent");
    counters_.count("datagram_sent_bytes", {}, static_cast<double>(bytes));
    add(find("datagram.out"), {1, 0, bytes, -1, 0});
}

void link_use::record_datagram_received(std::size_t bytes) {
    counters_.count("datagrams_received");
    counters_.count("datagram_received_bytes", {}, static_cast<double>(bytes));
    add(find("datagram.in"), {1, bytes, 0, -1, 0});
}

std::string link_use::format(const std::map<std::string, sums, std::less<>>& rows) {
    std::string text;
    for (const auto& [label, sum] : rows) {
        text += fmt::format(" {}={}:{}:{}:{}:{}", label, sum.calls, sum.received_bytes,
                            sum.sent_bytes, sum.first_byte_ms, sum.timeouts);
    }
    return text;
}

std::string link_use::take_summary() {
    std::map<std::string, sums, std::less<>> destinations;
    bool sent = false;
    for (const auto& [label, sum] : span_) {
        add(destinations[label.substr(0, label.find('.'))], sum);
        sent = sent || sum.sent_bytes > 0;
    }
    const auto text = sent ? format(destinations) + format(span_) : std::string();
    span_.clear();
    return text.empty() ? text : text.substr(1);
}

} // namespace fulmar
