// Stand-in for the platform's worker: serves the in-memory worker over HTTP and writes its record
// to the store.
#include "fulmar/daemon.hpp"
#include "fulmar/json.hpp"
#include "fulmar/records.hpp"
#include "fulmar/store_http.hpp"
#include "fulmar/worker_http.hpp"
#include "steady_clock.hpp"
#include "worker_memory.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <mutex>
#include <random>

namespace fulmar {

namespace {

constexpr std::array rows{
    setting_spec{"worker", "id", setting_kind::text, "", 0, 0, "name of this worker"},
    setting_spec{"worker", "address", setting_kind::address, "", 0, 0,
                 "address that it listens on"},
    setting_spec{"worker", "data_centre", setting_kind::text, "", 0, 0, "its data centre"},
    setting_spec{"worker", "cell", setting_kind::text, "", 0, 0, "its cell"},
    setting_spec{"worker", "rack", setting_kind::text, "rack-1", 0, 0, "its rack"},
    setting_spec{"worker", "processors", setting_kind::integer, "64000", 1, 1'000'000,
                 "thousandths of a core"},
    setting_spec{"worker", "memory", setting_kind::integer, "250000", 1, 100'000'000, "MiB"},
    setting_spec{"worker", "accelerators", setting_kind::integer, "0", 0, 64, "whole devices"},
    setting_spec{"worker", "first_boot", setting_kind::boolean, "yes", 0, 0,
                 "no: the machine may have run before, so it grants no lease for 10 s"},
    setting_spec{"store", "address", setting_kind::address, "", 0, 0, "the platform's store"}};

struct served_worker {
    std::mutex mutex;
    cell_worker_model model;
};

http_response answer_sync(served_worker& worker, const std::string& body) {
    const auto request = parse_sync_request(body);
    if (!request) {
        return error_response(request.error());
    }
    const std::lock_guard lock(worker.mutex);
    const auto reply = handle_sync(worker.model, request.value(), steady_now());
    return reply ? json_response(200, serialize_sync_reply(reply.value()))
                 : error_response(reply.error());
}

// Returns the running tasks and the number of starts, for tests and the demo.
http_response answer_state(served_worker& worker) {
    const std::lock_guard lock(worker.mutex);
    advance_worker(worker.model, steady_now());
    json running = json::array();
    for (const auto& [id, task] : worker.model.tasks) {
        if (task.report.state == task_state::running) {
            running.push_back({{"task", id}, {"attempt", task.report.attempt}});
        }
    }
    return json_response(200, json{{"starts", worker.model.starts}, {"running", running}}.dump());
}

// Writes the worker's record to the store, as the platform does for real workers. Retries until it
// succeeds; returns false if a stop signal arrives first.
bool register_worker(const settings& from, http_client& http) {
    const auto store =
        make_http_store_client(http, address_setting(from, "store", "address"), duration(2'000));
    const std::string key = std::string(workers_prefix) + text_setting(from, "worker", "id");
    const worker_record record{to_string(address_setting(from, "worker", "address")),
                               {text_setting(from, "worker", "cell")},
                               {text_setting(from, "worker", "data_centre")},
                               {text_setting(from, "worker", "rack")}};
    do {
        const auto present = store->get(key);
        if (!present) {
            continue;
        }
        const auto revision = present.value() ? present.value()->revision : revision_number{};
        if (write_and_confirm(*store, {key, serialize(record), revision, {}})) {
            return true;
        }
    } while (!stop_signal_arrived(duration(200)));
    return false;
}

cell_worker_model make_model(const settings& from) {
    cell_worker_model model;
    model.id = {text_setting(from, "worker", "id")};
    model.capacity = {{integer_setting(from, "worker", "processors")},
                      {integer_setting(from, "worker", "memory")},
                      {integer_setting(from, "worker", "accelerators")}};
    model.first_boot = boolean_setting(from, "worker", "first_boot");
    model.started = steady_now();
    model.incarnation = std::random_device()();
    return model;
}

int run(const settings& from) {
    served_worker worker;
    worker.model = make_model(from);
    const auto server =
        http_server::start({address_setting(from, "worker", "address"), 1, {}},
                           [&](const http_request& request, const http_responder& respond) {
                               if (request.path == "/worker/sync") {
                                   respond(answer_sync(worker, request.body));
                               } else {
                                   respond(answer_state(worker));
                               }
                           });
    if (!server) {
        spdlog::error("{}", server.error().detail);
        return exit_failure;
    }
    http_client http;
    if (!register_worker(from, http)) {
        return exit_ok;
    }
    spdlog::info("worker stand-in {} started", worker.model.id.value);
    while (!stop_signal_arrived(duration(100))) {
        const std::lock_guard lock(worker.mutex);
        advance_worker(worker.model, steady_now());
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
            start_daemon(argc, argv, "Stand-in for the platform's worker.", rows, loaded)) {
        return *code;
    }
    return run(loaded);
}
