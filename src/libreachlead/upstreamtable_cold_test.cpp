// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <vector>

#include <fmt/format.h>

#include <reachlead/upstreamtable.h>

namespace reachlead {

/// Upstreams that just started, or became cold again, beside warm ones that have work.
class ColdUpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdUpstreamTest);
    CPPUNIT_TEST(emptyUpstreamIsNotFlooded);
    CPPUNIT_TEST(fleetStaysWithinTheBound);
    CPPUNIT_TEST(warmUpstreamTakesAll);
    CPPUNIT_TEST(coldAgainAtAnyMoment);
    CPPUNIT_TEST(serviceWithoutARateIsNotPaced);
    CPPUNIT_TEST(nothingIsChosenWhereAllHadTheirShare);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};
    static constexpr double rate = 5.9; ///< calls a second that a cold upstream bears
    static constexpr std::uint32_t coldMs = 3000;

    static std::vector<UpstreamEntry> entries(std::size_t warm, std::uint32_t leftMs,
                                              std::uint64_t revision)
    {
        std::vector<UpstreamEntry> all;
        for (std::size_t n = 0; n <= warm; ++n) {
            UpstreamEntry entry;
            entry.id = UpstreamId(n == 0 ? "cold" : fmt::format("warm{}", n));
            entry.service = ServiceName("llm");
            entry.zone = ZoneName("z");
            entry.slots = 64;
            entry.revision = n == 0 ? revision : 1;
            entry.coldLeftMs = n == 0 ? leftMs : 0;
            all.push_back(entry);
        }
        return all;
    }

    /// A gateway with ten warm upstreams that have work, and a cold one that has none.
    struct Chooser
    {
        explicit Chooser(std::uint64_t number, bool isGroupScheduler, std::size_t warm = 10,
                         double perSecond = rate)
            : isScheduler(isGroupScheduler)
        {
            info.name = ServiceName("llm");
            info.engineSlots = 64;
            info.coldCallsPerSecond = perSecond;
            book.setFleet(30, number);
            directory.replaceAll(entries(warm, coldMs, 5), 5, start);
            LoadByUpstream load;
            for (std::size_t n = 1; n <= warm; ++n)
                load[UpstreamId(fmt::format("warm{}", n))] = {60, 0, 0};
            book.setPeerLoad(VmName("peer"), {load, 0}, start, std::chrono::hours(1));
        }

        /// Places a call; true when it went to the cold upstream.
        bool place(Time now)
        {
            SelectionQuery ask{ServiceName("llm"), "m", {}, nullptr, &info};
            ask.isGroupScheduler = isScheduler;
            ask.group = group;
            const auto choice = book.select(ask, directory, now);
            if (!choice)
                return false;
            ++placed;
            book.sent(choice->upstream, ask, *choice, now);
            book.ended(choice->upstream, 0, false);
            return choice->upstream.text == "cold";
        }

        /// Calls in a second, evenly spaced; how many went to the cold upstream.
        int second(Time from, int calls = 100)
        {
            int cold = 0;
            for (int n = 0; n < calls; ++n)
                cold += place(from + n * Duration(seconds(1)) / calls) ? 1 : 0;
            return cold;
        }

        ServiceInfo info;
        bool isScheduler = false;
        const std::set<UpstreamId> *group = nullptr;
        UpstreamTable book{ZoneName("z"), UpstreamTable::Costs()};
        UpstreamDirectory directory;
        int placed = 0;
    };

    /// An upstream that had just started got 15 calls in its first second, all placed by one
    /// gateway, to which it was the only one without work; it bears 5.9.
    void emptyUpstreamIsNotFlooded()
    {
        Chooser scheduler(1, true);
        for (int n = 0; n < 3; ++n) {
            const int cold = scheduler.second(start + n * seconds(1));
            CPPUNIT_ASSERT(cold >= 4 && cold <= rate);
        }
    }

    /// Calls to the cold upstream in each of three seconds, of 30 gateways of which so many believe
    /// to place for all.
    static std::vector<int> fleetsSeconds(std::size_t schedulers, const std::set<UpstreamId> *group)
    {
        std::vector<std::unique_ptr<Chooser>> fleet;
        for (std::uint64_t n = 0; n < 30; ++n) {
            fleet.push_back(std::make_unique<Chooser>(n * 37, n < schedulers));
            fleet.back()->group = group;
        }
        std::vector<int> cold(3, 0);
        for (std::size_t second = 0; second < cold.size(); ++second) {
            for (const auto &it : fleet)
                cold[second] += it->second(start + second * seconds(1), 20);
        }
        return cold;
    }

    /// Two gateways believe to place for all, and 28 choose by themselves; or there is none that
    /// places for all. What a cold upstream is known to survive is half more than its rate, and
    /// five.
    void fleetStaysWithinTheBound()
    {
        constexpr double bound = rate * 1.5 + 5;
        std::set<UpstreamId> group;
        for (const UpstreamEntry &entry : entries(10, 0, 1))
            group.insert(entry.id);
        for (const int cold : fleetsSeconds(2, &group))
            CPPUNIT_ASSERT(cold <= bound);
        for (const int cold : fleetsSeconds(0, nullptr)) {
            CPPUNIT_ASSERT(cold <= bound);
            CPPUNIT_ASSERT(cold > 0);
        }
    }

    void warmUpstreamTakesAll()
    {
        Chooser scheduler(1, true);
        scheduler.second(start);
        CPPUNIT_ASSERT_EQUAL(100, scheduler.second(start + milliseconds(coldMs)));
        Chooser other(2, false);
        CPPUNIT_ASSERT(other.second(start) <= 1);
        // The same entry read again says nothing new.
        other.directory.replaceAll(entries(10, coldMs, 5), 6, start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(100, other.second(start + milliseconds(coldMs)));
    }

    void coldAgainAtAnyMoment()
    {
        Chooser scheduler(1, true);
        const Time warm = start + seconds(10);
        scheduler.second(start);
        CPPUNIT_ASSERT_EQUAL(100, scheduler.second(warm));
        scheduler.directory.replaceAll(entries(10, coldMs, 9), 9, warm + seconds(1));
        const int cold = scheduler.second(warm + seconds(1));
        CPPUNIT_ASSERT(cold >= 4 && cold <= rate);
    }

    void serviceWithoutARateIsNotPaced()
    {
        Chooser scheduler(1, true, 10, 0);
        CPPUNIT_ASSERT_EQUAL(100, scheduler.second(start));
    }

    void nothingIsChosenWhereAllHadTheirShare()
    {
        Chooser scheduler(1, true, 0);
        const int cold = scheduler.second(start);
        CPPUNIT_ASSERT(cold >= 4 && cold <= rate);
        CPPUNIT_ASSERT_EQUAL(cold, scheduler.placed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdUpstreamTest);

} // namespace reachlead
