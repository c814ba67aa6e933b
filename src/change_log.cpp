#include "change_log.hpp"

#include "fulmar/json.hpp"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace fulmar {

namespace {

// A history holds the id of the request that created the record and the latest ids. This is enough
// for a writer whose reply was lost to find its own id after a few operators changed the record.
constexpr std::size_t history_limit = 8;

// A write that is not visible after the first attempt is sent a second time. Both attempts expect
// the same revision, so only one of them can take effect.
constexpr int max_write_attempts = 2;

std::string hash_parts(std::initializer_list<std::string_view> parts) {
    std::string joined;
    for (const auto part : parts) {
        // The length distinguishes ("ab", "c") from ("a", "bc").
        joined += std::to_string(part.size()) + ':' + std::string(part);
    }
    const auto hash = XXH3_128bits(joined.data(), joined.size());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto half : {hash.high64, hash.low64}) {
        for (int shift = 60; shift >= 0; shift -= 4) {
            text += digits.at((half >> shift) & 0xF);
        }
    }
    return text;
}

// Returns the request history of a stored record, or an empty one if the record has none.
request_history read_request_history(std::string_view value) {
    const auto record = parse_json<json>(value);
    if (!record || !record.value().is_object() || !record.value().contains("requests")) {
        return {};
    }
    const auto history = parse_json<request_history>(record.value()["requests"].dump());
    return history ? history.value() : request_history{};
}

bool contains(const request_history& history, const std::string& id) {
    return std::find(history.begin(), history.end(), id) != history.end();
}

bool is_ambiguous(const error& failure) {
    return failure.kind == error_kind::timeout || failure.kind == error_kind::outcome_unknown;
}

// Converts an ambiguous error that occurred before any write was sent to unavailable: nothing was
// changed, so the outcome is known.
error unavailable_error(error failure) {
    if (is_ambiguous(failure)) {
        failure.kind = error_kind::unavailable;
    }
    return failure;
}

enum class write_status : std::uint8_t { applied, refused, not_visible, unclear };

// Determines from the present record whether a write took effect.
write_status classify_write(const planned_write& write, const std::string& id,
                            const std::optional<store_entry>& present) {
    const auto revision = present ? present->revision : revision_number{};
    if (revision == write.expected) {
        return write_status::not_visible;
    }
    if (write.removes) {
        // If the key is absent, the record with the expected revision was removed, by this request
        // or by another one.
        return present ? write_status::unclear : write_status::applied;
    }
    if (!present) {
        return write_status::unclear;
    }
    const auto history = read_request_history(present->value);
    if (contains(history, id)) {
        return write_status::applied;
    }
    const auto planned = read_request_history(write.value);
    // A job's key is never removed, so the first id in its history is that of the request that
    // created it. Any other record may have been created by this request, removed and created
    // again.
    const bool created_by_other =
        write.expected.value == 0 && write.key.starts_with(jobs_prefix) && !history.empty();
    // If the history still holds the request that this write was based on, it would also hold this
    // request's id, had the write taken effect.
    const bool history_complete =
        created_by_other || (planned.size() >= 2 && history.size() < history_limit &&
                             contains(history, planned.at(planned.size() - 2)));
    return history_complete ? write_status::refused : write_status::unclear;
}

error conflict_error(const planned_write& write, const std::optional<store_entry>& present) {
    if (!present) {
        return {error_kind::conflict, write.key + ": the record was deleted"};
    }
    if (write.expected.value == 0) {
        return {error_kind::conflict,
                write.key + ": exists at revision " + std::to_string(present->revision.value)};
    }
    return {error_kind::conflict, write.key + ": revision is " +
                                      std::to_string(present->revision.value) + ", expected " +
                                      std::to_string(write.expected.value)};
}

result<revision_number> send_write(store_client& store, const planned_write& write) {
    return write.removes ? store.remove(write.key, write.expected)
                         : store.compare_and_swap({write.key, write.value, write.expected, {}});
}

std::string change_key(const std::string& id) {
    return std::string(changes_prefix) + id;
}

struct stored_change {
    change_record record;
    revision_number revision;
    bool attempted = false; // an earlier request, which may have sent the write, made the record
};

