// HTTP client: libcurl's multi interface on one thread, with reused connections.
#pragma once

#include "fulmar/http.hpp"

#include <functional>
#include <memory>

namespace fulmar {

struct http_call {
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    duration timeout{5'000};
    duration connect_timeout{1'000};
    // libcurl repeats a request whose reused connection was closed before an answer. A request that
    // must not be sent twice therefore needs a connection of its own.
    bool fresh_connection = false;
    std::size_t response_limit_bytes = 4 * 1024 * 1024;
};

// What is known after a call. Without a response, `request_sent` tells whether the server may have
// seen any of the request.
struct http_call_result {
    result<http_response> response = error{error_kind::unavailable, ""};
    bool request_sent = false;
};

class http_client {
  public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    // Starts a call; `done` runs on the client's thread and must not block.
    void submit(http_call call, std::function<void(http_call_result)> done);

    // Makes a call and waits for its end. Returns timeout, unavailable when no connection could be
    // made, or outcome_unknown when the connection broke after the request was sent.
    result<http_response> call(http_call call);

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fulmar
