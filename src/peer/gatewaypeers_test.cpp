// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <ranges>

#include <boost/asio/ip/udp.hpp>

#include "peer/gatewaypeers.h"
#include "peer/messageauth.h"

namespace reachlead {

/// Who may tell a gateway anything, and what a gateway makes of old words.
class GatewayPeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayPeersTest);
    CPPUNIT_TEST(gatewaysOfOneFleetTellEachOther);
    CPPUNIT_TEST(strangerTellsNothing);
    CPPUNIT_TEST(answerToAnotherQuestionIsRefused);
    CPPUNIT_TEST(beatThatIsPlayedAgainChangesNothing);
    CPPUNIT_TEST(peerThatKnowsLessVouchesToo);
    CPPUNIT_TEST(gatewaysThatBeatsSeldomReachAreKnownToLive);
    CPPUNIT_TEST(shortBeatsGoToMoreGateways);
    CPPUNIT_TEST(newsIsToldUntilEachHeardIt);
    CPPUNIT_TEST(weightyLoadIsToldBeforeTheNextBeat);
    CPPUNIT_TEST(limitsAndTheirEndsReachAllGateways);
    CPPUNIT_TEST(upstreamThatLeavesIsKnownToAllGateways);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};

    static FleetKeys keys(const std::string &text)
    {
        std::string reason;
        return FleetKeys::parse(text, &reason).value();
    }

    /// A gateway's beliefs and its talk with others, on a port of the kernel's choice.
    struct Node
    {
        Node(boost::asio::io_context &io, const std::string &vm, const std::string &key,
             std::vector<Endpoint> seeds)
            : Node(io, vm, key, std::move(seeds), HeartbeatBudget())
        { }
        Node(boost::asio::io_context &io, const std::string &vm, const std::string &key,
             std::vector<Endpoint> seeds, const HeartbeatBudget &beats)
            : peers(io, options(vm, key, std::move(seeds), &counters, beats), state)
        { }
        ~Node() { peers.stop(); }
        Node(const Node &) = delete;
        Node &operator=(const Node &) = delete;

        static GatewayPeers::Options options(const std::string &vm, const std::string &key,
                                             std::vector<Endpoint> seeds, Counters *counters,
                                             const HeartbeatBudget &beats = {})
        {
            GatewayPeers::Options made;
            made.self = {VmName(vm), {"127.0.0.1", 0}};
            made.seeds = std::move(seeds);
            made.keys = keys(key);
            made.counters = counters;
            made.heartbeats = beats;
            return made;
        }
        Endpoint address() const { return {"127.0.0.1", peers.port()}; }

        Counters counters;
        GatewayState state{GatewayState::Options{}};
        GatewayPeers peers;
    };

    /// The thread's io_context on a paused clock.
    struct Clocked
    {
        Clocked() { RuntimeClock::pause(start); }
        ~Clocked()
        {
            io.stop();
            RuntimeClock::resume();
        }

        void advance(Duration d, Duration step = milliseconds(10),
                     std::chrono::milliseconds span = std::chrono::milliseconds(3))
        {
            for (Duration moved{}; moved < d; moved += step) {
                RuntimeClock::advance(step);
                io.restart();
                io.run_for(span);
            }
        }

        boost::asio::io_context io{1};
    };

    static RoutingConfig config(std::uint64_t version)
    {
        RoutingConfig made;
        made.version = version;
        return made;
    }

    void gatewaysOfOneFleetTellEachOther()
    {
        Clocked clocked;
        Node told(clocked.io, "told", "the key of this fleet", {});
        Node teller(clocked.io, "teller", "the key of this fleet", {told.address()});
        teller.state.configRead(config(7));
        clocked.advance(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, told.state.configVersion());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, told.counters.value(Counter::HostileFrames));
    }

    void strangerTellsNothing()
    {
        Clocked clocked;
        Node told(clocked.io, "told", "the key of this fleet", {});
        Node stranger(clocked.io, "stranger", "a key of somebody else", {told.address()});
        stranger.state.configRead(config(7));
        clocked.advance(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, told.state.configVersion());
        CPPUNIT_ASSERT(told.peers.livePeers().empty());
        CPPUNIT_ASSERT(told.counters.value(Counter::HostileFrames) > 0);
    }

    void answerToAnotherQuestionIsRefused()
    {
        const FleetKeys fleet = keys("the key of this fleet");
        const std::string sealed = signMessage(fleet, PeerMessageKind::StateUpdate, "17", "text");
        CPPUNIT_ASSERT(verifyMessage(fleet, PeerMessageKind::StateUpdate, "17", sealed) == "text");
        CPPUNIT_ASSERT(!verifyMessage(fleet, PeerMessageKind::StateUpdate, "18", sealed));
        CPPUNIT_ASSERT(!verifyMessage(fleet, PeerMessageKind::Heartbeat, "17", sealed));
        CPPUNIT_ASSERT(!verifyMessage(fleet, PeerMessageKind::StateUpdate, "17", "text"));
        CPPUNIT_ASSERT(!verifyMessage(keys("a key of somebody else"), PeerMessageKind::StateUpdate,
                                      "17", sealed));
        CPPUNIT_ASSERT(verifyMessage(FleetKeys(), PeerMessageKind::StateUpdate, "17", "text")
                       == "text");
    }

    void beatThatIsPlayedAgainChangesNothing()
    {
        Clocked clocked;
        Node hearer(clocked.io, "hearer", "the key of this fleet", {});
        boost::asio::ip::udp::socket socket(clocked.io, boost::asio::ip::udp::v4());
        const auto say = [&](std::uint64_t sequence, std::int32_t ageMs) {
            GatewayHeartbeat beat;
            beat.from = {VmName("other"), {"127.0.0.1", 1}};
            beat.incarnation = Incarnation{5};
            beat.sequence = sequence;
            beat.ageMs = ageMs;
            const std::string bytes = static_cast<char>(PeerMessageKind::Heartbeat)
                + signMessage(keys("the key of this fleet"), PeerMessageKind::Heartbeat, {},
                              encodeGatewayHeartbeat(beat));
            socket.send_to(boost::asio::buffer(bytes),
                           {boost::asio::ip::make_address("127.0.0.1"), hearer.peers.port()});
            clocked.advance(milliseconds(50));
        };
        say(5, GatewayHeartbeat::unknownAge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hearer.peers.livePeers().size());
        say(5, 0);
        say(4, 0);
        CPPUNIT_ASSERT(!hearer.state.currentAt());
        say(6, 0);
        CPPUNIT_ASSERT(hearer.state.currentAt().has_value());
    }

    /// While changes follow each other faster than they spread no two gateways have the same state.
    void peerThatKnowsLessVouchesToo()
    {
        Clocked clocked;
        Node hearer(clocked.io, "hearer", "the key of this fleet", {});
        hearer.state.configRead(config(7));
        boost::asio::ip::udp::socket socket(clocked.io, boost::asio::ip::udp::v4());
        GatewayHeartbeat beat;
        beat.from = {VmName("other"), {"127.0.0.1", 1}};
        beat.incarnation = Incarnation{5};
        const auto say = [&](std::uint64_t version) {
            ++beat.sequence;
            beat.configVersion = version;
            beat.ageMs = 0;
            const std::string bytes = static_cast<char>(PeerMessageKind::Heartbeat)
                + signMessage(keys("the key of this fleet"), PeerMessageKind::Heartbeat, {},
                              encodeGatewayHeartbeat(beat));
            socket.send_to(boost::asio::buffer(bytes),
                           {boost::asio::ip::make_address("127.0.0.1"), hearer.peers.port()});
            clocked.advance(milliseconds(50));
        };
        say(8); // it knows what this gateway does not
        CPPUNIT_ASSERT(!hearer.state.currentAt());
        say(6);
        CPPUNIT_ASSERT(hearer.state.currentAt().has_value());
    }

    /// Beats go to five of 29 others every two seconds, so that one hears each of them each 12 s:
    /// by then it would count as lost. One that ends is lost to all all the same.
    void gatewaysThatBeatsSeldomReachAreKnownToLive()
    {
        constexpr std::size_t size = 30;
        Clocked clocked;
        HeartbeatBudget beats;
        beats.interval = seconds(2);
        beats.bytesPerSecond = 1;
        std::vector<std::unique_ptr<Node>> nodes;
        std::vector<Endpoint> seeds;
        for (std::size_t n = 0; n < size; ++n) {
            nodes.push_back(std::make_unique<Node>(clocked.io, "vm-" + std::to_string(n),
                                                   "the key of this fleet", seeds, beats));
            if (n < 3)
                seeds.push_back(nodes.back()->address());
        }
        std::vector<GatewayEntry> all;
        all.reserve(size);
        for (const auto &node : nodes)
            all.push_back(node->peers.self());
        for (const auto &node : nodes)
            node->state.gatewaysChanged({1, all});
        constexpr Duration step = milliseconds(100);
        constexpr std::chrono::milliseconds span(40); // also where the sanitizers make all slow
        clocked.advance(seconds(30), step, span);
        for (int n = 0; n < 5; ++n) {
            clocked.advance(seconds(3), step, span);
            for (const auto &node : nodes)
                CPPUNIT_ASSERT(node->peers.livePeers().size() >= size - 3);
        }
        nodes.back()->peers.stop();
        clocked.advance(GatewayPeers::peerTimeout + seconds(5), step, span);
        for (const auto &node : nodes | std::views::take(size - 1))
            CPPUNIT_ASSERT(!node->peers.livePeers().contains(VmName("vm-29")));
    }

    void shortBeatsGoToMoreGateways()
    {
        const HeartbeatBudget budget;
        const Duration interval = budget.interval;
        CPPUNIT_ASSERT_EQUAL(std::size_t{26}, budget.targetCount(200, 29));
        CPPUNIT_ASSERT_EQUAL(std::size_t{13}, budget.targetCount(200, 479));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, budget.targetCount(330, 4));
        CPPUNIT_ASSERT_EQUAL(HeartbeatBudget::minTargets, budget.targetCount(1'100, 29));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.targetCount(330, 0));
        // Whatever the fleet and the load: control has 15 KB/s of a VM.
        for (std::size_t bytes = 100; bytes <= 1'200; bytes += 10) {
            const auto sent = bytes * budget.targetCount(bytes, 479);
            CPPUNIT_ASSERT(static_cast<double>(sent) / toSeconds(interval) <= 15'000);
            if (bytes <= 500) // as it is but under the largest load; as much is heard as sent
                CPPUNIT_ASSERT(static_cast<double>(2 * sent) / toSeconds(interval) <= 15'000);
        }
    }

    void newsIsToldUntilEachHeardIt()
    {
        const HeartbeatBudget budget;
        const Duration interval = budget.interval;
        CPPUNIT_ASSERT(budget.hintWindow(15, 29) == 3 * interval);
        CPPUNIT_ASSERT(budget.hintWindow(4, 4) == 2 * interval);
        CPPUNIT_ASSERT(budget.hintWindow(5, 479) == UpstreamTable::hintWindow);
        CPPUNIT_ASSERT(budget.loadLifetime(15, 29) == UpstreamTable::peerLoadLifetime);
        CPPUNIT_ASSERT(budget.loadLifetime(10, 100) == 20 * interval);
    }

    void weightyLoadIsToldBeforeTheNextBeat()
    {
        const HeartbeatBudget budget;
        const Duration interval = budget.interval;
        const Duration early = milliseconds(110);
        const TokenCount weighty = HeartbeatBudget::earlyReportTokens;
        constexpr std::size_t beatSize = 175; // bytes, with little load
        CPPUNIT_ASSERT(budget.isDue(interval, 0, beatSize, 29));
        CPPUNIT_ASSERT(budget.isDue(early, weighty, beatSize, 4));
        CPPUNIT_ASSERT(!budget.isDue(early, weighty - 1, beatSize, 4));
        CPPUNIT_ASSERT(!budget.isDue(early, weighty, beatSize, 479)); // a large fleet

        Clocked clocked;
        Node hearer(clocked.io, "hearer", "the key of this fleet", {});
        Node teller(clocked.io, "teller", "the key of this fleet", {hearer.address()});
        UpstreamEntry engine;
        engine.id = UpstreamId("u");
        engine.service = ServiceName("llm");
        for (Node *it : {&hearer, &teller})
            it->state.upstreamsListed({engine}, 1);
        clocked.advance(milliseconds(410));
        Selection choice;
        choice.upstream = engine.id;
        choice.prefillTokens = 9'000;
        teller.state.upstreams().sent(engine.id, SelectionQuery{engine.service, "m", {}}, choice,
                                      RuntimeClock::now());
        clocked.advance(milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hearer.state.upstreams().peerCount());
        const auto heard = hearer.state.upstreams().load(engine.id, RuntimeClock::now());
        CPPUNIT_ASSERT(heard.prefillTokens >= 9'000);
    }

    /// The second gateway knows the other two; these do not know each other.
    void limitsAndTheirEndsReachAllGateways()
    {
        Clocked clocked;
        Node last(clocked.io, "last", "the key of this fleet", {});
        Node second(clocked.io, "second", "the key of this fleet", {last.address()});
        Node first(clocked.io, "first", "the key of this fleet", {second.address()});
        UpstreamEntry limited;
        limited.id = UpstreamId("u", 7);
        for (Node *node : {&first, &second, &last})
            node->state.upstreamsListed({limited}, 1);
        const auto limitAt = [&](Node &node) {
            return node.state.upstreams().limits().currentLimit(limited.id, RuntimeClock::now());
        };
        first.state.upstreams().limits().recordAnswer(limited.id, CallRate{2200},
                                                      RuntimeClock::now(), vmTimeOfDay());
        clocked.advance(seconds(4));
        CPPUNIT_ASSERT(limitAt(second) == CallRate{2200} && limitAt(last) == CallRate{2200});
        first.state.upstreams().limits().recordAnswer(limited.id, std::nullopt, RuntimeClock::now(),
                                                      vmTimeOfDay());
        clocked.advance(seconds(4));
        CPPUNIT_ASSERT(!limitAt(first) && !limitAt(second) && !limitAt(last));
    }

    /// As above; the registry is away. One more gateway starts later.
    void upstreamThatLeavesIsKnownToAllGateways()
    {
        Clocked clocked;
        Node last(clocked.io, "last", "the key of this fleet", {});
        Node second(clocked.io, "second", "the key of this fleet", {last.address()});
        Node first(clocked.io, "first", "the key of this fleet", {second.address()});
        UpstreamEntry leaver;
        leaver.id = UpstreamId("u", 7);
        UpstreamEntry nextLife = leaver;
        nextLife.id.startedAt = 8;
        nextLife.revision = 2;
        for (Node *node : {&first, &second, &last})
            node->state.upstreamsListed({leaver}, 1);
        UpstreamNotice leaving;
        leaving.isLeaving = true;
        first.state.applyNotice(leaver.id, leaving);
        clocked.advance(seconds(4));
        Node started(clocked.io, "started", "the key of this fleet", {last.address()});
        started.state.upstreamsListed({leaver}, 1);
        clocked.advance(seconds(4));
        for (Node *node : {&first, &second, &last, &started}) {
            const UpstreamDirectory &directory = node->state.directory();
            CPPUNIT_ASSERT(!directory.takesWork(*directory.find(leaver.id)));
            node->state.upstreamsListed({nextLife}, 2);
            CPPUNIT_ASSERT(directory.takesWork(*directory.find(nextLife.id)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPeersTest);

} // namespace reachlead
