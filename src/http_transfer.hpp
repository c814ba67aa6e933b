// A call of the HTTP client in progress, with its libcurl handle.
#pragma once

#include "fulmar/http_client.hpp"

#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <optional>

namespace fulmar {

struct transfer {
    http_call call;
    http_stream_events events;
    bool streaming = false;

    std::chrono::steady_clock::time_point submitted;
    std::chrono::steady_clock::time_point started; // passed to libcurl

    std::chrono::steady_clock::time_point last_progress;  // submit() before the first one
    bool progressed = false;                              // something of the response arrived
    bool paused = false;                                  // by the receiver of a streamed body
    std::unique_ptr<asio::steady_timer> progress_timer{}; // null without a limit

    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    http_response response;
    std::size_t header_bytes = 0;
    bool headers_complete = false;              // the headers are complete, and on_head was called
    bool length_defined = false;                // the response's length is defined
    const char* abort_reason = nullptr;         // set if the client itself aborts the call
    std::uint32_t broken_connections = 0;       // reused ones that ended before a response began
    long sent_bytes = 0;                        // on all connections that have ended
    std::function<void(curl_socket_t)> on_open; // called with each socket that is opened
};

// Returns why a call can't be made, or nullopt if it can.
std::optional<error> validate_call(const http_call& call);

// Configures a libcurl handle for a transfer.
void prepare_transfer(transfer& to, CURL* easy);

// Frees the resources of a transfer that has ended and returns the handle for reuse.
CURL* release_transfer(transfer& from);

// Returns how long the transfer may go on without progress, or nullopt if there is no limit.
std::optional<duration> progress_limit(const transfer& of);

// Restarts the time without progress.
void record_progress(transfer& of);

// Returns the use of the link by a transfer that ends with libcurl's result `code`.
http_call_use measure_use(const transfer& from, CURLcode code);

// Converts libcurl's result to the result of the call.
http_call_result finish_transfer(transfer& from, CURLcode code);

} // namespace fulmar
