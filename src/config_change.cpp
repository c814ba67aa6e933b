#include "config_change.hpp"

#include "bounded_json.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace fulmar {

namespace {

// Bounds of a history: what a host misses while its links are busy for some seconds.
constexpr std::size_t history_limit = 64;
constexpr std::size_t history_entries_limit = 500;

template <class Row>
auto ids_of(const std::vector<Row>& rows) {
    std::set<decltype(Row::id)> ids;
    for (const auto& row : rows) {
        ids.insert(row.id);
    }
    return ids;
}

template <class Row>
bool has_unique_ids(const std::vector<Row>& rows) {
    return ids_of(rows).size() == rows.size();
}

// Adds the rows of `to` that `from` lacks or has with other values, and the ids that `to` lacks.
template <class Row, class Id>
void compare_rows(const std::vector<Row>& from, const std::vector<Row>& to,
                  std::vector<Row>& changed, std::vector<Id>& removed) {
    std::map<Id, const Row*> known;
    for (const auto& row : from) {
        known[row.id] = &row;
    }
    for (const auto& row : to) {
        const auto before = known.find(row.id);
        if (before == known.end() || *before->second != row) {
            changed.push_back(row);
        }
    }
    const auto present = ids_of(to);
    for (const auto& [id, row] : known) {
        if (!present.contains(id)) {
            removed.push_back(id);
        }
    }
}

// Replaces rows in place, so that the order of the others stays the operators' one.
template <class Row, class Id>
void apply_rows(std::vector<Row>& rows, const std::vector<Row>& changed,
                const std::vector<Id>& removed) {
    const std::set<Id> gone(removed.begin(), removed.end());
    std::map<Id, const Row*> next;
    for (const auto& row : changed) {
        next[row.id] = &row;
    }
    std::erase_if(rows, [&](const Row& row) { return gone.contains(row.id); });
    for (auto& row : rows) {
        if (const auto found = next.find(row.id); found != next.end()) {
            row = *found->second;
            next.erase(found);
        }
    }
    for (const auto& row : changed) {
        if (next.contains(row.id)) {
            rows.push_back(row);
        }
    }
}

// A configuration has more than a thousand queues, so they are encoded without field names.
json encode_row(const queue_spec& queue) {
    json row{queue.id,
             queue.host,
             queue.prefix,
             queue.service,
             queue.priority,
             queue.max_attempts,
             queue.stretch,
             queue.objective.count(),
             queue.timeout.count()};
    if (queue.needs_advice) {
        row.push_back(queue.advice.call_time.count());
        row.push_back(queue.advice.time_per_worker.count());
        row.push_back(queue.advice.ticket_validity.count());
    }
    return row;
}

duration read_duration(const json& value) {
    return duration(value.get<std::int64_t>());
}

queue_spec decode_queue_row(const json& row) {
    constexpr std::size_t advice_begin = 9;
    queue_spec queue;
    queue.id = row.at(0).get<queue_id>();
    queue.host = row.at(1).get<std::string>();
    queue.prefix = row.at(2).get<std::string>();
    queue.service = row.at(3).get<service_id>();
    queue.priority = row.at(4).get<std::int32_t>();
    queue.max_attempts = row.at(5).get<std::uint32_t>();
    queue.stretch = row.at(6).get<double>();
    queue.objective = read_duration(row.at(7));
    queue.timeout = read_duration(row.at(8));
    if (row.size() > advice_begin) {
        queue.needs_advice = true;
        queue.advice = {read_duration(row.at(advice_begin)),
                        read_duration(row.at(advice_begin + 1)),
                        read_duration(row.at(advice_begin + 2))};
    }
    return queue;
}

json encode_row(const service_spec& service) {
    return {service.id, service.enforces_capacity, service.standby, service.health_path,
            service.max_connections};
}

service_spec decode_service_row(const json& row) {
    return {row.at(0).get<service_id>(), row.at(1).get<bool>(), row.at(2).get<bool>(),
            row.at(3).get<std::string>(), row.at(4).get<std::uint32_t>()};
}

template <class Row>
json encode_rows(const std::vector<Row>& rows) {
    json out = json::array();
    for (const auto& row : rows) {
        out.push_back(encode_row(row));
    }
    return out;
}

std::size_t count_entries(const config_change& change) {
    return change.queues.size() + change.removed_queues.size() + change.services.size() +
           change.removed_services.size() + 1;
}

config_change decode_change(const json& in) {
    config_change change;
    change.from = in.at(0).get<generation_number>();
    change.to = in.at(1).get<generation_number>();
    for (const auto& row : in.at(2)) {
        change.queues.push_back(decode_queue_row(row));
    }
    change.removed_queues = in.at(3).get<std::vector<queue_id>>();
    for (const auto& row : in.at(4)) {
        change.services.push_back(decode_service_row(row));
    }
    change.removed_services = in.at(5).get<std::vector<service_id>>();
    const auto& limits = in.at(6);
    change.limits = {limits.at(0).get<std::size_t>(), limits.at(1).get<std::size_t>(),
                     read_duration(limits.at(2)), read_duration(limits.at(3))};
    return change;
}

} // namespace

