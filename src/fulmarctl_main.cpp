// Entry point of fulmarctl, the operators' command line.
#include "fulmar/daemon.hpp"
#include "operator_cli.hpp"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <random>

namespace fulmar {

namespace {

std::optional<std::string> read_file(const char* name) {
    std::ifstream in(name);
    if (!in) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

// Returns the first word of the file, or an empty string if there is none.
std::string read_token(const char* file) {
    const auto text = read_file(file).value_or("");
    const auto begin = text.find_first_not_of(" \t\r\n");
    return begin == std::string::npos
               ? std::string()
               : text.substr(begin, text.find_first_of(" \t\r\n", begin) - begin);
}

std::string make_key() {
    std::random_device device;
    std::string key;
    for (int i = 0; i < 4; ++i) {
        key += std::to_string(device()) + (i < 3 ? "-" : "");
    }
    return key;
}

struct option_values {
    char* server = nullptr;
    char* token_file = nullptr;
    char* file = nullptr;
    char* output = nullptr;
    char* revision = nullptr;
    char* key = nullptr;
    int dry_run = 0;
};

int run(const option_values& values, cli_request request) {
    const std::string output = values.output == nullptr ? "table" : values.output;
    if (output != "table" && output != "json") {
        std::fprintf(stderr, "fulmarctl: --output: expected table or json\n");
        return exit_usage;
    }
    request.as_json = output == "json";
    request.dry_run = values.dry_run != 0;
    request.revision = values.revision == nullptr ? "" : values.revision;
    request.key = values.key == nullptr ? make_key() : values.key;
    if (request.revision.find_first_not_of("0123456789") != std::string::npos) {
        std::fprintf(stderr, "fulmarctl: --revision: expected a whole number\n");
        return exit_usage;
    }
    if (values.file != nullptr) {
        auto body = read_file(values.file);
        if (!body) {
            std::fprintf(stderr, "fulmarctl: %s: cannot be read\n", values.file);
            return exit_usage;
        }
        request.body = std::move(*body);
    }
    const auto token = read_token(values.token_file);
    if (token.empty()) {
        std::fprintf(stderr, "fulmarctl: %s: contains no token\n", values.token_file);
        return exit_usage;
    }
    http_client http;
    return run_command(request, make_cli_transport(http, values.server, token), std::cout,
                       std::cerr);
}

} // namespace

} // namespace fulmar

int main(int argc, const char** argv) {
    using namespace fulmar;
    option_values values;
    int help = 0;
    const poptOption options[] = {
        {"server", 's', POPT_ARG_STRING, &values.server, 0, "administration API", "HOST:PORT"},
        {"token-file", 't', POPT_ARG_STRING, &values.token_file, 0, "file that holds the token",
         "FILE"},
        {"file", 'f', POPT_ARG_STRING, &values.file, 0, "JSON file of the resource", "FILE"},
        {"output", 'o', POPT_ARG_STRING, &values.output, 0, "table or json", "FORM"},
        {"revision", 'r', POPT_ARG_STRING, &values.revision, 0,
         "change only this revision; watch from it", "NUMBER"},
        {"idempotency-key", 'k', POPT_ARG_STRING, &values.key, 0,
         "repeat the change made under this key", "KEY"},
        {"dry-run", 'n', POPT_ARG_NONE, &values.dry_run, 0, "validate only", nullptr},
        {"help", 'h', POPT_ARG_NONE, &help, 0, "print this help and exit", nullptr},
        POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, argv, options, 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "COMMAND ...");
    const int status = poptGetNextOpt(context.get());
    if (status < -1) {
        std::fprintf(stderr, "fulmarctl: %s: %s; see --help\n", poptBadOption(context.get(), 0),
                     poptStrerror(status));
        return exit_usage;
    }
    if (help != 0) {
        poptPrintHelp(context.get(), stdout, 0);
        std::fputs(command_help().c_str(), stdout);
        return exit_ok;
    }
    if (values.server == nullptr || values.token_file == nullptr) {
        std::fprintf(stderr, "fulmarctl: --server and --token-file are required; see --help\n");
        return exit_usage;
    }
    cli_request request;
    while (const char* word = poptGetArg(context.get())) {
        request.words.emplace_back(word);
    }
    return run(values, std::move(request));
}
