#include "net_peer_link.hpp"

#include "host_gossip.hpp"

#include <asio/ip/udp.hpp>
#include <asio/post.hpp>

#include <array>

namespace fulmar {

namespace {

// Fits a job of 20,000 tasks, or all operator orders.
constexpr std::size_t call_limit_bytes = 8 * 1024 * 1024;

constexpr duration connect_timeout{400};

// Datagrams processed in a row: more than all hosts of a large deployment send in a second.
constexpr std::size_t receive_batch = 256;

constexpr std::string_view call_prefix = "/peer/";

// Counted instead of the method of a call that failed, which may be any text.
const std::string failed_calls = "failed";

} // namespace

struct net_peer_link::state {
    asio::io_context& io;
    http_client& http;
    peer_handlers handlers;
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, datagram_limit_bytes> buffer{};
    std::unique_ptr<http_server> server;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    state(asio::io_context& loop, http_client& client, peer_handlers link_handlers)
        : io(loop)
        , http(client)
        , handlers(std::move(link_handlers))
        , socket(loop) {}

    // Waits for datagrams and processes all that have arrived. One at a time, they would queue up
    // behind the other events of a busy host, and their senders look failed.
    void receive() {
        socket.async_wait(asio::ip::udp::socket::wait_read,
                          [this, alive = alive](const asio::error_code& failure) {
                              if (!*alive || failure == asio::error::operation_aborted) {
                                  return;
                              }
                              for (std::size_t i = 0; i < receive_batch && *alive; ++i) {
                                  asio::error_code empty;
                                  const auto size =
                                      socket.receive_from(asio::buffer(buffer), sender, 0, empty);
                                  if (empty) {
                                      break;
                                  }
                                  if (handlers.on_received) {
                                      handlers.on_received(size);
                                  }
                                  handlers.on_datagram(std::string(buffer.data(), size));
                              }
                              if (*alive) {
                                  receive();
                              }
                          });
    }
};

net_peer_link::net_peer_link(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

net_peer_link::~net_peer_link() {
    *state_->alive = false;
    state_->server.reset();
}

result<std::unique_ptr<net_peer_link>> net_peer_link::open(const socket_address& address,
                                                           asio::io_context& io, http_client& http,
                                                           peer_handlers handlers) {
    auto initial = std::make_unique<state>(io, http, std::move(handlers));
    asio::error_code failure;
    const auto host = asio::ip::make_address(address.host, failure);
    if (!failure) {
        initial->socket.open(asio::ip::udp::v4(), failure);
    }
    if (!failure) {
        initial->socket.bind({host, address.port}, failure);
    }
    if (!failure) {
        initial->socket.non_blocking(true, failure);
    }
    if (failure) {
        return error{error_kind::unavailable,
                     "can't bind UDP " + to_string(address) + ": " + failure.message()};
    }
    http_server_options options;
    options.address = address;
    options.limits.body_bytes = call_limit_bytes;
    // Keeps idle connections between hosts open, as opening one costs a round trip.
    options.limits.read_timeout = duration(60'000);
    auto server = http_server::start(options, [raw = initial.get(), alive = initial->alive](
                                                  http_request request, http_responder respond) {
        if (request.method != "POST" || !request.path.starts_with(call_prefix)) {
            respond(error_response({error_kind::not_found, "no such method"}));
            return;
        }
        asio::post(raw->io, [raw, alive, request = std::move(request),
                             respond = std::move(respond)] {
            if (!*alive) {
                return;
            }
            const auto method = request.path.substr(call_prefix.size());
            raw->handlers.on_call(method, request.body,
                                  [raw, alive, method, received = request.body.size(),
                                   respond](result<std::string> reply) {
                                      auto response = reply ? json_response(200, reply.value())
                                                            : error_response(reply.error());
                                      if (*alive && raw->handlers.on_served) {
                                          raw->handlers.on_served(reply ? method : failed_calls,
                                                                  received, response.body.size());
                                      }
                                      respond(std::move(response));
                                  });
        });
    });
    if (!server) {
        return server.error();
    }
    initial->server = std::move(server).value();
    initial->receive();
    return std::unique_ptr<net_peer_link>(new net_peer_link(std::move(initial)));
}

void net_peer_link::send(const socket_address& to, const std::string& datagram) {
    asio::error_code failure; // the next datagram replaces a lost one
    const auto host = asio::ip::make_address(to.host, failure);
    state_->socket.send_to(asio::buffer(datagram), {host, to.port}, 0, failure);
    if (!failure && state_->handlers.on_sent) {
        state_->handlers.on_sent(datagram.size());
    }
}

void net_peer_link::call(const socket_address& to, const std::string& method, std::string body,
                         duration timeout, peer_reply done) {
    http_call call;
    call.label = "peer." + method;
    call.method = "POST";
    call.url = "http://" + to_string(to) + std::string(call_prefix) + method;
    call.body = std::move(body);
    call.timeout = std::max(timeout, duration(1));
    call.connect_timeout = std::min(connect_timeout, call.timeout);
    call.response_limit_bytes = call_limit_bytes;
    state_->http.submit(std::move(call), [done = std::move(done)](http_call_result outcome) {
        if (!outcome.response) {
            done(outcome.response.error());
        } else if (outcome.response.value().status != 200) {
            done(parse_error_response(outcome.response.value()));
        } else {
            done(std::move(outcome.response.value().body));
        }
    });
}

} // namespace fulmar
