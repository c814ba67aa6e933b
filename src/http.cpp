#include "fulmar/http.hpp"

#include "fulmar/json.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace fulmar {

namespace {

struct status_row {
    error_kind kind;
    int status;
};

constexpr std::array statuses{
    status_row{error_kind::invalid_argument, 400},  status_row{error_kind::not_found, 404},
    status_row{error_kind::conflict, 409},          status_row{error_kind::unauthenticated, 401},
    status_row{error_kind::forbidden, 403},         status_row{error_kind::unavailable, 503},
    status_row{error_kind::timeout, 504},           status_row{error_kind::outcome_unknown, 502},
    status_row{error_kind::capacity_exceeded, 422}, status_row{error_kind::stale_epoch, 412},
    status_row{error_kind::lease_held, 423},        status_row{error_kind::expired, 410},
    status_row{error_kind::protocol_error, 400}};

static_assert(statuses.size() == static_cast<std::size_t>(error_kind::protocol_error) + 1);

bool equal_without_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x)) ==
               std::tolower(static_cast<unsigned char>(y));
    });
}

std::optional<int> hex_digit(char c) {
    constexpr std::string_view digits = "0123456789abcdef";
    const auto position =
        digits.find(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
    return position == std::string_view::npos ? std::nullopt
                                              : std::optional<int>(static_cast<int>(position));
}

// Decodes percent escapes and plus signs; malformed escapes are left unchanged.
std::string decode_query(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+') {
            decoded += ' ';
            continue;
        }
        if (text[i] == '%' && i + 2 < text.size()) {
            const auto high = hex_digit(text[i + 1]);
            const auto low = hex_digit(text[i + 2]);
            if (high && low) {
                decoded += static_cast<char>(*high * 16 + *low);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

// Returns a string member; empty if it is missing or of another type.
std::string text_member(const json& from, const char* name) {
    const auto member = from.find(name);
    return member != from.end() && member->is_string() ? member->get<std::string>() : std::string();
}

} // namespace

std::optional<std::string> find_header(const std::vector<http_header>& headers,
                                       std::string_view name) {
    for (const auto& header : headers) {
        if (equal_without_case(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

std::optional<std::string> find_query(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        if (decode_query(pair.substr(0, equals)) == name) {
            return equals < pair.size() ? decode_query(pair.substr(equals + 1)) : std::string();
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

http_response json_response(int status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

http_response error_response(const error& failure) {
    const auto row = std::find_if(statuses.begin(), statuses.end(),
                                  [&](const status_row& r) { return r.kind == failure.kind; });
    const int status = row == statuses.end() ? 500 : row->status;
    // A detail may quote bytes of a request that are not valid UTF-8; dump would throw an
    // exception.
    return json_response(status,
                         json{{"error", to_string(failure.kind)}, {"detail", failure.detail}}.dump(
                             -1, ' ', false, json::error_handler_t::replace));
}

error parse_error_response(const http_response& response) {
    const auto body = parse_json<json>(response.body);
    if (body.has_value() && body.value().is_object()) {
        const std::string name = text_member(body.value(), "error");
        for (const auto& row : statuses) {
            if (to_string(row.kind) == name) {
                return {row.kind, text_member(body.value(), "detail")};
            }
        }
    }
    return {error_kind::protocol_error, "unexpected status " + std::to_string(response.status)};
}

} // namespace fulmar
