// Messages between hosts over real sockets on loopback.
#include "net_peer_link.hpp"

#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace fulmar;

// A busy host read one datagram in each pass over its pending events, so that those of most peers
// waited for seconds or were lost, and the peers looked failed.
TEST_CASE("all datagrams that have arrived are processed before other pending events") {
    constexpr std::size_t count = 60;
    asio::io_context io(1);
    http_client http(io);
    std::size_t received = 0;
    peer_handlers handlers;
    handlers.on_datagram = [&](const std::string&) { ++received; };
    handlers.on_call = [](const std::string&, const std::string&, const peer_reply&) {};

    asio::ip::udp::socket probe(io, {asio::ip::make_address("127.0.0.1"), 0});
    const auto port = probe.local_endpoint().port();
    probe.close();
    auto link = net_peer_link::open({"127.0.0.1", port}, io, http, handlers);
    REQUIRE(link);

    asio::ip::udp::socket sender(io, asio::ip::udp::v4());
    const std::string text(200, 'x');
    for (std::size_t i = 0; i < count; ++i) {
        sender.send_to(asio::buffer(text), {asio::ip::make_address("127.0.0.1"), port});
    }
    // Other events that are always pending.
    std::size_t passes = 0;
    std::function<void()> other = [&] {
        ++passes;
        asio::post(io, other);
    };
    asio::post(io, other);
    while (received == 0 && passes < 1'000) {
        io.poll_one();
    }
    const auto passes_before = passes;
    while (received < count && passes < passes_before + 2) {
        io.poll_one();
    }
    CHECK(received == count);
}
