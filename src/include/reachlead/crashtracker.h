// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which requests end the upstreams that run them, and how long such a request is kept from all
/// upstreams.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/requestdigest.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// A request in quarantine, as gateways tell each other: clocks differ, so it says what is left.
struct QuarantinedRequest
{
    RequestDigest request;
    std::uint32_t leftMs = 0; ///< of the quarantine

    template <class Archive> void serialize(Archive &ar) { ar(request, leftMs); }
};

/// Counts the upstream lives that ended under each request. Not thread-safe, reads no clock.
///
/// The load pattern it answers: a request whose content ends the process of each upstream that
/// begins it, and which its caller sends again. To each gateway it is one more call whose upstream
/// was lost, and an upstream is lost to all calls that it works on; so a single end says little.
/// The request that ends them is the one that is there each time, while those beside it complete
/// at another upstream. A request under which crashLimit lives ended is in quarantine: it is sent
/// to no upstream. A request that completes is cleared of what was counted.
///
/// What ran beside such a request more than once is in danger of being taken for it. It is lost
/// for the quarantine's time at most, and only where its caller sends the very same request.
class CrashTracker
{
public:
    /// Ends that put a request into quarantine: with two, calls that were sent again after one end
    /// and met another would be kept away as well, which is common while upstreams end in numbers.
    static constexpr std::size_t crashLimit = 3;
    /// Length of a quarantine. A request that does no more harm, as the upstreams were mended, is
    /// served again after it; one that still does ends an upstream or two in this time.
    static constexpr Duration quarantineDuration = std::chrono::minutes(10);
    /// A suspect is forgotten this long after the last end under it; the count outlives the
    /// quarantine, so that a single end renews it.
    static constexpr Duration suspectRetention = 2 * quarantineDuration;
    /// Bounds of memory: about 120 bytes a suspect; the one whose last end is longest ago yields.
    static constexpr std::size_t maxSuspects = 2048;
    /// All fit into one datagram between gateways (20 bytes each). The one that has the least time
    /// left yields; whoever wants to fill the list ends three upstreams for each place.
    static constexpr std::size_t maxQuarantined = 128;

    /// An upstream's process ended while it had the request. True when that begins or renews the
    /// request's quarantine.
    bool recordCrash(const RequestDigest &request, UpstreamHash upstream, Time now);

    /// An upstream ran the request to its end.
    void recordCompletion(const RequestDigest &request) { m_suspects.erase(request); }

    /// True when upstreams ended under the request lately.
    bool isSuspect(const RequestDigest &request) const { return m_suspects.contains(request); }

    /// False for the mark of a request that is neither suspect nor in quarantine: its proof need
    /// not be made.
    bool mayContain(std::uint64_t mark) const;

    /// Another gateway, or the platform's store, says that a request is in quarantine for another
    /// \p left. True when this book did not know.
    bool mergeQuarantine(const RequestDigest &request, Duration left, Time now);

    /// What is left of a request's quarantine; nothing when it may be sent.
    std::optional<Duration> remainingQuarantine(const RequestDigest &request, Time now) const;

    bool isQuarantineEmpty(Time now) const;
    /// Nothing is known of any request.
    bool isEmpty() const { return m_suspects.empty() && m_quarantined.empty(); }

    std::vector<QuarantinedRequest> quarantined(Time now) const;

    /// Equal at gateways that have the same requests in quarantine; 0 for none.
    std::uint64_t checksum(Time now) const;

    /// Drops suspects and quarantines whose time is over.
    void dropExpired(Time now);

    std::size_t suspects() const { return m_suspects.size(); }

private:
    struct Suspect
    {
        std::set<UpstreamHash> ended;
        Time last{};
    };

    void makeRoom();
    void keep(const RequestDigest &request, Time until, Time now);

    std::map<RequestDigest, Suspect> m_suspects;
    std::map<RequestDigest, Time> m_quarantined; ///< and until when
};

} // namespace reachlead
