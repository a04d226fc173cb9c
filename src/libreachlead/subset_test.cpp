// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <iostream>
#include <map>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <reachlead/subset.h>

namespace reachlead {

class SubsetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SubsetTest);
    CPPUNIT_TEST(everyTargetAndEveryAgentIsCovered);
    CPPUNIT_TEST(churnMovesFewSessions);
    CPPUNIT_TEST(smallFleetIsPickedWhole);
    CPPUNIT_TEST(agentsWithoutTargetArePicked);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned zones = 11;
    static constexpr unsigned targets = 38;

    /// A tenth of the planned fleet.
    static std::vector<Member> fleet(unsigned routers = 48, unsigned agents = 1200)
    {
        std::vector<Member> members;
        members.reserve(routers + agents);
        for (unsigned n = 0; n < routers; ++n) {
            members.push_back({VmName(fmt::format("r{}", n)), MemberRole::Router,
                               ZoneName(fmt::format("z{}", n % zones)), "127.0.0.1", 1, false,
                               TargetName()});
        }
        for (unsigned n = 0; n < agents; ++n) {
            members.push_back({VmName(fmt::format("a{}", n)), MemberRole::Agent,
                               ZoneName(fmt::format("z{}", n / targets % zones)), "127.0.0.1", 1,
                               false, modelTarget(fmt::format("m{}", n % targets))});
        }
        return members;
    }

    static std::map<VmName, std::set<VmName>> sessions(const std::vector<Member> &members)
    {
        std::map<VmName, std::set<VmName>> all;
        for (const Member &member : members) {
            if (member.role == MemberRole::Router)
                all[member.vm] = pickAgents(members, member.vm, member.zone);
        }
        return all;
    }

    void everyTargetAndEveryAgentIsCovered()
    {
        const std::vector<Member> members = fleet();
        std::map<VmName, TargetName> targetByVm;
        for (const Member &member : members)
            targetByVm[member.vm] = member.target;
        std::map<VmName, unsigned> routersByAgent;
        std::size_t maxSessions = 0;
        std::size_t sum = 0;
        for (const auto &[router, agents] : sessions(members)) {
            std::set<TargetName> served;
            for (const VmName &agent : agents) {
                served.insert(targetByVm.at(agent));
                ++routersByAgent[agent];
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{targets}, served.size());
            maxSessions = std::max(maxSessions, agents.size());
            sum += agents.size();
        }
        unsigned minRouters = 1000;
        for (const auto &[vm, target] : targetByVm) {
            if (!target.empty())
                minRouters = std::min(minRouters, routersByAgent[vm]);
        }
        CPPUNIT_ASSERT(minRouters >= SubsetSizes().routersPerAgent);
        std::cout << fmt::format(" [sessions per router: mean {:.0f}, max {}; routers per agent: "
                                 "min {}]",
                                 static_cast<double>(sum) / 48, maxSessions, minRouters);
        CPPUNIT_ASSERT(maxSessions < 400);
    }

    static std::size_t moved(const std::map<VmName, std::set<VmName>> &before,
                             const std::map<VmName, std::set<VmName>> &after, const VmName &removed)
    {
        std::size_t n = 0;
        for (const auto &[router, agents] : after) {
            for (const VmName &agent : agents)
                n += before.at(router).contains(agent) || agent == removed ? 0 : 1;
        }
        return n;
    }

    void churnMovesFewSessions()
    {
        const std::vector<Member> whole = fleet();
        const auto before = sessions(whole);
        std::size_t all = 0;
        for (const auto &[router, agents] : before)
            all += agents.size();
        std::vector<Member> withoutAgent = whole;
        std::erase_if(withoutAgent, [](const Member &m) { return m.vm == VmName("a77"); });
        std::vector<Member> withoutRouter = whole;
        std::erase_if(withoutRouter, [](const Member &m) { return m.vm == VmName("r7"); });
        const std::size_t byAgent = moved(before, sessions(withoutAgent), VmName("a77"));
        const std::size_t byRouter = moved(before, sessions(withoutRouter), VmName("r7"));
        std::cout << fmt::format(" [of {} sessions moved: {} by one agent, {} by one router]", all,
                                 byAgent, byRouter);
        CPPUNIT_ASSERT(byAgent <= 8); // those that had picked it pick another
        CPPUNIT_ASSERT(byRouter
                       <= before.at(VmName("r7")).size()); // its own sessions, moved to others
    }

    void smallFleetIsPickedWhole()
    {
        const std::vector<Member> members = fleet(4, 35);
        for (const auto &[router, agents] : sessions(members))
            CPPUNIT_ASSERT_EQUAL(std::size_t{35}, agents.size());
    }

    void agentsWithoutTargetArePicked()
    {
        std::vector<Member> members = fleet(40, 0);
        for (unsigned n = 0; n < 100; ++n) {
            Member agent;
            agent.vm = VmName(fmt::format("x{}", n));
            agent.role = MemberRole::Agent;
            members.push_back(agent);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{100},
                             pickAgents(members, VmName("r1"), ZoneName("z1")).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubsetTest);

} // namespace reachlead
