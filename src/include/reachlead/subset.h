// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which agents a router holds sessions to: a deterministic part of all, so that neither the
/// sessions of a router nor those of an agent grow with the fleet.

#pragma once

#include <set>
#include <vector>

#include <reachlead/platform.h>

namespace reachlead {

/// The sizes of the parts.
struct SubsetSizes
{
    std::size_t agentsPerTarget = 2; ///< a router picks so many of each target, own zone first
    std::size_t routersPerAgent = 4; ///< an agent is taken by so many routers at least
};

/// The agents that \p router of \p zone holds sessions to. Both rules rank by rendezvous hashing
/// (Thaler and Ravishankar, 1998), so that a VM that comes or goes moves its own sessions and
/// few others. An agent whose target the list does not name is always taken: without it the
/// router could not know whom it leaves out.
std::set<VmName> pickAgents(const std::vector<Member> &members, const VmName &router,
                            const ZoneName &zone, const SubsetSizes &sizes = {});

} // namespace reachlead
