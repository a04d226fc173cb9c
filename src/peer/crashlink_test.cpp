// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include "peer/crashlink.h"
#include "peer/testfleet.h"

namespace reachlead {

/// Gateways that exchange crash reports over real datagrams, on a paused clock.
class CrashLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashLinkTest);
    CPPUNIT_TEST(endsSeenAtThreeGatewaysAddUp);
    CPPUNIT_TEST(gatewayThatStartsLaterLearnsOfIt);
    CPPUNIT_TEST(singleGatewayQuarantines);
    CPPUNIT_TEST(completedRequestIsClearedEverywhere);
    CPPUNIT_TEST(reportWithAnotherKeyIsIgnored);
    CPPUNIT_TEST(allGatewaysSelectTheSameCollectors);
    CPPUNIT_TEST_SUITE_END();

    static ContentDigest request(std::string_view body)
    {
        return computeDigest({AccountName("a"), "h", "/p", body});
    }

    struct Node
    {
        Node(boost::asio::io_context &io, const std::string &vm, const std::string &key,
             std::vector<Endpoint> seeds)
            : state(testStateOptions(vm)),
              peers(io, testPeerOptions(vm, key, std::move(seeds)), state),
              link(state, peers, &counters,
                   [this](const Quarantine &it) { published.push_back(it); })
        { }
        ~Node() { peers.stop(); }
        Node(const Node &) = delete;
        Node &operator=(const Node &) = delete;

        bool isQuarantined(const ContentDigest &it)
        {
            return state.crashes().remainingQuarantine(it, RuntimeClock::now()).has_value();
        }

        Counters counters;
        GatewayState state;
        GatewayPeers peers;
        std::vector<Quarantine> published;
        CrashLink link;
    };

    using Fleet = TestFleet<Node>;

    /// Three gateways see one crash each, which none would quarantine on its own. If their reports
    /// are not added up, the request goes on crashing upstreams.
    void endsSeenAtThreeGatewaysAddUp()
    {
        Fleet fleet(4);
        for (std::size_t n = 0; n < 3; ++n) {
            fleet.nodes[n]->link.upstreamCrashed(request("bad"),
                                                 UpstreamId("u" + std::to_string(n)));
            fleet.advance(milliseconds(30));
        }
        std::size_t published = 0;
        for (const auto &node : fleet.nodes) {
            CPPUNIT_ASSERT(node->isQuarantined(request("bad")));
            CPPUNIT_ASSERT(!node->isQuarantined(request("good")));
            published += node->published.size();
        }
        CPPUNIT_ASSERT(published >= 1);
    }

    void gatewayThatStartsLaterLearnsOfIt()
    {
        Fleet fleet(2);
        for (const char *upstream : {"u0", "u1", "u2"})
            fleet.nodes[1]->link.upstreamCrashed(request("bad"), UpstreamId(upstream));
        Node &newGateway = fleet.add("late", testFleetKey);
        CPPUNIT_ASSERT(!newGateway.isQuarantined(request("bad")));
        fleet.advance(seconds(2));
        CPPUNIT_ASSERT(newGateway.isQuarantined(request("bad")));
        CPPUNIT_ASSERT(newGateway.published.empty());
    }

    void singleGatewayQuarantines()
    {
        Fleet fleet(1);
        for (const char *upstream : {"u0", "u1", "u2"})
            fleet.nodes[0]->link.upstreamCrashed(request("bad"), UpstreamId(upstream));
        CPPUNIT_ASSERT(fleet.nodes[0]->isQuarantined(request("bad")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.nodes[0]->published.size());
    }

    void completedRequestIsClearedEverywhere()
    {
        Fleet fleet(4);
        const auto crash = [&](std::size_t node, const char *upstream) {
            fleet.nodes[node]->link.upstreamCrashed(request("beside"), UpstreamId(upstream));
            fleet.advance(milliseconds(30));
        };
        crash(0, "u0");
        crash(0, "u1");
        fleet.nodes[0]->link.requestCompleted(request("beside"));
        fleet.advance(milliseconds(30));
        crash(0, "u2");
        crash(0, "u3");
        for (const auto &node : fleet.nodes)
            CPPUNIT_ASSERT(!node->isQuarantined(request("beside")));
    }

    void reportWithAnotherKeyIsIgnored()
    {
        Fleet fleet(1);
        Node &other = fleet.add("stranger", "a key of somebody else");
        for (const char *upstream : {"u0", "u1", "u2"})
            other.link.upstreamCrashed(request("good"), UpstreamId(upstream));
        fleet.advance(seconds(2));
        CPPUNIT_ASSERT(other.isQuarantined(request("good")));
        CPPUNIT_ASSERT(!fleet.nodes[0]->isQuarantined(request("good")));
    }

    void allGatewaysSelectTheSameCollectors()
    {
        constexpr int gateways = 30;
        std::vector<VmName> names;
        names.reserve(gateways);
        for (int n = 0; n < gateways; ++n)
            names.emplace_back("g" + std::to_string(n));
        const auto selected = selectCollectors(request("bad"), names, CrashLink::collectorCount);
        CPPUNIT_ASSERT_EQUAL(CrashLink::collectorCount, selected.size());
        std::ranges::reverse(names);
        CPPUNIT_ASSERT(selectCollectors(request("bad"), names, CrashLink::collectorCount)
                       == selected);
        CPPUNIT_ASSERT(selectCollectors(request("other"), names, CrashLink::collectorCount)
                       != selected);
        names.resize(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, selectCollectors(request("bad"), names, 3).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLinkTest);

} // namespace reachlead
