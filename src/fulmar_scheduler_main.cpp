// Entry point of fulmar_scheduler.
#include "scheduler.hpp"

int main(int argc, const char** argv) {
    using namespace fulmar;
    block_stop_signals();
    settings loaded;
    if (const auto code =
            start_daemon(argc, argv, "Owns cells of workers and places tasks on them.",
                         scheduler_setting_specs(), loaded)) {
        return *code;
    }
    return run_scheduler(parse_scheduler_settings(loaded));
}
