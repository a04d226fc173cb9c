// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides when a gateway whose state is older than that of its peers fetches theirs.

#pragma once

#include <cstdint>
#include <optional>

#include <reachlead/clock.h>
#include <reachlead/storerevision.h>

namespace reachlead {

/// The versions of a gateway's state as it reports them to its peers.
struct ReportedVersions
{
    std::uint64_t config = 0;
    StoreRevision registry;
    StoreRevision evacuations;
    StoreRevision roster; ///< calls do not depend on it

    /// Whether a part that calls depend on is newer here than in \p other.
    bool hasNewerState(const ReportedVersions &other) const
    {
        return config > other.config || registry > other.registry
            || evacuations > other.evacuations;
    }
    /// The same for any part.
    bool isAheadOf(const ReportedVersions &other) const
    {
        return hasNewerState(other) || roster > other.roster;
    }
};

/// Compares this gateway's state with the newest that its peers have reported. Not thread-safe,
/// reads no clock.
///
/// A gateway that watches the store gets changes from there and gives them fetchDelay to arrive.
/// The delay counts from the first report of newer state until this gateway has it, whatever other
/// peers report meanwhile: peers that are behind as well must not keep it from fetching.
class PeerLag
{
public:
    static constexpr Duration fetchDelay = milliseconds(300);

    /// Reports of newer state are forgotten when no peer repeats them: the gateway that had it may
    /// be lost.
    static constexpr Duration reportLifetime = seconds(10);

    /// A lag of this length is worth a log line: by then a fetch has been tried.
    static constexpr Duration longLag = seconds(1);

    /// A peer reported its versions.
    void heard(const ReportedVersions &reported, const ReportedVersions &own, Time now);

    /// This gateway's versions may have changed, or time has passed.
    void update(const ReportedVersions &own, Time now);

    /// Whether to fetch from a peer that is ahead. \p watches: this gateway follows the store.
    bool isFetchDue(bool watches, Time now) const
    {
        return m_behindSince && (!watches || *m_behindSince + fetchDelay <= now);
    }

    /// The time since when this gateway is known to be behind; empty: it is not.
    std::optional<Time> behindSince() const { return m_behindSince; }

    /// The newest versions that were reported.
    const ReportedVersions &newest() const { return m_newest; }

    /// The length of a lag once it is longLag; empty: there is none, or it was returned before.
    std::optional<Duration> takeLongLag(Time now);

private:
    ReportedVersions m_newest;
    Time m_newestHeardAt{}; ///< last report that was ahead of this gateway
    std::optional<Time> m_behindSince;
    bool m_isReported = false; ///< by takeLongLag()
};

} // namespace reachlead
