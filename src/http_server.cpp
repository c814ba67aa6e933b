#include "fulmar/http_server.hpp"

#include <restinio/all.hpp>

#include <mutex>
#include <unordered_map>

namespace fulmar {

namespace {

struct server_traits : restinio::default_traits_t {
    using request_handler_t =
        std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};

http_request copy_request(const restinio::request_t& from) {
    http_request request;
    request.method = from.header().method().c_str();
    request.path = std::string(from.header().path());
    request.query = std::string(from.header().query());
    from.header().for_each_field([&](const auto& field) {
        request.headers.push_back({field.name(), field.value()});
    });
    request.body = from.body();
    return request;
}

// Sends a whole response; RESTinio posts the write to the connection's own thread.
void send_response(const restinio::request_handle_t& request, http_response response) {
    auto builder = request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)}, ""});
    for (auto& header : response.headers) {
        builder.append_header(header.name, header.value);
    }
    if (request->header().should_keep_alive()) {
        builder.connection_keep_alive();
    } else {
        builder.connection_close();
    }
    builder.set_body(std::move(response.body));
    builder.done();
}

// One request that may still be answered; empty after its answer or after the server stopped.
struct pending_request {
    std::mutex mutex;
    restinio::request_handle_t request;

    restinio::request_handle_t take() {
        const std::lock_guard lock(mutex);
        return std::exchange(request, nullptr);
    }
};

// The requests in progress. A responder may outlive the server, but RESTinio's request handles must
// not, so stopping the server empties them all.
class pending_requests {
  public:
    std::shared_ptr<pending_request> add(restinio::request_handle_t request) {
        auto pending = std::make_shared<pending_request>();
        pending->request = std::move(request);
        const std::lock_guard lock(mutex_);
        requests_[pending.get()] = pending;
        return pending;
    }

    void remove(const pending_request* pending) {
        const std::lock_guard lock(mutex_);
        requests_.erase(pending);
    }

    void drop_all() {
        const std::lock_guard lock(mutex_);
        for (const auto& [key, pending] : requests_) {
            pending->take();
        }
        requests_.clear();
    }

  private:
    std::mutex mutex_;
    std::unordered_map<const pending_request*, std::shared_ptr<pending_request>> requests_;
};

// Makes a responder that ignores every call but the first, and all after the server stopped.
http_responder make_responder(const std::shared_ptr<pending_requests>& all,
                              restinio::request_handle_t request) {
    return [all, pending = all->add(std::move(request))](http_response response) {
        if (const auto taken = pending->take()) {
            all->remove(pending.get());
            send_response(taken, std::move(response));
        }
    };
}

} // namespace

struct http_server::state {
    restinio::running_server_handle_t<server_traits> server;
    std::uint16_t port = 0;
    std::shared_ptr<pending_requests> pending = std::make_shared<pending_requests>();
};

http_server::http_server(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

http_server::~http_server() {
    stop();
}

result<std::unique_ptr<http_server>> http_server::start(const http_server_options& options,
                                                        http_handler handler) {
    auto initial = std::make_unique<state>();
    const auto& limits = options.limits;
    auto on_request = [handler = std::move(handler),
                       pending = initial->pending](const restinio::request_handle_t& request) {
        handler(copy_request(*request), make_responder(pending, request));
        return restinio::request_accepted();
    };
    restinio::server_settings_t<server_traits> server_settings;
    server_settings.address(options.address.host)
        .port(options.address.port)
        .request_handler(std::move(on_request))
        .read_next_http_message_timelimit(limits.read_timeout)
        .handle_request_timeout(limits.handle_timeout)
        .write_http_response_timelimit(limits.handle_timeout)
        .concurrent_accepts_count(options.threads)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(limits.header_bytes / 2)
                                      .max_field_name_size(256)
                                      .max_field_value_size(limits.header_bytes / 2)
                                      .max_field_count(64)
                                      .max_body_size(limits.body_bytes))
        .acceptor_options_setter([](restinio::acceptor_options_t& acceptor) {
            acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](restinio::socket_options_t& socket) {
            socket.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook([&port = initial->port](asio::ip::tcp::acceptor& acceptor) {
            port = acceptor.local_endpoint().port();
        });
    try {
        initial->server = restinio::run_async<server_traits>(
            restinio::own_io_context(), std::move(server_settings), options.threads);
    } catch (const std::exception& failure) {
        return error{error_kind::unavailable,
                     "can't listen on " + to_string(options.address) + ": " + failure.what()};
    }
    return std::unique_ptr<http_server>(new http_server(std::move(initial)));
}

std::uint16_t http_server::port() const {
    return state_->port;
}

void http_server::stop() {
    if (state_->server) {
        state_->server->stop();
        state_->server->wait();
        state_->pending->drop_all();
        state_->server.reset();
    }
}

} // namespace fulmar
