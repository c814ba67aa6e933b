// HTTP server: RESTinio behind a plain interface, so that only one source includes it.
#pragma once

#include "fulmar/http.hpp"
#include "fulmar/settings.hpp"

#include <functional>
#include <memory>

namespace fulmar {

// Answers one request; may be called from any thread, and only the first call counts.
using http_responder = std::function<void(http_response)>;

// Handles a request on a traffic thread; must not block for long.
using http_handler = std::function<void(http_request, http_responder)>;

// Limits against hostile input. A request beyond them is refused and its connection closed.
struct http_server_limits {
    std::size_t body_bytes = 1024 * 1024;
    std::size_t header_bytes = 16 * 1024;
    std::size_t connections = 4096;
    duration read_timeout{10'000};
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
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    // Returns the bound port; differs from the requested one when that was 0.
    std::uint16_t port() const;

    // Stops accepting and closes all connections; answers that are still due are lost.
    void stop();

  private:
    struct state;
    explicit http_server(std::unique_ptr<state> initial);
    std::unique_ptr<state> state_;
};

} // namespace fulmar
