// Decides whether a failed request may be retried.
#pragma once

#include "fulmar/types.hpp"

namespace fulmar {

// Retry budget in hundredths of a retry: each request adds the configured percentage, and a retry
// costs 100.
struct retry_budget {
    std::int64_t hundredths = 0;
};

// Credits the budget for one request, up to the credit of 100 requests.
void deposit_request(retry_budget& budget, std::int64_t percent);

// Result of an attempt, as far as the gate can prove it.
enum class attempt_result : std::uint8_t {
    answered,
    never_sent,       // no byte of the request left the gate
    endpoint_refused, // the endpoint reported that it did not run the request
    broken,           // timeout, broken connection or incomplete answer
};

enum class retry_decision : std::uint8_t { retry, answered, not_run, unknown };

struct retry_context {
    attempt_result result = attempt_result::answered;
    bool idempotent = false;
    int attempts = 1;                  // made so far, including this one
    bool earlier_may_have_run = false; // an earlier attempt may have been run
    time_point deadline{};
};

// Decides whether an attempt is retried, and if not, the request's outcome. A retry is charged to
// the budget. `budget_empty` is set to whether only the budget prevented a retry.
retry_decision decide_retry(retry_budget& budget, const retry_context& context, time_point now,
                            bool& budget_empty);

} // namespace fulmar
