// Stand-in for an endpoint of a service: answers each request with an echo that names it.
#include "fulmar/daemon.hpp"
#include "fulmar/json.hpp"
#include "fulmar/records.hpp"
#include "fulmar/store_http.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <random>

namespace fulmar {

namespace {

constexpr std::array rows{
    setting_row{"endpoint", "id", setting_kind::text, "", 0, 0, "name of this endpoint"},
    setting_row{"endpoint", "service", setting_kind::text, "", 0, 0, "service that it answers for"},
    setting_row{"endpoint", "address", setting_kind::address, "", 0, 0, "where it answers"},
    setting_row{"endpoint", "data_centre", setting_kind::text, "", 0, 0, "its data centre"},
    setting_row{"endpoint", "region", setting_kind::text, "", 0, 0, "its region"},
    setting_row{"store", "address", setting_kind::address, "", 0, 0, "the platform's store"}};

// Writes the endpoint's description, as the platform's list does for real endpoints. Returns false
// when a stop signal came first.
bool list_endpoint(const settings& from, endpoint_state state) {
    http_client http;
    const auto store =
        make_store_http(http, address_setting(from, "store", "address"), duration(2'000));
    const std::string key = std::string(endpoints_prefix) +
                            text_setting(from, "endpoint", "service") + "/" +
                            text_setting(from, "endpoint", "id");
    const endpoint_record record{to_string(address_setting(from, "endpoint", "address")),
                                 {text_setting(from, "endpoint", "data_centre")},
                                 {text_setting(from, "endpoint", "region")},
                                 state,
                                 std::random_device()(),
                                 8};
    do {
        const auto present = store->get(key);
        if (!present) {
            continue;
        }
        const auto revision = present.value() ? present.value()->revision : revision_number{};
        if (write_and_settle(*store, {key, serialize(record), revision, {}})) {
            return true;
        }
    } while (!stop_signal_arrived(duration(200)));
    return false;
}

int run(const settings& from) {
    const std::string id = text_setting(from, "endpoint", "id");
    const auto server = http_server::start(
        {address_setting(from, "endpoint", "address"), 2, {}},
        [&](const http_request& request, const http_responder& respond) {
            respond(json_response(
                200,
                json{{"endpoint", id}, {"path", request.path}, {"echo", request.body}}.dump()));
        });
    if (!server) {
        spdlog::error("{}", server.error().detail);
        return exit_failure;
    }
    if (list_endpoint(from, endpoint_state::live)) {
        spdlog::info("endpoint stand-in {} started", id);
        wait_for_stop_signal();
    }
    return exit_ok;
}

} // namespace

} // namespace fulmar

int main(int argc, const char** argv) {
    using namespace fulmar;
    block_stop_signals();
    settings loaded;
    if (const auto code =
            start_daemon(argc, argv, "Stand-in for an endpoint of a service.", rows, loaded)) {
        return *code;
    }
    return run(loaded);
}
