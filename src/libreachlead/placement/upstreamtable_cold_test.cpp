// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <vector>

#include <fmt/format.h>

#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

/// Upstreams that have just started, or became cold again, beside warm ones with load.
class ColdUpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdUpstreamTest);
    CPPUNIT_TEST(emptyUpstreamIsNotFlooded);
    CPPUNIT_TEST(fleetStaysWithinTheBound);
    CPPUNIT_TEST(warmUpstreamTakesAll);
    CPPUNIT_TEST(coldAgainAtAnyMoment);
    CPPUNIT_TEST(serviceWithoutARateIsNotLimited);
    CPPUNIT_TEST(nothingIsSelectedWhenAllHadTheirShare);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};
    static constexpr double rate = 5.9; ///< calls per second that a cold upstream accepts
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

    /// A gateway with ten loaded warm upstreams and an idle cold one.
    struct Selector
    {
        explicit Selector(std::uint64_t number, bool isGroupScheduler, std::size_t warm = 10,
                          double perSecond = rate)
            : isScheduler(isGroupScheduler)
        {
            info.name = ServiceName("llm");
            info.engineSlots = 64;
            info.coldCallsPerSecond = perSecond;
            table.setFleet(30, number);
            directory.replaceAll(entries(warm, coldMs, 5), 5, start);
            LoadByUpstream load;
            for (std::size_t n = 1; n <= warm; ++n)
                load[UpstreamId(fmt::format("warm{}", n))] = {60, 0, 0};
            table.setPeerLoad(VmName("peer"), {load, 0}, start, std::chrono::hours(1));
        }

        /// Places a call; returns true if it went to the cold upstream.
        bool place(Time now)
        {
            SelectionQuery query{ServiceName("llm"), "m", {}, nullptr, &info};
            query.isGroupScheduler = isScheduler;
            query.group = group;
            const auto selection = table.select(query, directory, now);
            if (!selection)
                return false;
            ++placed;
            table.sent(selection->upstream, query, *selection, now);
            table.ended(selection->upstream, 0, false);
            return selection->upstream.text == "cold";
        }

        /// Places evenly spaced calls for a second; returns how many went to the cold upstream.
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
        UpstreamTable table{ZoneName("z"), UpstreamTable::Costs()};
        UpstreamDirectory directory;
        int placed = 0;
    };

    /// An upstream that had just started got 15 calls in its first second, all placed by one
    /// gateway, because it was the only one without load; it accepts 5.9.
    void emptyUpstreamIsNotFlooded()
    {
        Selector scheduler(1, true);
        for (int n = 0; n < 3; ++n) {
            const int cold = scheduler.second(start + n * seconds(1));
            CPPUNIT_ASSERT(cold >= 4 && cold <= rate);
        }
    }

    /// Calls to the cold upstream in each of three seconds, from 30 gateways of which the first \p
    /// schedulers place calls for the whole fleet.
    static std::vector<int> callsPerSecond(std::size_t schedulers,
                                           const std::set<UpstreamId> *group)
    {
        std::vector<std::unique_ptr<Selector>> fleet;
        for (std::uint64_t n = 0; n < 30; ++n) {
            fleet.push_back(std::make_unique<Selector>(n * 37, n < schedulers));
            fleet.back()->group = group;
        }
        std::vector<int> cold(3, 0);
        for (std::size_t second = 0; second < cold.size(); ++second) {
            for (const auto &it : fleet)
                cold[second] += it->second(start + second * seconds(1), 20);
        }
        return cold;
    }

    /// Two gateways place calls for the whole fleet while 28 select on their own, or there is no
    /// scheduler. A cold upstream survives one and a half times its rate plus five calls.
    void fleetStaysWithinTheBound()
    {
        constexpr double bound = rate * 1.5 + 5;
        std::set<UpstreamId> group;
        for (const UpstreamEntry &entry : entries(10, 0, 1))
            group.insert(entry.id);
        for (const int cold : callsPerSecond(2, &group))
            CPPUNIT_ASSERT(cold <= bound);
        for (const int cold : callsPerSecond(0, nullptr)) {
            CPPUNIT_ASSERT(cold <= bound);
            CPPUNIT_ASSERT(cold > 0);
        }
    }

    void warmUpstreamTakesAll()
    {
        Selector scheduler(1, true);
        scheduler.second(start);
        CPPUNIT_ASSERT_EQUAL(100, scheduler.second(start + milliseconds(coldMs)));
        Selector other(2, false);
        CPPUNIT_ASSERT(other.second(start) <= 1);
        // Reading the same entry again changes nothing.
        other.directory.replaceAll(entries(10, coldMs, 5), 6, start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(100, other.second(start + milliseconds(coldMs)));
    }

    void coldAgainAtAnyMoment()
    {
        Selector scheduler(1, true);
        const Time warm = start + seconds(10);
        scheduler.second(start);
        CPPUNIT_ASSERT_EQUAL(100, scheduler.second(warm));
        scheduler.directory.replaceAll(entries(10, coldMs, 9), 9, warm + seconds(1));
        const int cold = scheduler.second(warm + seconds(1));
        CPPUNIT_ASSERT(cold >= 4 && cold <= rate);
    }

    void serviceWithoutARateIsNotLimited()
    {
        Selector scheduler(1, true, 10, 0);
        CPPUNIT_ASSERT_EQUAL(100, scheduler.second(start));
    }

    void nothingIsSelectedWhenAllHadTheirShare()
    {
        Selector scheduler(1, true, 0);
        const int cold = scheduler.second(start);
        CPPUNIT_ASSERT(cold >= 4 && cold <= rate);
        CPPUNIT_ASSERT_EQUAL(cold, scheduler.placed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdUpstreamTest);

} // namespace reachlead