config_change compare(const site_config& from, const site_config& to) {
    const bool identified = has_unique_ids(from.queues) && has_unique_ids(to.queues) &&
                            has_unique_ids(from.services) && has_unique_ids(to.services);
    if (!identified && from.generation.value != 0) {
        return compare({}, to);
    }
    config_change change;
    change.from = from.generation;
    change.to = to.generation;
    change.limits = to.limits;
    compare_rows(from.queues, to.queues, change.queues, change.removed_queues);
    compare_rows(from.services, to.services, change.services, change.removed_services);
    return change;
}

result<site_config> apply(const config_change& change, const site_config& base) {
    if (change.from.value != 0 && change.from != base.generation) {
        return error{error_kind::conflict, "the change starts from another generation"};
    }
    auto next = change.from.value != 0 ? base : site_config{};
    next.generation = change.to;
    next.limits = change.limits;
    apply_rows(next.queues, change.queues, change.removed_queues);
    apply_rows(next.services, change.services, change.removed_services);
    return next;
}

std::string encode(const std::vector<config_change>& changes) {
    json out = json::array();
    for (const auto& change : changes) {
        const auto& limits = change.limits;
        out.push_back({change.from,
                       change.to,
                       encode_rows(change.queues),
                       change.removed_queues,
                       encode_rows(change.services),
                       change.removed_services,
                       {limits.header_bytes, limits.body_bytes, limits.header_timeout.count(),
                        limits.idle_timeout.count()}});
    }
    std::string text;
    json::to_msgpack(out, text);
    return text;
}

result<std::vector<config_change>> parse_config_changes(std::string_view text) {
    try {
        std::vector<config_change> changes;
        for (const auto& row : parse_bounded_msgpack(text)) {
            changes.push_back(decode_change(row));
        }
        return changes;
    } catch (const std::exception& failure) {
        return error{error_kind::protocol_error, make_printable(failure.what())};
    }
}

void record_change(config_history& history, config_change change) {
    if (!history.changes.empty() && history.changes.back().to != change.from) {
        history = {};
    }
    if (change.from.value == 0) {
        return;
    }
    history.entries += count_entries(change);
    history.changes.push_back(std::move(change));
    while (!history.changes.empty() &&
           (history.changes.size() > history_limit || history.entries > history_entries_limit)) {
        history.entries -= count_entries(history.changes.front());
        history.changes.pop_front();
    }
}

std::vector<config_change> changes_since(const config_history& history, generation_number from,
                                         const site_config& current) {
    const auto first =
        std::find_if(history.changes.begin(), history.changes.end(),
                     [&](const config_change& change) { return change.from == from; });
    std::size_t entries = 0;
    for (auto change = first; change != history.changes.end(); ++change) {
        entries += count_entries(*change);
    }
    const auto whole = current.queues.size() + current.services.size();
    if (from.value == 0 || first == history.changes.end() || entries > whole) {
        return {compare({}, current)};
    }
    return {first, history.changes.end()};
}

} // namespace fulmar
