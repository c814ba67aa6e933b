#include "config_api.hpp"

#include "fulmar/runtime_config.hpp"
#include "resource_fields.hpp"

namespace fulmar {

namespace {

// Daemons that ended longer ago than this don't matter to the present rollout.
constexpr std::int64_t gone_retention_ms = 3'600'000;
constexpr std::size_t max_gone_members = 1'000;

result<std::optional<std::pair<config_record, revision_number>>> read_config(store_client& store) {
    BOOST_OUTCOME_TRY(entry, store.get(std::string(config_key)));
    if (!entry) {
        return std::optional<std::pair<config_record, revision_number>>{};
    }
    BOOST_OUTCOME_TRY(record, parse_config_record(entry->value));
    return std::optional(std::pair{std::move(record), entry->revision});
}

json format_member(const std::string& instance, const member_record& record) {
    return {{"instance", instance},
            {"program", record.program},
            {"host", record.host},
            {"data_centre", record.data_centre},
            {"generation", record.generation}};
}

// Returns the daemons that are no longer registered. Drops those last seen longer than
// gone_retention_ms ago, and any beyond max_gone_members.
json list_gone_members(seen_members& seen, std::int64_t now_unix_ms) {
    json gone = json::array();
    for (auto at = seen.rows.begin(); at != seen.rows.end();) {
        const auto age = now_unix_ms - at->second.last_seen_unix_ms;
        if (age > gone_retention_ms || seen.rows.size() > max_gone_members) {
            at = seen.rows.erase(at);
            continue;
        }
        if (age != 0) {
            auto row = format_member(at->first, at->second.record);
            row["state"] = "gone";
            gone.push_back(std::move(row));
        }
        ++at;
    }
    return gone;
}

} // namespace

result<applied_change> put_config(store_client& store, const change_request& request,
                                  const std::string& document) {
    BOOST_OUTCOME_TRY(check_may_change(request.requester, {}));
    BOOST_OUTCOME_TRY(parse_json_object(document));
    BOOST_OUTCOME_TRY(parse_runtime_config(document));
    return perform_change(store, request, [&]() -> result<planned_write> {
        BOOST_OUTCOME_TRY(present, read_config(store));
        const auto revision = present ? present->second : revision_number{};
        BOOST_OUTCOME_TRY(check_condition(request, std::string(config_key), revision));
        config_record record = present ? present->first : config_record{};
        ++record.generation.value;
        record.document = document;
        record.accepted_by = request.requester.name;
        record.accepted_unix_ms = request.now_unix_ms;
        append_request_id(record.requests, request.id);
        return planned_write{std::string(config_key), serialize(record), revision, false};
    });
}

result<json> get_config(store_client& store) {
    BOOST_OUTCOME_TRY(present, read_config(store));
    const config_record record = present ? present->first : config_record{};
    const std::string document = present ? record.document : "{}";
    BOOST_OUTCOME_TRY(values, parse_runtime_config(document));
    return json{{"generation", record.generation},
                {"revision", present ? present->second : revision_number{}},
                {"document", json::parse(document)},
                {"values", json::parse(serialize(values))},
                {"accepted_by", record.accepted_by},
                {"accepted_unix_ms", record.accepted_unix_ms}};
}

result<json> describe_rollout(store_client& store, seen_members& seen, std::int64_t now_unix_ms) {
    BOOST_OUTCOME_TRY(present, read_config(store));
    BOOST_OUTCOME_TRY(members, store.list(std::string(members_prefix)));
    const auto accepted_generation = present ? present->first.generation : generation_number{};
    json rows = json::array();
    std::size_t behind = 0;
    for (const auto& entry : members.entries) {
        const auto record = parse_member_record(entry.value);
        if (!record) {
            continue;
        }
        const auto instance = entry.key.substr(members_prefix.size());
        // A member may report a later generation, accepted after the read above.
        const bool in_force = record.value().generation >= accepted_generation;
        behind += in_force ? 0 : 1;
        auto row = format_member(instance, record.value());
        row["state"] = in_force ? "in_force" : "behind";
        rows.push_back(std::move(row));
        seen.rows[instance] = {record.value(), now_unix_ms};
    }
    return json{{"generation", accepted_generation},
                {"accepted_by", present ? present->first.accepted_by : ""},
                {"accepted_unix_ms", present ? present->first.accepted_unix_ms : 0},
                {"complete", behind == 0},
                {"behind", behind},
                {"members", std::move(rows)},
                {"gone", list_gone_members(seen, now_unix_ms)}};
}

} // namespace fulmar
