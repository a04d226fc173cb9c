// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "peer/usagelink.h"

namespace reachlead {

namespace {

/// The state of a store with one record and of a platform that keeps all reports, shared by all
/// gateways.
struct UsageBackend
{
    struct Report
    {
        VmName holder;
        FencingToken token = 0;
        UsageCounts counts;
    };

    std::optional<StoredUsage> stored;
    std::map<WindowNumber, std::vector<Report>> reports;
    bool losesReplies = false; ///< writes are executed without a reply
    bool isStoreDown = false;
    std::set<VmName> refused; ///< their reports are refused, but not their store calls
    std::set<VmName> killed; ///< their calls fail
    std::size_t calls = 0;
};

class FakeUsagePlatform : public UsagePlatform
{
public:
    FakeUsagePlatform(UsageBackend &backend, VmName vm)
        : m_backend(backend), m_vm(std::move(vm)) { }

    boost::asio::awaitable<UsageReply> read() override
    {
        ++m_backend.calls;
        UsageReply reply;
        reply.result = isUnreachable() ? UsageResult::Unknown : UsageResult::Done;
        reply.stored = m_backend.stored;
        co_return reply;
    }

    boost::asio::awaitable<UsageReply> write(UsageRecord record, StoreRevision revision) override
    {
        ++m_backend.calls;
        UsageReply reply;
        if (isUnreachable())
            co_return reply;
        const bool isExpected = revision.isKnown()
            ? m_backend.stored && m_backend.stored->revision == revision
            : !m_backend.stored;
        reply.result = isExpected ? UsageResult::Done : UsageResult::Conflict;
        if (isExpected)
            m_backend.stored = StoredUsage{std::move(record), revision.number + 1};
        reply.revision = revision.number + 1;
        if (m_backend.losesReplies)
            reply.result = UsageResult::Unknown;
        co_return reply;
    }

    boost::asio::awaitable<UsageReply> send(UsageRecord record, Duration /*limit*/) override
    {
        ++m_backend.calls;
        UsageReply reply;
        if (m_backend.refused.contains(m_vm) || m_backend.killed.contains(m_vm))
            co_return reply;
        m_backend.reports[record.window].push_back({record.holder.vm, record.token, record.counts});
        reply.result = UsageResult::Done;
        co_return reply;
    }

    void stop() override { }

private:
    bool isUnreachable() const { return m_backend.isStoreDown || m_backend.killed.contains(m_vm); }

