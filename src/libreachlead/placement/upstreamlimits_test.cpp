// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <vector>

#include <reachlead/placement/upstreamlimits.h>

namespace reachlead {

/// Recording and forwarding of limits that upstreams announce.
class UpstreamLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamLimitsTest);
    CPPUNIT_TEST(latestAnswerWins);
    CPPUNIT_TEST(limitEndsWithTheIncarnation);
    CPPUNIT_TEST(limitWithoutRenewalExpires);
    CPPUNIT_TEST(endIsNotUndoneByALateUpdate);
    CPPUNIT_TEST(endIsReceivedDespiteClockSkew);
    CPPUNIT_TEST(updatesReachAThousandGateways);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr CallRate two{2000};
    static constexpr CallRate three{3000};

    /// recordAnswer() on a gateway with an accurate clock.
    static bool record(UpstreamLimits *limits, const UpstreamId &id, std::optional<CallRate> limit,
                       Time now)
    {
        return limits->recordAnswer(id, limit, now, timestamp(now));
    }
    static UnixMillis timestamp(Time at)
    {
        return static_cast<UnixMillis>(toMillis(at.time_since_epoch()));
    }

    void latestAnswerWins()
    {
        UpstreamLimits limits;
        const UpstreamId id("u");
        CPPUNIT_ASSERT(!record(&limits, id, std::nullopt, start));
        CPPUNIT_ASSERT(record(&limits, id, two, start));
        CPPUNIT_ASSERT(!record(&limits, id, two, start + seconds(1)));
        CPPUNIT_ASSERT(record(&limits, id, three, start + seconds(2)));
        CPPUNIT_ASSERT(limits.currentLimit(id, start + seconds(2)) == three);
        CPPUNIT_ASSERT(record(&limits, id, std::nullopt, start + seconds(3)));
        CPPUNIT_ASSERT(!limits.currentLimit(id, start + seconds(3)));
    }

    void limitEndsWithTheIncarnation()
    {
        UpstreamLimits limits;
        record(&limits, UpstreamId("u", 1), two, start);
        CPPUNIT_ASSERT(!limits.currentLimit(UpstreamId("u", 2), start));
    }

    void limitWithoutRenewalExpires()
    {
        UpstreamLimits limits;
        const UpstreamId id("u");
        record(&limits, id, two, start);
        record(&limits, id, two, start + seconds(1));
        const Time last = start + seconds(1) + UpstreamLimits::forgetAfter;
        CPPUNIT_ASSERT(limits.currentLimit(id, last - milliseconds(1)));
        CPPUNIT_ASSERT(!limits.currentLimit(id, last));
        limits.dropExpired(last);
        CPPUNIT_ASSERT(record(&limits, id, two, last));
    }

    void endIsNotUndoneByALateUpdate()
    {
        UpstreamLimits limits;
        const UpstreamId id("u");
        record(&limits, id, two, start);
        const LimitUpdate late = limits.recent(start).at(0);
        record(&limits, id, std::nullopt, start + seconds(5));
        const LimitUpdate end = limits.recent(start + seconds(5)).at(0);
        UpstreamLimits other; // receives the end first
        other.applyUpdate(end, start + seconds(5));
        for (Duration after = seconds(6); after < UpstreamLimits::reportWindow;
             after += seconds(1)) {
            CPPUNIT_ASSERT(!limits.applyUpdate(late, start + after));
            CPPUNIT_ASSERT(!other.applyUpdate(late, start + after));
        }
    }

    /// The gateway that receives the end is two seconds behind the one that received the limit.
    void endIsReceivedDespiteClockSkew()
    {
        const UpstreamId id("u");
        UpstreamLimits ahead;
        record(&ahead, id, two, start + seconds(2));
        UpstreamLimits behind;
        record(&behind, id, two, start - seconds(1));
        for (int n = 0; n < 5; ++n) {
            const Time now = start + n * seconds(1);
            record(&behind, id, std::nullopt, now);
            ahead.applyUpdate(behind.recent(now).at(0), now + seconds(2));
        }
        CPPUNIT_ASSERT(!ahead.currentLimit(id, start + seconds(7)));
    }

    /// Each gateway sends to five others twice a second, and each message takes up to 0.4 s. One
    /// gateway in a hundred gets answers of the upstream occasionally; clocks differ by up to 0.2
    /// s.
    void updatesReachAThousandGateways()
    {
        constexpr std::size_t gateways = 1000;
        constexpr std::size_t targets = 5;
        const UpstreamId id("u");
        std::mt19937_64 random(7);
        std::vector<UpstreamLimits> fleet(gateways);
        Time now = start;
        const auto run = [&](std::optional<CallRate> limit, Duration duration) {
            for (const Time end = now + duration; now < end; now += milliseconds(500)) {
                const std::size_t receiver = random() % (gateways / 100);
                const auto skew = static_cast<UnixMillis>(20 * receiver);
                fleet[receiver].recordAnswer(id, limit, now, timestamp(now) + skew);
                for (const UpstreamLimits &sender : fleet) {
                    for (const LimitUpdate &update : sender.recent(now)) {
                        for (std::size_t n = 0; n < targets; ++n) {
                            const Time arrival = now + milliseconds(random() % 400);
                            fleet[random() % gateways].applyUpdate(update, arrival);
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
