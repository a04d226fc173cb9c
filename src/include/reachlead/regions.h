// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Regions in which the calls of a route or an account may be processed.

#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <ranges>
#include <vector>

#include <reachlead/evacuations.h>
#include <reachlead/ids.h>

namespace reachlead {

/// The region of each availability zone, from the settings.
using RegionByZone = std::map<ZoneName, RegionName>;

/// True if the list contains the region; an empty list allows all.
inline bool isRegionAllowed(const std::vector<RegionName> &allowed, const RegionName &region)
{
    return allowed.empty() || std::ranges::find(allowed, region) != allowed.end();
}

/// The zones whose upstreams may process a call, given the regions that its route and its account
/// allow; if both list regions, both apply. nullopt: all zones. A zone that is missing from the
/// settings belongs to no region.
inline std::optional<ZoneSet> allowedZones(const RegionByZone &regions,
                                           const std::vector<RegionName> &byRoute,
                                           const std::vector<RegionName> &byAccount)
{
    if (byRoute.empty() && byAccount.empty())
        return std::nullopt;
    ZoneSet zones;
    const auto isAllowedByBoth = [&](const auto &it) {
        return isRegionAllowed(byRoute, it.second) && isRegionAllowed(byAccount, it.second);
    };
    for (const auto &[zone, region] : regions | std::views::filter(isAllowedByBoth))
        zones.insert(zone);
    return zones;
}

} // namespace reachlead
