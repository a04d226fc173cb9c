// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

#include <fmt/format.h>

#include <reachlead/upstreamtable.h>

namespace reachlead {

/// An upstream that named a limit, beside others that have more work.
class LimitedUpstreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitedUpstreamTest);
    CPPUNIT_TEST(ownerUsesMostOfTheLimit);
    CPPUNIT_TEST(fleetOfAnySizeKeepsTheLimit);
    CPPUNIT_TEST(fleetWithoutAnOwnerKeepsTheLimit);
    CPPUNIT_TEST(unusedPartsAreNotSavedUp);
    CPPUNIT_TEST(limitOfNothingIsAskedNowAndThen);
    CPPUNIT_TEST(otherGroupsUpstreamHasOnlyTheSmallPart);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr Duration window = seconds(4);
    static constexpr Duration tick = milliseconds(50);
    static constexpr CallRate limit{2200};

    /// What an upstream bears in the window.
    static double most(CallRate rate) { return 1.5 * rate.perSecond() * toSeconds(window) + 5; }

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

    /// One gateway, to which the limited upstream is always the least loaded.
    struct Gateway
    {
        Gateway(std::size_t fleet, std::uint64_t number, bool owns) : ownsLimits(owns)
        {
            book.setFleet(fleet, number * 0x9E3779B97F4A7C15ULL);
            directory.replaceAll(entries(), 1, start);
            const LoadByUpstream load{{UpstreamId("other1"), {60, 0, 0}},
                                      {UpstreamId("other2"), {60, 0, 0}}};
            book.setPeerLoad(VmName("peer"), {load, 0}, start, std::chrono::hours(10));
        }

        /// Places a call; true when it went to the limited upstream.
        bool place(Time now, const std::set<UpstreamId> *group, CallRate rate = limit)
        {
            book.limits().recordAnswer(UpstreamId("limited"), rate, now, 0);
            SelectionQuery ask{ServiceName("llm"), "m", {}, nullptr, nullptr};
            ask.group = group;
            ask.isGroupScheduler = ownsLimits;
            ask.ownsLimits = ownsLimits;
            const auto choice = book.select(ask, directory, now);
            CPPUNIT_ASSERT(choice.has_value());
            book.sent(choice->upstream, ask, *choice, now);
            book.ended(choice->upstream, 0, false);
            return choice->upstream.text == "limited";
        }

        bool ownsLimits;
        UpstreamTable book{ZoneName("z"), UpstreamTable::Costs()};
        UpstreamDirectory directory;
    };

    static const std::set<UpstreamId> *group()
    {
        static const std::set<UpstreamId> all{UpstreamId("limited"), UpstreamId("other1"),
                                              UpstreamId("other2")};
        return &all;
    }

    /// When the limited upstream got calls, where each gateway has one at each tick.
    static std::vector<Time> arrivals(std::size_t gateways, bool hasOwner,
                                      const std::set<UpstreamId> *of, Duration span,
                                      CallRate rate = limit)
    {
        std::vector<std::unique_ptr<Gateway>> fleet;
        fleet.reserve(gateways);
        for (std::size_t n = 0; n < gateways; ++n)
            fleet.push_back(std::make_unique<Gateway>(gateways, n, hasOwner && n == 0));
        std::vector<Time> at;
        for (Time now = start; now < start + span; now += tick) {
            for (const auto &it : fleet) {
                if (it->place(now, of, rate))
                    at.push_back(now);
            }
        }
        return at;
    }

    static double mostInAWindow(const std::vector<Time> &at)
    {
        std::ptrdiff_t found = 0;
        for (auto it = at.begin(); it != at.end(); ++it)
            found = std::max(found, std::lower_bound(it, at.end(), *it + window) - it);
        return static_cast<double>(found);
    }

    void ownerUsesMostOfTheLimit()
    {
        const auto at = arrivals(1, true, group(), seconds(20));
        CPPUNIT_ASSERT(static_cast<double>(at.size()) >= 0.7 * 20 * limit.perSecond());
        CPPUNIT_ASSERT(mostInAWindow(at) <= most(limit));
    }

    void fleetOfAnySizeKeepsTheLimit()
    {
        for (const std::size_t gateways : {3U, 30U, 300U, 1000U}) {
            for (const CallRate rate : {CallRate{500}, limit, CallRate{20'000}}) {
                const auto at = arrivals(gateways, true, group(), seconds(9), rate);
                const std::string what = fmt::format("{} gateways, {} calls a second: {}", gateways,
                                                     rate.perSecond(), mostInAWindow(at));
                CPPUNIT_ASSERT_MESSAGE(what, mostInAWindow(at) <= most(rate));
                CPPUNIT_ASSERT_MESSAGE(
                    what, static_cast<double>(at.size()) >= 0.6 * 9 * rate.perSecond());
            }
        }
    }

    void fleetWithoutAnOwnerKeepsTheLimit()
    {
        for (const auto *of : {group(), static_cast<const std::set<UpstreamId> *>(nullptr)}) {
            for (const std::size_t gateways : {3U, 300U, 1000U}) {
                const auto at = arrivals(gateways, false, of, seconds(9));
                const std::string what = fmt::format("{}: {}", gateways, mostInAWindow(at));
                CPPUNIT_ASSERT_MESSAGE(what, mostInAWindow(at) <= most(limit));
            }
        }
    }

    /// The gateway that owned the limit has ended after a minute, and each of the others has calls
    /// that it never sent there before.
    void unusedPartsAreNotSavedUp()
    {
        std::vector<std::unique_ptr<Gateway>> fleet;
        fleet.reserve(999);
        for (std::size_t n = 1; n < 1000; ++n)
            fleet.push_back(std::make_unique<Gateway>(1000, n, false));
        std::vector<Time> at;
        const Time later = start + std::chrono::hours(2);
        for (Time now = later; now < later + window; now += tick) {
            for (const auto &it : fleet) {
                if (it->place(now, group()))
                    at.push_back(now);
            }
        }
        CPPUNIT_ASSERT(mostInAWindow(at) <= most(limit));
    }

    void limitOfNothingIsAskedNowAndThen()
    {
        const auto at = arrivals(1, true, group(), seconds(60), CallRate{0});
        CPPUNIT_ASSERT(at.size() >= 3 && at.size() <= 6);
    }

    void otherGroupsUpstreamHasOnlyTheSmallPart()
    {
        static const std::set<UpstreamId> others{UpstreamId("other1"), UpstreamId("other2")};
        std::size_t sent = 0;
        Gateway owner(300, 1, true);
        for (Time now = start; now < start + seconds(20); now += tick) {
            LoadByUpstream busy{{UpstreamId("other1"), {600, 0, 0}},
                                {UpstreamId("other2"), {600, 0, 0}}};
            owner.book.setPeerLoad(VmName("peer"), {busy, 0}, now);
            sent += owner.place(now, &others) ? 1U : 0U;
        }
        CPPUNIT_ASSERT(sent <= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedUpstreamTest);

} // namespace reachlead
