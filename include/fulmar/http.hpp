// HTTP requests and responses as plain values, used by the server and the client.
#pragma once

#include "fulmar/types.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

struct http_header {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method = "GET";
    std::string path;
    std::string query;
    std::vector<http_header> headers;
    std::string body;
};

struct http_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

// Returns the value of the first header with this name; the comparison ignores case.
std::optional<std::string> find_header(const std::vector<http_header>& headers,
                                       std::string_view name);

// Returns the decoded value of the first query parameter with this name.
std::optional<std::string> find_query(std::string_view query, std::string_view name);

// Creates a response with a JSON body.
http_response json_response(int status, std::string body);

// Creates the response for an error: {"error": kind, "detail": sentence} with the status of that
// kind.
http_response error_response(const error& failure);

// Parses a response created by error_response. Returns protocol_error with the status if the body
// is not one of those.
error parse_error_response(const http_response& response);

} // namespace fulmar
