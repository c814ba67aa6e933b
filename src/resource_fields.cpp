#include "resource_fields.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace fulmar {

namespace {

constexpr std::size_t name_limit = 128;
constexpr int depth_limit = 8;
constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

// A larger job would make its cell's progress record exceed the store's limit of 1 MB.
constexpr std::int64_t task_limit = 100'000;
constexpr std::int64_t run_limit_ms = 366LL * 24 * 3'600'000;

enum class field_kind : std::uint8_t { name, integer, boolean, resources };

struct field_row {
    std::string_view name;
    field_kind kind;
    bool fixed; // can't change after creation
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

// A service's task class and size decide where its tasks run, and progress/<cell> relies on a job's
// task indices. So only the fields that affect the order of work can change later.
constexpr std::array job_fields{
    field_row{"kind", field_kind::name, true},
    field_row{"team", field_kind::name, true},
    field_row{"cell", field_kind::name, true},
    field_row{"tasks", field_kind::integer, true, 1, task_limit},
    field_row{"need", field_kind::resources, true},
    field_row{"task_class", field_kind::name, true},
    field_row{"run_ms", field_kind::integer, true, 0, run_limit_ms},
    field_row{"deadline_unix_ms", field_kind::integer, false, 0, unlimited},
    field_row{"urgent", field_kind::boolean, false},
    field_row{"idempotent", field_kind::boolean, true}};
constexpr std::array team_fields{field_row{"quota", field_kind::resources, false}};
constexpr std::array data_centre_fields{field_row{"state", field_kind::name, false}};

constexpr std::array resource_fields{
    field_row{"processors", field_kind::integer, false, 0, 1'000'000'000},
    field_row{"memory", field_kind::integer, false, 0, 1'000'000'000},
    field_row{"accelerators", field_kind::integer, false, 0, 1'000'000}};

struct kind_row {
    job_kind kind;
    std::string_view name;
};

constexpr std::array kinds{kind_row{job_kind::batch, "batch"},
                           kind_row{job_kind::service, "service"},
                           kind_row{job_kind::standing_watch, "standing_watch"}};
static_assert(static_cast<std::size_t>(job_kind::standing_watch) + 1 == kinds.size());

error field_error(std::string_view name, const std::string& problem) {
    return {error_kind::invalid_argument, std::string(name) + ": " + problem};
}

result<void> check_fields(std::span<const field_row> rows, const json& document,
                          const std::string& path);

result<void> check_integer(const field_row& row, const json& value, const std::string& name) {
    // An unsigned number above the signed range would wrap around in the conversion and could pass
    // the range check.
    const bool representable =
        value.is_number_integer() &&
        (!value.is_number_unsigned() ||
         value.get<std::uint64_t>() <= static_cast<std::uint64_t>(unlimited));
    if (!representable) {
        return field_error(name, "expected a whole number");
    }
    const auto number = value.get<std::int64_t>();
    if (number < row.minimum || number > row.maximum) {
        return field_error(name, "out of range, allowed are " + std::to_string(row.minimum) +
                                     " to " + std::to_string(row.maximum));
    }
    return outcome::success();
}

result<void> check_value(const field_row& row, const json& value, const std::string& name) {
    switch (row.kind) {
    case field_kind::name:
        if (!value.is_string()) {
            return field_error(name, "expected text");
        }
        return check_name(name, value.get_ref<const std::string&>());
    case field_kind::integer:
        return check_integer(row, value, name);
    case field_kind::boolean:
        if (!value.is_boolean()) {
            return field_error(name, "expected true or false");
        }
        return outcome::success();
    case field_kind::resources:
        if (!value.is_object()) {
            return field_error(name, "expected an object");
        }
        return check_fields(resource_fields, value, name + ".");
    }
    return outcome::success();
}

result<void> check_fields(std::span<const field_row> rows, const json& document,
                          const std::string& path) {
    for (const auto& item : document.items()) {
        const auto name = path + item.key();
        const auto row = std::find_if(rows.begin(), rows.end(),
                                      [&](const field_row& r) { return r.name == item.key(); });
        if (row == rows.end()) {
            return field_error(name, "unknown field");
        }
        BOOST_OUTCOME_TRY(check_value(*row, item.value(), name));
    }
    return outcome::success();
}

// Returns invalid_argument for the first fixed field that differs from the present record.
result<void> check_fixed_fields(const json& document, const json& present) {
    for (const auto& row : job_fields) {
        const auto given = document.find(row.name);
        if (row.fixed && given != document.end() && *given != present.at(row.name)) {
            return field_error(row.name, "can't be changed");
        }
    }
    return outcome::success();
}

// Checks required fields and conditions on several fields.
result<void> check_job(const job_record& job, std::int64_t now_unix_ms, bool new_deadline) {
    if (job.team.value.empty()) {
        return field_error("team", "missing");
    }
    if (job.task_class.empty()) {
        return field_error("task_class", "missing");
    }
    if (job.need.processors.value <= 0) {
        return field_error("need.processors", "must be above 0");
    }
    if (job.kind != job_kind::batch && job.run_ms != 0) {
        return field_error("run_ms", "must be 0 for a task that runs until it is cancelled");
    }
    if (job.kind != job_kind::batch && job.deadline_unix_ms != 0) {
        return field_error("deadline_unix_ms", "only a batch job has a deadline");
    }
    if (new_deadline && job.deadline_unix_ms != 0 && job.deadline_unix_ms <= now_unix_ms) {
        return field_error("deadline_unix_ms", "is in the past");
    }
    return outcome::success();
}

} // namespace

result<void> check_name(std::string_view field, std::string_view name) {
    const bool allowed = std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '.' || c == '-' || c == '_';
    });
    if (name.empty() || name.size() > name_limit || !allowed || name.front() == '.') {
        return field_error(field, "expected 1 to 128 letters, digits, dots, dashes or "
                                  "underscores, not starting with a dot");
    }
    return outcome::success();
}

result<json> parse_json_object(std::string_view text, std::size_t limit_bytes) {
    if (text.size() > limit_bytes) {
        return field_error("body", "exceeds " + std::to_string(limit_bytes) + " bytes");
    }
    // The depth is checked before parsing, because the parser would build the nested value first.
    int depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted) {
            i += c == '\\' ? 1 : 0;
            quoted = c != '"';
            continue;
        }
        quoted = c == '"';
        depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
        if (depth > depth_limit) {
            return field_error("body", "nested deeper than " + std::to_string(depth_limit));
        }
    }
    auto parsed = parse_json<json>(text);
    if (!parsed || !parsed.value().is_object()) {
        return field_error("body", "expected a JSON object");
    }
    return parsed;
}

