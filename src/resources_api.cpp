#include "resources_api.hpp"

#include "cell_progress.hpp"
#include "resource_fields.hpp"

#include <algorithm>
#include <array>

namespace fulmar {

namespace {

constexpr std::array collections{
    resource_collection{"jobs", jobs_prefix, std::nullopt},
    resource_collection{"services", jobs_prefix, job_kind::service},
    resource_collection{"batch-jobs", jobs_prefix, job_kind::batch},
    resource_collection{"standing-watches", jobs_prefix, job_kind::standing_watch},
    resource_collection{"data-centres", data_centres_prefix, std::nullopt},
    resource_collection{"teams", teams_prefix, std::nullopt}};

std::string store_key(const resource_collection& collection, std::string_view name) {
    return std::string(collection.prefix) + std::string(name);
}

error not_found_error(const resource_collection& collection, const std::string& name) {
    return {error_kind::not_found,
            "no such resource: " + std::string(collection.name) + "/" + name};
}

// Sets who changed a record and when, and appends the request's id to its history.
template <class Record>
void set_changed_by(Record& record, const change_request& request) {
    record.changed_by = request.requester.name;
    record.changed_unix_ms = request.now_unix_ms;
    append_request_id(record.requests, request.id);
}

// --- Jobs

// Reads a job that the principal may see.
result<job_record> read_job(const change_request& request, const resource_collection& collection,
                            const std::string& name, const store_entry& entry) {
    BOOST_OUTCOME_TRY(record, parse_job_record(entry.value));
    // Another team's job is reported as not found.
    if (record.deleted || !may_see(request.requester, record.team) ||
        (collection.kind && *collection.kind != record.kind)) {
        return not_found_error(collection, name);
    }
    return record;
}

// Reads an existing job for a change and checks the requester's permission and the expected
// revision.
result<std::pair<job_record, revision_number>>
read_job_for_change(store_client& store, const change_request& request,
                    const resource_collection& collection, const std::string& name) {
    const auto key = store_key(collection, name);
    BOOST_OUTCOME_TRY(entry, store.get(key));
    if (!entry) {
        return not_found_error(collection, name);
    }
    BOOST_OUTCOME_TRY(record, read_job(request, collection, name, *entry));
    BOOST_OUTCOME_TRY(check_may_change(request.requester, record.team));
    BOOST_OUTCOME_TRY(check_condition(request, key, entry->revision));
    return std::pair{std::move(record), entry->revision};
}

// Reads the epoch of the cell's claim for a new job, or returns epoch 0 if the cell has workers but
// no claim. An owner with a later epoch must assume that an owner with an earlier epoch may have
// started the job's tasks.
result<epoch_number> read_claim_epoch(store_client& store, const cell_id& cell) {
    BOOST_OUTCOME_TRY(entry, store.get(std::string(cells_prefix) + cell.value));
    if (entry) {
        BOOST_OUTCOME_TRY(claim, parse_cell_claim(entry->value));
        return claim.epoch;
    }
    BOOST_OUTCOME_TRY(workers, store.list(std::string(workers_prefix)));
    const bool exists =
        std::any_of(workers.entries.begin(), workers.entries.end(), [&](const store_entry& worker) {
            const auto record = parse_worker_record(worker.value);
            return record && record.value().cell == cell;
        });
    if (!exists) {
        return error{error_kind::invalid_argument, "cell: no worker belongs to " + cell.value};
    }
    return epoch_number{};
}

result<planned_write> plan_new_job(store_client& store, const change_request& request,
                                   const resource_collection& collection, const std::string& name,
                                   const json& document, const cell_chooser& choose) {
    // Step 1: validate the fields. The default kind follows from the collection, the default team
    // from the requester.
    job_record initial;
    initial.kind = collection.kind.value_or(job_kind::batch);
    initial.team = request.requester.team;
    BOOST_OUTCOME_TRY(record, apply_job_fields(document, initial, true, request.now_unix_ms));
    if (collection.kind && record.kind != *collection.kind) {
        return error{error_kind::invalid_argument, "kind: does not match the collection"};
    }
    BOOST_OUTCOME_TRY(check_may_change(request.requester, record.team));

    // Step 2: check the name. A deleted job's name can't be used again, because progress/<cell>
    // would show the old job's finished tasks as those of the new job.
    const auto key = store_key(collection, name);
    BOOST_OUTCOME_TRY(present, store.get(key));
    if (present) {
        return error{error_kind::conflict, key + ": the name is or was in use"};
    }

    // Step 3: choose the cell, then read its epoch: the epoch must be read before the job exists.
    BOOST_OUTCOME_TRY(cell, choose(record));
    record.cell = cell;
    BOOST_OUTCOME_TRY(epoch, read_claim_epoch(store, record.cell));
    record.created_epoch = epoch;
    record.created_by = request.requester.name;
    record.created_unix_ms = request.now_unix_ms;
    set_changed_by(record, request);
    return planned_write{key, serialize(record), {}, false};
}

result<planned_write> plan_job_change(store_client& store, const change_request& request,
                                      const resource_collection& collection,
                                      const std::string& name, const json& document) {
    BOOST_OUTCOME_TRY(present, read_job_for_change(store, request, collection, name));
    BOOST_OUTCOME_TRY(record,
                      apply_job_fields(document, present.first, false, request.now_unix_ms));
    set_changed_by(record, request);
    return planned_write{store_key(collection, name), serialize(record), present.second, false};
}

// Returns conflict while a task of the job may still run.
result<void> check_job_ended(store_client& store, const std::string& name,
                             const job_record& record) {
    std::size_t ended = 0;
    BOOST_OUTCOME_TRY(entry, store.get(std::string(progress_prefix) + record.cell.value));
    if (entry) {
        BOOST_OUTCOME_TRY(progress, parse_cell_progress(entry->value));
        if (const auto job = progress.jobs.find({name}); job != progress.jobs.end()) {
            ended = job->second.finished.size() + job->second.parked.size() +
                    job->second.outcome_unknown.size() + job->second.cancelled.size();
        }
    }
    if (ended < record.tasks) {
        return error{error_kind::conflict,
                     std::to_string(record.tasks - ended) +
                         " tasks have not ended; cancel the job and wait until they end"};
    }
    return outcome::success();
}

result<planned_write> plan_job_deletion(store_client& store, const change_request& request,
                                        const resource_collection& collection,
                                        const std::string& name) {
    BOOST_OUTCOME_TRY(present, read_job_for_change(store, request, collection, name));
    auto record = std::move(present.first);
    BOOST_OUTCOME_TRY(check_job_ended(store, name, record));
    record.cancelled = true;
    record.deleted = true;
    set_changed_by(record, request);
    return planned_write{store_key(collection, name), serialize(record), present.second, false};
}

// --- Teams and data centres

template <class Record>
struct record_functions {
    result<Record> (*parse)(std::string_view);
    result<Record> (*apply)(const json&, Record);
};

constexpr record_functions<team_record> team_functions{parse_team_record, apply_team_fields};
constexpr record_functions<data_centre_record> data_centre_functions{parse_data_centre_record,
                                                                     apply_data_centre_fields};

// Plans the creation or change of a record that belongs to the installation as a whole.
template <class Record>
result<planned_write> plan_record(store_client& store, const change_request& request,
                                  const std::string& key, const json& document, bool create_only,
                                  const record_functions<Record>& functions) {
    BOOST_OUTCOME_TRY(check_may_change(request.requester, {}));
    BOOST_OUTCOME_TRY(entry, store.get(key));
    if (entry && create_only) {
        return error{error_kind::conflict, key + ": the name is in use"};
    }
    const auto revision = entry ? entry->revision : revision_number{};
    BOOST_OUTCOME_TRY(check_condition(request, key, revision));
    Record present;
    if (entry) {
        BOOST_OUTCOME_TRY(parsed, functions.parse(entry->value));
        present = std::move(parsed);
    }
    BOOST_OUTCOME_TRY(record, functions.apply(document, std::move(present)));
    set_changed_by(record, request);
    return planned_write{key, serialize(record), revision, false};
}

result<planned_write> plan_put(store_client& store, const change_request& request,
                               const resource_collection& collection, const std::string& name,
                               const json& document, bool create_only) {
    const auto key = store_key(collection, name);
    return collection.prefix == teams_prefix
               ? plan_record(store, request, key, document, create_only, team_functions)
               : plan_record(store, request, key, document, create_only, data_centre_functions);
}

result<void> check_team_unused(store_client& store, const std::string& name) {
    BOOST_OUTCOME_TRY(jobs, store.list(std::string(jobs_prefix)));
    for (const auto& entry : jobs.entries) {
        const auto record = parse_job_record(entry.value);
        if (record && !record.value().deleted && record.value().team.value == name) {
            return error{error_kind::conflict, "the team has jobs, such as " + entry.key};
        }
    }
    return outcome::success();
}

result<planned_write> plan_removal(store_client& store, const change_request& request,
                                   const resource_collection& collection, const std::string& name) {
    BOOST_OUTCOME_TRY(check_may_change(request.requester, {}));
    const auto key = store_key(collection, name);
    BOOST_OUTCOME_TRY(entry, store.get(key));
    if (!entry) {
        return not_found_error(collection, name);
    }
    BOOST_OUTCOME_TRY(check_condition(request, key, entry->revision));
    if (collection.prefix == teams_prefix) {
        BOOST_OUTCOME_TRY(check_team_unused(store, name));
    } else {
        BOOST_OUTCOME_TRY(record, parse_data_centre_record(entry->value));
        if (record.state != data_centre_state::out) {
            return error{error_kind::conflict, key + ": must be out before it is deleted"};
        }
    }
    return planned_write{key, {}, entry->revision, true};
}

bool is_job_collection(const resource_collection& collection) {
    return collection.prefix == jobs_prefix;
}

// --- Views

std::optional<json> format_job(const principal& requester, const resource_collection& collection,
                               const job_record& record) {
    if (record.deleted || !may_see(requester, record.team) ||
        (collection.kind && *collection.kind != record.kind)) {
        return std::nullopt;
    }
    return json{{"spec", format_job_fields(record)}, {"cancelled", record.cancelled},
                {"created_by", record.created_by},   {"created_unix_ms", record.created_unix_ms},
                {"changed_by", record.changed_by},   {"changed_unix_ms", record.changed_unix_ms}};
}

template <class Record>
json format_record(const Record& record, json fields) {
    return {{"spec", std::move(fields)},
            {"changed_by", record.changed_by},
            {"changed_unix_ms", record.changed_unix_ms}};
}

// Formats the content of a record, without its name and revision.
std::optional<json> format_value(const principal& requester, const resource_collection& collection,
                                 const std::string& name, const std::string& value) {
    if (is_job_collection(collection)) {
        const auto record = parse_job_record(value);
        return record ? format_job(requester, collection, record.value()) : std::nullopt;
    }
    if (collection.prefix == teams_prefix) {
        const auto record = parse_team_record(value);
        return record && may_see(requester, {name})
                   ? std::optional(
                         format_record(record.value(), format_team_fields(record.value())))
                   : std::nullopt;
    }
    const auto record = parse_data_centre_record(value);
    return record ? std::optional(
                        format_record(record.value(), format_data_centre_fields(record.value())))
                  : std::nullopt;
}

} // namespace

std::span<const resource_collection> resource_collections() {
    return collections;
}

const resource_collection* find_collection(std::string_view name) {
    const auto* const found =
        std::find_if(collections.begin(), collections.end(),
                     [&](const resource_collection& row) { return row.name == name; });
    return found == collections.end() ? nullptr : found;
}

result<applied_change> create_resource(store_client& store, const change_request& request,
                                       const resource_collection& collection,
                                       const std::string& name, const json& document,
                                       const cell_chooser& choose) {
    BOOST_OUTCOME_TRY(check_name("name", name));
    return perform_change(store, request, [&] {
        return is_job_collection(collection)
                   ? plan_new_job(store, request, collection, name, document, choose)
                   : plan_put(store, request, collection, name, document, true);
    });
}

result<applied_change> put_resource(store_client& store, const change_request& request,
                                    const resource_collection& collection, const std::string& name,
                                    const json& document, const cell_chooser& choose) {
    BOOST_OUTCOME_TRY(check_name("name", name));
    return perform_change(store, request, [&]() -> result<planned_write> {
        if (!is_job_collection(collection)) {
            return plan_put(store, request, collection, name, document, false);
        }
        BOOST_OUTCOME_TRY(present, store.get(store_key(collection, name)));
        if (present) {
            return plan_job_change(store, request, collection, name, document);
        }
        BOOST_OUTCOME_TRY(check_condition(request, store_key(collection, name), {}));
        return plan_new_job(store, request, collection, name, document, choose);
    });
}

result<applied_change> delete_resource(store_client& store, const change_request& request,
                                       const resource_collection& collection,
                                       const std::string& name) {
    BOOST_OUTCOME_TRY(check_name("name", name));
    return perform_change(store, request, [&] {
        return is_job_collection(collection) ? plan_job_deletion(store, request, collection, name)
                                             : plan_removal(store, request, collection, name);
    });
}

result<applied_change> cancel_job(store_client& store, const change_request& request,
                                  const resource_collection& collection, const std::string& name) {
    BOOST_OUTCOME_TRY(check_name("name", name));
    if (!is_job_collection(collection)) {
        return error{error_kind::invalid_argument, "only a job can be cancelled"};
    }
    return perform_change(store, request, [&]() -> result<planned_write> {
        BOOST_OUTCOME_TRY(present, read_job_for_change(store, request, collection, name));
        auto record = std::move(present.first);
        record.cancelled = true;
        set_changed_by(record, request);
        return planned_write{store_key(collection, name), serialize(record), present.second, false};
    });
}

result<json> list_resources(store_client& store, const principal& requester,
                            const resource_collection& collection, const page_request& page) {
    BOOST_OUTCOME_TRY(listing, store.list(std::string(collection.prefix)));
    json items = json::array();
    std::string last_name;
    bool has_more = false;
    for (const auto& entry : listing.entries) {
        const auto name = entry.key.substr(collection.prefix.size());
        if (name <= page.after) {
            continue;
        }
        auto item = format_resource(requester, collection, entry);
        if (!item) {
            continue;
        }
        if (items.size() == page.limit) {
            has_more = true;
            break;
        }
        items.push_back(std::move(*item));
        last_name = name;
    }
    json answer{{"items", std::move(items)}, {"revision", listing.revision}};
    if (has_more) {
        answer["next"] = last_name;
    }
    return answer;
}

std::optional<json> format_resource(const principal& requester,
                                    const resource_collection& collection,
                                    const store_entry& entry) {
    const auto name = entry.key.substr(collection.prefix.size());
    auto formatted = format_value(requester, collection, name, entry.value);
    if (formatted) {
        (*formatted)["collection"] = collection.name;
        (*formatted)["name"] = name;
        (*formatted)["revision"] = entry.revision;
    }
    return formatted;
}

} // namespace fulmar
