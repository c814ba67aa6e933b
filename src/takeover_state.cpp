#include "takeover_state.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <string_view>

namespace fulmar::takeover {

std::size_t state_hash::operator()(const state_key& key) const {
    return XXH64(key.data(), sizeof(key), 0);
}

state_key encode(const model_state& state) {
    state_key key{};
    unsigned place = 0;
    const auto add = [&](unsigned value, unsigned bits) {
        key.at(place / 64) |= static_cast<std::uint64_t>(value) << place % 64;
        place += bits;
    };
    constexpr unsigned age_bits = 6;
    const auto add_age = [&](std::int8_t age) { add(static_cast<unsigned>(age + 1), age_bits); };
    add_age(state.age);
    add_age(state.refused_age);
    add_age(state.given_up_age);
    add(state.reached, max_workers);
    for (const bool flag : {state.owner_active, state.task_runs, state.task_known, state.complete,
                            state.restarted, state.owner_host_back}) {
        add(flag ? 1 : 0, 1);
    }
    for (const auto& peer : state.peers) {
        add_age(peer.accepted);
        add_age(peer.confirmed);
        add(peer.alive ? 1 : 0, 1);
        add(peer.fenced ? 1 : 0, 1);
    }
    place = 64;
    for (const auto& worker : state.workers) {
        add(static_cast<unsigned>(worker.state), 2);
        add(worker.fenced ? 1 : 0, 1);
        add(worker.held ? 1 : 0, 1);
        constexpr unsigned lease_bits = 4;
        add(static_cast<unsigned>(worker.lease), lease_bits);
        add(static_cast<unsigned>(worker.accepted), lease_bits);
        add(static_cast<unsigned>(worker.late_hold), lease_bits);
    }
    return key;
}

std::string describe(const takeover_rules& rules, const tick_events& events) {
    std::string owner;
    std::string successor;
    for (std::size_t i = 0; i < rules.workers; ++i) {
        owner += events.owner[i] == owner_link::up     ? '+'
                 : events.owner[i] == owner_link::late ? '~'
                                                       : '-';
        successor += events.successor[i] ? '+' : '-';
    }
    auto text = fmt::format("holds of owner {} and successor {}{}", owner, successor,
                            events.successor_first ? ", successor first" : "");
    const auto add = [&](bool happens, std::string_view what) {
        text += happens ? fmt::format("; {}", what) : "";
    };
    for (std::size_t i = 0; i < rules.local_peers.size(); ++i) {
        add(events.owner_to_peer[i], fmt::format("peer {} confirms the owner", i));
        add(events.successor_to_peer[i], fmt::format("the successor asks peer {}", i));
    }
    add(events.successor_to_owner_host, "the successor asks the owner's host");
    add(events.owner_dies, "the owner dies");
    add(events.owner_host_returns, "the owner's host runs again");
    add(events.late_hold_arrives, "a late hold arrives at worker 0");
    text += events.peer_ends ? fmt::format("; peer {} is gone", *events.peer_ends) : "";
    text += events.ending ? fmt::format("; worker {} ends", *events.ending) : "";
    text += events.replacing ? fmt::format("; worker {} is replaced", *events.replacing) : "";
    text += events.restarting ? fmt::format("; worker {} restarts", *events.restarting) : "";
    return text;
}

} // namespace fulmar::takeover
