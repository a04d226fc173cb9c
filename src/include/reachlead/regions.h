// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// In which regions the calls of a route or an account may be worked on.

#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <ranges>
#include <vector>

#include <reachlead/evacuations.h>
#include <reachlead/ids.h>

namespace reachlead {

/// The region of each availability zone, by the settings.
using RegionByZone = std::map<ZoneName, RegionName>;

/// True when a list of allowed regions names this one; an empty list allows all.
inline bool allows(const std::vector<RegionName> &allowed, const RegionName &region)
{
    return allowed.empty() || std::ranges::find(allowed, region) != allowed.end();
}

/// The zones whose upstreams may work on a call, by what its route and its account allow; where
/// both name regions, both bind. Nothing: all zones. A zone that the settings do not name is in
/// none of the regions.
inline std::optional<ZoneSet> allowedZones(const RegionByZone &regions,
                                           const std::vector<RegionName> &byRoute,
                                           const std::vector<RegionName> &byAccount)
{
    if (byRoute.empty() && byAccount.empty())
        return std::nullopt;
    ZoneSet zones;
    const auto isAllowed = [&](const auto &it) {
        return allows(byRoute, it.second) && allows(byAccount, it.second);
    };
    for (const auto &[zone, region] : regions | std::views::filter(isAllowed))
        zones.insert(zone);
    return zones;
}

} // namespace reachlead
