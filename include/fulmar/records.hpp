// Records kept in the store, with their keys and JSON forms.
#pragma once

#include "fulmar/types.hpp"

#include <map>
#include <string>
#include <vector>

namespace fulmar {

// Key prefixes in the store.
inline constexpr std::string_view jobs_prefix = "jobs/";
inline constexpr std::string_view cells_prefix = "cells/";
inline constexpr std::string_view progress_prefix = "progress/";
inline constexpr std::string_view data_centres_prefix = "dcs/";
inline constexpr std::string_view workers_prefix = "workers/";
inline constexpr std::string_view endpoints_prefix = "endpoints/";
inline constexpr std::string_view members_prefix = "members/";
inline constexpr std::string_view idempotency_prefix = "idem/";
inline constexpr std::string_view config_key = "config/current";
inline constexpr std::string_view teams_prefix = "teams/";
inline constexpr std::string_view changes_prefix = "changes/";

// Ids of the requests that changed a record: first the id of the creating request, then the latest
// ones in order. They show whether a write whose reply was lost took effect, even when other writes
// followed it.
using request_history = std::vector<std::string>;

enum class data_centre_state : std::uint8_t { in, draining, out, returning };

// Returns the name used in records and the administration API. Parsing returns invalid_argument for
// an unknown name.
std::string_view to_string(data_centre_state state);
result<data_centre_state> parse_data_centre_state(std::string_view name);

// dcs/<name>: state of a data centre, which decides whether tasks may start there.
struct data_centre_record {
    data_centre_state state = data_centre_state::in;
    std::string changed_by;
    std::int64_t changed_unix_ms = 0;
    request_history requests{};
};

// teams/<name>: quota of the resources that a team's tasks may use at once, over all cells.
struct team_record {
    resources quota;
    std::string changed_by;
    std::int64_t changed_unix_ms = 0;
    request_history requests{};
};

// cells/<cell>: ownership of a cell. The record remains when its owner stops, so that epochs only
// grow. The claim ends when members/<owner> is deleted or the owner is empty.
struct cell_claim {
    host_id owner;
    epoch_number epoch;
};

// members/<instance>: one running daemon. Bound to the daemon's store lease, so it is deleted when
// that lease expires.
struct member_record {
    std::string program; // for example fulmar_scheduler
    std::string host;
    std::string address;           // host:port of the operator port, which also answers peers
    std::string heartbeat_address; // host:port (UDP); empty for daemons without heartbeats
    data_centre_id data_centre;
    generation_number generation; // generation of the configuration in force
};

// workers/<id>: the platform's description of a worker.
struct worker_record {
    std::string address; // host:port
    cell_id cell;
    data_centre_id data_centre;
    rack_id rack;
};

// config/current: the accepted configuration.
struct config_record {
    generation_number generation;
    std::string document; // JSON text, see parse_runtime_config
    std::string accepted_by;
    std::int64_t accepted_unix_ms = 0;
    request_history requests{};
};

enum class endpoint_state : std::uint8_t { live, leaving };

// endpoints/<service>/<id>: the platform's list of endpoints, which lags behind their real state.
struct endpoint_record {
    std::string address; // host:port
    data_centre_id data_centre;
    region_id region;
    endpoint_state state = endpoint_state::live;
    std::uint64_t incarnation = 0;
    std::int64_t slots = 8;
};

enum class job_kind : std::uint8_t { batch, service, standing_watch };

// jobs/<id>: a job as requested by a team. Written once by the administration API, then only to
// cancel or delete the job or to move it to another cell.
struct job_record {
    job_kind kind = job_kind::batch;
    team_id team;
    cell_id cell;
    std::uint32_t tasks = 1;
    resources need;
    std::string task_class;
    std::int64_t run_ms = 0;           // declared run time; 0 means that the task runs until
                                       // stopped
    std::int64_t deadline_unix_ms = 0; // 0 means none
    bool urgent = false;
    bool idempotent = true;
    bool cancelled = false;
    epoch_number created_epoch;   // claim epoch of the cell, read before the job was created
    std::uint64_t moves = 0;      // number of handovers of the job to another cell
    std::string carried_progress; // progress at the last handover, for the target cell
    bool deleted =
        // Hidden. The key remains, because progress/<cell> still refers to the job by name.
        false;
    std::string created_by;
    std::int64_t created_unix_ms = 0;
    std::string changed_by;
    std::int64_t changed_unix_ms = 0;
    request_history requests{};
};

enum class change_state : std::uint8_t { started, applied, refused };

// changes/<request>: one change requested through the administration API. It is the audit record,
// and it makes the change idempotent under the client's key: a repeated request resumes the change
// or returns its result.
struct change_record {
    std::string who;
    std::string action;
    std::string fingerprint; // hash of the request for which the key was first used
    std::int64_t unix_ms = 0;
    change_state state = change_state::started;
    std::string key; // store key that is written; followed by the new value and the revision that
                     // it replaces
    std::string value;
    revision_number expected;
    bool removes = false;
    revision_number revision; // revision of the key after the change
    std::string refusal;      // error kind of a refused change; `detail` is its text
    std::string detail;
};

// Convert records to and from stored text. Parsing returns protocol_error for malformed text.
std::string serialize(const data_centre_record& record);
std::string serialize(const cell_claim& record);
std::string serialize(const member_record& record);
std::string serialize(const worker_record& record);
std::string serialize(const config_record& record);
std::string serialize(const endpoint_record& record);
std::string serialize(const job_record& record);
std::string serialize(const team_record& record);
std::string serialize(const change_record& record);
result<data_centre_record> parse_data_centre_record(std::string_view text);
result<cell_claim> parse_cell_claim(std::string_view text);
result<member_record> parse_member_record(std::string_view text);
result<worker_record> parse_worker_record(std::string_view text);
result<config_record> parse_config_record(std::string_view text);
result<endpoint_record> parse_endpoint_record(std::string_view text);
result<job_record> parse_job_record(std::string_view text);
result<team_record> parse_team_record(std::string_view text);
result<change_record> parse_change_record(std::string_view text);

} // namespace fulmar
