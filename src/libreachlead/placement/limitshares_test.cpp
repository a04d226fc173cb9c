// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <set>

#include "libreachlead/placement/limitsharesfleet.h"

namespace reachlead {

namespace {

using Fleet = LimitSharesFleet;
using Gateway = LimitSharesFleet::Gateway;

} // namespace

/// LimitShares of several gateways, without a network.
class LimitSharesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitSharesTest);
    CPPUNIT_TEST(gatewayWithAllCallsBorrowsTheRest);
    CPPUNIT_TEST(gatewayLendsOnlyWhatItsCallsDoNotNeed);
    CPPUNIT_TEST(nothingIsAskedForWithinTheOwnShare);
    CPPUNIT_TEST(lenderGetsItsShareBackWhenTheLoanHasExpired);
    CPPUNIT_TEST(loansAreRenewedBeforeTheyExpire);
    CPPUNIT_TEST(silentLenderIsNotAskedContinuously);
    CPPUNIT_TEST(restartedLenderWaits);
    CPPUNIT_TEST(lateGrantIsNotUsed);
    CPPUNIT_TEST(grantOfAnotherIncarnationIsNotUsed);
    CPPUNIT_TEST(repeatedRequestIsNotGranted);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start = Fleet::start;

    static constexpr LimitShare all{LimitShare::whole};

    void gatewayWithAllCallsBorrowsTheRest()
    {
        for (const std::size_t n : {2U, 4U, 30U, 300U}) {
            Fleet fleet(n);
            fleet.gateways[0].need = all;
            fleet.exchange(fleet.gateways[0], start);
            const std::uint32_t rounding = n;
            CPPUNIT_ASSERT(fleet.gateways[0].usable(start) >= LimitShare::whole - rounding);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fleet.gateways[1].usable(start));
        }
    }

    void gatewayLendsOnlyWhatItsCallsDoNotNeed()
    {
        Fleet fleet(4);
        fleet.gateways[0].need = all;
        fleet.gateways[1].need = all; // needs all that it has
        fleet.gateways[2].need = {100'000};
        fleet.exchange(fleet.gateways[0], start);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{250'000}, fleet.gateways[1].usable(start));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{100'000}, fleet.gateways[2].usable(start));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fleet.gateways[3].usable(start));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{650'000}, fleet.gateways[0].usable(start));
    }

    void nothingIsAskedForWithinTheOwnShare()
    {
        Fleet fleet(4);
        fleet.gateways[0].need = {250'000};
        const std::set<VmName> others = fleet.others(fleet.gateways[0]);
        CPPUNIT_ASSERT(fleet.gateways[0].ask(others, 8, start).empty());
    }

    void lenderGetsItsShareBackWhenTheLoanHasExpired()
    {
        Fleet fleet(4);
        fleet.gateways[0].need = all;
        fleet.exchange(fleet.gateways[0], start);
        const Time end = start + LimitShares::leaseTime;
        CPPUNIT_ASSERT(fleet.gateways[0].usable(end - milliseconds(1)) > 900'000);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{250'000}, fleet.gateways[0].usable(end));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fleet.gateways[1].usable(end));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{250'000},
                             fleet.gateways[1].usable(end + LimitShares::leaseMargin));
    }

    void loansAreRenewedBeforeTheyExpire()
    {
        Fleet fleet(30);
        fleet.gateways[0].need = all;
        for (Time now = start; now < start + seconds(30); now += milliseconds(100)) {
            fleet.exchange(fleet.gateways[0], now);
            CPPUNIT_ASSERT(fleet.gateways[0].usable(now) > 900'000);
            CPPUNIT_ASSERT(fleet.used(now) <= LimitShare::whole);
        }
    }

    void silentLenderIsNotAskedContinuously()
    {
        Fleet fleet(2);
        fleet.gateways[0].need = all;
        const std::set<VmName> others = fleet.others(fleet.gateways[0]);
        std::size_t requests = 0;
        for (Time now = start; now < start + seconds(10); now += milliseconds(100))
            requests += fleet.gateways[0].ask(others, 8, now).size();
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, requests);
    }

    /// It may have lent its share before.
    void restartedLenderWaits()
    {
        Fleet fleet(2);
        fleet.gateways[0].need = all;
        fleet.exchange(fleet.gateways[0], start);
        fleet.restart(1, start);
        fleet.gateways[1].need = all;
        for (Time now = start; now < start + seconds(20); now += milliseconds(100))
            CPPUNIT_ASSERT(fleet.used(now) <= LimitShare::whole);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{500'000},
                             fleet.gateways[1].usable(start + LimitShares::startDelay));
    }

    /// The lender counts the lease from a later time than the borrower.
    void lateGrantIsNotUsed()
    {
        Fleet fleet(2);
        Gateway &borrower = fleet.gateways[0];
        borrower.need = all;
        const auto requests = borrower.ask(fleet.others(borrower), 8, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
        const Time late = start + seconds(4);
        const auto grant = fleet.gateways[1].lend(requests[0].second, late);
        CPPUNIT_ASSERT(grant && borrower.shares.borrow(*grant, late));
        CPPUNIT_ASSERT(!borrower.shares.borrow(*grant, late)); // repeated
        const Time end = start + LimitShares::leaseTime;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{500'000}, borrower.usable(end));
        const Time lenderEnd = late + LimitShares::leaseTime + LimitShares::leaseMargin;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fleet.gateways[1].usable(lenderEnd - seconds(1)));
    }

    /// Its requests have the same numbers.
    void grantOfAnotherIncarnationIsNotUsed()
    {
        Fleet fleet(2);
        Gateway &borrower = fleet.gateways[0];
        borrower.need = all;
        const auto requests = borrower.ask(fleet.others(borrower), 8, start);
        const auto grant = fleet.gateways[1].lend(requests.at(0).second, start);
        fleet.restart(0, start);
        const Time later = start + seconds(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, borrower.ask(fleet.others(borrower), 8, later).size());
        CPPUNIT_ASSERT(grant && !borrower.shares.borrow(*grant, later));
    }

    void repeatedRequestIsNotGranted()
    {
        Fleet fleet(2);
        Gateway &borrower = fleet.gateways[0];
        borrower.need = all;
        const auto first = borrower.ask(fleet.others(borrower), 8, start);
        const Time later = start + LimitShares::retryInterval;
        const auto second = borrower.ask(fleet.others(borrower), 8, later);
        CPPUNIT_ASSERT(fleet.gateways[1].lend(second.at(0).second, later));
        CPPUNIT_ASSERT(!fleet.gateways[1].lend(second.at(0).second, later));
        CPPUNIT_ASSERT(!fleet.gateways[1].lend(first.at(0).second, later));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitSharesTest);

} // namespace reachlead
