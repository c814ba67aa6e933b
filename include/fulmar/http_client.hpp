// HTTP client: libcurl's multi interface driven by Asio, with reused connections.
#pragma once

#include "fulmar/http.hpp"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace fulmar {

// One call. Headers that belong to the connection (Connection, Content-Length, Transfer-Encoding,
// Expect, Upgrade and Keep-Alive) are left out; a header with a line end fails the call.
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
    // Limit of the body; a streamed body has none, because it isn't kept.
    std::size_t response_limit_bytes = 4 * 1024 * 1024;
};

// What is known after a call. Without a response, `request_sent` tells whether the server may have
// seen any of the request. Error kinds: timeout, unavailable (nothing was sent), outcome_unknown
// (the connection broke, or the answer was truncated), protocol_error (the answer is too large or
// has no length, so that its end can't be told from a broken connection), invalid_argument.
struct http_call_result {
    result<http_response> response = error{error_kind::unavailable, ""};
    bool request_sent = false;
};

// Receives one answer in parts, on the client's thread; the functions must not block.
struct http_stream_events {
    // Called once, before any part of the body. A failed call may end without it.
    std::function<void(const http_response& head)> on_head;
    // Called for each part. False leaves the part with the client and pauses the transfer; the part
    // comes again after resume(). A paused transfer keeps at most one part of 16 KiB.
    std::function<bool(std::string_view part)> on_data;
    // Called once, last. The response has no body.
    std::function<void(http_call_result end)> on_end;
};

// Refers to a streaming call; safe for use by several threads, also after the call's end.
class http_transfer {
  public:
    struct state;

    explicit http_transfer(std::shared_ptr<state> initial);

    // Continues a paused transfer.
    void resume() const;

    // Ends the call and closes its connection; on_end reports outcome_unknown or unavailable.
    void cancel() const;

  private:
    std::shared_ptr<state> state_;
};

class http_client {
  public:
    // Starts the client's threads, by default one. Each has its own connections, and calls are
    // spread over them.
    http_client();
    explicit http_client(std::size_t threads);

    // Uses the caller's loop instead of threads: all functions and callbacks run on its thread, and
    // call() is not available.
    explicit http_client(asio::io_context& io);

    // Ends calls in progress: each is reported before the destructor returns.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    // Starts a call; `done` runs on the client's thread and must not block.
    void submit(http_call call, std::function<void(http_call_result)> done);

    // Starts a call whose answer is delivered in parts.
    http_transfer stream(http_call call, http_stream_events events);

    // Makes a call and waits for its end; see http_call_result for the errors. Must not be called
    // on the client's thread.
    result<http_response> call(http_call call);

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fulmar
