// Which hosts read the workers' entries from the store. Each entry changes every second or two, so
// that reading all of them on all hosts costs hosts times workers in bytes, and more processor time
// than a small host has. Only owners of shards use them, and hosts that are about to own one.
#include "host_control.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Hosts of each data centre that read although they own nothing, so that they can take a shard at
// once.
constexpr std::size_t standby_hosts = 2;

// A host that hasn't been heard for this long isn't counted as a standby; five datagrams.
constexpr duration standby_silence_limit{1'000};

// Between two checks whether this host is a standby, and before the first one, so that it knows the
// others that have started with it.
constexpr duration standby_check_interval{500};

// After its start a host counts the registered hosts that it hasn't heard yet for this long.
constexpr duration startup_grace{1'500};

// How long a host reads after it last needed the entries. Longer than a claim and its load take, so
// that a failed attempt doesn't read the whole list again.
constexpr duration workers_memory{10'000};

} // namespace

// Returns whether this host is one of the hosts of its data centre that take a shard next: those
// with the most processors that own none. A host whose processors don't suffice for a shard is one
// only if no other host of the data centre has enough: reading alone would keep it late.
bool host_control::is_standby() const {
    const auto now = loop_.now();
    const auto owners = list_owners();
    const bool suffices = suffices_for_shard(options_.weight);
    std::size_t preceding = 0;
    for (const auto& [name, peer] : peers_) {
        const bool live = peer.last_received ? now - *peer.last_received <= standby_silence_limit
                                             : now < started_ + startup_grace;
        if (!live || peer.status.leaving || peer.record.data_centre != options_.data_centre) {
            continue;
        }
        if (!suffices && suffices_for_shard(peer.record.weight)) {
            return false;
        }
        preceding += !precedes(peer) && !owners.contains(name) ? 1 : 0;
    }
    return preceding < standby_hosts;
}

// Returns whether a processor share, in thousandths of a core, suffices for a shard of usual size.
bool host_control::suffices_for_shard(std::int64_t weight) const {
    const auto needed =
        static_cast<std::int64_t>(options_.workers_per_shard) * processors_per_worker;
    return static_cast<double>(needed) <= usable_processor_share * static_cast<double>(weight);
}

bool host_control::reads_workers() const {
    return !worker_view_.paused();
}

// Notes that this host needs the workers' entries for a claim, and starts to read them.
void host_control::want_workers() {
    workers_wanted_ = loop_.now();
    choose_workers_reader();
}

// Starts or ends reading the workers' entries.
void host_control::choose_workers_reader() {
    const auto now = loop_.now();
    const bool wanted = workers_wanted_ && now - *workers_wanted_ <= workers_memory;
    if (now >= next_standby_check_ && now >= started_ + standby_check_interval) {
        next_standby_check_ = now + standby_check_interval;
        standby_ = meta_.loaded() && !leaving_ && is_standby();
    }
    const bool needed = standby_ || wanted || !owned_.empty() || !claiming_.empty();
    if (needed == reads_workers()) {
        return;
    }
    log_.write_rare("event=workers_reader state={} owned={} wanted={}",
                    needed ? "started" : "stopped", owned_.size(), wanted);
    if (needed) {
        worker_view_.resume();
        return;
    }
    worker_view_.pause();
    worker_view_.forget();
    worker_entries_.clear();
    last_join_.clear();
    rack_first_seen_.clear();
}

} // namespace fulmar
