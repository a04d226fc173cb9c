// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/rosterpublisher.h>

#include <algorithm>

#include <reachlead/watcherelection.h>

namespace reachlead {

/// The gateways that live, and those that have not been silent for long.
Roster RosterPublisher::wanted(const Roster &known, const Roster &live, Time now)
{
    std::erase_if(m_silentSince, [&](const auto &it) {
        return live.contains(it.first) || !known.contains(it.first);
    });
    Roster made = live;
    for (const auto &[vm, entry] : known) {
        if (live.contains(vm))
            continue;
        const Time since = m_silentSince.try_emplace(vm, now).first->second;
        if (now < since + removeAfter)
            made.emplace(vm, entry);
    }
    return made;
}

std::optional<Roster> RosterPublisher::rosterToWrite(const Roster &known, const Roster &live,
                                                     std::size_t rank, Time now)
{
    m_lookedAt = now;
    Roster made = wanted(known, live, now);
    if (made == known) {
        m_differsSince.reset();
        return std::nullopt;
    }
    if (!m_differsSince)
        m_differsSince = now;
    const std::size_t place = std::min(rank, WatcherElection::watcherCount - 1);
    const Duration wait = delayPerPosition * (place + 1);
    const bool isPaused = m_wroteAt && now < *m_wroteAt + minWriteInterval;
    if (now < *m_differsSince + wait || isPaused)
        return std::nullopt;
    m_wroteAt = now;
    return made;
}

} // namespace reachlead
