// JSON-RPC requests with libjsonrpccpp. Its client header compiles only as C++14, so only
// json_rpc_client.cpp includes it.
#pragma once

#include <functional>
#include <string>

namespace fulmar {

// Sends a request text and sets the response text; returns false if there is no response.
using json_rpc_transport = std::function<bool(const std::string& request, std::string& response)>;

// Calls a method without parameters. Returns false, with the reason in `result`, if the transport
// fails or the peer returns an error; otherwise `result` is the returned text.
bool call_json_rpc(const json_rpc_transport& transport, const std::string& method,
                   std::string& result);

} // namespace fulmar
