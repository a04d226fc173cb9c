// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tells a peer that stopped reading from a connection that broke for other reasons.

#pragma once

#include <algorithm>
#include <optional>

#include <reachlead/clock.h>

namespace reachlead {

/// Follows the writes of one answer to a caller. While a write waits, the gateway reads nothing
/// from the upstream, and an upstream cuts an answer that stays unread for some seconds. So a
/// connection that breaks during a long wait, or shortly after it, was lost to the caller, and is
/// no evidence against the upstream. Pure; the caller of each function supplies the time.
class StallTracker
{
public:
    /// Waits shorter than \p stallTime are not stalls: links delay writes, and upstreams wait
    /// longer than that before they cut.
    explicit StallTracker(Duration stallTime = defaultStallTime) : m_stallTime(stallTime) { }

    void writeBegan(Time now) { m_waitingSince = now; }
    void writeEnded(Time now)
    {
        const Duration waited = currentWait(now);
        m_waitingSince.reset();
        m_longest = std::max(m_longest, waited);
        if (waited >= m_stallTime)
            m_stallEndedAt = now;
    }

    bool isWriting() const { return m_waitingSince.has_value(); }
    Duration currentWait(Time now) const
    {
        return m_waitingSince ? Duration(now - *m_waitingSince) : Duration{};
    }
    Duration longestWait(Time now) const { return std::max(m_longest, currentWait(now)); }
    bool hasStalled(Time now) const { return longestWait(now) >= m_stallTime; }

    /// True if a connection to an upstream that breaks now was lost to the caller.
    bool explainsLoss(Time now) const
    {
        const bool isRecent = m_stallEndedAt && now - *m_stallEndedAt <= recentTime;
        return isRecent || currentWait(now) >= m_stallTime;
    }

    static constexpr Duration defaultStallTime = milliseconds(1000);
    /// Time to pass on what had arrived before the upstream cut its answer.
    static constexpr Duration recentTime = milliseconds(2000);

private:
    Duration m_stallTime;
    std::optional<Time> m_waitingSince; ///< of the write in progress
    std::optional<Time> m_stallEndedAt; ///< of the last stall
    Duration m_longest{};
};

} // namespace reachlead
