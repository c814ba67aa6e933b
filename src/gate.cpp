#include "gate.hpp"

#include "fulmar/http_client.hpp"
#include "fulmar/records.hpp"
#include "fulmar/store_http.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <map>
#include <mutex>
#include <thread>

namespace fulmar {

namespace {

constexpr duration watch_wait{1'500};
constexpr duration retry_interval{500};

constexpr std::array rows{
    setting_row{"host", "name", setting_kind::text, "", 0, 0, "name of this host"},
    setting_row{"host", "data_centre", setting_kind::text, "", 0, 0, "data centre of this host"},
    setting_row{"host", "region", setting_kind::text, "", 0, 0, "region of this host"},
    setting_row{"callers", "address", setting_kind::address, "", 0, 0, "where callers connect"},
    setting_row{"callers", "default_deadline", setting_kind::duration, "5 s", 10, 600'000,
                "deadline of requests that carry none"},
    setting_row{"operator", "address", setting_kind::address, "127.0.0.1:0", 0, 0,
                "where metrics and health are served"},
    setting_row{"store", "address", setting_kind::address, "", 0, 0, "the platform's store"},
    setting_row{"store", "timeout", setting_kind::duration, "1 s", 10, 10'000,
                "longest wait for a store call"}};

struct endpoint_row {
    endpoint_record record;
    std::int64_t outstanding = 0;
};

struct gate {
    gate_settings options;
    metrics counters;
    http_client http;
    std::atomic<bool> stopping{false};
    std::atomic<std::int64_t> in_progress{0};
    std::mutex mutex;
    std::map<std::string, endpoint_row> endpoints; // by <service>/<id>
};

// Picks the endpoint of a service with the fewest outstanding requests, nearest first.
std::optional<std::pair<std::string, std::string>> pick_endpoint(gate& self,
                                                                 const std::string& service) {
    const std::lock_guard lock(self.mutex);
    endpoint_row* best = nullptr;
    const std::string* name = nullptr;
    const auto rank = [&](const endpoint_row& row) {
        return std::tuple{row.record.data_centre != self.options.data_centre,
                          row.record.region != self.options.region, row.outstanding};
    };
    const std::string prefix = service + "/";
    for (auto at = self.endpoints.lower_bound(prefix);
         at != self.endpoints.end() && at->first.starts_with(prefix); ++at) {
        if (at->second.record.state == endpoint_state::leaving) {
            continue;
        }
        if (best == nullptr || rank(at->second) < rank(*best)) {
            best = &at->second;
            name = &at->first;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->outstanding;
    return std::pair{*name, best->record.address};
}

http_response make_refusal(gate& self, std::string_view reason) {
    self.counters.count("fulmar_gate_refusals_total", reason);
    return {503, {{"Fulmar-Outcome", "not_run"}, {"Fulmar-Reason", std::string(reason)}}, ""};
}

void finish(gate& self, const std::string& endpoint, const http_call_result& outcome,
            const http_responder& respond) {
    {
        const std::lock_guard lock(self.mutex);
        if (const auto row = self.endpoints.find(endpoint); row != self.endpoints.end()) {
            --row->second.outstanding;
        }
    }
    if (outcome.response) {
        self.counters.count("fulmar_gate_answers_total");
        http_response answer{outcome.response.value().status,
                             {{"Fulmar-Outcome", "answered"}},
                             outcome.response.value().body};
        if (auto type = find_header(outcome.response.value().headers, "Content-Type")) {
            answer.headers.push_back({"Content-Type", *type});
        }
        respond(std::move(answer));
    } else if (!outcome.request_sent) {
        respond(make_refusal(self, "endpoint_unreachable"));
    } else {
        const auto reason = to_string(outcome.response.error().kind);
        self.counters.count("fulmar_gate_unknown_total", reason);
        respond({502, {{"Fulmar-Outcome", "unknown"}, {"Fulmar-Reason", std::string(reason)}}, ""});
    }
    --self.in_progress;
}

// Forwards /<service>/<path> to an endpoint of the service.
void forward(gate& self, const http_request& request, const http_responder& respond) {
    const auto slash = request.path.find('/', 1);
    const std::string service =
        request.path.substr(1, slash == std::string::npos ? slash : slash - 1);
    if (self.stopping) {
        respond(make_refusal(self, "shutting_down"));
        return;
    }
    const auto picked = pick_endpoint(self, service);
    if (!picked) {
        respond(make_refusal(self, "no_endpoint"));
        return;
    }
    ++self.in_progress;
    http_call call;
    call.method = request.method;
    call.url = "http://" + picked->second + request.path;
    call.body = request.body;
    call.timeout = self.options.default_deadline;
    call.fresh_connection = request.method != "GET";
    self.http.submit(std::move(call),
                     [&self, name = picked->first, respond](const http_call_result& outcome) {
                         finish(self, name, outcome, respond);
                     });
}

// Keeps the endpoint table in step with the platform's list.
void follow_endpoints(gate& self) {
    const auto store =
        make_store_http(self.http, self.options.store_address, self.options.store_timeout);
    const std::string prefix(endpoints_prefix);
    revision_number revision;
    const auto take = [&](const store_entry& entry) {
        const auto record = parse_endpoint_record(entry.value);
        if (record) {
            const std::lock_guard lock(self.mutex);
            self.endpoints[entry.key.substr(prefix.size())].record = record.value();
        }
    };
    while (!self.stopping) {
        if (revision.value == 0) {
            const auto listing = store->list(prefix);
            if (!listing) {
                std::this_thread::sleep_for(retry_interval);
                continue;
            }
            for (const auto& entry : listing.value().entries) {
                take(entry);
            }
            revision = listing.value().revision;
            continue;
        }
        const auto events = store->watch(prefix, revision, watch_wait);
        if (!events) {
            std::this_thread::sleep_for(retry_interval);
            continue;
        }
        for (const auto& event : events.value().events) {
            if (!event.deleted) {
                take(event.entry);
            }
        }
        revision = events.value().revision;
    }
}

} // namespace

std::span<const setting_row> gate_setting_rows() {
    return rows;
}

gate_settings parse_gate_settings(const settings& from) {
    gate_settings options;
    options.host = {text_setting(from, "host", "name")};
    options.data_centre = {text_setting(from, "host", "data_centre")};
    options.region = {text_setting(from, "host", "region")};
    options.caller_address = address_setting(from, "callers", "address");
    options.default_deadline = duration_setting(from, "callers", "default_deadline");
    options.operator_address = address_setting(from, "operator", "address");
    options.store_address = address_setting(from, "store", "address");
    options.store_timeout = duration_setting(from, "store", "timeout");
    return options;
}

int run_gate(const gate_settings& options) {
    gate self;
    self.options = options;
    const auto callers =
        http_server::start({options.caller_address, 2, {}},
                           [&self](const http_request& request, const http_responder& respond) {
                               forward(self, request, respond);
                           });
    const auto operators = http_server::start(
        {options.operator_address, 1, {}},
        [&self](const http_request& request, const http_responder& respond) {
            const auto standard = answer_operator_route(request, self.counters, !self.stopping);
            respond(standard.value_or(
                error_response({error_kind::not_found, "no such path: " + request.path})));
        });
    if (!callers || !operators) {
        spdlog::error("{}", !callers ? callers.error().detail : operators.error().detail);
        return exit_failure;
    }
    std::jthread follower([&self] { follow_endpoints(self); });
    spdlog::info("gate {} started", options.host.value);
    wait_for_stop_signal();
    self.stopping = true;
    while (self.in_progress > 0) {
        std::this_thread::sleep_for(duration(10));
    }
    spdlog::info("gate {} stopped", options.host.value);
    return exit_ok;
}

} // namespace fulmar
