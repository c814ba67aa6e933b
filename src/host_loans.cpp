// Messages about lent tasks between shard owners.
#include "host_control.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr duration room_update_interval{300};

// Timeout of a call for room. The next one is sent before, so that a late answer counts as well.
constexpr duration room_call_timeout{1'600};

} // namespace

// Updates each owned shard's view of the room in other shards, and its copy of their effect
// estimates.
void host_control::update_rooms() {
    next_room_update_ = loop_.now() + room_update_interval;
    std::map<shard_id, const shard_status*> newest;
    for (const auto& [name, peer] : peers_) {
        if (!is_alive(peer)) {
            continue;
        }
        for (const auto& status : peer.status.shards) {
            auto& newest_status = newest[status.id];
            if (newest_status == nullptr || newest_status->epoch < status.epoch) {
                newest_status = &status;
            }
        }
    }
    std::map<shard_id, shard_status> own;
    for (const auto& [id, shard] : owned_) {
        if (shard->loaded) {
            newest[id] = &(own[id] = summarize(shard->state, loop_.now()));
        }
    }
    for (const auto& [id, shard] : owned_) {
        std::vector<published_effect> remote_effects;
        for (const auto& [other, effects] : published_effects_) {
            if (other != id) {
                remote_effects.insert(remote_effects.end(), effects.begin(), effects.end());
            }
        }
        replace_remote_estimates(shard->state.effects, remote_effects);
        for (const auto& record : shard_list_) {
            if (record.id == id) {
                continue;
            }
            auto& other = shard->state.other_shards[record.id];
            const auto status = newest.find(record.id);
            other.shard = record.id;
            other.racks = record.racks;
            other.available = status != newest.end() && !evacuated_.contains(record.data_centre);
            other.rooms = other.available ? status->second->rooms : std::vector<service_room>();
        }
        if (shard->loaded) {
            send_room_requests(shard);
        }
    }
}

// Requests room for the shard's waiting long-running tasks from the owners of all other shards.
void host_control::send_room_requests(const shard_pointer& shard) {
    for (const auto& message : make_room_requests(shard->state, loop_.now())) {
        const auto done = [this, alive = alive_, shard,
                           to = message.to](const result<std::string>& reply) {
            if (!*alive) {
                return;
            }
            try {
                on_room_reply(shard->state, to, reply, loop_.now());
            } catch (const std::exception& failure) {
                log_.write("event=room_reply_malformed shard={} from={} reason=\"{}\"",
                           shard->state.id.value, to.value, failure.what());
            }
            schedule_shard(shard);
        };
        if (find_owned(message.to)) {
            // Deferred, as the answer may change the tables during this call.
            loop_.call_after(duration(0), [this, alive = alive_, body = message.body, done] {
                if (*alive) {
                    answer_room_call(body, done);
                }
            });
            continue;
        }
        const auto* owner = find_owner(message.to);
        if (owner != nullptr && owner->record.address.port != 0) {
            peers_link_.call(owner->record.address, "room", message.body, room_call_timeout, done);
        }
    }
}

void host_control::answer_room_call(const std::string& body, const peer_reply& reply) {
    try {
        const auto in = json::parse(body);
        const auto shard = find_owned(in.at("to").get<shard_id>());
        if (!shard || !shard->loaded || shard->state.ownership_lost) {
            reply(error{error_kind::unavailable, "not the shard's owner"});
            return;
        }
        reply(on_room_requests(shard->state, in, loop_.now()));
    } catch (const std::exception& failure) {
        reply(error{error_kind::protocol_error, failure.what()});
    }
}

void host_control::send_loan_message(const shard_pointer& shard, const loan_message& message) {
    const auto done = [this, alive = alive_, shard, message](const result<std::string>& state) {
        if (*alive) {
            on_loan_reply(shard->state, message, state, loop_.now());
            schedule_shard(shard);
        }
    };
    if (find_owned(message.to)) {
        // Deferred, as the answer may arrive synchronously and change the tables during this call.
        loop_.call_after(duration(0), [this, alive = alive_, message, done] {
            if (*alive) {
                answer_loan_call(message.body, done);
            }
        });
        return;
    }
    const auto* owner = find_owner(message.to);
    if (owner == nullptr || owner->record.address.port == 0) {
        loop_.call_after(duration(0), [done] {
            done(error{error_kind::unavailable, "the shard's owner is unknown"});
        });
        return;
    }
    peers_link_.call(owner->record.address, "loan", message.body, options_.timing.peer_timeout,
                     done);
}

// Handles a message about lent tasks. A new offer is first checked against the lender's record in
// the store, as a message may arrive long after the loan has ended.
void host_control::answer_loan_call(const std::string& body, const peer_reply& reply) {
    try {
        const auto in = json::parse(body);
        const auto shard = find_owned(in.at("to").get<shard_id>());
        if (!shard || !shard->loaded || shard->state.releasing) {
            reply(error{error_kind::unavailable, "not the shard's owner"});
            return;
        }
        if (!is_new_offer(shard->state, in)) {
            process_loan_message(shard, in, reply);
            return;
        }
        const auto key = progress_key(in.at("from").get<shard_id>(), in.at("job").get<job_id>());
        const auto check = begin_offer_check(shard->state, in);
        store_.get(key, [this, alive = alive_, shard, in, check,
                         reply](const result<std::optional<store_entry>>& record) {
            if (*alive) {
                answer_verified_offer(shard, in,
                                      finish_offer_check(shard->state, check, in, record), reply);
            }
        });
    } catch (const std::exception& failure) {
        reply(error{error_kind::protocol_error, failure.what()});
    }
}

void host_control::answer_verified_offer(const shard_pointer& shard, const json& offer,
                                         offer_verdict verdict, const peer_reply& reply) {
    if (verdict == offer_verdict::valid) {
        process_loan_message(shard, offer, reply);
        return;
    }
    if (verdict == offer_verdict::unknown) {
        reply(error{error_kind::unavailable, "the store can't be reached"});
        return;
    }
    log_.write("event=offer_outdated job={} loan={} withdrawn={}",
               offer.at("job").get<std::string>(), offer.at("loan").get<std::uint64_t>(),
               verdict == offer_verdict::withdrawn);
    reply(std::string("refused"));
}

void host_control::process_loan_message(const shard_pointer& shard, const json& body,
                                        const peer_reply& reply) {
    if (shard->state.ownership_lost) {
        reply(error{error_kind::unavailable, "not the shard's owner"});
        return;
    }
    const auto token = next_token_++;
    loan_waiting_[token] = reply;
    try {
        on_loan_message(shard->state, body, token, loop_.now(), loop_.unix_now());
        schedule_shard(shard);
    } catch (const std::exception& failure) {
        loan_waiting_.erase(token);
        reply(error{error_kind::protocol_error, failure.what()});
    }
}

} // namespace fulmar
