// HTTP server: RESTinio behind a plain interface, so that only one source includes it.
#pragma once

#include "fulmar/http.hpp"
#include "fulmar/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fulmar {

// Answers one request; may be called from any thread, and only the first call counts. When the last
// copy is destroyed without a call, the server answers 500 and closes the connection.
using http_responder = std::function<void(http_response)>;

// Handles a request on a traffic thread; must not block for long.
using http_handler = std::function<void(http_request, http_responder)>;

// Start of an answer whose body follows in parts. Without a length the body is sent in chunks.
struct http_response_head {
    int status = 200;
    std::vector<http_header> headers;
    std::optional<std::uint64_t> content_length;
};

// Answers one request in parts or whole. Safe for use by several threads; calls after the end of
// the answer, of its connection or of the server do nothing. When the last handle is destroyed
// before the end, an answer that has begun is aborted, and any other becomes 500.
class response_stream {
  public:
    // Tells whether the part was handed to the system; false when the connection is closed.
    using written_callback = std::function<void(bool)>;

    struct state;

    explicit response_stream(std::unique_ptr<state> initial);
    ~response_stream();
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;
    response_stream(response_stream&&) = delete;
    response_stream& operator=(response_stream&&) = delete;

    // Sends a whole answer. Of the headers that belong to the connection only "Connection: close"
    // counts, which closes the connection after the answer.
    void respond(http_response response);

    // Sends the status and the headers. RESTinio doesn't tell the caller's HTTP version, so a
    // caller that speaks HTTP/1.0 gets chunks too; it needs a length to read the body.
    void begin(http_response_head head);

    // Sends a part of the body. The next part may be written once `written` has run, so that memory
    // is bounded by one part. `written` runs on a traffic thread, or within this call when the
    // server has stopped. The part that completes the announced length ends the answer; a part
    // beyond the length aborts it.
    void write(std::string part, written_callback written);

    // Ends the answer; a body shorter than the announced length is aborted instead.
    void end();

    // Closes the connection after the parts written so far, so that the caller sees a truncated
    // answer, or none when the answer has not begun.
    void abort();

  private:
    std::unique_ptr<state> state_;
};

// Handles a request whose answer may be streamed. RESTinio does not read while an answer is in
// progress, so a caller that went away is noticed only by the next write.
using http_stream_handler =
    std::function<void(http_request, const std::shared_ptr<response_stream>&)>;

// Limits against hostile input. A request beyond them is refused and its connection closed: without
// an answer where RESTinio's parser stops, otherwise with status 431. A connection beyond the limit
// is closed when it is accepted. An idle connection is closed after `read_timeout`.
struct http_server_limits {
    std::size_t body_bytes = 1024 * 1024;
    std::size_t header_bytes = 16 * 1024;
    std::size_t connections = 4096;
    duration read_timeout{10'000};
    // Longest time without a part of the answer, and longest time to send one part.
    duration handle_timeout{60'000};
};

struct http_server_options {
    socket_address address;
    std::size_t threads = 1;
    http_server_limits limits;
};

class http_server {
  public:
    // Binds and starts serving; returns unavailable when the address can't be bound.
    static result<std::unique_ptr<http_server>> start(const http_server_options& options,
                                                      http_handler handler);

    // As start, with answers in parts.
    static result<std::unique_ptr<http_server>> start_streaming(const http_server_options& options,
                                                                http_stream_handler handler);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    // Returns the bound port; differs from the requested one when that was 0.
    std::uint16_t port() const;

    // Returns the number of requests whose answer was not yet handed to the system; a graceful
    // shutdown waits until it is 0 before stop().
    std::size_t requests_in_progress() const;

    // Stops accepting and closes all connections; answers that are still due are lost. Must not be
    // called by a handler.
    void stop();

  private:
    struct state;
    explicit http_server(std::unique_ptr<state> initial);
    std::unique_ptr<state> state_;
};

} // namespace fulmar
