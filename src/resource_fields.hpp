// Validation of client input: names, JSON documents of bounded size, and the fields of resources.
#pragma once

#include "fulmar/json.hpp"
#include "fulmar/records.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace fulmar {

inline constexpr std::size_t resource_body_limit_bytes = 64 * 1024;

// Returns invalid_argument unless the name has 1 to 128 letters, digits, dots, dashes and
// underscores and doesn't start with a dot. The error text starts with `field`.
result<void> check_name(std::string_view field, std::string_view name);

// Parses a JSON object of limited size and depth. Returns invalid_argument if it exceeds a limit or
// is not a JSON object.
result<json> parse_json_object(std::string_view text,
                               std::size_t limit_bytes = resource_body_limit_bytes);

// Sets the declared fields of a record from a document; absent fields keep the record's values.
// Returns invalid_argument, naming the field, for unknown fields, wrong types, values out of range,
// inconsistent combinations and, when `creating` is false, changes of fixed fields.
result<job_record> apply_job_fields(const json& document, const job_record& record, bool creating,
                                    std::int64_t now_unix_ms);
result<team_record> apply_team_fields(const json& document, team_record record);
result<data_centre_record> apply_data_centre_fields(const json& document,
                                                    data_centre_record record);

// Formats the declared fields of a record.
json format_job_fields(const job_record& record);
json format_team_fields(const team_record& record);
json format_data_centre_fields(const data_centre_record& record);

// Convert between a job kind and its name in documents. find_job_kind returns nothing for an
// unknown name.
std::string_view to_string(job_kind kind);
std::optional<job_kind> find_job_kind(std::string_view name);

} // namespace fulmar
