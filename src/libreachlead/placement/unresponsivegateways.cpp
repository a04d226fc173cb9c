// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/unresponsivegateways.h>

#include <algorithm>

namespace reachlead {

void UnresponsiveGateways::recordFailure(const VmName &vm, Time now)
{
    // Drops gateways that are no longer queried, so that the map does not grow with gateways that
    // were removed.
    std::erase_if(m_backoffs, [&](const auto &it) { return it.second.until + maxBackoff < now; });
    const auto [it, isNew] =
        m_backoffs.try_emplace(vm, Backoff{now + initialBackoff, initialBackoff});
    if (isNew || now < it->second.until)
        return; // queries that were pending together count as one failure
    it->second.duration = std::min<Duration>(it->second.duration * 2, maxBackoff);
    it->second.until = now + it->second.duration;
}

bool UnresponsiveGateways::hasAny(Time now) const
{
    return std::ranges::any_of(m_backoffs, [&](const auto &it) { return now < it.second.until; });
}

bool UnresponsiveGateways::isUnresponsive(const VmName &vm, Time now) const
{
    const auto it = m_backoffs.find(vm);
    return it != m_backoffs.end() && now < it->second.until;
}

} // namespace reachlead
