// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// When the list of gateways that the platform keeps is to be written anew.

#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include <reachlead/clock.h>
#include <reachlead/fleetsource.h>

namespace reachlead {

/// Gateways by name.
using Roster = std::map<VmName, GatewayEntry>;

/// Decides for one gateway that watches the store whether to write the roster, by which gateways
/// that start find the others. Not thread-safe, reads no clock.
///
/// An entry that each gateway wrote of itself cost a call for each of them, all at the moment at
/// which a fleet starts, and stayed for ever when its VM was gone. One list that those on watch
/// write, of whom they hear, costs a few calls whatever the size of the fleet. Nothing is agreed:
/// who hears less adds to what is there, so two writers that know different gateways end with all.
class RosterPublisher
{
public:
    /// Between looks whether the roster differs.
    static constexpr Duration checkInterval = seconds(1);
    /// A watcher waits this long for each one before it, and as long itself for what comes
    /// together.
    static constexpr Duration delayPerPosition = seconds(1);
    /// Between two writes: gateways that start one after the other are told together.
    static constexpr Duration minWriteInterval = seconds(3);
    /// Silence after which a gateway is taken off: longer than restarts and cuts last as a rule.
    static constexpr Duration removeAfter = seconds(30);

    /// True when due() is to be asked.
    bool isCheckDue(Time now) const { return !m_lookedAt || *m_lookedAt + checkInterval <= now; }

    /// What is to be written now; nothing when \p known will do. \p live are the gateways that were
    /// heard, this one included; \p rank is its place among those that watch.
    std::optional<Roster> rosterToWrite(const Roster &known, const Roster &live, std::size_t rank,
                                        Time now);

private:
    Roster wanted(const Roster &known, const Roster &live, Time now);

    std::optional<Time> m_lookedAt;
    std::optional<Time> m_differsSince;
    std::optional<Time> m_wroteAt;
    std::map<VmName, Time> m_silentSince; ///< of gateways in the roster
};

} // namespace reachlead