// Reads the change record of an earlier request with this id. Returns conflict when that request's
// fingerprint differs.
result<std::optional<stored_change>> find_change(store_client& store,
                                                 const change_request& request) {
    BOOST_OUTCOME_TRY(entry, store.get(change_key(request.id)));
    if (!entry) {
        return std::optional<stored_change>{};
    }
    BOOST_OUTCOME_TRY(record, parse_change_record(entry->value));
    if (record.fingerprint != request.fingerprint) {
        return error{error_kind::conflict, "Idempotency-Key: already used for a different request"};
    }
    return std::optional(stored_change{std::move(record), entry->revision, true});
}

// Returns the change record of an earlier request with this request's key, if there is one. The key
// of a dry run is not used.
result<std::optional<stored_change>> find_earlier_change(store_client& store,
                                                         const change_request& request) {
    if (!request.has_idempotency_key) {
        return std::optional<stored_change>{};
    }
    auto found = find_change(store, request);
    return found ? std::move(found) : unavailable_error(found.error());
}

// Writes the change record before the change itself, so that every change is recorded. Returns the
// earlier record if another request with the same key wrote it first.
result<stored_change> start_change(store_client& store, const change_request& request,
                                   const planned_write& write) {
    change_record record;
    record.who = request.requester.name;
    record.action = request.action;
    record.fingerprint = request.fingerprint;
    record.unix_ms = request.now_unix_ms;
    record.key = write.key;
    record.value = write.value;
    record.expected = write.expected;
    record.removes = write.removes;
    const auto written =
        write_and_confirm(store, {change_key(request.id), serialize(record), {}, {}});
    if (written) {
        return stored_change{std::move(record), written.value()};
    }
    if (written.error().kind == error_kind::conflict && request.has_idempotency_key) {
        auto found = find_change(store, request);
        if (!found) {
            return unavailable_error(found.error());
        }
        if (found.value()) {
            return std::move(*found.value());
        }
    }
    // A change without a change record is not attempted, so nothing was changed.
    return error{error_kind::unavailable,
                 "not changed, because the change record could not be written: " +
                     written.error().detail};
}

// Records the outcome. If that fails, the record stays in the state started, from which a repeated
// request with the same key continues.
void finish_change(store_client& store, const change_request& request, stored_change change,
                   const result<revision_number>& outcome) {
    auto& record = change.record;
    record.state = outcome ? change_state::applied : change_state::refused;
    if (outcome) {
        record.revision = outcome.value();
    } else {
        record.refusal = to_string(outcome.error().kind);
        record.detail = outcome.error().detail;
    }
    const auto written =
        write_and_confirm(store, {change_key(request.id), serialize(record), change.revision, {}});
    if (!written) {
        spdlog::warn("audit: the outcome of change {} was not recorded: {}", request.id,
                     written.error().detail);
    }
}

void log_change(const change_request& request, const result<revision_number>& outcome) {
    if (outcome) {
        spdlog::info("audit: {} performed {}, revision {}, request {}", request.requester.name,
                     request.action, outcome.value().value, request.id);
    } else {
        spdlog::info("audit: {} attempted {}, {}: {}, request {}", request.requester.name,
                     request.action, to_string(outcome.error().kind), outcome.error().detail,
                     request.id);
    }
}

// Returns the recorded outcome of a change that has ended.
result<applied_change> replay(const change_record& record) {
    if (record.state == change_state::refused) {
        return error{error_kind::conflict, record.detail};
    }
    return applied_change{record.key, record.value, record.revision, true};
}

} // namespace

std::string make_request_id(const principal& requester, std::string_view idempotency_key) {
    return hash_parts({requester.name, requester.team.value, idempotency_key});
}

std::string make_fingerprint(std::string_view method, std::string_view path, std::string_view query,
                             std::string_view body) {
    return hash_parts({method, path, query, body});
}

void append_request_id(request_history& history, const std::string& id) {
    if (history.size() >= history_limit) {
        history.erase(history.begin() + 1);
    }
    history.push_back(id);
}

