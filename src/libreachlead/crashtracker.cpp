// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/crashtracker.h>

#include <algorithm>
#include <ranges>

namespace reachlead {

namespace {

/// Crashed incarnations kept per suspect, so that none is counted twice. More than the limit are
/// not needed.
constexpr std::size_t maxCrashesPerRequest = 2 * CrashTracker::crashLimit;

} // namespace

ContentDigest quarantineId(std::span<const ContentDigest> contents)
{
    ContentDigest id;
    for (const ContentDigest &it : contents) {
        id.fastHash ^= it.fastHash;
        id.secureHash ^= it.secureHash;
    }
    return id;
}

bool CrashTracker::recordCrash(const ContentDigest &request, UpstreamHash upstream, Time now)
{
    dropExpired(now);
    if (!m_suspects.contains(request))
        evictOldestSuspect();
    Suspect &suspect = m_suspects[request];
    suspect.lastCrashAt = now;
    if (suspect.crashed.size() < maxCrashesPerRequest)
        suspect.crashed.insert(upstream);
    if (suspect.crashed.size() < crashLimit)
        return false;
    return startQuarantine({request}, now);
}

/// Returns false if the quarantine is in force already.
bool CrashTracker::startQuarantine(const Contents &contents, Time now)
{
    const auto it = m_quarantines.find(contents);
    const bool isKnown = it != m_quarantines.end();
    if (isKnown && isInForce(*it, now))
        return false;
    Term term{now + quarantineDuration, 1};
    if (isKnown && it->second.until > now)
        term.revision = it->second.revision + 1;
    put(contents, term, now);
    return true;
}

std::optional<Quarantine> CrashTracker::quarantineParts(const PartSet &parts, Time now)
{
    const Contents contents(parts.begin(), parts.end());
    if (!startQuarantine(contents, now))
        return std::nullopt;
    return toQuarantine(*m_quarantines.find(contents), now);
}

std::vector<Quarantine> CrashTracker::releaseParts(std::span<const ContentDigest> parts, Time now)
{
    const PartSet begun(parts.begin(), parts.end());
    std::vector<Quarantine> released;
    for (auto &entry : m_quarantines) {
        if (!isInForce(entry, now) || !std::ranges::includes(begun, entry.first))
            continue;
        ++entry.second.revision;
        released.push_back(toQuarantine(entry, now));
    }
    return released;
}

bool CrashTracker::mayContain(std::span<const std::uint64_t> fastHashes) const
{
    const auto isAmong = [&](const ContentDigest &it) {
        return std::ranges::find(fastHashes, it.fastHash) != fastHashes.end();
    };
    const auto isSuspect = [&](std::uint64_t fastHash) {
        const auto it = m_suspects.lower_bound(ContentDigest{fastHash, 0});
        const bool isRequest = it != m_suspects.end() && it->first.fastHash == fastHash;
        return isRequest || m_parts.mayContain(fastHash);
    };
    return std::ranges::any_of(fastHashes, isSuspect)
        || std::ranges::any_of(m_quarantines | std::views::keys, [&](const Contents &contents) {
               return std::ranges::all_of(contents, isAmong);
           });
}

void CrashTracker::dropExpired(Time now)
{
    std::erase_if(m_suspects,
                  [&](const auto &it) { return it.second.lastCrashAt + suspectRetention < now; });
    std::erase_if(m_quarantines, [&](const auto &it) { return it.second.until <= now; });
    m_parts.dropExpired(now);
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

void CrashTracker::put(const Contents &contents, const Term &term, Time now)
{
    dropExpired(now);
    m_quarantines[contents] = term;
    if (m_quarantines.size() > maxQuarantined)
        m_quarantines.erase(std::ranges::min_element(
            m_quarantines, {}, [](const auto &it) { return it.second.until; }));
}

bool CrashTracker::merge(const Quarantine &quarantine, Time now)
{
    if (quarantine.contents.empty() || quarantine.leftMs == 0)
        return false;
    const auto it = m_quarantines.find(quarantine.contents);
    const bool isKnown = it != m_quarantines.end() && it->second.until > now;
    if (isKnown && it->second.revision >= quarantine.revision)
        return false;
    const Duration remaining =
        std::min<Duration>(milliseconds(quarantine.leftMs), quarantineDuration);
    put(quarantine.contents, {now + remaining, quarantine.revision}, now);
    return true;
}

std::optional<Duration> CrashTracker::remainingQuarantine(std::span<const ContentDigest> contents,
                                                          Time now) const
{
    const std::set<ContentDigest> given(contents.begin(), contents.end());
    std::optional<Duration> remaining;
    for (const auto &entry : m_quarantines) {
        if (isInForce(entry, now) && std::ranges::includes(given, entry.first))
            remaining =
                std::max<Duration>(remaining.value_or(Duration{}), entry.second.until - now);
    }
    return remaining;
}

bool CrashTracker::isInForce(const Quarantines::value_type &entry, Time now)
{
    return entry.second.until > now && entry.second.revision % 2 == 1;
}

Quarantine CrashTracker::toQuarantine(const Quarantines::value_type &entry, Time now)
{
    return {entry.first, static_cast<std::uint32_t>(toMillis(entry.second.until - now)),
            entry.second.revision};
}

bool CrashTracker::isQuarantineEmpty(Time now) const
{
    return std::ranges::none_of(m_quarantines | std::views::values,
                                [&](const Term &term) { return term.until > now; });
}

std::vector<Quarantine> CrashTracker::quarantines(Time now) const
{
    std::vector<Quarantine> all;
    for (const auto &entry : m_quarantines) {
        if (entry.second.until > now)
            all.push_back(toQuarantine(entry, now));
    }
    return all;
}

std::uint64_t CrashTracker::checksum(Time now) const
{
    std::uint64_t sum = 0;
    for (const auto &[contents, term] : m_quarantines) {
        const ContentDigest id = quarantineId(contents);
        if (term.until > now)
            sum ^= (id.fastHash ^ id.secureHash) * term.revision;
    }
    return sum;
}

} // namespace reachlead
