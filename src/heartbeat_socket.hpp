// UDP socket for heartbeats. Sends datagrams to peers and receives theirs on its own thread.
#pragma once

#include "fulmar/settings.hpp"

#include <functional>
#include <memory>
#include <string>

namespace fulmar {

// Handles one received datagram; called on the socket's thread.
using datagram_handler = std::function<void(const std::string& datagram)>;

class heartbeat_socket {
  public:
    // Binds the address and starts to receive. Returns unavailable when the address can't be bound.
    static result<std::unique_ptr<heartbeat_socket>> open(const socket_address& address,
                                                          datagram_handler handler);
    ~heartbeat_socket();
    heartbeat_socket(const heartbeat_socket&) = delete;
    heartbeat_socket& operator=(const heartbeat_socket&) = delete;
    heartbeat_socket(heartbeat_socket&&) = delete;
    heartbeat_socket& operator=(heartbeat_socket&&) = delete;

    // Returns the bound address.
    socket_address address() const;

    // Sends one datagram. Losses and errors are ignored, because the next heartbeat replaces it.
    void send(const std::string& datagram, const socket_address& to);

  private:
    struct state;
    explicit heartbeat_socket(std::unique_ptr<state> initial);
    std::unique_ptr<state> state_;
};

} // namespace fulmar