result<revision_number> perform_write(store_client& store, const planned_write& write,
                                      const std::string& id, bool attempted) {
    bool may_be_applied = attempted;
    for (int i = 0; i < max_write_attempts; ++i) {
        // Step 1: write.
        auto written = send_write(store, write);
        if (written) {
            return written;
        }
        const auto& failure = written.error();
        const bool refused = failure.kind == error_kind::conflict;
        if (!is_unconfirmed(failure) && !refused) {
            return may_be_applied ? error{error_kind::outcome_unknown, failure.detail} : failure;
        }
        may_be_applied = may_be_applied || !refused;

        // Step 2: read the record back. A conflict may also be caused by an earlier request with
        // the same id.
        const auto present = store.get(write.key);
        if (!present) {
            return may_be_applied ? error{error_kind::outcome_unknown,
                                          write.key + ": reply lost and the read back failed: " +
                                              present.error().detail}
                                  : failure;
        }
        switch (classify_write(write, id, present.value())) {
        case write_status::applied:
            // If the store refused this removal, another request removed the record.
            if (write.removes && !may_be_applied) {
                return conflict_error(write, present.value());
            }
            return present.value() ? present.value()->revision : write.expected;
        case write_status::refused:
            return conflict_error(write, present.value());
        case write_status::unclear:
            return may_be_applied
                       ? error{error_kind::outcome_unknown,
                               write.key +
                                   ": reply lost and the record was changed by others since"}
                       : conflict_error(write, present.value());
        case write_status::not_visible:
            break;
        }
    }
    return error{error_kind::outcome_unknown,
                 write.key + ": replies lost and the write is not visible"};
}

result<applied_change> perform_change(store_client& store, const change_request& request,
                                      const std::function<result<planned_write>()>& plan) {
    // Step 1: find an earlier request with the same key. Otherwise plan the write.
    BOOST_OUTCOME_TRY(change, find_earlier_change(store, request));
    result<planned_write> planned = planned_write{};
    if (!change) {
        planned = plan();
    }
    if (!planned) {
        // The cause may be that an earlier request with the same key has taken effect by now. Its
        // change record was written before.
        BOOST_OUTCOME_TRY(cause, find_earlier_change(store, request));
        if (!cause) {
            return unavailable_error(planned.error());
        }
        change = std::move(cause);
    }
    if (change && change->record.state != change_state::started) {
        return replay(change->record);
    }

    // Step 2: record the write, unless an earlier request already did.
    if (!change) {
        const auto& write = planned.value();
        if (request.dry_run) {
            return applied_change{write.key, write.value, write.expected, false};
        }
        BOOST_OUTCOME_TRY(started, start_change(store, request, write));
        if (started.record.state != change_state::started) {
            return replay(started.record);
        }
        change = std::move(started);
    }

    // Step 3: write, and record the outcome if it is final.
    const auto& record = change->record;
    const planned_write write{record.key, record.value, record.expected, record.removes};
    const auto written = perform_write(store, write, request.id, change->attempted);
    log_change(request, written);
    if (written || written.error().kind == error_kind::conflict) {
        finish_change(store, request, *change, written);
    }
    if (!written) {
        return written.error();
    }
    return applied_change{write.key, write.value, written.value(), false};
}

result<std::size_t> prune_changes(store_client& store, unsigned partition, std::int64_t now_unix_ms,
                                  duration retention, std::size_t limit) {
    constexpr std::string_view digits = "0123456789abcdef";
    const std::string prefix =
        change_key({digits.at(partition / 16 % 16), digits.at(partition % 16)});
    BOOST_OUTCOME_TRY(listing, store.list(prefix));
    std::size_t removed = 0;
    for (const auto& entry : listing.entries) {
        const auto record = parse_change_record(entry.value);
        if (removed >= limit || !record ||
            now_unix_ms - record.value().unix_ms <= retention.count()) {
            continue;
        }
        // The removal fails if another host already removed the record.
        if (store.remove(entry.key, entry.revision)) {
            ++removed;
        }
    }
    return removed;
}

result<void> check_condition(const change_request& request, const std::string& key,
                             revision_number present) {
    if (request.if_match && *request.if_match != present) {
        return error{error_kind::conflict, key + ": revision is " + std::to_string(present.value) +
                                               ", expected " +
                                               std::to_string(request.if_match->value)};
    }
    return outcome::success();
}

} // namespace fulmar
