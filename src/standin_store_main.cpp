// Stand-in for the platform's key-value service: serves the in-memory store over HTTP, with
// injected faults.
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

constexpr std::array rows{setting_spec{"store", "address", setting_kind::address, "", 0, 0,
                                       "address that it listens on"}};

constexpr duration poll_interval{50};

struct deferred_call {
    std::string name;
    std::string body;
    http_responder respond;
    time_point due;
    bool is_watch = false;
};

// Calls that are answered later: watches when an event occurs or their timeout passes, other calls
// after the injected delay.
struct deferred_calls {
    // A watch counts once, however often its events are checked.
    std::atomic<std::uint64_t> received{0};
    std::mutex mutex;
    std::list<deferred_call> calls;
};

bool has_events(const http_response& response) {
    const auto body = parse_json<json>(response.body);
    return response.status != 200 || (body && !body.value()["events"].empty());
}

// Answers the deferred calls that are due and the watches that have events.
void answer_deferred(store_memory& store, deferred_calls& deferred) {
    std::vector<std::pair<http_responder, http_response>> answers;
    {
        const std::lock_guard lock(deferred.mutex);
        const auto now = steady_now();
        for (auto at = deferred.calls.begin(); at != deferred.calls.end();) {
            const bool due = now >= at->due;
            if (!due && !at->is_watch) {
                ++at;
                continue;
            }
            auto response = handle_store_call(store, at->name, at->body);
            if (!due && !has_events(response)) {
                ++at;
                continue;
            }
            answers.emplace_back(std::move(at->respond), std::move(response));
            at = deferred.calls.erase(at);
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

// Returns how long a watch waits for an event, from its `wait_ms`; 0 if that is missing.
duration watch_timeout(const std::string& body) {
    const auto arguments = parse_json<json>(body);
    return duration(arguments && arguments.value().is_object()
                        ? arguments.value().value("wait_ms", std::int64_t{0})
                        : 0);
}

void handle(store_memory& store, deferred_calls& deferred, const http_request& request,
            const http_responder& respond) {
    constexpr std::string_view prefix = "/store/";
    if (request.path == "/faults") {
        respond(set_faults(store, request.body));
        return;
    }
    if (request.path == "/calls") {
        respond(json_response(200, json{{"calls", deferred.received.load()}}.dump()));
        return;
    }
    if (!request.path.starts_with(prefix)) {
        respond(http_response{200, {}, "ok\n"});
        return;
    }
    ++deferred.received;
    const std::string name = request.path.substr(prefix.size());
    const bool is_watch = name == "watch";
    const duration wait = is_watch ? watch_timeout(request.body) : store.faults().delay;
    if (wait.count() == 0) {
        respond(handle_store_call(store, name, request.body));
        return;
    }
    const std::lock_guard lock(deferred.mutex);
    deferred.calls.push_back({name, request.body, respond, steady_now() + wait, is_watch});
}

int run(const socket_address& address) {
    store_memory store(steady_now);
    deferred_calls deferred;
    http_server_limits limits;
    limits.body_bytes = 4 * 1024 * 1024; // room for a value of 1 MiB that is escaped as JSON text
    const auto server = http_server::start(
        {address, 2, limits}, [&](const http_request& request, const http_responder& respond) {
            handle(store, deferred, request, respond);
        });
    if (!server) {
        spdlog::error("{}", server.error().detail);
        return exit_failure;
    }
    spdlog::info("store stand-in listens on {}", to_string(address));
    while (!stop_signal_arrived(poll_interval)) {
        answer_deferred(store, deferred);
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
