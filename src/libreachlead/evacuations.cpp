// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/evacuations.h>

#include <iterator>

#include <xxhash.h>

namespace reachlead {

bool Evacuations::setFromPlatform(ZoneSet zones, StoreRevision asOf, Time now)
{
    if (asOf < m_readRevision)
        return false;
    const ZoneSet before = this->zones();
    if (!isKnown())
        m_revision = zones.empty() ? initialRevision : asOf;
    else if (zones != m_zones)
        m_revision = asOf;
    replaceZones(std::move(zones), asOf, now);
    return this->zones() != before;
}

bool Evacuations::applyUpdate(const EvacuationUpdate &update, Time now)
{
    if (update.revision <= m_readRevision)
        return false;
    const ZoneSet before = zones();
    replaceZones(update.zones, update.revision, now);
    m_revision = update.revision;
    for (const HeldZone &it : update.held) {
        const Duration left = std::clamp<Duration>(milliseconds(it.leftMs), {}, restoreGrace);
        m_held.emplace(it.zone, now + left);
    }
    return zones() != before;
}

/// Holds the previous zones if the new ones are those of a restored store.
void Evacuations::replaceZones(ZoneSet zones, StoreRevision asOf, Time now)
{
    if (m_readRevision.isKnown() && asOf.era != m_readRevision.era) {
        for (const ZoneName &zone : m_zones)
            m_held.emplace(zone, now + restoreGrace);
    }
    m_readRevision = asOf;
    m_zones = std::move(zones);
    std::erase_if(m_held, [this](const auto &it) { return m_zones.contains(it.first); });
}

bool Evacuations::expire(Time now)
{
    return std::erase_if(m_held, [now](const auto &it) { return it.second <= now; }) > 0;
}

EvacuationUpdate Evacuations::updateSince(StoreRevision known, Time now) const
{
    if (m_revision <= known)
        return {};
    EvacuationUpdate update{m_revision, m_zones, {}};
    for (const auto &[zone, until] : m_held) {
        const Duration left = std::max(until - now, Duration{});
        update.held.push_back({zone, static_cast<std::int32_t>(toMillis(left))});
    }
    return update;
}

ZoneSet Evacuations::zones() const
{
    ZoneSet zones = m_zones;
    std::ranges::transform(m_held, std::inserter(zones, zones.end()),
                           [](const auto &it) { return it.first; });
    return zones;
}

std::uint32_t Evacuations::checksum() const
{
    std::uint32_t hash = 0;
    for (const ZoneName &zone : m_zones)
        hash = XXH32(zone.text.data(), zone.text.size(), hash);
    return hash;
}

} // namespace reachlead
