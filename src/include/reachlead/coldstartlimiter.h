// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How fast calls may come to an upstream that has just started.

#pragma once

#include <algorithm>
#include <cstdint>

#include <reachlead/clock.h>

namespace reachlead {

/// Spaces the calls that one chooser sends to a cold upstream. Not thread-safe, reads no clock.
///
/// The load pattern it answers: an upstream that just started is empty, so to each chooser it is
/// the least loaded, and all calls of a second go there. A cold upstream ends under more than its
/// service's rate, and is then cold again. Calls are spaced evenly: any second holds one more than
/// the rate at most, and two schedulers that both believe to place for all stay below twice that.
class ColdStartLimiter
{
public:
    /// The registry said, with this \p revision of the upstream's entry, that it is cold for \p
    /// left more. The first call may be sent after \p phase: gateways that each have a part of the
    /// rate do not all begin at once.
    void told(std::uint64_t revision, Duration left, Duration phase, Time now)
    {
        const bool isTold = revision != m_revision;
        if (!isTold && !m_isDoubtNew)
            return;
        m_revision = revision;
        m_isDoubtNew = false;
        if (m_until <= now)
            m_next = now + phase;
        if (isTold)
            m_until = now + left;
        m_until = std::max(m_until, m_doubtUntil);
    }

    /// It is not known whether the upstream is cold: for \p span it counts as cold, from the next
    /// told() on.
    void doubted(Duration span, Time now)
    {
        m_doubtUntil = now + span;
        m_isDoubtNew = true;
    }

    /// True when a call may be sent there now: it is warm, or the last call was long enough ago.
    bool allows(Time now) const { return m_until <= now || m_next <= now; }

    /// A call was sent; the next may follow after \p spacing while it is cold.
    void sent(Time now, Duration spacing) { m_next = std::max(m_next, now + spacing); }

private:
    std::uint64_t m_revision = 0; ///< of the entry that was taken up last
    Time m_until{}; ///< it is cold
    Time m_doubtUntil{}; ///< it may be cold, whatever is told
    bool m_isDoubtNew = false;
    Time m_next{}; ///< the next call may be sent
};

} // namespace reachlead
