#include "peer_rpc.hpp"

#include "json_rpc_client.hpp"

#include <jsonrpccpp/server.h>

#include <mutex>

namespace fulmar {

namespace {

// Connector that processes one request at a time; the HTTP server listens and passes the requests
// to it.
class direct_connector : public jsonrpc::AbstractServerConnector {
  public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* sink) override {
        *static_cast<std::string*>(sink) = response;
        return true;
    }
};

class method_table : public jsonrpc::AbstractServer<method_table> {
  public:
    method_table(direct_connector& connector, peer_methods methods)
        : AbstractServer(connector)
        , methods_(std::move(methods)) {
        bindAndAddMethod(jsonrpc::Procedure("get_config", jsonrpc::PARAMS_BY_POSITION,
                                            jsonrpc::JSON_STRING, nullptr),
                         &method_table::get_config);
    }

  private:
    // The library's method table accepts no const member functions.
    // NOLINTNEXTLINE(readability-make-member-function-const)
    void get_config(const Json::Value& /*parameters*/, Json::Value& answer) {
        answer = serialize(methods_.get_config());
    }

    peer_methods methods_;
};

} // namespace

struct peer_rpc_server::state {
    explicit state(peer_methods methods)
        : table(connector, std::move(methods)) {}

    std::mutex mutex;
    direct_connector connector;
    method_table table;
};

peer_rpc_server::peer_rpc_server(peer_methods methods)
    : state_(std::make_unique<state>(std::move(methods))) {}

peer_rpc_server::~peer_rpc_server() = default;

std::string peer_rpc_server::handle_request(const std::string& request) {
    const std::lock_guard lock(state_->mutex);
    std::string response;
    state_->connector.OnRequest(request, &response);
    return response;
}

result<config_record> fetch_config(http_client& http, const std::string& address,
                                   duration timeout) {
    const auto transport = [&](const std::string& request, std::string& response) {
        http_call call;
        call.method = "POST";
        call.url = "http://" + address + std::string(peer_rpc_path);
        call.body = request;
        call.resend_allowed = true;
        call.timeout = timeout;
        call.connect_timeout = timeout;
        auto answered = http.call(std::move(call));
        if (!answered || answered.value().status != 200) {
            return false;
        }
        response = std::move(answered.value().body);
        return true;
    };
    std::string answer;
    if (!call_json_rpc(transport, "get_config", answer)) {
        return error{error_kind::unavailable, address + ": " + answer};
    }
    return parse_config_record(answer);
}

} // namespace fulmar
