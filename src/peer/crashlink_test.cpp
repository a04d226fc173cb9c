// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
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
    CPPUNIT_TEST(partCrashesAtSeveralGatewaysAddUp);
    CPPUNIT_TEST(innocenceIsReportedByOtherGateways);
    CPPUNIT_TEST(answersBeforeTheCrashesAreReported);
    CPPUNIT_TEST(callThatHadBegunClearsItsParts);
    CPPUNIT_TEST(manyCrashesAtOnceBlameNothing);
    CPPUNIT_TEST(answerReleasesAQuarantineEverywhere);
    CPPUNIT_TEST(partsOfOtherAccountsAreNotQuarantined);
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
              link(io, state, peers, &counters,
                   [this](const Quarantine &it) { published.push_back(it); })
        { }
        ~Node() { peers.stop(); }
        Node(const Node &) = delete;
        Node &operator=(const Node &) = delete;

        /// A request crashed an upstream.
        void crash(const ContentDigest &it, const std::string &upstream)
        {
            link.upstreamCrashed({LostCall{it, {}, false, {}}}, UpstreamId(upstream));
        }

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
            fleet.nodes[n]->crash(request("bad"), "u" + std::to_string(n));
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
            fleet.nodes[1]->crash(request("bad"), upstream);
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
            fleet.nodes[0]->crash(request("bad"), upstream);
        CPPUNIT_ASSERT(fleet.nodes[0]->isQuarantined(request("bad")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.nodes[0]->published.size());
    }

    void completedRequestIsClearedEverywhere()
    {
        Fleet fleet(4);
        const auto crash = [&](std::size_t node, const char *upstream) {
            fleet.nodes[node]->crash(request("beside"), upstream);
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

    static constexpr std::uint64_t guilty = 9;
    static constexpr Duration betweenCrashes = milliseconds(300);

    static PromptContents prompt(std::initializer_list<std::uint64_t> ids,
                                 const std::string &account = "a")
    {
        PromptContents contents{computeOwnerDigest(AccountName(account), "m"), {}};
        for (const std::uint64_t id : ids)
            contents.parts.push_back(computeDigest(PartContent{AccountName(account), "m", id}));
        return contents;
    }
    static bool isHeld(Node &node, const PromptContents &it)
    {
        return node.state.crashes().remainingQuarantine(it.parts, RuntimeClock::now()).has_value();
    }
    /// The next upstream crashes under requests of one gateway that are all different.
    void crash(Fleet &fleet, std::size_t node, const std::vector<PromptContents> &calls,
               const std::vector<PromptContents> &begun = {})
    {
        const std::string upstream = "u" + std::to_string(++m_crashed);
        const Time now = RuntimeClock::now();
        const PartSuspects::CallTimes times{now - milliseconds(100), now};
        std::vector<LostCall> lost;
        lost.reserve(calls.size() + begun.size());
        for (const PromptContents &it : calls)
            lost.push_back({request(upstream + std::to_string(lost.size())), it, false, times});
        for (const PromptContents &it : begun)
            lost.push_back({request(upstream + std::to_string(lost.size())), it, true, times});
        fleet.nodes[node]->link.upstreamCrashed(lost, UpstreamId(upstream));
        fleet.advance(betweenCrashes);
    }

    /// Each gateway sees one of the crashes, under requests that share nothing but parts.
    void partCrashesAtSeveralGatewaysAddUp()
    {
        Fleet fleet(12);
        const auto knowsAll = [&](const auto &node) { return node->peers.fleet().size() == 12; };
        for (int n = 0; n < 20 && !std::ranges::all_of(fleet.nodes, knowsAll); ++n)
            fleet.advance(seconds(1));
        for (std::size_t n = 0; n < 3; ++n)
            crash(fleet, n, {prompt({1, guilty}), prompt({1, 20 + n})});
        std::size_t published = 0;
        for (const auto &node : fleet.nodes) {
            CPPUNIT_ASSERT(isHeld(*node, prompt({1, guilty, 5})));
            CPPUNIT_ASSERT(!isHeld(*node, prompt({1, 20})));
            published += node->published.size();
        }
        CPPUNIT_ASSERT(published >= 1);
        Node &newGateway = fleet.add("late", testFleetKey);
        fleet.advance(seconds(2));
        CPPUNIT_ASSERT(isHeld(newGateway, prompt({1, guilty})));
    }

    /// The part begins at gateways that saw none of the crashes. The one that saw them all may be a
    /// collector or not.
    void innocenceIsReportedByOtherGateways()
    {
        Fleet fleet(4);
        for (const std::string account : {"a", "b", "c", "d", "e"}) {
            for (int n = 0; n < 4; ++n) {
                crash(fleet, 0, {prompt({1}, account)});
                for (const auto &node : fleet.nodes)
                    CPPUNIT_ASSERT(!isHeld(*node, prompt({1}, account)));
                for (std::size_t node = 1; node < 4; ++node)
                    fleet.nodes[node]->link.partsBegan(prompt({1}, account));
                fleet.advance(milliseconds(30));
            }
        }
    }

    /// Guards against a quarantine of a popular part while no upstream is left to begin on it: the
    /// gateways that have just sent answers on it did not say so, as nothing was suspect by then.
    void answersBeforeTheCrashesAreReported()
    {
        Fleet fleet(4);
        for (const std::string account : {"a", "b", "c", "d", "e"}) {
            fleet.nodes[2]->link.partsBegan(prompt({1, 2}, account)); // a collector or not
            for (std::uint64_t n = 0; n < 3; ++n)
                crash(fleet, 0, {prompt({1, guilty}, account), prompt({1, 20 + n}, account)});
            for (const auto &node : fleet.nodes) {
                CPPUNIT_ASSERT(isHeld(*node, prompt({guilty}, account)));
                CPPUNIT_ASSERT(!isHeld(*node, prompt({1, 20}, account)));
            }
        }
    }

    void callThatHadBegunClearsItsParts()
    {
        Fleet fleet(1);
        for (int n = 0; n < 3; ++n)
            crash(fleet, 0, {prompt({1, guilty})}, {prompt({1, 2})});
        CPPUNIT_ASSERT(isHeld(*fleet.nodes[0], prompt({guilty})));
        CPPUNIT_ASSERT(!isHeld(*fleet.nodes[0], prompt({1, 2})));
    }

    /// A rack loses its power. All calls that waited there had the same first part.
    void manyCrashesAtOnceBlameNothing()
    {
        Fleet fleet(4);
        const Time now = RuntimeClock::now();
        for (int n = 0; n < 40; ++n) {
            std::vector<LostCall> lost(
                12,
                {request(std::to_string(n)), prompt({1}), false, {now - milliseconds(50), now}});
            fleet.nodes[n % 4]->link.upstreamCrashed(lost, UpstreamId("u" + std::to_string(n)));
        }
        fleet.advance(seconds(1));
        for (const auto &node : fleet.nodes)
            CPPUNIT_ASSERT(!isHeld(*node, prompt({1})));
    }

    /// An answer that was sent for before the quarantine shows that the part is innocent.
    void answerReleasesAQuarantineEverywhere()
    {
        Fleet fleet(4);
        for (std::size_t n = 0; n < 3; ++n)
            crash(fleet, n, {prompt({1})});
        CPPUNIT_ASSERT(isHeld(*fleet.nodes[3], prompt({1})));
        fleet.nodes[3]->link.partsBegan(prompt({1}));
        fleet.advance(seconds(2));
        for (const auto &node : fleet.nodes)
            CPPUNIT_ASSERT(!isHeld(*node, prompt({1})));
    }

    void partsOfOtherAccountsAreNotQuarantined()
    {
        Fleet fleet(2);
        for (int n = 0; n < 3; ++n)
            crash(fleet, 0, {prompt({guilty})});
        CPPUNIT_ASSERT(isHeld(*fleet.nodes[1], prompt({guilty})));
        CPPUNIT_ASSERT(!isHeld(*fleet.nodes[1], prompt({guilty}, "b")));
    }

    void reportWithAnotherKeyIsIgnored()
    {
        Fleet fleet(1);
        Node &other = fleet.add("stranger", "a key of somebody else");
        for (const char *upstream : {"u0", "u1", "u2"})
            other.crash(request("good"), upstream);
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

    int m_crashed = 0; ///< upstreams
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLinkTest);

} // namespace reachlead
