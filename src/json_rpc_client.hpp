// JSON-RPC requests by libjsonrpccpp. Its client header needs C++14, so it stays behind this one.
#pragma once

#include <functional>
#include <string>

namespace fulmar {

// Sends a request text and fills in the response text; returns false when there is none.
using json_rpc_transport = std::function<bool(const std::string& request, std::string& response)>;

// Calls a method without parameters. Returns false and the reason in `result` when the transport
// failed or the peer returned an error; otherwise `result` is the returned text.
bool call_json_rpc(const json_rpc_transport& transport, const std::string& method,
                   std::string& result);

} // namespace fulmar
