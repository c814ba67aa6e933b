#include "fulmar/runtime_config.hpp"

#include "fulmar/json.hpp"

#include <array>

namespace fulmar {

namespace {

struct field_row {
    std::string_view name;
    std::int64_t runtime_config::*field;
    std::int64_t minimum;
    std::int64_t maximum;
};

constexpr std::array fields{
    field_row{"retry_budget_percent", &runtime_config::retry_budget_percent, 0, 50},
    field_row{"eject_max_percent", &runtime_config::eject_max_percent, 0, 100},
    field_row{"spill_bytes_per_second", &runtime_config::spill_bytes_per_second, 0, 1'000'000},
    field_row{"intents_per_second", &runtime_config::intents_per_second, 0, 100},
    field_row{"default_deadline_ms", &runtime_config::default_deadline_ms, 10, 600'000},
    field_row{"throttle_slowdown_percent", &runtime_config::throttle_slowdown_percent, 100, 1'000},
    field_row{"evict_slowdown_percent", &runtime_config::evict_slowdown_percent, 100, 1'000},
    field_row{"return_ramp_ms", &runtime_config::return_ramp_ms, 0, 3'600'000}};

const field_row* find_field(std::string_view name) {
    for (const auto& row : fields) {
        if (row.name == name) {
            return &row;
        }
    }
    return nullptr;
}

error field_error(std::string_view name, const std::string& problem) {
    return {error_kind::invalid_argument, std::string(name) + ": " + problem};
}

} // namespace

result<runtime_config> parse_runtime_config(std::string_view document) {
    const auto parsed = parse_json<json>(document);
    if (!parsed || !parsed.value().is_object()) {
        return error{error_kind::invalid_argument, "configuration: expected a JSON object"};
    }
    runtime_config config;
    for (const auto& [name, value] : parsed.value().items()) {
        const auto* row = find_field(name);
        if (row == nullptr) {
            return field_error(name, "unknown field");
        }
        if (!value.is_number_integer()) {
            return field_error(name, "expected a whole number");
        }
        const auto number = value.get<std::int64_t>();
        if (number < row->minimum || number > row->maximum) {
            return field_error(name, "out of range, allowed are " + std::to_string(row->minimum) +
                                         " to " + std::to_string(row->maximum));
        }
        config.*(row->field) = number;
    }
    if (config.evict_slowdown_percent < config.throttle_slowdown_percent) {
        return field_error("evict_slowdown_percent", "must not be below throttle_slowdown_percent");
    }
    return config;
}

std::string serialize(const runtime_config& config) {
    json out = json::object();
    for (const auto& row : fields) {
        out[std::string(row.name)] = config.*(row.field);
    }
    return out.dump();
}

} // namespace fulmar
