#include "membership.hpp"

#include <msgpack.hpp>
#include <xxhash.h>

#include <algorithm>

namespace fulmar {

namespace {

// Version of the datagram format. Other versions are refused, so that hosts with different versions
// don't misread fields.
constexpr int format_version = 1;
constexpr std::size_t cells_limit = 1024;

std::uint64_t rendezvous_weight(const host_id& instance, const cell_id& cell) {
    const std::string text = instance.value + '\0' + cell.value;
    return XXH64(text.data(), text.size(), 0);
}

// Lists all instances that may own cells now, including this one.
std::vector<host_id> list_candidates(const membership& members, time_point now) {
    std::vector<host_id> candidates;
    if (!members.leaving) {
        candidates.push_back(members.self);
    }
    for (const auto& [instance, peer] : members.peers) {
        if (!peer.last_heartbeat.leaving && is_alive(members, instance, now)) {
            candidates.push_back(instance);
        }
    }
    return candidates;
}

bool is_settled(const membership& members, const host_id& instance, time_point now) {
    const auto peer = members.peers.find(instance);
    return peer != members.peers.end() &&
           now - peer->second.first_received >= members.timing.settling_time;
}

} // namespace

std::string serialize(const heartbeat& message) {
    msgpack::sbuffer buffer;
    msgpack::packer pack(buffer);
    pack.pack_array(6);
    pack.pack(format_version);
    pack.pack(message.instance.value);
    pack.pack(message.data_centre.value);
    pack.pack(message.generation.value);
    pack.pack(message.leaving);
    pack.pack_array(static_cast<std::uint32_t>(message.cells.size()));
    for (const auto& owned : message.cells) {
        pack.pack_array(2);
        pack.pack(owned.cell.value);
        pack.pack(owned.epoch.value);
    }
    return {buffer.data(), buffer.size()};
}

result<heartbeat> parse_heartbeat(std::string_view datagram) {
    using cell_pair = std::pair<std::string, std::uint64_t>;
    using fields =
        std::tuple<int, std::string, std::string, std::uint64_t, bool, std::vector<cell_pair>>;
    try {
        const auto handle = msgpack::unpack(datagram.data(), datagram.size());
        const auto [version, instance, data_centre, generation, leaving, cells] =
            handle.get().as<fields>();
        if (version != format_version || cells.size() > cells_limit || instance.empty()) {
            return error{error_kind::protocol_error, "heartbeat: unsupported version or content"};
        }
        heartbeat message{{instance}, {data_centre}, {generation}, leaving, {}};
        for (const auto& [cell, epoch] : cells) {
            message.cells.push_back({{cell}, {epoch}});
        }
        return message;
    } catch (const std::exception& failure) {
        return error{error_kind::protocol_error, std::string("heartbeat: ") + failure.what()};
    }
}

void record_claim(membership& members, const cell_id& cell, const host_id& owner,
                  epoch_number epoch, time_point now) {
    auto [at, created] = members.cells.try_emplace(cell);
    auto& ownership = at->second;
    if (!created && epoch < ownership.highest_epoch) {
        return;
    }
    if (created || owner != ownership.owner) {
        ownership.owner_since = now;
    }
    ownership.highest_epoch = epoch;
    ownership.owner = owner;
}

void on_heartbeat(membership& members, const heartbeat& message, time_point now) {
    if (message.instance == members.self || message.data_centre != members.data_centre) {
        return;
    }
    const bool was_alive = is_alive(members, message.instance, now);
    auto& peer = members.peers[message.instance];
    if (!was_alive) {
        peer.first_received = now;
    }
    peer.last_received = now;
    peer.last_heartbeat = message;
    for (const auto& owned : message.cells) {
        record_claim(members, owned.cell, message.instance, owned.epoch, now);
    }
    // An owner that no longer lists a cell has released it.
    for (auto& [cell, ownership] : members.cells) {
        if (ownership.owner != message.instance) {
            continue;
        }
        const bool listed =
            std::any_of(message.cells.begin(), message.cells.end(),
                        [&id = cell](const owned_cell& owned) { return owned.cell == id; });
        if (!listed) {
            ownership.owner = {};
            ownership.owner_since = now;
        }
    }
}

bool is_alive(const membership& members, const host_id& instance, time_point now) {
    if (instance == members.self) {
        return true;
    }
    const auto peer = members.peers.find(instance);
    return peer != members.peers.end() &&
           now - peer->second.last_received < members.timing.failure_timeout;
}

host_id choose_owner(const membership& members, const cell_id& cell, time_point now) {
    host_id best;
    std::uint64_t best_weight = 0;
    for (const auto& candidate : list_candidates(members, now)) {
        const auto weight = rendezvous_weight(candidate, cell);
        if (best.value.empty() || weight > best_weight) {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

std::vector<owned_cell> find_adoptable(const membership& members, time_point now) {
    std::vector<owned_cell> found;
    const bool listened_long_enough = now - members.started >= members.timing.failure_timeout;
    for (const auto& [cell, ownership] : members.cells) {
        if (ownership.owner == members.self || choose_owner(members, cell, now) != members.self) {
            continue;
        }
        if (ownership.owner.value.empty()) {
            // The previous owner may still be releasing the claim in the store. The chosen owner
            // claims the cell in the store at once, and adopts it without the store only after the
            // failure timeout.
            if (now - ownership.owner_since < members.timing.failure_timeout ||
                !listened_long_enough) {
                continue;
            }
        } else if (is_alive(members, ownership.owner, now) || !listened_long_enough) {
            continue;
        }
        found.push_back({cell, ownership.highest_epoch});
    }
    return found;
}

std::optional<cell_id> find_surplus(const membership& members, const std::vector<cell_id>& owned,
                                    time_point now) {
    const auto candidates = list_candidates(members, now);
    if (candidates.size() < 2) {
        return std::nullopt;
    }
    const std::size_t share = (members.cells.size() + candidates.size() - 1) / candidates.size();
    if (owned.size() < share + 2) {
        return std::nullopt;
    }
    for (const auto& cell : owned) {
        const auto chosen = choose_owner(members, cell, now);
        if (chosen == members.self || !is_settled(members, chosen, now)) {
            continue;
        }
        if (members.peers.at(chosen).last_heartbeat.cells.size() < share) {
            return cell;
        }
    }
    return std::nullopt;
}

std::vector<host_id> find_newer_peers(const membership& members, generation_number generation,
                                      time_point now) {
    std::vector<host_id> newer;
    for (const auto& [instance, peer] : members.peers) {
        if (is_alive(members, instance, now) && peer.last_heartbeat.generation > generation) {
            newer.push_back(instance);
        }
    }
    return newer;
}

} // namespace fulmar
