#include "heartbeat_socket.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <thread>

namespace fulmar {

namespace {

// Large enough for a heartbeat of 1,000 cells. Larger datagrams are truncated and fail to parse.
constexpr std::size_t datagram_limit_bytes = 60'000;

} // namespace

struct heartbeat_socket::state {
    asio::io_context io;
    asio::ip::udp::socket socket{io};
    asio::ip::udp::endpoint sender;
    std::array<char, datagram_limit_bytes> buffer{};
    datagram_handler handler;
    std::thread thread;

    // Receives datagrams until the socket closes.
    void receive() {
        socket.async_receive_from(asio::buffer(buffer), sender,
                                  [this](const asio::error_code& failure, std::size_t size) {
                                      if (failure == asio::error::operation_aborted) {
                                          return;
                                      }
                                      if (!failure) {
                                          handler(std::string(buffer.data(), size));
                                      }
                                      receive();
                                  });
    }
};

heartbeat_socket::heartbeat_socket(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

heartbeat_socket::~heartbeat_socket() {
    state_->io.stop();
    state_->thread.join();
}

result<std::unique_ptr<heartbeat_socket>> heartbeat_socket::open(const socket_address& address,
                                                                 datagram_handler handler) {
    auto initial = std::make_unique<state>();
    initial->handler = std::move(handler);
    asio::error_code failure;
    const auto host = asio::ip::make_address(address.host, failure);
    if (!failure) {
        initial->socket.open(asio::ip::udp::v4(), failure);
    }
    if (!failure) {
        initial->socket.bind({host, address.port}, failure);
    }
    if (failure) {
        return error{error_kind::unavailable,
                     "can't bind UDP " + to_string(address) + ": " + failure.message()};
    }
    initial->receive();
    initial->thread = std::thread([&io = initial->io] { io.run(); });
    return std::unique_ptr<heartbeat_socket>(new heartbeat_socket(std::move(initial)));
}

socket_address heartbeat_socket::address() const {
    const auto local = state_->socket.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void heartbeat_socket::send(const std::string& datagram, const socket_address& to) {
    asio::error_code ignored;
    const auto host = asio::ip::make_address(to.host, ignored);
    if (!ignored) {
        state_->socket.send_to(asio::buffer(datagram), {host, to.port}, 0, ignored);
    }
}

} // namespace fulmar
