// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Deterministic subsetting of the agents that a router holds sessions to, so that neither the
/// sessions of a router nor those of an agent grow with the fleet.

#pragma once

#include <set>
#include <vector>

#include <reachlead/platform.h>

namespace reachlead {

/// The sizes of the subsets.
struct SubsetSizes
{
    std::size_t agentsPerTarget = 2; ///< agents that a router picks per target, own zone first
    std::size_t routersPerAgent = 4; ///< minimum number of routers that pick an agent
};

/// The agents that \p router in \p zone holds sessions to. Both sizes are filled in the order of
/// rendezvous hashing (Thaler and Ravishankar, 1998), so that adding or removing a VM moves its own
/// sessions and few others. An agent listed without a target is always picked, since the router
/// cannot tell which target it would take the agent from otherwise.
std::set<VmName> pickAgents(const std::vector<Member> &members, const VmName &router,
                            const ZoneName &zone, const SubsetSizes &sizes = {});

} // namespace reachlead
