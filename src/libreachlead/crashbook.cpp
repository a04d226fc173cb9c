// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/crashbook.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

namespace reachlead {

namespace {

/// An upstream that ended is not counted twice; beyond the limit the count says nothing more.
constexpr std::size_t mostEndsKept = 2 * CrashBook::crashLimit;

} // namespace

bool CrashBook::ended(const RequestDigest &request, UpstreamTagNumber upstream, Time now)
{
    forgetOld(now);
    if (!m_suspects.contains(request))
        makeRoom();
    Suspect &suspect = m_suspects[request];
    suspect.last = now;
    if (suspect.ended.size() < mostEndsKept)
        suspect.ended.insert(upstream);
    if (suspect.ended.size() < crashLimit || leftFor(request, now))
        return false;
    keep(request, now + quarantine, now);
    return true;
}

bool CrashBook::mayKnow(std::uint64_t mark) const
{
    const auto isIn = [mark](const auto &requests) {
        const auto it = requests.lower_bound(RequestDigest{mark, 0});
        return it != requests.end() && it->first.mark == mark;
    };
    return isIn(m_suspects) || isIn(m_quarantined);
}

void CrashBook::forgetOld(Time now)
{
    std::erase_if(m_suspects, [&](const auto &it) { return it.second.last + suspicion < now; });
    std::erase_if(m_quarantined, [&](const auto &it) { return it.second <= now; });
}

/// Drops the suspect whose last end is longest ago, where there are too many.
void CrashBook::makeRoom()
{
    if (m_suspects.size() < mostSuspects)
        return;
    const auto oldest =
        std::ranges::min_element(m_suspects, {}, [](const auto &it) { return it.second.last; });
    m_suspects.erase(oldest);
}

void CrashBook::keep(const RequestDigest &request, Time until, Time now)
{
    forgetOld(now);
    m_quarantined[request] = until;
    if (m_quarantined.size() > mostQuarantined)
        m_quarantined.erase(
            std::ranges::min_element(m_quarantined, {}, [](const auto &it) { return it.second; }));
}

bool CrashBook::learn(const RequestDigest &request, Duration left, Time now)
{
    if (left <= Duration::zero() || leftFor(request, now))
        return false;
    keep(request, now + std::min<Duration>(left, quarantine), now);
    return true;
}

std::optional<Duration> CrashBook::leftFor(const RequestDigest &request, Time now) const
{
    const auto it = m_quarantined.find(request);
    if (it == m_quarantined.end() || it->second <= now)
        return std::nullopt;
    return it->second - now;
}

bool CrashBook::isQuarantineEmpty(Time now) const
{
    return std::ranges::none_of(m_quarantined | std::views::values,
                                [&](Time until) { return until > now; });
}

std::vector<QuarantinedRequest> CrashBook::quarantined(Time now) const
{
    std::vector<QuarantinedRequest> all;
    for (const auto &[request, until] : m_quarantined) {
        if (until > now)
            all.push_back({request, static_cast<std::uint32_t>(toMillis(until - now))});
    }
    return all;
}

std::uint64_t CrashBook::mark(Time now) const
{
    std::uint64_t mark = 0;
    for (const auto &[request, until] : m_quarantined) {
        if (until > now)
            mark ^= request.mark ^ request.proof;
    }
    return mark;
}

} // namespace reachlead
