// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <memory>
#include <ranges>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <rapidcheck.h>

#include "peer/gatewaypeers.h"
#include "peer/messageauth.h"

namespace reachlead {

/// The exchange of heartbeats and state: only messages of the fleet are accepted, replayed and
/// outdated ones are ignored, and changes reach gateways that do not know the sender.
class GatewayPeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayPeersTest);
    CPPUNIT_TEST(gatewaysOfOneFleetExchangeState);
    CPPUNIT_TEST(messagesFromOutsideTheFleetAreRejected);
    CPPUNIT_TEST(replyToAnotherQueryIsRejected);
    CPPUNIT_TEST(queryThatIsTooLongIsNotRead);
    CPPUNIT_TEST(replayedHeartbeatIsIgnored);
    CPPUNIT_TEST(peerWithOlderStateConfirms);
    CPPUNIT_TEST(ageBelowZeroConfirmsNothing);
    CPPUNIT_TEST(gatewaysThatAreBehindFollowTheOneAhead);
    CPPUNIT_TEST(lagIsFetchedWithoutAnotherHeartbeat);
    CPPUNIT_TEST(lagIsLoggedAndCounted);
    CPPUNIT_TEST(gatewaysWithRareHeartbeatsStayLive);
    CPPUNIT_TEST(smallHeartbeatsGoToMoreGateways);
    CPPUNIT_TEST(hintsAreReportedForARound);
    CPPUNIT_TEST(largeLoadIsReportedEarly);
    CPPUNIT_TEST(limitsAndTheirEndsReachAllGateways);
    CPPUNIT_TEST(upstreamThatLeavesIsKnownToAllGateways);
    CPPUNIT_TEST(gatewayThatStartsGetsAHeartbeatAtOnce);
    CPPUNIT_TEST(heartbeatsThatWaitedDoNotMakeTheStateYounger);
    CPPUNIT_TEST(delayedFetchDoesNotMakeTheStateYounger);
    CPPUNIT_TEST(busyGatewayReadsTheNewestHeartbeat);
    CPPUNIT_TEST(ageIsNeverUnderTheTruth);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};

    static FleetKeys keys(const std::string &text)
    {
        std::string reason;
        return FleetKeys::parse(text, &reason).value();
    }

    /// The state and the peers of one gateway, on a port chosen by the kernel.
    struct Node
    {
        Node(boost::asio::io_context &io, const std::string &vm, const std::string &key,
             std::vector<Endpoint> seeds)
            : Node(io, vm, key, std::move(seeds), HeartbeatBudget())
        { }
        Node(boost::asio::io_context &io, const std::string &vm, const std::string &key,
             std::vector<Endpoint> seeds, const HeartbeatBudget &budget)
            : peers(io, options(vm, key, std::move(seeds), &counters, budget), state)
        { }
        ~Node() { peers.stop(); }
        Node(const Node &) = delete;
        Node &operator=(const Node &) = delete;

        static GatewayPeers::Options options(const std::string &vm, const std::string &key,
                                             std::vector<Endpoint> seeds, Counters *counters,
                                             const HeartbeatBudget &budget = {})
        {
            GatewayPeers::Options options;
            options.self = {VmName(vm), {"127.0.0.1", 0}};
            options.seeds = std::move(seeds);
            options.keys = keys(key);
            options.counters = counters;
            options.heartbeats = budget;
            return options;
        }
        Endpoint address() const { return {"127.0.0.1", peers.port()}; }

        Counters counters;
        GatewayState state{GatewayState::Options{}};
        GatewayPeers peers;
    };

    /// Pauses the clock and runs an io_context while advancing it.
    struct PausedClock
    {
        PausedClock() { RuntimeClock::pause(start); }
        ~PausedClock()
        {
            io.stop();
            RuntimeClock::resume();
        }

        void advance(Duration duration, Duration step = milliseconds(10),
                     std::chrono::milliseconds runTime = std::chrono::milliseconds(3))
        {
            for (Duration elapsed{}; elapsed < duration; elapsed += step) {
                RuntimeClock::advance(step);
                io.restart();
                io.run_for(runTime);
            }
        }

        boost::asio::io_context io{1};
    };

    static RoutingConfig config(std::uint64_t version)
    {
        RoutingConfig config;
        config.version = version;
        return config;
    }

    void gatewaysOfOneFleetExchangeState()
    {
        PausedClock clock;
        Node receiver(clock.io, "receiver", "the key of this fleet", {});
        Node sender(clock.io, "sender", "the key of this fleet", {receiver.address()});
        sender.state.configRead(config(7));
        clock.advance(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, receiver.state.configVersion());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, receiver.counters.value(Counter::HostileFrames));
    }

    void messagesFromOutsideTheFleetAreRejected()
    {
        PausedClock clock;
        Node receiver(clock.io, "receiver", "the key of this fleet", {});
        Node outsider(clock.io, "outsider", "the key of another fleet", {receiver.address()});
        outsider.state.configRead(config(7));
        clock.advance(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, receiver.state.configVersion());
        CPPUNIT_ASSERT(receiver.peers.livePeers().empty());
        CPPUNIT_ASSERT(receiver.counters.value(Counter::HostileFrames) > 0);
    }

    void replyToAnotherQueryIsRejected()
    {
        const FleetKeys fleet = keys("the key of this fleet");
        const std::string signedMessage =
            signMessage(fleet, PeerMessageKind::StateUpdate, "17", "text");
        CPPUNIT_ASSERT(verifyMessage(fleet, PeerMessageKind::StateUpdate, "17", signedMessage)
                       == "text");
        CPPUNIT_ASSERT(!verifyMessage(fleet, PeerMessageKind::StateUpdate, "18", signedMessage));
        CPPUNIT_ASSERT(!verifyMessage(fleet, PeerMessageKind::Heartbeat, "17", signedMessage));
        CPPUNIT_ASSERT(!verifyMessage(fleet, PeerMessageKind::StateUpdate, "17", "text"));
        CPPUNIT_ASSERT(!verifyMessage(keys("the key of another fleet"),
                                      PeerMessageKind::StateUpdate, "17", signedMessage));
        CPPUNIT_ASSERT(verifyMessage(FleetKeys(), PeerMessageKind::StateUpdate, "17", "text")
                       == "text");
    }

    /// Its connection is closed before its time-out, and no room is made for it.
    void queryThatIsTooLongIsNotRead()
    {
        PausedClock clock;
        Node receiver(clock.io, "receiver", "the key of this fleet", {});
        boost::asio::ip::tcp::socket socket(clock.io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), receiver.peers.port()});
        const std::uint32_t size = 1U << 20U;
        boost::asio::write(socket, boost::asio::buffer(&size, sizeof size));
        bool closed = false;
        char byte = 0;
        socket.async_read_some(boost::asio::buffer(&byte, 1),
                               [&](const boost::system::error_code &ec, std::size_t) {
                                   closed = static_cast<bool>(ec);
                               });
        clock.advance(milliseconds(100));
        CPPUNIT_ASSERT(closed);
    }

    void replayedHeartbeatIsIgnored()
    {
        PausedClock clock;
        Node receiver(clock.io, "receiver", "the key of this fleet", {});
        boost::asio::ip::udp::socket socket(clock.io, boost::asio::ip::udp::v4());
        const auto send = [&](std::uint64_t sequence, std::int32_t ageMs) {
            GatewayHeartbeat heartbeat;
            heartbeat.from = {VmName("other"), {"127.0.0.1", 1}};
            heartbeat.incarnation = Incarnation{5};
            heartbeat.sequence = sequence;
            heartbeat.ageMs = ageMs;
            const std::string bytes = static_cast<char>(PeerMessageKind::Heartbeat)
                + signMessage(keys("the key of this fleet"), PeerMessageKind::Heartbeat, {},
                              encodeGatewayHeartbeat(heartbeat));
            socket.send_to(boost::asio::buffer(bytes),
                           {boost::asio::ip::make_address("127.0.0.1"), receiver.peers.port()});
            clock.advance(milliseconds(50));
        };
        send(5, GatewayHeartbeat::unknownAge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, receiver.peers.livePeers().size());
        send(5, 0);
        send(4, 0);
        CPPUNIT_ASSERT(!receiver.state.currentAt());
        send(6, 0);
        CPPUNIT_ASSERT(receiver.state.currentAt().has_value());
    }

    /// While changes follow each other faster than they spread, no two gateways have the same
    /// state. If only equal states confirmed each other, none would be confirmed.
    void peerWithOlderStateConfirms()
    {
        PausedClock clock;
        Node receiver(clock.io, "receiver", "the key of this fleet", {});
        receiver.state.configRead(config(7));
        boost::asio::ip::udp::socket socket(clock.io, boost::asio::ip::udp::v4());
        GatewayHeartbeat heartbeat;
        heartbeat.from = {VmName("other"), {"127.0.0.1", 1}};
        heartbeat.incarnation = Incarnation{5};
        const auto send = [&](std::uint64_t version) {
            ++heartbeat.sequence;
            heartbeat.configVersion = version;
            heartbeat.ageMs = 0;
            const std::string bytes = static_cast<char>(PeerMessageKind::Heartbeat)
                + signMessage(keys("the key of this fleet"), PeerMessageKind::Heartbeat, {},
                              encodeGatewayHeartbeat(heartbeat));
            socket.send_to(boost::asio::buffer(bytes),
                           {boost::asio::ip::make_address("127.0.0.1"), receiver.peers.port()});
            clock.advance(milliseconds(50));
        };
        send(8); // the sender has a newer version than the receiver
        CPPUNIT_ASSERT(!receiver.state.currentAt());
        send(6);
        CPPUNIT_ASSERT(receiver.state.currentAt().has_value());
    }

    /// Guards against a state that counts as current in the future: no watcher reads the store any
    /// more, and the gateway passes the negative age on to its peers.
    void ageBelowZeroConfirmsNothing()
    {
        PausedClock clock;
        Node receiver(clock.io, "receiver", "the key of this fleet", {});
        boost::asio::ip::udp::socket socket(clock.io, boost::asio::ip::udp::v4());
        GatewayHeartbeat heartbeat;
        heartbeat.from = {VmName("other"), {"127.0.0.1", 1}};
        heartbeat.incarnation = Incarnation{5};
        const auto send = [&](std::int32_t ageMs) {
            ++heartbeat.sequence;
            heartbeat.ageMs = ageMs;
            const std::string bytes = static_cast<char>(PeerMessageKind::Heartbeat)
                + signMessage(keys("the key of this fleet"), PeerMessageKind::Heartbeat, {},
                              encodeGatewayHeartbeat(heartbeat));
            socket.send_to(boost::asio::buffer(bytes),
                           {boost::asio::ip::make_address("127.0.0.1"), receiver.peers.port()});
            clock.advance(milliseconds(50));
        };
        for (const std::int32_t ageMs : {-2, -5000, std::numeric_limits<std::int32_t>::min()}) {
            send(ageMs);
            CPPUNIT_ASSERT(!receiver.state.currentAt());
        }
        clock.advance(receiver.state.staleLimit());
        CPPUNIT_ASSERT(!receiver.state.isConfirmed());
        send(0);
        CPPUNIT_ASSERT(receiver.state.currentAt() <= RuntimeClock::now());
    }

    /// A heartbeat goes to five of the 29 others every 2 s, so that each gateway receives one of
    /// each other every 12 s, after it would be considered lost. Reports of live gateways must
    /// prevent that, and a gateway that stops must still be considered lost by all.
    /// Guards against gateways that keep each other behind: both watch the store, whose answers to
    /// them were lost, and each heartbeat of the other, which is behind as well, restarted the time
    /// after which they fetch from the third, which is ahead.
    void gatewaysThatAreBehindFollowTheOneAhead()
    {
        PausedClock clock;
        Node ahead(clock.io, "ahead", "the key of this fleet", {});
        Node second(clock.io, "second", "the key of this fleet", {ahead.address()});
        Node third(clock.io, "third", "the key of this fleet", {ahead.address(), second.address()});
        for (Node *it : {&ahead, &second, &third}) {
            it->state.configRead(config(7));
            it->state.contactChanged(true);
        }
        clock.advance(seconds(3));
        for (const Node *it : {&second, &third})
            CPPUNIT_ASSERT(it->state.shouldWatch(it->peers.livePeers()));
        ahead.state.configRead(config(8));
        clock.advance(milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, second.state.configVersion());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, third.state.configVersion());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, second.counters.value(Counter::StateBehind));
    }

    /// In a large fleet, the next heartbeat of the peer that is ahead is seconds away.
    void lagIsFetchedWithoutAnotherHeartbeat()
    {
        PausedClock clock;
        HeartbeatBudget rare;
        rare.interval = seconds(8);
        Node ahead(clock.io, "ahead", "the key of this fleet", {}, rare);
        Node receiver(clock.io, "receiver", "the key of this fleet", {ahead.address()}, rare);
        receiver.state.contactChanged(true);
        clock.advance(seconds(2));
        ahead.state.configRead(config(8));
        ahead.peers.announce();
        clock.advance(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, receiver.state.configVersion());
    }

    /// A peer reports newer state, but does not answer queries.
    void lagIsLoggedAndCounted()
    {
        PausedClock clock;
        Node receiver(clock.io, "receiver", "the key of this fleet", {});
        boost::asio::ip::udp::socket socket(clock.io, boost::asio::ip::udp::v4());
        GatewayHeartbeat heartbeat;
        heartbeat.from = {VmName("other"), {"127.0.0.1", 1}};
        heartbeat.incarnation = Incarnation{5};
        heartbeat.sequence = GatewayPeers::maxStartSequence + 1;
        heartbeat.configVersion = 8;
        const std::string bytes = static_cast<char>(PeerMessageKind::Heartbeat)
            + signMessage(keys("the key of this fleet"), PeerMessageKind::Heartbeat, {},
                          encodeGatewayHeartbeat(heartbeat));
        socket.send_to(boost::asio::buffer(bytes),
                       {boost::asio::ip::make_address("127.0.0.1"), receiver.peers.port()});
        clock.advance(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, receiver.counters.value(Counter::StateBehind));
    }

    void gatewaysWithRareHeartbeatsStayLive()
    {
        constexpr std::size_t size = 30;
        PausedClock clock;
        HeartbeatBudget budget;
        budget.interval = seconds(2);
        budget.bytesPerSecond = 1;
        std::vector<std::unique_ptr<Node>> nodes;
        std::vector<Endpoint> seeds;
        for (std::size_t n = 0; n < size; ++n) {
            nodes.push_back(std::make_unique<Node>(clock.io, "vm-" + std::to_string(n),
                                                   "the key of this fleet", seeds, budget));
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
        constexpr std::chrono::milliseconds runTime(40); // sufficient with sanitizers, too
        clock.advance(seconds(30), step, runTime);
        for (int n = 0; n < 5; ++n) {
            clock.advance(seconds(3), step, runTime);
            for (const auto &node : nodes)
                CPPUNIT_ASSERT(node->peers.livePeers().size() >= size - 3);
        }
        nodes.back()->peers.stop();
        clock.advance(GatewayPeers::peerTimeout + seconds(5), step, runTime);
        for (const auto &node : nodes | std::views::take(size - 1))
            CPPUNIT_ASSERT(!node->peers.livePeers().contains(VmName("vm-29")));
    }

    void smallHeartbeatsGoToMoreGateways()
    {
        const HeartbeatBudget budget;
        const Duration interval = budget.interval;
        CPPUNIT_ASSERT_EQUAL(std::size_t{26}, budget.targetCount(200, 29));
        CPPUNIT_ASSERT_EQUAL(std::size_t{13}, budget.targetCount(200, 479));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, budget.targetCount(330, 4));
        CPPUNIT_ASSERT_EQUAL(HeartbeatBudget::minTargets, budget.targetCount(1'100, 29));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.targetCount(330, 0));
        // Control traffic must not exceed 15 KB/s of a VM in any fleet and under any load.
        for (std::size_t bytes = 100; bytes <= 1'200; bytes += 10) {
            const auto sent = bytes * budget.targetCount(bytes, 479);
            CPPUNIT_ASSERT(static_cast<double>(sent) / toSeconds(interval) <= 15'000);
            if (bytes <= 500) // usual size; as much is received as sent
                CPPUNIT_ASSERT(static_cast<double>(2 * sent) / toSeconds(interval) <= 15'000);
        }
    }

    void hintsAreReportedForARound()
    {
        const HeartbeatBudget budget;
        const Duration interval = budget.interval;
        CPPUNIT_ASSERT(budget.hintWindow(15, 29) == 3 * interval);
        CPPUNIT_ASSERT(budget.hintWindow(4, 4) == 2 * interval);
        CPPUNIT_ASSERT(budget.hintWindow(5, 479) == UpstreamTable::hintWindow);
        CPPUNIT_ASSERT(budget.loadLifetime(15, 29) == UpstreamTable::peerLoadLifetime);
        CPPUNIT_ASSERT(budget.loadLifetime(10, 100) == 20 * interval);
    }

    void largeLoadIsReportedEarly()
    {
        const HeartbeatBudget budget;
        const Duration interval = budget.interval;
        const Duration early = milliseconds(110);
        const TokenCount largeLoad = HeartbeatBudget::earlyReportTokens;
        constexpr std::size_t heartbeatBytes = 175; // with little load
        CPPUNIT_ASSERT(budget.isDue(interval, 0, heartbeatBytes, 29));
        CPPUNIT_ASSERT(budget.isDue(early, largeLoad, heartbeatBytes, 4));
        CPPUNIT_ASSERT(!budget.isDue(early, largeLoad - 1, heartbeatBytes, 4));
        CPPUNIT_ASSERT(!budget.isDue(early, largeLoad, heartbeatBytes, 479)); // a large fleet

        PausedClock clock;
        Node receiver(clock.io, "receiver", "the key of this fleet", {});
        Node sender(clock.io, "sender", "the key of this fleet", {receiver.address()});
        UpstreamEntry engine;
        engine.id = UpstreamId("u");
        engine.service = ServiceName("llm");
        for (Node *node : {&receiver, &sender})
            node->state.upstreamsListed({engine}, 1);
        clock.advance(milliseconds(410));
        Selection selection;
        selection.upstream = engine.id;
        selection.prefillTokens = 9'000;
        sender.state.upstreams().sent(engine.id, SelectionQuery{engine.service, "m", {}}, selection,
                                      RuntimeClock::now());
        clock.advance(milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, receiver.state.upstreams().peerCount());
        const auto load = receiver.state.upstreams().load(engine.id, RuntimeClock::now());
        CPPUNIT_ASSERT(load.prefillTokens >= 9'000);
    }

    /// The second gateway knows the other two, which do not know each other: limits must be passed
    /// on.
    void limitsAndTheirEndsReachAllGateways()
    {
        PausedClock clock;
        Node last(clock.io, "last", "the key of this fleet", {});
        Node second(clock.io, "second", "the key of this fleet", {last.address()});
        Node first(clock.io, "first", "the key of this fleet", {second.address()});
        UpstreamEntry limited;
        limited.id = UpstreamId("u", 7);
        for (Node *node : {&first, &second, &last})
            node->state.upstreamsListed({limited}, 1);
        const auto limitAt = [&](Node &node) {
            return node.state.upstreams().limits().currentLimit(limited.id, RuntimeClock::now());
        };
        first.state.upstreams().limits().recordAnswer(limited.id, CallRate{2200},
                                                      RuntimeClock::now(), vmTimeOfDay());
        clock.advance(seconds(4));
        CPPUNIT_ASSERT(limitAt(second) == CallRate{2200} && limitAt(last) == CallRate{2200});
        first.state.upstreams().limits().recordAnswer(limited.id, std::nullopt, RuntimeClock::now(),
                                                      vmTimeOfDay());
        clock.advance(seconds(4));
        CPPUNIT_ASSERT(!limitAt(first) && !limitAt(second) && !limitAt(last));
    }

    /// As above, while the registry is unavailable. A gateway that starts later must learn it, too,
    /// and the next incarnation of the upstream must take work.
    void upstreamThatLeavesIsKnownToAllGateways()
    {
        PausedClock clock;
        Node last(clock.io, "last", "the key of this fleet", {});
        Node second(clock.io, "second", "the key of this fleet", {last.address()});
        Node first(clock.io, "first", "the key of this fleet", {second.address()});
        UpstreamEntry leavingUpstream;
        leavingUpstream.id = UpstreamId("u", 7);
        UpstreamEntry restarted = leavingUpstream;
        restarted.id.startedAt = 8;
        restarted.revision = 2;
        for (Node *node : {&first, &second, &last})
            node->state.upstreamsListed({leavingUpstream}, 1);
        UpstreamNotice leaving;
        leaving.isLeaving = true;
        first.state.applyNotice(leavingUpstream.id, leaving);
        clock.advance(seconds(4));
        Node lateStarter(clock.io, "late", "the key of this fleet", {last.address()});
        lateStarter.state.upstreamsListed({leavingUpstream}, 1);
        clock.advance(seconds(4));
        for (Node *node : {&first, &second, &last, &lateStarter}) {
            const UpstreamDirectory &directory = node->state.directory();
            CPPUNIT_ASSERT(!directory.takesWork(*directory.find(leavingUpstream.id)));
            node->state.upstreamsListed({restarted}, 2);
            CPPUNIT_ASSERT(directory.takesWork(*directory.find(restarted.id)));
        }
    }

    /// A gateway reads the registry within milliseconds of its start and then takes calls. An
    /// upstream that announced its leaving in answers only looks ready there.
    void gatewayThatStartsGetsAHeartbeatAtOnce()
    {
        PausedClock clock;
        HeartbeatBudget rare;
        rare.interval = seconds(2);
        Node known(clock.io, "known", "the key of this fleet", {}, rare);
        UpstreamEntry upstream;
        upstream.id = UpstreamId("u", 7);
        known.state.upstreamsListed({upstream}, 1);
        UpstreamNotice leaving;
        leaving.isLeaving = true;
        known.state.applyNotice(upstream.id, leaving);
        clock.advance(milliseconds(100));
        Node started(clock.io, "started", "the key of this fleet", {known.address()}, rare);
        clock.advance(milliseconds(20));
        started.state.upstreamsListed({upstream}, 1);
        const UpstreamDirectory &directory = started.state.directory();
        CPPUNIT_ASSERT(!directory.takesWork(*directory.find(upstream.id)));
    }

    /// A gateway whose event loop can be held up while another one's goes on.
    struct BusyPair
    {
        BusyPair()
        {
            sender.state.configRead(config(7));
            receiver.state.configRead(config(7));
            sender.state.verified(start);
            clock.advance(milliseconds(500), milliseconds(50));
            run();
        }
        ~BusyPair() { busy.stop(); }
        BusyPair(const BusyPair &) = delete;
        BusyPair &operator=(const BusyPair &) = delete;

        /// Lets the receiver run as far as it can.
        void run()
        {
            busy.restart();
            while (busy.poll() > 0) { }
        }

        boost::asio::io_context busy{1};
        PausedClock clock;
        Node receiver{busy, "receiver", "the key of this fleet", {}};
        Node sender{clock.io, "sender", "the key of this fleet", {receiver.address()}};
    };

    /// A busy gateway took itself for current for as long as heartbeats waited in its socket.
    void heartbeatsThatWaitedDoNotMakeTheStateYounger()
    {
        BusyPair pair;
        pair.sender.state.verified(RuntimeClock::now());
        const Time currentAt = *pair.sender.state.currentAt();
        pair.clock.advance(seconds(2));
        pair.sender.peers.stop();
        RuntimeClock::advance(seconds(5));
        pair.run();
        CPPUNIT_ASSERT(pair.receiver.state.currentAt().has_value());
        CPPUNIT_ASSERT(*pair.receiver.state.currentAt() <= currentAt);
    }

    /// The heartbeat that told of newer state was some time old when the fetch was complete.
    void delayedFetchDoesNotMakeTheStateYounger()
    {
        PausedClock clock;
        Node ahead(clock.io, "ahead", "the key of this fleet", {});
        Node receiver(clock.io, "receiver", "the key of this fleet", {ahead.address()});
        receiver.state.contactChanged(true);
        clock.advance(seconds(2));
        ahead.state.configRead(config(8));
        const Time currentAt = RuntimeClock::now();
        ahead.state.verified(currentAt);
        ahead.peers.announce();
        clock.advance(PeerLag::fetchDelay + milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, receiver.state.configVersion());
        CPPUNIT_ASSERT(receiver.state.currentAt().has_value());
        CPPUNIT_ASSERT(*receiver.state.currentAt() <= currentAt);
    }

    /// One round of the event loop is enough, however many datagrams wait.
    void busyGatewayReadsTheNewestHeartbeat()
    {
        BusyPair pair;
        pair.clock.advance(seconds(10));
        pair.sender.state.configRead(config(9));
        pair.sender.peers.announce();
        pair.clock.advance(milliseconds(50));
        const std::uint64_t received = pair.receiver.counters.value(Counter::PeerDatagramsReceived);
        pair.busy.restart();
        constexpr int handlersOfARound = 10;
        for (int n = 0; n < handlersOfARound; ++n)
            pair.busy.poll_one();
        CPPUNIT_ASSERT(pair.receiver.counters.value(Counter::PeerDatagramsReceived)
                       >= received + 20);
        CPPUNIT_ASSERT(pair.receiver.counters.value(Counter::PeerDatagramsSuperseded) >= 19);
        pair.clock.advance(milliseconds(20));
        for (int n = 0; n < 10; ++n) { // connections between the two loops
            pair.run();
            pair.clock.advance(milliseconds(10));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, pair.receiver.state.configVersion());
    }

    /// The sender is current at times drawn at random, the receiver runs at others, and its socket
    /// may lose what it does not hold.
    void ageIsNeverUnderTheTruth()
    {
        CPPUNIT_ASSERT(rc::check("any waits", [] {
            BusyPair pair;
            const auto waits = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 40));
            Time verifiedAt = start;
            for (const int wait : waits | std::views::take(12)) {
                if (wait % 3 == 0) {
                    verifiedAt = RuntimeClock::now();
                    pair.sender.state.verified(verifiedAt);
                }
                pair.clock.advance(milliseconds(10 * wait), milliseconds(10),
                                   std::chrono::milliseconds(0));
                if (wait % 2 == 0)
                    pair.run();
                const auto known = pair.receiver.state.currentAt();
                RC_ASSERT(!known || *known <= verifiedAt);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPeersTest);

} // namespace reachlead
