#include "admin.hpp"

#include "cell_progress.hpp"
#include "fulmar/http_client.hpp"
#include "fulmar/json.hpp"
#include "fulmar/records.hpp"
#include "fulmar/store_http.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <fstream>
#include <set>

namespace fulmar {

namespace {

constexpr std::array rows{
    setting_row{"admin", "address", setting_kind::address, "", 0, 0, "where operators connect"},
    setting_row{"admin", "token_file", setting_kind::text, "", 0, 0,
                "file that holds the operators' token"},
    setting_row{"store", "address", setting_kind::address, "", 0, 0, "the platform's store"},
    setting_row{"store", "timeout", setting_kind::duration, "1 s", 10, 10'000,
                "longest wait for a store call"}};

constexpr std::string_view jobs_path = "/v1/jobs/";
constexpr std::string_view data_centres_path = "/v1/data-centres/";

struct admin {
    admin_settings options;
    metrics counters;
    http_client http;
    std::string token;
    std::unique_ptr<store_client> store;
};

// Compares in a time that depends only on the lengths, so that timing tells nothing of the token.
bool equal_in_constant_time(std::string_view a, std::string_view b) {
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i) {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

bool is_authorized(const admin& self, const http_request& request) {
    const auto given = find_header(request.headers, "Authorization");
    return given && equal_in_constant_time(*given, "Bearer " + self.token);
}

// Names the first invalid field of a job, or nothing.
std::optional<std::string> find_invalid_field(const job_record& job) {
    if (job.tasks == 0) {
        return "tasks: must be at least 1";
    }
    if (job.need.processors.value <= 0) {
        return "need.processors: must be above 0";
    }
    if (job.need.memory.value < 0 || job.need.accelerators.value < 0) {
        return "need: must not be negative";
    }
    if (job.task_class.empty()) {
        return "task_class: must not be empty";
    }
    return std::nullopt;
}

// Chooses a cell for a job that names none: the first whose data centre takes starts.
result<cell_id> choose_cell(admin& self) {
    BOOST_OUTCOME_TRY(workers, self.store->list(std::string(workers_prefix)));
    BOOST_OUTCOME_TRY(states, self.store->list(std::string(data_centres_prefix)));
    std::set<std::string> open;
    for (const auto& entry : states.entries) {
        const auto record = parse_data_centre_record(entry.value);
        if (record && record.value().state == data_centre_state::in) {
            open.insert(entry.key.substr(data_centres_prefix.size()));
        }
    }
    for (const auto& entry : workers.entries) {
        const auto record = parse_worker_record(entry.value);
        if (record && open.contains(record.value().data_centre.value)) {
            return record.value().cell;
        }
    }
    return error{error_kind::unavailable, "no data centre takes starts"};
}

// Writes a new job; accepted means that it is in the store.
result<revision_number> create_job(admin& self, const std::string& id, const std::string& body) {
    BOOST_OUTCOME_TRY(job, parse_json<json>(body));
    BOOST_OUTCOME_TRY(record, parse_job_record(job.dump()));
    if (const auto problem = find_invalid_field(record)) {
        return error{error_kind::invalid_argument, *problem};
    }
    if (record.cell.value.empty()) {
        BOOST_OUTCOME_TRY(cell, choose_cell(self));
        record.cell = cell;
    }
    BOOST_OUTCOME_TRY(claim, self.store->get(std::string(cells_prefix) + record.cell.value));
    if (claim) {
        BOOST_OUTCOME_TRY(owner, parse_cell_claim(claim->value));
        record.created_epoch = owner.epoch;
    }
    return write_and_settle(*self.store,
                            {std::string(jobs_prefix) + id, serialize(record), {}, {}});
}

// Shows a job's record and its progress.
result<json> describe_job(admin& self, const std::string& id) {
    BOOST_OUTCOME_TRY(entry, self.store->get(std::string(jobs_prefix) + id));
    if (!entry) {
        return error{error_kind::not_found, "no such job: " + id};
    }
    BOOST_OUTCOME_TRY(record, parse_job_record(entry->value));
    BOOST_OUTCOME_TRY(stored, self.store->get(std::string(progress_prefix) + record.cell.value));
    std::size_t finished = 0;
    if (stored) {
        BOOST_OUTCOME_TRY(progress, parse_cell_progress(stored->value));
        finished = progress.jobs[job_id{id}].finished.size();
    }
    return json{{"job", id},
                {"revision", entry->revision},
                {"cell", record.cell},
                {"tasks", record.tasks},
                {"finished", finished},
                {"cancelled", record.cancelled}};
}

// Changes a data centre's state from {"state": name}.
result<revision_number> change_data_centre(admin& self, const std::string& name,
                                           const std::string& body) {
    BOOST_OUTCOME_TRY(wanted, parse_json<json>(body));
    BOOST_OUTCOME_TRY(state, parse_data_centre_state(wanted.value("state", "")));
    const std::string key = std::string(data_centres_prefix) + name;
    BOOST_OUTCOME_TRY(present, self.store->get(key));
    const auto revision = present ? present->revision : revision_number{};
    return write_and_settle(*self.store,
                            {key, serialize(data_centre_record{state, "operator"}), revision, {}});
}

http_response reply_with_revision(const result<revision_number>& written) {
    return written ? json_response(200, json{{"revision", written.value()}}.dump())
                   : error_response(written.error());
}

http_response answer(admin& self, const http_request& request) {
    if (const auto standard = answer_operator_route(request, self.counters, true)) {
        return *standard;
    }
    if (!is_authorized(self, request)) {
        self.counters.count("fulmar_admin_refusals_total", "unauthenticated");
        return error_response({error_kind::unauthenticated, "missing or wrong token"});
    }
    if (request.path.starts_with(jobs_path)) {
        const auto id = request.path.substr(jobs_path.size());
        if (request.method == "POST") {
            return reply_with_revision(create_job(self, id, request.body));
        }
        const auto found = describe_job(self, id);
        return found ? json_response(200, found.value().dump()) : error_response(found.error());
    }
    if (request.path.starts_with(data_centres_path) && request.method == "PUT") {
        return reply_with_revision(
            change_data_centre(self, request.path.substr(data_centres_path.size()), request.body));
    }
    return error_response({error_kind::not_found, "no such path: " + request.path});
}

} // namespace

std::span<const setting_row> admin_setting_rows() {
    return rows;
}

admin_settings parse_admin_settings(const settings& from) {
    admin_settings options;
    options.address = address_setting(from, "admin", "address");
    options.token_file = text_setting(from, "admin", "token_file");
    options.store_address = address_setting(from, "store", "address");
    options.store_timeout = duration_setting(from, "store", "timeout");
    return options;
}

int run_admin(const admin_settings& options) {
    admin self;
    self.options = options;
    std::ifstream token(options.token_file);
    if (!std::getline(token, self.token) || self.token.empty()) {
        spdlog::error("{}: can't read a token", options.token_file);
        return exit_failure;
    }
    self.store = make_store_http(self.http, options.store_address, options.store_timeout);
    // Store calls block, so several threads keep one slow call from delaying the others.
    const auto server =
        http_server::start({options.address, 4, {}},
                           [&self](const http_request& request, const http_responder& respond) {
                               respond(answer(self, request));
                           });
    if (!server) {
        spdlog::error("{}", server.error().detail);
        return exit_failure;
    }
    spdlog::info("administration API listens on {}", to_string(options.address));
    wait_for_stop_signal();
    return exit_ok;
}

} // namespace fulmar
