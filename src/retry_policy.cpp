#include "retry_policy.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr int attempt_limit = 3;
constexpr std::int64_t retry_cost = 100;
constexpr std::int64_t budget_requests = 100;

} // namespace

void deposit_request(retry_budget& budget, std::int64_t percent) {
    budget.hundredths = std::min(budget.hundredths + percent, percent * budget_requests);
}

retry_decision decide_retry(retry_budget& budget, const attempt_facts& facts, time_point now,
                            bool& budget_empty) {
    budget_empty = false;
    if (facts.ended == attempt_result::answered) {
        return retry_decision::answered;
    }
    const bool may_have_run = facts.any_broken || facts.ended == attempt_result::broken;
    const auto final = may_have_run ? retry_decision::unknown : retry_decision::not_run;
    const bool safe = facts.idempotent || !may_have_run;
    if (!safe || facts.attempts >= attempt_limit || now >= facts.deadline) {
        return final;
    }
    if (budget.hundredths < retry_cost) {
        budget_empty = true;
        return final;
    }
    budget.hundredths -= retry_cost;
    return retry_decision::retry;
}

} // namespace fulmar
