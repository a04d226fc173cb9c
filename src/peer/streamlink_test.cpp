// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "peer/streamlink.h"
#include "peer/testfleet.h"

namespace reachlead {

/// Gateways that keep copies of stream bindings for each other over real datagrams, on a paused
/// clock.
class StreamLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamLinkTest);
    CPPUNIT_TEST(streamIsKnownAtEveryGateway);
    CPPUNIT_TEST(gatewayThatStartsLaterFindsTheStream);
    CPPUNIT_TEST(streamsSurviveTheLossOfHalfOfTheGateways);
    CPPUNIT_TEST(lastSendIsFoundAfterAMove);
    CPPUNIT_TEST(newestOfSeveralRepliesIsUsed);
    CPPUNIT_TEST(copyFromBeforeACutYieldsToALaterSend);
    CPPUNIT_TEST(lookupDoesNotWaitForALostGateway);
    CPPUNIT_TEST(unknownStreamBringsTheVersionsInUse);
    CPPUNIT_TEST(singleGatewayDoesNotWait);
    CPPUNIT_TEST(copyWithAnotherKeyIsIgnored);
    CPPUNIT_TEST(datagramsPerStreamDoNotGrowWithTheFleet);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration retention = seconds(15);

    static StreamKey stream(std::size_t n)
    {
        return computeStreamKey(AccountName("t"), std::to_string(n));
    }
    static StreamBinding binding(const std::string &version, std::uint32_t send = 1)
    {
        return {ServiceName("s"), SoftwareVersion(version), send};
    }

    struct Node
    {
        Node(boost::asio::io_context &io, const std::string &vm, const std::string &key,
             std::vector<Endpoint> seeds)
            : state(testStateOptions(vm)),
              peers(io, testPeerOptions(vm, key, std::move(seeds)), state),
              link(io, state, peers, &counters)
        { }
        ~Node() { peers.stop(); }
        Node(const Node &) = delete;
        Node &operator=(const Node &) = delete;

        Counters counters;
        GatewayState state;
        GatewayPeers peers;
        StreamLink link;
    };

    struct Fleet : TestFleet<Node>
    {
        using TestFleet<Node>::TestFleet;

        StreamLookup find(Node &node, std::size_t n)
        {
            std::optional<StreamLookup> found;
            boost::asio::co_spawn(io, lookUp(&node.link, n, &found), boost::asio::detached);
            const Duration limit =
                StreamLink::replyTimeout + StreamLink::repeatTimeout + seconds(1);
            for (Duration elapsed{}; !found && elapsed < limit; elapsed += milliseconds(10))
                advance(milliseconds(10));
            CPPUNIT_ASSERT(found);
            return *found;
        }
        static boost::asio::awaitable<void> lookUp(StreamLink *link, std::size_t n,
                                                   std::optional<StreamLookup> *found)
        {
            *found = co_await link->find(stream(n), ServiceName("s"));
        }
    };

    static std::string version(const StreamLookup &found)
    {
        return found.binding ? found.binding->version.text : "-";
    }

    void streamIsKnownAtEveryGateway()
    {
        Fleet fleet(7);
        fleet.nodes[2]->link.record(stream(1), binding("v1"), retention);
        fleet.advance(milliseconds(30));
        for (const auto &node : fleet.nodes)
            CPPUNIT_ASSERT_EQUAL(std::string("v1"), version(fleet.find(*node, 1)));
    }

    void gatewayThatStartsLaterFindsTheStream()
    {
        Fleet fleet(3);
        fleet.nodes[2]->link.record(stream(1), binding("v1"), retention);
        fleet.advance(milliseconds(30));
        fleet.keepFirst(2);
        Node &newGateway = fleet.add("late");
        fleet.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), version(fleet.find(newGateway, 1)));
    }

    /// Half of the gateways, with the one that began the streams, are lost at once. At least nine
    /// tenths of the streams must remain known, by the expectation 15/16.
    void streamsSurviveTheLossOfHalfOfTheGateways()
    {
        constexpr std::size_t streamCount = 120;
        Fleet fleet(16);
        fleet.advanceUntilAllAreKnown();
        for (std::size_t n = 0; n < streamCount; ++n)
            fleet.nodes[8 + n % 8]->link.record(stream(n), binding("v1"), retention);
        fleet.advance(milliseconds(50));
        fleet.keepFirst(8);
        std::size_t known = 0;
        for (std::size_t n = 0; n < streamCount; ++n)
            known += fleet.find(*fleet.nodes[n % 8], n).binding ? 1 : 0;
        CPPUNIT_ASSERT(known * 10 >= streamCount * 9);
    }

    void lastSendIsFoundAfterAMove()
    {
        Fleet fleet(3);
        fleet.nodes[0]->link.record(stream(1), binding("v1", 1), retention);
        fleet.nodes[0]->link.record(stream(1), binding("v2", 2), retention);
        fleet.advance(milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), version(fleet.find(*fleet.nodes[1], 1)));
    }

    /// Some gateways missed the datagram of a move, whichever of them replies first.
    void newestOfSeveralRepliesIsUsed()
    {
        Fleet fleet(5);
        const Time now = RuntimeClock::now();
        for (std::size_t n = 0; n < 8; ++n) {
            for (std::size_t node = 1; node < fleet.nodes.size(); ++node) {
                const bool missedTheMove = node != 1 + n % 4;
                fleet.nodes[node]->state.streams().record(
                    stream(n), missedTheMove ? binding("v1", 1) : binding("v2", 2), retention, now);
            }
            CPPUNIT_ASSERT_EQUAL(std::string("v2"), version(fleet.find(*fleet.nodes[0], n)));
        }
    }

    /// The stream moved to another version while the gateway was out of touch.
    void copyFromBeforeACutYieldsToALaterSend()
    {
        Fleet fleet(3);
        Node &cut = *fleet.nodes[0];
        cut.state.verified(RuntimeClock::now());
        cut.state.streams().record(stream(1), binding("v1", 1), retention, RuntimeClock::now());
        for (std::size_t node = 1; node < fleet.nodes.size(); ++node)
            fleet.nodes[node]->state.streams().record(stream(1), binding("v2", 2), retention,
                                                      RuntimeClock::now());
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), version(fleet.find(cut, 1)));
        fleet.advance(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), version(fleet.find(cut, 1)));
        cut.state.verified(RuntimeClock::now());
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), version(fleet.find(cut, 1)));
    }

    void lookupDoesNotWaitForALostGateway()
    {
        Fleet fleet(4);
        fleet.nodes[3]->link.record(stream(1), binding("v1"), retention);
        fleet.advance(milliseconds(30));
        fleet.keepFirst(3);
        fleet.nodes[0]->state.streams() = StreamBindings();
        const Time before = RuntimeClock::now();
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), version(fleet.find(*fleet.nodes[0], 1)));
        CPPUNIT_ASSERT(RuntimeClock::now() - before
                       <= StreamLink::settleTime + milliseconds(20)); // two steps of the clock
    }

    void unknownStreamBringsTheVersionsInUse()
    {
        Fleet fleet(3);
        UpstreamEntry entry;
        entry.id = UpstreamId("u");
        entry.service = ServiceName("s");
        entry.softwareVersion = SoftwareVersion("v7");
        fleet.nodes[2]->state.upstreamsListed({entry}, 1);
        const StreamLookup found = fleet.find(*fleet.nodes[0], 1);
        CPPUNIT_ASSERT(!found.binding);
        CPPUNIT_ASSERT(found.versions == std::set{SoftwareVersion("v7")});
    }

    void singleGatewayDoesNotWait()
    {
        Fleet fleet(1);
        const Time before = RuntimeClock::now();
        CPPUNIT_ASSERT(!fleet.find(*fleet.nodes[0], 1).binding);
        CPPUNIT_ASSERT(RuntimeClock::now() - before <= milliseconds(10));
    }

    void copyWithAnotherKeyIsIgnored()
    {
        Fleet fleet(1);
        Node &other = fleet.add("stranger", "a key of somebody else");
        other.link.record(stream(1), binding("v1"), retention);
        fleet.advance(milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.nodes[0]->state.streams().size());
    }

    /// The number of copies is that of copyCount, with twice as many gateways too.
    void datagramsPerStreamDoNotGrowWithTheFleet()
    {
        for (const std::size_t gateways : {8, 16}) {
            Fleet fleet(gateways);
            fleet.nodes[0]->link.record(stream(1), binding("v1"), retention);
            fleet.advance(milliseconds(30));
            std::size_t copies = 0;
            for (std::size_t n = 1; n < gateways; ++n)
                copies += fleet.nodes[n]->state.streams().size();
            CPPUNIT_ASSERT_EQUAL(StreamLink::copyCount, copies);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamLinkTest);

} // namespace reachlead
