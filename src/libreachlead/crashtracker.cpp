// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/crashtracker.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

namespace reachlead {

namespace {

/// An upstream that ended is not counted twice; beyond the limit the count says nothing more.
constexpr std::size_t mostEndsKept = 2 * CrashTracker::crashLimit;

} // namespace

bool CrashTracker::recordCrash(const RequestDigest &request, UpstreamHash upstream, Time now)
{
    dropExpired(now);
    if (!m_suspects.contains(request))
        makeRoom();
    Suspect &suspect = m_suspects[request];
    suspect.last = now;
    if (suspect.ended.size() < mostEndsKept)
        suspect.ended.insert(upstream);
    if (suspect.ended.size() < crashLimit || remainingQuarantine(request, now))
        return false;
    keep(request, now + quarantineDuration, now);
    return true;
}

bool CrashTracker::mayContain(std::uint64_t mark) const
{
    const auto isIn = [mark](const auto &requests) {
        const auto it = requests.lower_bound(RequestDigest{mark, 0});
        return it != requests.end() && it->first.fastHash == mark;
    };
    return isIn(m_suspects) || isIn(m_quarantined);
}

void CrashTracker::dropExpired(Time now)
{
    std::erase_if(m_suspects,
                  [&](const auto &it) { return it.second.last + suspectRetention < now; });
    std::erase_if(m_quarantined, [&](const auto &it) { return it.second <= now; });
}

/// Drops the suspect whose last end is longest ago, where there are too many.
void CrashTracker::makeRoom()
{
    if (m_suspects.size() < maxSuspects)
        return;
    const auto oldest =
        std::ranges::min_element(m_suspects, {}, [](const auto &it) { return it.second.last; });
    m_suspects.erase(oldest);
}

void CrashTracker::keep(const RequestDigest &request, Time until, Time now)
{
    dropExpired(now);
    m_quarantined[request] = until;
    if (m_quarantined.size() > maxQuarantined)
        m_quarantined.erase(
            std::ranges::min_element(m_quarantined, {}, [](const auto &it) { return it.second; }));
}

bool CrashTracker::mergeQuarantine(const RequestDigest &request, Duration left, Time now)
{
    if (left <= Duration::zero() || remainingQuarantine(request, now))
        return false;
    keep(request, now + std::min<Duration>(left, quarantineDuration), now);
    return true;
}

std::optional<Duration> CrashTracker::remainingQuarantine(const RequestDigest &request,
                                                          Time now) const
{
    const auto it = m_quarantined.find(request);
    if (it == m_quarantined.end() || it->second <= now)
        return std::nullopt;
    return it->second - now;
}

bool CrashTracker::isQuarantineEmpty(Time now) const
{
    return std::ranges::none_of(m_quarantined | std::views::values,
                                [&](Time until) { return until > now; });
}

std::vector<QuarantinedRequest> CrashTracker::quarantined(Time now) const
{
    std::vector<QuarantinedRequest> all;
    for (const auto &[request, until] : m_quarantined) {
        if (until > now)
            all.push_back({request, static_cast<std::uint32_t>(toMillis(until - now))});
    }
    return all;
}

std::uint64_t CrashTracker::checksum(Time now) const
{
    std::uint64_t mark = 0;
    for (const auto &[request, until] : m_quarantined) {
        if (until > now)
            mark ^= request.fastHash ^ request.secureHash;
    }
    return mark;
}

} // namespace reachlead
