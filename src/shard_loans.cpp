// Loans: tasks of a job run in another shard if its own shard has no room for them. The lender
// stores the loan with the borrower's id before it sends the offer, the borrower stores the tasks
// before it answers, and the lender stores a result before the borrower deletes it. So each task
// belongs to one shard at any time, even if the owner of either shard changes.
#include "shard_begin.hpp"
#include "shard_gangs.hpp"
#include "shard_loan_messages.hpp"

#include <algorithm>
#include <cassert>

namespace fulmar {

namespace {

// Loan numbers increase over the epochs of a shard, like run numbers: the epoch is in the bits
// above the counter.
constexpr unsigned loan_counter_bits = 24;

// A shard that returned or refused tasks gets no more for this long.
constexpr duration refusal_pause{3'000};

// The same for long-running tasks, which have to run again within 6 s. Owners publish their room
// twice in this time.
constexpr duration long_running_refusal_pause{1'000};

// Dropped and refused loans that are remembered. Beyond these, a repeated withdrawal is answered
// after one more transaction, and a repeated offer is checked anew.
constexpr std::size_t dropped_loans_limit = 64;

json encode_task(std::uint32_t index, const task_row& task) {
    return {index,
            static_cast<int>(task.result),
            task.failed_runs,
            task.last_run.value,
            task.checkpoint,
            task.waiting_since};
}

json make_envelope(std::string_view kind, const shard_id& from, const shard_id& to,
                   std::uint64_t loan, const job_id& job) {
    return {{"kind", kind}, {"from", from}, {"to", to}, {"loan", loan}, {"job", job}};
}

std::string make_offer(const shard_state& shard, const loan_row& loan) {
    const auto& job = shard.tables.jobs.at(loan.job);
    const auto& stage = job.occurrences.at(loan.occurrence).stages.at(loan.step);
    auto body = make_envelope("offer", shard.id, loan.to, loan.number, loan.job);
    body["queue"] = encode_queue(job.queue);
    body["spec"] = encode_spec(job.spec);
    body["accepted"] = job.accepted;
    body["occurrence"] = loan.occurrence;
    body["step"] = loan.step;
    body["tasks"] = json::array();
    for (const auto index : loan.tasks) {
        body["tasks"].push_back(encode_task(index, stage.tasks[index]));
    }
    return body.dump();
}

// Removes a task that another shard returned or refused from its loan. The task stays marked as not
// local until the job's record without the loan is stored: a successor that still reads the loan
// would not expect the task to run here.
void reclaim_task(shard_state& shard, job_row& job, const task_key& key, time_point now) {
    auto& task = *find_task(shard.tables, key);
    task.loan = 0;
    record_change(shard, job, true, now);
    if (records_starts(job.spec.steps[key.step])) {
        task.parked = true; // the next owner has to know that it runs nowhere
        task.parked_by = shard.epoch;
        task.whereabouts_version = job.version;
    }
    shard.returned_tasks.push_back({key, job.version});
}

// Lets returned tasks run here once their job's record without the loan is stored.
void release_returned(shard_state& shard) {
    std::erase_if(shard.returned_tasks, [&](const shard_state::returned_task& row) {
        const auto job = shard.tables.jobs.find(row.task.job);
        if (job != shard.tables.jobs.end() && job->second.stored_version < row.version) {
            return false;
        }
        auto* stage = find_stage(shard.tables, row.task);
        auto* task = find_task(shard.tables, row.task);
        if (task != nullptr && task->loan == 0) {
            task->not_local = false;
            if (!task->done && task->runs.empty()) {
                stage->waiting.insert(row.task.index);
            }
            shard.placement_needed = true;
        }
        return true;
    });
}

// Removes a loan that has no tasks left or that the borrower doesn't hold.
void close_loan(shard_state& shard, std::uint64_t number, time_point now) {
    const auto loan = shard.tables.loans.extract(number);
    const auto job = shard.tables.jobs.find(loan.mapped().job);
    if (job != shard.tables.jobs.end()) {
        job->second.loans.erase(number);
        record_change(shard, job->second, false, now);
        shard.closed_loans[number] = {job->second.id, job->second.version};
    }
}

void process_withdrawal(shard_state& shard, const json& body, request_token token, time_point now) {
    const auto id = body.at("job").get<job_id>();
    const auto number = body.at("loan").get<std::uint64_t>();
    const auto found = shard.tables.jobs.find(id);
    auto* loan = found == shard.tables.jobs.end() ? nullptr : find_borrowed(found->second, number);
    cancel_offer_checks(shard, id, number);
    if (was_dropped(shard, id, number)) {
        answer_now(shard, token, state_gone);
        return;
    }
    if (loan == nullptr) {
        // Its offer may still be being verified, or was never received, or its results were
        // settled.
        cancel_offer_checks(shard, id, number);
        answer_when_confirmed(shard, id, number, token, state_gone, now);
        return;
    }
    auto& job = found->second;
    if (!loan->withdrawn) {
        loan->withdrawn = true;
        auto& stage = job.occurrences.at(loan->occurrence).stages[loan->step];
        for (const auto index : loan->tasks) {
            auto& task = stage.tasks[index];
            task.not_local = true;
            stage.waiting.erase(index);
            for (const auto number : task.runs) {
                const run_key key{{job.id, loan->occurrence, loan->step, index}, number};
                request_stop(shard.tables.runs.at(key), stop_cause::cancelled, now);
            }
        }
        record_change(shard, job, true, now);
        loan->withdrawn_version = job.version;
    }
    answer_when_stored(shard, job.id, number, loan->withdrawn_version, token, state_gone);
}

// Applies the borrower's result for one lent task.
void apply_result(shard_state& shard, job_row& job, const loan_row& loan, const json& entry,
                  time_point now, unix_time unix_now) {
    const auto index = entry.at(0).get<std::uint32_t>();
    const auto result = static_cast<loan_result>(entry.at(1).get<int>());
    const task_key key{job.id, loan.occurrence, loan.step, index};
    auto* row = find_task(shard.tables, key);
    if (row == nullptr) {
        return; // an earlier result completed the whole occurrence, as one of a gang's member does
    }
    decode_task(entry, *row);
    row->loan = 0;
    // The rows of the occurrence may be gone after either of the first two.
    if (result == loan_result::done) {
        mark_begun(job);
        complete_task(shard, job, key, now, unix_now);
    } else if (result == loan_result::failed) {
        mark_begun(job);
        end_job(shard, job, job_phase::failed, now, unix_now);
    } else {
        reclaim_task(shard, job, key, now);
        if (uses_long_running_room(job.spec.steps[loan.step])) {
            shard.log->write_rare("event=task_taken_back task={}.{}.{}.{} shard={} from={} loan={}",
                                  job.id.value, loan.occurrence, loan.step, index, shard.id.value,
                                  loan.to.value, loan.number);
        }
        auto& other = shard.other_shards[loan.to];
        other.no_loans_before =
            now + (uses_long_running_room(job.spec.steps[loan.step]) ? long_running_refusal_pause
                                                                     : refusal_pause);
    }
}

// Returns whether a result completed the gang that a loan is of. A borrower of an earlier version
// reports only the member that ended, and would start the others again.
bool is_gang_completed(shard_state& shard, const job_row& job, const loan_row& loan) {
    if (has_ended(job.phase) || !job.spec.steps[loan.step].gang) {
        return false;
    }
    const auto* stage = find_stage(shard.tables, {job.id, loan.occurrence, loan.step, 0});
    return stage == nullptr || stage->done == job.spec.steps[loan.step].count;
}

void process_results(shard_state& shard, const json& body, request_token token, time_point now,
                     unix_time unix_now) {
    const auto number = body.at("loan").get<std::uint64_t>();
    const auto found = shard.tables.loans.find(number);
    if (found == shard.tables.loans.end()) {
        // An earlier report closed the loan; its answer was lost or still waits for the commit.
        const auto closed = shard.closed_loans.find(number);
        if (number >> loan_counter_bits > shard.epoch.value) {
            answer_now(shard, token, state_retry); // a later owner of this shard made the loan
        } else if (closed == shard.closed_loans.end()) {
            answer_now(shard, token, state_settled);
        } else {
            answer_when_stored(shard, closed->second.job, number, closed->second.version, token,
                               state_settled);
        }
        return;
    }
    const auto id = found->second.job;
    found->second.accepted = true;
    bool is_new = false;
    for (const auto& entry : body.at("tasks")) {
        auto& job = shard.tables.jobs.at(id);
        auto& loan = found->second;
        const bool added = loan.tasks.erase(entry.at(0).get<std::uint32_t>()) > 0;
        is_new = is_new || added;
        if (added && !has_ended(job.phase)) {
            apply_result(shard, job, loan, entry, now, unix_now);
        }
    }
    auto& job = shard.tables.jobs.at(id);
    if (is_new) {
        record_change(shard, job, true, now);
        found->second.results_version = job.version;
    }
    auto version = found->second.results_version;
    if (!found->second.tasks.empty() && is_gang_completed(shard, job, found->second)) {
        found->second.withdrawn = true;
        found->second.version = job.version;
        found->second.next_send = now;
    }
    if (found->second.tasks.empty()) {
        close_loan(shard, number, now);
        version = job.version;
    }
    answer_when_stored(shard, id, number, version, token, state_settled);
}

// Returns tasks to the lender that found no room here within `return_after`, or within
// `return_unreserved_after` if they could reserve none or are stranded.
void return_unplaced(shard_state& shard, job_row& job, borrowed_tasks& loan, time_point now) {
    if (loan.since == time_point{}) {
        loan.since = now;
    }
    use_granted_rooms(shard, job, loan, now);
    if (loan.withdrawn || now < loan.since + shard.timing.return_unreserved_after) {
        return;
    }
    auto& stage = job.occurrences.at(loan.occurrence).stages[loan.step];
    if (stage.waiting.empty()) {
        return;
    }
    const bool reservable = uses_long_running_room(job.spec.steps[loan.step]);
    if (reservable && awaits_workers(shard, job, stage, now)) {
        loan.since = now;
        return;
    }
    const bool stranded = is_stranded(shard, job, stage);
    if (job.spec.steps[loan.step].gang && !may_return_gang(shard, job, loan, stage)) {
        return;
    }
    for (const auto index : loan.tasks) {
        auto& task = stage.tasks[index];
        const auto limit = stranded || (reservable && !task.reserved_worker)
                               ? shard.timing.return_unreserved_after
                               : shard.timing.return_after;
        if (stage.waiting.contains(index) && !has_unknown_run(shard, job, task) &&
            !is_release_pending(job, task) && task.loan == loan.loan && now >= loan.since + limit) {
            stage.waiting.erase(index);
            drop_reservation(shard.tables, {job.id, stage.occurrence, stage.step, index});
            report_task(shard, job, task, loan_result::returned, now);
            shard.counters->count("loans", "returned");
            if (reservable) {
                shard.log->write_rare("event=task_returned task={}.{}.{}.{} shard={} to={} loan={} "
                                      "held_ms={}",
                                      job.id.value, stage.occurrence, stage.step, index,
                                      shard.id.value, job.lender.value, loan.loan,
                                      (now - loan.since).count());
            }
        }
    }
}

// Sends the stored results of a loan that the lender hasn't acknowledged yet.
void report_results(shard_state& shard, job_row& job, borrowed_tasks& loan, time_point now,
                    shard_actions& actions) {
    if (!is_report_due(job, loan, now) || !may_send(shard, job.lender, loan.next_report, now)) {
        return;
    }
    auto body = make_envelope("result", shard.id, job.lender, loan.loan, job.id);
    body["tasks"] = json::array();
    const auto& stage = job.occurrences.at(loan.occurrence).stages[loan.step];
    for (const auto index : loan.tasks) {
        const auto& task = stage.tasks[index];
        if (is_reportable(job, task)) {
            body["tasks"].push_back(encode_task(index, task));
        }
    }
    loan.in_flight = true;
    loan.next_report = now + shard.timing.loan_retry;
    actions.loan_messages.push_back({job.lender, loan.loan, job.id, body.dump()});
}

// Removes withdrawn loans once none of their tasks run any more.
void drop_withdrawn(shard_state& shard, job_row& job, time_point now) {
    const auto dropped = std::erase_if(job.borrowed, [&](const borrowed_tasks& loan) {
        const auto& stage = job.occurrences.at(loan.occurrence).stages[loan.step];
        const bool ended =
            loan.withdrawn && job.stored_version >= loan.withdrawn_version &&
            std::all_of(loan.tasks.begin(), loan.tasks.end(),
                        [&](std::uint32_t index) { return stage.tasks[index].runs.empty(); });
        if (ended) {
            remember_dropped(shard, job.id, loan.loan);
        }
        return ended;
    });
    if (dropped > 0) {
        record_change(shard, job, false, now);
    }
}

void advance_borrowed_jobs(shard_state& shard, time_point now, shard_actions& actions) {
    for (const auto& id : shard.active) {
        auto& job = shard.tables.jobs.at(id);
        if (!is_borrowed(job)) {
            continue;
        }
        drop_withdrawn(shard, job, now);
        for (auto& loan : job.borrowed) {
            return_unplaced(shard, job, loan, now);
            report_results(shard, job, loan, now, actions);
        }
        const bool purging =
            std::find(shard.to_purge.begin(), shard.to_purge.end(), id) != shard.to_purge.end();
        if (job.borrowed.empty() && job.stored_version == job.version && !purging) {
            shard.to_purge.push_back(id);
        }
    }
}

void send_loan_messages(shard_state& shard, time_point now, shard_actions& actions) {
    for (auto& [number, loan] : shard.tables.loans) {
        const auto& job = shard.tables.jobs.at(loan.job);
        if (!is_message_due(job, loan, now) || !may_send(shard, loan.to, loan.next_send, now)) {
            continue;
        }
        loan.in_flight = true;
        loan.next_send = now + shard.timing.loan_retry;
        const auto body =
            loan.withdrawn ? make_envelope("withdraw", shard.id, loan.to, number, loan.job).dump()
                           : make_offer(shard, loan);
        actions.loan_messages.push_back({loan.to, number, loan.job, body});
    }
}

void collect_due_answers(shard_state& shard, shard_actions& actions) {
    std::erase_if(shard.loan_answers, [&](const auto& waiting) {
        const auto job = shard.tables.jobs.find(waiting.job);
        const bool stored =
            job == shard.tables.jobs.end() || job->second.stored_version >= waiting.version;
        const bool due = stored && shard.commit.confirmed_attempt >= waiting.confirmed_by;
        if (due) {
            actions.loan_answers.push_back({waiting.token, waiting.state});
        }
        return due;
    });
    std::erase_if(shard.closed_loans, [&](const auto& row) {
        const auto job = shard.tables.jobs.find(row.second.job);
        return job == shard.tables.jobs.end() || job->second.stored_version >= row.second.version;
    });
}

// Returns the waiting tasks that may be lent for room of this kind: those without reserved room
// here, then the others if the data centre is out of service or the room is free.
std::vector<std::uint32_t> find_lendable(const shard_state& shard, const job_row& job,
                                         const stage_row& stage, room_kind kind) {
    std::vector<std::uint32_t> found;
    std::vector<std::uint32_t> reserved;
    for (const auto index : stage.waiting) {
        const auto& task = stage.tasks[index];
        if (has_unknown_run(shard, job, task) || is_release_pending(job, task)) {
            continue;
        }
        (task.reserved_worker ? reserved : found).push_back(index);
    }
    if (!shard.data_centre_open || kind == room_kind::free_now) {
        found.insert(found.end(), reserved.begin(), reserved.end());
    }
    return found;
}

// Lends waiting tasks to the shard that published the most room of this kind. Returns whether it
// lent any.
bool lend_to_published_room(shard_state& shard, job_row& job, stage_row& stage, room_kind kind,
                            time_point now) {
    const auto& step = job.spec.steps[stage.step];
    auto tasks = find_lendable(shard, job, stage, kind);
    const auto [best, most] = find_borrower(shard, job, stage, kind, now);
    if (tasks.empty() || best == nullptr ||
        (step.gang && (most < step.count || tasks.size() < step.count))) {
        return false;
    }
    tasks.resize(
        std::min<std::size_t>(tasks.size(), step.gang ? step.count : std::min(most, loan_tasks)));
    make_loan(shard, job, stage, *best, tasks, now);
    return true;
}

} // namespace

void decode_task(const json& from, task_row& task) {
    task.failed_runs = from.at(2).get<std::vector<run_number>>();
    task.last_run = std::max(task.last_run, from.at(3).get<run_number>());
    task.checkpoint = from.at(4).get<std::string>();
    // Owners of an earlier version don't send it.
    constexpr std::size_t wait_position = 5;
    task.waiting_since =
        from.size() > wait_position ? from.at(wait_position).get<unix_time>() : unix_time{};
}

borrowed_tasks* find_borrowed(job_row& job, std::uint64_t loan) {
    const auto found = std::find_if(job.borrowed.begin(), job.borrowed.end(),
                                    [&](const borrowed_tasks& row) { return row.loan == loan; });
    return found == job.borrowed.end() ? nullptr : &*found;
}

namespace {

// Drops the answer that waits for the same message. Its sender no longer waits.
void replace_answer(shard_state& shard, const job_id& job, std::uint64_t loan,
                    std::string_view state) {
    for (auto& waiting : shard.loan_answers) {
        if (waiting.loan == loan && waiting.job == job && waiting.state == state) {
            waiting.version = 0;
            waiting.confirmed_by = 0;
            waiting.state = state_retry;
        }
    }
}

} // namespace

void answer_when_stored(shard_state& shard, const job_id& job, std::uint64_t loan,
                        std::uint64_t version, request_token token, std::string_view state) {
    replace_answer(shard, job, loan, state);
    shard.loan_answers.push_back({token, job, version, std::string(state), loan});
}

void answer_when_confirmed(shard_state& shard, const job_id& job, std::uint64_t loan,
                           request_token token, std::string_view state, time_point now) {
    replace_answer(shard, job, loan, state);
    shard.loan_answers.push_back(
        {token, job, 0, std::string(state), loan, shard.commit.attempts + 1});
    shard.commit.dirty_since = shard.commit.dirty_since.value_or(now);
    shard.commit.urgent = true;
}

bool was_dropped(const shard_state& shard, const job_id& job, std::uint64_t loan) {
    const auto& dropped = shard.dropped_loans;
    return std::find(dropped.begin(), dropped.end(), std::pair(job, loan)) != dropped.end();
}

void remember_dropped(shard_state& shard, const job_id& job, std::uint64_t loan) {
    if (was_dropped(shard, job, loan)) {
        return;
    }
    shard.dropped_loans.emplace_back(job, loan);
    if (shard.dropped_loans.size() > dropped_loans_limit) {
        shard.dropped_loans.pop_front();
    }
}

void answer_now(shard_state& shard, request_token token, std::string_view state) {
    shard.loan_answers.push_back({token, {}, 0, std::string(state), 0});
}

void make_loan(shard_state& shard, job_row& job, stage_row& stage, lending_room& other,
               const std::vector<std::uint32_t>& tasks, time_point now) {
    loan_row loan;
    loan.number = (shard.epoch.value << loan_counter_bits) + ++shard.loans_made;
    loan.to = other.shard;
    loan.job = job.id;
    loan.occurrence = stage.occurrence;
    loan.step = stage.step;
    for (const auto index : tasks) {
        stage.waiting.erase(index);
        drop_reservation(shard.tables, {job.id, stage.occurrence, stage.step, index});
        stage.tasks[index].not_local = true;
        stage.tasks[index].loan = loan.number;
        clear_whereabouts(stage.tasks[index]); // a loan, too, says that it has no run here
        loan.tasks.insert(index);
    }
    job.loans[loan.number] = other.shard;
    record_change(shard, job, true, now);
    loan.version = job.version;
    shard.counters->count("loans", "made");
    shard.log->write("event=tasks_lent job={} step={} shard={} to={} loan={} tasks={}",
                     job.id.value, stage.step, shard.id.value, other.shard.value, loan.number,
                     loan.tasks.size());
    deduct_room(other, job.queue.service, job.spec.steps[stage.step], loan.tasks.size());
    shard.tables.loans.emplace(loan.number, std::move(loan));
}

void lend_tasks(shard_state& shard, job_row& job, stage_row& stage, time_point now) {
    const auto& step = job.spec.steps[stage.step];
    const bool at_once = !shard.data_centre_open || is_stranded(shard, job, stage);
    const auto timeout = at_once       ? duration(0)
                         : step.filler ? shard.timing.lend_filler_after
                                       : shard.timing.lend_after;
    if (is_borrowed(job) || now - *stage.ready_since < timeout) {
        return;
    }
    if (step.gang && stage.waiting.size() < step.count) {
        return; // the members of a gang must run together
    }
    lend_to_granted_room(shard, job, stage, now);
    if (uses_long_running_room(step)) {
        while (lend_to_published_room(shard, job, stage, room_kind::free_now, now)) {
        }
    }
    while (lend_to_published_room(shard, job, stage, room_kind::after_short_tasks, now)) {
    }
    if (!find_lendable(shard, job, stage, room_kind::after_short_tasks).empty()) {
        log_no_room(shard, job, stage, now);
    }
}

void send_loans(shard_state& shard, time_point now, shard_actions& actions) {
    release_returned(shard);
    choose_probes(shard, now);
    advance_borrowed_jobs(shard, now, actions);
    send_loan_messages(shard, now, actions);
    collect_due_answers(shard, actions);
}

void on_loan_message(shard_state& shard, const json& body, request_token token, time_point now,
                     unix_time unix_now) {
    const auto kind = body.at("kind").get<std::string>();
    if (kind == "offer") {
        process_offer(shard, body, token, now);
    } else if (kind == "withdraw") {
        process_withdrawal(shard, body, token, now);
    } else {
        process_results(shard, body, token, now, unix_now);
    }
}

void on_loan_reply(shard_state& shard, const loan_message& message,
                   const result<std::string>& state, time_point now) {
    if (shard.ownership_lost) {
        return;
    }
    record_loan_reply(shard, message.to, state, now);
    if (const auto own = shard.tables.loans.find(message.loan);
        own != shard.tables.loans.end() && own->second.job == message.job) {
        auto& loan = own->second;
        loan.in_flight = false;
        if (!state) {
            return;
        }
        if (state.value() == state_taken) {
            loan.accepted = true;
        } else if (state.value() == state_gone && loan.withdrawn) {
            close_loan(shard, message.loan, now);
        } else if (state.value() == state_refused && !loan.withdrawn && !loan.accepted) {
            auto& job = shard.tables.jobs.at(loan.job);
            for (const auto index : loan.tasks) {
                reclaim_task(shard, job, {job.id, loan.occurrence, loan.step, index}, now);
            }
            const auto& step = job.spec.steps[loan.step];
            auto& refused = shard.other_shards[loan.to].refused;
            std::erase_if(refused, [&](const auto& row) { return row.until <= now; });
            refused.push_back(
                {job.queue.service, step.label, step.need, step.gang, now + refusal_pause});
            close_loan(shard, message.loan, now);
        }
        return;
    }
    const auto found = shard.tables.jobs.find(message.job);
    auto* loan =
        found == shard.tables.jobs.end() ? nullptr : find_borrowed(found->second, message.loan);
    if (loan == nullptr) {
        return;
    }
    loan->in_flight = false;
    if (!state || state.value() != state_settled) {
        return;
    }
    // The reported results are settled. Results that were added later are reported next.
    auto& job = found->second;
    auto& stage = job.occurrences.at(loan->occurrence).stages[loan->step];
    const auto reported = json::parse(message.body);
    for (const auto& entry : reported.at("tasks")) {
        const auto index = entry.at(0).get<std::uint32_t>();
        loan->tasks.erase(index);
        stage.tasks[index].loan = 0;
    }
    loan->next_report = now;
    if (loan->tasks.empty()) {
        std::erase_if(job.borrowed,
                      [&](const borrowed_tasks& row) { return row.loan == message.loan; });
    }
    record_change(shard, job, false, now);
}

} // namespace fulmar
