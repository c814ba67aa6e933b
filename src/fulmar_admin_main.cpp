// Entry point of fulmar_admin.
#include "admin.hpp"

int main(int argc, const char** argv) {
    using namespace fulmar;
    block_stop_signals();
    settings loaded;
    if (const auto code = start_daemon(argc, argv, "Serves the administration API.",
                                       admin_setting_specs(), loaded)) {
        return *code;
    }
    return run_admin(parse_admin_settings(loaded));
}
