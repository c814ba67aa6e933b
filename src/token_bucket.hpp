// Token bucket without a clock of its own; the rate may change between calls.
#pragma once

#include "fulmar/types.hpp"

#include <algorithm>

namespace fulmar {

// Holds at most the tokens of one second. `tokens` is negative while the bucket is in debt.
struct token_bucket {
    double tokens = 0;
    time_point last_refill{};
    bool started = false;
};

// Adds the tokens that accrued since the last refill. The bucket is initially full.
inline void refill_tokens(token_bucket& bucket, double per_second, time_point now) {
    if (!bucket.started) {
        bucket = {per_second, now, true};
        return;
    }
    const auto elapsed =
        static_cast<double>(std::max(duration(0), now - bucket.last_refill).count());
    bucket.tokens = std::min(per_second, bucket.tokens + per_second * elapsed / 1'000);
    bucket.last_refill = now;
}

// Consumes tokens and returns true if enough are available. An amount above the bucket's capacity
// needs a full bucket and leaves it in debt; otherwise it would be refused forever.
inline bool try_consume_tokens(token_bucket& bucket, double amount, double per_second,
                               time_point now) {
    refill_tokens(bucket, per_second, now);
    if (per_second <= 0 || bucket.tokens < std::min(amount, per_second)) {
        return false;
    }
    bucket.tokens -= amount;
    return true;
}

// Charges a cost that is known only afterwards. This may leave the bucket in debt, and
// try_consume_tokens fails until refills have repaid it.
inline void charge_tokens(token_bucket& bucket, double amount) {
    bucket.tokens -= amount;
}

} // namespace fulmar
