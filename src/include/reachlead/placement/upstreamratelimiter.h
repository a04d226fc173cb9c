// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Keeps one gateway within its share of a rate limit of the whole fleet.

#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include <reachlead/clock.h>

namespace reachlead {

/// Estimates a rate of calls that follows changes within seconds. Not thread-safe, reads no clock.
class CallRateEstimate
{
public:
    /// Weight of a call decreases by a factor of e in this time: a share follows traffic that moves
    /// within seconds, while single calls are not forgotten between two of them.
    static constexpr Duration timeConstant = seconds(2);

    void add(Time now)
    {
        m_calls = callsAt(now) + 1;
        m_updatedAt = now;
    }

    double callsPerSecond(Time now) const { return callsAt(now) / toSeconds(timeConstant); }

private:
    double callsAt(Time now) const
    {
        return m_calls * std::exp(-toSeconds(now - m_updatedAt) / toSeconds(timeConstant));
    }

    double m_calls = 0; ///< weighted, at m_updatedAt
    Time m_updatedAt{};
};

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
    /// phase against those of the other gateways. A spacing that changes moves the slots, so the
    /// distance to the last call counts as well.
    bool allowsInSlot(Duration spacing, Duration phase, Time now) const
    {
        const Duration sinceSlotStart = (now.time_since_epoch() + spacing - phase) % spacing;
        const Time slotStart = now - sinceSlotStart;
        return sinceSlotStart < std::min(spacing, slotLength)
            && (!m_lastCall
                || (*m_lastCall < slotStart && *m_lastCall + spacing <= now + slotLength));
    }

    void sent(Time now)
    {
        m_lastCall = now;
        m_wanted.add(now);
    }

    /// Records a call that the limit kept from the upstream.
    void blocked(Time now) { m_wanted.add(now); }

    /// Records that a call was placed within this gateway's share of the limit.
    void shareUsed(Time now) { m_shareUsedAt = now; }

    /// The rate of calls that were sent or blocked.
    double wantedPerSecond(Time now) const { return m_wanted.callsPerSecond(now); }

    /// False if all recent calls were placed by the gateway with most of the rate, or there were
    /// none.
    bool usesShare(Time now) const
    {
        return m_shareUsedAt && now < *m_shareUsedAt + CallRateEstimate::timeConstant;
    }

private:
    std::optional<Time> m_lastCall;
    std::optional<Time> m_shareUsedAt;
    CallRateEstimate m_wanted;
};

} // namespace reachlead
