// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/gatewaystate.h>

namespace reachlead {

/// What a gateway believes when the platform and its peers tell it different things.
class GatewayStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayStateTest);
    CPPUNIT_TEST(configurationNeverGoesBack);
    CPPUNIT_TEST(peersTellWhatThePlatformDoesNot);
    CPPUNIT_TEST(olderNewsOfAPeerChangesNothing);
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
        GatewayNews news;
        news.config = config(3);
        news.upstreams = {entry("a")};
        news.registryRevision = 12;
        state.peerTold(VmName("peer"), news);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.configVersion());
        CPPUNIT_ASSERT(state.directory().find(UpstreamId("a")) != nullptr);
        CPPUNIT_ASSERT(state.isReady());
    }

    void olderNewsOfAPeerChangesNothing()
    {
        GatewayState state({});
        state.configRead(config(7));
        state.upstreamsListed({entry("a")}, 20);
        GatewayNews news;
        news.config = config(6);
        news.upstreams = {entry("b")};
        news.registryRevision = 20;
        state.peerTold(VmName("peer"), news);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, state.configVersion());
        CPPUNIT_ASSERT(state.directory().find(UpstreamId("b")) == nullptr);
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
        state.vouched(start - seconds(1));
        CPPUNIT_ASSERT(*state.currentAt() == start - seconds(1));
        state.current();
        state.vouched(start - seconds(1));
        CPPUNIT_ASSERT(*state.currentAt() == start);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStateTest);

} // namespace reachlead
