#include "gate.hpp"

#include <array>

namespace fulmar {

namespace {

constexpr std::array rows{
    setting_spec{"host", "name", setting_kind::text, "", 0, 0, "name of this host"},
    setting_spec{"host", "data_centre", setting_kind::text, "", 0, 0, "data centre of this host"},
    setting_spec{"host", "region", setting_kind::text, "", 0, 0, "region of this host"},
    setting_spec{"callers", "address", setting_kind::address, "", 0, 0, "where callers connect"},
    setting_spec{"callers", "threads", setting_kind::integer, "2", 1, 16, "traffic threads"},
    setting_spec{"callers", "queue_length", setting_kind::integer, "256", 1, 10'000,
                 "requests of one service that may wait for an endpoint"},
    setting_spec{"callers", "grace", setting_kind::duration, "5 s", 0, 20'000,
                 "time from SIGTERM to the first refusal, for the load balancer to notice"},
    setting_spec{"routing", "policy", setting_kind::text, "least_loaded", 0, 0,
                 "least_loaded, round_robin or random"},
    setting_spec{"routing", "gates_per_endpoint", setting_kind::integer, "3", 1, 100,
                 "gates of this data centre that prefer an endpoint"},
    setting_spec{"operator", "address", setting_kind::address, "127.0.0.1:0", 0, 0,
                 "where metrics and health are served"},
    setting_spec{"peers", "*", setting_kind::address, "", 0, 0,
                 "operator address of a scheduler, queried for the configuration while the store "
                 "is unreachable"},
    setting_spec{"store", "address", setting_kind::address, "", 0, 0, "the platform's store"},
    setting_spec{"store", "timeout", setting_kind::duration, "1 s", 10, 10'000,
                 "longest wait for a store call"},
    setting_spec{"store", "threads", setting_kind::integer, "4", 1, 32,
                 "threads for store calls of non-idempotent requests"}};

} // namespace

std::span<const setting_spec> gate_setting_specs() {
    return rows;
}

result<gate_settings> parse_gate_settings(const settings& from) {
    const auto policy = parse_routing_policy(text_setting(from, "routing", "policy"));
    if (!policy) {
        return error{error_kind::invalid_argument,
                     from.file + ": [routing] policy: " + policy.error().detail};
    }
    const auto count = [&](std::string_view section, std::string_view key) {
        return static_cast<std::size_t>(integer_setting(from, section, key));
    };
    gate_settings options;
    options.host = {text_setting(from, "host", "name")};
    options.data_centre = {text_setting(from, "host", "data_centre")};
    options.region = {text_setting(from, "host", "region")};
    options.caller_address = address_setting(from, "callers", "address");
    options.traffic_threads = count("callers", "threads");
    options.queue_length = count("callers", "queue_length");
    options.grace = duration_setting(from, "callers", "grace");
    options.policy = policy.value();
    options.gates_per_endpoint = count("routing", "gates_per_endpoint");
    options.operator_address = address_setting(from, "operator", "address");
    options.store_address = address_setting(from, "store", "address");
    options.store_timeout = duration_setting(from, "store", "timeout");
    options.store_threads = count("store", "threads");
    return options;
}

} // namespace fulmar
