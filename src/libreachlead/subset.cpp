// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/subset.h>

#include <algorithm>
#include <map>
#include <ranges>

#include <xxhash.h>

namespace reachlead {

namespace {

std::uint64_t hashOf(const VmName &name)
{
    return XXH64(name.text.data(), name.text.size(), 0);
}

/// A member with the hash of its name, which is needed often.
struct Ranked
{
    const Member *member = nullptr;
    std::uint64_t hash = 0;
};

std::uint64_t rank(std::uint64_t router, std::uint64_t agent)
{
    return XXH64(&agent, sizeof agent, router);
}

/// True when fewer than \p routersPerAgent routers rank higher for the agent than this one. Routers
/// of the agent's own zone come before all others.
bool takesAgent(const std::vector<Ranked> &routers, const Ranked &self, const Ranked &agent,
                std::size_t routersPerAgent)
{
    const auto key = [&](const Ranked &router) {
        return std::pair(router.member->zone == agent.member->zone, rank(router.hash, agent.hash));
    };
    const auto own = key(self);
    std::size_t higher = 0;
    for (const Ranked &router : routers) {
        if (key(router) > own && ++higher >= routersPerAgent)
            return false;
    }
    return true;
}

} // namespace

std::set<VmName> pickAgents(const std::vector<Member> &members, const VmName &router,
                            const ZoneName &zone, const SubsetSizes &sizes)
{
    Member self;
    self.vm = router;
    self.zone = zone;
    std::vector<Ranked> routers;
    std::map<TargetName, std::vector<Ranked>> byTarget;
    for (const Member &member : members) {
        if (member.role == MemberRole::Router)
            routers.push_back({&member, hashOf(member.vm)});
        else
            byTarget[member.target].push_back({&member, hashOf(member.vm)});
    }
    const Ranked own{&self, hashOf(router)};
    std::set<VmName> picked;
    for (auto &[target, agents] : byTarget) {
        std::ranges::sort(agents, std::greater(), [&](const Ranked &agent) {
            return std::tuple(!agent.member->leaving, agent.member->zone == zone,
                              rank(own.hash, agent.hash));
        });
        for (std::size_t n = 0; n < agents.size(); ++n) {
            const bool mine = target.empty() || n < sizes.agentsPerTarget
                || takesAgent(routers, own, agents[n], sizes.routersPerAgent);
            if (mine)
                picked.insert(agents[n].member->vm);
        }
    }
    return picked;
}

} // namespace reachlead
