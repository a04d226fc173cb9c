// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include "peer/placementpair.h"

namespace reachlead {

/// Notices of upstreams that only one gateway receives, while another gateway places the calls.
class PlacementNoticesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementNoticesTest);
    CPPUNIT_TEST(schedulerKeepsALimitReceivedByTheQuerier);
    CPPUNIT_TEST(plainCallsArePlacedWhileAnUpstreamIsLimited);
    CPPUNIT_TEST(limitsOfALostSchedulerPassToTheNext);
    CPPUNIT_TEST(schedulerHearsOfAnUpstreamThatLeaves);
    CPPUNIT_TEST(backoffIsBetweenOneUpstreamAndOneGateway);
    CPPUNIT_TEST_SUITE_END();

    using Pair = PlacementPair;
    static constexpr unsigned upstreamCount = Pair::upstreamCount;

    /// Each engine has announced a limit in an answer to the querying gateway only.
    static void limitAll(const Pair &pair, CallRate rate)
    {
        for (const UpstreamEntry &entry : Pair::upstreams(upstreamCount))
            pair.querier->state.upstreams().limits().recordAnswer(
                entry.id, rate, RuntimeClock::now(), vmTimeOfDay());
    }

    void schedulerKeepsALimitReceivedByTheQuerier()
    {
        Pair pair;
        limitAll(pair, CallRate{1000});
        for (unsigned n = 0; n < 20; ++n) {
            pair.query();
            pair.advance(milliseconds(10));
        }
        const std::uint64_t placements = pair.scheduler->counters.value(Counter::PlacementsGiven);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{upstreamCount}, placements);
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

    /// Only the querying gateway receives the notice that the upstream leaves. If the scheduler did
    /// not learn of it, it would go on placing calls there.
    void schedulerHearsOfAnUpstreamThatLeaves()
    {
        Pair pair;
        pair.query();
        pair.advance(milliseconds(10));
        UpstreamNotice notice;
        notice.isLeaving = true;
        const UpstreamId leavingId = pair.placed->selection->upstream;
        pair.querier->state.applyNotice(leavingId, notice);
        for (int n = 0; n < 5; ++n) {
            pair.query();
            pair.advance(milliseconds(10));
            CPPUNIT_ASSERT(pair.placed && pair.placed->selection);
            CPPUNIT_ASSERT(pair.placed->selection->upstream != leavingId);
            CPPUNIT_ASSERT(pair.placed->placedBy == pair.scheduler->state.vm());
        }
        const UpstreamDirectory &known = pair.scheduler->state.directory();
        CPPUNIT_ASSERT(!known.takesWork(*known.find(leavingId)));
    }

    /// Two engines requested a backoff from the querying gateway, the third one from the scheduler.
    /// A backoff must not keep other gateways from the upstream.
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

    /// The list of gateways still has the lost scheduler, as the platform's store is unavailable.
    /// The next gateway must take over its limits, or the upstreams get too few calls.
    void limitsOfALostSchedulerPassToTheNext()
    {
        Pair pair;
        pair.prompt = {{1, 100}, {2, 50}};
        pair.advance(seconds(2)); // they exchange heartbeats
        pair.scheduler->peers.stop();
        limitAll(pair, CallRate{1000});
        const auto placedIn = [&](Duration duration) {
            unsigned placed = 0;
            for (Duration elapsed{}; elapsed < duration; elapsed += milliseconds(100)) {
                pair.query();
                pair.advance(milliseconds(100));
                placed += pair.placed && pair.placed->selection ? 1U : 0U;
            }
            return placed;
        };
        const unsigned beforeTimeout =
            placedIn(seconds(4)); // another gateway may still own the limit
        CPPUNIT_ASSERT(beforeTimeout <= upstreamCount * 2);
        pair.advance(GatewayPeers::peerTimeout);
        const unsigned afterTimeout = placedIn(seconds(4));
        CPPUNIT_ASSERT(afterTimeout >= 8 && afterTimeout <= upstreamCount * 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementNoticesTest);

} // namespace reachlead
