// Changes of stored records: conditional, audited, idempotent under a client's key, and settled
// when a reply of the store is lost.
#pragma once

#include "access.hpp"
#include "fulmar/records.hpp"
#include "fulmar/store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace fulmar {

// One request for a change.
struct change_request {
    principal who;
    std::string id;          // unique to the request, or derived from the client's key
    bool keyed = false;      // the client gave an Idempotency-Key
    std::string fingerprint; // hash of method, path and body
    std::string action;      // such as "create jobs/renders-1"
    std::int64_t now_unix_ms = 0;
    std::optional<revision_number> if_match;
    bool dry_run = false;
};

// The write that a request amounts to. The record written carries the request's id, see
// note_request; `removes` deletes the key instead.
struct planned_write {
    std::string key;
    std::string value;
    revision_number expected;
    bool removes = false;
};

// What a change did.
struct applied_change {
    std::string key;
    std::string value;
    revision_number revision; // after the change; of the replaced record for a dry run
    bool replayed = false;    // the answer of an earlier request with the same key
};

// Makes the id of a request from the client's key, which is scoped to the principal, so that one
// client's key can't show another client's answer.
std::string make_request_id(const principal& who, std::string_view idempotency_key);

// Hashes what a request asks for.
std::string make_fingerprint(std::string_view method, std::string_view path, std::string_view query,
                             std::string_view body);

// Appends a request to a record's history.
void note_request(request_history& history, const std::string& id);

// Writes the record, or removes it, and settles a lost reply by reading back. Returns
// outcome_unknown when it can't be told whether the write took effect, conflict when it did not
// because of another writer, and any other error when it did not. `id` must be in the new record's
// history; `attempted` tells that an earlier request may have sent the same write.
result<revision_number> write_settled(store_client& store, const planned_write& write,
                                      const std::string& id, bool attempted);

// Performs a change: finds an earlier request with the same key, plans, records the change under
// changes/<id>, writes, and records the outcome. The plan is made only once per key. An error other
// than outcome_unknown means that this request changed nothing.
result<applied_change> perform_change(store_client& store, const change_request& request,
                                      const std::function<result<planned_write>()>& plan);

// How many parts the change records are divided into by the first digits of their ids, so that a
// sweep lists a small part at a time.
inline constexpr unsigned change_parts = 256;

// Removes the records of one part that are older than the retention time, at most `limit` of them;
// a key older than that is no longer known. Returns how many were removed.
result<std::size_t> prune_changes(store_client& store, unsigned part, std::int64_t now_unix_ms,
                                  duration retention, std::size_t limit);

// Returns conflict unless the request's condition, if any, names the present revision.
result<void> check_condition(const change_request& request, const std::string& key,
                             revision_number present);

} // namespace fulmar
