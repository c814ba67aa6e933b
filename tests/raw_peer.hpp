// Plain TCP sockets on loopback, for tests that send and check exact bytes.
#pragma once

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include <sys/socket.h>
#include <sys/time.h>

namespace fulmar {

using asio::ip::tcp;

inline tcp::endpoint loopback(std::uint16_t port) {
    return {asio::ip::address_v4::loopback(), port};
}

// A connected socket. Reads time out after a minute, so that a fault makes a test fail instead of
// hang.
class raw_peer {
  public:
    explicit raw_peer(tcp::socket socket)
        : socket_(std::move(socket)) {
        const timeval limit{60, 0};
        setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    // Sends the text; returns false if the peer has closed the connection.
    bool send(const std::string& text) {
        asio::error_code failed;
        asio::write(socket_, asio::buffer(text), failed);
        return !failed;
    }

    // Reads until the received text ends with `end` or the connection is closed.
    std::string read_until(const std::string& end) {
        std::string text;
        char next = 0;
        asio::error_code failed;
        while (!text.ends_with(end)) {
            if (::recv(socket_.native_handle(), &next, 1, 0) != 1) {
                break;
            }
            text += next;
        }
        return text;
    }

    // Reads until the connection is closed.
    std::string read_all() {
        std::string text;
        char block[4096];
        for (ssize_t count = 0;
             (count = ::recv(socket_.native_handle(), block, sizeof block, 0)) > 0;) {
            text.append(block, static_cast<std::size_t>(count));
        }
        return text;
    }

    void close() { socket_.close(); }

  private:
    tcp::socket socket_;
};

inline raw_peer connect_raw(asio::io_context& io, std::uint16_t port) {
    tcp::socket socket(io);
    socket.connect(loopback(port));
    return raw_peer(std::move(socket));
}

// Accepts connections on its own thread and passes each one to `serve`, which returns false to stop
// the server.
class raw_server {
  public:
    explicit raw_server(std::function<bool(raw_peer&, raw_server&)> serve)
        : serve_(std::move(serve))
        , thread_([this] { run(); }) {}

    ~raw_server() {
        shutdown(acceptor_.native_handle(), SHUT_RDWR); // ends a blocked accept
        thread_.join();
    }

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;

    std::string url(const std::string& path = "/") const {
        return "http://127.0.0.1:" + std::to_string(port_) + path;
    }

    std::uint16_t port() const { return port_; }

    // Refuses all further connections.
    void close_listener() { shutdown(acceptor_.native_handle(), SHUT_RDWR); }

  private:
    void run() {
        bool more = true;
        while (more) {
            tcp::socket socket(io_);
            asio::error_code failed;
            acceptor_.accept(socket, failed);
            if (failed) {
                return;
            }
            raw_peer peer(std::move(socket));
            more = serve_(peer, *this);
        }
        close_listener();
    }

    asio::io_context io_;
    tcp::acceptor acceptor_{io_, loopback(0)};
    std::uint16_t port_ = acceptor_.local_endpoint().port();
    std::function<bool(raw_peer&, raw_server&)> serve_;
    std::thread thread_;
};

} // namespace fulmar
