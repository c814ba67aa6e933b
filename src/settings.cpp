#include "fulmar/settings.hpp"

#include <arpa/inet.h>
#include <ini.h>

#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>

namespace fulmar {

namespace {

struct unit_row {
    setting_kind kind;
    std::string_view name;
    std::int64_t factor;
};

// Durations are stored in milliseconds, sizes in bytes.
constexpr std::array units{unit_row{setting_kind::duration, "ms", 1},
                           unit_row{setting_kind::duration, "s", 1000},
                           unit_row{setting_kind::duration, "min", 60'000},
                           unit_row{setting_kind::duration, "h", 3'600'000},
                           unit_row{setting_kind::size, "B", 1},
                           unit_row{setting_kind::size, "KiB", 1024},
                           unit_row{setting_kind::size, "MiB", 1024 * 1024}};

// inih reads lines into a buffer of 200 bytes and names into buffers of 50 bytes. It parses the
// rest of a longer line as a new line and truncates longer names without an error.
constexpr std::size_t max_line_bytes = 198;
constexpr std::size_t max_name_bytes = 48;

struct ini_entry {
    std::string section;
    std::string key;
    std::string value;
};

// inih callback: appends the key and value of one line to the entries.
int collect_entry(void* user, const char* section, const char* name, const char* value) {
    static_cast<std::vector<ini_entry>*>(user)->push_back({section, name, value});
    return 1;
}

// Parses the decimal number at the start of the text and sets `rest` to the text after it.
std::optional<std::int64_t> parse_number(std::string_view text, std::string_view& rest) {
    std::int64_t number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (problem != std::errc{}) {
        return std::nullopt;
    }
    rest = text.substr(static_cast<std::size_t>(end - text.data()));
    return number;
}

// Parses a number with a unit of the given kind. Returns nullopt if the number or the unit is
// invalid or the product overflows.
std::optional<std::int64_t> parse_quantity(setting_kind kind, std::string_view text) {
    std::string_view unit;
    const auto number = parse_number(text, unit);
    if (!number) {
        return std::nullopt;
    }
    if (unit.starts_with(' ')) {
        unit.remove_prefix(1);
    }
    if (kind == setting_kind::integer) {
        return unit.empty() ? number : std::nullopt;
    }
    for (const auto& row : units) {
        std::int64_t quantity = 0;
        if (row.kind == kind && row.name == unit) {
            return __builtin_mul_overflow(*number, row.factor, &quantity)
                       ? std::nullopt
                       : std::optional<std::int64_t>(quantity);
        }
    }
    return std::nullopt;
}

// Parses a finite decimal number that may have a fraction. Returns nullopt for anything else.
std::optional<double> parse_decimal(std::string_view text) {
    double number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = problem == std::errc{} && end == text.data() + text.size();
    return whole && std::isfinite(number) ? std::optional(number) : std::nullopt;
}

std::string_view expected_format(setting_kind kind) {
    switch (kind) {
    case setting_kind::integer:
        return "a whole number";
    case setting_kind::number:
        return "a number";
    case setting_kind::duration:
        return "a duration with the unit ms, s, min or h";
    case setting_kind::size:
        return "a size with the unit B, KiB or MiB";
    case setting_kind::address:
        return "an address such as 127.0.0.1:8080";
    case setting_kind::boolean:
        return "yes or no";
    case setting_kind::text:
        break;
    }
    return "text that is not empty";
}

// Returns why a value is invalid for its row, or nullopt if it is valid.
std::optional<std::string> find_value_problem(const setting_spec& row, const std::string& value) {
    if (row.kind == setting_kind::text) {
        return value.empty() ? std::optional<std::string>("expected text that is not empty")
                             : std::nullopt;
    }
    bool valid = false;
    if (row.kind == setting_kind::boolean) {
        valid = value == "yes" || value == "no";
    } else if (row.kind == setting_kind::address) {
        valid = parse_address(value).has_value();
    } else if (row.kind == setting_kind::number) {
        const auto number = parse_decimal(value);
        if (number && (*number < static_cast<double>(row.minimum) ||
                       *number > static_cast<double>(row.maximum))) {
            return "out of range, allowed are " + std::to_string(row.minimum) + " to " +
                   std::to_string(row.maximum);
        }
        valid = number.has_value();
    } else if (const auto number = parse_quantity(row.kind, value)) {
        if (*number < row.minimum || *number > row.maximum) {
            return "out of range, allowed are " + std::to_string(row.minimum) + " to " +
                   std::to_string(row.maximum) +
                   (row.kind == setting_kind::duration ? " ms"
                    : row.kind == setting_kind::size   ? " bytes"
                                                       : "");
        }
        valid = true;
    }
    if (valid) {
        return std::nullopt;
    }
    return "expected " + std::string(expected_format(row.kind));
}

// Returns the row of an entry, or nullptr. A row with the entry's key takes precedence over "*".
const setting_spec* find_row(std::span<const setting_spec> rows, const ini_entry& entry) {
    const setting_spec* wildcard = nullptr;
    for (const auto& row : rows) {
        if (row.section != entry.section) {
            continue;
        }
        if (row.key == entry.key) {
            return &row;
        }
        wildcard = row.key == "*" ? &row : wildcard;
    }
    return wildcard;
}

// Returns why inih would parse the text incorrectly, or nullopt if it parses it correctly.
std::optional<std::string> find_format_problem(const std::string& text) {
    if (text.find('\0') != std::string::npos) {
        return "contains a NUL byte";
    }
    std::istringstream lines(text);
    int number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        const auto name = line.substr(0, line.find_first_of("=:]"));
        const bool comment = line.find_first_not_of(" \t") != std::string::npos &&
                             std::string_view(";#").find(line[line.find_first_not_of(" \t")]) !=
                                 std::string_view::npos;
        if (line.size() > max_line_bytes || (!comment && name.size() > max_name_bytes)) {
            return "line " + std::to_string(number) + ": too long, allowed are " +
                   std::to_string(max_line_bytes) + " bytes, and " +
                   std::to_string(max_name_bytes) + " for a name";
        }
    }
    return std::nullopt;
}

error setting_error(const std::string& file, std::string_view section, std::string_view key,
                    const std::string& problem) {
    return {error_kind::invalid_argument,
            file + ": [" + std::string(section) + "] " + std::string(key) + ": " + problem};
}

std::int64_t quantity_setting(const settings& from, std::string_view section, std::string_view key,
                              setting_kind kind) {
    const auto number = parse_quantity(kind, text_setting(from, section, key));
    assert(number.has_value());
    return *number;
}

} // namespace

result<socket_address> parse_address(std::string_view text) {
    const error malformed{error_kind::invalid_argument, "malformed address: " + std::string(text)};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformed;
    }
    std::string_view rest;
    const auto port = parse_number(text.substr(colon + 1), rest);
    if (!port || !rest.empty() || text[colon + 1] == '-' || *port > 65535) {
        return malformed;
    }
    const std::string host(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
        return malformed;
    }
    return socket_address{host, static_cast<std::uint16_t>(*port)};
}

