// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A time of day common to the fleet, which tolerates wrong clocks of single VMs.

#pragma once

#include <cstdint>
#include <map>

#include <reachlead/clock.h>
#include <reachlead/ids.h>

namespace reachlead {

/// Milliseconds since the start of 1970, UTC.
using UnixMillis = std::int64_t;

/// This VM's time of day; follows RuntimeClock while that is paused.
UnixMillis vmTimeOfDay();

/// Derives the time of day from the clocks of all gateways from which heartbeats are received. Not
/// thread-safe, reads no clock.
///
/// A VM's time of day may jump by seconds, so the median of all clocks is used. Each clock is
/// stored as its offset from the steady clock, which is not affected by such jumps.
class FleetTime
{
public:
    /// Records that the clock of \p vm showed \p clock at \p at. This VM's clock is recorded as
    /// well, under the VM's own name.
    void recordClock(const VmName &vm, UnixMillis clock, Time at);

    /// The fleet's time of day at \p at; 0 while no clock is known.
    UnixMillis at(Time at) const;

    /// Drops clocks that were last received more than maxClockAge ago.
    void dropOld(Time now);

    /// In a large fleet a heartbeat of each gateway arrives about every 10 s.
    static constexpr Duration maxClockAge = seconds(30);

private:
    struct Clock
    {
        std::int64_t offsetMs = 0; ///< time of day less the steady clock's
        Time lastReceived;
    };

    void updateMedian();

    std::map<VmName, Clock> m_clocks;
    std::int64_t m_offsetMs = 0; ///< median over m_clocks
};

} // namespace reachlead
