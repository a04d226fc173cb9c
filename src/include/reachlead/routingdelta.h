// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What changed between two configurations, so that gateways need not tell each other whole ones.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <reachlead/routing.h>

namespace reachlead {

/// The way from one configuration to a later one. Items are known by their names.
struct RoutingDelta
{
    std::uint64_t baseVersion = 0; ///< version that it starts from
    std::uint64_t version = 0; ///< version that it leads to
    std::vector<Route> routes; ///< new or changed
    std::vector<std::string> removedRoutes;
    std::vector<ServiceInfo> services; ///< new or changed
    std::vector<ServiceName> removedServices;
    std::vector<AccountKeys> accounts; ///< new or changed
    std::vector<AccountName> removedAccounts;
    CallerLimits limits;

    template <class Archive> void serialize(Archive &ar)
    {
        ar(baseVersion, version, routes, removedRoutes, services, removedServices, accounts,
           removedAccounts, limits);
    }
};

/// The difference; nothing when two items of one kind share a name, as it could not be told then.
std::optional<RoutingDelta> computeDelta(const RoutingConfig &from, const RoutingConfig &to);

/// The configuration that \p delta leads to; nothing when it starts from another version.
std::optional<RoutingConfig> applied(const RoutingConfig &base, const RoutingDelta &delta);

} // namespace reachlead
