// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A request whose content ended the process of each engine that began it came again and again, at
/// any of the routers. Each took the lost engine's agent for the culprit and the request for its
/// victim, and sent it to the next one (`retries_total{reason="upstream-lost"}`). Nothing that was
/// learned outlived the request or left its router. Here three routers are asked in turn, before
/// eight engines that are back after 3 s.

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include "reachlead-load/policyrig.h"

namespace reachlead::rig {

class EndedUpstreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndedUpstreamsTest);
    CPPUNIT_TEST(requestThatEndsUpstreamsIsKeptFromThem);
    CPPUNIT_TEST(requestsBesideItAreServed);
    CPPUNIT_TEST(aSingleUpstreamIsKeptFromItToo);
    CPPUNIT_TEST(whatMayHaveRunIsNotToldAsNotRun);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t endsNeeded = 3; ///< until the request is known for it
    static constexpr std::size_t endsUnderWay = 3; ///< while the last word still spreads
    static constexpr Duration downFor = seconds(3);

    static PoliciesPtr policies()
    {
        auto made = std::make_shared<Policies>();
        ClassPolicy cls;
        cls.name = ClassName("top");
        cls.late = LatePolicy::Deliver;
        cls.deadline = seconds(20);
        made->classes[cls.name] = cls;
        return made;
    }

    static CallerRequest deadly() { return modelRequest("depot", "top", "m", 20, 666); }

    /// Three routers, and engines that end under one request's content.
    struct Fleet
    {
        explicit Fleet(unsigned engines) : rig(20261203, policies())
        {
            AgentTuning tuning;
            tuning.window = {1, 8, 4};
            for (unsigned n = 0; n < engines; ++n)
                rig.addAgent(fmt::format("e{}", n), "z1", modelTarget("m"), tuning);
            for (const char *name : {"r0", "r1", "r2"})
                rig.addRouter(name, "z1");
            rig.endUpstreamsBy(deadly().call.body, downFor);
            rig.run(seconds(1));
        }

        /// The request comes \p n times, a second apart, at one router after the other.
        void askDeadly(unsigned n)
        {
            for (unsigned it = 0; it < n; ++it) {
                last = rig.send(fmt::format("r{}", it % 3), deadly());
                rig.run(seconds(1));
            }
        }

        AnswerResult endOf(const RequestId &id) const
        {
            const CallerRecord &record = rig.callers.at(id);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, record.ends.size());
            return record.ends.front();
        }

        Rig rig;
        RequestId last;
    };

    void requestThatEndsUpstreamsIsKeptFromThem()
    {
        Fleet fleet(8);
        fleet.askDeadly(30);
        fleet.rig.settle(seconds(30));
        const std::size_t ended = fleet.rig.upstreamEnds.size();
        CPPUNIT_ASSERT_MESSAGE(fmt::format("ended: {}", ended), ended <= endsNeeded + endsUnderWay);
        const AnswerResult end = fleet.endOf(fleet.last);
        CPPUNIT_ASSERT(end.kind == ErrorKind::RequestQuarantined);
        CPPUNIT_ASSERT(end.outcome == Outcome::NotRun);
    }

    /// Other requests of the same account run beside it, and are lost with its engines.
    void requestsBesideItAreServed()
    {
        Fleet fleet(8);
        std::vector<RequestId> beside;
        for (unsigned n = 0; n < 15; ++n) {
            for (std::uint64_t salt = 0; salt < 4; ++salt)
                beside.push_back(fleet.rig.send(fmt::format("r{}", salt % 3),
                                                modelRequest("depot", "top", "m", 20, salt)));
            fleet.askDeadly(1);
        }
        fleet.rig.settle(seconds(60));
        const auto whole = std::ranges::count_if(
            beside, [&](const RequestId &id) { return fleet.endOf(id).kind == ErrorKind::None; });
        CPPUNIT_ASSERT_EQUAL(beside.size(), static_cast<std::size_t>(whole));
    }

    /// Where one engine ends again and again, each of its lives counts.
    void aSingleUpstreamIsKeptFromItToo()
    {
        Fleet fleet(1);
        fleet.askDeadly(40);
        fleet.rig.settle(seconds(60));
        CPPUNIT_ASSERT(fleet.rig.upstreamEnds.size() >= endsNeeded);
        CPPUNIT_ASSERT(fleet.rig.upstreamEnds.size() <= endsNeeded + endsUnderWay);
    }

    /// Its engine was lost under it, and no other try began.
    void whatMayHaveRunIsNotToldAsNotRun()
    {
        Fleet fleet(1);
        fleet.rig.endUpstreamsBy(deadly().call.body, seconds(600));
        const RequestId id = fleet.rig.send("r0", deadly());
        fleet.rig.settle(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.rig.upstreamEnds.size());
        CPPUNIT_ASSERT(fleet.endOf(id).outcome != Outcome::NotRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndedUpstreamsTest);

} // namespace reachlead::rig
