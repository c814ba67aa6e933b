#include "bounded_json.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr std::size_t name_limit = 100;
constexpr std::size_t printable_limit = 200;

// Builds the value while it is parsed. The parser of MessagePack is recursive, so the nesting is
// checked before the parser descends.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json> {
  public:
    using base = nlohmann::detail::json_sax_dom_parser<json>;
    using base::base;

    bool start_object(std::size_t size) {
        descend();
        return base::start_object(size);
    }

    bool end_object() {
        --depth_;
        return base::end_object();
    }

    bool start_array(std::size_t size) {
        descend();
        return base::start_array(size);
    }

    bool end_array() {
        --depth_;
        return base::end_array();
    }

  private:
    void descend() {
        if (++depth_ > json_depth_limit) {
            throw decode_error("nested too deep");
        }
    }

    std::size_t depth_ = 0;
};

json parse(std::string_view text, json::input_format_t format) {
    json parsed;
    bounded_builder builder(parsed);
    json::sax_parse(text, &builder, format);
    return parsed;
}

} // namespace

json parse_bounded_json(std::string_view text) {
    return parse(text, json::input_format_t::json);
}

json parse_bounded_msgpack(std::string_view data) {
    return parse(data, json::input_format_t::msgpack);
}

std::int64_t read_integer(const json& value, std::int64_t least, std::int64_t greatest) {
    const auto check = [&](std::int64_t number) {
        if (number < least || number > greatest) {
            throw decode_error("number out of range");
        }
        return number;
    };
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
            throw decode_error("number out of range");
        }
        return check(static_cast<std::int64_t>(number));
    }
    if (value.is_number_integer()) {
        return check(value.get<std::int64_t>());
    }
    return static_cast<std::int64_t>(
        read_number(value, static_cast<double>(least), static_cast<double>(greatest)));
}

double read_number(const json& value, double least, double greatest) {
    if (!value.is_number()) {
        throw decode_error("not a number");
    }
    const auto number = value.get<double>();
    if (!(number >= least && number <= greatest)) { // also rejects NaN
        throw decode_error("number out of range");
    }
    return number;
}

bool is_name(std::string_view text) {
    constexpr unsigned char last_control = 0x20; // and the space
    constexpr unsigned char deletion = 0x7f;
    return !text.empty() && text.size() <= name_limit &&
           std::none_of(text.begin(), text.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte <= last_control || byte == deletion || c == '"' || c == '/';
           });
}

std::string make_printable(std::string_view text) {
    std::string printable(text.substr(0, printable_limit));
    for (auto& c : printable) {
        const bool plain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
        c = plain ? c : '?';
    }
    return printable;
}

} // namespace fulmar
