// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tracks requests that crash the upstreams that run them, and quarantines such requests.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/contentdigest.h>
#include <reachlead/partsuspects.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// A quarantine as exchanged between gateways: requests that contain all of \ref contents are sent
/// to no upstream. The contents of a request are its whole content and the shared parts of its
/// prompt. Holds the remaining time, as the gateways' clocks differ.
struct Quarantine
{
    std::vector<ContentDigest> contents; ///< ordered, without duplicates
    std::uint32_t leftMs = 0; ///< remaining time
    /// Odd: in force; even: released. Of two states of a quarantine, the higher one is newer.
    std::uint32_t revision = 1;

    bool isInForce() const { return revision % 2 == 1; }

    template <class Archive> void serialize(Archive &ar) { ar(contents, leftMs, revision); }
};

/// A call that lost its upstream.
struct LostCall
{
    ContentDigest request;
    PromptContents prompt; ///< without parts for a plain service
    bool hasBegun = false; ///< its answer had begun
    PartSuspects::CallTimes times;
};

/// The name of a quarantine in logs and in the platform's store: the digest of its only content, or
/// a combination of several.
ContentDigest quarantineId(std::span<const ContentDigest> contents);

/// Counts the upstream incarnations that crashed under each request. Not thread-safe, reads no
/// clock.
///
/// It guards against a request whose content crashes each upstream that starts it, and which its
/// caller sends again. A gateway cannot recognize it from one crash, as all calls of a crashed
/// upstream are lost. The request that causes the crashes is present each time, while the others
/// complete at another upstream. A request under which crashLimit incarnations crashed is
/// quarantined: it is sent to no upstream. The count of a request that completes is cleared.
///
/// A request that ran beside such a request more than once may be quarantined by mistake. It is
/// refused for the length of the quarantine at most, and only if its caller sends the identical
/// request again.
///
/// Requests that crash upstreams may also have only a part of their prompts in common, see
/// PartSuspects. A quarantine of parts is released as soon as an answer begins on all of them.
class CrashTracker
{
public:
    /// Crashes that quarantine a request. With two, a call that was retried after one crash and met
    /// another would be quarantined, which is common while many upstreams crash.
    static constexpr std::size_t crashLimit = 3;
    /// Afterwards the request is tried again: it is served if the upstreams were repaired, and
    /// otherwise crashes one or two upstreams per quarantine.
    static constexpr Duration quarantineDuration = std::chrono::minutes(10);
    /// A suspect is dropped this long after its last crash. The count outlives the quarantine, so
    /// that a single crash renews it.
    static constexpr Duration suspectRetention = 2 * quarantineDuration;
    /// Bounds memory at about 120 bytes per suspect. The one with the oldest last crash is evicted.
    static constexpr std::size_t maxSuspects = 2048;
    /// All fit into one datagram between gateways (some 40 bytes each). The one with the least
    /// remaining time is evicted; filling the list on purpose costs three crashed upstreams per
    /// entry.
    static constexpr std::size_t maxQuarantined = 128;

    /// An upstream's process crashed while it ran the request. Returns true when this starts or
    /// renews the request's quarantine.
    bool recordCrash(const ContentDigest &request, UpstreamHash upstream, Time now);

    /// An upstream completed the request.
    void recordCompletion(const ContentDigest &request) { m_suspects.erase(request); }

    /// True when upstreams crashed under the request recently.
    bool isSuspect(const ContentDigest &request) const { return m_suspects.contains(request); }

    /// False if none of a request's contents, given by their fast hashes, is suspect or
    /// quarantined, so that their secure hashes need not be computed.
    bool mayContain(std::span<const std::uint64_t> fastHashes) const;
    bool mayContain(std::uint64_t fastHash) const { return mayContain(std::span(&fastHash, 1)); }

    /// Evidence about shared parts of prompts.
    PartSuspects &parts() { return m_parts; }
    const PartSuspects &parts() const { return m_parts; }

    /// Quarantines requests that contain all these parts; returns nothing if they are quarantined
    /// already.
    std::optional<Quarantine> quarantineParts(const PartSet &parts, Time now);

    /// An answer began on these parts. Returns the quarantines that this releases.
    std::vector<Quarantine> releaseParts(std::span<const ContentDigest> parts, Time now);

    /// Adds the state of a quarantine received from another gateway or read from the platform's
    /// store. Returns true when it is newer than the known one.
    bool merge(const Quarantine &quarantine, Time now);

    /// The remaining time of the quarantine of a request with these contents; nothing when it may
    /// be sent.
    std::optional<Duration> remainingQuarantine(std::span<const ContentDigest> contents,
                                                Time now) const;
    std::optional<Duration> remainingQuarantine(const ContentDigest &request, Time now) const
    {
        return remainingQuarantine(std::span(&request, 1), now);
    }

    bool isQuarantineEmpty(Time now) const;
    /// True when there are neither suspects nor quarantines.
    bool isEmpty() const
    {
        return m_suspects.empty() && m_parts.isEmpty() && m_quarantines.empty();
    }

    /// All quarantines, those released included.
    std::vector<Quarantine> quarantines(Time now) const;

    /// Equal at gateways with the same quarantines; 0 for none.
    std::uint64_t checksum(Time now) const;

    /// Drops expired suspects and quarantines.
    void dropExpired(Time now);

    std::size_t suspects() const { return m_suspects.size(); }

private:
    struct Suspect
    {
        std::set<UpstreamHash> crashed;
        Time lastCrashAt{};
    };

    struct Term
    {
        Time until{};
        std::uint32_t revision = 1; ///< see Quarantine::revision
    };
    using Contents = std::vector<ContentDigest>;
    using Quarantines = std::map<Contents, Term>;

    static bool isInForce(const Quarantines::value_type &entry, Time now);
    static Quarantine toQuarantine(const Quarantines::value_type &entry, Time now);
    void evictOldestSuspect();
    bool startQuarantine(const Contents &contents, Time now);
    void put(const Contents &contents, const Term &term, Time now);

    std::map<ContentDigest, Suspect> m_suspects;
    PartSuspects m_parts;
    Quarantines m_quarantines;
};

} // namespace reachlead
