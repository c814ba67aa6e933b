// One simulated host and its interfaces: event loop, store, workers and peers.
#pragma once

#include "sim_world.hpp"

#include <algorithm>

namespace fulmar {

struct sim_world::sim_host {
    std::size_t index = 0;
    host_options options;
    std::uint64_t incarnation = 0;
    bool alive = false;
    bool leaving = false;
    time_point frozen_until;
    time_point suspended_until;
    duration suspended_total{0};
    store_mode mode = store_mode::up;
    std::set<std::string> hung_prefixes; // of keys whose watches get no answer
    duration data_read_delay{0};         // of replies to reads of shards' records
    std::uint64_t order_bytes = 0;       // of values of the operators' keys that it received
    std::uint64_t worker_bytes = 0;      // the same of the workers' entries
    bool log_kept = false;
    std::shared_ptr<std::string> log_lines = std::make_shared<std::string>();

    bool hangs(const std::string& prefix) const {
        return std::any_of(hung_prefixes.begin(), hung_prefixes.end(),
                           [&](const std::string& hung) { return prefix.starts_with(hung); });
    }
    void count_bytes(const store_entry& entry) {
        if (entry.key.starts_with("op/")) {
            order_bytes += entry.value.size();
        } else if (entry.key.starts_with("servers/")) {
            worker_bytes += entry.value.size();
        }
    }
    std::unique_ptr<event_loop> loop;
    std::unique_ptr<async_store> store;
    std::unique_ptr<worker_link> workers;
    std::unique_ptr<peer_link> link;
    std::unique_ptr<metrics> counters;
    std::unique_ptr<decision_log> log;
    std::unique_ptr<host_control> control;

    struct components {
        std::unique_ptr<event_loop> loop;
        std::unique_ptr<async_store> store;
        std::unique_ptr<worker_link> workers;
        std::unique_ptr<peer_link> link;
        std::unique_ptr<metrics> counters;
        std::unique_ptr<decision_log> log;
    };
    std::vector<components> retired;
};

std::unique_ptr<event_loop> make_sim_loop(sim_world& world, std::size_t host,
                                          std::uint64_t incarnation);
std::unique_ptr<async_store> make_sim_store(sim_world& world, std::size_t host,
                                            std::uint64_t incarnation);
std::unique_ptr<worker_link> make_sim_worker_link(sim_world& world, std::size_t host,
                                                  std::uint64_t incarnation);
std::unique_ptr<peer_link> make_sim_peer_link(sim_world& world, std::size_t host,
                                              std::uint64_t incarnation);

} // namespace fulmar
