// How calls to the platform's store and workers are made.
#include "wire_store.hpp"
#include "wire_worker.hpp"

#include "raw_peer.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace fulmar;
using namespace fulmar::platform;

namespace {

// Answers each request with 404, which ends every call, and closes the connection.
raw_server make_refusing_server() {
    return raw_server([](raw_peer& peer, raw_server&) {
        peer.read_until("\r\n\r\n");
        peer.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return true;
    });
}

} // namespace

// Guards against a kind of call whose bytes no figure shows, and against a label for each key.
TEST_CASE("each kind of call to the store and to workers has its own label") {
    const auto server = make_refusing_server();
    asio::io_context io(1);
    http_client http(io);
    std::multiset<std::string> labels;
    http.on_use([&](const http_call_use& use) { labels.emplace(use.label); });
    const socket_address address{"127.0.0.1", server.port()};
    wire_store store(http, address);
    store.get("meta/claims/a.0", [](const auto&) {});
    store.get("ids/5c0e7a21d94b36f8", [](const auto&) {});
    store.list("data/a.0/", "", read_mode::linearizable, [](const auto&) {});
    store.watch("op/", revision_number{1}, duration(1'000), [](const auto&) {});
    store.watch("servers/", revision_number{1}, duration(1'000), [](const auto&) {});
    store.commit({}, [](const auto&) {});
    store.grant_lease(duration(1'000), [](const auto&) {});
    store.keep_alive({1}, [](const auto&) {});
    wire_worker workers(http);
    const worker_target worker{{"i-1"}, address};
    workers.hold(worker, {}, [](const auto&) {});
    workers.start(worker, {}, [](const auto&) {});
    workers.stop(worker, {}, [](const auto&) {});
    workers.pace(worker, {}, [](const auto&) {});
    while (labels.size() < 12) {
        REQUIRE(io.run_one_for(std::chrono::seconds(60)) == 1);
    }
    CHECK(labels == std::multiset<std::string>{
                        "store.commit", "store.get.ids", "store.get.meta", "store.lease",
                        "store.lease", "store.list.data", "store.watch.op", "store.watch.servers",
                        "worker.hold", "worker.pace", "worker.start", "worker.stop"});
}
