// Validation of what clients send: names, JSON documents of bounded size, and fields by table.
#pragma once

#include "fulmar/json.hpp"
#include "fulmar/records.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace fulmar {

inline constexpr std::size_t resource_body_limit_bytes = 64 * 1024;

// Returns invalid_argument unless the name has 1 to 128 letters, digits, dots, dashes and
// underscores and doesn't start with a dot. `field` names it in the error.
result<void> check_name(std::string_view field, std::string_view name);

// Parses a JSON object of limited size and depth. Returns invalid_argument.
result<json> parse_json_object(std::string_view text,
                               std::size_t limit_bytes = resource_body_limit_bytes);

// Fills the declared fields of a record from a document; absent fields keep the record's values.
// Returns invalid_argument that names the field for unknown fields, wrong types, values out of
// range, combinations that make no sense and, when `creating` is false, fields that can't change.
result<job_record> apply_job_fields(const json& document, const job_record& record, bool creating,
                                    std::int64_t now_unix_ms);
result<team_record> apply_team_fields(const json& document, team_record record);
result<data_centre_record> apply_data_centre_fields(const json& document,
                                                    data_centre_record record);

// Formats the declared fields of a record.
json format_job_fields(const job_record& record);
json format_team_fields(const team_record& record);
json format_data_centre_fields(const data_centre_record& record);

// Returns the name of a kind of job in documents, and the kind of a name.
std::string_view to_string(job_kind kind);
std::optional<job_kind> find_job_kind(std::string_view name);

} // namespace fulmar
