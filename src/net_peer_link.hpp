// Peer messages over the network: datagrams over UDP and calls over HTTP, both at the same address.
#pragma once

#include "fulmar/http_client.hpp"
#include "fulmar/http_server.hpp"
#include "fulmar/peer_link.hpp"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fulmar {

// Handlers of datagrams and calls from peers, run on the control thread.
struct peer_handlers {
    std::function<void(const std::string& datagram)> on_datagram;
    std::function<void(const std::string& method, const std::string& body, peer_reply reply)>
        on_call;
    // Called with the size of each datagram that was received, or passed to the system to be sent.
    std::function<void(std::size_t bytes)> on_received{};
    std::function<void(std::size_t bytes)> on_sent{};
    // Called with the sizes of the bodies of each answered call; the method is "failed" if the
    // answer is an error.
    std::function<void(const std::string& method, std::size_t received, std::size_t sent)>
        on_served{};
};

class net_peer_link final : public peer_link {
  public:
    // Binds the UDP and TCP sockets; returns unavailable if the address can't be bound. The client
    // must run on the loop `io`.
    static result<std::unique_ptr<net_peer_link>> open(const socket_address& address,
                                                       asio::io_context& io, http_client& http,
                                                       peer_handlers handlers);
    ~net_peer_link() override;
    net_peer_link(const net_peer_link&) = delete;
    net_peer_link& operator=(const net_peer_link&) = delete;
    net_peer_link(net_peer_link&&) = delete;
    net_peer_link& operator=(net_peer_link&&) = delete;

    void send(const socket_address& to, const std::string& datagram) override;
    void call(const socket_address& to, const std::string& method, std::string body,
              duration timeout, peer_reply done) override;

  private:
    struct state;
    explicit net_peer_link(std::unique_ptr<state> initial);
    std::unique_ptr<state> state_;
};

} // namespace fulmar