std::string to_string(const socket_address& address) {
    return address.host + ":" + std::to_string(address.port);
}

result<settings> parse_settings(const std::string& file, const std::string& text,
                                std::span<const setting_spec> rows) {
    // Step 1: split the text into entries.
    if (const auto problem = find_format_problem(text)) {
        return error{error_kind::invalid_argument, file + ": " + *problem};
    }
    std::vector<ini_entry> entries;
    const int bad_line = ini_parse_string(text.c_str(), collect_entry, &entries);
    if (bad_line != 0) {
        return error{error_kind::invalid_argument, file + ": line " + std::to_string(bad_line) +
                                                       ": not a section, key or comment"};
    }

    // Step 2: validate each entry against its row.
    settings parsed{file, {}};
    for (const auto& entry : entries) {
        const setting_spec* row = find_row(rows, entry);
        if (row == nullptr) {
            return setting_error(file, entry.section, entry.key, "unknown key");
        }
        if (const auto problem = find_value_problem(*row, entry.value)) {
            return setting_error(file, entry.section, entry.key, *problem);
        }
        if (!parsed.values.try_emplace({entry.section, entry.key}, entry.value).second) {
            return setting_error(file, entry.section, entry.key, "given twice");
        }
    }

    // Step 3: add default values and report missing keys.
    for (const auto& row : rows) {
        std::pair<std::string, std::string> name{row.section, row.key};
        if (row.key == "*" || parsed.values.contains(name)) {
            continue;
        }
        if (row.default_value.empty()) {
            return setting_error(file, row.section, row.key, "missing, and there is no default");
        }
        assert(!find_value_problem(row, std::string(row.default_value)));
        parsed.values.emplace(std::move(name), row.default_value);
    }
    return parsed;
}

result<settings> load_settings(const std::string& file, std::span<const setting_spec> rows) {
    const std::ifstream in(file);
    if (!in) {
        return error{error_kind::not_found, file + ": can't be read"};
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parse_settings(file, text.str(), rows);
}

std::string text_setting(const settings& from, std::string_view section, std::string_view key) {
    const auto found = from.values.find({std::string(section), std::string(key)});
    assert(found != from.values.end());
    return found->second;
}

double number_setting(const settings& from, std::string_view section, std::string_view key) {
    return parse_decimal(text_setting(from, section, key)).value_or(0);
}

std::int64_t integer_setting(const settings& from, std::string_view section, std::string_view key) {
    return quantity_setting(from, section, key, setting_kind::integer);
}

duration duration_setting(const settings& from, std::string_view section, std::string_view key) {
    return duration(quantity_setting(from, section, key, setting_kind::duration));
}

std::int64_t size_setting(const settings& from, std::string_view section, std::string_view key) {
    return quantity_setting(from, section, key, setting_kind::size);
}

socket_address address_setting(const settings& from, std::string_view section,
                               std::string_view key) {
    const auto address = parse_address(text_setting(from, section, key));
    assert(address.has_value());
    return address.value();
}

bool boolean_setting(const settings& from, std::string_view section, std::string_view key) {
    return text_setting(from, section, key) == "yes";
}

std::map<std::string, std::string> section_settings(const settings& from,
                                                    std::string_view section) {
    std::map<std::string, std::string> found;
    for (const auto& [name, value] : from.values) {
        if (name.first == section) {
            found.emplace(name.second, value);
        }
    }
    return found;
}

} // namespace fulmar
