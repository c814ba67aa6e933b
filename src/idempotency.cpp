#include "idempotency.hpp"

#include "fulmar/json.hpp"
#include "fulmar/records.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <charconv>

namespace fulmar {

NLOHMANN_JSON_SERIALIZE_ENUM(idempotency_state, {{idempotency_state::intent, "intent"},
                                                 {idempotency_state::answered, "answered"}})

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

// Keys, content types and bodies may not be valid UTF-8, which JSON text requires.
std::string to_hex(std::string_view bytes) {
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0xfU];
    }
    return text;
}

result<std::string> from_hex(std::string_view text) {
    const error malformed{error_kind::protocol_error, "idempotency record: malformed body"};
    if (text.size() % 2 != 0) {
        return malformed;
    }
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        unsigned value = 0;
        const char* end = text.data() + i + 2;
        if (std::from_chars(text.data() + i, end, value, 16).ptr != end) {
            return malformed;
        }
        bytes += static_cast<char>(value);
    }
    return bytes;
}

std::string hash_text(std::string_view text) {
    const auto hash = XXH3_128bits(text.data(), text.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    std::string bytes;
    for (const auto digit : canonical.digest) {
        bytes += static_cast<char>(digit);
    }
    return to_hex(bytes);
}

// Classifies the record that is already stored at the intent's key.
intent_reply classify_existing_record(const idempotency_record& intent,
                                      const store_entry& present) {
    auto parsed = parse_idempotency_record(present.value);
    if (!parsed) {
        return {intent_result::unknown, {}, {}};
    }
    auto& record = parsed.value();
    if (record.writer == intent.writer) {
        return {intent_result::proceed, present.revision, {}};
    }
    if (record.key != intent.key || record.fingerprint != intent.fingerprint) {
        return {intent_result::key_reused, {}, std::move(record)};
    }
    const auto result = record.state == idempotency_state::answered ? intent_result::recorded
                                                                    : intent_result::unknown;
    return {result, {}, std::move(record)};
}

} // namespace

std::string serialize(const idempotency_record& record) {
    return json{{"key", to_hex(record.key)},
                {"writer", record.writer},
                {"fingerprint", record.fingerprint},
                {"state", record.state},
                {"status", record.status},
                {"content_type", to_hex(record.content_type)},
                {"body_recorded", record.body_recorded},
                {"body", to_hex(record.body)}}
        .dump();
}

result<idempotency_record> parse_idempotency_record(std::string_view text) {
    BOOST_OUTCOME_TRY(in, parse_json<json>(text));
    idempotency_record record;
    std::string key;
    std::string content_type;
    std::string body;
    try {
        in.at("key").get_to(key);
        in.at("writer").get_to(record.writer);
        in.at("fingerprint").get_to(record.fingerprint);
        in.at("state").get_to(record.state);
        in.at("status").get_to(record.status);
        in.at("content_type").get_to(content_type);
        in.at("body_recorded").get_to(record.body_recorded);
        in.at("body").get_to(body);
    } catch (const json::exception& failure) {
        return error{error_kind::protocol_error, failure.what()};
    }
    BOOST_OUTCOME_TRY(key_bytes, from_hex(key));
    BOOST_OUTCOME_TRY(type_bytes, from_hex(content_type));
    BOOST_OUTCOME_TRY(body_bytes, from_hex(body));
    record.key = std::move(key_bytes);
    record.content_type = std::move(type_bytes);
    record.body = std::move(body_bytes);
    return record;
}

std::string idempotency_store_key(std::string_view key) {
    return std::string(idempotency_prefix) + hash_text(key);
}

std::string request_fingerprint(const http_request& request) {
    // Method, path and query contain no line feed, so the concatenation is unambiguous.
    return hash_text(request.method + "\n" + request.path + "\n" + request.query + "\n" +
                     request.body);
}

intent_reply write_intent(store_client& store, const idempotency_record& intent) {
    const store_write write{idempotency_store_key(intent.key), serialize(intent), {}, {}};
    constexpr int tries = 2;
    for (int i = 0; i < tries; ++i) {
        const auto written = write_and_confirm(store, write);
        if (written) {
            return {intent_result::proceed, written.value(), {}};
        }
        if (written.error().kind == error_kind::conflict) {
            const auto found = store.get(write.key);
            if (!found) {
                return {};
            }
            if (found.value()) {
                return classify_existing_record(intent, *found.value());
            }
            continue; // the record was removed after the conflict
        }
        if (written.error().kind != error_kind::outcome_unknown) {
            return {};
        }
    }
    return {};
}

result<revision_number> record_response(store_client& store, const idempotency_record& intent,
                                        revision_number revision, const http_response& answer) {
    auto record = intent;
    record.state = idempotency_state::answered;
    record.status = answer.status;
    record.content_type = find_header(answer.headers, "Content-Type").value_or("");
    record.body_recorded = answer.body.size() <= recorded_body_limit;
    if (record.body_recorded) {
        record.body = answer.body;
    }
    return write_and_confirm(store,
                             {idempotency_store_key(intent.key), serialize(record), revision, {}});
}

result<revision_number> remove_intent(store_client& store, const idempotency_record& intent,
                                      revision_number revision) {
    return store.remove(idempotency_store_key(intent.key), revision);
}

http_response make_replay_response(const idempotency_record& record) {
    http_response answer{
        record.status, {{"Fulmar-Outcome", "answered"}, {"Fulmar-Replayed", "yes"}}, record.body};
    if (!record.body_recorded) {
        answer.headers.push_back({"Fulmar-Reason", "body_not_recorded"});
    } else if (!record.content_type.empty()) {
        answer.headers.push_back({"Content-Type", record.content_type});
    }
    return answer;
}

} // namespace fulmar
