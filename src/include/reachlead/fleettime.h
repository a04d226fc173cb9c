// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The time of day that a fleet agrees on, whatever one VM's clock says.

#pragma once

#include <cstdint>
#include <map>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// Milliseconds since the start of 1970, UTC.
using UnixMillis = std::int64_t;

/// This VM's time of day; moves with the runtime's clock while that is paused.
UnixMillis vmTimeOfDay();

/// Learns the time of day from the clocks of all gateways that are heard. Not thread-safe, reads no
/// clock.
///
/// A VM's time of day may jump by seconds, so no single one decides: the median does. Offsets
/// against the steady clock are kept, which goes on evenly while a clock jumps.
class FleetTime
{
public:
    /// A clock said \p clock at \p at; this VM's own has the name of its VM as well.
    void recordClock(const VmName &vm, UnixMillis clock, Time at);

    /// The fleet's time of day at \p at; 0 before any clock was noted.
    UnixMillis at(Time at) const;

    /// Forgets clocks that were not heard for maxClockAge.
    void dropOld(Time now);

    /// A gateway is heard about each ten seconds in a large fleet.
    static constexpr Duration maxClockAge = seconds(30);

private:
    struct Clock
    {
        std::int64_t offsetMs = 0; ///< time of day less the steady clock's
        Time heard;
    };

    void findMedian();

    std::map<VmName, Clock> m_clocks;
    std::int64_t m_offsetMs = 0; ///< the median of theirs
};

} // namespace reachlead
