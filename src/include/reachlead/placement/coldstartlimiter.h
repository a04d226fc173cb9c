// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Limits the call rate of an upstream that has just started.

#pragma once

#include <algorithm>
#include <cstdint>

#include <reachlead/clock.h>
#include <reachlead/storerevision.h>

namespace reachlead {

/// Spaces the calls that one selector sends to a cold upstream. Not thread-safe, reads no clock.
///
/// Load pattern: an upstream that has just started is empty, so every selector finds it the least
/// loaded and sends it all calls of a second. A cold upstream crashes above its service's cold
/// rate, and is cold again after the restart. Calls are spaced evenly: any second holds at most one
/// call more than the rate, and two schedulers that both place calls for the whole fleet stay below
/// twice the rate.
class ColdStartLimiter
{
public:
    /// Takes over the remaining cold time \p left from the given \p revision of the upstream's
    /// registry entry. The first call is allowed after \p phase, so that gateways that share the
    /// rate do not all start at once.
    void update(StoreRevision revision, Duration left, Duration phase, Time now)
    {
        const bool isNewRevision = revision != m_revision;
        if (!isNewRevision && !m_isAssumptionPending)
            return;
        m_revision = revision;
        m_isAssumptionPending = false;
        if (m_coldUntil <= now)
            m_nextCall = now + phase;
        if (isNewRevision)
            m_coldUntil = now + left;
        m_coldUntil = std::max(m_coldUntil, m_assumedColdUntil);
    }

    /// Treats the upstream as cold for \p duration, from the next update() on, because its state is
    /// unknown.
    void assumeCold(Duration duration, Time now)
    {
        m_assumedColdUntil = now + duration;
        m_isAssumptionPending = true;
    }

    /// True if a call may be sent now: the upstream is warm, or the last call was long enough ago.
    bool allows(Time now) const { return m_coldUntil <= now || m_nextCall <= now; }

    /// Records a call; while the upstream is cold, the next one is allowed after \p spacing.
    void sent(Time now, Duration spacing) { m_nextCall = std::max(m_nextCall, now + spacing); }

private:
    StoreRevision m_revision; ///< of the registry entry taken over last
    Time m_coldUntil{}; ///< end of the reported cold time
    Time m_assumedColdUntil{}; ///< end of the assumed cold time, whatever the registry reports
    bool m_isAssumptionPending = false;
    Time m_nextCall{}; ///< earliest time of the next call
};

} // namespace reachlead
