#include "json_rpc_client.hpp"

#include <jsonrpccpp/client.h>

namespace fulmar {

namespace {

class transport_connector : public jsonrpc::IClientConnector {
  public:
    explicit transport_connector(const json_rpc_transport& transport)
        : transport_(transport) {}

    // The library's base class requires this exception specification.
    // NOLINTBEGIN(modernize-use-noexcept)
    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override {
        if (!transport_(message, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            "no response from peer");
        }
    }
    // NOLINTEND(modernize-use-noexcept)

  private:
    const json_rpc_transport& transport_;
};

} // namespace

bool call_json_rpc(const json_rpc_transport& transport, const std::string& method,
                   std::string& result) {
    transport_connector connector(transport);
    jsonrpc::Client client(connector);
    try {
        result = client.CallMethod(method, Json::Value(Json::arrayValue)).asString();
        return true;
    } catch (const std::exception& failure) {
        result = failure.what();
        return false;
    }
}

} // namespace fulmar
