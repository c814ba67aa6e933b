// Group commit: one transaction at a time writes submissions, progress and removals to the store.
#include "shard_internal.hpp"

#include <algorithm>
#include <cassert>

namespace fulmar {

namespace {

// Entries in every transaction: the conditions on claim and head, and the put of the head.
constexpr std::size_t fixed_entries = 3;
constexpr std::size_t submission_entries = 3; // condition and put of the index, put of the job
constexpr std::size_t purge_entries = 3;      // removals of index, job and progress

// Acknowledges run ends whose job's record is stored, in the order of their numbers.
void acknowledge_ends(shard_state& shard, worker_row& worker, time_point now) {
    const auto before = worker.acknowledged_end;
    while (!worker.unacknowledged_ends.empty()) {
        const auto& end = worker.unacknowledged_ends.front();
        const auto job = shard.tables.jobs.find(end.job);
        if (job != shard.tables.jobs.end() && job->second.stored_version < end.version) {
            break;
        }
        worker.acknowledged_end = std::max(worker.acknowledged_end, end.number);
        worker.unacknowledged_ends.pop_front();
    }
    if (worker.acknowledged_end != before && worker.reachability == reachability_state::reachable) {
        worker.next_hold = std::min(worker.next_hold, now);
    }
}

// Answers all requests that wait for the submission of a job.
void answer_submissions(shard_state& shard, const job_id& id, const submit_answer& answer,
                        shard_actions& actions) {
    const auto waiting = shard.submissions.extract(id);
    if (waiting.empty()) {
        return;
    }
    for (const auto token : waiting.mapped()) {
        auto next = answer;
        next.token = token;
        actions.submit_answers.push_back(std::move(next));
    }
    shard.log->write("event=hand_in_answered job={} shard={} outcome={} reason={}", id.value,
                     shard.id.value, to_string(answer.outcome), answer.reason);
}

// Answers submissions and cancellations that no longer have to wait for a transaction.
void answer_stored(shard_state& shard, shard_actions& actions) {
    for (auto it = shard.submissions.begin(); it != shard.submissions.end();) {
        const auto id = it->first;
        ++it;
        const auto job = shard.tables.jobs.find(id);
        if (job != shard.tables.jobs.end() && job->second.spec_stored) {
            answer_submissions(shard, id, {0, submit_outcome::accepted, duration(0), ""}, actions);
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

// Returns whether a run of this owner may be on the worker, now or soon. An unreachable worker
// whose leases have ended has none. If it stayed in the list, a successor would wait for it without
// need.
bool is_used(const shard_state& shard, const worker_row& worker, time_point now) {
    return worker.reachability != reachability_state::unreachable || !worker.runs.empty() ||
           !worker.unacknowledged_ends.empty() ||
           shard.unreached_workers.contains(worker.entry.target.id) ||
           !has_lapsed(shard, worker, now);
}

std::set<worker_id> find_used_workers(const shard_state& shard, time_point now) {
    std::set<worker_id> used;
    for (const auto& [id, worker] : shard.tables.workers) {
        if (is_used(shard, worker, now)) {
            used.insert(used.end(), id);
        }
    }
    return used;
}

std::string make_worker_list(const shard_state& shard, const std::set<worker_id>& listed) {
    std::vector<known_worker> rows;
    rows.reserve(listed.size());
    for (const auto& id : listed) {
        rows.push_back({shard.tables.workers.at(id).entry.target});
    }
    return encode(rows);
}

// Builds one transaction from the changes that are to be stored.
store_transaction build_transaction(shard_state& shard, time_point now) {
    auto& commit = shard.commit;
    store_transaction next;
    commit.versions.clear();
    commit.submissions.clear();
    commit.purged.clear();
    commit.borrowed_jobs.clear();
    ++commit.number;
    next.conditions.push_back({claim_key(shard.id), shard.claim_revision});
    next.conditions.push_back({head_key(shard.id), shard.head_revision});
    next.puts.push_back({head_key(shard.id), encode(head_record{shard.epoch, commit.number}), {}});
    std::size_t entries = fixed_entries;
    auto used = find_used_workers(shard, now);
    commit.has_worker_list = used != shard.stored_workers;
    if (commit.has_worker_list) {
        next.puts.push_back({worker_list_key(shard.id), make_worker_list(shard, used), {}});
        ++entries;
        commit.worker_list = std::move(used);
    }
    for (const auto& [id, tokens] : shard.submissions) {
        auto& job = shard.tables.jobs.at(id);
        if (job.spec_stored || entries + submission_entries > max_transaction_entries) {
            continue;
        }
        next.conditions.push_back({job_index_key(id), revision_number{0}});
        next.puts.push_back({job_index_key(id), shard.id.value, {}});
        next.puts.push_back({job_key(shard.id, id), encode_job(job), {}});
        commit.submissions.push_back(id);
        entries += submission_entries;
    }
    for (const auto& [id, job] : shard.tables.jobs) {
        if (entries == max_transaction_entries) {
            break;
        }
        if (job.stored_version == job.version || !job.spec_stored) {
            continue;
        }
        if (shard.unstored_borrowed_jobs.contains(id)) {
            if (entries + 2 > max_transaction_entries) {
                continue;
            }
            next.puts.push_back({job_key(shard.id, id), encode_job(job), {}});
            commit.borrowed_jobs.push_back(id);
            ++entries;
        }
        next.puts.push_back({progress_key(shard.id, id), encode_progress(job), {}});
        commit.versions.emplace_back(id, job.version);
        ++entries;
    }
    for (const auto& id : shard.to_purge) {
        if (entries + purge_entries > max_transaction_entries) {
            break;
        }
        if (!is_borrowed(shard.tables.jobs.at(id))) {
            next.removals.push_back(job_index_key(id));
        }
        next.removals.push_back(job_key(shard.id, id));
        next.removals.push_back(progress_key(shard.id, id));
        commit.purged.push_back(id);
        entries += purge_entries;
    }
    return next;
}

// Returns whether anything is left to store.
bool is_dirty(const shard_state& shard, time_point now) {
    const auto& jobs = shard.tables.jobs;
    return find_used_workers(shard, now) != shard.stored_workers || !shard.to_purge.empty() ||
           std::any_of(jobs.begin(), jobs.end(), [](const auto& row) {
               return !row.second.spec_stored || row.second.stored_version != row.second.version;
           });
}

// Updates the tables after a transaction was applied.
void apply_commit(shard_state& shard, revision_number head, time_point sent, time_point now) {
    auto& commit = shard.commit;
    shard.head_revision = head;
    shard.claim_confirmed = std::max(shard.claim_confirmed.value_or(sent), sent);
    for (const auto& id : commit.submissions) {
        auto& job = shard.tables.jobs.at(id);
        job.spec_stored = true;
        if (!has_ended(job.phase)) {
            shard.active.insert(id);
        }
        shard.counters->count("jobs_accepted");
    }
    for (const auto& [id, version] : commit.versions) {
        if (const auto job = shard.tables.jobs.find(id); job != shard.tables.jobs.end()) {
            job->second.stored_version = std::max(job->second.stored_version, version);
        }
    }
    for (const auto& id : commit.borrowed_jobs) {
        shard.unstored_borrowed_jobs.erase(id);
    }
    for (const auto& id : commit.purged) {
        shard.tables.jobs.erase(id);
        shard.active.erase(id);
        std::erase(shard.to_purge, id);
    }
    if (commit.has_worker_list) {
        shard.stored_workers = commit.worker_list;
    }
    commit.pending.reset();
    commit.unconfirmed = false;
    commit.next_attempt = now;
    commit.last_applied = sent;
    commit.dirty_since.reset();
    commit.urgent = false;
    if (is_dirty(shard, now)) {
        commit.dirty_since = now;
        commit.urgent =
            std::any_of(shard.submissions.begin(), shard.submissions.end(), [&](const auto& row) {
                return !shard.tables.jobs.at(row.first).spec_stored;
            });
    }
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
            apply_commit(shard, revision, sent, now); // an earlier attempt took effect
        } else {
            lose_shard(shard, "head_moved");
        }
        return;
    }
    // These jobs were submitted to another shard before and exist there.
    for (const auto& id : commit.submissions) {
        if (find(job_index_key(id)) != nullptr) {
            shard.tables.jobs.erase(id);
            shard.counters->count("hand_ins_duplicate");
        }
    }
    commit.pending.reset();
    commit.unconfirmed = false;
    commit.next_attempt = now;
}

} // namespace

void on_commit_reply(shard_state& shard, const result<transaction_reply>& reply, time_point sent,
                     time_point now) {
    auto& commit = shard.commit;
    commit.in_flight = false;
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
    commit.next_attempt = now + shard.timing.commit_retry;
    if (kind != error_kind::unavailable) {
        commit.unconfirmed = true;
    } else if (!commit.unconfirmed) {
        commit.pending.reset(); // certainly not applied, so the next transaction may differ
        commit.dirty_since = commit.dirty_since.value_or(now);
    }
}

const std::set<worker_id>* find_pending_list(const commit_state& commit) {
    return commit.pending && commit.has_worker_list ? &commit.worker_list : nullptr;
}

bool is_stored(const shard_state& shard, const worker_id& worker) {
    const auto* pending = find_pending_list(shard.commit);
    return shard.stored_workers.contains(worker) &&
           (pending == nullptr || pending->contains(worker));
}

void prepare_commit(shard_state& shard, time_point now, shard_actions& actions) {
    auto& commit = shard.commit;
    // A submitted job that exists in another shard has no row any more.
    for (auto it = shard.submissions.begin(); it != shard.submissions.end();) {
        const auto id = it->first;
        ++it;
        if (!shard.tables.jobs.contains(id)) {
            answer_submissions(shard, id, {0, submit_outcome::accepted, duration(0), "duplicate"},
                               actions);
        }
    }
    // While the store doesn't reply, new jobs are refused immediately instead of being kept
    // waiting.
    if (commit.unconfirmed || (!commit.in_flight && !commit.pending && commit.next_attempt > now)) {
        for (auto it = shard.submissions.begin(); it != shard.submissions.end();) {
            const auto id = it->first;
            ++it;
            const bool sent = commit.pending &&
                              std::find(commit.submissions.begin(), commit.submissions.end(), id) !=
                                  commit.submissions.end();
            if (!sent && !shard.tables.jobs.at(id).spec_stored) {
                shard.tables.jobs.erase(id);
                answer_submissions(
                    shard, id,
                    {0, submit_outcome::unavailable, shard.timing.commit_retry * 2, "store"},
                    actions);
            }
        }
    }
    answer_stored(shard, actions);
    for (auto& [id, worker] : shard.tables.workers) {
        acknowledge_ends(shard, worker, now);
    }
    if (commit.in_flight || now < commit.next_attempt || shard.handing_over) {
        return;
    }
    if (!commit.pending) {
        if (!commit.dirty_since && !shard.to_purge.empty()) {
            commit.dirty_since = now;
        }
        if (!commit.dirty_since && find_used_workers(shard, now) != shard.stored_workers) {
            commit.dirty_since = now;
        }
        if (!commit.dirty_since && !shard.releasing &&
            now >= commit.last_applied + shard.timing.progress_interval) {
            commit.dirty_since = now;
        }
        if (!commit.dirty_since ||
            (!commit.urgent && now < *commit.dirty_since + shard.timing.commit_delay)) {
            return;
        }
        commit.pending = build_transaction(shard, now);
    }
    commit.in_flight = true;
    actions.commit = commit.pending;
}

} // namespace fulmar
