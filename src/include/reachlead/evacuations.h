// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Availability zones that are evacuated: their upstreams get no new calls.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <reachlead/clock.h>
#include <reachlead/ids.h>
#include <reachlead/storerevision.h>

namespace reachlead {

using ZoneSet = std::set<ZoneName>;

/// A zone that was evacuated when the store was restored from a copy that does not know of it.
struct HeldZone
{
    ZoneName zone;
    std::int32_t leftMs = 0; ///< until its upstreams get calls again

    template <class Archive> void serialize(Archive &ar) { ar(zone, leftMs); }
};

/// The evacuated zones as one gateway reports them to another, with the platform's revision of the
/// last change.
struct EvacuationUpdate
{
    StoreRevision revision; ///< unknown: the sender has no state
    ZoneSet zones;
    std::vector<HeldZone> held; ///< not in the platform's set

    template <class Archive> void serialize(Archive &ar) { ar(revision, zones, held); }
};

/// The evacuated zones by the newest state received from the platform or a peer. Not thread-safe.
///
/// A set is valid from the revision of its last change to the revision at which it was last read.
/// Peers compare the change revision of a set with the read revision of their own. Gateways that
/// read an unchanged set at different revisions therefore exchange nothing, and a stale set of a
/// peer never replaces a newer one, even if the zone was evacuated, restored and evacuated again.
///
/// If the store was restored from an older copy, it may have lost evacuations, which the operator
/// writes again. A zone that was evacuated before therefore remains so for restoreGrace.
class Evacuations
{
public:
    /// Time for the operator to repeat evacuations that a restored store has lost.
    static constexpr Duration restoreGrace = seconds(5);

    /// Takes over the platform's complete set as of revision \p asOf; returns true if the zones in
    /// force changed.
    bool setFromPlatform(ZoneSet zones, StoreRevision asOf, Time now);

    /// Takes over a peer's set if it changed after the local set was last read; returns true if the
    /// zones in force changed.
    bool applyUpdate(const EvacuationUpdate &update, Time now);

    /// Ends holds whose time is over; returns true if the zones in force changed.
    bool expire(Time now);

    /// Compares with the change revision and checksum() of a peer's set. If this gateway read a
    /// different set later, it dates its own set as changed, so that peers fetch it: it may be the
    /// only gateway that has read the platform since the change.
    void compareWithPeer(StoreRevision revision, std::uint32_t peerChecksum)
    {
        if (revision > m_revision && revision <= m_readRevision)
            m_revision = peerChecksum == this->checksum() ? revision : m_readRevision;
    }

    /// Checksum of the platform's set, to compare it with others; 0 if no zone is evacuated.
    std::uint32_t checksum() const;

    /// The update for a gateway whose readRevision() is \p known; without a revision: no update
    /// needed.
    EvacuationUpdate updateSince(StoreRevision known, Time now) const;

    /// The zones in force: those of the platform and those held after a restore.
    ZoneSet zones() const;
    bool isKnown() const { return m_revision.isKnown(); }

    /// The platform's revision of the last change; unknown: no state yet.
    StoreRevision revision() const { return m_revision; }
    /// The platform's revision at which the set was last read, or that of the change if a peer sent
    /// it.
    StoreRevision readRevision() const { return m_readRevision; }

private:
    /// Change revision of a set that was empty when first read. Real changes have higher revisions.
    static constexpr StoreRevision initialRevision{1};

    void replaceZones(ZoneSet zones, StoreRevision asOf, Time now);

    ZoneSet m_zones; ///< of the platform
    std::map<ZoneName, Time> m_held; ///< until when
    StoreRevision m_revision;
    StoreRevision m_readRevision;
};

} // namespace reachlead
