// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <vector>

#include <reachlead/upstreamlimits.h>

namespace reachlead {

/// What is remembered of limits that upstreams named.
class UpstreamLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamLimitsTest);
    CPPUNIT_TEST(lastAnswerDecides);
    CPPUNIT_TEST(limitEndsWithTheLife);
    CPPUNIT_TEST(limitThatNobodyHearsIsForgotten);
    CPPUNIT_TEST(endIsNotUndoneByALateWord);
    CPPUNIT_TEST(endIsHeardWhereClocksDiffer);
    CPPUNIT_TEST(wordsReachAThousandGateways);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr CallRate two{2000};
    static constexpr CallRate three{3000};

    /// As heard() at a gateway whose time of day is right.
    static bool heard(UpstreamLimits *limits, const UpstreamId &id, std::optional<CallRate> limit,
                      Time now)
    {
        return limits->recordAnswer(id, limit, now, stampOf(now));
    }
    static UnixMillis stampOf(Time at)
    {
        return static_cast<UnixMillis>(toMillis(at.time_since_epoch()));
    }

    void lastAnswerDecides()
    {
        UpstreamLimits limits;
        const UpstreamId id("u");
        CPPUNIT_ASSERT(!heard(&limits, id, std::nullopt, start));
        CPPUNIT_ASSERT(heard(&limits, id, two, start));
        CPPUNIT_ASSERT(!heard(&limits, id, two, start + seconds(1)));
        CPPUNIT_ASSERT(heard(&limits, id, three, start + seconds(2)));
        CPPUNIT_ASSERT(limits.currentLimit(id, start + seconds(2)) == three);
        CPPUNIT_ASSERT(heard(&limits, id, std::nullopt, start + seconds(3)));
        CPPUNIT_ASSERT(!limits.currentLimit(id, start + seconds(3)));
    }

    void limitEndsWithTheLife()
    {
        UpstreamLimits limits;
        heard(&limits, UpstreamId("u", 1), two, start);
        CPPUNIT_ASSERT(!limits.currentLimit(UpstreamId("u", 2), start));
    }

    void limitThatNobodyHearsIsForgotten()
    {
        UpstreamLimits limits;
        const UpstreamId id("u");
        heard(&limits, id, two, start);
        heard(&limits, id, two, start + seconds(1));
        const Time last = start + seconds(1) + UpstreamLimits::forgetAfter;
        CPPUNIT_ASSERT(limits.currentLimit(id, last - milliseconds(1)));
        CPPUNIT_ASSERT(!limits.currentLimit(id, last));
        limits.dropExpired(last);
        CPPUNIT_ASSERT(heard(&limits, id, two, last));
    }

    void endIsNotUndoneByALateWord()
    {
        UpstreamLimits limits;
        const UpstreamId id("u");
        heard(&limits, id, two, start);
        const LimitUpdate late = limits.recent(start).at(0);
        heard(&limits, id, std::nullopt, start + seconds(5));
        const LimitUpdate end = limits.recent(start + seconds(5)).at(0);
        UpstreamLimits another; // hears of the end first
        another.applyUpdate(end, start + seconds(5));
        for (Duration after = seconds(6); after < UpstreamLimits::tellSpan; after += seconds(1)) {
            CPPUNIT_ASSERT(!limits.applyUpdate(late, start + after));
            CPPUNIT_ASSERT(!another.applyUpdate(late, start + after));
        }
    }

    /// The gateway that hears the end is two seconds behind the one that heard the limit.
    void endIsHeardWhereClocksDiffer()
    {
        const UpstreamId id("u");
        UpstreamLimits ahead;
        heard(&ahead, id, two, start + seconds(2));
        UpstreamLimits behind;
        heard(&behind, id, two, start - seconds(1));
        for (int n = 0; n < 5; ++n) {
            const Time now = start + n * seconds(1);
            heard(&behind, id, std::nullopt, now);
            ahead.applyUpdate(behind.recent(now).at(0), now + seconds(2));
        }
        CPPUNIT_ASSERT(!ahead.currentLimit(id, start + seconds(7)));
    }

    /// Each gateway tells five others twice a second, and each word is up to 0.4 s under way. One
    /// in a hundred gets answers of the upstream, now and then; times of day differ by up to 0.2 s.
    void wordsReachAThousandGateways()
    {
        constexpr std::size_t gateways = 1000;
        constexpr std::size_t targets = 5;
        const UpstreamId id("u");
        std::mt19937_64 random(7);
        std::vector<UpstreamLimits> fleet(gateways);
        Time now = start;
        const auto run = [&](std::optional<CallRate> limit, Duration span) {
            for (const Time end = now + span; now < end; now += milliseconds(500)) {
                const std::size_t hearer = random() % (gateways / 100);
                const auto skew = static_cast<UnixMillis>(20 * hearer);
                fleet[hearer].recordAnswer(id, limit, now, stampOf(now) + skew);
                for (const UpstreamLimits &teller : fleet) {
                    for (const LimitUpdate &note : teller.recent(now)) {
                        for (std::size_t n = 0; n < targets; ++n) {
                            const Time arrival = now + milliseconds(random() % 400);
                            fleet[random() % gateways].applyUpdate(note, arrival);
                        }
                    }
                }
            }
            return std::ranges::count_if(
                fleet, [&](const UpstreamLimits &it) { return it.currentLimit(id, now) == limit; });
        };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{gateways}, run(two, seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{gateways}, run(three, seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{gateways}, run(std::nullopt, seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{gateways}, run(std::nullopt, seconds(70)));
        for (UpstreamLimits &it : fleet) {
            it.dropExpired(now);
            CPPUNIT_ASSERT(it.isEmpty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLimitsTest);

} // namespace reachlead
