#include "admin.hpp"

#include "admin_routes.hpp"
#include "change_log.hpp"
#include "daemon_presence.hpp"
#include "fulmar/http_client.hpp"
#include "fulmar/store_http.hpp"
#include "steady_clock.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <chrono>
#include <fstream>
#include <iterator>
#include <random>
#include <thread>

namespace fulmar {

namespace {

// Longest wait of one upstream watch call; a shutdown waits until the call ends.
constexpr duration upstream_wait{5'000};
constexpr duration retry_interval{500};
constexpr duration poll_interval{100};
// Interval between the pruning of two partitions; all partitions take 21 hours. At the design scale
// of about 8,200 changes a day, each pass removes about 32 records per partition.
constexpr duration prune_interval{300'000};
constexpr std::size_t prune_limit = 500;
// Changes that arrive within this time share one status reply of each scheduler.
constexpr duration status_lifetime{1'000};

// Longest time for which a shutdown waits for requests in progress.
constexpr duration stop_limit{10'000};

constexpr std::array setting_specs{
    setting_spec{"host", "name", setting_kind::text, "", 0, 0, "name of this host"},
    setting_spec{"host", "data_centre", setting_kind::text, "", 0, 0, "data centre of this host"},
    setting_spec{"admin", "address", setting_kind::address, "", 0, 0, "where operators connect"},
    setting_spec{"admin", "token_file", setting_kind::text, "", 0, 0,
                 "file that holds the tokens, one \"secret role name [team]\" a line"},
    setting_spec{"admin", "status_timeout", setting_kind::duration, "500 ms", 10, 10'000,
                 "longest wait for a scheduler's status"},
    setting_spec{"admin", "change_retention", setting_kind::duration, "168 h", 3'600'000,
                 8'784LL * 3'600'000, "how long records of changes and idempotency keys are kept"},
    setting_spec{"store", "address", setting_kind::address, "", 0, 0, "the platform's store"},
    setting_spec{"store", "timeout", setting_kind::duration, "1 s", 10, 10'000,
                 "longest wait for a store call"},
    setting_spec{"watch", "history", setting_kind::size, "8 MiB", 65'536, 64 * 1024 * 1024,
                 "recent changes kept for watches, for each of 4 prefixes"},
    setting_spec{"watch", "waiting", setting_kind::integer, "512", 1, 4'000,
                 "watches that may wait at the same time, for each of 4 prefixes"}};

// Status of schedulers by address. Each is requested at most once per status_lifetime.
struct status_cache {
    struct row {
        time_point fetched_at;
        result<json> status;
    };
    std::mutex mutex;
    std::map<std::string, row> rows;
};

result<json> fetch_status(http_client& http, const std::string& address, duration timeout) {
    http_call call;
    call.url = "http://" + address + "/status";
    call.resend_allowed = true;
    call.timeout = timeout;
    call.connect_timeout = timeout;
    BOOST_OUTCOME_TRY(response, http.call(std::move(call)));
    if (response.status != 200) {
        return error{error_kind::unavailable, "status " + std::to_string(response.status)};
    }
    return parse_json<json>(response.body);
}

result<json> fetch_cached_status(status_cache& cache, http_client& http, const std::string& address,
                                 duration timeout) {
    {
        const std::lock_guard lock(cache.mutex);
        std::erase_if(cache.rows, [now = steady_now()](const auto& row) {
            return now - row.second.fetched_at >= status_lifetime;
        });
        if (const auto found = cache.rows.find(address); found != cache.rows.end()) {
            return found->second.status;
        }
    }
    auto status = fetch_status(http, address, timeout);
    const std::lock_guard lock(cache.mutex);
    cache.rows.insert_or_assign(address, status_cache::row{steady_now(), status});
    return status;
}

// Returns 128 random bits in hexadecimal.
std::string make_random_id() {
    thread_local std::random_device device;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id;
    for (int i = 0; i < 4; ++i) {
        const std::uint32_t bits = device();
        for (unsigned shift = 0; shift < 32; shift += 4) {
            id += digits.at((bits >> shift) & 0xFU);
        }
    }
    return id;
}

std::int64_t unix_ms_now() {
    return std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

result<std::vector<access_token>> read_tokens(const std::string& file) {
    std::ifstream in(file);
    if (!in) {
        return error{error_kind::not_found, "cannot be read"};
    }
    const std::string text(std::istreambuf_iterator<char>(in), {});
    return parse_access_tokens(text);
}

// Keeps one watch of the prefix open at the store while clients watch the prefix.
void run_upstream_watch(prefix_watch& watch, store_client& store,
                        const std::atomic<bool>& stopping) {
    while (!stopping) {
        if (!watch.has_recent_clients(steady_now())) {
            std::this_thread::sleep_for(poll_interval);
        } else if (!watch.poll(store, upstream_wait)) {
            std::this_thread::sleep_for(retry_interval);
        }
    }
}

// Removes old change records, one partition at a time.
void run_pruning(admin_api& api, duration retention, const std::atomic<bool>& stopping) {
    unsigned partition = std::random_device()() % change_partitions;
    time_point next = steady_now() + prune_interval;
    while (!stopping) {
        std::this_thread::sleep_for(poll_interval);
        if (steady_now() < next) {
            continue;
        }
        next = steady_now() + prune_interval;
        const auto removed =
            prune_changes(api.store, partition, api.unix_ms(), retention, prune_limit);
        if (removed) {
            api.counters.count("fulmar_admin_changes_pruned_total", {},
                               static_cast<double>(removed.value()));
            partition = (partition + 1) % change_partitions;
        }
    }
}

} // namespace

std::span<const setting_spec> admin_setting_specs() {
    return setting_specs;
}

admin_settings parse_admin_settings(const settings& from) {
    admin_settings options;
    options.host = {text_setting(from, "host", "name")};
    options.data_centre = {text_setting(from, "host", "data_centre")};
    options.address = address_setting(from, "admin", "address");
    options.token_file = text_setting(from, "admin", "token_file");
    options.status_timeout = duration_setting(from, "admin", "status_timeout");
    options.change_retention = duration_setting(from, "admin", "change_retention");
    options.store_address = address_setting(from, "store", "address");
    options.store_timeout = duration_setting(from, "store", "timeout");
    options.watch.history_bytes = static_cast<std::size_t>(size_setting(from, "watch", "history"));
    options.watch.waiters = static_cast<std::size_t>(integer_setting(from, "watch", "waiting"));
    return options;
}

namespace {

presence_options make_presence_options(const admin_settings& options) {
    presence_options presence;
    presence.record.program = "fulmar_admin";
    presence.record.host = options.host.value;
    presence.record.address = to_string(options.address);
    presence.record.data_centre = options.data_centre;
    presence.store_address = options.store_address;
    presence.store_timeout = options.store_timeout;
    return presence;
}

// Ends waiting watches and waits up to stop_limit for the other requests in progress.
void finish_requests(admin_api& api, const http_server& server) {
    const auto deadline = steady_now() + stop_limit;
    while (server.requests_in_progress() > 0 && steady_now() < deadline) {
        for (auto& [prefix, watch] : api.watches) {
            watch->expire(time_point::max());
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace

int run_admin(const admin_settings& options) {
    auto tokens = read_tokens(options.token_file);
    if (!tokens) {
        spdlog::error("{}: {}", options.token_file, tokens.error().detail);
        return exit_failure;
    }
    metrics counters;
    http_client http;
    status_cache cache;
    const auto store = make_http_store_client(http, options.store_address, options.store_timeout);
    admin_api api{*store,
                  counters,
                  std::move(tokens.value()),
                  [&](const std::string& address) {
                      return fetch_cached_status(cache, http, address, options.status_timeout);
                  },
                  unix_ms_now,
                  steady_now,
                  make_random_id};
    add_watches(api, options.watch);

    std::atomic<bool> stopping{false};
    // Store calls block; with several threads one slow call doesn't delay the other requests.
    const auto server = http_server::start(
        {options.address, 4, {}}, [&](const http_request& request, const http_responder& respond) {
            if (auto operator_response = handle_operator_route(request, counters, !stopping)) {
                respond(std::move(*operator_response));
                return;
            }
            if (stopping) {
                respond(error_response({error_kind::unavailable, "shutting down"}));
                return;
            }
            answer_admin(api, request, respond);
        });
    if (!server) {
        spdlog::error("{}", server.error().detail);
        return exit_failure;
    }
    spdlog::info("administration API is listening on {}", to_string(options.address));
    const daemon_presence member(make_presence_options(options), http, counters);

    std::vector<std::jthread> threads;
    for (auto& [prefix, watch] : api.watches) {
        threads.emplace_back([&watch = *watch, &store = *store, &stopping] {
            run_upstream_watch(watch, store, stopping);
        });
    }
    threads.emplace_back([&] { run_pruning(api, options.change_retention, stopping); });
    while (!stop_signal_arrived(poll_interval)) {
        for (auto& [prefix, watch] : api.watches) {
            watch->expire(steady_now());
        }
    }
    stopping = true;
    finish_requests(api, *server.value());
    spdlog::info("administration API is shutting down");
    return exit_ok;
}

} // namespace fulmar
