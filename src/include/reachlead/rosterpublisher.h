// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides when the roster of gateways stored by the platform is rewritten.

#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include <reachlead/clock.h>
#include <reachlead/fleetsource.h>

namespace reachlead {

/// Gateways by name.
using Roster = std::map<VmName, GatewayEntry>;

/// Decides for a gateway that watches the store whether to write the roster, from which starting
/// gateways learn of the others. Not thread-safe, reads no clock.
///
/// Entries written by each gateway for itself would cost one call per gateway, all at the time when
/// a fleet starts, and would stay forever after their VM was removed. A single list, written by the
/// watchers from the gateways that they receive heartbeats from, costs a few calls whatever the
/// size of the fleet. The writers need no agreement: each one adds to the stored list, so that two
/// of them that know different gateways end up with a complete list.
class RosterPublisher
{
public:
    /// Interval between checks whether the roster differs.
    static constexpr Duration checkInterval = seconds(1);
    /// A watcher delays a write by this for each watcher before it, and by the same once more to
    /// collect changes that come together.
    static constexpr Duration delayPerPosition = seconds(1);
    /// Minimum interval between writes: gateways that start one after the other share a write.
    static constexpr Duration minWriteInterval = seconds(3);
    /// Time without heartbeats after which a gateway is removed: longer than most restarts and
    /// network partitions.
    static constexpr Duration removeAfter = seconds(30);

    /// True when rosterToWrite() is to be called.
    bool isCheckDue(Time now) const { return !m_checkedAt || *m_checkedAt + checkInterval <= now; }

    /// The roster to write now; empty if \p known needs no change yet. \p live are the gateways
    /// that heartbeats were received from, this one included; \p position is its position among
    /// the watchers.
    std::optional<Roster> rosterToWrite(const Roster &known, const Roster &live,
                                        std::size_t position, Time now);

private:
    Roster makeRoster(const Roster &known, const Roster &live, Time now);

    std::optional<Time> m_checkedAt;
    std::optional<Time> m_differsSince;
    std::optional<Time> m_wroteAt;
    std::map<VmName, Time> m_unresponsiveSince; ///< gateways of the roster
};

} // namespace reachlead
