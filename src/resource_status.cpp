#include "resource_status.hpp"

#include "cell_progress.hpp"
#include "resource_fields.hpp"

namespace fulmar {

namespace {

struct found_resource {
    store_entry entry;
    json document;
};

result<found_resource> find_resource(store_client& store, const principal& requester,
                                     const resource_collection& collection,
                                     const std::string& name) {
    BOOST_OUTCOME_TRY(check_name("name", name));
    BOOST_OUTCOME_TRY(entry, store.get(std::string(collection.prefix) + name));
    if (entry) {
        if (auto document = format_resource(requester, collection, *entry)) {
            return found_resource{std::move(*entry), std::move(*document)};
        }
    }
    return error{error_kind::not_found,
                 "no such resource: " + std::string(collection.name) + "/" + name};
}

result<job_progress> read_job_progress(store_client& store, const cell_id& cell,
                                       const std::string& name) {
    BOOST_OUTCOME_TRY(entry, store.get(std::string(progress_prefix) + cell.value));
    if (!entry) {
        return job_progress{};
    }
    BOOST_OUTCOME_TRY(progress, parse_cell_progress(entry->value));
    const auto found = progress.jobs.find({name});
    return found == progress.jobs.end() ? job_progress{} : found->second;
}

json format_progress(const job_progress& progress) {
    return {{"finished", progress.finished.size()},
            {"failed_for_good", progress.parked.size()},
            {"outcome_unknown", progress.outcome_unknown.size()},
            {"cancelled_before_start", progress.cancelled.size() - progress.stopped.size()},
            {"stopped", progress.stopped.size()},
            {"with_checkpoint", progress.checkpoints.size()}};
}

// Formats the progress of a cancellation. Tasks that ended before it can't be cancelled any more.
json format_cancellation(const job_record& record, const job_progress& progress) {
    const auto ended = progress.finished.size() + progress.parked.size() +
                       progress.outcome_unknown.size() + progress.cancelled.size();
    return {{"state", ended < record.tasks ? "accepted" : "complete"},
            {"cancelled_before_start", progress.cancelled.size() - progress.stopped.size()},
            {"stopped", progress.stopped.size()},
            {"already_finished", progress.finished.size()},
            {"not_ended", record.tasks - std::min<std::size_t>(ended, record.tasks)}};
}

// Queries the owner of a cell for the status of a job. If that fails, the result has the reason in
// "unavailable".
json query_cell_owner(store_client& store, const cell_id& cell, const std::string& job,
                      const status_fetcher& fetch_status) {
    const auto unavailable = [&](const std::string& reason) {
        return json{{"unavailable", reason}};
    };
    const auto claim = store.get(std::string(cells_prefix) + cell.value);
    if (!claim) {
        return unavailable(claim.error().detail);
    }
    const auto owner =
        claim.value() ? parse_cell_claim(claim.value()->value) : result<cell_claim>(cell_claim{});
    if (!owner || owner.value().owner.value.empty()) {
        return unavailable("no scheduler owns cell " + cell.value);
    }
    const auto& instance = owner.value().owner.value;
    const auto member = store.get(std::string(members_prefix) + instance);
    if (!member) {
        return unavailable(member.error().detail);
    }
    if (!member.value()) {
        return unavailable("scheduler " + instance + ", the owner of cell " + cell.value +
                           ", is no longer registered");
    }
    const auto record = parse_member_record(member.value()->value);
    const auto status =
        record ? fetch_status(record.value().address) : result<json>(record.error());
    if (!status) {
        return unavailable("scheduler " + instance +
                           " cannot be queried: " + status.error().detail);
    }
    const auto path = json::json_pointer("/cells") / cell.value;
    if (!status.value().is_object() || !status.value().contains(path)) {
        return unavailable("scheduler " + instance + " does not report cell " + cell.value);
    }
    const auto& reported = status.value().at(path);
    json answer{{"owner", instance}, {"cell_state", reported.value("state", "")}};
    const auto jobs = reported.find("jobs");
    if (jobs != reported.end() && jobs->contains(job)) {
        answer["tasks"] = jobs->at(job);
    }
    return answer;
}

} // namespace

result<json> describe_job(store_client& store, const principal& requester,
                          const resource_collection& collection, const std::string& name,
                          const status_fetcher& fetch_status) {
    BOOST_OUTCOME_TRY(found, find_resource(store, requester, collection, name));
    BOOST_OUTCOME_TRY(record, parse_job_record(found.entry.value));
    BOOST_OUTCOME_TRY(progress, read_job_progress(store, record.cell, name));
    auto answer = std::move(found.document);
    answer["job"] = name;
    answer["cell"] = record.cell;
    answer["tasks"] = record.tasks;
    answer["finished"] = progress.finished.size();
    answer["progress"] = format_progress(progress);
    if (record.cancelled) {
        answer["cancellation"] = format_cancellation(record, progress);
    }
    answer["running"] = query_cell_owner(store, record.cell, name, fetch_status);
    return answer;
}

result<json> describe_data_centre(store_client& store, const principal& requester,
                                  const std::string& name, const status_fetcher& fetch_status) {
    BOOST_OUTCOME_TRY(found,
                      find_resource(store, requester, *find_collection("data-centres"), name));
    BOOST_OUTCOME_TRY(members, store.list(std::string(members_prefix)));
    json in_force = json::array();
    for (const auto& entry : members.entries) {
        const auto member = parse_member_record(entry.value);
        if (!member || member.value().program != "fulmar_scheduler" ||
            member.value().data_centre.value != name) {
            continue;
        }
        const auto instance = entry.key.substr(members_prefix.size());
        const auto status = fetch_status(member.value().address);
        if (!status) {
            in_force.push_back({{"scheduler", instance}, {"unavailable", status.error().detail}});
            continue;
        }
        const auto cells = status.value().is_object()
                               ? status.value().value("cells", json::object())
                               : json::object();
        for (const auto& [cell, reported] : cells.items()) {
            in_force.push_back({{"scheduler", instance},
                                {"cell", cell},
                                {"claimed", reported.value("claimed", false)},
                                {"state", reported.value("state", "")},
                                {"tasks", reported.value("tasks", json::object())}});
        }
    }
    auto answer = std::move(found.document);
    answer["in_force"] = std::move(in_force);
    return answer;
}

result<json> describe_resource(store_client& store, const principal& requester,
                               const resource_collection& collection, const std::string& name,
                               const status_fetcher& fetch_status) {
    if (collection.prefix == jobs_prefix) {
        return describe_job(store, requester, collection, name, fetch_status);
    }
    if (collection.prefix == data_centres_prefix) {
        return describe_data_centre(store, requester, name, fetch_status);
    }
    BOOST_OUTCOME_TRY(found, find_resource(store, requester, collection, name));
    return std::move(found.document);
}

} // namespace fulmar
