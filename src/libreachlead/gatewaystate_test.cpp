// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/gatewaystate.h>
#include <reachlead/log.h>

namespace reachlead {

/// What a gateway believes when the platform and its peers tell it different things.
class GatewayStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayStateTest);
    CPPUNIT_TEST(configurationNeverGoesBack);
    CPPUNIT_TEST(peersTellWhatThePlatformDoesNot);
    CPPUNIT_TEST(olderNewsOfAPeerChangesNothing);
    CPPUNIT_TEST(upstreamMayComeAndGoInOneBatch);
    CPPUNIT_TEST(newsTellChangesWhereTheyCan);
    CPPUNIT_TEST(newsTellAllToOneTooFarBehind);
    CPPUNIT_TEST(readyNeedsConfigurationAndUpstreams);
    CPPUNIT_TEST(vouchedStateIsAsOldAsThePeerSays);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

public:
    void setUp() override { RuntimeClock::pause(start); }
    void tearDown() override { RuntimeClock::resume(); }

private:
    static RoutingConfig config(std::uint64_t version)
    {
        RoutingConfig made;
        made.version = version;
        return made;
    }

    static UpstreamEntry entry(const std::string &id)
    {
        UpstreamEntry made;
        made.id = UpstreamId(id);
        return made;
    }

    void configurationNeverGoesBack()
    {
        GatewayState state({});
        state.configRead(config(7));
        const RouteTablePtr held = state.table();
        state.configRead(config(5));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, state.configVersion());
        CPPUNIT_ASSERT(held == state.table());
        state.configRead(config(19)); // versions may leave gaps
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{19}, state.configVersion());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, held->version()); // a call keeps what it began with
    }

    void peersTellWhatThePlatformDoesNot()
    {
        GatewayState state({});
        state.contactChanged(false);
        StateUpdate news;
        news.config = config(3);
        news.registry.snapshot = {entry("a")};
        news.registry.revision = 12;
        state.applyPeerUpdate(VmName("peer"), news);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.configVersion());
        CPPUNIT_ASSERT(state.directory().find(UpstreamId("a")) != nullptr);
        CPPUNIT_ASSERT(state.isReady());
    }

    void olderNewsOfAPeerChangesNothing()
    {
        GatewayState state({});
        state.configRead(config(7));
        state.upstreamsListed({entry("a")}, 20);
        StateUpdate news;
        news.config = config(6);
        news.registry.snapshot = {entry("b")};
        news.registry.revision = 20;
        state.applyPeerUpdate(VmName("peer"), news);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, state.configVersion());
        CPPUNIT_ASSERT(state.directory().find(UpstreamId("b")) == nullptr);
    }

    static RoutingConfig withRoutes(std::uint64_t version, unsigned count)
    {
        RoutingConfig made = config(version);
        for (unsigned n = 0; n < count; ++n) {
            Route route;
            route.name = "r" + std::to_string(n);
            made.routes.push_back(route);
        }
        return made;
    }

    void upstreamMayComeAndGoInOneBatch()
    {
        GatewayState state({});
        state.upstreamsListed({entry("a")}, 20);
        UpstreamChange come;
        come.entry = entry("b");
        UpstreamChange go = come;
        go.removed = true;
        setLogLevel(LogLevel::Info); // the line of what came is the place where it was not found
        state.upstreamsChanged({come, go}, 22);
        setLogLevel(LogLevel::Error);
        CPPUNIT_ASSERT(state.directory().find(UpstreamId("b")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{22}, state.directory().revision());
    }

    void newsTellChangesWhereTheyCan()
    {
        GatewayState teller({});
        GatewayState hearer({});
        for (GatewayState *state : {&teller, &hearer}) {
            state->configRead(withRoutes(3, 10));
            state->upstreamsListed({entry("a"), entry("b")}, 20);
        }
        teller.configRead(withRoutes(4, 11));
        UpstreamChange gone;
        gone.entry = entry("a");
        gone.removed = true;
        teller.upstreamsChanged({gone}, 21);
        const StateUpdate news = teller.updateSince({3, 20});
        CPPUNIT_ASSERT(!news.config && !news.registry.snapshot);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.configChange->routes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.registry.changes.size());
        hearer.applyPeerUpdate(VmName("peer"), news);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, hearer.configVersion());
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, hearer.table()->config().routes.size());
        CPPUNIT_ASSERT(hearer.directory().find(UpstreamId("a")) == nullptr);
        CPPUNIT_ASSERT(hearer.directory().find(UpstreamId("b")) != nullptr);
    }

    void newsTellAllToOneTooFarBehind()
    {
        GatewayState teller({});
        for (std::uint64_t version = 1; version <= GatewayState::maxFormerTables + 2; ++version)
            teller.configRead(withRoutes(version, 2));
        teller.upstreamsListed({entry("a")}, 20);
        const StateUpdate news = teller.updateSince({1, 7});
        CPPUNIT_ASSERT(news.config && news.registry.snapshot);
        GatewayState fresh({});
        fresh.applyPeerUpdate(VmName("peer"), news);
        CPPUNIT_ASSERT(fresh.isReady());
        // Changes that begin behind what is held are of no use.
        GatewayState behind({});
        behind.upstreamsListed({entry("b")}, 5);
        StateUpdate gap;
        gap.registry.changesFrom = 7;
        gap.registry.revision = 20;
        behind.applyPeerUpdate(VmName("peer"), gap);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, behind.directory().revision());
    }

    void readyNeedsConfigurationAndUpstreams()
    {
        GatewayState state({});
        CPPUNIT_ASSERT(!state.isReady());
        state.upstreamsListed({entry("a")}, 1);
        CPPUNIT_ASSERT(!state.isReady());
        state.configRead(config(1));
        CPPUNIT_ASSERT(state.isReady());
    }

    void vouchedStateIsAsOldAsThePeerSays()
    {
        GatewayState state({});
        CPPUNIT_ASSERT(!state.currentAt());
        state.confirmed(start - seconds(1));
        CPPUNIT_ASSERT(*state.currentAt() == start - seconds(1));
        state.caughtUp();
        state.confirmed(start - seconds(1));
        CPPUNIT_ASSERT(*state.currentAt() == start);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStateTest);

} // namespace reachlead
