// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <reachlead/usagetable.h>
#include <reachlead/watcherelection.h>

namespace reachlead {

/// Tests the fleet's time of day and the counts of gateway incarnations.
class UsageTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageTableTest);
    CPPUNIT_TEST(oneClockThatJumpsDecidesNothing);
    CPPUNIT_TEST(timeAdvancesBetweenReports);
    CPPUNIT_TEST(unresponsiveClocksAreDropped);
    CPPUNIT_TEST(windowsBeginAtMultiplesOfTheirLength);
    CPPUNIT_TEST(countsAreFinalOnceTheWindowHasSettled);
    CPPUNIT_TEST(exitedIncarnationsAreForwarded);
    CPPUNIT_TEST(reportsAreSpreadOverGateways);
    CPPUNIT_TEST(anyOrderOfReportsGivesTheSameSum);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr UnixMillis day = 1'700'000'000'000;

    static GatewayIncarnation gatewayId(const std::string &vm, std::uint64_t incarnation)
    {
        return {VmName(vm), Incarnation{incarnation}};
    }

    void oneClockThatJumpsDecidesNothing()
    {
        FleetTime time;
        CPPUNIT_ASSERT_EQUAL(UnixMillis{0}, time.at(start));
        time.recordClock(VmName("self"), day, start);
        time.recordClock(VmName("a"), day + 3, start);
        time.recordClock(VmName("b"), day - 2, start);
        CPPUNIT_ASSERT_EQUAL(day, time.at(start));
        time.recordClock(VmName("self"), day + 2000, start); // two seconds ahead, then behind
        CPPUNIT_ASSERT_EQUAL(day + 3, time.at(start));
        time.recordClock(VmName("self"), day - 2000, start);
        CPPUNIT_ASSERT_EQUAL(day - 2, time.at(start));
    }

    void timeAdvancesBetweenReports()
    {
        FleetTime time;
        time.recordClock(VmName("self"), day, start);
        CPPUNIT_ASSERT_EQUAL(day + 1500, time.at(start + milliseconds(1500)));
    }

    void unresponsiveClocksAreDropped()
    {
        FleetTime time;
        time.recordClock(VmName("gone"), day - 5000, start);
        time.recordClock(VmName("self"), day, start + FleetTime::maxClockAge);
        time.dropOld(start + FleetTime::maxClockAge + milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(day, time.at(start + FleetTime::maxClockAge));
    }

    void windowsBeginAtMultiplesOfTheirLength()
    {
        const UsageTable table(gatewayId("self", 1), seconds(5));
        CPPUNIT_ASSERT_EQUAL(WindowNumber{2}, table.windowAt(10'000));
        CPPUNIT_ASSERT_EQUAL(WindowNumber{1}, table.windowAt(9'999));
        CPPUNIT_ASSERT_EQUAL(UnixMillis{10'000}, table.windowEnd(1));
    }

    void countsAreFinalOnceTheWindowHasSettled()
    {
        UsageTable table(gatewayId("self", 1), seconds(5));
        table.countCall(AccountName("t"), 9'990);
        CPPUNIT_ASSERT(!table.ownUsage(1, 10'100).isFinal);
        const WindowUsage usage = table.ownUsage(1, 10'300);
        CPPUNIT_ASSERT(usage.isFinal);
        CPPUNIT_ASSERT_EQUAL(1U, usage.counts.at(AccountName("t")));
        UsageTable other(gatewayId("other", 1), seconds(5));
        CPPUNIT_ASSERT(!other.isFinal(gatewayId("self", 1), 1));
        other.merge(usage);
        CPPUNIT_ASSERT(other.isFinal(gatewayId("self", 1), 1));
    }

    void exitedIncarnationsAreForwarded()
    {
        UsageTable table(gatewayId("self", 1), seconds(5));
        table.merge({gatewayId("dead", 1), 1, false, {{AccountName("t"), 4}}});
        table.merge({gatewayId("live", 2), 1, false, {{AccountName("t"), 5}}});
        const auto exited = table.exitedUsage({gatewayId("live", 2)}, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, exited.size());
        CPPUNIT_ASSERT(exited.front().gateway == gatewayId("dead", 1));
        CPPUNIT_ASSERT_EQUAL(9U, table.total(1).at(AccountName("t")));
        table.dropBefore(2);
        CPPUNIT_ASSERT(table.total(1).empty());
    }

    /// Each of 100 gateways reports to three others: none may receive more than a few reports.
    void reportsAreSpreadOverGateways()
    {
        std::set<VmName> names;
        for (int n = 0; n < 100; ++n)
            names.insert(VmName(std::to_string(n)));
        std::map<VmName, int> usage;
        for (const VmName &vm : names) {
            std::set<VmName> others = names;
            others.erase(vm);
            const std::vector<VmName> first = rendezvousPeers(vm, others, 3);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.size());
            CPPUNIT_ASSERT(std::ranges::find(first, vm) == first.end());
            for (const VmName &it : first)
                ++usage[it];
        }
        for (const auto &[vm, n] : usage)
            CPPUNIT_ASSERT(n < 12);
    }

    /// Reports with growing counts arrive repeatedly, late or, except for the last, not at all.
    void anyOrderOfReportsGivesTheSameSum()
    {
        CPPUNIT_ASSERT(rc::check("any order", [](const std::vector<unsigned char> &order) {
            std::vector<WindowUsage> reports;
            for (unsigned n = 1; n <= 4; ++n) {
                reports.push_back({gatewayId("a", 1), 1, false, {{AccountName("t"), n}}});
                reports.push_back({gatewayId("a", 2), 1, false, {{AccountName("t"), n * 10}}});
                reports.push_back({gatewayId("b", 1), 1, n == 4, {{AccountName("u"), n}}});
            }
            UsageTable table(gatewayId("self", 1), seconds(5));
            for (const unsigned char which : order)
                table.merge(reports.at(which % reports.size()));
            for (std::size_t n = reports.size() - 3; n < reports.size(); ++n)
                table.merge(reports.at(n));
            const UsageCounts total = table.total(1);
            RC_ASSERT(total.at(AccountName("t")) == 44U);
            RC_ASSERT(total.at(AccountName("u")) == 4U);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageTableTest);

} // namespace reachlead
