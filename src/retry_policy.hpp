// Whether a failed request may be sent again.
#pragma once

#include "fulmar/types.hpp"

namespace fulmar {

// Counts in hundredths of a retry: each request adds the configured percentage, a retry costs 100.
struct retry_budget {
    std::int64_t hundredths = 0;
};

// Adds a request's share, up to what 100 requests add.
void deposit_request(retry_budget& budget, std::int64_t percent);

// How an attempt ended, as far as the gate can prove it.
enum class attempt_result : std::uint8_t {
    answered,
    never_sent,       // no byte of the request left the gate
    endpoint_refused, // the endpoint said that it did not run it
    broken,           // timeout, broken connection or incomplete answer
};

enum class retry_decision : std::uint8_t { retry, answered, not_run, unknown };

struct attempt_facts {
    attempt_result ended = attempt_result::answered;
    bool idempotent = false;
    int attempts = 1;        // made so far, this one included
    bool any_broken = false; // an earlier attempt may have been run
    time_point deadline{};
};

// Decides what follows an attempt and takes the cost of a retry from the budget. `budget_empty` is
// set when only the budget prevented a retry.
retry_decision decide_retry(retry_budget& budget, const attempt_facts& facts, time_point now,
                            bool& budget_empty);

} // namespace fulmar
