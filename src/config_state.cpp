#include "config_state.hpp"

#include <spdlog/spdlog.h>

namespace fulmar {

bool apply_config(config_state& state, const config_record& record, metrics& counters) {
    if (record.generation == state.record.generation) {
        return true;
    }
    if (record.generation < state.record.generation) {
        counters.count("fulmar_config_refusals_total", "older_generation");
        return false;
    }
    const auto values = parse_runtime_config(record.document);
    if (!values) {
        if (state.refused != record.generation) {
            counters.count("fulmar_config_refusals_total", "invalid_document");
            spdlog::warn("configuration generation {} refused, generation {} stays in force: {}",
                         record.generation.value, state.record.generation.value,
                         values.error().detail);
        }
        state.refused = record.generation;
        return false;
    }
    state.record = record;
    state.values = values.value();
    counters.set("fulmar_config_generation", static_cast<double>(record.generation.value));
    spdlog::info("configuration generation {} is in force", record.generation.value);
    return true;
}

} // namespace fulmar
