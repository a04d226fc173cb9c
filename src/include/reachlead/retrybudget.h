// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A budget of retries: a fraction of first tries, so that a brown-out is not multiplied.

#pragma once

#include <algorithm>

#include <reachlead/clock.h>

namespace reachlead {

/// The retries one class may make. Not thread-safe.
class RetryBudget
{
public:
    static constexpr double retriesPerRequest = 0.1; ///< retries earned by each first try
    static constexpr double maxSavedRetries = 20.0; ///< retries that can be saved up

    void recordFirstAttempt() { m_saved = std::min(maxSavedRetries, m_saved + retriesPerRequest); }

    /// Takes one retry; false when none is left.
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

/// The longest pause before retry \p n (1 is the first); the pause itself is drawn evenly between
/// zero and this (full jitter).
inline Duration maxRetryBackoff(unsigned n)
{
    constexpr Duration base = milliseconds(20);
    constexpr unsigned mostDoublings = 6;
    return base * (1U << std::min(n - 1, mostDoublings));
}

} // namespace reachlead
