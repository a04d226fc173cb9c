// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Finds out which shared part of a prompt crashes the upstreams that begin to answer on it.

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/contentdigest.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Parts of prompts, ordered and without duplicates.
using PartSet = std::set<ContentDigest>;

/// Evidence about parts of prompts: the crashes under which each was lost, and the answers that
/// began on it. Not thread-safe, reads no clock.
///
/// A part that crashes upstreams does so in any request, but a crash loses all calls of the
/// upstream, and the requests share their other parts with many that are sound. Two observations
/// tell the parts apart:
///  - An answer has begun on a part: it is innocent, its crashes are forgotten, and those within
///    innocencePeriod do not count. Popular parts are cleared this way within milliseconds.
///  - Parts that always came together cannot be told apart. Then only requests that contain all of
///    them are suspect, which leaves the others free to clear the parts that they contain.
///
/// Crashes of many upstreams at the same time have a common cause, so those within crashSpacing
/// count once, unless the call was only sent after the crash before. A part is announced to other
/// gateways after its second crash, and is suspect after the third only if the announcement had
/// time to find an answer that began on it.
class PartSuspects
{
public:
    /// As many as for whole requests, see CrashTracker::crashLimit.
    static constexpr std::size_t crashLimit = 3;
    static constexpr std::size_t announcedCrashes = 2;
    /// Connections of a rack that loses its power end within some ten milliseconds.
    static constexpr Duration crashSpacing = milliseconds(100);
    /// Inaccuracy of the times of two calls that different gateways reported.
    static constexpr Duration timeTolerance = milliseconds(2);
    /// A round trip between gateways, and the time to the first event of a short prompt.
    static constexpr Duration answerPeriod = milliseconds(200);
    /// A part is forgotten this long after its last crash. Far longer than the time between two
    /// crashes of a part that is in use.
    static constexpr Duration retention = std::chrono::minutes(20);
    /// An announced part without crashes at this gateway is forgotten sooner.
    static constexpr Duration announcementRetention = seconds(10);
    /// How long an answer that began on a part proves it innocent. Longer than a series of crashes,
    /// in which no upstream may be left to begin on it; short, as a part may be harmless to one
    /// version of the upstreams' software and not to the next.
    static constexpr Duration innocencePeriod = seconds(10);
    /// Bounds memory at about 400 bytes per part. The one with the oldest last crash is evicted.
    static constexpr std::size_t maxParts = 1024;
    /// Parts that are remembered to have begun, of about 70 bytes. The oldest one is evicted.
    static constexpr std::size_t maxBegunParts = 1024;

    /// When a call was sent to the upstream that crashed, and when the connection was lost.
    struct CallTimes
    {
        Time sentAt{};
        Time lostAt{};
    };

    /// A call that contained \p parts was lost before its answer began, as \p upstream crashed.
    void recordCrash(const PartSet &parts, UpstreamHash upstream, const CallTimes &times);

    /// Another gateway announced the part as a possible suspect.
    void recordAnnouncement(const ContentDigest &part, Time now);

    /// An answer began on these parts. Returns those that were tracked.
    PartSet recordBegin(std::span<const ContentDigest> parts, Time now);

    /// True if an answer began on the part within innocencePeriod before \p now, or later.
    bool hasBegunLately(const ContentDigest &part, Time now) const;

    /// Returns sets of parts such that a request that contains all parts of one of them is suspect.
    /// Crashes that a set explains no longer count for other parts. A set is returned again without
    /// a part on which an answer began later.
    std::vector<PartSet> takeSuspects(Time now);

    /// When takeSuspects() should be called again; nothing if only a crash can make a difference.
    std::optional<Time> nextDecision() const;

    /// True if takeAnnouncements() would return a part.
    bool hasAnnouncements() const;
    /// Returns parts to announce, each once for a series of crashes.
    std::vector<ContentDigest> takeAnnouncements(Time now);

    bool isEmpty() const { return m_parts.empty(); }
    bool contains(const ContentDigest &part) const { return m_parts.contains(part); }
    /// False for the fast hash of a part that is not tracked.
    bool mayContain(std::uint64_t fastHash) const;
    std::size_t size() const { return m_parts.size(); }

    void dropExpired(Time now);

private:
    struct Evidence
    {
        std::set<UpstreamHash> crashes; ///< counted ones
        std::size_t calls = 0; ///< lost ones that contained the part
        /// Parts in every lost call that contained this one, on which no answer began since.
        PartSet companions;
        Time lastCrashAt{};
        std::optional<Time> announcedAt;
        std::optional<PartSet>
            suspected; ///< the set that takeSuspects() last returned for the part
    };
    using Entry = std::map<ContentDigest, Evidence>::value_type;

    void addCrash(const ContentDigest &part, const PartSet &call, UpstreamHash upstream,
                  const CallTimes &times);
    static bool needsAnnouncement(const Entry &entry);
    static PartSet inseparable(const Entry &entry);
    static bool isDue(const Entry &entry);
    const Entry *strongest() const;
    void explainCrashes(const ContentDigest &by);
    void evictOldest();
    void rememberBegin(const ContentDigest &part, Time now);

    std::map<ContentDigest, Evidence> m_parts;
    std::map<ContentDigest, Time> m_begunAt; ///< when an answer last began on a part
};

} // namespace reachlead
