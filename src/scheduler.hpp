// The scheduler daemon. Runs the cells of one data centre on a control thread and their I/O on
// other threads.
#pragma once

#include "cell_control.hpp"
#include "fulmar/daemon.hpp"
#include "fulmar/store.hpp"
#include "fulmar/worker.hpp"

#include <map>
#include <memory>
#include <span>
#include <string>

namespace fulmar {

struct scheduler_settings {
    host_id host;
    data_centre_id data_centre;
    socket_address operator_address;
    socket_address heartbeat_address;                  // UDP
    std::map<std::string, std::string> peers;          // heartbeat addresses by name
    std::map<std::string, std::string> peer_operators; // operator addresses by name
    socket_address store_address;
    duration store_timeout{1'000};
    duration worker_timeout{1'500};
    duration tick{100};
    duration member_lease{6'000};
    cell_timing timing;
};

// Keys that fulmar_scheduler's settings file may contain.
std::span<const setting_spec> scheduler_setting_specs();

// Converts validated settings.
scheduler_settings parse_scheduler_settings(const settings& from);

// Runs until SIGTERM. Returns an exit code.
int run_scheduler(const scheduler_settings& options);

} // namespace fulmar
