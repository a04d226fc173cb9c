// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/subset.h>

#include <algorithm>
#include <map>
#include <ranges>

#include <xxhash.h>

namespace reachlead {

namespace {

std::uint64_t subsetHash(const VmName &name)
{
    return XXH64(name.text.data(), name.text.size(), 0);
}

/// A member with the hash of its name, which is used often.
struct HashedMember
{
    const Member *member = nullptr;
    std::uint64_t hash = 0;
};

std::uint64_t rendezvousScore(std::uint64_t router, std::uint64_t agent)
{
    return XXH64(&agent, sizeof agent, router);
}

/// True if fewer than \p routersPerAgent routers come before this one in the agent's rendezvous
/// order. Routers of the agent's zone come before all others.
bool isAmongFirst(const std::vector<HashedMember> &routers, const HashedMember &self,
                  const HashedMember &agent, std::size_t routersPerAgent)
{
    const auto key = [&](const HashedMember &router) {
        return std::pair(router.member->zone == agent.member->zone,
                         rendezvousScore(router.hash, agent.hash));
    };
    const auto selfKey = key(self);
    std::size_t higher = 0;
    for (const HashedMember &router : routers) {
        if (key(router) > selfKey && ++higher >= routersPerAgent)
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
    std::vector<HashedMember> routers;
    std::map<TargetName, std::vector<HashedMember>> byTarget;
    for (const Member &member : members) {
        if (member.role == MemberRole::Router)
            routers.push_back({&member, subsetHash(member.vm)});
        else
            byTarget[member.target].push_back({&member, subsetHash(member.vm)});
    }
    const HashedMember hashedSelf{&self, subsetHash(router)};
    std::set<VmName> picked;
    for (auto &[target, agents] : byTarget) {
        std::ranges::sort(agents, std::greater(), [&](const HashedMember &agent) {
            return std::tuple(!agent.member->leaving, agent.member->zone == zone,
                              rendezvousScore(hashedSelf.hash, agent.hash));
        });
        for (std::size_t n = 0; n < agents.size(); ++n) {
            const bool isPicked = target.empty() || n < sizes.agentsPerTarget
                || isAmongFirst(routers, hashedSelf, agents[n], sizes.routersPerAgent);
            if (isPicked)
                picked.insert(agents[n].member->vm);
        }
    }
    return picked;
}

} // namespace reachlead
