// HTTP routes of the administration API: conversions between HTTP requests and the functions of
// resources_api, resource_status, config_api and resource_watch.
#pragma once

#include "access.hpp"
#include "cell_choice.hpp"
#include "config_api.hpp"
#include "fulmar/http_server.hpp"
#include "fulmar/metrics.hpp"
#include "resource_watch.hpp"

#include <map>
#include <memory>
#include <string>

namespace fulmar {

// Dependencies and state of the routes. The references and functions must be thread-safe.
struct admin_api {
    store_client& store;
    metrics& counters;
    std::vector<access_token> tokens;
    status_fetcher fetch_status;
    std::function<std::int64_t()> unix_ms;
    std::function<time_point()> now;
    std::function<std::string()> make_id; // returns a new unique id on each call
    std::map<std::string, std::unique_ptr<prefix_watch>, std::less<>> watches = {}; // by prefix
    std::mutex seen_mutex = {};
    seen_members seen = {};
};

// Creates the watches of all prefixes.
void add_watches(admin_api& api, const watch_limits& limits);

// Handles one request. Responds before it returns, except for a watch, whose response may come
// later from another thread.
void answer_admin(admin_api& api, const http_request& request, const http_responder& respond);

} // namespace fulmar
