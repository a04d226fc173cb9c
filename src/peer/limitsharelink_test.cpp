// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "peer/limitsharelink.h"
#include "peer/payload.h"
#include "peer/testfleet.h"

namespace reachlead {

/// Gateways that lend each other shares of a limit over real datagrams, on a paused clock.
class LimitShareLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitShareLinkTest);
    CPPUNIT_TEST(gatewayWithAllCallsBorrowsTheSharesOfTheOthers);
    CPPUNIT_TEST(nothingIsSentWithoutALimit);
    CPPUNIT_TEST(requestsStayWithinTheControlTraffic);
    CPPUNIT_TEST_SUITE_END();

    static constexpr CallRate limit{2200};

    static UpstreamId upstream() { return UpstreamId("u", 7); }

    struct Node
    {
        Node(boost::asio::io_context &io, const std::string &vm, const std::string &key,
             std::vector<Endpoint> seeds)
            : state(testStateOptions(vm)),
              peers(io, testPeerOptions(vm, key, std::move(seeds)), state),
              link(io, state, peers, &counters)
        {
            UpstreamEntry entry;
            entry.id = upstream();
            entry.service = ServiceName("llm");
            entry.slots = 64;
            state.upstreamsListed({entry}, 1);
        }
        ~Node()
        {
            link.stop();
            peers.stop();
        }
        Node(const Node &) = delete;
        Node &operator=(const Node &) = delete;

        /// Returns true if the upstream gets the call.
        bool place()
        {
            const Time now = RuntimeClock::now();
            const SelectionQuery query{ServiceName("llm"), "m", {}};
            const auto selection = state.upstreams().select(query, state.directory(), now);
            if (!selection)
                return false;
            state.upstreams().sent(selection->upstream, query, *selection, now);
            state.upstreams().ended(selection->upstream, 0, false);
            return true;
        }

        double usable()
        {
            return state.upstreams()
                .limitShares()
                .usable(upstream(), RuntimeClock::now())
                .fraction();
        }

        Counters counters;
        GatewayState state;
        GatewayPeers peers;
        LimitShareLink link;
    };
    using Fleet = TestFleet<Node>;

    static void announceLimit(Node &node)
    {
        node.state.upstreams().limits().recordAnswer(upstream(), limit, RuntimeClock::now(),
                                                     vmTimeOfDay());
    }

    void gatewayWithAllCallsBorrowsTheSharesOfTheOthers()
    {
        Fleet fleet(4);
        Node &first = *fleet.nodes[0];
        fleet.advance(LimitShares::startDelay);
        announceLimit(first);
        std::size_t calls = 0;
        constexpr int steps = 90;
        for (int n = 0; n < steps; ++n) {
            calls += first.place() ? 1 : 0;
            announceLimit(first); // as answers do
            fleet.advance(milliseconds(100));
        }
        CPPUNIT_ASSERT(first.usable() > 0.99);
        CPPUNIT_ASSERT(fleet.nodes[3]->usable() < 0.01);
        CPPUNIT_ASSERT(static_cast<double>(calls) >= 0.75 * 9 * limit.perSecond());
        CPPUNIT_ASSERT(first.counters.value(Counter::LimitSharesBorrowed) >= 3);
        CPPUNIT_ASSERT(fleet.nodes[3]->counters.value(Counter::LimitSharesLent) >= 1);
        fleet.advance(LimitShares::leaseTime + seconds(1)); // without calls
        CPPUNIT_ASSERT(fleet.nodes[3]->usable() > 0.24 && first.usable() < 0.26);
    }

    void nothingIsSentWithoutALimit()
    {
        Fleet fleet(3);
        for (int n = 0; n < 20; ++n) {
            CPPUNIT_ASSERT(fleet.nodes[0]->place());
            fleet.advance(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             fleet.nodes[0]->counters.value(Counter::LimitSharesRequested));
    }

    /// Heartbeats use up to half of their bandwidth in the largest fleets; see HeartbeatBudget.
    void requestsStayWithinTheControlTraffic()
    {
        constexpr double maxBytesPerSecond = 15'000;
        const HeartbeatBudget heartbeats;
        LimitShareRequest request;
        request.from = {VmName("gateway-vm-0123"), Incarnation{1}};
        request.needs = {{UpstreamId("engine-01234", 1'764'000'000'000), {333'333}, limit}};
        std::string reason;
        const auto keys = FleetKeys::parse(testFleetKey, &reason);
        const std::string bytes =
            signMessage(*keys, PeerMessageKind::LimitShareRequest, {}, pvt::encodePayload(request));
        const double perSecond =
            static_cast<double>((bytes.size() + 1) * LimitShareLink::maxRequests)
            / toSeconds(LimitShareLink::interval);
        constexpr std::size_t usualHeartbeat = 300;
        CPPUNIT_ASSERT(perSecond + heartbeats.allowedRate(usualHeartbeat, 479)
                       <= maxBytesPerSecond);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitShareLinkTest);

} // namespace reachlead
