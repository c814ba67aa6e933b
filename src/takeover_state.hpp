// The state of the takeover model, and what may happen in one tick of it. See takeover_model.hpp.
#pragma once

#include "takeover_model.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace fulmar::takeover {

constexpr std::size_t max_workers = 3;
constexpr std::size_t max_peers = 2;

enum class process : std::uint8_t { alive, ended, replaced };

struct model_worker {
    process state = process::alive;
    bool fenced = false;       // has seen the successor's epoch
    bool held = false;         // has answered the successor's last hold
    std::int8_t lease = 0;     // ticks left
    std::int8_t accepted = 0;  // ticks since the former owner's last accepted hold, as it knows
    std::int8_t late_hold = 0; // a delayed hold of the former owner: ticks left of its lease
};

// A witness beside the hosts of the former owner and of the successor.
struct model_peer {
    bool alive = true;
    bool fenced = false;      // has promised to refuse the former owner
    std::int8_t accepted = 0; // ticks since it confirmed the former owner, as that knows
    // The same for longer times, if it is in the other data centre.
    std::int8_t confirmed = 0;
};

struct model_state {
    std::array<model_worker, max_workers> workers;
    std::array<model_peer, max_peers> peers;
    std::int8_t age = 0;           // ticks since the claim
    std::int8_t refused_age = -1;  // ticks since the former owner was refused; -1: it isn't
    std::int8_t given_up_age = -1; // ticks since its host promised not to act; -1: not yet
    std::uint8_t reached = 0;      // bits of the workers that the takeover has passed
    bool owner_active = true;      // the former owner lives and hasn't been refused or asked
    bool owner_host_back = false;  // its host has ended and runs again
    bool task_runs = true;         // on the first worker, for the former owner
    bool task_known = false;       // the successor has found it running
    bool complete = false;
    bool restarted = false; // the successor has started the task elsewhere
};

enum class owner_link : std::uint8_t { up, down, late };

// What happens in one tick.
struct tick_events {
    std::array<owner_link, max_workers> owner{}; // from the former owner
    std::array<bool, max_workers> successor{};   // whether the successor's hold is answered
    std::array<bool, max_peers> owner_to_peer{};
    std::array<bool, max_peers> successor_to_peer{};
    bool successor_to_owner_host = false;
    bool successor_first = false;
    bool owner_dies = false;
    bool owner_host_returns = false;
    bool late_hold_arrives = false;        // at the first worker
    std::optional<std::size_t> peer_ends;  // peer that is gone for good
    std::optional<std::size_t> ending;     // worker that ends
    std::optional<std::size_t> replacing;  // ended worker whose address another one gets
    std::optional<std::size_t> restarting; // ended worker that comes back and knows no epoch
};

using state_key = std::array<std::uint64_t, 2>;

struct state_hash {
    std::size_t operator()(const state_key& key) const;
};

state_key encode(const model_state& state);

std::string describe(const takeover_rules& rules, const tick_events& events);

} // namespace fulmar::takeover
