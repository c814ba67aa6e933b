// What crosses the links of this host: counters for each kind of call, and a summary of a span of
// time.
#pragma once

#include "fulmar/http_client.hpp"
#include "fulmar/metrics.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fulmar {

// Must be used on one thread only.
class link_use {
  public:
    explicit link_use(metrics& counters);

    // Records a call that this host made.
    void record_call(const http_call_use& use);

    // Records a call that this host answered, with the sizes of the bodies.
    void record_served(std::string_view method, std::size_t received, std::size_t sent);

    void record_datagram_sent(std::size_t bytes);
    void record_datagram_received(std::size_t bytes);

    // Returns the sums since the last summary as fields of a log line, first for each kind of
    // destination and then for each label; empty if nothing was sent. Each sum is
    // calls:received:sent:first_byte_ms:timeouts, with sizes in bytes and the longest time to the
    // first byte (-1: no response began). A datagram counts as a call.
    std::string take_summary();

  private:
    struct sums {
        std::uint64_t calls = 0;
        std::uint64_t received_bytes = 0;
        std::uint64_t sent_bytes = 0;
        std::int64_t first_byte_ms = -1;
        std::uint64_t timeouts = 0;
    };

    static void add(sums& to, const sums& from);
    static std::string format(const std::map<std::string, sums, std::less<>>& rows);
    sums& find(std::string_view label);

    metrics& counters_;
    std::map<std::string, sums, std::less<>> span_; // by label
};

} // namespace fulmar
