// Messages between the hosts of one installation: datagrams for periodic status, and calls with a
// reply.
#pragma once

#include "fulmar/settings.hpp"

#include <functional>
#include <string>

namespace fulmar {

using peer_reply = std::function<void(result<std::string>)>;

class peer_link {
  public:
    peer_link() = default;
    virtual ~peer_link() = default;
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;

    // Sends a datagram, which may be lost.
    virtual void send(const socket_address& to, const std::string& datagram) = 0;

    // Calls a method of a peer. Errors: unavailable (nothing was sent), timeout, outcome_unknown,
    // or the error that the peer returned.
    virtual void call(const socket_address& to, const std::string& method, std::string body,
                      duration timeout, peer_reply done) = 0;
};

} // namespace fulmar
