// HTTP client with connection reuse: libcurl's multi interface driven by Asio.
#pragma once

#include "fulmar/http.hpp"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

// One call. Connection and framing headers (Connection, Content-Length, Transfer-Encoding, Expect,
// Upgrade and Keep-Alive) are omitted; a header that contains a line break fails the call.
struct http_call {
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    duration timeout{5'000};
    duration connect_timeout{1'000};
    // Time without progress after which the call fails with a timeout, so that `timeout` can allow
    // for the size of the response; 0: no such limit. Progress is a complete header line or a part
    // of the body. The time until the first byte counts from submit().
    duration stall_timeout{0};
    // Replaces stall_timeout until the first progress, unless it is 0.
    duration first_byte_timeout{0};
    // Opens a connection for this call alone. One that is reused may be closed by the server at the
    // moment at which the request is sent; the outcome is then unknown, or the request sent again.
    bool fresh_connection = false;
    // Whether the request may be sent again, on another connection, if a reused one ends before a
    // response begins. The server may have executed it, and the response only tells of the last
    // time it was sent, so this is for requests that change nothing. Others are sent at most once.
    bool resend_allowed = false;
    // Maximum size of the response body. It does not apply to streamed bodies, which are not kept.
    std::size_t response_limit_bytes = 4 * 1024 * 1024;
    // What the call is for, in the figures of its use of the link; the part before the first dot is
    // the kind of destination. Calls without a label are not reported.
    std::string label;
};

// A call's use of the link. Times are from submit() and include waiting for the client's thread.
struct http_call_use {
    std::string_view label;
    std::uint64_t sent_bytes = 0;                   // headers and body, as libcurl reports them
    std::uint64_t received_bytes = 0;               // likewise; an incomplete response counts, too
    std::optional<std::chrono::microseconds> ready; // the connection took the request
    std::optional<std::chrono::microseconds> first_byte; // of the response
    bool timed_out = false;
    std::uint32_t broken_connections = 0; // reused ones that ended before a response began
};

// Result of a call. If there is no response, `request_sent` says whether the server may have
// received any part of the request. Error kinds: timeout, unavailable (nothing was sent),
// outcome_unknown (the connection broke, or the response was truncated), protocol_error (the
// response is too large, or its length is not given, so that its end looks like a broken
// connection), invalid_argument.
struct http_call_result {
    result<http_response> response = error{error_kind::unavailable, ""};
    bool request_sent = false;
};

// Callbacks that receive one response in parts. They run on the client's thread and must not block.
struct http_stream_events {
    // Called once, before any part of the body; a failed call may end without calling it.
    std::function<void(const http_response& head)> on_head;
    // Called for each part. If it returns false, the transfer is paused and the part is passed
    // again after resume(). A paused transfer buffers at most one part of 16 KiB.
    std::function<bool(std::string_view part)> on_data;
    // Called once, as the last callback. The response in `end` has no body.
    std::function<void(http_call_result end)> on_end;
};

// Handle of a streaming call. Thread-safe, and still valid after the call has ended.
class http_transfer {
  public:
    struct state;

    explicit http_transfer(std::shared_ptr<state> initial);

    // Continues a paused transfer.
    void resume() const;

    // Aborts the call and closes its connection; on_end reports outcome_unknown or unavailable.
    void cancel() const;

  private:
    std::shared_ptr<state> state_;
};

class http_client {
  public:
    // Starts the client's threads, one by default. Each thread has its own connections; the calls
    // are distributed over the threads.
    http_client();
    explicit http_client(std::size_t threads);

    // Uses the given event loop instead of threads: all functions must be called on its thread, the
    // callbacks run there, and call() is not available.
    explicit http_client(asio::io_context& io);

    // Aborts the calls in progress; each one's end is reported before the destructor returns.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    // Sets a function that receives the use of each labelled call right before its end is reported.
    // It runs on the client's threads and must be set before the first call.
    void on_use(const std::function<void(const http_call_use&)>& observer);

    // Starts a call; `done` runs on the client's thread and must not block.
    void submit(http_call call, std::function<void(http_call_result)> done);

    // Starts a call whose response is delivered in parts.
    http_transfer stream(http_call call, http_stream_events events);

    // Makes a call and blocks until it ends; see http_call_result for the errors. Must not be
    // called on the client's thread.
    result<http_response> call(http_call call);

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fulmar
