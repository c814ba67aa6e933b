// Offers of tasks by other shards: their verification against the lender's record in the store, and
// their acceptance.
#include "shard_loan_messages.hpp"

#include <algorithm>

namespace fulmar {

namespace {

// Returns whether the lender's record, as stored, includes the loan that a message is about.
bool record_includes_loan(const json& body, std::string_view lender_progress) {
    const auto progress = json::parse(lender_progress, nullptr, false);
    if (!progress.is_object() || has_ended(static_cast<job_phase>(progress.value("phase", 0)))) {
        return false;
    }
    const auto loans = progress.value("loans", json::array());
    return std::any_of(loans.begin(), loans.end(), [&](const json& row) {
        return row.at(0) == body.at("loan") && row.at(1) == body.at("to");
    });
}

// Keeps the records of a borrowed job that were to be removed. Returns false if a transaction that
// removes them may take effect.
bool keep_borrowed_job(shard_state& shard, const job_id& id) {
    const auto& removed = shard.commit.purged;
    if (shard.commit.pending && std::find(removed.begin(), removed.end(), id) != removed.end()) {
        return false;
    }
    std::erase(shard.to_purge, id);
    return true;
}

// An offer as it was received; nothing in it has been compared with the job yet.
struct loan_offer {
    borrowed_tasks loan;
    std::vector<std::pair<std::uint32_t, task_row>> tasks;
    std::optional<job_row> job; // only if the job isn't known here
};

// Throws a std::exception if the body is malformed or doesn't match the job's steps.
loan_offer parse_offer(const json& body, const job_id& id, const job_row* known) {
    loan_offer offer;
    if (known == nullptr) {
        auto& row = offer.job.emplace();
        row.id = id;
        row.lender = body.at("from").get<shard_id>();
        row.queue = decode_queue(body.at("queue"));
        row.spec = decode_spec(body.at("spec"));
        row.accepted = body.at("accepted").get<unix_time>();
        row.phase = job_phase::running;
        row.spec_stored = true;
    }
    auto& loan = offer.loan;
    loan.loan = body.at("loan").get<std::uint64_t>();
    loan.occurrence = body.at("occurrence").get<std::uint32_t>();
    loan.step = body.at("step").get<std::uint32_t>();
    const auto& step = (known == nullptr ? *offer.job : *known).spec.steps.at(loan.step);
    for (const auto& entry : body.at("tasks")) {
        const auto index = entry.at(0).get<std::uint32_t>();
        if (index >= step.count) {
            throw std::out_of_range("the step has no task " + std::to_string(index));
        }
        decode_task(entry, offer.tasks.emplace_back(index, task_row{}).second);
        loan.tasks.insert(index);
    }
    return offer;
}

} // namespace

bool is_new_offer(const shard_state& shard, const json& body) {
    if (body.at("kind") != "offer") {
        return false;
    }
    const auto job = shard.tables.jobs.find(body.at("job").get<job_id>());
    const auto number = body.at("loan").get<std::uint64_t>();
    return job == shard.tables.jobs.end() ||
           std::none_of(job->second.borrowed.begin(), job->second.borrowed.end(),
                        [&](const borrowed_tasks& row) { return row.loan == number; });
}

offer_check_id begin_offer_check(shard_state& shard, const json& body) {
    const offer_check_id id{++shard.last_offer_check};
    shard.offer_checks.push_back(
        {id, body.at("job").get<job_id>(), body.at("loan").get<std::uint64_t>()});
    return id;
}

offer_verdict finish_offer_check(shard_state& shard, offer_check_id id, const json& body,
                                 const result<std::optional<store_entry>>& record) {
    const auto found =
        std::find_if(shard.offer_checks.begin(), shard.offer_checks.end(),
                     [&](const shard_state::offer_check& row) { return row.id == id; });
    const auto check = *found;
    shard.offer_checks.erase(found);
    if (!is_new_offer(shard, body)) {
        return offer_verdict::valid; // another attempt was accepted, and has to be confirmed
    }
    if (check.cancelled) {
        return offer_verdict::withdrawn;
    }
    if (!record) {
        return offer_verdict::unknown;
    }
    if (!record.value() || !record_includes_loan(body, record.value()->value)) {
        cancel_offer_checks(shard, check.job, check.loan);
        return offer_verdict::outdated;
    }
    return offer_verdict::valid;
}

void process_offer(shard_state& shard, const json& body, request_token token, time_point now) {
    const auto id = body.at("job").get<job_id>();
    const auto number = body.at("loan").get<std::uint64_t>();
    const auto known = shard.tables.jobs.find(id);
    if (known != shard.tables.jobs.end()) {
        if (!is_borrowed(known->second) || !keep_borrowed_job(shard, id)) {
            answer_now(shard, token, state_retry);
            return;
        }
        if (const auto* loan = find_borrowed(known->second, number)) {
            answer_when_stored(shard, id, number, loan->version, token, state_taken);
            return;
        }
    }
    const auto refuse = [&] {
        cancel_offer_checks(shard, id, number);
        remember_dropped(shard, id, number);
        answer_when_confirmed(shard, id, number, token, state_refused, now);
    };
    // The lender runs the tasks elsewhere once an attempt was refused.
    if (was_dropped(shard, id, number)) {
        refuse();
        return;
    }
    // All of the body is read before anything changes.
    auto offer = parse_offer(body, id, known == shard.tables.jobs.end() ? nullptr : &known->second);
    const auto& offered = offer.job ? *offer.job : known->second;
    const auto& step = offered.spec.steps[offer.loan.step];
    if (!could_run_here(shard, offered.queue.service, step)) {
        refuse();
        shard.log->write("event=offer_refused job={} shard={} from={} loan={} step={}", id.value,
                         shard.id.value, body.at("from").get<std::string>(), number,
                         offer.loan.step);
        return;
    }
    if (offer.job) {
        shard.tables.jobs.insert_or_assign(id, std::move(*offer.job));
        shard.unstored_borrowed_jobs.insert(id);
        shard.active.insert(id);
    }
    auto& job = shard.tables.jobs.at(id);
    auto& loan = offer.loan;
    loan.since = now;
    auto& stage = find_borrowed_stage(job, loan.occurrence, loan.step);
    for (const auto& [index, received] : offer.tasks) {
        auto& task = stage.tasks.at(index);
        task.failed_runs = received.failed_runs;
        task.last_run = received.last_run;
        task.checkpoint = received.checkpoint;
        task.waiting_since = received.waiting_since;
        task.idle_since.reset();
        task.recorded_on.reset();
        task.planned_on.clear();
        task.no_unknown_run = !step.gang; // its lender knows that it runs nowhere
        task.parked = records_starts(step) && task.runs.empty();
        task.parked_by = shard.epoch;
        task.loan = number;
        task.not_local = false;
        task.done = false;
        task.result = loan_result::pending;
        stage.waiting.insert(index);
    }
    stage.ready_since.reset();
    record_change(shard, job, true, now);
    loan.version = job.version;
    job.borrowed.push_back(std::move(loan));
    // Once the loan has ended, no other attempt must begin it anew.
    cancel_offer_checks(shard, id, number);
    answer_when_stored(shard, id, number, job.version, token, state_taken);
    shard.counters->count("loans", "taken");
    shard.log->write("event=tasks_borrowed job={} shard={} from={} loan={} tasks={}", id.value,
                     shard.id.value, job.lender.value, number, job.borrowed.back().tasks.size());
}

void cancel_offer_checks(shard_state& shard, const job_id& job, std::uint64_t loan) {
    for (auto& check : shard.offer_checks) {
        check.cancelled = check.cancelled || (check.job == job && check.loan == loan);
    }
}

} // namespace fulmar
