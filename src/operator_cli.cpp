#include "operator_cli.hpp"

#include "resource_fields.hpp"

#include <algorithm>
#include <array>
#include <iomanip>

namespace fulmar {

namespace {

// A change whose reply was lost is repeated under the same key; the API then returns its outcome.
constexpr int max_change_attempts = 3;
// Must be longer than the longest wait of a watch.
constexpr duration call_timeout{40'000};
constexpr std::string_view default_collection = "jobs";
constexpr std::string_view watch_wait_query = "&wait_ms=20000";

struct exit_row {
    error_kind kind;
    cli_exit code;
};

constexpr std::array exit_rows{exit_row{error_kind::conflict, cli_conflict},
                               exit_row{error_kind::outcome_unknown, cli_outcome_unknown},
                               exit_row{error_kind::timeout, cli_outcome_unknown},
                               exit_row{error_kind::unavailable, cli_unavailable},
                               exit_row{error_kind::invalid_argument, cli_failure}};

struct command_context {
    const cli_request& request;
    const cli_transport& transport;
    std::ostream& out;
    std::ostream& errors;
};

int print_error(const command_context& context, const error& failure) {
    context.errors << "fulmarctl: " << to_string(failure.kind) << ": " << failure.detail << "\n";
    return exit_code_of(failure.kind);
}

// Makes a call and parses its JSON response. An error response is returned as an error, and a
// response that the API doesn't send, such as the error page of a proxy, as outcome_unknown.
result<json> call_api(const command_context& context, const std::string& method,
                      const std::string& path, const std::vector<http_header>& headers,
                      const std::string& body) {
    constexpr int first_server_error = 500;
    const auto response = context.transport(method, path, headers, body);
    result<json> answer = json();
    if (!response) {
        answer = response.error();
    } else if (response.value().status < 200 || response.value().status > 299) {
        answer = parse_error_response(response.value());
    } else {
        answer = parse_json<json>(response.value().body);
    }
    // The API's own protocol_error and its refusals without a body have lower statuses.
    const bool refused =
        response && response.value().status >= 300 && response.value().status < first_server_error;
    if (!answer && !refused && answer.error().kind == error_kind::protocol_error) {
        return error{error_kind::outcome_unknown, answer.error().detail};
    }
    return answer;
}

// Makes a read-only call. A lost reply is returned as unavailable instead of outcome_unknown,
// because nothing was changed.
result<json> read_api(const command_context& context, const std::string& path) {
    auto answer = call_api(context, "GET", path, {}, "");
    if (!answer && exit_code_of(answer.error().kind) == cli_outcome_unknown) {
        return error{error_kind::unavailable, answer.error().detail};
    }
    return answer;
}

std::string with_dry_run(const command_context& context, const std::string& path) {
    return context.request.dry_run ? path + "?dry_run=true" : path;
}

// Makes a change. After a lost reply, repeats the request under its key to learn the outcome.
result<json> change_api(const command_context& context, const std::string& method,
                        const std::string& path, const std::string& body,
                        const std::string& revision) {
    std::vector<http_header> headers{{"Idempotency-Key", context.request.key}};
    if (!revision.empty()) {
        headers.push_back({"If-Match", revision});
    }
    bool may_be_applied = false;
    auto answer = call_api(context, method, with_dry_run(context, path), headers, body);
    for (int i = 1; i < max_change_attempts && !answer; ++i) {
        if (exit_code_of(answer.error().kind) != cli_outcome_unknown) {
            break;
        }
        may_be_applied = true;
        answer = call_api(context, method, with_dry_run(context, path), headers, body);
    }
    // If the repetition did not reach the API, or the API could not read the stored state, the
    // outcome of the earlier request stays unknown.
    if (may_be_applied && !answer &&
        (answer.error().kind == error_kind::unavailable ||
         answer.error().kind == error_kind::protocol_error)) {
        return error{error_kind::outcome_unknown, answer.error().detail};
    }
    return answer;
}

// --- Tables

std::string format_table_cell(const json& row, std::string_view pointer) {
    const json::json_pointer at{std::string(pointer)};
    if (!row.contains(at)) {
        return "-";
    }
    const auto& value = row.at(at);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

struct column {
    std::string_view title;
    std::string_view pointer;
};

constexpr std::array job_columns{column{"NAME", "/name"},        column{"KIND", "/spec/kind"},
                                 column{"TEAM", "/spec/team"},   column{"CELL", "/spec/cell"},
                                 column{"TASKS", "/spec/tasks"}, column{"CANCELLED", "/cancelled"},
                                 column{"REVISION", "/revision"}};
constexpr std::array data_centre_columns{column{"NAME", "/name"}, column{"STATE", "/spec/state"},
                                         column{"CHANGED BY", "/changed_by"},
                                         column{"REVISION", "/revision"}};
constexpr std::array team_columns{
    column{"NAME", "/name"}, column{"PROCESSORS", "/spec/quota/processors"},
    column{"MEMORY", "/spec/quota/memory"}, column{"ACCELERATORS", "/spec/quota/accelerators"},
    column{"REVISION", "/revision"}};
constexpr std::array member_columns{column{"INSTANCE", "/instance"}, column{"PROGRAM", "/program"},
                                    column{"DATA CENTRE", "/data_centre"},
                                    column{"GENERATION", "/generation"}, column{"STATE", "/state"}};

void print_table(std::ostream& out, std::span<const column> columns, const json& rows) {
    std::vector<std::size_t> widths;
    for (const auto& c : columns) {
        std::size_t width = c.title.size();
        for (const auto& row : rows) {
            width = std::max(width, format_table_cell(row, c.pointer).size());
        }
        widths.push_back(width);
    }
    const auto print_row = [&](const std::function<std::string(const column&)>& text) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            const bool last = i + 1 == columns.size();
            out << std::left << std::setw(last ? 0 : static_cast<int>(widths[i] + 2))
                << text(columns[i]);
        }
        out << "\n";
    };
    print_row([](const column& c) { return std::string(c.title); });
    for (const auto& row : rows) {
        print_row([&](const column& c) { return format_table_cell(row, c.pointer); });
    }
}

std::span<const column> columns_of(const std::string& collection) {
    if (collection == "data-centres") {
        return data_centre_columns;
    }
    if (collection == "teams") {
        return team_columns;
    }
    return job_columns;
}

// Prints an object as one line per value, with the path of each value.
void print_lines(std::ostream& out, const json& value, const std::string& path) {
    if (value.is_object() && !value.empty()) {
        for (const auto& [name, inner] : value.items()) {
            std::string inner_path = path;
            inner_path += path.empty() ? "" : ".";
            inner_path += name;
            print_lines(out, inner, inner_path);
        }
        return;
    }
    out << path << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
}

int print_answer(const command_context& context, const result<json>& answer) {
    if (!answer) {
        return print_error(context, answer.error());
    }
    if (context.request.as_json) {
        context.out << answer.value().dump() << "\n";
    } else {
        print_lines(context.out, answer.value(), "");
    }
    return cli_ok;
}

// --- Commands. `words` are the arguments after the verb.

using word_list = std::vector<std::string>;

// Splits "collection name" or "name"; the default collection is jobs.
std::pair<std::string, std::string> parse_resource_words(const word_list& words) {
    return words.size() >= 2 ? std::pair{words[0], words[1]}
                             : std::pair{std::string(default_collection), words[0]};
}

std::string resource_path(const word_list& words) {
    const auto [collection, name] = parse_resource_words(words);
    return "/v1/" + collection + "/" + name;
}

int run_submit(const command_context& context, const word_list& words) {
    return print_answer(context, change_api(context, "POST", resource_path(words),
                                            context.request.body, context.request.revision));
}

// Reads all pages and prints them as one table or one JSON object.
int run_list(const command_context& context, const std::string& collection) {
    json items = json::array();
    json answer;
    std::string after;
    do {
        auto page = read_api(context, "/v1/" + collection + "?limit=500&after=" + after);
        if (!page) {
            return print_error(context, page.error());
        }
        if (answer.is_null()) {
            // A watch from the first page's revision includes changes made between the pages.
            answer = json{{"revision", page.value().value("revision", 0)}};
        }
        for (auto& item : page.value()["items"]) {
            items.push_back(std::move(item));
        }
        after = page.value().value("next", "");
    } while (!after.empty());
    if (context.request.as_json) {
        answer["items"] = std::move(items);
        context.out << answer.dump() << "\n";
    } else {
        print_table(context.out, columns_of(collection), items);
    }
    return cli_ok;
}

bool is_collection(const std::string& word) {
    constexpr std::array names{"jobs",         "services", "batch-jobs", "standing-watches",
                               "data-centres", "teams"};
    return std::find(names.begin(), names.end(), word) != names.end();
}

// "get COLLECTION" lists a collection; "get [COLLECTION] NAME" prints one resource as JSON.
int run_get(const command_context& context, const word_list& words) {
    if (words.size() == 1 && is_collection(words[0])) {
        return run_list(context, words[0]);
    }
    const auto answer = read_api(context, resource_path(words));
    if (!answer) {
        return print_error(context, answer.error());
    }
    context.out << answer.value().dump(context.request.as_json ? -1 : 2) << "\n";
    return cli_ok;
}

int run_describe(const command_context& context, const word_list& words) {
    return print_answer(context, read_api(context, resource_path(words)));
}

int run_delete(const command_context& context, const word_list& words) {
    return print_answer(
        context, change_api(context, "DELETE", resource_path(words), "", context.request.revision));
}

int run_cancel(const command_context& context, const word_list& words) {
    return print_answer(context, change_api(context, "POST", resource_path(words) + "/cancel", "",
                                            context.request.revision));
}

int set_data_centre_state(const command_context& context, const std::string& name,
                          const char* state) {
    return print_answer(context,
                        change_api(context, "PUT", "/v1/data-centres/" + name,
                                   json{{"state", state}}.dump(), context.request.revision));
}

int run_drain(const command_context& context, const word_list& words) {
    return set_data_centre_state(context, words[0], "draining");
}

int run_resume(const command_context& context, const word_list& words) {
    return set_data_centre_state(context, words[0], "in");
}

// Applies an object {"collection", "name", "revision", "spec"}, in the form that get prints.
int run_apply(const command_context& context, const word_list&) {
    const auto manifest = parse_json_object(context.request.body);
    if (!manifest) {
        context.errors << "fulmarctl: --file: " << manifest.error().detail << "\n";
        return cli_usage;
    }
    const auto& from = manifest.value();
    const bool complete = from.contains("collection") && from["collection"].is_string() &&
                          from.contains("name") && from["name"].is_string() &&
                          from.contains("spec") && from["spec"].is_object();
    if (!complete) {
        context.errors << "fulmarctl: --file: expected collection, name and spec\n";
        return cli_usage;
    }
    std::string revision = context.request.revision;
    if (revision.empty() && from.contains("revision")) {
        revision = from["revision"].dump();
    }
    return print_answer(context, change_api(context, "PUT",
                                            "/v1/" + from["collection"].get<std::string>() + "/" +
                                                from["name"].get<std::string>(),
                                            from["spec"].dump(), revision));
}

int run_config(const command_context& context, const word_list& words) {
    if (words[0] == "get") {
        return print_answer(context, read_api(context, "/v1/config"));
    }
    if (words[0] == "set") {
        return print_answer(context, change_api(context, "PUT", "/v1/config", context.request.body,
                                                context.request.revision));
    }
    context.errors << "fulmarctl: expected config get or config set --file FILE\n";
    return cli_usage;
}

int run_rollout(const command_context& context, const word_list&) {
    const auto answer = read_api(context, "/v1/rollout");
    if (!answer || context.request.as_json) {
        return print_answer(context, answer);
    }
    const auto& rollout = answer.value();
    context.out << "generation " << rollout.value("generation", 0) << ": "
                << (rollout.value("complete", false) ? "in force everywhere" : "not yet everywhere")
                << "\n";
    json rows = rollout.value("members", json::array());
    for (const auto& row : rollout.value("gone", json::array())) {
        rows.push_back(row);
    }
    print_table(context.out, member_columns, rows);
    return cli_ok;
}

// Prints each change of a collection after --revision, or after the present revision if that is not
// given.
int run_watch(const command_context& context, const word_list& words) {
    std::string after = context.request.revision;
    for (int pages = 0; context.request.watch_pages == 0 || pages < context.request.watch_pages;) {
        // Step 1: without a revision to continue from, read the collection's present one.
        if (after.empty()) {
            const auto listing = read_api(context, "/v1/" + words[0] + "?limit=1");
            if (!listing) {
                return print_error(context, listing.error());
            }
            after = listing.value().at("revision").dump();
        }

        // Step 2: wait for changes. If the revision is too old for the history, continue from the
        // present state.
        const auto page = read_api(context, "/v1/watch/" + words[0] + "?after=" + after +
                                                std::string(watch_wait_query));
        if (!page && page.error().kind == error_kind::expired) {
            context.errors << "fulmarctl: changes were missed; continuing from the present state\n";
            after.clear();
            ++pages;
            continue;
        }
        if (!page) {
            const int code = print_error(context, page.error());
            context.errors << "fulmarctl: continue with --revision " << after << "\n";
            return code;
        }
        ++pages;
        after = page.value().at("revision").dump();
        for (const auto& event : page.value().at("events")) {
            if (context.request.as_json) {
                context.out << event.dump() << "\n";
            } else {
                context.out << format_table_cell(event, "/revision") << "  "
                            << format_table_cell(event, "/name") << "  "
                            << (event.value("deleted", false) ? "deleted"
                                                              : format_table_cell(event, "/spec"))
                            << "\n";
            }
        }
        context.out.flush();
    }
    return cli_ok;
}

struct command_row {
    std::string_view verb;
    std::size_t min_arguments;
    std::size_t max_arguments;
    bool needs_file;
    int (*run)(const command_context&, const word_list&);
    std::string_view help;
};

constexpr std::array commands{
    command_row{"submit", 1, 2, true, run_submit, "[COLLECTION] NAME --file FILE: create a job"},
    command_row{"apply", 0, 0, true, run_apply, "--file FILE: create or change a resource"},
    command_row{"get", 1, 2, false, run_get, "COLLECTION | [COLLECTION] NAME: list or show"},
    command_row{"describe", 1, 2, false, run_describe, "[COLLECTION] NAME: show status"},
    command_row{"delete", 2, 2, false, run_delete, "COLLECTION NAME"},
    command_row{"cancel", 1, 2, false, run_cancel, "[COLLECTION] NAME: cancel a job"},
    command_row{"watch", 1, 1, false, run_watch, "COLLECTION: print changes as they happen"},
    command_row{"drain", 1, 1, false, run_drain, "DATA_CENTRE: take it out of service"},
    command_row{"resume", 1, 1, false, run_resume, "DATA_CENTRE: bring it back into service"},
    command_row{"config", 1, 1, false, run_config, "get | set --file FILE"},
    command_row{"rollout", 1, 1, false, run_rollout,
                "status: list the generation in force at each daemon"}};

} // namespace

cli_exit exit_code_of(error_kind kind) {
    for (const auto& row : exit_rows) {
        if (row.kind == kind) {
            return row.code;
        }
    }
    return cli_failure;
}

cli_transport make_cli_transport(http_client& http, const std::string& server,
                                 const std::string& token) {
    return
        [&http, server, token](const std::string& method, const std::string& path,
                               const std::vector<http_header>& headers, const std::string& body) {
            http_call call;
            call.method = method;
            call.url = "http://" + server + path;
            call.headers = headers;
            call.headers.push_back({"Authorization", "Bearer " + token});
            call.body = body;
            call.timeout = call_timeout;
            call.fresh_connection = method != "GET";
            call.resend_allowed = method == "GET";
            return http.call(std::move(call));
        };
}

int run_command(const cli_request& request, const cli_transport& transport, std::ostream& out,
                std::ostream& errors) {
    if (request.words.empty()) {
        errors << "fulmarctl: a command is required; see --help\n";
        return cli_usage;
    }
    const word_list arguments(request.words.begin() + 1, request.words.end());
    // Each argument becomes one path segment; the check prevents it from selecting another route.
    for (const auto& word : arguments) {
        if (const auto valid = check_name("argument", word); !valid) {
            errors << "fulmarctl: " << valid.error().detail << "\n";
            return cli_usage;
        }
    }
    for (const auto& row : commands) {
        if (row.verb != request.words[0]) {
            continue;
        }
        const bool file_missing = row.needs_file && request.body.empty();
        if (arguments.size() < row.min_arguments || arguments.size() > row.max_arguments ||
            file_missing) {
            errors << "fulmarctl: expected " << row.verb << " " << row.help << "\n";
            return cli_usage;
        }
        try {
            return row.run({request, transport, out, errors}, arguments);
        } catch (const json::exception& failure) {
            errors << "fulmarctl: unexpected response: " << failure.what() << "\n";
            return cli_failure;
        }
    }
    errors << "fulmarctl: unknown command '" << request.words[0] << "'; see --help\n";
    return cli_usage;
}

std::string command_help() {
    std::string text = "\nCommands:\n";
    for (const auto& row : commands) {
        text += "  " + std::string(row.verb) + " " + std::string(row.help) + "\n";
    }
    return text + "\nCollections: jobs services batch-jobs standing-watches data-centres teams\n"
                  "Exit codes: 0 ok, 1 failure, 2 usage, 3 conflict, 4 outcome unknown, "
                  "5 unavailable\n";
}

} // namespace fulmar
