#include "retry_policy.hpp"

#include <algorithm>

namespace fulmar {

namespace {

constexpr int max_attempts = 3;
constexpr std::int64_t retry_cost = 100;
constexpr std::int64_t max_saved_requests = 100;

} // namespace

void deposit_request(retry_budget& budget, std::int64_t percent) {
    budget.hundredths = std::min(budget.hundredths + percent, percent * max_saved_requests);
}

retry_decision decide_retry(retry_budget& budget, const retry_context& context, time_point now,
                            bool& budget_empty) {
    budget_empty = false;
    if (context.result == attempt_result::answered) {
        return retry_decision::answered;
    }
    const bool may_have_run =
        context.earlier_may_have_run || context.result == attempt_result::broken;
    const auto outcome = may_have_run ? retry_decision::unknown : retry_decision::not_run;
    const bool may_retry = context.idempotent || !may_have_run;
    if (!may_retry || context.attempts >= max_attempts || now >= context.deadline) {
        return outcome;
    }
    if (budget.hundredths < retry_cost) {
        budget_empty = true;
        return outcome;
    }
    budget.hundredths -= retry_cost;
    return retry_decision::retry;
}

} // namespace fulmar
