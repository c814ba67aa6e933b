// Store client and server-side dispatch over HTTP with JSON bodies.
#pragma once

#include "fulmar/http_client.hpp"
#include "fulmar/settings.hpp"
#include "fulmar/store.hpp"

#include <memory>

namespace fulmar {

// Creates a client for the store at `address`; the HTTP client must outlive it. Calls time out
// after `timeout`, watches after their own wait time plus `timeout`.
std::unique_ptr<store_client>
make_http_store_client(http_client& http, const socket_address& address, duration timeout);

// Executes one store call on the server side: `name` is the call, `body` its JSON arguments.
// Returns the HTTP response: not_found for an unknown call, protocol_error for malformed arguments.
http_response handle_store_call(store_client& store, const std::string& name,
                                const std::string& body);

} // namespace fulmar
