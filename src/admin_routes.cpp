#include "admin_routes.hpp"

#include "resource_fields.hpp"
#include "resource_status.hpp"
#include "resources_api.hpp"

#include <array>
#include <charconv>

namespace fulmar {

namespace {

constexpr std::string_view api_prefix = "/v1/";
constexpr std::string_view config_prefix = "config/";
constexpr std::size_t key_limit = 200;
constexpr std::size_t page_limit = 1'000;
constexpr std::size_t page_default = 100;
// Longest wait of a watch. Must stay below the server's time limit for a request, at which the
// server closes the connection.
constexpr std::int64_t wait_limit_ms = 30'000;

// One request with its sender and the segments of its path after /v1/.
struct call_context {
    admin_api& api;
    const http_request& request;
    principal requester;
    std::vector<std::string> parts;
    const resource_collection* collection = nullptr;
};

std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> parts;
    while (!path.empty()) {
        const auto end = std::min(path.find('/'), path.size());
        parts.emplace_back(path.substr(0, end));
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return parts;
}

result<std::uint64_t> parse_whole_number(std::string_view name, std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (problem != std::errc{} || end != text.data() + text.size()) {
        return error{error_kind::invalid_argument, std::string(name) + ": expected a whole number"};
    }
    return number;
}

// Reads a number from the query. Returns `otherwise` if the parameter is absent.
result<std::uint64_t> query_number(const http_request& request, std::string_view name,
                                   std::uint64_t otherwise) {
    const auto text = find_query(request.query, name);
    return text ? parse_whole_number(name, *text) : result<std::uint64_t>(otherwise);
}

// Reads the expected revision from the header If-Match, which may be quoted, or from the field
// `revision`, which is removed from the document. Returns invalid_argument if the two differ.
result<std::optional<revision_number>> extract_condition(const http_request& request,
                                                         json& document) {
    std::optional<revision_number> condition;
    if (auto header = find_header(request.headers, "If-Match")) {
        if (header->size() >= 2 && header->front() == '"' && header->back() == '"') {
            header = header->substr(1, header->size() - 2);
        }
        BOOST_OUTCOME_TRY(number, parse_whole_number("If-Match", *header));
        condition = revision_number{number};
    }
    if (const auto field = document.find("revision"); field != document.end()) {
        if (!field->is_number_unsigned()) {
            return error{error_kind::invalid_argument, "revision: expected a whole number"};
        }
        const revision_number number{field->get<std::uint64_t>()};
        if (condition && *condition != number) {
            return error{error_kind::invalid_argument, "revision: differs from If-Match"};
        }
        condition = number;
        document.erase(field);
    }
    return condition;
}

// Builds the change request from the headers, the query and the document's revision.
result<change_request> make_change(const call_context& call, std::string_view verb,
                                   json& document) {
    change_request change;
    change.requester = call.requester;
    change.action = std::string(verb) + " " + call.request.path.substr(api_prefix.size());
    change.now_unix_ms = call.api.unix_ms();
    BOOST_OUTCOME_TRY(condition, extract_condition(call.request, document));
    change.if_match = condition;
    const auto dry_run = find_query(call.request.query, "dry_run");
    change.dry_run = dry_run && *dry_run != "false";
    const auto key = find_header(call.request.headers, "Idempotency-Key");
    if (key && (key->empty() || key->size() > key_limit)) {
        return error{error_kind::invalid_argument, "Idempotency-Key: expected 1 to 200 characters"};
    }
    change.has_idempotency_key = key.has_value() && !change.dry_run;
    change.id = key ? make_request_id(call.requester, *key) : call.api.make_id();
    // The expected revision is part of the fingerprint, whether it came from the header or the
    // body.
    change.fingerprint = make_fingerprint(
        call.request.method, call.request.path,
        condition ? std::to_string(condition->value) : std::string_view(), document.dump());
    return change;
}

http_response reply(int status, const json& body) {
    return json_response(status, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

http_response reply(const result<json>& found) {
    return found ? reply(200, found.value()) : error_response(found.error());
}

// Formats the response to a change. A repeated request gets the same body and the additional header
// Fulmar-Replayed.
http_response format_change_response(const change_request& change,
                                     const result<applied_change>& done, int status) {
    if (!done) {
        return error_response(done.error());
    }
    json body{
        {"revision", done.value().revision}, {"request", change.id}, {"key", done.value().key}};
    if (status == 202) {
        body["state"] = "accepted";
    }
    const auto record = parse_json<json>(done.value().value);
    for (const auto* const field : {"cell", "generation", "state"}) {
        if (record && record.value().is_object() && record.value().contains(field)) {
            body[field] = record.value().at(field);
        }
    }
    if (change.dry_run) {
        body["dry_run"] = true;
    }
    auto response = reply(status, body);
    if (done.value().replayed) {
        response.headers.push_back({"Fulmar-Replayed", "1"});
    }
    return response;
}

cell_chooser make_chooser(const call_context& call) {
    return [&api = call.api](const job_record& job) -> result<cell_id> {
        BOOST_OUTCOME_TRY(candidates, collect_cell_candidates(api.store, api.fetch_status));
        return choose_cell(job, candidates);
    };
}

// --- Handlers of collections

using change_function = std::function<result<applied_change>(const change_request&, const json&)>;

http_response handle_change(const call_context& call, std::string_view verb, int status,
                            const change_function& perform) {
    json document = json::object();
    if (!call.request.body.empty()) {
        auto parsed = parse_json_object(call.request.body);
        if (!parsed) {
            return error_response(parsed.error());
        }
        document = std::move(parsed.value());
    }
    const auto change = make_change(call, verb, document);
    if (!change) {
        return error_response(change.error());
    }
    return format_change_response(change.value(), perform(change.value(), document), status);
}

http_response handle_list(const call_context& call) {
    const auto limit = query_number(call.request, "limit", page_default);
    if (!limit || limit.value() == 0 || limit.value() > page_limit) {
        return error_response({error_kind::invalid_argument, "limit: expected 1 to 1000"});
    }
    const page_request page{find_query(call.request.query, "after").value_or(""), limit.value()};
    return reply(list_resources(call.api.store, call.requester, *call.collection, page));
}

http_response handle_describe(const call_context& call) {
    return reply(describe_resource(call.api.store, call.requester, *call.collection, call.parts[1],
                                   call.api.fetch_status));
}

http_response handle_create(const call_context& call) {
    return handle_change(call, "create", 200, [&](const change_request& change, const json& in) {
        return create_resource(call.api.store, change, *call.collection, call.parts[1], in,
                               make_chooser(call));
    });
}

http_response handle_put(const call_context& call) {
    return handle_change(call, "change", 200, [&](const change_request& change, const json& in) {
        return put_resource(call.api.store, change, *call.collection, call.parts[1], in,
                            make_chooser(call));
    });
}

http_response handle_delete(const call_context& call) {
    return handle_change(call, "delete", 200, [&](const change_request& change, const json&) {
        return delete_resource(call.api.store, change, *call.collection, call.parts[1]);
    });
}

http_response handle_cancel(const call_context& call) {
    return handle_change(call, "cancel", 202, [&](const change_request& change, const json&) {
        return cancel_job(call.api.store, change, *call.collection, call.parts[1]);
    });
}

// --- Handlers of the configuration

http_response handle_get_config(const call_context& call) {
    return reply(get_config(call.api.store));
}

http_response handle_put_config(const call_context& call) {
    // The body is the configuration itself, so only the header can name the expected revision.
    json none = json::object();
    auto change = make_change(call, "change", none);
    if (!change) {
        return error_response(change.error());
    }
    change.value().fingerprint =
        make_fingerprint(call.request.method, change.value().fingerprint, "", call.request.body);
    return format_change_response(
        change.value(), put_config(call.api.store, change.value(), call.request.body), 200);
}

http_response handle_rollout(const call_context& call) {
    const std::lock_guard lock(call.api.seen_mutex);
    return reply(describe_rollout(call.api.store, call.api.seen, call.api.unix_ms()));
}

struct route_row {
    std::string_view method;
    std::string_view path; // segments; "*" matches a collection, "?" any name
    http_response (*handle)(const call_context&);
};

constexpr std::array routes{
    route_row{"GET", "config", handle_get_config}, route_row{"PUT", "config", handle_put_config},
    route_row{"GET", "rollout", handle_rollout},   route_row{"GET", "*", handle_list},
    route_row{"GET", "*/?", handle_describe},      route_row{"POST", "*/?", handle_create},
    route_row{"PUT", "*/?", handle_put},           route_row{"DELETE", "*/?", handle_delete},
    route_row{"POST", "*/?/cancel", handle_cancel}};

bool matches(const route_row& row, const call_context& call) {
    const auto parts = split_path(row.path);
    if (parts.size() != call.parts.size()) {
        return false;
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const bool fits = parts[i] == "?" || (parts[i] == "*" && call.collection != nullptr) ||
                          parts[i] == call.parts[i];
        if (!fits) {
            return false;
        }
    }
    return true;
}

http_response dispatch(const call_context& call) {
    bool path_exists = false;
    for (const auto& row : routes) {
        if (!matches(row, call)) {
            continue;
        }
        path_exists = true;
        if (row.method == call.request.method) {
            return row.handle(call);
        }
    }
    if (path_exists) {
        return json_response(405, R"({"error":"invalid_argument","detail":"method not allowed"})");
    }
    return error_response({error_kind::not_found, "no such path"});
}

// --- Watches

// Formats an event of a collection for one principal. Returns nothing if the principal may not see
// it.
std::optional<json> format_event(const principal& requester, const resource_collection& collection,
                                 const store_event& event) {
    const auto name = event.entry.key.substr(collection.prefix.size());
    const json removed{{"deleted", true},
                       {"collection", collection.name},
                       {"name", name},
                       {"revision", event.entry.revision}};
    if (event.deleted) {
        const bool visible = collection.prefix != teams_prefix || may_see(requester, {name});
        return visible ? std::optional(removed) : std::nullopt;
    }
    if (collection.prefix == jobs_prefix) {
        const auto record = parse_job_record(event.entry.value);
        if (record && record.value().deleted && may_see(requester, record.value().team) &&
            (!collection.kind || *collection.kind == record.value().kind)) {
            return removed;
        }
    }
    return format_resource(requester, collection, event.entry);
}

std::optional<json> format_config_event(const store_event& event) {
    const auto record = parse_config_record(event.entry.value);
    if (event.deleted || !record) {
        return std::nullopt;
    }
    return json{{"collection", "config"},
                {"name", "current"},
                {"revision", event.entry.revision},
                {"generation", record.value().generation},
                {"document", record.value().document},
                {"changed_by", record.value().accepted_by}};
}

void handle_watch(const call_context& call, const http_responder& respond) {
    // Step 1: find the watched collection, or the configuration.
    const bool is_config = call.parts.size() == 2 && call.parts[1] == "config";
    const auto* const collection =
        call.parts.size() == 2 ? find_collection(call.parts[1]) : nullptr;
    if (call.request.method != "GET" || (collection == nullptr && !is_config)) {
        respond(error_response({error_kind::not_found, "no such watch"}));
        return;
    }

    // Step 2: read the start revision and the longest wait.
    const auto after = query_number(call.request, "after", 0);
    const auto wait = query_number(call.request, "wait_ms", wait_limit_ms);
    if (!after || !wait) {
        respond(error_response(after ? wait.error() : after.error()));
        return;
    }
    const auto now = call.api.now();
    const duration limit(std::min<std::uint64_t>(wait.value(), wait_limit_ms));

    // Step 3: start the watch, which responds when events arrive or the wait ends.
    event_format format = [requester = call.requester, collection](const store_event& event) {
        return collection == nullptr ? format_config_event(event)
                                     : format_event(requester, *collection, event);
    };
    auto& watch =
        *call.api.watches.find(collection == nullptr ? config_prefix : collection->prefix)->second;
    watch.wait(call.api.store, {after.value()}, now, now + limit, std::move(format),
               [respond](const result<watch_page>& page) {
                   respond(page ? reply(200, {{"events", page.value().events},
                                              {"revision", page.value().revision}})
                                : error_response(page.error()));
               });
}

void count_refusal(metrics& counters, const http_response& response) {
    if (response.status >= 400) {
        counters.count("fulmar_admin_refusals_total",
                       to_string(parse_error_response(response).kind));
    }
}

} // namespace

void add_watches(admin_api& api, const watch_limits& limits) {
    for (const auto prefix : {jobs_prefix, data_centres_prefix, teams_prefix, config_prefix}) {
        api.watches.emplace(
            prefix, std::make_unique<prefix_watch>(std::string(prefix), limits, api.counters));
    }
}

void answer_admin(admin_api& api, const http_request& request, const http_responder& respond) {
    const auto respond_counted = [&counters = api.counters, respond](http_response response) {
        count_refusal(counters, response);
        respond(std::move(response));
    };
    const auto requester = authenticate(api.tokens, request.headers);
    if (!requester) {
        respond_counted(error_response(requester.error()));
        return;
    }
    if (!request.path.starts_with(api_prefix)) {
        respond_counted(error_response({error_kind::not_found, "no such path"}));
        return;
    }
    call_context call{api, request, requester.value(),
                      split_path(std::string_view(request.path).substr(api_prefix.size()))};
    if (call.parts.empty()) {
        respond_counted(error_response({error_kind::not_found, "no such path"}));
        return;
    }
    call.collection = find_collection(call.parts.front());
    try {
        if (call.parts.front() == "watch") {
            handle_watch(call, respond_counted);
        } else {
            respond_counted(dispatch(call));
        }
    } catch (const json::exception& failure) {
        // The cause is a damaged record or status. A write may already have been sent, so the
        // outcome of a change is unknown.
        const bool read = request.method == "GET";
        respond_counted(error_response(
            {read ? error_kind::unavailable : error_kind::outcome_unknown, failure.what()}));
    }
}

} // namespace fulmar
