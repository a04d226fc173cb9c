// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include "peer/placementpair.h"

namespace reachlead {

/// What upstreams say of themselves in answers to one gateway, and another one places calls.
class PlacementNoticesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementNoticesTest);
    CPPUNIT_TEST(schedulerKeepsALimitThatItsAskerHeard);
    CPPUNIT_TEST(plainCallsArePlacedWhileAnUpstreamIsLimited);
    CPPUNIT_TEST(limitsOfALostSchedulerAreGivenOutByTheNext);
    CPPUNIT_TEST(schedulerHearsOfAnUpstreamThatLeaves);
    CPPUNIT_TEST(backoffIsBetweenOneUpstreamAndOneGateway);
    CPPUNIT_TEST_SUITE_END();

    using Pair = PlacementPair;
    static constexpr unsigned upstreamCount = Pair::upstreamCount;

    /// Each engine named a limit in an answer to the asker alone.
    static void limitAll(const Pair &pair, CallRate rate)
    {
        for (const UpstreamEntry &entry : Pair::upstreams(upstreamCount))
            pair.querier->state.upstreams().limits().recordAnswer(
                entry.id, rate, RuntimeClock::now(), vmTimeOfDay());
    }

    void schedulerKeepsALimitThatItsAskerHeard()
    {
        Pair pair;
        limitAll(pair, CallRate{1000});
        for (unsigned n = 0; n < 20; ++n) {
            pair.query();
            pair.advance(milliseconds(10));
        }
        const std::uint64_t given = pair.scheduler->counters.value(Counter::PlacementsGiven);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{upstreamCount}, given);
    }

    void plainCallsArePlacedWhileAnUpstreamIsLimited()
    {
        Pair pair;
        pair.prompt.clear();
        pair.query();
        pair.advance(milliseconds(10));
        CPPUNIT_ASSERT(pair.placed->placedBy == pair.querier->state.vm());
        limitAll(pair, CallRate{1000});
        pair.query();
        pair.advance(milliseconds(10));
        CPPUNIT_ASSERT(pair.placed->selection);
        CPPUNIT_ASSERT(pair.placed->placedBy == pair.scheduler->state.vm());
    }

    /// Only the asker got an answer that said so.
    void schedulerHearsOfAnUpstreamThatLeaves()
    {
        Pair pair;
        pair.query();
        pair.advance(milliseconds(10));
        UpstreamNotice leaving;
        leaving.isLeaving = true;
        const UpstreamId leaver = pair.placed->selection->upstream;
        pair.querier->state.applyNotice(leaver, leaving);
        for (int n = 0; n < 5; ++n) {
            pair.query();
            pair.advance(milliseconds(10));
            CPPUNIT_ASSERT(pair.placed && pair.placed->selection);
            CPPUNIT_ASSERT(pair.placed->selection->upstream != leaver);
            CPPUNIT_ASSERT(pair.placed->placedBy == pair.scheduler->state.vm());
        }
        const UpstreamDirectory &known = pair.scheduler->state.directory();
        CPPUNIT_ASSERT(!known.takesWork(*known.find(leaver)));
    }

    /// Two engines asked the asker to back off, the third one asked the scheduler.
    void backoffIsBetweenOneUpstreamAndOneGateway()
    {
        Pair pair;
        pair.prompt = {{1, 100}, {2, 50}};
        const Time now = RuntimeClock::now();
        pair.querier->state.upstreams().backoffs().add(UpstreamId("u0"), seconds(3), now);
        pair.querier->state.upstreams().backoffs().add(UpstreamId("u1"), seconds(3), now);
        pair.scheduler->state.upstreams().backoffs().add(UpstreamId("u2"), seconds(3), now);
        for (int n = 0; n < 5; ++n) {
            pair.query();
            pair.advance(milliseconds(10));
            CPPUNIT_ASSERT(pair.placed && pair.placed->selection);
            CPPUNIT_ASSERT(pair.placed->selection->upstream == UpstreamId("u2"));
            CPPUNIT_ASSERT(pair.placed->placedBy == pair.scheduler->state.vm());
        }
        pair.querier->state.upstreams().backoffs().add(UpstreamId("u2"), seconds(3), now);
        pair.query();
        pair.advance(milliseconds(100));
        CPPUNIT_ASSERT(pair.placed && !pair.placed->selection);
    }

    /// The list of gateways names the lost one still, as the platform's store is away.
    void limitsOfALostSchedulerAreGivenOutByTheNext()
    {
        Pair pair;
        pair.prompt = {{1, 100}, {2, 50}};
        pair.advance(seconds(2)); // they hear each other
        pair.scheduler->peers.stop();
        limitAll(pair, CallRate{1000});
        const auto placedIn = [&](Duration span) {
            unsigned placed = 0;
            for (Duration done{}; done < span; done += milliseconds(100)) {
                pair.query();
                pair.advance(milliseconds(100));
                placed += pair.placed && pair.placed->selection ? 1U : 0U;
            }
            return placed;
        };
        const unsigned unsure = placedIn(seconds(4)); // it may be another one's part still
        CPPUNIT_ASSERT(unsure <= upstreamCount * 2);
        pair.advance(GatewayPeers::peerTimeout);
        const unsigned sure = placedIn(seconds(4));
        CPPUNIT_ASSERT(sure >= 8 && sure <= upstreamCount * 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementNoticesTest);

} // namespace reachlead
