#include "fulmar/records.hpp"

#include "fulmar/json.hpp"

#include <array>

namespace fulmar {

NLOHMANN_JSON_SERIALIZE_ENUM(data_centre_state, {{data_centre_state::in, "in"},
                                                 {data_centre_state::draining, "draining"},
                                                 {data_centre_state::out, "out"},
                                                 {data_centre_state::returning, "returning"}})
NLOHMANN_JSON_SERIALIZE_ENUM(endpoint_state,
                             {{endpoint_state::live, "live"}, {endpoint_state::leaving, "leaving"}})
NLOHMANN_JSON_SERIALIZE_ENUM(job_kind, {{job_kind::batch, "batch"},
                                        {job_kind::service, "service"},
                                        {job_kind::standing_watch, "standing_watch"}})

NLOHMANN_JSON_SERIALIZE_ENUM(change_state, {{change_state::started, "started"},
                                            {change_state::applied, "applied"},
                                            {change_state::refused, "refused"}})

// Fields added in later versions are optional, so that records of earlier versions remain readable.
// The original fields are required, so that a damaged record is an error.
void to_json(json& out, const data_centre_record& in) {
    out = json{{"state", in.state},
               {"changed_by", in.changed_by},
               {"changed_unix_ms", in.changed_unix_ms},
               {"requests", in.requests}};
}

void from_json(const json& in, data_centre_record& out) {
    in.at("state").get_to(out.state);
    in.at("changed_by").get_to(out.changed_by);
    out.changed_unix_ms = in.value("changed_unix_ms", std::int64_t{0});
    out.requests = in.value("requests", request_history{});
}

void to_json(json& out, const config_record& in) {
    out = json{{"generation", in.generation},
               {"document", in.document},
               {"accepted_by", in.accepted_by},
               {"accepted_unix_ms", in.accepted_unix_ms},
               {"requests", in.requests}};
}

void from_json(const json& in, config_record& out) {
    in.at("generation").get_to(out.generation);
    in.at("document").get_to(out.document);
    in.at("accepted_by").get_to(out.accepted_by);
    in.at("accepted_unix_ms").get_to(out.accepted_unix_ms);
    out.requests = in.value("requests", request_history{});
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(team_record, quota, changed_by, changed_unix_ms, requests)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_record, who, action, fingerprint, unix_ms, state, key,
                                   value, expected, removes, revision, refusal, detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cell_claim, owner, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(member_record, program, host, address,
                                                heartbeat_address, data_centre, generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_record, address, cell, data_centre, rack)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(endpoint_record, address, data_centre, region, state,
                                   incarnation, slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_record, kind, team, cell, tasks, need,
                                                task_class, run_ms, deadline_unix_ms, urgent,
                                                idempotent, cancelled, created_epoch, moves,
                                                carried_progress, deleted, created_by,
                                                created_unix_ms, changed_by, changed_unix_ms,
                                                requests)

namespace {

struct state_name {
    data_centre_state state;
    std::string_view name;
};

constexpr std::array state_names{state_name{data_centre_state::in, "in"},
                                 state_name{data_centre_state::draining, "draining"},
                                 state_name{data_centre_state::out, "out"},
                                 state_name{data_centre_state::returning, "returning"}};
static_assert(static_cast<std::size_t>(data_centre_state::returning) + 1 == state_names.size());

} // namespace

std::string_view to_string(data_centre_state state) {
    return state_names.at(static_cast<std::size_t>(state)).name;
}

result<data_centre_state> parse_data_centre_state(std::string_view name) {
    for (const auto& row : state_names) {
        if (row.name == name) {
            return row.state;
        }
    }
    return error{error_kind::invalid_argument, "no such data centre state: " + std::string(name)};
}

std::string serialize(const data_centre_record& record) {
    return json(record).dump();
}

std::string serialize(const cell_claim& record) {
    return json(record).dump();
}

std::string serialize(const member_record& record) {
    return json(record).dump();
}

std::string serialize(const worker_record& record) {
    return json(record).dump();
}

std::string serialize(const config_record& record) {
    return json(record).dump();
}

std::string serialize(const endpoint_record& record) {
    return json(record).dump();
}

std::string serialize(const job_record& record) {
    return json(record).dump();
}

std::string serialize(const team_record& record) {
    return json(record).dump();
}

std::string serialize(const change_record& record) {
    return json(record).dump();
}

result<data_centre_record> parse_data_centre_record(std::string_view text) {
    return parse_json<data_centre_record>(text);
}

result<cell_claim> parse_cell_claim(std::string_view text) {
    return parse_json<cell_claim>(text);
}

result<member_record> parse_member_record(std::string_view text) {
    return parse_json<member_record>(text);
}

result<worker_record> parse_worker_record(std::string_view text) {
    return parse_json<worker_record>(text);
}

result<config_record> parse_config_record(std::string_view text) {
    return parse_json<config_record>(text);
}

result<endpoint_record> parse_endpoint_record(std::string_view text) {
    return parse_json<endpoint_record>(text);
}

result<job_record> parse_job_record(std::string_view text) {
    return parse_json<job_record>(text);
}

result<team_record> parse_team_record(std::string_view text) {
    return parse_json<team_record>(text);
}

result<change_record> parse_change_record(std::string_view text) {
    return parse_json<change_record>(text);
}

} // namespace fulmar
