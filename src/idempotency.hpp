// Records of non-idempotent requests in the store, by which each runs at most once.
#pragma once

#include "fulmar/http.hpp"
#include "fulmar/store.hpp"

#include <optional>

namespace fulmar {

// Larger bodies are recorded as answered without body.
inline constexpr std::size_t recorded_body_limit = 64 * 1024;

enum class idempotency_state : std::uint8_t { intent, answered };

// idem/<hash of the key>: the intent to run a request, then its answer. An intent that stays means
// that the outcome is unknown.
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

// Conversions to stored text; parsing returns protocol_error.
std::string serialize(const idempotency_record& record);
result<idempotency_record> parse_idempotency_record(std::string_view text);

// Returns the store key of an Idempotency-Key.
std::string idempotency_store_key(std::string_view key);

// Returns a 128-bit hash of method, path, query and body.
std::string request_fingerprint(const http_request& request);

enum class intent_result : std::uint8_t {
    proceed,           // the intent is ours: the request may be sent
    recorded,          // answered before
    unknown,           // another request with this key is in progress or its outcome is unknown
    key_reused,        // the key belongs to a different request
    store_unavailable, // not recorded, so the request must not be sent
};

struct intent_reply {
    intent_result result = intent_result::store_unavailable;
    revision_number revision;                 // of our intent
    std::optional<idempotency_record> record; // what another request left, if any
};

// Writes the intent before a request is sent. A lost reply is resolved by reading back and, if the
// write isn't visible, by one further attempt with the same value. Blocks for up to four store
// calls.
intent_reply write_intent(store_client& store, const idempotency_record& intent);

// Records the answer over our intent.
result<revision_number> record_answer(store_client& store, const idempotency_record& intent,
                                      revision_number revision, const http_response& answer);

// Removes our intent after the request was certainly not run, so that its key can be used again.
result<revision_number> remove_intent(store_client& store, const idempotency_record& intent,
                                      revision_number revision);

// Makes the response for a repeated key from the record.
http_response replay_answer(const idempotency_record& record);

} // namespace fulmar
