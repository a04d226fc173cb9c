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
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/contentdigest.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// A quarantined request, as exchanged between gateways. Holds the remaining time, as their clocks
/// differ.
struct Quarantine
{
    ContentDigest request;
    std::uint32_t leftMs = 0; ///< remaining time of the quarantine

    template <class Archive> void serialize(Archive &ar) { ar(request, leftMs); }
};

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
    /// All fit into one datagram between gateways (20 bytes each). The one with the least remaining
    /// time is evicted; filling the list on purpose costs three crashed upstreams per entry.
    static constexpr std::size_t maxQuarantined = 128;

    /// An upstream's process crashed while it ran the request. Returns true when this starts or
    /// renews the request's quarantine.
    bool recordCrash(const ContentDigest &request, UpstreamHash upstream, Time now);

    /// An upstream completed the request.
    void recordCompletion(const ContentDigest &request) { m_suspects.erase(request); }

    /// True when upstreams crashed under the request recently.
    bool isSuspect(const ContentDigest &request) const { return m_suspects.contains(request); }

    /// False for the fast hash of a request that is neither suspect nor quarantined, so that its
    /// secure hash need not be computed.
    bool mayContain(std::uint64_t fastHash) const;

    /// Adds a quarantine with \p remaining time, as received from another gateway or read from the
    /// platform's store. Returns true when it was unknown.
    bool mergeQuarantine(const ContentDigest &request, Duration remaining, Time now);

    /// The remaining time of a request's quarantine; nothing when it may be sent.
    std::optional<Duration> remainingQuarantine(const ContentDigest &request, Time now) const;

    bool isQuarantineEmpty(Time now) const;
    /// True when there are neither suspects nor quarantined requests.
    bool isEmpty() const { return m_suspects.empty() && m_quarantined.empty(); }

    std::vector<Quarantine> quarantined(Time now) const;

    /// Equal at gateways with the same quarantined requests; 0 for none.
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

    void evictOldestSuspect();
    void addQuarantine(const ContentDigest &request, Time until, Time now);

    std::map<ContentDigest, Suspect> m_suspects;
    std::map<ContentDigest, Time> m_quarantined; ///< with the end of the quarantine
};

} // namespace reachlead
