// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/placement/refusalorder.h>

#include <algorithm>
#include <limits>
#include <ranges>
#include <utility>

namespace reachlead {

void RefusalOrder::hold(const ServiceName &service, unsigned urgencyRank, Time until, Source source)
{
    auto &heldUntil = m_services[service].heldUntil[static_cast<std::size_t>(source)];
    Time &last = heldUntil.try_emplace(urgencyRank, until).first->second;
    last = std::max(last, until);
}

void RefusalOrder::delayed(const ServiceName &service, unsigned urgencyRank, Time now)
{
    hold(service, urgencyRank, now + m_hold, Source::Own);
}

void RefusalOrder::refused(const ServiceName &service, unsigned urgencyRank, Time now)
{
    hold(service, urgencyRank, now + refusalHolds * m_hold, Source::Own);
}

/// The end of the holds by more urgent ranks; none if there was none.
std::optional<Time> RefusalOrder::heldUntil(const Service &service, unsigned urgencyRank)
{
    std::optional<Time> last;
    for (const auto &heldUntil : service.heldUntil) {
        const auto moreUrgent =
            std::ranges::subrange(heldUntil.begin(), heldUntil.lower_bound(urgencyRank));
        for (const Time until : moreUrgent | std::views::values)
            last = std::max(last.value_or(until), until);
    }
    return last;
}

void RefusalOrder::placed(const ServiceName &service, unsigned urgencyRank, Time now)
{
    Service &known = m_services[service];
    known.placedAt[urgencyRank] = now;
    const std::optional<Time> until = heldUntil(known, urgencyRank);
    if (!until || *until <= now)
        known.placedFreelyAt[urgencyRank] = now;
}

bool RefusalOrder::hasLessUrgentWork(const ServiceName &service, unsigned urgencyRank,
                                     Time now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return false;
    const auto &placedAt = it->second.placedFreelyAt;
    const auto lessUrgent =
        std::ranges::subrange(placedAt.upper_bound(urgencyRank), placedAt.end());
    return std::ranges::any_of(lessUrgent | std::views::values,
                               [now](Time at) { return now < at + workTime; });
}

std::optional<Duration> RefusalOrder::remainingHold(const ServiceName &service,
                                                    unsigned urgencyRank, Time now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return std::nullopt;
    const std::optional<Time> until = heldUntil(it->second, urgencyRank);
    if (!until || *until <= now || hasLessUrgentWork(service, urgencyRank, now))
        return std::nullopt;
    const auto placed = it->second.placedAt.find(urgencyRank);
    const bool isStarved =
        placed == it->second.placedAt.end() || placed->second + floorInterval <= now;
    if (isStarved)
        return std::nullopt;
    return *until - now;
}

std::optional<RankHolds> RefusalOrder::toReport(const ServiceName &service, Source last,
                                                Time now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return std::nullopt;
    std::map<unsigned, Time> latest;
    for (std::size_t n = 0; n <= static_cast<std::size_t>(last); ++n) {
        for (const auto &[rank, until] : it->second.heldUntil[n]) {
            Time &known = latest.try_emplace(rank, until).first->second;
            known = std::max(known, until);
        }
    }
    constexpr double maxLeftMs = std::numeric_limits<decltype(RankHold::leftMs)>::max();
    RankHolds holds;
    for (const auto &[rank, until] : latest) {
        if (until > now)
            holds.push_back({static_cast<std::uint8_t>(rank),
                             static_cast<decltype(RankHold::leftMs)>(
                                 std::min(maxLeftMs, toMillis(until - now)))});
    }
    return holds.empty() ? std::nullopt : std::optional(std::move(holds));
}

void RefusalOrder::learn(const ServiceName &service, const RankHolds &holds, Source source,
                         Time now)
{
    for (const RankHold &it : holds) {
        const Duration left = std::min<Duration>(milliseconds(it.leftMs), refusalHolds * m_hold);
        hold(service, it.rank, now + left, source);
    }
}

} // namespace reachlead
