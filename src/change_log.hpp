// Changes of stored records. A change is conditional on the record's revision, is recorded for the
// audit, and is idempotent under a client's key. After a lost reply of the store, the outcome is
// determined by reading the record back.
#pragma once

#include "access.hpp"
#include "fulmar/records.hpp"
#include "fulmar/store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace fulmar {

// A request to change a stored record.
struct change_request {
    principal requester;
    std::string id;                   // unique to the request, or derived from the client's key
    bool has_idempotency_key = false; // the client sent an Idempotency-Key
    std::string fingerprint;          // hash of method, path, condition and body
    std::string action;               // such as "create jobs/renders-1"
    std::int64_t now_unix_ms = 0;
    std::optional<revision_number> if_match;
    bool dry_run = false;
};

// The store write that performs a request. The new record's history includes the request's id, see
// append_request_id. If `removes` is set, the key is deleted instead.
struct planned_write {
    std::string key;
    std::string value;
    revision_number expected;
    bool removes = false;
};

// The result of a change.
struct applied_change {
    std::string key;
    std::string value;
    revision_number revision; // after the change; for a dry run, of the present record
    bool replayed = false;    // the outcome of an earlier request with the same key
};

// Derives the id of a request from the principal and the client's key. The principal is included,
// so that a client can't read another client's answer by using the same key.
std::string make_request_id(const principal& requester, std::string_view idempotency_key);

// Hashes the content of a request.
std::string make_fingerprint(std::string_view method, std::string_view path, std::string_view query,
                             std::string_view body);

// Appends a request's id to a record's history. A full history drops its second-oldest id and keeps
// the first, which created the record.
void append_request_id(request_history& history, const std::string& id);

// Writes or removes the record. If the store's reply is lost, reads the record back to determine
// the outcome. Returns outcome_unknown if this doesn't show whether the write took effect, conflict
// if another writer prevented it, and any other error if it did not take effect. `id` must be in
// the new record's history. `attempted` means that an earlier request may have sent the same write.
result<revision_number> perform_write(store_client& store, const planned_write& write,
                                      const std::string& id, bool attempted);

// Performs a change: looks up an earlier request with the same key, plans the write, records the
// change under changes/<id>, writes, and records the outcome. The plan is made only once per key.
// An error other than outcome_unknown means that this request changed nothing.
result<applied_change> perform_change(store_client& store, const change_request& request,
                                      const std::function<result<planned_write>()>& plan);

// Number of partitions of the change records, by the first two digits of their ids. Pruning lists
// one partition at a time to keep each listing small.
inline constexpr unsigned change_partitions = 256;

// Removes change records of one partition that are older than the retention time, at most `limit`
// of them, and returns how many. An Idempotency-Key whose record was removed counts as a new one.
result<std::size_t> prune_changes(store_client& store, unsigned partition, std::int64_t now_unix_ms,
                                  duration retention, std::size_t limit);

// Returns conflict if the request names an expected revision and it differs from the present one.
result<void> check_condition(const change_request& request, const std::string& key,
                             revision_number present);

} // namespace fulmar