result<job_record> apply_job_fields(const json& document, const job_record& record, bool creating,
                                    std::int64_t now_unix_ms) {
    BOOST_OUTCOME_TRY(check_fields(job_fields, document, ""));
    if (const auto kind = document.find("kind");
        kind != document.end() && !find_job_kind(kind->get_ref<const std::string&>())) {
        return field_error("kind", "expected batch, service or standing_watch");
    }
    json merged = format_job_fields(record);
    if (!creating) {
        BOOST_OUTCOME_TRY(check_fixed_fields(document, merged));
    }
    merged.merge_patch(document);
    BOOST_OUTCOME_TRY(fields, parse_job_record(merged.dump()));
    // Values that the system sets are not declared fields and stay unchanged.
    fields.cancelled = record.cancelled;
    fields.created_epoch = record.created_epoch;
    fields.deleted = record.deleted;
    fields.created_by = record.created_by;
    fields.created_unix_ms = record.created_unix_ms;
    fields.changed_by = record.changed_by;
    fields.changed_unix_ms = record.changed_unix_ms;
    fields.requests = record.requests;
    BOOST_OUTCOME_TRY(
        check_job(fields, now_unix_ms, fields.deadline_unix_ms != record.deadline_unix_ms));
    return fields;
}

result<team_record> apply_team_fields(const json& document, team_record record) {
    BOOST_OUTCOME_TRY(check_fields(team_fields, document, ""));
    json merged = format_team_fields(record);
    merged.merge_patch(document);
    record.quota = merged.at("quota").get<resources>();
    return record;
}

result<data_centre_record> apply_data_centre_fields(const json& document,
                                                    data_centre_record record) {
    BOOST_OUTCOME_TRY(check_fields(data_centre_fields, document, ""));
    const auto given = document.find("state");
    if (given == document.end()) {
        return field_error("state", "missing");
    }
    const auto state = parse_data_centre_state(given->get_ref<const std::string&>());
    if (!state) {
        return field_error("state", "expected in, draining, out or returning");
    }
    record.state = state.value();
    return record;
}

json format_job_fields(const job_record& record) {
    return {{"kind", to_string(record.kind)},
            {"team", record.team},
            {"cell", record.cell},
            {"tasks", record.tasks},
            {"need", record.need},
            {"task_class", record.task_class},
            {"run_ms", record.run_ms},
            {"deadline_unix_ms", record.deadline_unix_ms},
            {"urgent", record.urgent},
            {"idempotent", record.idempotent}};
}

json format_team_fields(const team_record& record) {
    return {{"quota", record.quota}};
}

json format_data_centre_fields(const data_centre_record& record) {
    return {{"state", to_string(record.state)}};
}

std::string_view to_string(job_kind kind) {
    return kinds.at(static_cast<std::size_t>(kind)).name;
}

std::optional<job_kind> find_job_kind(std::string_view name) {
    for (const auto& row : kinds) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return std::nullopt;
}

} // namespace fulmar
