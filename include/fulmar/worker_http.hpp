// Worker client over HTTP with JSON bodies.
#pragma once

#include "fulmar/http_client.hpp"
#include "fulmar/worker.hpp"

#include <memory>
#include <string>

namespace fulmar {

// Returns the address (host:port) of a worker; empty if unknown.
using worker_resolver = std::function<std::string(const worker_id&)>;

// Creates a client whose calls time out after `timeout`; the HTTP client must outlive it.
std::unique_ptr<worker_client> make_http_worker_client(http_client& http, worker_resolver resolve,
                                                       duration timeout);

// Conversions for both sides of the protocol. Parsing returns protocol_error for malformed text.
std::string serialize_sync_request(const sync_request& request);
result<sync_request> parse_sync_request(const std::string& body);
std::string serialize_sync_reply(const sync_reply& reply);
result<sync_reply> parse_sync_reply(const std::string& body);

} // namespace fulmar
