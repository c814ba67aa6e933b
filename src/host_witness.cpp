// Witnesses: hosts that confirm the owner of a shard while the store doesn't, until its successor
// asks them to stop. See shard_takeover.cpp for what follows from either.
#include "host_control.hpp"

#include "fulmar/json.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Of each set. A loss of three leaves a majority, and so does one of a data centre with less than
// half of them.
constexpr std::size_t witness_limit = 7;

constexpr duration witness_choice_interval{2'000};

// A witness whose record has been missing in the store for this long is replaced. Records also
// lapse in outages of the store.
constexpr duration absence_limit{30'000};

// Between two calls of one witness. Several fit into the confirmation window.
constexpr duration witness_call_interval{400};

// Returns by when a witness had confirmed an owner of the shard last, by its reply. Those of
// earlier versions don't tell.
time_point decode_last_confirmation(const json& reply, const shard_state& shard, time_point now) {
    const auto times = reply.value("unconfirmed_ms", json::object());
    const duration unconfirmed(times.value(shard.id.value, std::int64_t{0}));
    return now - unconfirmed * (100 - shard.timing.clock_drift_percent) / 100;
}

} // namespace

// Returns this host and others, those with the most processors first: some spread over the data
// centres, and some of this one.
witness_sets host_control::choose_witnesses() const {
    std::map<data_centre_id, std::vector<std::pair<std::int64_t, host_id>>> hosts;
    for (const auto& [name, peer] : peers_) {
        if (peer.record.address.port != 0 && !peer.unregistered_since && !peer.status.leaving) {
            hosts[peer.record.data_centre].emplace_back(-peer.record.weight, name);
        }
    }
    for (auto& [data_centre, candidates] : hosts) {
        std::sort(candidates.begin(), candidates.end());
    }
    witness_sets chosen{{options_.name}, {options_.name}};
    const auto add = [&](std::set<host_id>& witnesses, const data_centre_id& data_centre,
                         std::size_t rank) {
        const auto& candidates = hosts[data_centre];
        if (rank < candidates.size() && witnesses.size() < witness_limit) {
            witnesses.insert(candidates[rank].second);
        }
    };
    for (std::size_t rank = 0; rank < witness_limit; ++rank) {
        for (const auto& [data_centre, candidates] : hosts) {
            // This host is the first one of its own data centre.
            if (data_centre != options_.data_centre) {
                add(chosen.spread, data_centre, rank);
            } else if (rank > 0) {
                add(chosen.spread, data_centre, rank - 1);
            }
        }
    }
    // With one data centre, there is no other one to which its tasks could move: an owner that is
    // cut off from all other hosts goes on like a data centre with one host.
    const bool several = options_.regions.size() > 1;
    for (std::size_t rank = 0; rank < witness_limit && several; ++rank) {
        add(chosen.local, options_.data_centre, rank);
    }
    for (const auto& [data_centre, candidates] : hosts) {
        for (const auto& [order, name] : candidates) {
            if (several && data_centre != options_.data_centre && chosen.spread.contains(name)) {
                chosen.elsewhere[data_centre].insert(name);
            }
        }
    }
    return chosen;
}

// Chooses the witnesses of the owned shards anew where one is gone for good or there are too few.
void host_control::update_witnesses() {
    const auto now = loop_.now();
    if (owned_.empty() || now < next_witness_choice_) {
        return;
    }
    next_witness_choice_ = now + witness_choice_interval;
    const auto is_gone = [&](const host_id& witness) {
        const auto peer = peers_.find(witness);
        return peer != peers_.end() && peer->second.unregistered_since &&
               now - *peer->second.unregistered_since > absence_limit;
    };
    const auto best = choose_witnesses();
    for (const auto& [id, shard] : owned_) {
        auto& witnesses = shard->state.witnesses;
        const auto all = all_witnesses(witnesses);
        const bool changes = best.spread.size() > witnesses.spread.size() ||
                             best.local.size() > witnesses.local.size() ||
                             std::any_of(all.begin(), all.end(), is_gone);
        if (changes && witnesses != best) {
            log_.write_rare("event=witnesses_chosen shard={} epoch={} witnesses={} local={} "
                            "before={}",
                            id.value, shard->state.epoch.value, best.spread.size(),
                            best.local.size(), witnesses.spread.size());
            witnesses = best;
        }
    }
}

// Calls the witnesses of shards that the store may not confirm in time, and those of the former
// owners of shards whose takeover isn't complete.
void host_control::call_witnesses() {
    const auto now = loop_.now();
    struct request {
        std::vector<shard_pointer> confirm;
        std::vector<shard_pointer> fence;
    };
    std::map<host_id, request> requests;
    for (const auto& [id, shard] : owned_) {
        if (!shard->loaded || shard->state.ownership_lost) {
            continue;
        }
        if (needs_witnesses(shard->state, now)) {
            for (const auto& witness : all_witnesses(shard->state.witnesses)) {
                requests[witness].confirm.push_back(shard);
            }
        }
        for (const auto& witness : find_unfenced_witnesses(shard->state)) {
            requests[witness].fence.push_back(shard);
        }
    }
    const auto encode = [](const std::vector<shard_pointer>& shards) {
        json rows = json::array();
        for (const auto& shard : shards) {
            rows.push_back({shard->state.id, shard->state.epoch});
        }
        return rows;
    };
    for (const auto& [witness, request] : requests) {
        auto& next = next_witness_call_[witness];
        if (witness == options_.name || now < next) {
            continue;
        }
        next = now + witness_call_interval;
        const json body{{"confirm", encode(request.confirm)}, {"fence", encode(request.fence)}};
        call_witness(witness, body.dump(), request.confirm, request.fence);
    }
}

void host_control::call_witness(const host_id& witness, const std::string& body,
                                const std::vector<shard_pointer>& confirmed,
                                const std::vector<shard_pointer>& fenced) {
    const auto peer = peers_.find(witness);
    if (peer == peers_.end() || peer->second.record.address.port == 0) {
        return;
    }
    const auto sent = loop_.now();
    const auto done = [this, alive = alive_, witness, confirmed, fenced,
                       sent](const result<std::string>& reply) {
        if (!*alive || !reply) {
            return;
        }
        const auto in = json::parse(reply.value(), nullptr, false);
        const auto includes = [&](const char* field, const shard_id& id) {
            const auto rows = in.is_object() ? in.value(field, json::array()) : json::array();
            return std::find(rows.begin(), rows.end(), json(id)) != rows.end();
        };
        for (const auto& shard : confirmed) {
            if (includes("confirmed", shard->state.id)) {
                on_witness_confirmed(shard->state, witness, sent);
                schedule_shard(shard);
            }
        }
        for (const auto& shard : fenced) {
            if (includes("fenced", shard->state.id)) {
                const auto now = loop_.now();
                const auto last = decode_last_confirmation(in, shard->state, now);
                on_witness_fenced(shard->state, witness, now, last);
                schedule_shard(shard);
            }
        }
    };
    peers_link_.call(peer->second.record.address, "witness", body, options_.timing.peer_timeout,
                     done);
}

// Returns by when this host had confirmed an owner of the shard last. It doesn't know about the
// time before its start.
time_point host_control::find_last_confirmation(const shard_id& shard) const {
    const auto found = last_confirmations_.find(shard);
    return found == last_confirmations_.end() ? started_ : found->second;
}

// Confirms the owners that no successor is known of, and takes note of successors: this host
// promises to confirm no former owner, and not to act as one. Nobody is confirmed before the claims
// were read: this host may have promised something before a restart, and then the claim of the host
// that it promised it to is among them.
void host_control::answer_witness_call(const std::string& body, const peer_reply& reply) {
    try {
        const auto in = json::parse(body);
        const auto now = loop_.now();
        json confirmed = json::array();
        json fenced = json::array();
        json unconfirmed = json::object(); // for how long this host has confirmed no owner
        for (const auto& row : in.at("fence")) {
            const auto id = row.at(0).get<shard_id>();
            const auto epoch = row.at(1).get<epoch_number>();
            auto& known = witnessed_epochs_[id];
            known = std::max(known, epoch);
            if (const auto own = find_owned(id); own && own->state.epoch < epoch) {
                drop_shard(id, "claim_taken");
            }
            fenced.push_back(id);
            unconfirmed[id.value] = (now - find_last_confirmation(id)).count();
        }
        for (const auto& row : in.at("confirm")) {
            const auto id = row.at(0).get<shard_id>();
            const auto epoch = row.at(1).get<epoch_number>();
            const auto claim = claims_.find(id);
            const bool newest = epoch >= witnessed_epochs_[id] &&
                                (claim == claims_.end() || epoch >= claim->second.record.epoch);
            if (meta_.loaded() && newest) {
                confirmed.push_back(id);
                last_confirmations_[id] = now;
            }
        }
        reply(json{{"confirmed", confirmed}, {"fenced", fenced}, {"unconfirmed_ms", unconfirmed}}
                  .dump());
    } catch (const std::exception& failure) {
        reply(error{error_kind::protocol_error, failure.what()});
    }
}

} // namespace fulmar
