// Entry point of fulmar_gate.
#include "fulmar/store_http.hpp"
#include "gate.hpp"

#include <cstdio>

int main(int argc, const char** argv) {
    using namespace fulmar;
    block_stop_signals();
    settings loaded;
    if (const auto code = start_daemon(argc, argv, "Forwards callers' requests to endpoints.",
                                       gate_setting_rows(), loaded)) {
        return *code;
    }
    const auto options = parse_gate_settings(loaded);
    if (!options) {
        std::fprintf(stderr, "%s\n", options.error().detail.c_str());
        return exit_usage;
    }
    http_client store_connection;
    const std::shared_ptr<store_client> store = make_store_http(
        store_connection, options.value().store_address, options.value().store_timeout);
    return run_gate(options.value(), {store});
}
