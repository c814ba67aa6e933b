// Authority of a shard's owner, and its end for former owners.
//
// An owner acts while the store confirms its claim. While it doesn't, the owner acts as long as
// most of its workers accept its epoch, and most of its spread witnesses or most of its local ones.
// A data centre that is cut off has most of its own workers and hosts, and so goes on; in an outage
// of the store, the hosts of other data centres stand in for those of the own one that have failed.
// Workers refuse an epoch once they have accepted a higher one, and so do witnesses, also after a
// restart: they confirm nobody before they have read the claims. So a successor that reaches half
// of the workers, or half of the spread and half of the local witnesses, has ended the former
// owner's authority, whatever has become of the rest.
//
// Two limits end the authority of an owner that none of these rules out. In an outage of the store
// nobody can claim its shard, and half of the witnesses of each other data centre confirm it: the
// limit is long. Otherwise it may be cut off, or gone with its hosts, which look alike from
// outside: the limit is short. It counts from when they confirmed the owner last, by their own
// statements, or from its last transaction if that was later. The witnesses of one other data
// centre tell a successor which limit holds, however many data centres are cut off.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr duration takeover_log_interval{1'000};

// A takeover with silent workers should end within this time. Tasks count as lost when they have
// stood still for 7 s of calm, jobs 21 s after the last disruption, and owners may be lost in a
// row.
constexpr duration takeover_target{15'000};

// A call lasts at most this long: the longest wait for a run end, and the time-out.
constexpr duration call_limit{1'700};

bool is_most(std::size_t part, std::size_t whole) {
    return part * 2 > whole;
}

// Returns whether most of a set of witnesses meet a condition.
template <class Condition>
bool is_most_of(const std::set<host_id>& witnesses, Condition condition) {
    const auto part = std::count_if(witnesses.begin(), witnesses.end(), condition);
    return is_most(static_cast<std::size_t>(part), witnesses.size());
}

// A majority of a set, and at least half of it.
std::size_t most_of(const std::set<host_id>& witnesses) {
    return witnesses.size() / 2 + 1;
}

std::size_t half_of(const std::set<host_id>& witnesses) {
    return (witnesses.size() + 1) / 2;
}

// Returns the latest time at or after which a number of witnesses did something, given the time for
// each of them. Nothing if that isn't known of as many.
template <class Time>
std::optional<time_point> find_time_of(std::size_t count, const std::set<host_id>& witnesses,
                                       Time time_of) {
    std::vector<time_point> times;
    for (const auto& witness : witnesses) {
        if (const std::optional<time_point> time = time_of(witness)) {
            times.push_back(*time);
        }
    }
    if (times.size() < count || count == 0) {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[count - 1];
}

// Returns when a number of witnesses had confirmed this owner last. Its own host always does.
std::optional<time_point> find_confirmed(const shard_state& shard, std::size_t count,
                                         const std::set<host_id>& witnesses, time_point now) {
    return find_time_of(count, witnesses, [&](const host_id& witness) -> std::optional<time_point> {
        if (witness == host_name_of(shard.self)) {
            return now;
        }
        const auto row = shard.witness_confirmed.find(witness);
        return row == shard.witness_confirmed.end() ? std::nullopt : std::optional(row->second);
    });
}

// Returns when half of the witnesses of each other data centre had confirmed this owner last.
std::optional<time_point> find_confirmed_elsewhere(const shard_state& shard,
                                                   const witness_sets& witnesses, time_point now) {
    std::optional<time_point> first;
    for (const auto& [data_centre, hosts] : witnesses.elsewhere) {
        const auto confirmed = find_confirmed(shard, half_of(hosts), hosts, now);
        if (!confirmed) {
            return std::nullopt;
        }
        first = std::min(first.value_or(*confirmed), *confirmed);
    }
    return first;
}

// Returns whether the witnesses of a term of this owner confirm it without the store.
bool is_confirmed(const shard_state& shard, const owner_term& term, time_point stored,
                  time_point now) {
    const auto since = now - shard.timing.confirmation_window;
    const auto limits = find_limits(shard.timing);
    if (now > stored + std::min(limits.unconfirmed, term.limit) ||
        (find_confirmed(shard, most_of(term.witnesses.spread), term.witnesses.spread, now) <
             since &&
         find_confirmed(shard, most_of(term.witnesses.local), term.witnesses.local, now) < since)) {
        return false;
    }
    const auto elsewhere = find_confirmed_elsewhere(shard, term.witnesses, now);
    return elsewhere >= since || now <= std::max(stored, elsewhere.value_or(stored)) +
                                            std::min(limits.isolated, term.isolated_limit);
}

bool is_confirmed_by_witnesses(const shard_state& shard, time_point stored, time_point now) {
    if (shard.witnesses.spread.empty()) {
        return now <= stored + shard.timing.unconfirmed_limit;
    }
    // A successor may read the stored record or the one that is being written.
    const auto& pending = shard.commit.ownership;
    return shard.stored_ownership.current.epoch == shard.epoch &&
           is_confirmed(shard, shard.stored_ownership.current, stored, now) &&
           (!shard.commit.pending || !pending ||
            is_confirmed(shard, pending->current, stored, now));
}

// Returns whether most of the listed workers have accepted this owner's epoch since then. They are
// counted in the stored list, because a successor reads the same one.
bool is_accepted_by(const shard_state& shard, const worker_list& listed, time_point since) {
    const auto accepted = std::count_if(listed.begin(), listed.end(), [&](const auto& row) {
        const auto worker = shard.tables.workers.find(row.first);
        return worker != shard.tables.workers.end() && worker->second.clock &&
               worker->second.clock_at >= since;
    });
    return is_most(static_cast<std::size_t>(accepted), listed.size());
}

// Returns whether a worker that former owners used accepts none of them now. One that stops
// answering may have restarted, and a restarted worker knows no epoch.
bool is_held(const shard_state& shard, const worker_id& id) {
    const auto worker = shard.tables.workers.find(id);
    return !shard.unreached_workers.contains(id) && worker != shard.tables.workers.end() &&
           (worker->second.replaced ||
            worker->second.reachability == reachability_state::reachable);
}

// Returns whether a former owner's witnesses may still confirm it.
bool may_be_confirmed(const shard_state& shard, const owner_term& term) {
    const auto may_confirm = [&](const host_id& witness) {
        return !shard.fenced_witnesses.contains(witness);
    };
    return is_most_of(term.witnesses.spread, may_confirm) ||
           is_most_of(term.witnesses.local, may_confirm);
}

// Returns whether most of the workers that a former owner may have counted may still accept it.
bool may_be_accepted(const shard_state& shard, const owner_term& term) {
    std::size_t listed = 0;
    std::size_t open = 0;
    for (const auto& [id, since] : shard.predecessor_workers) {
        if (since <= term.epoch) { // the others were listed by later owners
            ++listed;
            open += is_held(shard, id) ? 0 : 1;
        }
    }
    return is_most(open, listed);
}

// Returns whether a former owner can't have authority any more, but by the store.
bool is_refused(const shard_state& shard, const owner_term& term) {
    switch (term.rests_on) {
    case owner_term::support::spread_witnesses:
    case owner_term::support::either_witnesses:
        return !may_be_confirmed(shard, term) || !may_be_accepted(shard, term);
    case owner_term::support::workers:
        return !may_be_accepted(shard, term);
    case owner_term::support::nothing:
        return true;
    }
    return false;
}

// Returns whether a former owner has lost its authority for good, but for what the store confirmed
// before this owner's claim. Witnesses keep their promises; workers that restart don't.
bool is_fenced(const shard_state& shard, const owner_term& term) {
    switch (term.rests_on) {
    case owner_term::support::spread_witnesses:
    case owner_term::support::either_witnesses:
        return !may_be_confirmed(shard, term);
    case owner_term::support::workers:
        return false;
    case owner_term::support::nothing:
        return true;
    }
    return false;
}

// The time for which a lease lasts after a worker that has restarted unnoticed took it.
duration longest_lease_time(const shard_timing& timing) {
    return timing.longest_lease * (100 + timing.clock_drift_percent) / 100 +
           timing.lease_margin * 2;
}

// For how long a former owner's command without a reply is waited for. The full `late_limit` would
// have the inherited tasks wait beyond the target.
duration counted_late_limit(const shard_timing& timing) {
    const auto left = takeover_target - timing.confirmation_window - longest_lease_time(timing);
    return std::clamp(left, call_limit, timing.late_limit);
}

// The longest time for which a lease is taken to last after its owner sent it. The owner may not
// have known of the worker's last restart.
duration lease_time_limit(const shard_timing& timing) {
    return counted_late_limit(timing) + longest_lease_time(timing);
}

// The part of it that is due only if a worker had restarted unnoticed.
duration unnoticed_lease_time(const shard_timing& timing) {
    return lease_time_limit(timing) -
           (timing.lease * (100 + timing.clock_drift_percent) / 100 + timing.lease_margin * 2);
}

// Returns by when half of the witnesses of some other data centre had confirmed a former owner
// last, or nothing if those of each may still do so.
std::optional<time_point> find_last_confirmation(const shard_state& shard, const owner_term& term) {
    std::optional<time_point> last;
    for (const auto& [data_centre, hosts] : term.witnesses.elsewhere) {
        const auto open = std::count_if(hosts.begin(), hosts.end(), [&](const host_id& witness) {
            return !shard.last_confirmations.contains(witness);
        });
        if (static_cast<std::size_t>(open) >= half_of(hosts)) {
            continue;
        }
        const auto time = find_time_of(
            half_of(hosts), hosts, [&](const host_id& witness) -> std::optional<time_point> {
                const auto row = shard.last_confirmations.find(witness);
                return row == shard.last_confirmations.end() ? time_point::max() : row->second;
            });
        last = last ? std::min(last, time) : time;
    }
    return last;
}

// Returns since when the shorter limit counts for a former owner, or nothing if the longer one may.
std::optional<time_point> find_isolated_since(const shard_state& shard, const owner_term& term,
                                              time_point stored) {
    if (term.isolated_limit >= term.limit) {
        return std::nullopt; // one limit
    }
    if (term.witnesses.elsewhere.empty()) {
        return stored;
    }
    const auto confirmed = find_last_confirmation(shard, term);
    return confirmed ? std::optional(std::max(stored, *confirmed)) : std::nullopt;
}

// Returns by when a former owner that neither workers nor witnesses refuse has granted its last
// lease, and that has ended: the store confirms it until this owner's claim, and its limits count
// from its last transaction, or from its last confirmation by the other data centres.
time_point find_latest_end(const shard_state& shard, const owner_term& term) {
    const auto& timing = shard.timing;
    const auto stored = term.limit_from_transaction
                            ? shard.predecessors_stored_by.value_or(shard.loaded_at)
                            : shard.loaded_at;
    const auto add_limit = [&](time_point since, duration limit) {
        return since + limit * (100 + timing.clock_drift_percent) / 100;
    };
    auto end = add_limit(stored, std::max(timing.unconfirmed_limit, term.limit));
    if (const auto since = find_isolated_since(shard, term, stored)) {
        end =
            std::min(end, add_limit(*since, std::max(timing.isolated_limit, term.isolated_limit)));
    }
    return std::max(shard.loaded_at, end) + usual_takeover_limit(timing);
}

// Updates what is known of a former owner: whether it is refused, and when its last lease ends.
void update_former_owner(const shard_state& shard, former_owner& former, time_point now) {
    if (!is_refused(shard, former.term)) {
        former.refused_since.reset();
    } else if (!former.refused_since) {
        former.refused_since = now;
    }
    former.latest_end = find_latest_end(shard, former.term);
    const auto lease = lease_time_limit(shard.timing);
    const auto end_by = [&](time_point end) {
        former.leases_end = std::min(former.leases_end.value_or(end), end);
    };
    if (former.term.leases_end_in) {
        end_by(shard.loaded_at + *former.term.leases_end_in);
    }
    const auto own_host = shard.fenced_witnesses.find(host_name_of(former.term.owner));
    if (own_host != shard.fenced_witnesses.end()) {
        end_by(own_host->second + lease); // its process has ended or given the shard up
    }
    if (is_fenced(shard, former.term)) {
        former.fenced_since = former.fenced_since.value_or(now);
        end_by(*former.fenced_since + shard.timing.confirmation_window + lease);
    }
}

// Returns whether the last lease that a former owner may have granted has ended.
bool have_leases_ended(const shard_state& shard, const former_owner& former, time_point now) {
    const auto ended = [&](const std::optional<time_point>& end) { return end && now >= *end; };
    if (ended(former.leases_end) || ended(former.latest_end)) {
        return true;
    }
    return former.refused_since && now >= *former.refused_since + shard.timing.confirmation_window +
                                              lease_time_limit(shard.timing);
}

// Returns whether a former owner may have granted a worker a lease whose end its list doesn't tell.
bool may_have_leased(const shard_state& shard, const owner_term& term, const worker_id& id) {
    const auto promise = shard.predecessor_promises.find(id);
    if (promise == shard.predecessor_promises.end() || term.epoch > promise->second.by) {
        return true;
    }
    // Without a record, one term stands for all owners up to its epoch.
    const bool any_before = term.rests_on == owner_term::support::workers;
    return !promise->second.leases_end_in &&
           (any_before || term.epoch <= promise->second.last_user);
}

// Returns whether all leases that former owners may have granted a worker have ended; with `early`,
// those that end by then after the present. A promise tells an exact end.
bool has_no_lease(const shard_state& shard, const worker_id& id, time_point now,
                  duration early = duration(0)) {
    const auto promise = shard.predecessor_promises.find(id);
    const bool ends_later = promise != shard.predecessor_promises.end() &&
                            promise->second.leases_end_in &&
                            now < shard.loaded_at + *promise->second.leases_end_in;
    return !ends_later && std::none_of(shard.former_owners.begin(), shard.former_owners.end(),
                                       [&](const former_owner& former) {
                                           return may_have_leased(shard, former.term, id) &&
                                                  !have_leases_ended(shard, former, now + early);
                                       });
}

// Logs what an incomplete takeover waits for: the workers that were not reached, and the inherited
// tasks that wait meanwhile.
void log_takeover(shard_state& shard, time_point now) {
    if (now < shard.next_takeover_log) {
        return;
    }
    const auto ends_in = *find_takeover_limit(shard) - now;
    shard.counters->set("takeover_waiting_ms", static_cast<double>((now - shard.loaded_at).count()),
                        shard.id.value);
    shard.counters->set("takeover_ends_in_ms", static_cast<double>(ends_in.count()),
                        shard.id.value);
    const bool first = shard.next_takeover_log == time_point{};
    shard.next_takeover_log = now + takeover_log_interval;
    if (first) {
        return;
    }
    std::size_t waiting = 0;
    for (const auto& id : shard.active) {
        const auto& job = shard.tables.jobs.at(id);
        for (const auto& [number, occurrence] : job.occurrences) {
            for (const auto& stage : occurrence.stages) {
                waiting += job.inherited && stage.open ? stage.waiting.size() : 0;
            }
        }
    }
    std::size_t unanswered = 0;
    std::string example;
    for (const auto& [id, address] : shard.unreached_workers) {
        const auto worker = shard.tables.workers.find(id);
        if (worker != shard.tables.workers.end() &&
            worker->second.reachability == reachability_state::unreachable) {
            ++unanswered;
            example = id.value;
        }
    }
    shard.log->write_rare(
        "event=takeover_waiting shard={} epoch={} age_ms={} ends_in_ms={} workers={} unreached={} "
        "unanswered={} example={} former_owners={} refused={} isolated={} fenced_witnesses={} "
        "unfenced={} waiting_tasks={}",
        shard.id.value, shard.epoch.value, (now - shard.loaded_at).count(), ends_in.count(),
        shard.predecessor_workers.size(), shard.unreached_workers.size(), unanswered, example,
        shard.former_owners.size(),
        std::count_if(shard.former_owners.begin(), shard.former_owners.end(),
                      [&](const former_owner& row) { return is_refused(shard, row.term); }),
        std::count_if(shard.former_owners.begin(), shard.former_owners.end(),
                      [&](const former_owner& row) {
                          return find_last_confirmation(shard, row.term).has_value();
                      }),
        shard.fenced_witnesses.size(), find_unfenced_witnesses(shard).size(), waiting);
}

} // namespace

bool has_authority(const shard_state& shard, time_point now) {
    if (shard.ownership_lost) {
        return false;
    }
    const auto since = now - shard.timing.confirmation_window;
    if (shard.claim_confirmed && *shard.claim_confirmed >= since) {
        return true;
    }
    // A successor sees in the store when the last transaction was applied, and nothing of a call
    // that only read the claim.
    const auto& stored = shard.commit.last_applied;
    if (!stored || !is_confirmed_by_witnesses(shard, *stored, now)) {
        return false;
    }
    const auto* pending = find_pending_list(shard.commit);
    return is_accepted_by(shard, shard.stored_workers, since) &&
           (pending == nullptr || is_accepted_by(shard, *pending, since));
}

bool needs_claim_check(const shard_state& shard, time_point now) {
    return !shard.ownership_lost &&
           !has_authority(shard, now + shard.timing.confirmation_window / 2);
}

bool needs_witnesses(const shard_state& shard, time_point now) {
    return !shard.ownership_lost && !shard.witnesses.spread.empty() &&
           shard.claim_confirmed.value_or(shard.loaded_at) <
               now - shard.timing.confirmation_window / 2;
}

std::set<host_id> all_witnesses(const witness_sets& witnesses) {
    auto all = witnesses.spread;
    all.insert(witnesses.local.begin(), witnesses.local.end());
    return all;
}

std::set<host_id> find_unfenced_witnesses(const shard_state& shard) {
    std::set<host_id> found;
    for (const auto& former : shard.former_owners) {
        found.merge(all_witnesses(former.term.witnesses));
    }
    std::erase_if(found,
                  [&](const host_id& witness) { return shard.fenced_witnesses.contains(witness); });
    return found;
}

owner_limits find_limits(const shard_timing& timing) {
    return {timing.unconfirmed_limit, std::min(timing.isolated_limit, timing.unconfirmed_limit)};
}

void log_authority_limit(shard_state& shard, time_point now) {
    const auto& stored = shard.commit.last_applied;
    if (shard.limit_logged || !stored || now <= *stored + shard.timing.isolated_limit ||
        has_authority(shard, now)) {
        return;
    }
    const auto since = now - shard.timing.confirmation_window;
    const auto limits = find_limits(shard.timing);
    const bool confirmed =
        find_confirmed(shard, most_of(shard.witnesses.spread), shard.witnesses.spread, now) >=
            since ||
        find_confirmed(shard, most_of(shard.witnesses.local), shard.witnesses.local, now) >= since;
    if (!confirmed && now <= *stored + limits.unconfirmed) {
        return; // no limit is the reason
    }
    const auto elsewhere = find_confirmed_elsewhere(shard, shard.witnesses, now);
    const auto limit = now > *stored + limits.unconfirmed ? limits.unconfirmed : limits.isolated;
    shard.limit_logged = true;
    shard.counters->count("owner_limits_reached");
    shard.log->write_rare("event=owner_limit_reached shard={} epoch={} limit_ms={} stored_ms={} "
                          "confirmed_elsewhere_ms={} runs={}",
                          shard.id.value, shard.epoch.value, limit.count(), (now - *stored).count(),
                          elsewhere ? (now - *elsewhere).count() : -1, shard.tables.runs.size());
}

void clear_takeover_gauges(const shard_state& shard) {
    shard.counters->set("takeover_waiting_ms", 0, shard.id.value);
    shard.counters->set("takeover_ends_in_ms", 0, shard.id.value);
}

duration usual_takeover_limit(const shard_timing& timing) {
    return timing.confirmation_window + lease_time_limit(timing);
}

std::optional<time_point> find_takeover_limit(const shard_state& shard) {
    if (shard.takeover_complete) {
        return std::nullopt;
    }
    std::optional<time_point> latest;
    for (const auto& former : shard.former_owners) {
        latest = std::max(latest, std::optional(find_latest_end(shard, former.term)));
    }
    owner_term unknown;
    unknown.limit = shard.timing.unconfirmed_limit;
    return latest ? latest : find_latest_end(shard, unknown);
}

void on_data_centre_gone(shard_state& shard, time_point now) {
    if (shard.takeover_complete || shard.ownership_lost) {
        return;
    }
    shard.log->write_rare("event=data_centre_gone shard={} data_centre={} epoch={} unreached={} "
                          "age_ms={}",
                          shard.id.value, shard.data_centre.value, shard.epoch.value,
                          shard.unreached_workers.size(), (now - shard.loaded_at).count());
    shard.unreached_workers.clear();
    complete_takeover(shard, now);
}

void on_witness_confirmed(shard_state& shard, const host_id& witness, time_point sent) {
    auto& confirmed = shard.witness_confirmed[witness];
    confirmed = std::max(confirmed, sent);
}

void on_witness_fenced(shard_state& shard, const host_id& witness, time_point since,
                       time_point last_confirmation) {
    shard.fenced_witnesses.emplace(witness, since);
    shard.last_confirmations.emplace(witness, last_confirmation);
}

void find_former_owners(shard_state& shard) {
    const auto& record = shard.stored_ownership;
    for (const auto& term : record.earlier) {
        shard.former_owners.push_back({term});
    }
    if (record.current.epoch.value != 0) {
        shard.former_owners.push_back({record.current});
    }
    owner_term last{{shard.epoch.value - 1}};
    const bool unwitnessed = std::any_of(
        shard.predecessor_workers.begin(), shard.predecessor_workers.end(), [&](const auto& row) {
            return row.second.value == 0 || row.second > record.current.epoch;
        });
    if (unwitnessed) {
        last.rests_on = owner_term::support::workers;
        shard.former_owners.push_back({last});
    } else if (record.current.epoch < last.epoch) {
        last.rests_on = owner_term::support::nothing;
        shard.former_owners.push_back({last});
    }
}

// The wait for a worker of the stored list ends as soon as
// - the worker lists its runs in reply to this owner's epoch, which it then enforces;
// - another worker answers at its address, so the process and its runs have ended.
// The wait for each other one ends when the leases have that former owners may have granted it: the
// stored list tells which may have. No former owner renews one
// - after its own host has told that it doesn't act any more;
// - a confirmation window after half of its workers refuse it, or half of both kinds of its
//   witnesses, as the store has this owner's claim; a worker that refuses this owner's epoch ends
//   the ownership instead;
// - at the latest after the limit for owners that the store doesn't confirm, counted from their
//   last transaction as this host saw it, or after the shorter one for those that only their local
//   witnesses may confirm. That is what ends the wait for a data centre of which neither is left,
//   unless an operator says that it is gone.
void complete_takeover(shard_state& shard, time_point now) {
    if (shard.takeover_complete) {
        return;
    }
    for (auto& former : shard.former_owners) {
        update_former_owner(shard, former, now);
    }
    std::erase_if(shard.unreached_workers,
                  [&](const auto& row) { return has_no_lease(shard, row.first, now); });
    const auto early = unnoticed_lease_time(shard.timing);
    const auto freed = std::erase_if(shard.usually_leased_workers, [&](const worker_id& id) {
        return !shard.unreached_workers.contains(id) || has_no_lease(shard, id, now, early);
    });
    shard.placement_needed = shard.placement_needed || freed > 0;
    if (shard.unreached_workers.empty() || now >= *find_takeover_limit(shard)) {
        shard.log->write_rare("event=takeover_settled shard={} epoch={} unreached={} age_ms={}",
                              shard.id.value, shard.epoch.value, shard.unreached_workers.size(),
                              (now - shard.loaded_at).count());
        clear_takeover_gauges(shard);
        shard.unreached_workers.clear();
        shard.usually_leased_workers.clear();
        shard.former_owners.clear();
        shard.fenced_witnesses.clear();
        shard.last_confirmations.clear();
        shard.takeover_complete = true;
        shard.placement_needed = true;
    } else {
        log_takeover(shard, now);
    }
}

} // namespace fulmar
