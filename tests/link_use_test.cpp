// The figures of what crosses the links of a host.
#include "link_use.hpp"

#include <catch2/catch.hpp>

using namespace fulmar;
using std::chrono::microseconds;

namespace {

http_call_use make_use(std::string_view label, std::uint64_t received, std::uint64_t sent,
                       std::optional<microseconds> first_byte) {
    return {label, sent, received, microseconds(100), first_byte, !first_byte.has_value()};
}

} // namespace

// Guards against a summary that mixes up kinds of calls or directions, or repeats an earlier span.
TEST_CASE("a summary has the sums of its span for each destination and kind of call") {
    metrics counters;
    link_use links(counters);
    links.record_call(make_use("store.get.meta", 10, 20, microseconds(1'500)));
    links.record_call(make_use("store.get.meta", 1, 2, microseconds(300)));
    links.record_call(make_use("store.watch.op", 4'000, 200, std::nullopt));
    links.record_served("orders", 3, 70);
    links.record_datagram_sent(600);
    links.record_datagram_received(500);
    links.record_datagram_received(50);
    CHECK(links.take_summary() == "datagram=3:550:600:-1:0 served=1:3:70:-1:0 store=3:4011:222:2:1 "
                                  "datagram.in=2:550:0:-1:0 datagram.out=1:0:600:-1:0 "
                                  "served.orders=1:3:70:-1:0 store.get.meta=2:11:22:2:0 "
                                  "store.watch.op=1:4000:200:-1:1");
    CHECK(links.take_summary().empty());
    links.record_call(make_use("worker.hold", 5, 6, microseconds(1'000)));
    CHECK(links.take_summary() == "worker=1:5:6:1:0 worker.hold=1:5:6:1:0");
}

// Guards against a line every few seconds from a host that sends nothing.
TEST_CASE("a span in which nothing was sent has no summary") {
    metrics counters;
    link_use links(counters);
    links.record_datagram_received(500);
    CHECK(links.take_summary().empty());
}

// Guards against counters that are lost with a span, or miss calls without a response.
TEST_CASE("the counters of the links hold all calls since the start") {
    metrics counters;
    link_use links(counters);
    for (int i = 0; i < 2; ++i) {
        links.record_call(make_use("store.commit", 10, 20, microseconds(1'500)));
        links.take_summary();
    }
    links.record_call(make_use("store.commit", 0, 20, std::nullopt));
    links.record_datagram_sent(600);
    links.record_datagram_received(500);
    CHECK(counters.value("link_calls", "store.commit") == 3);
    CHECK(counters.value("link_received_bytes", "store.commit") == 20);
    CHECK(counters.value("link_sent_bytes", "store.commit") == 60);
    CHECK(counters.value("link_timeouts", "store.commit") == 1);
    CHECK(counters.value("datagrams_sent") == 1);
    CHECK(counters.value("datagram_sent_bytes") == 600);
    CHECK(counters.value("datagrams_received") == 1);
    CHECK(counters.value("datagram_received_bytes") == 500);
    const auto text = counters.serialize();
    CHECK_THAT(text, Catch::Contains("link_first_byte_ms_count{reason=\"store.commit\"} 2"));
    CHECK_THAT(text, Catch::Contains("link_ready_ms_count{reason=\"store.commit\"} 3"));
}
