// Group commit: one transaction at a time writes submissions, progress and removals to the store.
#include "shard_internal.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fulmar {

namespace {

// Entries in every transaction: the conditions on claim and head, and the put of the head.
constexpr std::size_t fixed_entries = 3;
constexpr std::size_t submission_entries = 3; // condition and put of the index, put of the job
constexpr std::size_t purge_entries = 3;      // removals of index, job and progress

// What a transaction first offers to each kind, so that none waits for another without bound; the
// rest goes to urgent changes, then to the others.
constexpr std::size_t submission_share = 4;    // jobs
constexpr std::size_t oldest_change_share = 6; // jobs, with changes that are not urgent as well
constexpr std::size_t purge_share = 1;         // jobs

// Acknowledges run ends whose job's record is stored, in the order of their numbers.
void acknowledge_ends(shard_state& shard, worker_row& worker, time_point now) {
    const auto before = worker.acknowledged_end;
    while (!worker.unacknowledged_ends.empty()) {
        const auto& row = worker.unacknowledged_ends.front();
        const auto job = shard.tables.jobs.find(row.end.run.task.job);
        if (job != shard.tables.jobs.end() && job->second.stored_version < row.version) {
            break;
        }
        worker.acknowledged_end = std::max(worker.acknowledged_end, row.end.number);
        worker.unacknowledged_ends.pop_front();
    }
    if (worker.acknowledged_end != before && worker.reachability == reachability_state::reachable) {
        worker.next_hold = std::min(worker.next_hold, now);
    }
}

// Answers submissions and cancellations that no longer have to wait for a transaction.
void answer_stored(shard_state& shard, time_point now, shard_actions& actions) {
    for (auto it = shard.submissions.begin(); it != shard.submissions.end();) {
        const auto id = it->first;
        ++it;
        const auto job = shard.tables.jobs.find(id);
        if (job != shard.tables.jobs.end() && job->second.spec_stored) {
            answer_submissions(shard, id, {0, submit_outcome::accepted, duration(0), ""}, now,
                               actions);
        }
    }
    for (auto it = shard.cancellations.begin(); it != shard.cancellations.end();) {
        const auto job = shard.tables.jobs.find(it->first);
        const bool known = job != shard.tables.jobs.end();
        // Shards that borrow tasks of the job may start them until they have stored the withdrawal.
        if (known &&
            (job->second.stored_version < job->second.version || !job->second.loans.empty())) {
            ++it;
            continue;
        }
        for (const auto token : it->second) {
            actions.cancel_answers.push_back({token, known});
        }
        it = shard.cancellations.erase(it);
    }
}

// Returns whether the workers in use, or the promises about them, differ from those in the stored
// list.
bool has_new_worker_list(const shard_state& shard, time_point now) {
    auto stored = shard.stored_workers.begin();
    for (const auto& [id, worker] : shard.tables.workers) {
        if (!is_used(shard, worker, now)) {
            continue;
        }
        if (stored == shard.stored_workers.end() || stored->first != id ||
            stored->second != find_listed_address(shard, worker)) {
            return true;
        }
        ++stored;
    }
    return stored != shard.stored_workers.end() || !are_promises_stored(shard, now);
}

// Returns the epochs of the owners that listed each worker first. A worker at another address
// counts as a new one.
std::map<worker_id, epoch_number> find_listed_since(const shard_state& shard,
                                                    const worker_list& listed) {
    std::map<worker_id, epoch_number> found;
    for (const auto& [id, address] : listed) {
        const auto stored = shard.stored_workers.find(id);
        const auto since = shard.listed_since.find(id);
        const bool known = stored != shard.stored_workers.end() && stored->second == address &&
                           since != shard.listed_since.end();
        found.emplace(id, known ? since->second : shard.epoch);
    }
    return found;
}

std::string encode_worker_list(const shard_state& shard, const worker_list& listed,
                               const promise_list& promised) {
    const auto since = find_listed_since(shard, listed);
    std::vector<known_worker> rows;
    rows.reserve(listed.size());
    for (const auto& [id, address] : listed) {
        const auto promise = promised.find(id);
        rows.push_back({{id, address},
                        since.at(id),
                        promise == promised.end() ? std::nullopt : std::optional(promise->second)});
    }
    return encode(rows);
}

bool is_ownership_stored(const shard_state& shard) {
    const auto& stored = shard.stored_ownership;
    if (shard.witnesses.spread.empty() && stored.current.epoch.value == 0) {
        return true; // without witnesses there is nothing to record
    }
    return stored.current.epoch == shard.epoch && stored.current.witnesses == shard.witnesses &&
           std::equal(stored.earlier.begin(), stored.earlier.end(), shard.former_owners.begin(),
                      shard.former_owners.end(),
                      [](const owner_term& term, const former_owner& row) {
                          return term.epoch == row.term.epoch;
                      });
}

ownership_record make_ownership_record(const shard_state& shard, time_point now) {
    ownership_record record{{shard.epoch, shard.self, shard.witnesses}, {}};
    const auto limits = find_limits(shard.timing);
    record.current.limit = limits.unconfirmed;
    record.current.isolated_limit = limits.isolated;
    record.current.limit_from_transaction = true;
    for (const auto& former : shard.former_owners) {
        auto& term = record.earlier.emplace_back(former.term);
        term.leases_end_in.reset();
        if (former.latest_end) {
            const auto end =
                std::min(*former.latest_end, former.leases_end.value_or(*former.latest_end));
            term.leases_end_in = std::max(duration(0), end - now);
        }
    }
    return record;
}

store_put make_open_starts_put(const shard_state& shard, time_point now) {
    return {open_starts_key(shard.id),
            encode(open_starts_record{shard.epoch, find_open_starts(shard, now)}),
            {}};
}

// Returns whether the stored lists tell when leases end. Transactions bring these times up to date,
// so that a successor waits only for what is left of them.
bool has_pending_lease_ends(const shard_state& shard) {
    return !shard.takeover_complete && !shard.former_owners.empty();
}

// Returns whether the next transaction brings the ends of leases up to date: each one does while
// they are near, and some do while only the limit for owners that the store doesn't confirm is
// known, which is long.
bool updates_lease_ends(const shard_state& shard, time_point now) {
    constexpr duration update_interval{3'000};
    const auto near_limit = now + usual_takeover_limit(shard.timing);
    const auto ends_soon = [&](const former_owner& row) {
        return row.leases_end && *row.leases_end <= near_limit;
    };
    const bool near =
        std::any_of(shard.former_owners.begin(), shard.former_owners.end(), ends_soon);
    return has_pending_lease_ends(shard) &&
           (near || now >= shard.commit.lease_ends_updated + update_interval);
}

// Returns whether what a successor has to know about this owner isn't stored yet.
bool has_new_lists(const shard_state& shard, time_point now) {
    return has_new_worker_list(shard, now) || !is_ownership_stored(shard) ||
           has_new_open_starts(shard, now);
}

// Notes a change of a job's record that waits for a transaction.
void add_unstored(commit_state& commit, const job_id& id,
                  const commit_state::unstored_change& next) {
    const auto [row, added] = commit.unstored.try_emplace(id, next);
    if (!added) {
        row->second.since = std::min(row->second.since, next.since);
        row->second.urgent = row->second.urgent || next.urgent;
    }
}

// Drops a transaction that certainly doesn't take effect. Its changes wait for the next one.
void abandon_transaction(commit_state& commit) {
    for (const auto& row : std::exchange(commit.changes, {})) {
        add_unstored(commit, row.job, row.change);
    }
    commit.pending.reset();
    commit.unconfirmed = false;
}

// Returns the jobs whose records can be stored: those whose changes have waited longest, then the
// urgent ones by their wait, then the others by theirs.
std::vector<job_id> find_changed_jobs(shard_state& shard) {
    std::erase_if(shard.commit.unstored,
                  [&](const auto& row) { return !shard.tables.jobs.contains(row.first); });
    std::vector<std::pair<job_id, commit_state::unstored_change>> found;
    for (const auto& row : shard.commit.unstored) {
        if (shard.tables.jobs.at(row.first).spec_stored) {
            found.emplace_back(row);
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto& a, const auto& b) { return a.second.since < b.second.since; });
    const auto rest =
        found.begin() + static_cast<std::ptrdiff_t>(std::min(found.size(), oldest_change_share));
    std::stable_partition(rest, found.end(), [](const auto& row) { return row.second.urgent; });
    std::vector<job_id> sorted;
    sorted.reserve(found.size());
    for (auto& [id, change] : found) {
        sorted.push_back(std::move(id));
    }
    return sorted;
}

// A transaction that is being built.
struct transaction_builder {
    shard_state& shard;
    time_point now;
    store_transaction next;
    std::size_t entries = fixed_entries;

    bool fits(std::size_t added) const { return entries + added <= max_transaction_entries; }
};

void add_submission(transaction_builder& builder, const job_id& id) {
    auto& shard = builder.shard;
    auto& next = builder.next;
    auto& waiting = shard.submissions.at(id);
    waiting.sent = waiting.sent.value_or(builder.now);
    ++waiting.transactions;
    next.conditions.push_back({job_index_key(id), revision_number{0}});
    next.puts.push_back({job_index_key(id), shard.id.value, {}});
    next.puts.push_back({job_key(shard.id, id), encode_job(shard.tables.jobs.at(id)), {}});
    shard.commit.submissions.push_back(id);
    builder.entries += submission_entries;
}

void add_change(transaction_builder& builder, const job_id& id) {
    auto& shard = builder.shard;
    auto& next = builder.next;
    auto& job = shard.tables.jobs.at(id);
    job.stored_by = shard.epoch;
    job.starts_recorded_by = knows_unstored_occurrences(shard, job) ? shard.epoch : epoch_number{};
    const auto first = shard.unstored_borrowed_jobs.contains(id);
    if (!builder.fits(first ? 2 : 1)) {
        return;
    }
    if (first) {
        next.puts.push_back({job_key(shard.id, id), encode_job(job), {}});
        shard.commit.borrowed_jobs.push_back(id);
        ++builder.entries;
    }
    next.puts.push_back({progress_key(shard.id, id), encode_progress(job), {}});
    shard.commit.changes.push_back({id, job.version, shard.commit.unstored.at(id)});
    shard.commit.unstored.erase(id);
    ++builder.entries;
}

void add_purge(transaction_builder& builder, const job_id& id) {
    auto& shard = builder.shard;
    auto& next = builder.next;
    if (!is_borrowed(shard.tables.jobs.at(id))) {
        next.removals.push_back(job_index_key(id));
    }
    next.removals.push_back(job_key(shard.id, id));
    next.removals.push_back(progress_key(shard.id, id));
    shard.commit.purged.push_back(id);
    builder.entries += purge_entries;
}

// Adds rows from `first` on, up to `limit` of them and as many as fit; returns the first that is
// left.
template <class Add>
std::size_t add_rows(transaction_builder& builder, const std::vector<job_id>& rows,
                     std::size_t first, std::size_t limit, std::size_t size, Add add) {
    const auto end = std::min(rows.size(), limit);
    while (first < end && builder.fits(size)) {
        add(builder, rows[first++]);
    }
    return first;
}

// Builds one transaction from the changes that are to be stored.
store_transaction build_transaction(shard_state& shard, time_point now) {
    auto& commit = shard.commit;
    transaction_builder builder{shard, now, {}};
    auto& next = builder.next;
    commit.changes.clear();
    commit.submissions.clear();
    commit.purged.clear();
    commit.borrowed_jobs.clear();
    ++commit.number;
    next.conditions.push_back({claim_key(shard.id), shard.claim_revision});
    next.conditions.push_back({head_key(shard.id), shard.head_revision});
    next.puts.push_back({head_key(shard.id), encode(head_record{shard.epoch, commit.number}), {}});
    const bool counts_down = updates_lease_ends(shard, now);
    commit.has_worker_list = has_new_worker_list(shard, now) || counts_down;
    if (commit.has_worker_list) {
        commit.listed_workers = find_used_workers(shard, now);
        commit.promises = make_promises(shard, commit.listed_workers, promise_reason::silent, now);
        next.puts.push_back({worker_list_key(shard.id),
                             encode_worker_list(shard, commit.listed_workers, commit.promises),
                             {}});
        ++builder.entries;
    }
    commit.ownership.reset();
    if (counts_down || !is_ownership_stored(shard)) {
        commit.ownership = make_ownership_record(shard, now);
        commit.lease_ends_updated = now;
        next.puts.push_back({ownership_key(shard.id), encode(*commit.ownership), {}});
        ++builder.entries;
    }
    commit.settled.reset();
    if (shard.settled != shard.stored_settled) {
        commit.settled = shard.settled;
        next.puts.push_back({incarnations_key(shard.id), encode(shard.settled), {}});
        ++builder.entries;
    }
    commit.open_starts.reset();
    if (auto starts = find_sent_starts(shard, now);
        !starts.empty() || !shard.stored_open_starts.empty()) {
        // Written anew each time, so that a successor counts from the last transaction.
        commit.open_starts = std::move(starts);
        next.puts.push_back(make_open_starts_put(shard, now));
        ++builder.entries;
    }
    const auto submitted = select_submissions(shard, now);
    const auto changed = find_changed_jobs(shard);
    const auto& purged = shard.to_purge;
    const auto submissions =
        add_rows(builder, submitted, 0, submission_share, submission_entries, add_submission);
    const auto purges = add_rows(builder, purged, 0, purge_share, purge_entries, add_purge);
    add_rows(builder, changed, 0, changed.size(), 1, add_change);
    add_rows(builder, submitted, submissions, submitted.size(), submission_entries, add_submission);
    add_rows(builder, purged, purges, purged.size(), purge_entries, add_purge);
    return std::move(builder.next);
}

// Marks what is left to store, and since when it has waited.
void update_dirty(shard_state& shard, time_point now) {
    auto& commit = shard.commit;
    commit.dirty_since.reset();
    commit.urgent = false;
    const auto mark = [&](time_point since, bool urgent) {
        commit.dirty_since = std::min(commit.dirty_since.value_or(since), since);
        commit.urgent = commit.urgent || urgent;
    };
    for (const auto& [id, change] : commit.unstored) {
        const auto job = shard.tables.jobs.find(id);
        if (job != shard.tables.jobs.end() && job->second.spec_stored) {
            mark(change.since, change.urgent);
        }
    }
    for (const auto& [id, submission] : shard.submissions) {
        const auto job = shard.tables.jobs.find(id);
        if (job != shard.tables.jobs.end() && !job->second.spec_stored) {
            mark(now, true);
        }
    }
    if (!shard.to_purge.empty() || has_new_lists(shard, now)) {
        mark(now, false);
    }
    const bool unconfirmed_answers =
        std::any_of(shard.loan_answers.begin(), shard.loan_answers.end(), [&](const auto& waiting) {
            return waiting.confirmed_by > commit.confirmed_attempt;
        });
    if (unconfirmed_answers) {
        mark(now, true);
    }
}

// Updates the tables after a transaction was applied.
void apply_commit(shard_state& shard, revision_number head, time_point sent, time_point now) {
    auto& commit = shard.commit;
    shard.head_revision = head;
    shard.claim_confirmed = std::max(shard.claim_confirmed.value_or(sent), sent);
    commit.confirmed_attempt = commit.attempts;
    for (const auto& id : commit.submissions) {
        auto& job = shard.tables.jobs.at(id);
        job.spec_stored = true;
        if (!has_ended(job.phase)) {
            shard.active.insert(id);
        }
        shard.counters->count("jobs_accepted");
    }
    for (const auto& row : commit.changes) {
        if (const auto job = shard.tables.jobs.find(row.job); job != shard.tables.jobs.end()) {
            job->second.stored_version = std::max(job->second.stored_version, row.version);
        }
    }
    commit.changes.clear();
    for (const auto& id : commit.borrowed_jobs) {
        shard.unstored_borrowed_jobs.erase(id);
    }
    for (const auto& id : commit.purged) {
        shard.tables.jobs.erase(id);
        shard.active.erase(id);
        std::erase(shard.to_purge, id);
    }
    if (commit.has_worker_list) {
        shard.listed_since = find_listed_since(shard, commit.listed_workers);
        shard.stored_workers = commit.listed_workers;
        shard.stored_promises = commit.promises;
    }
    if (commit.ownership) {
        shard.stored_ownership = *commit.ownership;
    }
    if (commit.settled) {
        shard.stored_settled = std::move(*commit.settled);
    }
    if (commit.open_starts) {
        shard.stored_open_starts = std::move(*commit.open_starts);
    }
    commit.pending.reset();
    commit.unconfirmed = false;
    commit.next_attempt = now;
    commit.last_applied = sent;
    update_dirty(shard, now);
    shard.placement_needed = true;
    for (auto& [id, worker] : shard.tables.workers) {
        acknowledge_ends(shard, worker, now);
    }
}

// Handles a transaction that was rejected because a condition did not hold.
void handle_conflict(shard_state& shard, const std::vector<store_entry>& present, time_point sent,
                     time_point now) {
    auto& commit = shard.commit;
    const auto find = [&](const std::string& key) -> const store_entry* {
        const auto found = std::find_if(present.begin(), present.end(),
                                        [&](const store_entry& entry) { return entry.key == key; });
        return found == present.end() ? nullptr : &*found;
    };
    const auto* claim = find(claim_key(shard.id));
    if (claim == nullptr || claim->revision != shard.claim_revision) {
        lose_shard(shard, "claim_taken");
        return;
    }
    const auto* head = find(head_key(shard.id));
    const auto revision = head == nullptr ? revision_number{0} : head->revision;
    if (revision != shard.head_revision) {
        const auto record =
            head == nullptr ? result<head_record>(head_record{}) : parse_head(head->value);
        if (record && record.value().epoch == shard.epoch &&
            record.value().number == commit.number) {
            // An earlier attempt took effect, at the earliest when the first one was sent.
            apply_commit(shard, revision, commit.first_sent, now);
            shard.claim_confirmed = sent;
        } else {
            lose_shard(shard, "head_moved");
        }
        return;
    }
    // Jobs whose index entries exist were submitted to another shard before.
    const auto duplicates = drop_duplicates(shard, present, now);
    shard.log->write("event=commit_conflict shard={} number={} submissions={} duplicates={} ms={}",
                     shard.id.value, commit.number, commit.submissions.size(), duplicates,
                     (now - sent).count());
    abandon_transaction(commit);
    commit.next_attempt = now;
}

} // namespace

void record_change(shard_state& shard, job_row& job, bool urgent, time_point now) {
    mark_changed(job);
    auto& commit = shard.commit;
    add_unstored(commit, job.id, {now, urgent});
    commit.urgent = commit.urgent || urgent;
    if (!commit.dirty_since) {
        commit.dirty_since = now;
    }
}

void on_commit_reply(shard_state& shard, const result<transaction_reply>& reply, time_point sent,
                     time_point now) {
    auto& commit = shard.commit;
    commit.in_flight = false;
    commit.repeated_at_once = false;
    if (shard.ownership_lost || !commit.pending) {
        return;
    }
    if (reply) {
        shard.counters->count("commits", reply.value().applied ? "applied" : "conflict");
        if (reply.value().applied) {
            apply_commit(shard, *reply.value().applied, sent, now);
        } else {
            handle_conflict(shard, reply.value().present, sent, now);
        }
        return;
    }
    const auto kind = reply.error().kind;
    shard.counters->count("commits", to_string(kind));
    shard.log->write("event=commit_failed shard={} epoch={} number={} attempt={} reason={} "
                     "unconfirmed={} submissions={}",
                     shard.id.value, shard.epoch.value, commit.number, commit.attempts,
                     to_string(kind), commit.unconfirmed, commit.submissions.size());
    commit.repeated_at_once = kind == error_kind::outcome_unknown && !commit.unconfirmed;
    commit.next_attempt = commit.repeated_at_once ? now : now + shard.timing.commit_retry;
    if (kind != error_kind::unavailable) {
        commit.unconfirmed = true;
    } else if (!commit.unconfirmed) {
        abandon_transaction(commit); // certainly not applied, so the next one may differ
        commit.dirty_since = commit.dirty_since.value_or(now);
    }
}

void add_handover_records(shard_state& shard, store_transaction& handover, time_point now) {
    const auto listed = find_used_workers(shard, now);
    auto promises = make_promises(shard, listed, promise_reason::handover, now);
    if (!promises.empty()) {
        handover.puts.push_back(
            {worker_list_key(shard.id), encode_worker_list(shard, listed, promises), {}});
        // They hold from now on, as the outcome of the handover may stay unknown. If it isn't
        // written, the next transaction lists the workers without them.
        shard.stored_promises = std::move(promises);
    }
    if (!find_sent_starts(shard, now).empty() || !shard.stored_open_starts.empty()) {
        handover.puts.push_back(make_open_starts_put(shard, now));
    }
    if (has_pending_lease_ends(shard)) {
        handover.puts.push_back(
            {ownership_key(shard.id), encode(make_ownership_record(shard, now)), {}});
    }
}

const worker_list* find_pending_list(const commit_state& commit) {
    return commit.pending && commit.has_worker_list ? &commit.listed_workers : nullptr;
}

bool is_stored(const shard_state& shard, const worker_target& worker) {
    const auto names = [&](const worker_list& listed) {
        const auto row = listed.find(worker.id);
        return row != listed.end() && row->second == worker.address;
    };
    const auto* pending = find_pending_list(shard.commit);
    return names(shard.stored_workers) && (pending == nullptr || names(*pending));
}

namespace {

// Sends the next transaction if one is due.
void send_transaction(shard_state& shard, time_point now, shard_actions& actions) {
    auto& commit = shard.commit;
    if (commit.in_flight || now < commit.next_attempt || shard.handing_over) {
        return;
    }
    if (!commit.pending) {
        if (!commit.dirty_since && !shard.to_purge.empty()) {
            commit.dirty_since = now;
        }
        if (!commit.dirty_since && has_new_lists(shard, now)) {
            commit.dirty_since = now;
            // A worker that has answered waits for its lease.
            commit.urgent = commit.urgent || !are_promises_stored(shard, now) ||
                            has_new_open_starts(shard, now);
        }
        if (!commit.dirty_since && !shard.releasing &&
            now >= commit.last_applied.value_or(time_point{}) + shard.timing.progress_interval) {
            commit.dirty_since = now;
        }
        if (!commit.dirty_since ||
            (!commit.urgent && now < *commit.dirty_since + shard.timing.commit_delay)) {
            return;
        }
        commit.pending = build_transaction(shard, now);
        commit.first_sent = now;
    }
    commit.in_flight = true;
    ++commit.attempts;
    actions.commit = commit.pending;
}

} // namespace

void prepare_commit(shard_state& shard, time_point now, shard_actions& actions) {
    // A submitted job that exists in another shard has no row any more.
    for (auto it = shard.submissions.begin(); it != shard.submissions.end();) {
        const auto id = it->first;
        ++it;
        if (!shard.tables.jobs.contains(id)) {
            answer_submissions(shard, id, {0, submit_outcome::accepted, duration(0), "duplicate"},
                               now, actions);
        }
    }
    refuse_unstorable(shard, now, actions);
    answer_stored(shard, now, actions);
    for (auto& [id, worker] : shard.tables.workers) {
        acknowledge_ends(shard, worker, now);
    }
    send_transaction(shard, now, actions);
    request_index_reads(shard, now, actions);
}

} // namespace fulmar
