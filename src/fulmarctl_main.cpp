// Entry point of fulmarctl, the operators' command line.
#include "fulmar/daemon.hpp"
#include "fulmar/http_client.hpp"
#include "fulmar/json.hpp"

#include <popt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>

namespace fulmar {

namespace {

struct command_line {
    std::string server;
    std::string token;
    std::string verb;
    std::string name;
    std::string file;
};

struct verb_row {
    std::string_view verb;
    std::string_view method;
    std::string_view path;
    std::string_view body; // empty: from the file, or none
    std::string_view help;
};

constexpr std::array verbs{
    verb_row{"submit", "POST", "/v1/jobs/", "", "submit a job from a JSON file"},
    verb_row{"get", "GET", "/v1/jobs/", "", "show a job"},
    verb_row{"drain", "PUT", "/v1/data-centres/", R"({"state":"draining"})",
             "take a data centre out"},
    verb_row{"resume", "PUT", "/v1/data-centres/", R"({"state":"in"})", "bring it back"}};

std::string read_file(const std::string& name) {
    std::ifstream in(name);
    return {std::istreambuf_iterator<char>(in), {}};
}

int run(const command_line& line) {
    for (const auto& row : verbs) {
        if (row.verb != line.verb) {
            continue;
        }
        http_client http;
        http_call call;
        call.method = std::string(row.method);
        call.url = "http://" + line.server + std::string(row.path) + line.name;
        call.headers = {{"Authorization", "Bearer " + line.token}};
        call.body =
            row.body.empty() && !line.file.empty() ? read_file(line.file) : std::string(row.body);
        call.fresh_connection = row.method != "GET";
        const auto response = http.call(std::move(call));
        if (!response) {
            std::fprintf(stderr, "fulmarctl: %s\n", response.error().detail.c_str());
            return exit_failure;
        }
        const bool good = response.value().status == 200;
        std::fprintf(good ? stdout : stderr, "%s\n", response.value().body.c_str());
        return good ? exit_ok : exit_failure;
    }
    std::fprintf(stderr, "fulmarctl: unknown command '%s'; see --help\n", line.verb.c_str());
    return exit_usage;
}

} // namespace

} // namespace fulmar

int main(int argc, const char** argv) {
    using namespace fulmar;
    char* server = nullptr;
    char* token_file = nullptr;
    char* file = nullptr;
    const poptOption options[] = {
        {"server", 's', POPT_ARG_STRING, &server, 0, "administration API (host:port)", "ADDRESS"},
        {"token-file", 't', POPT_ARG_STRING, &token_file, 0, "file that holds the token", "FILE"},
        {"file", 'f', POPT_ARG_STRING, &file, 0, "JSON file of the resource", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, argv, options, 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "submit|get|drain|resume NAME");
    if (poptGetNextOpt(context.get()) < -1 || server == nullptr || token_file == nullptr) {
        std::fprintf(stderr, "fulmarctl: --server and --token-file are needed; see --help\n");
        return exit_usage;
    }
    const char* verb = poptGetArg(context.get());
    const char* name = poptGetArg(context.get());
    if (verb == nullptr || name == nullptr) {
        std::fprintf(stderr, "fulmarctl: a command and a name are needed; see --help\n");
        return exit_usage;
    }
    std::string token = read_file(token_file);
    while (!token.empty() && token.back() == '\n') {
        token.pop_back();
    }
    return run({server, token, verb, name, file == nullptr ? "" : file});
}
