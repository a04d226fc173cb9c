// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

#include <fmt/format.h>

#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

/// A rate-limited upstream beside others with more load.
class LimitedUpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitedUpstreamTest);
    CPPUNIT_TEST(ownerUsesMostOfTheLimit);
    CPPUNIT_TEST(fleetOfAnySizeKeepsTheLimit);
    CPPUNIT_TEST(fleetWithoutAnOwnerKeepsTheLimit);
    CPPUNIT_TEST(unusedSharesDoNotAccumulate);
    CPPUNIT_TEST(zeroLimitIsProbedOccasionally);
    CPPUNIT_TEST(upstreamOfAnotherGroupGetsOnlyTheSmallShare);
    CPPUNIT_TEST(gatewayWithAllCallsUsesTheWholeLimit);
    CPPUNIT_TEST(trafficThatMovesKeepsTheLimit);
    CPPUNIT_TEST(nothingIsAskedForWhileTheSchedulerPlaces);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr Duration window = seconds(4);
    static constexpr Duration tick = milliseconds(50);
    static constexpr CallRate limit{2200};

    /// The number of calls that an upstream accepts in the window.
    static double maxCalls(CallRate rate) { return 1.5 * rate.perSecond() * toSeconds(window) + 5; }

    static std::vector<UpstreamEntry> entries()
    {
        std::vector<UpstreamEntry> all;
        for (const std::string name : {"limited", "other1", "other2"}) {
            UpstreamEntry entry;
            entry.id = UpstreamId(name);
            entry.service = ServiceName("llm");
            entry.slots = 64;
            all.push_back(entry);
        }
        return all;
    }

    /// A gateway for which the limited upstream is always the least loaded.
    struct Gateway
    {
        Gateway(std::size_t fleet, std::uint64_t number, bool isOwner) : ownsLimits(isOwner)
        {
            table.setFleet(fleet, number * 0x9E3779B97F4A7C15ULL);
            directory.replaceAll(entries(), 1, start);
            const LoadByUpstream load{{UpstreamId("other1"), {60, 0, 0}},
                                      {UpstreamId("other2"), {60, 0, 0}}};
            table.setPeerLoad(VmName("peer"), {load, 0}, start, std::chrono::hours(10));
        }

        /// Places a call; returns true if it went to the limited upstream.
        bool place(Time now, const std::set<UpstreamId> *group, CallRate rate = limit)
        {
            table.limits().recordAnswer(UpstreamId("limited"), rate, now, 0);
            SelectionQuery query{ServiceName("llm"), "m", {}, nullptr, nullptr};
            query.group = group;
            query.isGroupScheduler = ownsLimits;
            query.ownsLimits = ownsLimits;
            const auto selection = table.select(query, directory, now);
            CPPUNIT_ASSERT(selection.has_value());
            table.sent(selection->upstream, query, *selection, now);
            table.ended(selection->upstream, 0, false);
            return selection->upstream.text == "limited";
        }

        bool ownsLimits;
        UpstreamTable table{ZoneName("z"), UpstreamTable::Costs()};
        UpstreamDirectory directory;
    };

    static const std::set<UpstreamId> *group()
    {
        static const std::set<UpstreamId> all{UpstreamId("limited"), UpstreamId("other1"),
                                              UpstreamId("other2")};
        return &all;
    }

    /// Arrival times at the limited upstream if every gateway places a call per tick.
    static std::vector<Time> arrivals(std::size_t gateways, bool hasOwner,
                                      const std::set<UpstreamId> *selectorGroup, Duration duration,
                                      CallRate rate = limit)
    {
        std::vector<std::unique_ptr<Gateway>> fleet;
        fleet.reserve(gateways);
        for (std::size_t n = 0; n < gateways; ++n)
            fleet.push_back(std::make_unique<Gateway>(gateways, n, hasOwner && n == 0));
        std::vector<Time> arrivalTimes;
        for (Time now = start; now < start + duration; now += tick) {
            for (const auto &it : fleet) {
                if (it->place(now, selectorGroup, rate))
                    arrivalTimes.push_back(now);
            }
        }
        return arrivalTimes;
    }

    /// A fleet without an owner whose gateways lend each other their shares.
    struct LendingFleet
    {
        explicit LendingFleet(std::size_t size)
        {
            for (std::size_t n = 0; n < size; ++n) {
                gateways.push_back(std::make_unique<Gateway>(size, n, false));
                names.insert(name(n));
            }
        }

        static VmName name(std::size_t n) { return VmName(fmt::format("{:03}", n)); }

        /// One interval of requests, with the replies.
        void exchange(std::size_t position, Time now)
        {
            UpstreamTable &borrower = gateways[position]->table;
            const std::vector<LimitNeed> needs = borrower.limitNeeds(now);
            if (needs.empty())
                return;
            std::set<VmName> others = names;
            others.erase(name(position));
            for (const auto &[vm, request] : borrower.limitShares().makeRequests(
                     {name(position), Incarnation{1}}, needs, others, maxRequests, now)) {
                UpstreamTable &lender = gateways[std::stoul(vm.text)]->table;
                const auto needed = [&](const UpstreamId &id, CallRate rate) {
                    return lender.neededShare(id, rate, now);
                };
                ++requests;
                if (const auto grant = lender.limitShares().lend(vm, request, needed, now))
                    borrower.limitShares().borrow(*grant, now);
            }
        }

        static constexpr std::size_t maxRequests = 8; ///< as LimitShareLink
        static constexpr Duration interval = milliseconds(100);

        std::vector<std::unique_ptr<Gateway>> gateways;
        std::set<VmName> names;
        std::size_t requests = 0;
    };

    /// Calls that reach the limited upstream if one gateway of a fleet without an owner gets all.
    static std::size_t callsOfOneGateway(std::size_t gateways, Duration duration, CallRate rate)
    {
        LendingFleet fleet(gateways);
        std::size_t calls = 0;
        for (Time now = start; now < start + duration; now += tick) {
            calls += fleet.gateways[0]->place(now, nullptr, rate) ? 1 : 0;
            if ((now - start) % LendingFleet::interval == Duration{})
                fleet.exchange(0, now);
        }
        return calls;
    }

    static double maxCallsPerWindow(const std::vector<Time> &arrivalTimes)
    {
        std::ptrdiff_t peak = 0;
        for (auto it = arrivalTimes.begin(); it != arrivalTimes.end(); ++it)
            peak = std::max(peak, std::lower_bound(it, arrivalTimes.end(), *it + window) - it);
        return static_cast<double>(peak);
    }

    void ownerUsesMostOfTheLimit()
    {
        const auto arrivalTimes = arrivals(1, true, group(), seconds(20));
        CPPUNIT_ASSERT(static_cast<double>(arrivalTimes.size()) >= 0.7 * 20 * limit.perSecond());
        CPPUNIT_ASSERT(maxCallsPerWindow(arrivalTimes) <= maxCalls(limit));
    }

    /// The load balancer hands all new connections to one gateway for some seconds.
    void gatewayWithAllCallsUsesTheWholeLimit()
    {
        constexpr double minFraction = 0.75; // of the calls that were served before
        for (const std::size_t gateways : {4U, 30U, 300U}) {
            const std::size_t before = arrivals(gateways, false, nullptr, seconds(9)).size();
            const std::size_t calls = callsOfOneGateway(gateways, seconds(9), limit);
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format("{} gateways: {} calls, before {}", gateways, calls, before),
                static_cast<double>(calls) >= minFraction * static_cast<double>(before));
        }
    }

    /// All calls arrive at one gateway for some seconds, then at another one, and at times at all.
    void trafficThatMovesKeepsTheLimit()
    {
        for (const std::size_t gateways : {4U, 30U, 300U}) {
            LendingFleet fleet(gateways);
            std::vector<Time> arrivalTimes;
            for (Time now = start; now < start + seconds(30); now += tick) {
                const auto turn = static_cast<std::size_t>((now - start) / milliseconds(3500));
                for (std::size_t n = 0; n < gateways; ++n) {
                    const bool hasCalls = turn % 4 == 3 || n == turn % gateways;
                    if (hasCalls && fleet.gateways[n]->place(now, nullptr))
                        arrivalTimes.push_back(now);
                    if ((now - start) % LendingFleet::interval == Duration{})
                        fleet.exchange(n, now);
                }
            }
            const std::string message =
                fmt::format("{} gateways: {}", gateways, maxCallsPerWindow(arrivalTimes));
            CPPUNIT_ASSERT_MESSAGE(message, maxCallsPerWindow(arrivalTimes) <= maxCalls(limit));
        }
    }

    /// Requests would be control traffic without use.
    void nothingIsAskedForWhileTheSchedulerPlaces()
    {
        LendingFleet fleet(4);
        fleet.gateways[0]->ownsLimits = true;
        for (Time now = start; now < start + seconds(9); now += tick) {
            fleet.gateways[0]->place(now, group());
            fleet.exchange(0, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.requests);
    }

    void fleetOfAnySizeKeepsTheLimit()
    {
        for (const std::size_t gateways : {3U, 30U, 300U, 1000U}) {
            for (const CallRate rate : {CallRate{500}, limit, CallRate{20'000}}) {
                const auto arrivalTimes = arrivals(gateways, true, group(), seconds(9), rate);
                const std::string message =
                    fmt::format("{} gateways, {} calls a second: {}", gateways, rate.perSecond(),
                                maxCallsPerWindow(arrivalTimes));
                CPPUNIT_ASSERT_MESSAGE(message, maxCallsPerWindow(arrivalTimes) <= maxCalls(rate));
                CPPUNIT_ASSERT_MESSAGE(message,
                                       static_cast<double>(arrivalTimes.size())
                                           >= 0.6 * 9 * rate.perSecond());
            }
        }
    }

    void fleetWithoutAnOwnerKeepsTheLimit()
    {
        for (const auto *selectorGroup :
             {group(), static_cast<const std::set<UpstreamId> *>(nullptr)}) {
            for (const std::size_t gateways : {3U, 300U, 1000U}) {
                const auto arrivalTimes = arrivals(gateways, false, selectorGroup, seconds(9));
                const std::string message =
                    fmt::format("{}: {}", gateways, maxCallsPerWindow(arrivalTimes));
                CPPUNIT_ASSERT_MESSAGE(message, maxCallsPerWindow(arrivalTimes) <= maxCalls(limit));
            }
        }
    }

    /// The gateway that owned the limit has exited, and the others have calls although they sent
    /// none to the upstream before.
    void unusedSharesDoNotAccumulate()
    {
        std::vector<std::unique_ptr<Gateway>> fleet;
        fleet.reserve(999);
        for (std::size_t n = 1; n < 1000; ++n)
            fleet.push_back(std::make_unique<Gateway>(1000, n, false));
        std::vector<Time> arrivalTimes;
        const Time later = start + std::chrono::hours(2);
        for (Time now = later; now < later + window; now += tick) {
            for (const auto &it : fleet) {
                if (it->place(now, group()))
                    arrivalTimes.push_back(now);
            }
        }
        CPPUNIT_ASSERT(maxCallsPerWindow(arrivalTimes) <= maxCalls(limit));
    }

    void zeroLimitIsProbedOccasionally()
    {
        const auto arrivalTimes = arrivals(1, true, group(), seconds(60), CallRate{0});
        CPPUNIT_ASSERT(arrivalTimes.size() >= 3 && arrivalTimes.size() <= 6);
    }

    void upstreamOfAnotherGroupGetsOnlyTheSmallShare()
    {
        static const std::set<UpstreamId> others{UpstreamId("other1"), UpstreamId("other2")};
        std::size_t sent = 0;
        Gateway owner(300, 1, true);
        for (Time now = start; now < start + seconds(20); now += tick) {
            LoadByUpstream busy{{UpstreamId("other1"), {600, 0, 0}},
                                {UpstreamId("other2"), {600, 0, 0}}};
            owner.table.setPeerLoad(VmName("peer"), {busy, 0}, now);
            sent += owner.place(now, &others) ? 1U : 0U;
        }
        CPPUNIT_ASSERT(sent <= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedUpstreamTest);

} // namespace reachlead
