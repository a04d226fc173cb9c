// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/refusalorder.h>

#include <algorithm>
#include <ranges>

namespace reachlead {

void RefusalOrder::refused(const ServiceName &service, unsigned rank, Time now)
{
    m_services[service].refusedAt[rank] = now;
}

void RefusalOrder::placed(const ServiceName &service, unsigned rank, Time now)
{
    m_services[service].placedAt[rank] = now;
}

std::optional<Duration> RefusalOrder::remainingHold(const ServiceName &service, unsigned rank,
                                                    Time now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return std::nullopt;
    const auto &refusedAt = it->second.refusedAt;
    const auto more = std::ranges::subrange(refusedAt.begin(), refusedAt.lower_bound(rank));
    if (more.empty())
        return std::nullopt;
    const Time last = std::ranges::max(more | std::views::values);
    if (last + m_hold <= now)
        return std::nullopt;
    const auto placed = it->second.placedAt.find(rank);
    const bool isStarved =
        placed == it->second.placedAt.end() || placed->second + floorPause <= now;
    if (isStarved)
        return std::nullopt;
    return last + m_hold - now;
}

} // namespace reachlead
