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

/// The fleet's time of day, and the counts of lives of gateways.
class UsageTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageTableTest);
    CPPUNIT_TEST(oneClockThatJumpsDecidesNothing);
    CPPUNIT_TEST(timeGoesOnBetweenWords);
    CPPUNIT_TEST(silentClocksAreForgotten);
    CPPUNIT_TEST(windowsBeginAtMultiplesOfTheirLength);
    CPPUNIT_TEST(countsAreFinalOnceTheWindowHasSettled);
    CPPUNIT_TEST(endedLivesAreToldOn);
    CPPUNIT_TEST(whatIsToldIsSpreadOverAll);
    CPPUNIT_TEST(anyOrderOfWordsGivesTheSameSum);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr UnixMillis day = 1'700'000'000'000;

    static GatewayIncarnation life(const std::string &vm, std::uint64_t incarnation)
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
        time.recordClock(VmName("self"), day + 2000, start); // back by two seconds, or ahead
        CPPUNIT_ASSERT_EQUAL(day + 3, time.at(start));
        time.recordClock(VmName("self"), day - 2000, start);
        CPPUNIT_ASSERT_EQUAL(day - 2, time.at(start));
    }

    void timeGoesOnBetweenWords()
    {
        FleetTime time;
        time.recordClock(VmName("self"), day, start);
        CPPUNIT_ASSERT_EQUAL(day + 1500, time.at(start + milliseconds(1500)));
    }

    void silentClocksAreForgotten()
    {
        FleetTime time;
        time.recordClock(VmName("gone"), day - 5000, start);
        time.recordClock(VmName("self"), day, start + FleetTime::maxClockAge);
        time.dropOld(start + FleetTime::maxClockAge + milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(day, time.at(start + FleetTime::maxClockAge));
    }

    void windowsBeginAtMultiplesOfTheirLength()
    {
        const UsageTable book(life("self", 1), seconds(5));
        CPPUNIT_ASSERT_EQUAL(WindowNumber{2}, book.windowAt(10'000));
        CPPUNIT_ASSERT_EQUAL(WindowNumber{1}, book.windowAt(9'999));
        CPPUNIT_ASSERT_EQUAL(UnixMillis{10'000}, book.windowEnd(1));
    }

    void countsAreFinalOnceTheWindowHasSettled()
    {
        UsageTable book(life("self", 1), seconds(5));
        book.countCall(AccountName("t"), 9'990);
        CPPUNIT_ASSERT(!book.ownUsage(1, 10'100).isFinal);
        const WindowUsage told = book.ownUsage(1, 10'300);
        CPPUNIT_ASSERT(told.isFinal);
        CPPUNIT_ASSERT_EQUAL(1U, told.counts.at(AccountName("t")));
        UsageTable other(life("other", 1), seconds(5));
        CPPUNIT_ASSERT(!other.isFinal(life("self", 1), 1));
        other.merge(told);
        CPPUNIT_ASSERT(other.isFinal(life("self", 1), 1));
    }

    void endedLivesAreToldOn()
    {
        UsageTable book(life("self", 1), seconds(5));
        book.merge({life("dead", 1), 1, false, {{AccountName("t"), 4}}});
        book.merge({life("live", 2), 1, false, {{AccountName("t"), 5}}});
        const auto ended = book.exitedUsage({life("live", 2)}, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
        CPPUNIT_ASSERT(ended.front().gateway == life("dead", 1));
        CPPUNIT_ASSERT_EQUAL(9U, book.total(1).at(AccountName("t")));
        book.dropBefore(2);
        CPPUNIT_ASSERT(book.total(1).empty());
    }

    /// Each of 100 gateways tells three: none hears of more than a few.
    void whatIsToldIsSpreadOverAll()
    {
        std::set<VmName> names;
        for (int n = 0; n < 100; ++n)
            names.insert(VmName(std::to_string(n)));
        std::map<VmName, int> told;
        for (const VmName &vm : names) {
            std::set<VmName> others = names;
            others.erase(vm);
            const std::vector<VmName> first = rendezvousPeers(vm, others, 3);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.size());
            CPPUNIT_ASSERT(std::ranges::find(first, vm) == first.end());
            for (const VmName &it : first)
                ++told[it];
        }
        for (const auto &[vm, n] : told)
            CPPUNIT_ASSERT(n < 12);
    }

    /// Words of lives that grow, told twice, late or never but for the last.
    void anyOrderOfWordsGivesTheSameSum()
    {
        CPPUNIT_ASSERT(rc::check("any order", [](const std::vector<unsigned char> &order) {
            std::vector<WindowUsage> words;
            for (unsigned n = 1; n <= 4; ++n) {
                words.push_back({life("a", 1), 1, false, {{AccountName("t"), n}}});
                words.push_back({life("a", 2), 1, false, {{AccountName("t"), n * 10}}});
                words.push_back({life("b", 1), 1, n == 4, {{AccountName("u"), n}}});
            }
            UsageTable book(life("self", 1), seconds(5));
            for (const unsigned char which : order)
                book.merge(words.at(which % words.size()));
            for (std::size_t n = words.size() - 3; n < words.size(); ++n)
                book.merge(words.at(n));
            const UsageCounts total = book.total(1);
            RC_ASSERT(total.at(AccountName("t")) == 44U);
            RC_ASSERT(total.at(AccountName("u")) == 4U);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageTableTest);

} // namespace reachlead
