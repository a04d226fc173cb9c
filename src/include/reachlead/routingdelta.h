// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Differences between configurations, so that gateways need not send each other whole ones.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include <reachlead/routing.h>

namespace reachlead {

/// The difference between a configuration and a later one. Items are identified by name.
struct RoutingDelta
{
    std::uint64_t baseVersion = 0; ///< version that it applies to
    std::uint64_t version = 0; ///< version that it results in
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

/// The delta between two configurations; empty if two items of one kind share a name, as items are
/// identified by name.
std::optional<RoutingDelta> computeDelta(const RoutingConfig &from, const RoutingConfig &to);

/// \p base with \p delta applied; empty if the delta applies to another version.
std::optional<RoutingConfig> applyDelta(const RoutingConfig &base, const RoutingDelta &delta);

} // namespace reachlead
