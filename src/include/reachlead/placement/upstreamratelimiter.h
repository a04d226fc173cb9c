// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Keeps one gateway within its share of a rate limit of the whole fleet.

#pragma once

#include <algorithm>
#include <optional>

#include <reachlead/clock.h>

namespace reachlead {

/// Spaces the calls that one gateway sends to one upstream. Not thread-safe, reads no clock.
///
/// Load pattern: a rate limit applies to all gateways together, also where each of a thousand
/// gateways may send only one call in a thousand. An unused share expires: if it were kept, all
/// gateways could use theirs at the same time.
class UpstreamRateLimiter
{
public:
    /// How long a slot stays open. Longer slots let more gateways send at the same time; in shorter
    /// ones fewer gateways have a call to send.
    static constexpr Duration slotLength = milliseconds(250);

    /// For a single gateway with most of the rate: calls at least \p spacing apart.
    bool allowsNext(Duration spacing, Time now) const
    {
        return !m_lastCall || *m_lastCall + spacing <= now;
    }

    /// For one of many gateways: one call per slot; a slot opens every \p spacing, shifted by \p
    /// phase against those of the other gateways.
    bool allowsInSlot(Duration spacing, Duration phase, Time now) const
    {
        const Duration sinceSlotStart = (now.time_since_epoch() + spacing - phase) % spacing;
        const Time slotStart = now - sinceSlotStart;
        return sinceSlotStart < std::min(spacing, slotLength)
            && (!m_lastCall || *m_lastCall < slotStart);
    }

    void sent(Time now) { m_lastCall = now; }

private:
    std::optional<Time> m_lastCall;
};

} // namespace reachlead
