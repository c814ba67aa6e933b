// Submissions of a shard: which of them the next transaction includes, their answers, and the
// search for those whose job another shard has stored.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Retry-After for submissions that this owner couldn't store in time.
constexpr duration overload_retry_after{1'000};

// After a duplicate was found, more are expected for this long: whoever sends one job again sends
// others again, too.
constexpr duration duplicates_expected{3'000};

// A submission that has waited for this long may have been sent again meanwhile, to this shard or
// to another one.
constexpr duration resend_time{800};

// Submissions, those that waited longest first, whose index entries are read: as many as two
// transactions store under full load. Also the number of reads without an answer.
constexpr std::size_t index_read_window = 8;

// A submission doesn't wait longer than this for the answer to its read.
constexpr duration index_read_limit{200};

// Returns whether the pending transaction includes the job.
bool is_pending(const commit_state& commit, const job_id& id) {
    return commit.pending && std::find(commit.submissions.begin(), commit.submissions.end(), id) !=
                                 commit.submissions.end();
}

// Returns the jobs that are submitted and not stored, those submitted first in front.
std::vector<job_id> find_submissions(const shard_state& shard) {
    std::vector<std::pair<unix_time, job_id>> found;
    for (const auto& [id, submission] : shard.submissions) {
        const auto& job = shard.tables.jobs.at(id);
        if (!job.spec_stored) {
            found.emplace_back(job.accepted, id);
        }
    }
    std::sort(found.begin(), found.end());
    std::vector<job_id> sorted;
    sorted.reserve(found.size());
    for (auto& [accepted, id] : found) {
        sorted.push_back(std::move(id));
    }
    return sorted;
}

// Refuses the submissions for which `is_refused` holds and that are certainly not stored: no
// transaction that may still take effect includes them.
template <class Predicate>
void refuse_submissions(shard_state& shard, Predicate is_refused, const submit_answer& answer,
                        time_point now, shard_actions& actions) {
    for (auto it = shard.submissions.begin(); it != shard.submissions.end();) {
        const auto id = it->first;
        const bool refused = is_refused(it->second);
        ++it;
        if (refused && !is_pending(shard.commit, id) && !shard.tables.jobs.at(id).spec_stored) {
            shard.tables.jobs.erase(id);
            answer_submissions(shard, id, answer, now, actions);
        }
    }
}

// Drops the row of a job that another shard has stored. Its submissions are answered next.
void drop_duplicate(shard_state& shard, const job_id& id, time_point now) {
    shard.tables.jobs.erase(id);
    shard.counters->count("hand_ins_duplicate");
    shard.commit.duplicates_until = now + duplicates_expected;
}

// Returns whether a transaction with the job may be rejected, and its index entry will be read or
// is being read.
bool awaits_index(const waiting_submission& waiting, time_point now) {
    switch (waiting.index) {
    case index_knowledge::none:
        return true;
    case index_knowledge::requested:
        return now < waiting.index_requested + index_read_limit;
    case index_knowledge::absent:
    case index_knowledge::unreadable:
        return false;
    }
    return false;
}

} // namespace

// Answers all requests that wait for the submission of a job.
void answer_submissions(shard_state& shard, const job_id& id, const submit_answer& answer,
                        time_point now, shard_actions& actions) {
    const auto waiting = shard.submissions.extract(id);
    if (waiting.empty()) {
        return;
    }
    const auto& submission = waiting.mapped();
    for (const auto token : submission.tokens) {
        auto next = answer;
        next.token = token;
        actions.submit_answers.push_back(std::move(next));
    }
    shard.log->write("event=hand_in_answered job={} shard={} outcome={} reason={} requests={} "
                     "waited_ms={} unsent_ms={} transactions={}",
                     id.value, shard.id.value, to_string(answer.outcome), answer.reason,
                     submission.tokens.size(), (now - submission.arrived).count(),
                     (submission.sent.value_or(now) - submission.arrived).count(),
                     submission.transactions);
}

std::vector<job_id> select_submissions(const shard_state& shard, time_point now) {
    auto selected = find_submissions(shard);
    if (now >= shard.commit.duplicates_until) {
        return selected;
    }
    // One duplicate has the store reject the whole transaction. Without jobs that are known to be
    // new, the others are tried all the same.
    const bool any_new = std::any_of(selected.begin(), selected.end(), [&](const job_id& id) {
        return shard.submissions.at(id).index == index_knowledge::absent;
    });
    if (any_new) {
        std::erase_if(selected, [&](const job_id& id) {
            return awaits_index(shard.submissions.at(id), now);
        });
    }
    return selected;
}

std::size_t drop_duplicates(shard_state& shard, const std::vector<store_entry>& present,
                            time_point now) {
    std::size_t duplicates = 0;
    for (const auto& id : shard.commit.submissions) {
        const bool exists =
            std::any_of(present.begin(), present.end(),
                        [&](const store_entry& entry) { return entry.key == job_index_key(id); });
        if (exists) {
            drop_duplicate(shard, id, now);
            ++duplicates;
        } else if (const auto waiting = shard.submissions.find(id);
                   waiting != shard.submissions.end()) {
            waiting->second.index = index_knowledge::absent;
        }
    }
    return duplicates;
}

void request_index_reads(shard_state& shard, time_point now, shard_actions& actions) {
    auto& commit = shard.commit;
    if (shard.submissions.empty() || commit.index_reads >= index_read_window) {
        return;
    }
    const bool expected = now < commit.duplicates_until;
    const bool any_late =
        std::any_of(shard.submissions.begin(), shard.submissions.end(),
                    [&](const auto& row) { return now >= row.second.arrived + resend_time; });
    if (!expected && !any_late) {
        return;
    }
    std::size_t seen = 0;
    for (const auto& id : find_submissions(shard)) {
        if (is_pending(commit, id)) {
            continue;
        }
        if (seen++ >= index_read_window || commit.index_reads >= index_read_window) {
            return;
        }
        auto& waiting = shard.submissions.at(id);
        if (waiting.index != index_knowledge::none ||
            (!expected && now < waiting.arrived + resend_time)) {
            continue;
        }
        waiting.index = index_knowledge::requested;
        waiting.index_requested = now;
        ++commit.index_reads;
        actions.index_reads.push_back(id);
    }
}

void on_index_read(shard_state& shard, const job_id& id,
                   const result<std::optional<store_entry>>& entry, time_point now) {
    auto& commit = shard.commit;
    --commit.index_reads;
    const auto waiting = shard.submissions.find(id);
    const auto job = shard.tables.jobs.find(id);
    if (waiting == shard.submissions.end() || job == shard.tables.jobs.end() ||
        job->second.spec_stored) {
        return;
    }
    if (!entry || !entry.value()) {
        waiting->second.index = entry ? index_knowledge::absent : index_knowledge::unreadable;
        return;
    }
    if (is_pending(commit, id)) {
        return; // the entry may be this transaction's own; its reply tells
    }
    drop_duplicate(shard, id, now);
    shard.log->write("event=duplicate_found job={} shard={} in={} read_ms={}", id.value,
                     shard.id.value, entry.value()->value,
                     (now - waiting->second.index_requested).count());
}

void refuse_unstorable(shard_state& shard, time_point now, shard_actions& actions) {
    const auto& commit = shard.commit;
    // While the store doesn't reply, new jobs are refused immediately instead of being kept
    // waiting.
    const bool failing =
        commit.unconfirmed || (!commit.in_flight && !commit.pending && commit.next_attempt > now);
    if (failing && !commit.repeated_at_once) {
        refuse_submissions(
            shard, [](const waiting_submission&) { return true; },
            {0, submit_outcome::unavailable, shard.timing.commit_retry * 2, "store"}, now, actions);
    }
    // The others can't be answered in time; storing them would delay those that can.
    refuse_submissions(
        shard, [&](const waiting_submission& waiting) { return now >= waiting.store_by; },
        {0, submit_outcome::unavailable, overload_retry_after, "overloaded"}, now, actions);
}

} // namespace fulmar
