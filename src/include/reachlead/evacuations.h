// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which availability zones are evacuated: nothing new is sent to their upstreams.

#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include <reachlead/ids.h>

namespace reachlead {

using ZoneSet = std::set<ZoneName>;

/// What one gateway tells another: the zones, and the platform's revision of their last change.
struct EvacuationUpdate
{
    std::uint64_t revision = 0; ///< 0: the teller knows nothing
    ZoneSet zones;

    template <class Archive> void serialize(Archive &ar) { ar(revision, zones); }
};

/// The evacuated zones by the newest word of the platform or of a peer. Not thread-safe.
///
/// A set holds from the revision of its last change to the revision at which it was last read.
/// Peers compare the former, which moves with changes alone, with the latter: so a fleet whose
/// gateways read an unchanged set at different revisions has nothing to tell each other, and an old
/// set that a peer still holds never replaces a newer one, also where the zone was evacuated, taken
/// back and evacuated again.
class Evacuations
{
public:
    /// Takes the platform's whole set as of its revision \p asOf; true when the zones changed.
    bool setFromPlatform(ZoneSet zones, std::uint64_t asOf)
    {
        if (asOf < m_readAt)
            return false;
        m_readAt = asOf;
        const bool isSame = zones == m_zones;
        if (m_revision == 0)
            m_revision = zones.empty() ? noChange : asOf;
        else if (!isSame)
            m_revision = asOf;
        m_zones = std::move(zones);
        return !isSame;
    }

    /// Takes what a peer told, if it changed later than what is known here was read; true when the
    /// zones changed.
    bool applyUpdate(const EvacuationUpdate &news)
    {
        if (news.revision <= m_readAt)
            return false;
        m_readAt = news.revision;
        m_revision = news.revision;
        return std::exchange(m_zones, news.zones) != news.zones;
    }

    /// A peer has a set of this revision and mark(). Where this gateway read a different set later,
    /// its own becomes news: it may be the only one that read the platform after the change.
    void compareWithPeer(std::uint64_t revision, std::uint32_t mark)
    {
        if (revision > m_revision && revision <= m_readAt)
            m_revision = mark == this->checksum() ? revision : m_readAt;
    }

    /// A number by which sets are told apart; 0: no zone.
    std::uint32_t checksum() const;

    /// What is told to a gateway whose readRevision() is \p known; a revision of 0 tells nothing.
    EvacuationUpdate updateSince(std::uint64_t known) const
    {
        return m_revision > known ? EvacuationUpdate{m_revision, m_zones} : EvacuationUpdate{};
    }

    const ZoneSet &zones() const { return m_zones; }
    bool isKnown() const { return m_revision > 0; }

    /// The platform's revision of the last change; 0: nothing is known.
    std::uint64_t revision() const { return m_revision; }
    /// The platform's revision at which the set was last read, or its last change by a peer.
    std::uint64_t readRevision() const { return m_readAt; }

private:
    /// Of a set that was empty when it was first read. Changes have higher revisions.
    static constexpr std::uint64_t noChange = 1;

    ZoneSet m_zones;
    std::uint64_t m_revision = 0;
    std::uint64_t m_readAt = 0;
};

} // namespace reachlead
