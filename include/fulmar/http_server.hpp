// HTTP server based on RESTinio. Only http_server.cpp includes RESTinio itself.
#pragma once

#include "fulmar/http.hpp"
#include "fulmar/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fulmar {

// Sends the response to one request. May be called on any thread; calls after the first are
// ignored. If the last copy is destroyed without a call, the server responds with 500 and closes
// the connection.
using http_responder = std::function<void(http_response)>;

// Handles a request on one of the server's threads; must not block for long.
using http_handler = std::function<void(http_request, http_responder)>;

// Status and headers of a response whose body follows in parts. Without a length the body is sent
// with chunked transfer encoding.
struct http_response_head {
    int status = 200;
    std::vector<http_header> headers;
    std::optional<std::uint64_t> content_length;
};

// Sends the response to one request, in parts or as a whole. Thread-safe; calls after the end of
// the response, of its connection or of the server have no effect. If the last handle is destroyed
// before the end, a response that has begun is aborted; otherwise the server responds with 500.
class response_stream {
  public:
    // Receives true if the part was passed to the operating system, false if the connection is
    // closed.
    using written_callback = std::function<void(bool)>;

    struct state;

    explicit response_stream(std::unique_ptr<state> initial);
    ~response_stream();
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;
    response_stream(response_stream&&) = delete;
    response_stream& operator=(response_stream&&) = delete;

    // Sends a whole response. Connection and framing headers are ignored, except "Connection:
    // close", which closes the connection after the response.
    void respond(http_response response);

    // Sends the status and the headers. RESTinio does not expose the HTTP version of the request,
    // so a caller that uses HTTP/1.0 also receives chunks. It can read the body only if a length is
    // given.
    void begin(http_response_head head);

    // Sends a part of the body. The next part may be written after `written` was called, so that at
    // most one part is in memory. `written` is called on one of the server's threads, or within
    // this call if the server has stopped. The part that completes the announced length ends the
    // response; a part that exceeds the length aborts it.
    void write(std::string part, written_callback written);

    // Ends the response. If the body is shorter than the announced length, the response is aborted
    // instead.
    void end();

    // Closes the connection after the parts written so far, so that the caller receives a truncated
    // response, or none if the response has not begun.
    void abort();

  private:
    std::unique_ptr<state> state_;
};

// Handles a request whose response may be streamed. RESTinio does not read while a response is in
// progress, so only the next write detects that the caller has disconnected.
using http_stream_handler =
    std::function<void(http_request, const std::shared_ptr<response_stream>&)>;

// Limits against hostile input. A request that exceeds them is rejected and its connection closed:
// without a response if RESTinio's parser rejects it, otherwise with status 431. Connections beyond
// the limit are closed right after they are accepted. Idle connections are closed after
// `read_timeout`.
struct http_server_limits {
    std::size_t body_bytes = 1024 * 1024;
    std::size_t header_bytes = 16 * 1024;
    std::size_t connections = 4096;
    duration read_timeout{10'000};
    // Maximum time without a part of the response, and maximum time to send one part.
    duration handle_timeout{60'000};
};

struct http_server_options {
    socket_address address;
    std::size_t threads = 1;
    http_server_limits limits;
};

class http_server {
  public:
    // Binds the address and starts serving; returns unavailable if the address can't be bound.
    static result<std::unique_ptr<http_server>> start(const http_server_options& options,
                                                      http_handler handler);

    // Like start(), for handlers that may stream their responses.
    static result<std::unique_ptr<http_server>> start_streaming(const http_server_options& options,
                                                                http_stream_handler handler);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    // Returns the bound port, which differs from the requested port if that was 0.
    std::uint16_t port() const;

    // Returns the number of requests whose response was not yet fully passed to the operating
    // system. A graceful shutdown waits until it is 0 before it calls stop().
    std::size_t requests_in_progress() const;

    // Stops accepting and closes all connections; pending responses are lost. Must not be called by
    // a handler.
    void stop();

  private:
    struct state;
    explicit http_server(std::unique_ptr<state> initial);
    std::unique_ptr<state> state_;
};

} // namespace fulmar
