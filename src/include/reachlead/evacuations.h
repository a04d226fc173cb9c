// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Availability zones that are evacuated: their upstreams get no new calls.

#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include <reachlead/ids.h>

namespace reachlead {

using ZoneSet = std::set<ZoneName>;

/// The evacuated zones as one gateway reports them to another, with the platform's revision of the
/// last change.
struct EvacuationUpdate
{
    std::uint64_t revision = 0; ///< 0: the sender has no state
    ZoneSet zones;

    template <class Archive> void serialize(Archive &ar) { ar(revision, zones); }
};

/// The evacuated zones by the newest state received from the platform or a peer. Not thread-safe.
///
/// A set is valid from the revision of its last change to the revision at which it was last read.
/// Peers compare the change revision of a set with the read revision of their own. Gateways that
/// read an unchanged set at different revisions therefore exchange nothing, and a stale set of a
/// peer never replaces a newer one, even if the zone was evacuated, restored and evacuated again.
class Evacuations
{
public:
    /// Takes over the platform's complete set as of revision \p asOf; returns true if the zones
    /// changed.
    bool setFromPlatform(ZoneSet zones, std::uint64_t asOf)
    {
        if (asOf < m_readRevision)
            return false;
        m_readRevision = asOf;
        const bool isSame = zones == m_zones;
        if (m_revision == 0)
            m_revision = zones.empty() ? initialRevision : asOf;
        else if (!isSame)
            m_revision = asOf;
        m_zones = std::move(zones);
        return !isSame;
    }

    /// Takes over a peer's set if it changed after the local set was last read; returns true if the
    /// zones changed.
    bool applyUpdate(const EvacuationUpdate &update)
    {
        if (update.revision <= m_readRevision)
            return false;
        m_readRevision = update.revision;
        m_revision = update.revision;
        return std::exchange(m_zones, update.zones) != update.zones;
    }

    /// Compares with the change revision and checksum() of a peer's set. If this gateway read a
    /// different set later, it dates its own set as changed, so that peers fetch it: it may be the
    /// only gateway that has read the platform since the change.
    void compareWithPeer(std::uint64_t revision, std::uint32_t peerChecksum)
    {
        if (revision > m_revision && revision <= m_readRevision)
            m_revision = peerChecksum == this->checksum() ? revision : m_readRevision;
    }

    /// Checksum of the set, to compare it with others; 0 if no zone is evacuated.
    std::uint32_t checksum() const;

    /// The update for a gateway whose readRevision() is \p known; revision 0: no update needed.
    EvacuationUpdate updateSince(std::uint64_t known) const
    {
        return m_revision > known ? EvacuationUpdate{m_revision, m_zones} : EvacuationUpdate{};
    }

    const ZoneSet &zones() const { return m_zones; }
    bool isKnown() const { return m_revision > 0; }

    /// The platform's revision of the last change; 0: no state yet.
    std::uint64_t revision() const { return m_revision; }
    /// The platform's revision at which the set was last read, or that of the change if a peer sent
    /// it.
    std::uint64_t readRevision() const { return m_readRevision; }

private:
    /// Change revision of a set that was empty when first read. Real changes have higher revisions.
    static constexpr std::uint64_t initialRevision = 1;

    ZoneSet m_zones;
    std::uint64_t m_revision = 0;
    std::uint64_t m_readRevision = 0;
};

} // namespace reachlead
