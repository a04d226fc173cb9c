// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/peerlag.h>

namespace reachlead {

/// When a gateway that is behind its peers fetches their state.
class PeerLagTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLagTest);
    CPPUNIT_TEST(otherGatewaysThatAreBehindDoNotDelayTheFetch);
    CPPUNIT_TEST(changesFromTheStoreMakeAFetchNeedless);
    CPPUNIT_TEST(reportOfALostGatewayIsForgotten);
    CPPUNIT_TEST(partsAreComparedOneByOne);
    CPPUNIT_TEST(longLagIsReportedOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};

    static ReportedVersions versions(std::uint64_t config, std::uint64_t registry)
    {
        return {config, registry, 1, 0};
    }

    void otherGatewaysThatAreBehindDoNotDelayTheFetch()
    {
        const ReportedVersions own = versions(7, 20);
        PeerLag lag;
        lag.heard(versions(8, 20), own, start);
        CPPUNIT_ASSERT(lag.isFetchDue(false, start));
        CPPUNIT_ASSERT(!lag.isFetchDue(true, start));
        lag.heard(own, own, start + milliseconds(100));
        lag.heard(versions(6, 19), own, start + milliseconds(200));
        CPPUNIT_ASSERT(*lag.behindSince() == start);
        CPPUNIT_ASSERT(lag.isFetchDue(true, start + PeerLag::fetchDelay));
    }

    void changesFromTheStoreMakeAFetchNeedless()
    {
        PeerLag lag;
        lag.heard(versions(8, 25), versions(7, 20), start);
        lag.update(versions(8, 24), start + milliseconds(50));
        CPPUNIT_ASSERT(lag.behindSince());
        lag.update(versions(8, 25), start + milliseconds(100));
        CPPUNIT_ASSERT(!lag.behindSince());
        lag.heard(versions(9, 25), versions(8, 25), start + seconds(1));
        CPPUNIT_ASSERT(*lag.behindSince() == start + seconds(1));
    }

    void reportOfALostGatewayIsForgotten()
    {
        const ReportedVersions own = versions(7, 20);
        PeerLag lag;
        lag.heard(versions(8, 20), own, start);
        lag.update(own, start + PeerLag::reportLifetime);
        CPPUNIT_ASSERT(lag.behindSince());
        lag.update(own, start + PeerLag::reportLifetime + milliseconds(1));
        CPPUNIT_ASSERT(!lag.behindSince());
    }

    void partsAreComparedOneByOne()
    {
        const ReportedVersions own{7, {1, 20}, 5, 3};
        CPPUNIT_ASSERT(ReportedVersions({7, {2, 1}, 5, 3}).hasNewerState(own)); // a later era
        CPPUNIT_ASSERT(ReportedVersions({7, {1, 20}, 6, 3}).hasNewerState(own));
        CPPUNIT_ASSERT(!ReportedVersions({7, {1, 20}, 5, 4}).hasNewerState(own));
        CPPUNIT_ASSERT(ReportedVersions({7, {1, 20}, 5, 4}).isAheadOf(own));
        CPPUNIT_ASSERT(!ReportedVersions({6, {1, 19}, 5, 3}).isAheadOf(own));
        PeerLag lag;
        lag.heard({8, {1, 10}, 5, 3}, own, start);
        lag.heard({6, {1, 30}, 5, 3}, own, start);
        CPPUNIT_ASSERT(lag.newest().config == 8 && lag.newest().registry == StoreRevision(1, 30));
    }

    void longLagIsReportedOnce()
    {
        const ReportedVersions own = versions(7, 20);
        PeerLag lag;
        lag.heard(versions(8, 20), own, start);
        CPPUNIT_ASSERT(!lag.takeLongLag(start + milliseconds(900)));
        CPPUNIT_ASSERT(lag.takeLongLag(start + milliseconds(1100)) == milliseconds(1100));
        CPPUNIT_ASSERT(!lag.takeLongLag(start + seconds(2)));
        lag.update(versions(8, 20), start + seconds(3));
        lag.heard(versions(9, 20), versions(8, 20), start + seconds(4));
        CPPUNIT_ASSERT(lag.takeLongLag(start + seconds(6)) == seconds(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLagTest);

} // namespace reachlead