    UsageBackend &m_backend;
    VmName m_vm;
};

} // namespace

/// Gateways that exchange and report usage counts over real datagrams, on a paused clock.
class UsageLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageLinkTest);
    CPPUNIT_TEST(everyWindowIsReportedOnce);
    CPPUNIT_TEST(countsSurviveAKilledGateway);
    CPPUNIT_TEST(stoppingGatewaySendsItsLastCounts);
    CPPUNIT_TEST(nextCandidateTakesOverFromAKilledHolder);
    CPPUNIT_TEST(lostRepliesOfTheStoreChangeNoReport);
    CPPUNIT_TEST(windowsAreReportedAfterAnOutage);
    CPPUNIT_TEST(holderRefusedByThePlatformIsReplaced);
    CPPUNIT_TEST(disabledLinkMakesNoCalls);
    CPPUNIT_TEST(silenceOfAllOthersIsNotReadAsNoCalls);
    CPPUNIT_TEST(silenceOfOneGatewayIsNotReadAsNoCalls);
    CPPUNIT_TEST(lastGatewayReportsWithoutTheOthers);
    CPPUNIT_TEST(onlyGatewayDoesNotWaitForOthers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr Duration window = seconds(5);

    struct Node
    {
        Node(UsageBackend &backend, const std::string &vm, std::vector<Endpoint> seeds,
             bool isEnabled)
            : backend(backend), state(stateOptions(vm)),
              peers(io, peerOptions(vm, std::move(seeds)), state),
              link(io, linkOptions(isEnabled), peers,
                   std::make_unique<FakeUsagePlatform>(backend, VmName(vm)))
        { }

        static GatewayState::Options stateOptions(const std::string &vm)
        {
            GatewayState::Options options;
            options.vm = VmName(vm);
            return options;
        }
        static GatewayPeers::Options peerOptions(const std::string &vm, std::vector<Endpoint> seeds)
        {
            GatewayPeers::Options options;
            options.self = {VmName(vm), {"127.0.0.1", 0}};
            options.seeds = std::move(seeds);
            return options;
        }
        static UsageLink::Options linkOptions(bool isEnabled)
        {
            UsageLink::Options options;
            options.isEnabled = isEnabled;
            options.window = window;
            return options;
        }

        /// Stops the gateway without any message, as if it was killed.
        void kill()
        {
            isKilled = true;
            backend.killed.insert(state.vm());
            peers.stop();
        }

        boost::asio::io_context io{1};
        UsageBackend &backend;
        GatewayState state;
        GatewayPeers peers;
        UsageLink link;
        bool isKilled = false;
        bool isStill = false; ///< the process does not run; datagrams for it wait
    };

    /// Gateways that know each other.
    struct Fleet
    {
        explicit Fleet(bool isEnabled = true, std::size_t n = 3)
        {
            RuntimeClock::pause(start);
            std::vector<Endpoint> seeds;
            while (nodes.size() < n) {
                const std::string vm = "g" + std::to_string(nodes.size() + 1);
                nodes.push_back(std::make_unique<Node>(backend, vm, seeds, isEnabled));
                seeds.push_back({"127.0.0.1", nodes.back()->peers.port()});
            }
            advance(seconds(2));
        }
        ~Fleet()
        {
            for (const auto &node : nodes) {
                node->link.stop();
                node->peers.stop();
                node->io.stop();
            }
            RuntimeClock::resume();
        }

        void advance(Duration d)
        {
            constexpr Duration clockStep = milliseconds(20);
            constexpr std::chrono::milliseconds timerDelay(2); // of real time, until timers are due
            constexpr int maxPolls = 1000;
            for (Duration elapsed{}; elapsed < d; elapsed += clockStep) {
                RuntimeClock::advance(clockStep);
                std::this_thread::sleep_for(timerDelay);
                for (int n = 0; n < maxPolls && poll() > 0; ++n) { }
            }
        }

        /// Runs what is ready at each gateway; returns the number of handlers.
        std::size_t poll()
        {
            std::size_t n = 0;
            for (const auto &node : nodes) {
                node->io.restart();
                n += node->isStill ? 0 : node->io.poll();
            }
            return n;
        }

        /// Starts \p n calls of account t and one of account u at each live gateway.
        void call(std::uint32_t n)
        {
            for (const auto &node : nodes) {
                if (node->isKilled)
                    continue;
                for (std::uint32_t it = 0; it < n; ++it)
                    node->link.callStarted(AccountName("t"));
                node->link.callStarted(AccountName("u"));
            }
        }

        Node *holder()
        {
            const auto it = std::ranges::find_if(nodes, [](const auto &node) {
                return !node->isKilled && node->link.reporter().isHolder();
            });
            return it == nodes.end() ? nullptr : it->get();
        }

        /// Returns the calls of an account reported in all windows. Fails if a window was reported
        /// with two different sets of counts.
        std::uint32_t reported(const std::string &account) const
        {
            std::uint32_t sum = 0;
            for (const auto &[number, windowReports] : backend.reports) {
                for (const auto &report : windowReports)
                    CPPUNIT_ASSERT(report.counts == windowReports.front().counts);
                const auto it = windowReports.front().counts.find(AccountName(account));
                sum += it == windowReports.front().counts.end() ? 0 : it->second;
            }
            return sum;
        }

        UsageBackend backend;
        std::vector<std::unique_ptr<Node>> nodes;
    };

    void everyWindowIsReportedOnce()
    {
        Fleet fleet;
        for (std::uint32_t n = 1; n <= 3; ++n) {
            fleet.call(n);
            fleet.advance(window);
        }
        fleet.advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.backend.reports.size());
        CPPUNIT_ASSERT_EQUAL(18U, fleet.reported("t"));
        CPPUNIT_ASSERT_EQUAL(9U, fleet.reported("u"));
        for (const auto &[number, windowReports] : fleet.backend.reports)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, windowReports.size());
    }

    void countsSurviveAKilledGateway()
    {
        Fleet fleet;
        fleet.call(2);
        fleet.advance(UsageLink::reportInterval * 2);
        fleet.nodes[0]->kill();
        fleet.advance(window * 2);
        CPPUNIT_ASSERT_EQUAL(6U, fleet.reported("t"));
    }

    void stoppingGatewaySendsItsLastCounts()
    {
        Fleet fleet;
        fleet.call(2);
        fleet.nodes[0]->link.stop();
        fleet.nodes[0]->kill();
        fleet.advance(window * 2);
        CPPUNIT_ASSERT_EQUAL(6U, fleet.reported("t"));
    }

    void nextCandidateTakesOverFromAKilledHolder()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.advance(window + seconds(1));
        Node *first = fleet.holder();
        CPPUNIT_ASSERT(first != nullptr);
        fleet.call(1);
        fleet.advance(UsageLink::reportInterval * 2);
        first->kill();
        fleet.advance(window + seconds(8));
        CPPUNIT_ASSERT(fleet.holder() != nullptr);
        CPPUNIT_ASSERT_EQUAL(6U, fleet.reported("t"));
        CPPUNIT_ASSERT_EQUAL(FencingToken{2}, fleet.backend.stored->record.token);
    }

    void lostRepliesOfTheStoreChangeNoReport()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.backend.losesReplies = true;
        fleet.advance(window + seconds(1));
        fleet.backend.losesReplies = false;
        fleet.advance(window);
        CPPUNIT_ASSERT_EQUAL(3U, fleet.reported("t"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.backend.reports.size());
    }

    void windowsAreReportedAfterAnOutage()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.advance(window + seconds(1));
        fleet.backend.isStoreDown = true;
        fleet.call(2);
        fleet.advance(window);
        fleet.call(3);
        fleet.advance(window);
        fleet.backend.isStoreDown = false;
        fleet.advance(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.backend.reports.size());
        CPPUNIT_ASSERT_EQUAL(18U, fleet.reported("t"));
    }

    void holderRefusedByThePlatformIsReplaced()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.advance(window + seconds(1));
        Node *first = fleet.holder();
        fleet.backend.refused.insert(first->state.vm());
        fleet.call(1);
        fleet.advance(window * 2);
        fleet.call(1);
        fleet.advance(window * 2);
        CPPUNIT_ASSERT(fleet.holder() != first);
        CPPUNIT_ASSERT_EQUAL(9U, fleet.reported("t"));
    }

    void disabledLinkMakesNoCalls()
    {
        Fleet fleet(false);
        fleet.call(1);
        fleet.advance(window * 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.backend.calls);
    }

    /// A window cannot be reported again, so the calls of gateways that were not heard were lost.
    void silenceOfAllOthersIsNotReadAsNoCalls()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.advance(window + seconds(1));
        const Node *holder = fleet.holder();
        CPPUNIT_ASSERT(holder != nullptr);
        fleet.call(2);
        for (const auto &node : fleet.nodes)
            node->isStill = node.get() != holder;
        fleet.advance(milliseconds(3800));
        for (const auto &node : fleet.nodes)
            node->isStill = false;
        fleet.advance(window);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.backend.reports.size());
        CPPUNIT_ASSERT_EQUAL(9U, fleet.reported("t"));
    }

    void silenceOfOneGatewayIsNotReadAsNoCalls()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.advance(window + milliseconds(800));
        const Node *holder = fleet.holder();
        CPPUNIT_ASSERT(holder != nullptr);
        fleet.call(2);
        const bool isFirst = fleet.nodes.front().get() == holder;
        Node &other = isFirst ? *fleet.nodes.back() : *fleet.nodes.front();
        other.isStill = true;
        fleet.advance(milliseconds(3400));
        other.isStill = false;
        fleet.advance(window);
        CPPUNIT_ASSERT_EQUAL(9U, fleet.reported("t"));
    }

    void lastGatewayReportsWithoutTheOthers()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.advance(window + seconds(1));
        const Node *holder = fleet.holder();
        CPPUNIT_ASSERT(holder != nullptr);
        fleet.call(2);
        fleet.advance(UsageLink::reportInterval * 2);
        for (const auto &node : fleet.nodes) {
            if (node.get() != holder)
                node->kill();
        }
        fleet.advance(UsageReporter::maxWindowsBehind * window);
        CPPUNIT_ASSERT_EQUAL(9U, fleet.reported("t"));
    }

    void onlyGatewayDoesNotWaitForOthers()
    {
        Fleet fleet(true, 1);
        fleet.call(1);
        fleet.advance(window + seconds(1));
        fleet.call(1);
        const Duration untilWindowEnd = seconds(2);
        fleet.advance(untilWindowEnd + UsageLink::holderDelay + milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(2U, fleet.reported("t"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageLinkTest);

} // namespace reachlead
