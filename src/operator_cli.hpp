// The commands of fulmarctl: API calls, exit codes and tables. Parsing of the command line is in
// fulmarctl_main.cpp.
#pragma once

#include "fulmar/http_client.hpp"
#include "fulmar/json.hpp"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace fulmar {

// Exit codes of fulmarctl. The first three are the same in all programs.
enum cli_exit : int {
    cli_ok = 0,
    cli_failure = 1,
    cli_usage = 2,
    cli_conflict = 3,
    cli_outcome_unknown = 4,
    cli_unavailable = 5,
};

// Returns the exit code for an error kind.
cli_exit exit_code_of(error_kind kind);

// A parsed command line.
struct cli_request {
    std::vector<std::string> words = {}; // verb and arguments
    std::string body = {};               // content of the file given by --file
    std::string revision = {};           // --revision, empty when not given
    std::string key = {};                // Idempotency-Key of a change
    bool as_json = false;
    bool dry_run = false;
    int watch_pages = 0; // a watch ends after this many responses; 0 for no limit
};

// Makes one call of the administration API; the path starts with /v1/.
using cli_transport = std::function<result<http_response>(
    const std::string& method, const std::string& path, const std::vector<http_header>& headers,
    const std::string& body)>;

// Makes calls to the API at `server` (host:port) with an operator's token.
cli_transport make_cli_transport(http_client& http, const std::string& server,
                                 const std::string& token);

// Runs a command: results go to `out`, errors to `problems`. Returns an exit code.
int run_command(const cli_request& request, const cli_transport& transport, std::ostream& out,
                std::ostream& errors);

// Returns the list of commands for --help.
std::string command_help();

} // namespace fulmar
