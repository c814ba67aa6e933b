// Infrequent calls between daemons: JSON-RPC with libjsonrpccpp over this project's HTTP server and
// client.
#pragma once

#include "fulmar/http_client.hpp"
#include "fulmar/records.hpp"
#include "fulmar/settings.hpp"

#include <functional>
#include <memory>
#include <string>

namespace fulmar {

inline constexpr std::string_view peer_rpc_path = "/rpc";

// The methods that a daemon offers to its peers.
struct peer_methods {
    std::function<config_record()> get_config;
};

// Executes JSON-RPC requests.
class peer_rpc_server {
  public:
    explicit peer_rpc_server(peer_methods methods);
    ~peer_rpc_server();
    peer_rpc_server(const peer_rpc_server&) = delete;
    peer_rpc_server& operator=(const peer_rpc_server&) = delete;
    peer_rpc_server(peer_rpc_server&&) = delete;
    peer_rpc_server& operator=(peer_rpc_server&&) = delete;

    // Executes a request and returns the response text. Thread-safe.
    std::string handle_request(const std::string& request);

  private:
    struct state;
    std::unique_ptr<state> state_;
};

// Requests the current configuration from the daemon at `address` (host:port). Returns unavailable
// if the daemon is unreachable or returns an error, and protocol_error for a malformed response.
result<config_record> fetch_config(http_client& http, const std::string& address, duration timeout);

} // namespace fulmar
