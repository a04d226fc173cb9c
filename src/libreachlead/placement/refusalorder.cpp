// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/refusalorder.h>

#include <algorithm>
#include <ranges>

namespace reachlead {

void RefusalOrder::refused(const ServiceName &service, unsigned urgencyRank, Time now)
{
    m_services[service].refusedAt[urgencyRank] = now;
}

void RefusalOrder::placed(const ServiceName &service, unsigned urgencyRank, Time now)
{
    m_services[service].placedAt[urgencyRank] = now;
}

std::optional<Duration> RefusalOrder::remainingHold(const ServiceName &service,
                                                    unsigned urgencyRank, Time now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return std::nullopt;
    const auto &refusedAt = it->second.refusedAt;
    const auto moreUrgent =
        std::ranges::subrange(refusedAt.begin(), refusedAt.lower_bound(urgencyRank));
    if (moreUrgent.empty())
        return std::nullopt;
    const Time lastRefused = std::ranges::max(moreUrgent | std::views::values);
    if (lastRefused + m_hold <= now)
        return std::nullopt;
    const auto placed = it->second.placedAt.find(urgencyRank);
    const bool isStarved =
        placed == it->second.placedAt.end() || placed->second + floorInterval <= now;
    if (isStarved)
        return std::nullopt;
    return lastRefused + m_hold - now;
}

} // namespace reachlead
