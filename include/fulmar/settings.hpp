// INI settings files. A table of rows defines the accepted keys, their units and their ranges.
#pragma once

#include "fulmar/types.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace fulmar {

enum class setting_kind : std::uint8_t {
    text,     // any non-empty text
    integer,  // decimal number
    number,   // decimal number that may have a fraction
    duration, // number with the unit ms, s, min or h
    size,     // number with the unit B, KiB or MiB
    address,  // IPv4 address and port, such as 127.0.0.1:8080
    boolean,  // yes or no
};

// One accepted key. The key "*" accepts any key of its section. A key without a default value is
// required, except "*". The range applies to numbers, durations (in milliseconds) and sizes (in
// bytes).
struct setting_spec {
    std::string_view section;
    std::string_view key;
    setting_kind kind = setting_kind::text;
    std::string_view default_value;
    std::int64_t minimum = 0;
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
    std::string_view description;
};

// Validated settings: values by section and key, including defaults.
struct settings {
    std::string file;
    std::map<std::pair<std::string, std::string>, std::string> values;
};

// An IPv4 address and a TCP or UDP port. With port 0 the operating system chooses the port.
struct socket_address {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const socket_address&) const = default;
};

// Reads and validates a settings file. Returns invalid_argument with file, section and key for
// unknown or missing keys, invalid units and values out of range; not_found if the file can't be
// read.
result<settings> load_settings(const std::string& file, std::span<const setting_spec> rows);

// Validates settings text like load_settings; `file` is used only in error messages.
result<settings> parse_settings(const std::string& file, const std::string& text,
                                std::span<const setting_spec> rows);

// Parses an address such as 127.0.0.1:8080; returns invalid_argument for anything else.
result<socket_address> parse_address(std::string_view text);

// Formats an address as host:port.
std::string to_string(const socket_address& address);

// Accessors for validated settings. The key must be in the table with which the settings were
// parsed.
std::string text_setting(const settings& from, std::string_view section, std::string_view key);
std::int64_t integer_setting(const settings& from, std::string_view section, std::string_view key);
double number_setting(const settings& from, std::string_view section, std::string_view key);
duration duration_setting(const settings& from, std::string_view section, std::string_view key);
std::int64_t size_setting(const settings& from, std::string_view section, std::string_view key);
socket_address address_setting(const settings& from, std::string_view section,
                               std::string_view key);
bool boolean_setting(const settings& from, std::string_view section, std::string_view key);

// Returns all keys and values of one section.
std::map<std::string, std::string> section_settings(const settings& from, std::string_view section);

} // namespace fulmar
