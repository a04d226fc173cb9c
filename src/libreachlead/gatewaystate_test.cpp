// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/gatewaystate.h>
#include <reachlead/log.h>

namespace reachlead {

/// A gateway's state when it receives different updates from the platform and from peers.
class GatewayStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayStateTest);
    CPPUNIT_TEST(configurationNeverGoesBack);
    CPPUNIT_TEST(peerUpdateIsAppliedWithoutThePlatform);
    CPPUNIT_TEST(olderUpdateOfAPeerIsIgnored);
    CPPUNIT_TEST(upstreamMayBeAddedAndRemovedInOneBatch);
    CPPUNIT_TEST(updateHasChangesIfTheyAreKnown);
    CPPUNIT_TEST(updateHasTheWholeStateForOneTooFarBehind);
    CPPUNIT_TEST(readyNeedsConfigurationAndUpstreams);
    CPPUNIT_TEST(confirmedStateHasTheAgeThatThePeerReports);
    CPPUNIT_TEST(versionsAreObservedAnewAfterTheStateWasStale);
    CPPUNIT_TEST(versionsAreObservedAnewAfterAStandstill);
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
        state.configRead(config(19)); // versions may have gaps
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{19}, state.configVersion());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                             held->version()); // a call keeps the one that it started with
    }

    void peerUpdateIsAppliedWithoutThePlatform()
    {
        GatewayState state({});
        state.contactChanged(false);
        StateUpdate update;
        update.config = config(3);
        update.registry.snapshot = {entry("a")};
        update.registry.revision = 12;
        state.applyPeerUpdate(VmName("peer"), update);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.configVersion());
        CPPUNIT_ASSERT(state.directory().find(UpstreamId("a")) != nullptr);
        CPPUNIT_ASSERT(state.isReady());
    }

    void olderUpdateOfAPeerIsIgnored()
    {
        GatewayState state({});
        state.configRead(config(7));
        state.upstreamsListed({entry("a")}, 20);
        StateUpdate update;
        update.config = config(6);
        update.registry.snapshot = {entry("b")};
        update.registry.revision = 20;
        state.applyPeerUpdate(VmName("peer"), update);
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

    void upstreamMayBeAddedAndRemovedInOneBatch()
    {
        GatewayState state({});
        state.upstreamsListed({entry("a")}, 20);
        UpstreamChange addition;
        addition.entry = entry("b");
        UpstreamChange removal = addition;
        removal.removed = true;
        setLogLevel(LogLevel::Info); // the log line of an added upstream looks the entry up
        state.upstreamsChanged({addition, removal}, 22);
        setLogLevel(LogLevel::Error);
        CPPUNIT_ASSERT(state.directory().find(UpstreamId("b")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{22}, state.directory().revision().number);
    }

    void updateHasChangesIfTheyAreKnown()
    {
        GatewayState sender({});
        GatewayState receiver({});
        for (GatewayState *state : {&sender, &receiver}) {
            state->configRead(withRoutes(3, 10));
            state->upstreamsListed({entry("a"), entry("b")}, 20);
        }
        sender.configRead(withRoutes(4, 11));
        UpstreamChange removal;
        removal.entry = entry("a");
        removal.removed = true;
        sender.upstreamsChanged({removal}, 21);
        const StateUpdate update = sender.updateSince({3, 20, 0, {}, {}});
        CPPUNIT_ASSERT(!update.config && !update.registry.snapshot);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.configChange->routes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.registry.changes.size());
        receiver.applyPeerUpdate(VmName("peer"), update);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, receiver.configVersion());
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, receiver.table()->config().routes.size());
        CPPUNIT_ASSERT(receiver.directory().find(UpstreamId("a")) == nullptr);
        CPPUNIT_ASSERT(receiver.directory().find(UpstreamId("b")) != nullptr);
    }

    void updateHasTheWholeStateForOneTooFarBehind()
    {
        GatewayState sender({});
        for (std::uint64_t version = 1; version <= GatewayState::maxFormerTables + 2; ++version)
            sender.configRead(withRoutes(version, 2));
        sender.upstreamsListed({entry("a")}, 20);
        const StateUpdate update = sender.updateSince({1, 7, 0, {}, {}});
        CPPUNIT_ASSERT(update.config && update.registry.snapshot);
        GatewayState fresh({});
        fresh.applyPeerUpdate(VmName("peer"), update);
        CPPUNIT_ASSERT(fresh.isReady());
        // Changes from a later revision than the current one are ignored.
        GatewayState behind({});
        behind.upstreamsListed({entry("b")}, 5);
        StateUpdate gap;
        gap.registry.changesFrom = 7;
        gap.registry.revision = 20;
        behind.applyPeerUpdate(VmName("peer"), gap);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, behind.directory().revision().number);
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

    void confirmedStateHasTheAgeThatThePeerReports()
    {
        GatewayState state({});
        CPPUNIT_ASSERT(!state.currentAt());
        state.confirmed(start - seconds(1));
        CPPUNIT_ASSERT(*state.currentAt() == start - seconds(1));
        state.verified(start);
        state.confirmed(start - seconds(1));
        CPPUNIT_ASSERT(*state.currentAt() == start);
    }

    /// Upstreams may have come and left while it was stale.
    void versionsAreObservedAnewAfterTheStateWasStale()
    {
        GatewayState state({});
        state.verified(start);
        for (const Duration age : {state.staleLimit() / 2, state.staleLimit()}) {
            RuntimeClock::advance(age);
            state.verified(RuntimeClock::now());
            CPPUNIT_ASSERT(state.directory().observedSince() == start);
        }
        RuntimeClock::advance(state.staleLimit() + milliseconds(1));
        state.verified(RuntimeClock::now());
        CPPUNIT_ASSERT(state.directory().observedSince() == RuntimeClock::now());
    }

    /// What arrived meanwhile verifies the state for one time after the other.
    void versionsAreObservedAnewAfterAStandstill()
    {
        GatewayState state({});
        state.verified(start);
        RuntimeClock::advance(seconds(4));
        for (int n = 1; n <= 4; ++n)
            state.verified(start + seconds(n));
        CPPUNIT_ASSERT(state.directory().observedSince() == RuntimeClock::now());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStateTest);

} // namespace reachlead
