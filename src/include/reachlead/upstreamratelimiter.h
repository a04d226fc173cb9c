// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How one gateway keeps to its part of a rate that all gateways share.

#pragma once

#include <algorithm>
#include <optional>

#include <reachlead/clock.h>

namespace reachlead {

/// Spaces the calls that one gateway sends to one upstream. Not thread-safe, reads no clock.
///
/// The load pattern it answers: a rate that holds for all gateways together, also where each of a
/// thousand has a call in a thousand. A part that was not used is lost: were it kept, all gateways
/// could use theirs at once.
class UpstreamRateLimiter
{
public:
    /// How long a call may be sent after its moment has come. The longer, the more gateways may
    /// send at once; the shorter, the fewer find a call to send.
    static constexpr Duration slotLength = milliseconds(250);

    /// For the one gateway that has most of the rate: calls at least \p spacing apart.
    bool allowsNext(Duration spacing, Time now) const
    {
        return !m_last || *m_last + spacing <= now;
    }

    /// For one of many gateways: one call in the slot that begins each \p spacing, \p phase behind
    /// the others' slots.
    bool allowsInSlot(Duration spacing, Duration phase, Time now) const
    {
        const Duration into = (now.time_since_epoch() + spacing - phase) % spacing;
        const Time begin = now - into;
        return into < std::min(spacing, slotLength) && (!m_last || *m_last < begin);
    }

    /// A call was sent.
    void sent(Time now) { m_last = now; }

private:
    std::optional<Time> m_last;
};

} // namespace reachlead
