// The configuration in force on this host: only higher generations apply, and a bad document never
// does.
#pragma once

#include "fulmar/metrics.hpp"
#include "fulmar/records.hpp"
#include "fulmar/runtime_config.hpp"

#include <optional>

namespace fulmar {

struct config_state {
    config_record record; // in force; generation 0 stands for the defaults
    runtime_config values;
    std::optional<generation_number> refused; // last generation that didn't validate here
    bool confirmed = false; // the store or all live peers were asked since the start
};

// Applies a record if its generation is above the one in force and its document is valid. Returns
// whether it is in force now; counts refusals by reason (older_generation, invalid_document).
bool apply_config(config_state& state, const config_record& record, metrics& counters);

} // namespace fulmar
