// The gate daemon: takes callers' requests and forwards each to an endpoint of the service.
#pragma once

#include "fulmar/daemon.hpp"

#include <span>

namespace fulmar {

struct gate_settings {
    host_id host;
    data_centre_id data_centre;
    region_id region;
    socket_address caller_address;
    socket_address operator_address;
    socket_address store_address;
    duration store_timeout{1'000};
    duration default_deadline{5'000};
};

// The accepted keys of fulmar_gate's settings file.
std::span<const setting_row> gate_setting_rows();

// Fills the aggregate from validated settings.
gate_settings parse_gate_settings(const settings& from);

// Runs until SIGTERM, then ends requests in progress. Returns an exit code.
int run_gate(const gate_settings& options);

} // namespace fulmar
