#include "fulmar/daemon.hpp"

#include <popt.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>

namespace fulmar {

namespace {

// Prints every accepted key with its default value and description.
void print_settings_reference(std::span<const setting_spec> rows) {
    std::puts("\nSettings file (INI):");
    for (const auto& row : rows) {
        std::printf("  [%s] %s%s%s: %s\n", std::string(row.section).c_str(),
                    std::string(row.key).c_str(), row.default_value.empty() ? "" : " = ",
                    std::string(row.default_value).c_str(), std::string(row.description).c_str());
    }
}

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

std::optional<int> start_daemon(int argc, const char** argv, std::string_view description,
                                std::span<const setting_spec> rows, settings& loaded) {
    int help = 0;
    int version = 0;
    int check = 0;
    char* file = nullptr;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &file, 0, "settings file (INI)", "FILE"},
        {"check", 'c', POPT_ARG_NONE, &check, 0, "validate the settings and exit", nullptr},
        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr},
        {"help", 'h', POPT_ARG_NONE, &help, 0, "print this help and exit", nullptr},
        POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, argv, options, 0), poptFreeContext);
    const int status = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> file_owner(file, std::free);
    if (status < -1 || poptPeekArg(context.get()) != nullptr) {
        std::fprintf(stderr, "%s: %s; see --help\n", argv[0],
                     status < -1 ? poptStrerror(status) : "unexpected argument");
        return exit_usage;
    }
    if (help != 0) {
        std::printf("%s\n\n", std::string(description).c_str());
        poptPrintHelp(context.get(), stdout, 0);
        print_settings_reference(rows);
        return exit_ok;
    }
    if (version != 0) {
        std::puts("fulmarwind " FULMAR_VERSION);
        return exit_ok;
    }
    if (file == nullptr) {
        std::fprintf(stderr, "%s: --settings FILE is required; see --help\n", argv[0]);
        return exit_usage;
    }
    auto parsed = load_settings(file, rows);
    if (!parsed) {
        std::fprintf(stderr, "%s\n", parsed.error().detail.c_str());
        return exit_usage;
    }
    if (check != 0) {
        std::printf("%s: valid\n", file);
        return exit_ok;
    }
    loaded = std::move(parsed).value();
    return std::nullopt;
}

void block_stop_signals() {
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int wait_for_stop_signal() {
    const sigset_t signals = stop_signals();
    int number = 0;
    sigwait(&signals, &number);
    spdlog::info("received signal {}, shutting down", number);
    return number;
}

bool stop_signal_arrived(duration limit) {
    const sigset_t signals = stop_signals();
    const timespec wait{limit.count() / 1000, (limit.count() % 1000) * 1'000'000};
    return sigtimedwait(&signals, nullptr, &wait) > 0;
}

std::optional<http_response> handle_operator_route(const http_request& request,
                                                   const metrics& counters, bool ready) {
    if (request.path == "/metrics") {
        return http_response{
            200, {{"Content-Type", "text/plain; version=0.0.4"}}, counters.serialize()};
    }
    if (request.path == "/healthz") {
        return http_response{200, {{"Content-Type", "text/plain"}}, "ok\n"};
    }
    if (request.path == "/readyz") {
        return http_response{
            ready ? 200 : 503, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"};
    }
    return std::nullopt;
}

} // namespace fulmar
