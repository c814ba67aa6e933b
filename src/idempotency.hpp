// Idempotency records in the store, which ensure that a non-idempotent request runs at most once.
#pragma once

#include "fulmar/http.hpp"
#include "fulmar/store.hpp"

#include <optional>

namespace fulmar {

// An answer with a larger body is recorded without its body.
inline constexpr std::size_t recorded_body_limit = 64 * 1024;

enum class idempotency_state : std::uint8_t { intent, answered };

// Stored at idem/<hash of the key>: first the intent to run a request, then its answer. While the
// record is an intent, the request is in progress or its outcome is unknown.
struct idempotency_record {
    std::string key;
    std::string writer;      // gate instance and request number, unique to one request
    std::string fingerprint; // of method, path, query and body
    idempotency_state state = idempotency_state::intent;
    int status = 0;
    std::string content_type = {};
    bool body_recorded = false;
    std::string body = {};
};

// Conversions to and from the stored text; parsing returns protocol_error for a malformed record.
std::string serialize(const idempotency_record& record);
result<idempotency_record> parse_idempotency_record(std::string_view text);

// Returns the store key of an Idempotency-Key.
std::string idempotency_store_key(std::string_view key);

// Returns a 128-bit hash of method, path, query and body.
std::string request_fingerprint(const http_request& request);

enum class intent_result : std::uint8_t {
    proceed,           // the intent is this request's own: it may be sent
    recorded,          // the key's request has been answered
    unknown,           // a request with this key is in progress or its outcome is unknown
    key_reused,        // the key belongs to a different request
    store_unavailable, // the intent is unconfirmed: the request must not be sent
};

struct intent_reply {
    intent_result result = intent_result::store_unavailable;
    revision_number revision;                 // of the written intent
    std::optional<idempotency_record> record; // record of another request, if any
};

// Writes the intent, which must be done before the request is sent. If the store's reply is lost,
// the record is read back and, if it isn't there, written once more with the same value. Blocks for
// up to four store calls.
intent_reply write_intent(store_client& store, const idempotency_record& intent);

// Replaces the intent, which must still have this revision, by a record of the answer.
result<revision_number> record_response(store_client& store, const idempotency_record& intent,
                                        revision_number revision, const http_response& answer);

// Removes the intent of a request that was provably not run, so that its key can be used again.
// Fails if the record no longer has this revision.
result<revision_number> remove_intent(store_client& store, const idempotency_record& intent,
                                      revision_number revision);

// Makes the response to a repeated key from the recorded answer.
http_response make_replay_response(const idempotency_record& record);

} // namespace fulmar
