// What the source files that process messages about lent tasks share.
#pragma once

#include "shard_internal.hpp"

#include <string_view>

namespace fulmar {

// Answers to the messages.
inline constexpr std::string_view state_taken = "taken";     // the offered tasks are stored
inline constexpr std::string_view state_refused = "refused"; // they aren't and won't be
inline constexpr std::string_view state_gone = "gone";       // no task of the loan starts any more
inline constexpr std::string_view state_settled = "settled"; // the results are stored
inline constexpr std::string_view state_retry = "retry";     // nothing was done; repeat the message

// Reads what a message says about a task. Throws a std::exception if it is malformed.
void decode_task(const json& from, task_row& task);

// Returns a loan of a borrowed job, or nullptr.
borrowed_tasks* find_borrowed(job_row& job, std::uint64_t loan);

void answer_now(shard_state& shard, request_token token, std::string_view state);

// Answers once this version of the job's record is stored: the one that holds what the message
// asked for, as the record may keep changing. The answer to a repeated message replaces the one to
// its predecessor, whose sender no longer waits.
void answer_when_stored(shard_state& shard, const job_id& job, std::uint64_t loan,
                        std::uint64_t version, request_token token, std::string_view state);

// Answers a message about a loan that this owner doesn't know, once the store has confirmed after
// the message's arrival that this is still the shard's owner: another one may know the loan.
void answer_when_confirmed(shard_state& shard, const job_id& job, std::uint64_t loan,
                           request_token token, std::string_view state, time_point now);

// Returns whether a loan was dropped after its withdrawal, or refused, lately.
bool was_dropped(const shard_state& shard, const job_id& job, std::uint64_t loan);

void remember_dropped(shard_state& shard, const job_id& job, std::uint64_t loan);

// Makes sure that no offer of a loan is accepted because of a record of the lender that was read
// before.
void cancel_offer_checks(shard_state& shard, const job_id& job, std::uint64_t loan);

// Return whether a message about a loan is to be sent, or again, as far as the loan is concerned.
bool is_message_due(const job_row& job, const loan_row& loan, time_point now);
bool is_report_due(const job_row& job, const borrowed_tasks& loan, time_point now);

// Returns whether a borrowed task's result may be reported: it is stored.
bool is_reportable(const job_row& job, const task_row& task);

// Chooses for each receiver that is silent the message that is sent next: the one that has waited
// longest, so that one that always fails doesn't keep the others back.
void choose_probes(shard_state& shard, time_point now);

// Returns whether the receiver may get a message that was due at `due`. If it is silent, the
// message is the next probe.
bool may_send(shard_state& shard, const shard_id& to, time_point due, time_point now);

// Notes whether the receiver processes loan messages.
void record_loan_reply(shard_state& shard, const shard_id& from, const result<std::string>& state,
                       time_point now);

void process_offer(shard_state& shard, const json& body, request_token token, time_point now);

} // namespace fulmar
