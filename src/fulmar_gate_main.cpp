// Entry point of fulmar_gate.
#include "gate.hpp"

int main(int argc, const char** argv) {
    using namespace fulmar;
    block_stop_signals();
    settings loaded;
    if (const auto code = start_daemon(argc, argv, "Forwards callers' requests to endpoints.",
                                       gate_setting_rows(), loaded)) {
        return *code;
    }
    return run_gate(parse_gate_settings(loaded));
}
