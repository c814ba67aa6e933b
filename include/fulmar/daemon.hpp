// What every daemon shares: command line, signals, and the operator port's standard routes.
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

// Handles --help, --version, --check and --settings FILE, and loads the settings. Returns an exit
// code when the process should end now.
std::optional<int> start_daemon(int argc, const char** argv, std::string_view description,
                                std::span<const setting_row> rows, settings& loaded);

// Blocks SIGTERM and SIGINT in the calling thread and those it starts. Call before any thread
// starts.
void block_stop_signals();

// Waits for SIGTERM or SIGINT and returns its number.
int wait_for_stop_signal();

// Tells whether SIGTERM or SIGINT arrived within `limit`.
bool stop_signal_arrived(duration limit);

// Answers /metrics, /healthz and /readyz. Returns nothing for other paths.
std::optional<http_response> answer_operator_route(const http_request& request,
                                                   const metrics& counters, bool ready);

} // namespace fulmar
