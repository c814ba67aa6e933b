// Accepted jobs that haven't started, of the shards of all owners.
#include "bounded_json.hpp"
#include "host_control.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// An owner has reported its shard's waiting jobs to all hosts by then: the interval of its
// datagrams and the way between regions.
constexpr duration first_report_limit{700};

// Between two calls for the waiting jobs of shards that no owner has reported.
constexpr duration backlog_call_interval{300};

} // namespace

// Keeps what the owner of a shard reports as pending. Nobody starts the jobs of a shard without a
// live owner, so the count holds until the next owner reports, whatever becomes of the host that
// reported it. An earlier owner doesn't know what happened since.
void host_control::record_backlog(const shard_status& status) {
    auto& known = backlogs_[status.id];
    if (status.epoch >= known.epoch) {
        known = {status.epoch, status.pending};
    }
}

// Returns whether this host has heard of a shard's waiting jobs from none of its owners, although
// an owner would have reported by now.
bool host_control::lacks_backlog(const shard_id& id) const {
    const auto claim = claims_.find(id);
    if (claim == claims_.end() || owned_.contains(id) || backlogs_.contains(id)) {
        return false;
    }
    return loop_.now() > std::max(started_, claim->second.first_seen) + first_report_limit;
}

// Asks another host for the waiting jobs of shards whose owner failed before this host started.
void host_control::fetch_backlogs() {
    const auto now = loop_.now();
    const bool complete = std::none_of(shard_list_.begin(), shard_list_.end(),
                                       [&](const auto& shard) { return lacks_backlog(shard.id); });
    if (complete || now < next_backlog_call_) {
        return;
    }
    std::vector<const peer_row*> live;
    for (const auto& [name, peer] : peers_) {
        if (is_alive(peer) && peer.record.address.port != 0) {
            live.push_back(&peer);
        }
    }
    if (live.empty()) {
        return;
    }
    next_backlog_call_ = now + backlog_call_interval;
    const auto& peer = *live[backlog_calls_++ % live.size()]; // another one may have heard more
    peers_link_.call(peer.record.address, "backlogs", "", options_.timing.peer_timeout,
                     [this, alive = alive_](const result<std::string>& reply) {
                         if (*alive && reply) {
                             read_backlogs(reply.value());
                         }
                     });
}

void host_control::read_backlogs(const std::string& text) {
    try {
        for (const auto& row : parse_bounded_json(text)) {
            shard_status status;
            status.id = row.at(0).get<shard_id>();
            status.epoch = row.at(1).get<epoch_number>();
            for (const auto& entry : row.at(2)) {
                status.pending[entry.at(0).get<queue_id>()] = entry.at(1).get<std::uint64_t>();
            }
            // An owner's own report of this epoch is newer.
            const auto known = backlogs_.find(status.id);
            if (known == backlogs_.end() || known->second.epoch < status.epoch) {
                record_backlog(status);
            }
        }
    } catch (const std::exception& failure) {
        log_.write_rare(R"(event=backlogs_unreadable detail="{}")", make_printable(failure.what()));
    }
}

std::string host_control::encode_backlogs() const {
    json rows = json::array();
    for (const auto& [id, backlog] : backlogs_) {
        json counts = json::array();
        for (const auto& [queue, count] : backlog.pending) {
            counts.push_back({queue, count});
        }
        rows.push_back({id, backlog.epoch, std::move(counts)});
    }
    return rows.dump();
}

std::uint64_t host_control::pending(const queue_id& queue) const {
    std::uint64_t total = 0;
    const auto add = [&](const std::map<queue_id, std::uint64_t>& counts) {
        const auto found = counts.find(queue);
        total += found == counts.end() ? 0 : found->second;
    };
    std::set<shard_id> counted;
    for (const auto& [id, shard] : owned_) {
        const auto known = backlogs_.find(id);
        const bool replaced = known != backlogs_.end() && known->second.epoch > shard->state.epoch;
        if (!shard->loaded || replaced) {
            continue; // what another owner reported counts
        }
        counted.insert(id);
        add(summarize(shard->state, loop_.now()).pending);
    }
    for (const auto& [id, backlog] : backlogs_) {
        if (!counted.contains(id)) {
            add(backlog.pending);
        }
    }
    return total;
}

} // namespace fulmar
