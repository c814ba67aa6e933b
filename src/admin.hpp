// The administration daemon: an HTTP API that accepts resource specifications and reports their
// state.
#pragma once

#include "fulmar/daemon.hpp"
#include "resource_watch.hpp"

#include <span>

namespace fulmar {

struct admin_settings {
    host_id host;
    data_centre_id data_centre;
    socket_address address;
    socket_address store_address;
    duration store_timeout{1'000};
    duration status_timeout{500};
    duration change_retention{168 * 3'600'000};
    std::string token_file;
    watch_limits watch;
};

// The accepted keys of fulmar_admin's settings file.
std::span<const setting_spec> admin_setting_specs();

// Converts validated settings.
admin_settings parse_admin_settings(const settings& from);

// Runs until SIGTERM. Returns an exit code.
int run_admin(const admin_settings& options);

} // namespace fulmar
