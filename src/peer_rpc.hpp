// Rare calls between daemons: JSON-RPC by libjsonrpccpp over this project's HTTP server and client.
#pragma once

#include "fulmar/http_client.hpp"
#include "fulmar/records.hpp"
#include "fulmar/settings.hpp"

#include <functional>
#include <memory>
#include <string>

namespace fulmar {

inline constexpr std::string_view peer_rpc_path = "/rpc";

// What a daemon answers to its peers.
struct peer_methods {
    std::function<config_record()> get_config;
};

// Answers JSON-RPC request texts.
class peer_rpc_server {
  public:
    explicit peer_rpc_server(peer_methods methods);
    ~peer_rpc_server();
    peer_rpc_server(const peer_rpc_server&) = delete;
    peer_rpc_server& operator=(const peer_rpc_server&) = delete;
    peer_rpc_server(peer_rpc_server&&) = delete;
    peer_rpc_server& operator=(peer_rpc_server&&) = delete;

    // Returns the response text; safe from several threads.
    std::string answer(const std::string& request);

  private:
    struct state;
    std::unique_ptr<state> state_;
};

// Asks the daemon at `address` (host:port) for its configuration in force. Returns unavailable when
// it can't be reached and protocol_error for a malformed answer.
result<config_record> fetch_config(http_client& http, const std::string& address, duration timeout);

} // namespace fulmar
