// The configuration in force on this host. Only a valid document of a higher generation replaces
// it.
#pragma once

#include "fulmar/metrics.hpp"
#include "fulmar/records.hpp"
#include "fulmar/runtime_config.hpp"

#include <optional>

namespace fulmar {

struct config_state {
    config_record record; // in force; generation 0 stands for the defaults
    runtime_config values;
    std::optional<generation_number> refused; // last generation refused as invalid on this host
    bool confirmed = false; // the store or all live peers answered since the start
};

// Applies a record if its generation is higher than the one in force and its document is valid.
// Returns whether the record's generation is now in force. Counts refusals by reason
// (older_generation, invalid_document).
bool apply_config(config_state& state, const config_record& record, metrics& counters);

} // namespace fulmar
