#include "daemon_presence.hpp"

#include "config_follower.hpp"
#include "fulmar/store_http.hpp"
#include "member_registration.hpp"
#include "peer_rpc.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace fulmar {

namespace {

// Only the list of members depends on these leases, so they are renewed less often than those of
// schedulers.
constexpr duration registration_ttl{15'000};
constexpr duration registration_interval{5'000};
constexpr duration config_watch_timeout{5'000};
constexpr duration peer_timeout{1'000};
constexpr duration retry_interval{500};

} // namespace

struct daemon_presence::state {
    state(presence_options presence, http_client& client, metrics& registry)
        : options(std::move(presence))
        , http(client)
        , counters(registry)
        , config(registry) {}

    presence_options options;
    http_client& http;
    metrics& counters;
    config_follower config;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::vector<std::jthread> threads;

    // Waits for `limit`, or until the daemon stops; returns false if it stops.
    bool wait_for(duration limit) {
        std::unique_lock lock(mutex);
        return !changed.wait_for(lock, limit, [this] { return stopping; });
    }

    // Keeps the member record registered until the daemon stops, then deletes it.
    void run_registration() {
        const auto store =
            make_http_store_client(http, options.store_address, options.store_timeout);
        member_registration member;
        member.instance = make_instance(options.record.host);
        member.record = options.record;
        member.ttl = registration_ttl;
        do {
            member.record.generation = config.record().generation;
            keep_registered(member, *store, counters);
        } while (wait_for(member.lease ? registration_interval : retry_interval));
        unregister(member, *store);
    }

    // Follows the configuration until the daemon stops.
    void run_config() {
        const auto store =
            make_http_store_client(http, options.store_address, options.store_timeout);
        const auto fetch = [this](const std::string& address) {
            return fetch_config(http, address, peer_timeout);
        };
        do {
            config.follow_once(*store, config_watch_timeout, options.peers, fetch);
        } while (wait_for(retry_interval));
    }
};

daemon_presence::daemon_presence(presence_options options, http_client& http, metrics& counters)
    : state_(std::make_unique<state>(std::move(options), http, counters)) {
    state_->threads.emplace_back([this] { state_->run_registration(); });
    state_->threads.emplace_back([this] { state_->run_config(); });
}

daemon_presence::~daemon_presence() {
    {
        const std::lock_guard lock(state_->mutex);
        state_->stopping = true;
    }
    state_->changed.notify_all();
    state_->threads.clear();
}

runtime_config daemon_presence::values() const {
    return state_->config.values();
}

config_record daemon_presence::record() const {
    return state_->config.record();
}

bool daemon_presence::is_confirmed() const {
    return state_->config.is_confirmed();
}

} // namespace fulmar
