// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "peer/usagelink.h"

namespace reachlead {

namespace {

/// A store with one record and a platform that keeps what it was told, shared by all gateways.
struct UsageWorld
{
    struct Taken
    {
        VmName holder;
        FencingToken token = 0;
        UsageCounts counts;
    };

    std::optional<StoredUsage> stored;
    std::map<WindowNumber, std::vector<Taken>> taken;
    bool losesAnswers = false; ///< writes are done and not answered
    bool isStoreDown = false;
    std::set<VmName> turnedAway; ///< by the platform, not by the store
    std::set<VmName> dead; ///< their calls reach nothing
    std::size_t calls = 0;
};

class UsagePlatformStandin : public UsagePlatform
{
public:
    UsagePlatformStandin(UsageWorld &world, VmName vm) : m_world(world), m_vm(std::move(vm)) { }

    boost::asio::awaitable<UsageReply> read() override
    {
        ++m_world.calls;
        UsageReply answer;
        answer.result = isAway() ? UsageResult::Unknown : UsageResult::Done;
        answer.stored = m_world.stored;
        co_return answer;
    }

    boost::asio::awaitable<UsageReply> write(UsageRecord record,
                                             std::optional<std::uint64_t> revision) override
    {
        ++m_world.calls;
        UsageReply answer;
        if (isAway())
            co_return answer;
        const bool fits =
            revision ? m_world.stored && m_world.stored->revision == *revision : !m_world.stored;
        answer.result = fits ? UsageResult::Done : UsageResult::Conflict;
        if (fits)
            m_world.stored = StoredUsage{std::move(record), revision.value_or(0) + 1};
        answer.revision = revision.value_or(0) + 1;
        if (m_world.losesAnswers)
            answer.result = UsageResult::Unknown;
        co_return answer;
    }

    boost::asio::awaitable<UsageReply> send(UsageRecord record, Duration /*limit*/) override
    {
        ++m_world.calls;
        UsageReply answer;
        if (m_world.turnedAway.contains(m_vm) || m_world.dead.contains(m_vm))
            co_return answer;
        m_world.taken[record.window].push_back({record.holder.vm, record.token, record.counts});
        answer.result = UsageResult::Done;
        co_return answer;
    }

    void stop() override { }

private:
    bool isAway() const { return m_world.isStoreDown || m_world.dead.contains(m_vm); }

