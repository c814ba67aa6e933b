// HTTP messages as plain values, shared by the server and the client.
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

// Returns the value of the first header with this name, compared without case.
std::optional<std::string> find_header(const std::vector<http_header>& headers,
                                       std::string_view name);

// Returns the decoded value of a query parameter.
std::optional<std::string> find_query(std::string_view query, std::string_view name);

// Makes a response with a JSON body.
http_response json_response(int status, std::string body);

// Makes the response for an error: {"error": kind, "detail": sentence} with the kind's status.
http_response error_response(const error& failure);

// Reads an error back from a response made by error_response.
error parse_error_response(const http_response& response);

} // namespace fulmar
