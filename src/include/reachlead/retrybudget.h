// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A budget that limits retries to a fraction of the first attempts, so that retries do not
/// multiply the load during a brown-out.

#pragma once

#include <algorithm>

#include <reachlead/clock.h>

namespace reachlead {

/// The retry budget of one class. Not thread-safe.
class RetryBudget
{
public:
    static constexpr double retriesPerRequest = 0.1; ///< added to the budget by each first attempt
    static constexpr double maxSavedRetries = 20.0; ///< upper bound of the budget

    void recordFirstAttempt() { m_saved = std::min(maxSavedRetries, m_saved + retriesPerRequest); }

    /// Consumes one retry. Returns false when the budget does not allow it.
    bool take()
    {
        if (m_saved < 1.0)
            return false;
        m_saved -= 1.0;
        return true;
    }

private:
    double m_saved = maxSavedRetries / 2;
};

/// Upper bound of the delay before retry \p n, counted from 1. The delay itself is drawn uniformly
/// between zero and this bound (full jitter).
inline Duration maxRetryBackoff(unsigned n)
{
    constexpr Duration base = milliseconds(20);
    constexpr unsigned maxDoublings = 6;
    return base * (1U << std::min(n - 1, maxDoublings));
}

} // namespace reachlead
