// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/partsuspects.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

namespace reachlead {

namespace {

/// Crashes kept per part. More than the limit are only needed to recognize those counted before.
constexpr std::size_t maxCrashesPerPart = 2 * PartSuspects::crashLimit;

} // namespace

void PartSuspects::recordCrash(const PartSet &parts, UpstreamHash upstream, const CallTimes &times)
{
    PartSet suspects;
    std::ranges::copy_if(
        parts, std::inserter(suspects, suspects.end()),
        [&](const ContentDigest &part) { return !hasBegunLately(part, times.lostAt); });
    for (const ContentDigest &part : suspects)
        addCrash(part, suspects, upstream, times);
}

void PartSuspects::addCrash(const ContentDigest &part, const PartSet &call, UpstreamHash upstream,
                            const CallTimes &times)
{
    if (!m_parts.contains(part))
        evictOldest();
    Evidence &evidence = m_parts[part];
    const bool isFirst = evidence.calls == 0;
    ++evidence.calls;
    PartSet companions = call;
    companions.erase(part);
    if (isFirst)
        evidence.companions = std::move(companions);
    else
        std::erase_if(evidence.companions,
                      [&](const ContentDigest &it) { return !companions.contains(it); });
    const Duration distance = times.lostAt - evidence.lastCrashAt;
    const bool isSentLater = times.sentAt + timeTolerance > evidence.lastCrashAt;
    const bool isSeparate = isFirst || isSentLater || std::max(distance, -distance) >= crashSpacing;
    if (!isSeparate || evidence.crashes.size() >= maxCrashesPerPart)
        return;
    evidence.crashes.insert(upstream);
    evidence.lastCrashAt = std::max(evidence.lastCrashAt, times.lostAt);
}

void PartSuspects::recordAnnouncement(const ContentDigest &part, Time now)
{
    if (!m_parts.contains(part))
        evictOldest();
    Evidence &evidence = m_parts[part];
    if (evidence.crashes.empty())
        evidence.lastCrashAt = now;
    if (!evidence.announcedAt)
        evidence.announcedAt = now;
}

PartSet PartSuspects::recordBegin(std::span<const ContentDigest> parts, Time now)
{
    PartSet cleared;
    std::ranges::copy_if(parts, std::inserter(cleared, cleared.end()),
                         [&](const ContentDigest &part) { return m_parts.erase(part) > 0; });
    for (const ContentDigest &part : parts)
        rememberBegin(part, now);
    for (Evidence &evidence : m_parts | std::views::values) {
        for (const ContentDigest &part : parts)
            evidence.companions.erase(part);
    }
    return cleared;
}

void PartSuspects::rememberBegin(const ContentDigest &part, Time now)
{
    m_begunAt.insert_or_assign(part, now);
    if (m_begunAt.size() <= maxBegunParts)
        return;
    std::erase_if(m_begunAt, [now](const auto &it) { return it.second + innocencePeriod < now; });
    if (m_begunAt.size() > maxBegunParts)
        m_begunAt.erase(
            std::ranges::min_element(m_begunAt, {}, [](const auto &it) { return it.second; }));
}

bool PartSuspects::hasBegunLately(const ContentDigest &part, Time now) const
{
    const auto it = m_begunAt.find(part);
    return it != m_begunAt.end() && it->second + innocencePeriod >= now;
}

/// The part with its companions.
PartSet PartSuspects::inseparable(const Entry &entry)
{
    PartSet set = entry.second.companions;
    set.insert(entry.first);
    return set;
}

/// True if the part is suspect for another reason than when it was last returned.
bool PartSuspects::isDue(const Entry &entry)
{
    const auto &[part, evidence] = entry;
    return evidence.crashes.size() >= crashLimit && evidence.suspected != inseparable(entry);
}

/// Of several parts that would explain the crashes, the one that holds back the fewest requests
/// comes first: the one with the most inseparable others, then the rarest.
const PartSuspects::Entry *PartSuspects::strongest() const
{
    const auto order = [](const Entry *entry) {
        const auto size = static_cast<std::ptrdiff_t>(inseparable(*entry).size());
        return std::tuple(-size, entry->second.calls, entry->first);
    };
    std::vector<const Entry *> due;
    for (const Entry &entry : m_parts) {
        if (isDue(entry))
            due.push_back(&entry);
    }
    const auto it = std::ranges::min_element(due, {}, order);
    return it == due.end() ? nullptr : *it;
}

std::vector<PartSet> PartSuspects::takeSuspects(Time now)
{
    std::vector<PartSet> sets;
    while (const Entry *entry = strongest()) {
        const std::optional<Time> announcedAt = entry->second.announcedAt;
        if (!announcedAt || now - *announcedAt < answerPeriod)
            break;
        sets.push_back(inseparable(*entry));
        explainCrashes(entry->first);
    }
    return sets;
}

/// Marks the parts for which the part's set was returned. Its crashes no longer count for others,
/// not even for those that are in the set and were also lost without it.
void PartSuspects::explainCrashes(const ContentDigest &by)
{
    const Entry &explanation = *m_parts.find(by);
    const PartSet set = inseparable(explanation);
    const std::set<UpstreamHash> explained = explanation.second.crashes;
    for (Entry &entry : m_parts) {
        Evidence &evidence = entry.second;
        if (inseparable(entry) == set)
            evidence.suspected = set;
        else
            std::erase_if(evidence.crashes,
                          [&](UpstreamHash it) { return explained.contains(it); });
    }
}

std::optional<Time> PartSuspects::nextDecision() const
{
    const Entry *entry = strongest();
    if (entry == nullptr || !entry->second.announcedAt)
        return std::nullopt;
    return *entry->second.announcedAt + answerPeriod;
}

bool PartSuspects::needsAnnouncement(const Entry &entry)
{
    return entry.second.crashes.size() >= announcedCrashes && !entry.second.announcedAt;
}

bool PartSuspects::hasAnnouncements() const
{
    return std::ranges::any_of(m_parts, needsAnnouncement);
}

std::vector<ContentDigest> PartSuspects::takeAnnouncements(Time now)
{
    std::vector<ContentDigest> announced;
    for (Entry &entry : m_parts) {
        if (!needsAnnouncement(entry))
            continue;
        entry.second.announcedAt = now;
        announced.push_back(entry.first);
    }
    return announced;
}

bool PartSuspects::mayContain(std::uint64_t fastHash) const
{
    const auto it = m_parts.lower_bound(ContentDigest{fastHash, 0});
    return it != m_parts.end() && it->first.fastHash == fastHash;
}

void PartSuspects::dropExpired(Time now)
{
    std::erase_if(m_begunAt, [now](const auto &it) { return it.second + innocencePeriod < now; });
    std::erase_if(m_parts, [&](const Entry &it) {
        const bool hasCrashes = !it.second.crashes.empty();
        return it.second.lastCrashAt + (hasCrashes ? retention : announcementRetention) < now;
    });
}

void PartSuspects::evictOldest()
{
    if (m_parts.size() < maxParts)
        return;
    m_parts.erase(std::ranges::min_element(m_parts, {},
                                           [](const Entry &it) { return it.second.lastCrashAt; }));
}

} // namespace reachlead
