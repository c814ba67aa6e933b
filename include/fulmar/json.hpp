// JSON conversion of the base types, and a parser that returns errors as values.
#pragma once

#include "fulmar/types.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>

namespace fulmar {

using json = nlohmann::json;

template <class Tag, class Rep>
void to_json(json& out, const strong_type<Tag, Rep>& in) {
    out = in.value;
}

template <class Tag, class Rep>
void from_json(const json& in, strong_type<Tag, Rep>& out) {
    in.get_to(out.value);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(resources, processors, memory, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_id, job, index)

// Parses JSON text into T. Returns protocol_error if the text is not JSON or a field has the wrong
// type; missing fields keep their defaults if T's conversion allows it.
template <class T>
result<T> parse_json(std::string_view text) {
    try {
        return json::parse(text).get<T>();
    } catch (const json::exception& failure) {
        return error{error_kind::protocol_error, failure.what()};
    }
}

} // namespace fulmar
