// Decoding of JSON and MessagePack that another program wrote: bounded nesting, and numbers
// and names that are checked before they are converted. These functions throw; parse
// functions catch at their boundary and return the failure as an error value.
#pragma once

#include "fulmar/json.hpp"

#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>

namespace fulmar {

// Deepest nesting of arrays and objects. All messages need less than a third of this.
inline constexpr std::size_t json_depth_limit = 32;

class decode_error : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Parses a text or a MessagePack message; throws decode_error or json::exception.
json parse_bounded_json(std::string_view text);
json parse_bounded_msgpack(std::string_view data);

// Returns the number, without its fraction. Throws decode_error if the value isn't a number or is
// outside `least` to `greatest`. Both must be exactly representable as a double.
std::int64_t read_integer(const json& value, std::int64_t least, std::int64_t greatest);

// Throws decode_error unless the value is a number from `least` to `greatest`.
double read_number(const json& value, double least, double greatest);

// Returns whether the text can be part of a store key, of an HTTP header and of a log line: 1 to
// 100 bytes without white space, control characters, quotation marks and slashes.
bool is_name(std::string_view text);

// Returns the text for a log line or a reply: without quotation marks and bytes other than
// printable ASCII, and truncated. A parser's message quotes the text that it rejects.
std::string make_printable(std::string_view text);

} // namespace fulmar
