// Token bucket as a plain value; the rate may change between calls.
#pragma once

#include "fulmar/types.hpp"

#include <algorithm>

namespace fulmar {

// Holds at most one second's worth of tokens. May be in debt after charge_tokens.
struct token_bucket {
    double tokens = 0;
    time_point filled{};
    bool started = false;
};

// Adds the tokens that have accrued since the last call; the bucket starts full.
inline void fill_tokens(token_bucket& bucket, double per_second, time_point now) {
    if (!bucket.started) {
        bucket = {per_second, now, true};
        return;
    }
    const auto elapsed = static_cast<double>(std::max(duration(0), now - bucket.filled).count());
    bucket.tokens = std::min(per_second, bucket.tokens + per_second * elapsed / 1'000);
    bucket.filled = now;
}

// Takes tokens if that many are there. An amount above the bucket's size needs a full bucket and
// leaves a debt, or it could never pass.
inline bool take_tokens(token_bucket& bucket, double amount, double per_second, time_point now) {
    fill_tokens(bucket, per_second, now);
    if (per_second <= 0 || bucket.tokens < std::min(amount, per_second)) {
        return false;
    }
    bucket.tokens -= amount;
    return true;
}

// Takes tokens for a cost that is known only afterwards; later takes wait until the debt is repaid.
inline void charge_tokens(token_bucket& bucket, double amount) {
    bucket.tokens -= amount;
}

} // namespace fulmar
