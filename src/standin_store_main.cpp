// Stand-in for the platform's key-value service: the in-memory store over HTTP, with injected
// faults.
#include "fulmar/daemon.hpp"
#include "fulmar/json.hpp"
#include "fulmar/store_http.hpp"
#include "steady_clock.hpp"
#include "store_memory.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <list>
#include <thread>

namespace fulmar {

namespace {

constexpr std::array rows{
    setting_row{"store", "address", setting_kind::address, "", 0, 0, "where calls are served"}};

constexpr duration poll_interval{50};

struct parked_call {
    std::string name;
    std::string body;
    http_responder respond;
    time_point due;
    bool is_watch = false;
};

// Calls that wait: watches for an event, others for the injected delay to pass.
struct parked_calls {
    std::atomic<std::uint64_t> received{
        0}; // a waiting watch counts once, however often it is tried
    std::mutex mutex;
    std::list<parked_call> calls;
};

bool has_events(const http_response& response) {
    const auto body = parse_json<json>(response.body);
    return response.status != 200 || (body && !body.value()["events"].empty());
}

// Answers the calls that are due, and watches that have events.
void serve_parked(store_memory& store, parked_calls& parked) {
    std::vector<std::pair<http_responder, http_response>> answers;
    {
        const std::lock_guard lock(parked.mutex);
        const auto now = steady_now();
        for (auto at = parked.calls.begin(); at != parked.calls.end();) {
            const bool due = now >= at->due;
            if (!due && !at->is_watch) {
                ++at;
                continue;
            }
            auto response = answer_store_call(store, at->name, at->body);
            if (!due && !has_events(response)) {
                ++at;
                continue;
            }
            answers.emplace_back(std::move(at->respond), std::move(response));
            at = parked.calls.erase(at);
        }
    }
    for (auto& [respond, response] : answers) {
        respond(std::move(response));
    }
}

// Sets the faults from {"unavailable": bool, "lose_replies": bool, "delay_ms": number}.
http_response set_faults(store_memory& store, const std::string& body) {
    const auto wanted = parse_json<json>(body);
    if (!wanted) {
        return error_response(wanted.error());
    }
    try {
        store.set_faults({wanted.value().value("unavailable", false),
                          wanted.value().value("lose_replies", false),
                          duration(wanted.value().value("delay_ms", std::int64_t{0}))});
    } catch (const json::exception& failure) {
        return error_response({error_kind::protocol_error, failure.what()});
    }
    return json_response(200, "{}");
}

duration watch_wait(const std::string& body) {
    const auto arguments = parse_json<json>(body);
    return duration(arguments && arguments.value().is_object()
                        ? arguments.value().value("wait_ms", std::int64_t{0})
                        : 0);
}

void handle(store_memory& store, parked_calls& parked, const http_request& request,
            const http_responder& respond) {
    constexpr std::string_view prefix = "/store/";
    if (request.path == "/faults") {
        respond(set_faults(store, request.body));
        return;
    }
    if (request.path == "/calls") {
        respond(json_response(200, json{{"calls", parked.received.load()}}.dump()));
        return;
    }
    if (!request.path.starts_with(prefix)) {
        respond(http_response{200, {}, "ok\n"});
        return;
    }
    ++parked.received;
    const std::string name = request.path.substr(prefix.size());
    const bool is_watch = name == "watch";
    const duration wait = is_watch ? watch_wait(request.body) : store.faults().delay;
    if (wait.count() == 0) {
        respond(answer_store_call(store, name, request.body));
        return;
    }
    const std::lock_guard lock(parked.mutex);
    parked.calls.push_back({name, request.body, respond, steady_now() + wait, is_watch});
}

int run(const socket_address& address) {
    store_memory store(steady_now);
    parked_calls parked;
    http_server_limits limits;
    limits.body_bytes = 4 * 1024 * 1024; // a value of 1 MiB, escaped as JSON text
    const auto server = http_server::start(
        {address, 2, limits}, [&](const http_request& request, const http_responder& respond) {
            handle(store, parked, request, respond);
        });
    if (!server) {
        spdlog::error("{}", server.error().detail);
        return exit_failure;
    }
    spdlog::info("store stand-in listens on {}", to_string(address));
    while (!stop_signal_arrived(poll_interval)) {
        serve_parked(store, parked);
    }
    return exit_ok;
}

} // namespace

} // namespace fulmar

int main(int argc, const char** argv) {
    using namespace fulmar;
    block_stop_signals();
    settings loaded;
    if (const auto code = start_daemon(argc, argv, "Stand-in for the platform's key-value service.",
                                       rows, loaded)) {
        return *code;
    }
    return run(address_setting(loaded, "store", "address"));
}
