// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/crashtracker.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

namespace reachlead {

namespace {

/// Crashed incarnations kept per suspect, so that none is counted twice. More than the limit are
/// not needed.
constexpr std::size_t maxCrashesKept = 2 * CrashTracker::crashLimit;

} // namespace

bool CrashTracker::recordCrash(const ContentDigest &request, UpstreamHash upstream, Time now)
{
    dropExpired(now);
    if (!m_suspects.contains(request))
        evictOldestSuspect();
    Suspect &suspect = m_suspects[request];
    suspect.lastCrashAt = now;
    if (suspect.crashed.size() < maxCrashesKept)
        suspect.crashed.insert(upstream);
    if (suspect.crashed.size() < crashLimit || remainingQuarantine(request, now))
        return false;
    addQuarantine(request, now + quarantineDuration, now);
    return true;
}

bool CrashTracker::mayContain(std::uint64_t fastHash) const
{
    const auto containsHash = [fastHash](const auto &requests) {
        const auto it = requests.lower_bound(ContentDigest{fastHash, 0});
        return it != requests.end() && it->first.fastHash == fastHash;
    };
    return containsHash(m_suspects) || containsHash(m_quarantined);
}

void CrashTracker::dropExpired(Time now)
{
    std::erase_if(m_suspects,
                  [&](const auto &it) { return it.second.lastCrashAt + suspectRetention < now; });
    std::erase_if(m_quarantined, [&](const auto &it) { return it.second <= now; });
}

/// Evicts the suspect with the oldest last crash when there are too many.
void CrashTracker::evictOldestSuspect()
{
    if (m_suspects.size() < maxSuspects)
        return;
    const auto oldest = std::ranges::min_element(
        m_suspects, {}, [](const auto &it) { return it.second.lastCrashAt; });
    m_suspects.erase(oldest);
}

void CrashTracker::addQuarantine(const ContentDigest &request, Time until, Time now)
{
    dropExpired(now);
    m_quarantined[request] = until;
    if (m_quarantined.size() > maxQuarantined)
        m_quarantined.erase(
            std::ranges::min_element(m_quarantined, {}, [](const auto &it) { return it.second; }));
}

bool CrashTracker::mergeQuarantine(const ContentDigest &request, Duration remaining, Time now)
{
    if (remaining <= Duration::zero() || remainingQuarantine(request, now))
        return false;
    addQuarantine(request, now + std::min<Duration>(remaining, quarantineDuration), now);
    return true;
}

std::optional<Duration> CrashTracker::remainingQuarantine(const ContentDigest &request,
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

std::vector<Quarantine> CrashTracker::quarantined(Time now) const
{
    std::vector<Quarantine> all;
    for (const auto &[request, until] : m_quarantined) {
        if (until > now)
            all.push_back({request, static_cast<std::uint32_t>(toMillis(until - now))});
    }
    return all;
}

std::uint64_t CrashTracker::checksum(Time now) const
{
    std::uint64_t sum = 0;
    for (const auto &[request, until] : m_quarantined) {
        if (until > now)
            sum ^= request.fastHash ^ request.secureHash;
    }
    return sum;
}

} // namespace reachlead
