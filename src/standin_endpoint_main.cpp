// Stand-in for an endpoint of a service: answers each request with its id, path and body. Faults
// are injected by the settings or by the request header Fulmar-Fault; Fulmar-Fault-Ms sets the wait
// of a fault.
#include "endpoint_model.hpp"
#include "fulmar/daemon.hpp"
#include "fulmar/json.hpp"
#include "fulmar/records.hpp"
#include "fulmar/store_http.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <spdlog/spdlog.h>

#include <array>
#include <charconv>
#include <deque>
#include <future>
#include <thread>

namespace fulmar {

namespace {

// Longest wait for requests in progress after the grace period of a shutdown.
constexpr duration drain_limit{20'000};
constexpr duration poll_interval{20};

constexpr std::array rows{
    setting_spec{"endpoint", "id", setting_kind::text, "", 0, 0, "name of this endpoint"},
    setting_spec{"endpoint", "service", setting_kind::text, "", 0, 0, "service that it belongs to"},
    setting_spec{"endpoint", "address", setting_kind::address, "", 0, 0,
                 "address that it listens on"},
    setting_spec{"endpoint", "data_centre", setting_kind::text, "", 0, 0, "its data centre"},
    setting_spec{"endpoint", "region", setting_kind::text, "", 0, 0, "its region"},
    setting_spec{"endpoint", "slots", setting_kind::integer, "8", 1, 10'000,
                 "requests that run at a time"},
    setting_spec{"endpoint", "queue", setting_kind::integer, "64", 0, 100'000,
                 "requests that wait for a slot; others are refused"},
    setting_spec{"endpoint", "service_time", setting_kind::duration, "0 ms", 0, 60'000,
                 "mean time that a request takes"},
    setting_spec{"endpoint", "service_time_kind", setting_kind::text, "fixed", 0, 0,
                 "fixed or exponential"},
    setting_spec{"endpoint", "seed", setting_kind::integer, "1", 0,
                 std::numeric_limits<std::int64_t>::max(), "seed of the service times"},
    setting_spec{"endpoint", "grace", setting_kind::duration, "2 s", 0, 60'000,
                 "time between the leaving record and the refusal of new requests on SIGTERM"},
    setting_spec{"faults", "fault", setting_kind::text, "none", 0, 0,
                 "none, die_before, die_during, die_after, truncate, pause, late, leaving, refuse"},
    setting_spec{"faults", "interval", setting_kind::integer, "1", 1, 1'000'000,
                 "every n-th request gets the fault"},
    setting_spec{"faults", "time", setting_kind::duration, "1 s", 0, 600'000,
                 "wait of the faults pause and late"},
    setting_spec{"store", "address", setting_kind::address, "", 0, 0, "the platform's store"}};

using stream_handle = std::shared_ptr<response_stream>;

struct arrival {
    http_request request;
    stream_handle stream;
    endpoint_fault fault = endpoint_fault::none;
    duration fault_time{0};
};

// The model, its queue and its timers. Only the thread of `io` accesses them.
struct endpoint {
    std::string id;
    duration fault_time{0};
    endpoint_model model;
    std::deque<arrival> waiting;
    asio::io_context io{1};
};

// Runs a function on the endpoint's thread after a delay.
void run_after(endpoint& self, std::chrono::microseconds delay, std::function<void()> step) {
    if (delay.count() == 0) {
        asio::post(self.io, std::move(step));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(self.io, delay);
    timer->async_wait([timer, step = std::move(step)](const asio::error_code& failed) {
        if (!failed) {
            step();
        }
    });
}

// Returns the request id: the value of Fulmar-Request-Id, or the last segment of the path if a gate
// didn't forward the header.
std::string request_id(const http_request& request) {
    const auto slash = request.path.rfind('/');
    const auto tail = slash == std::string::npos ? "" : request.path.substr(slash + 1);
    return find_header(request.headers, "Fulmar-Request-Id").value_or(tail);
}

http_response make_answer(const endpoint& self, const arrival& from) {
    const auto request = request_id(from.request);
    http_response answer =
        json_response(200, json{{"endpoint", self.id},
                                {"path", from.request.path},
                                {"request", request},
                                {"echo", from.request.body}}
                               .dump(-1, ' ', false, json::error_handler_t::replace));
    answer.headers.push_back({"Fulmar-Request-Id", request});
    answer.headers.push_back(
        {"Fulmar-Slots-Used", std::to_string(self.model.running + self.model.queued)});
    return answer;
}

http_response make_refusal(const endpoint& self, const char* reason) {
    return {503,
            {{"Fulmar-Outcome", "not_run"},
             {"Fulmar-Reason", reason},
             {"Fulmar-Slots-Used", std::to_string(self.model.running + self.model.queued)}},
            ""};
}

// Sends the headers and the first half of an answer's body, then passes the second half to `rest`.
void send_half(endpoint& self, const arrival& from, http_response answer,
               std::function<void(std::string)> rest) {
    from.stream->begin({answer.status, std::move(answer.headers), answer.body.size()});
    const auto half = answer.body.size() / 2;
    from.stream->write(answer.body.substr(0, half),
                       [&self, rest = std::move(rest), second = answer.body.substr(half)](bool) {
                           asio::post(self.io, [=] { rest(second); });
                       });
}

// Answers a request that has run, with its injected fault.
void send_answer(endpoint& self, const arrival& from) {
    auto answer = make_answer(self, from);
    const auto stream = from.stream;
    switch (from.fault) {
    case endpoint_fault::die_before:
        stream->abort();
        return;
    case endpoint_fault::die_during:
        stream->begin({answer.status, std::move(answer.headers), answer.body.size()});
        stream->abort();
        return;
    case endpoint_fault::truncate:
        send_half(self, from, std::move(answer), [stream](const std::string&) { stream->abort(); });
        return;
    case endpoint_fault::pause:
        send_half(self, from, std::move(answer), [&self, from](const std::string& second) {
            run_after(self, from.fault_time, [from, second] { from.stream->write(second, {}); });
        });
        return;
    case endpoint_fault::late:
        run_after(self, from.fault_time, [stream, answer] { stream->respond(answer); });
        return;
    case endpoint_fault::die_after:
        answer.headers.push_back({"Connection", "close"});
        break;
    case endpoint_fault::leaving:
        answer.headers.push_back({"Fulmar-Leaving", "1"});
        break;
    case endpoint_fault::none:
    case endpoint_fault::refuse:
        break;
    }
    stream->respond(std::move(answer));
}

// Runs a request that has a slot, then answers it and runs the next queued request.
void execute(endpoint& self, arrival next) {
    count_execution(self.model, request_id(next.request));
    const auto time = draw_service_time(self.model);
    run_after(self, time, [&self, next = std::move(next)] {
        const bool more = release_slot(self.model);
        send_answer(self, next);
        if (more) {
            auto waiting = std::move(self.waiting.front());
            self.waiting.pop_front();
            execute(self, std::move(waiting));
        }
    });
}

// Runs, queues or refuses an incoming request, or answers a query for the executions.
void handle_request(endpoint& self, arrival next) {
    const auto& headers = next.request.headers;
    if (next.request.path == "/executions") {
        next.stream->respond(json_response(200, json(self.model.executions).dump()));
        return;
    }
    const auto named = find_header(headers, "Fulmar-Fault");
    next.fault = pick_fault(self.model, named ? parse_endpoint_fault(*named) : std::nullopt);
    next.fault_time = self.fault_time;
    if (const auto text = find_header(headers, "Fulmar-Fault-Ms")) {
        std::int64_t wait = 0;
        std::from_chars(text->data(), text->data() + text->size(), wait);
        next.fault_time = std::clamp(duration(wait), duration(0), duration(600'000));
    }
    if (next.fault == endpoint_fault::refuse) {
        next.stream->respond(make_refusal(self, "injected"));
        return;
    }
    switch (admit_request(self.model)) {
    case admission::run:
        execute(self, std::move(next));
        return;
    case admission::wait:
        self.waiting.push_back(std::move(next));
        return;
    case admission::refuse:
        next.stream->respond(
            make_refusal(self, self.model.refusing ? "shutting_down" : "queue_full"));
        return;
    }
}

// Writes the endpoint's record to the store, as the platform does for real endpoints. Retries until
// it succeeds, a stop signal arrives or `attempts` are used up; returns whether it succeeded.
bool register_endpoint(const settings& from, std::uint16_t port, endpoint_state state,
                       std::uint64_t incarnation, int attempts) {
    http_client http;
    const auto store =
        make_http_store_client(http, address_setting(from, "store", "address"), duration(2'000));
    const std::string key = std::string(endpoints_prefix) +
                            text_setting(from, "endpoint", "service") + "/" +
                            text_setting(from, "endpoint", "id");
    auto address = address_setting(from, "endpoint", "address");
    address.port = port;
    const endpoint_record record{to_string(address),
                                 {text_setting(from, "endpoint", "data_centre")},
                                 {text_setting(from, "endpoint", "region")},
                                 state,
                                 incarnation,
                                 integer_setting(from, "endpoint", "slots")};
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto present = store->get(key);
        if (present) {
            const auto revision = present.value() ? present.value()->revision : revision_number{};
            if (write_and_confirm(*store, {key, serialize(record), revision, {}})) {
                return true;
            }
        }
        if (stop_signal_arrived(duration(200))) {
            return false;
        }
    }
    return false;
}

// Runs a function on the endpoint's thread, waits for it and returns its value.
template <class Function>
auto run_on_io_thread(endpoint& self, Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto answer = task.get_future();
    asio::post(self.io, [&task] { task(); });
    return answer.get();
}

// Shuts down: stores the state `leaving`, serves requests during the grace period, then refuses new
// ones and waits for those in progress.
void shut_down(const settings& from, endpoint& self, const http_server& server,
               std::uint64_t incarnation) {
    constexpr int attempts = 5;
    if (!register_endpoint(from, server.port(), endpoint_state::leaving, incarnation, attempts)) {
        spdlog::warn("endpoint stand-in {} could not store its state 'leaving'", self.id);
    }
    std::this_thread::sleep_for(duration_setting(from, "endpoint", "grace"));
    run_on_io_thread(self, [&] { self.model.refusing = true; });
    for (duration waited{0}; waited < drain_limit; waited += poll_interval) {
        if (server.requests_in_progress() == 0) {
            break;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

// Initialises the model from the settings. Returns false if the service time kind or the fault is
// unknown.
bool fill_model(const settings& from, endpoint& self) {
    self.id = text_setting(from, "endpoint", "id");
    self.fault_time = duration_setting(from, "faults", "time");
    self.model.slots = integer_setting(from, "endpoint", "slots");
    self.model.queue_limit = integer_setting(from, "endpoint", "queue");
    self.model.service_time = duration_setting(from, "endpoint", "service_time");
    self.model.random.seed(static_cast<std::uint64_t>(integer_setting(from, "endpoint", "seed")));
    self.model.fault_interval =
        static_cast<std::uint64_t>(integer_setting(from, "faults", "interval"));
    const auto kind = text_setting(from, "endpoint", "service_time_kind");
    const auto fault = parse_endpoint_fault(text_setting(from, "faults", "fault"));
    if ((kind != "fixed" && kind != "exponential") || !fault) {
        return false;
    }
    self.model.kind = kind == "fixed" ? service_time_kind::fixed : service_time_kind::exponential;
    self.model.default_fault = *fault;
    return true;
}

int run(const settings& from) {
    endpoint self;
    if (!fill_model(from, self)) {
        std::fprintf(stderr, "%s: [endpoint] service_time_kind or [faults] fault: unknown name\n",
                     from.file.c_str());
        return exit_usage;
    }
    auto work = asio::make_work_guard(self.io);
    std::jthread thread([&self] { self.io.run(); });
    auto server = http_server::start_streaming(
        {address_setting(from, "endpoint", "address"), 2, {}},
        [&](http_request request, const stream_handle& stream) {
            asio::post(self.io, [&self, next = arrival{std::move(request), stream}]() mutable {
                handle_request(self, std::move(next));
            });
        });
    if (!server) {
        spdlog::error("{}", server.error().detail);
        self.io.stop();
        return exit_failure;
    }
    const std::uint16_t port = server.value()->port();
    const std::uint64_t incarnation = std::random_device()();
    constexpr int attempts = std::numeric_limits<int>::max();
    if (register_endpoint(from, port, endpoint_state::live, incarnation, attempts)) {
        spdlog::info("endpoint stand-in {} listens on port {}", self.id, port);
        wait_for_stop_signal();
        shut_down(from, self, *server.value(), incarnation);
    }
    server.value()->stop();
    self.io.stop();
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
