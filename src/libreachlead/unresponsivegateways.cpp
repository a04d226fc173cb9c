// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/unresponsivegateways.h>

#include <algorithm>

namespace reachlead {

void UnresponsiveGateways::recordFailure(const VmName &vm, Time now)
{
    // Forgets those that nobody asked any more, so that the memory follows the gateways that live.
    std::erase_if(m_silent, [&](const auto &it) { return it.second.until + maxBackoff < now; });
    const auto [it, isNew] =
        m_silent.try_emplace(vm, Silence{now + initialBackoff, initialBackoff});
    if (isNew || now < it->second.until)
        return; // questions that were under way together count as one
    it->second.pause = std::min<Duration>(it->second.pause * 2, maxBackoff);
    it->second.until = now + it->second.pause;
}

bool UnresponsiveGateways::hasAny(Time now) const
{
    return std::ranges::any_of(m_silent, [&](const auto &it) { return now < it.second.until; });
}

bool UnresponsiveGateways::isUnresponsive(const VmName &vm, Time now) const
{
    const auto it = m_silent.find(vm);
    return it != m_silent.end() && now < it->second.until;
}

} // namespace reachlead
