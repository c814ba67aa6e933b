// One call of the HTTP client and its libcurl handle.
#pragma once

#include "fulmar/http_client.hpp"

#include <curl/curl.h>

#include <optional>

namespace fulmar {

struct transfer {
    http_call call;
    http_stream_events events;
    bool streaming = false;

    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    http_response response;
    std::size_t header_bytes = 0;
    bool head_done = false;        // on_head ran
    bool has_length = false;       // the answer's end can be told from a broken connection
    const char* refusal = nullptr; // why the client itself ended the call
};

// Returns why a call can't be made, or nothing.
std::optional<error> find_call_problem(const http_call& call);

// Sets up a libcurl handle for a transfer.
void prepare_transfer(transfer& to, CURL* easy);

// Frees what prepare_transfer made and returns the handle for another transfer.
CURL* release_transfer(transfer& from);

// Turns libcurl's result into a value.
http_call_result finish_transfer(transfer& from, CURLcode code);

} // namespace fulmar
