// Functions common to all daemons: command line, signals and standard routes of the operator port.
#pragma once

#include "fulmar/http_server.hpp"
#include "fulmar/metrics.hpp"
#include "fulmar/settings.hpp"

#include <atomic>
#include <optional>
#include <span>
#include <string_view>

namespace fulmar {

// Exit codes of all programs.
enum exit_code : int { exit_ok = 0, exit_failure = 1, exit_usage = 2 };

// Parses the command line (--help, --version, --check and --settings FILE) and loads the settings.
// Returns an exit code if the process should exit at once.
std::optional<int> start_daemon(int argc, const char** argv, std::string_view description,
                                std::span<const setting_spec> rows, settings& loaded);

// Blocks SIGTERM and SIGINT in the calling thread and in the threads that it starts. Call it before
// any thread is started.
void block_stop_signals();

// Waits for SIGTERM or SIGINT and returns its number.
int wait_for_stop_signal();

// Waits up to `limit` for SIGTERM or SIGINT; returns whether one arrived.
bool stop_signal_arrived(duration limit);

// Returns the response to /metrics, /healthz and /readyz, and nullopt for other paths.
std::optional<http_response> handle_operator_route(const http_request& request,
                                                   const metrics& counters, bool ready);

} // namespace fulmar
