// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/rosterpublisher.h>

#include <algorithm>

#include <reachlead/watcherelection.h>

namespace reachlead {

/// The live gateways, and those of \p known that have been unresponsive for less than removeAfter.
Roster RosterPublisher::makeRoster(const Roster &known, const Roster &live, Time now)
{
    std::erase_if(m_unresponsiveSince, [&](const auto &it) {
        return live.contains(it.first) || !known.contains(it.first);
    });
    Roster roster = live;
    for (const auto &[vm, entry] : known) {
        if (live.contains(vm))
            continue;
        const Time since = m_unresponsiveSince.try_emplace(vm, now).first->second;
        if (now < since + removeAfter)
            roster.emplace(vm, entry);
    }
    return roster;
}

std::optional<Roster> RosterPublisher::rosterToWrite(const Roster &known, const Roster &live,
                                                     std::size_t position, Time now)
{
    m_checkedAt = now;
    Roster roster = makeRoster(known, live, now);
    if (roster == known) {
        m_differsSince.reset();
        return std::nullopt;
    }
    if (!m_differsSince)
        m_differsSince = now;
    const std::size_t slot = std::min(position, WatcherElection::watcherCount - 1);
    const Duration wait = delayPerPosition * (slot + 1);
    const bool isTooSoon = m_wroteAt && now < *m_wroteAt + minWriteInterval;
    if (now < *m_differsSince + wait || isTooSoon)
        return std::nullopt;
    m_wroteAt = now;
    return roster;
}

} // namespace reachlead
