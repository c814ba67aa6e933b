// UDP socket for heartbeats: sends datagrams to peers and receives theirs on a thread of its own.
#pragma once

#include "fulmar/settings.hpp"

#include <functional>
#include <memory>
#include <string>

namespace fulmar {

// Takes one received datagram; runs on the socket's thread.
using datagram_handler = std::function<void(const std::string& datagram)>;

class heartbeat_socket {
  public:
    // Binds and starts to receive; returns unavailable when the address can't be bound.
    static result<std::unique_ptr<heartbeat_socket>> open(const socket_address& address,
                                                          datagram_handler handler);
    ~heartbeat_socket();
    heartbeat_socket(const heartbeat_socket&) = delete;
    heartbeat_socket& operator=(const heartbeat_socket&) = delete;
    heartbeat_socket(heartbeat_socket&&) = delete;
    heartbeat_socket& operator=(heartbeat_socket&&) = delete;

    // Returns the bound address.
    socket_address address() const;

    // Sends one datagram; losses and errors are ignored, as the next heartbeat replaces it.
    void send(const std::string& datagram, const socket_address& to);

  private:
    struct state;
    explicit heartbeat_socket(std::unique_ptr<state> initial);
    std::unique_ptr<state> state_;
};

} // namespace fulmar
