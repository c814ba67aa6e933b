// Passing of run ends, and of reserved and requested room, to the next owner of a shard.
#include "host_control.hpp"
#include "shard_handover.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// For how long a former owner tries to pass an end on. A takeover that completes without reaching
// every worker takes some 8 s after most workers answered.
constexpr duration passing_limit{60'000};

constexpr duration passing_retry{400};

} // namespace

// Keeps the ends until the next owner of the shard has received them.
void host_control::pass_on(const shard_id& id, const std::vector<listed_run_end>& ends) {
    auto& passing = passing_[id];
    for (const auto& next : ends) {
        const bool known =
            std::any_of(passing.ends.begin(), passing.ends.end(),
                        [&](const listed_run_end& row) { return row.end.run == next.end.run; });
        if (counts_for_successor(next.end) && !known) {
            passing.ends.push_back(next);
            passing.until = loop_.now() + passing_limit;
        }
    }
}

// Passes on the ends that a worker lists to this host after the shard was lost.
void host_control::pass_on_reply(const shard_pointer& shard, const worker_id& worker,
                                 const result<hold_reply>& reply) {
    if (!reply || reply.value().outcome != command_outcome::done) {
        return;
    }
    std::vector<listed_run_end> ends;
    for (const auto& end : reply.value().ended) {
        ends.push_back({worker, end});
    }
    pass_on(shard->state.id, ends);
}

void host_control::send_passed_ends() {
    std::erase_if(passing_, [&](const auto& row) {
        const auto& passing = row.second;
        const bool given_up = !passing.ends.empty() && loop_.now() >= passing.until;
        if (given_up) {
            log_.write_rare("event=ends_not_passed shard={} ends={}", row.first.value,
                            passing.ends.size());
        }
        return !passing.in_flight && (passing.ends.empty() || given_up);
    });
    for (auto& [id, passing] : passing_) {
        if (passing.in_flight || passing.ends.empty() || loop_.now() < passing.next_attempt) {
            continue;
        }
        passing.next_attempt = loop_.now() + passing_retry;
        if (const auto own = find_owned(id)) {
            if (own->loaded && !own->state.ownership_lost) {
                on_passed_ends(own->state, passing.ends, loop_.now(), loop_.unix_now());
                passing.ends.clear();
                schedule_shard(own);
            }
            continue;
        }
        const auto* owner = find_owner(id);
        if (owner == nullptr || owner->record.address.port == 0) {
            continue;
        }
        passing.in_flight = true;
        const auto sent = std::min(passing.ends.size(), max_run_ends);
        const std::vector<listed_run_end> ends(
            passing.ends.begin(), passing.ends.begin() + static_cast<std::ptrdiff_t>(sent));
        const auto to = owner->record.name;
        peers_link_.call(
            owner->record.address, "ends", encode_passed_ends(id, ends),
            options_.timing.peer_timeout,
            [this, alive = alive_, shard = id, sent, to](const result<std::string>& reply) {
                if (!*alive) {
                    return;
                }
                auto& row = passing_[shard];
                row.in_flight = false;
                if (reply) {
                    log_.write_rare("event=ends_passed shard={} ends={} to={}", shard.value, sent,
                                    to.value);
                    row.ends.erase(row.ends.begin(),
                                   row.ends.begin() + static_cast<std::ptrdiff_t>(sent));
                }
            });
    }
}

void host_control::answer_ends_call(const std::string& body, const peer_reply& reply) {
    try {
        const auto in = json::parse(body);
        const auto shard = find_owned(in.at("to").get<shard_id>());
        if (!shard || !shard->loaded || shard->state.ownership_lost) {
            reply(error{error_kind::unavailable, "not the shard's owner"});
            return;
        }
        on_passed_ends(shard->state, parse_passed_ends(in), loop_.now(), loop_.unix_now());
        schedule_shard(shard);
        reply(std::string());
    } catch (const std::exception& failure) {
        reply(error{error_kind::protocol_error, failure.what()});
    }
}

// Sent once: without it, the successor makes reservations anew.
void host_control::pass_on_rooms(const host_id& successor, const std::string& rooms) {
    const auto peer = peers_.find(successor);
    if (peer != peers_.end() && !rooms.empty()) {
        peers_link_.call(peer->second.record.address, "rooms", rooms, options_.timing.peer_timeout,
                         [](const result<std::string>&) {});
    }
}

// Keeps what a former owner passes on until the shard is loaded here.
void host_control::answer_rooms_call(const std::string& body, const peer_reply& reply) {
    try {
        const auto in = json::parse(body);
        const auto id = in.at("to").get<shard_id>();
        const auto epoch = in.at("epoch").get<epoch_number>();
        const bool listed = std::any_of(shard_list_.begin(), shard_list_.end(),
                                        [&](const shard_record& shard) { return shard.id == id; });
        if (listed && epoch > fenced_epochs_[id]) {
            received_rooms_.insert_or_assign(
                id, received_rooms{epoch, parse_passed_rooms(in, loop_.now())});
        }
        if (const auto shard = find_owned(id); shard && shard->loaded) {
            inherit_rooms(*shard);
            schedule_shard(shard);
        }
        reply(std::string());
    } catch (const std::exception& failure) {
        reply(error{error_kind::protocol_error, failure.what()});
    }
}

void host_control::inherit_rooms(owned_shard& shard) {
    auto received = received_rooms_.extract(shard.state.id);
    if (!received.empty() && received.mapped().epoch == shard.state.epoch) {
        shard.state.inherited_rooms = std::move(received.mapped().rooms);
    }
}

} // namespace fulmar
