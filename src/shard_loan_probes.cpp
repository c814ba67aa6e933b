// When loan messages are sent: while the owner of a shard processes none, one at a time is sent to
// it.
#include "shard_loan_messages.hpp"

#include <algorithm>

namespace fulmar {

bool is_message_due(const job_row& job, const loan_row& loan, time_point now) {
    return !loan.in_flight && now >= loan.next_send && job.stored_version >= loan.version &&
           (!loan.accepted || loan.withdrawn);
}

bool is_reportable(const job_row& job, const task_row& task) {
    return task.result != loan_result::pending && task.result_version <= job.stored_version;
}

bool is_report_due(const job_row& job, const borrowed_tasks& loan, time_point now) {
    if (loan.in_flight || now < loan.next_report || loan.withdrawn) {
        return false;
    }
    const auto& stage = job.occurrences.at(loan.occurrence).stages[loan.step];
    return std::any_of(loan.tasks.begin(), loan.tasks.end(),
                       [&](std::uint32_t index) { return is_reportable(job, stage.tasks[index]); });
}

void choose_probes(shard_state& shard, time_point now) {
    if (shard.silent_receivers.empty()) {
        return;
    }
    for (auto& [id, receiver] : shard.silent_receivers) {
        receiver.first_due = time_point::max();
    }
    const auto consider = [&](const shard_id& to, time_point due) {
        const auto receiver = shard.silent_receivers.find(to);
        if (receiver != shard.silent_receivers.end()) {
            receiver->second.first_due = std::min(receiver->second.first_due, due);
        }
    };
    for (const auto& [number, loan] : shard.tables.loans) {
        if (is_message_due(shard.tables.jobs.at(loan.job), loan, now)) {
            consider(loan.to, loan.next_send);
        }
    }
    for (const auto& id : shard.active) {
        const auto& job = shard.tables.jobs.at(id);
        for (const auto& loan : job.borrowed) {
            if (is_report_due(job, loan, now)) {
                consider(job.lender, loan.next_report);
            }
        }
    }
}

bool may_send(shard_state& shard, const shard_id& to, time_point due, time_point now) {
    const auto receiver = shard.silent_receivers.find(to);
    if (receiver == shard.silent_receivers.end()) {
        return true;
    }
    if (now < receiver->second.next_probe || due > receiver->second.first_due) {
        return false;
    }
    receiver->second.next_probe = now + shard.timing.loan_retry;
    return true;
}

void record_loan_reply(shard_state& shard, const shard_id& from, const result<std::string>& state,
                       time_point now) {
    if (state || state.error().kind == error_kind::protocol_error) {
        shard.silent_receivers.erase(from); // it processes messages
        return;
    }
    // An owner that doesn't answer at all has had its pause: the time until the call ended.
    const bool answered = state.error().kind == error_kind::unavailable;
    // Messages that were sent before the first failure fail together.
    shard.silent_receivers.try_emplace(
        from, silent_receiver{answered ? now + shard.timing.loan_retry : now, {}});
}

void on_owner_changed(shard_state& shard, const shard_id& other) {
    const auto receiver = shard.silent_receivers.find(other);
    if (receiver != shard.silent_receivers.end()) {
        receiver->second.next_probe = {}; // one message: it may still be loading the shard
    }
}

} // namespace fulmar