    UsageWorld &m_world;
    VmName m_vm;
};

} // namespace

/// Gateways that count, tell and report over real datagrams, on a paused clock.
class UsageLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageLinkTest);
    CPPUNIT_TEST(everyWindowIsReportedOnce);
    CPPUNIT_TEST(countsOutliveTheirGateway);
    CPPUNIT_TEST(stoppingGatewayTellsItsLastCounts);
    CPPUNIT_TEST(nextInRankTakesOverFromADeadHolder);
    CPPUNIT_TEST(lostAnswersOfTheStoreChangeNoReport);
    CPPUNIT_TEST(windowsAreMadeUpForAfterAnOutage);
    CPPUNIT_TEST(holderThatThePlatformTurnsAwayGivesWay);
    CPPUNIT_TEST(offNothingIsCalled);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr Duration window = seconds(5);

    struct Node
    {
        Node(boost::asio::io_context &io, UsageWorld &world, const std::string &vm,
             std::vector<Endpoint> seeds, bool isEnabled)
            : world(world), state(stateOptions(vm)),
              peers(io, peerOptions(vm, std::move(seeds)), state),
              link(io, linkOptions(isEnabled), peers,
                   std::make_unique<UsagePlatformStandin>(world, VmName(vm)))
        { }

        static GatewayState::Options stateOptions(const std::string &vm)
        {
            GatewayState::Options made;
            made.vm = VmName(vm);
            return made;
        }
        static GatewayPeers::Options peerOptions(const std::string &vm, std::vector<Endpoint> seeds)
        {
            GatewayPeers::Options made;
            made.self = {VmName(vm), {"127.0.0.1", 0}};
            made.seeds = std::move(seeds);
            return made;
        }
        static UsageLink::Options linkOptions(bool isEnabled)
        {
            UsageLink::Options made;
            made.isEnabled = isEnabled;
            made.window = window;
            return made;
        }

        /// Ends it as a kill does.
        void die()
        {
            isDead = true;
            world.dead.insert(state.vm());
            peers.stop();
        }

        UsageWorld &world;
        GatewayState state;
        GatewayPeers peers;
        UsageLink link;
        bool isDead = false;
    };

    /// Three gateways that know of each other.
    struct Fleet
    {
        explicit Fleet(bool isEnabled = true)
        {
            RuntimeClock::pause(start);
            std::vector<Endpoint> seeds;
            for (const char *vm : {"g1", "g2", "g3"}) {
                nodes.push_back(std::make_unique<Node>(io, world, vm, seeds, isEnabled));
                seeds.push_back({"127.0.0.1", nodes.back()->peers.port()});
            }
            advance(seconds(2));
        }
        ~Fleet()
        {
            for (const auto &node : nodes) {
                node->link.stop();
                node->peers.stop();
            }
            io.stop();
            RuntimeClock::resume();
        }

        void advance(Duration d)
        {
            constexpr Duration clockStep = milliseconds(20);
            for (Duration moved{}; moved < d; moved += clockStep) {
                RuntimeClock::advance(clockStep);
                io.restart();
                io.run_for(std::chrono::milliseconds(2));
            }
        }

        /// Each gateway that lives sees calls of two accounts.
        void call(std::uint32_t n)
        {
            for (const auto &node : nodes) {
                if (node->isDead)
                    continue;
                for (std::uint32_t it = 0; it < n; ++it)
                    node->link.callStarted(AccountName("t"));
                node->link.callStarted(AccountName("u"));
            }
        }

        Node *holder()
        {
            const auto it = std::ranges::find_if(nodes, [](const auto &node) {
                return !node->isDead && node->link.reporter().isHolder();
            });
            return it == nodes.end() ? nullptr : it->get();
        }

        /// Calls that were reported of an account in all windows; fails where one window has two
        /// texts.
        std::uint32_t reported(const std::string &account) const
        {
            std::uint32_t sum = 0;
            for (const auto &[number, reports] : world.taken) {
                for (const auto &report : reports)
                    CPPUNIT_ASSERT(report.counts == reports.front().counts);
                const auto it = reports.front().counts.find(AccountName(account));
                sum += it == reports.front().counts.end() ? 0 : it->second;
            }
            return sum;
        }

        boost::asio::io_context io{1};
        UsageWorld world;
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
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.world.taken.size());
        CPPUNIT_ASSERT_EQUAL(18U, fleet.reported("t"));
        CPPUNIT_ASSERT_EQUAL(9U, fleet.reported("u"));
        for (const auto &[number, reports] : fleet.world.taken)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
    }

    void countsOutliveTheirGateway()
    {
        Fleet fleet;
        fleet.call(2);
        fleet.advance(UsageLink::reportInterval * 2);
        fleet.nodes[0]->die();
        fleet.advance(window * 2);
        CPPUNIT_ASSERT_EQUAL(6U, fleet.reported("t"));
    }

    void stoppingGatewayTellsItsLastCounts()
    {
        Fleet fleet;
        fleet.call(2);
        fleet.nodes[0]->link.stop();
        fleet.nodes[0]->die();
        fleet.advance(window * 2);
        CPPUNIT_ASSERT_EQUAL(6U, fleet.reported("t"));
    }

    void nextInRankTakesOverFromADeadHolder()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.advance(window + seconds(1));
        Node *first = fleet.holder();
        CPPUNIT_ASSERT(first != nullptr);
        fleet.call(1);
        fleet.advance(UsageLink::reportInterval * 2);
        first->die();
        fleet.advance(window + seconds(8));
        CPPUNIT_ASSERT(fleet.holder() != nullptr);
        CPPUNIT_ASSERT_EQUAL(6U, fleet.reported("t"));
        CPPUNIT_ASSERT_EQUAL(FencingToken{2}, fleet.world.stored->record.token);
    }

    void lostAnswersOfTheStoreChangeNoReport()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.world.losesAnswers = true;
        fleet.advance(window + seconds(1));
        fleet.world.losesAnswers = false;
        fleet.advance(window);
        CPPUNIT_ASSERT_EQUAL(3U, fleet.reported("t"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.world.taken.size());
    }

    void windowsAreMadeUpForAfterAnOutage()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.advance(window + seconds(1));
        fleet.world.isStoreDown = true;
        fleet.call(2);
        fleet.advance(window);
        fleet.call(3);
        fleet.advance(window);
        fleet.world.isStoreDown = false;
        fleet.advance(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.world.taken.size());
        CPPUNIT_ASSERT_EQUAL(18U, fleet.reported("t"));
    }

    void holderThatThePlatformTurnsAwayGivesWay()
    {
        Fleet fleet;
        fleet.call(1);
        fleet.advance(window + seconds(1));
        Node *first = fleet.holder();
        fleet.world.turnedAway.insert(first->state.vm());
        fleet.call(1);
        fleet.advance(window * 2);
        fleet.call(1);
        fleet.advance(window * 2);
        CPPUNIT_ASSERT(fleet.holder() != first);
        CPPUNIT_ASSERT_EQUAL(9U, fleet.reported("t"));
    }

    void offNothingIsCalled()
    {
        Fleet fleet(false);
        fleet.call(1);
        fleet.advance(window * 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.world.calls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageLinkTest);

} // namespace reachlead
