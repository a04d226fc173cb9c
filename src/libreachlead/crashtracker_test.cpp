// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ranges>

#include <rapidcheck.h>

#include <reachlead/crashtracker.h>

namespace reachlead {

/// Tests which requests are quarantined, and for how long.
class CrashTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashTrackerTest);
    CPPUNIT_TEST(digestIdentifiesContent);
    CPPUNIT_TEST(digestRoundTripsThroughText);
    CPPUNIT_TEST(thirdCrashStartsQuarantine);
    CPPUNIT_TEST(oneUpstreamCountsOnce);
    CPPUNIT_TEST(requestThatCompletesIsCleared);
    CPPUNIT_TEST(oneMoreCrashRenewsQuarantine);
    CPPUNIT_TEST(crashesFarApartDoNotAddUp);
    CPPUNIT_TEST(mergedQuarantinesAreBounded);
    CPPUNIT_TEST(suspectsAreBounded);
    CPPUNIT_TEST(equalQuarantinesHaveEqualChecksums);
    CPPUNIT_TEST(orderOfReportsDoesNotMatter);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};

    static ContentDigest request(std::string_view body, const std::string &account = "a")
    {
        return computeDigest({AccountName(account), "h", "/p", body});
    }

    static Quarantine quarantine(std::string_view body, Duration remaining)
    {
        return {{request(body)}, static_cast<std::uint32_t>(toMillis(remaining))};
    }

    /// A tracker with the given number of upstreams crashed under a request.
    static CrashTracker trackerWith(std::string_view body, std::size_t crashes)
    {
        CrashTracker tracker;
        for (std::size_t n = 0; n < crashes; ++n)
            tracker.recordCrash(request(body), static_cast<UpstreamHash>(n), start);
        return tracker;
    }

    void digestIdentifiesContent()
    {
        CPPUNIT_ASSERT(request("x") == request("x"));
        CPPUNIT_ASSERT(request("x") != request("y"));
        CPPUNIT_ASSERT(request("x", "a") != request("x", "b"));
        const ContentDigest joined = computeDigest({AccountName("ah"), "", "/p", "x"});
        CPPUNIT_ASSERT(joined != request("x"));
    }

    void digestRoundTripsThroughText()
    {
        const ContentDigest digest = request("x");
        CPPUNIT_ASSERT(parseContentDigest(toString(digest)) == digest);
        for (const std::string_view text : {"", "12", "zz", "0123456789abcdef0123456789abcdeg"})
            CPPUNIT_ASSERT(!parseContentDigest(text));
    }

    void thirdCrashStartsQuarantine()
    {
        CrashTracker tracker = trackerWith("bad", 2);
        CPPUNIT_ASSERT(!tracker.remainingQuarantine(request("bad"), start));
        CPPUNIT_ASSERT(tracker.recordCrash(request("bad"), 2, start));
        CPPUNIT_ASSERT(tracker.remainingQuarantine(request("bad"), start)
                       == CrashTracker::quarantineDuration);
        CPPUNIT_ASSERT(!tracker.recordCrash(request("bad"), 3, start)); // quarantined already
        CPPUNIT_ASSERT(!tracker.remainingQuarantine(request("good"), start));
        CPPUNIT_ASSERT(
            !tracker.remainingQuarantine(request("bad"), start + CrashTracker::quarantineDuration));
    }

    void oneUpstreamCountsOnce()
    {
        CrashTracker tracker;
        for (int n = 0; n < 10; ++n)
            CPPUNIT_ASSERT(!tracker.recordCrash(request("bad"), 7, start));
    }

    /// A request that ran beside the one that crashed its upstreams must not be quarantined once it
    /// has completed elsewhere.
    void requestThatCompletesIsCleared()
    {
        CrashTracker tracker = trackerWith("beside", 2);
        tracker.recordCompletion(request("beside"));
        CPPUNIT_ASSERT(!tracker.isSuspect(request("beside")));
        CPPUNIT_ASSERT(!tracker.recordCrash(request("beside"), 2, start));
    }

    void oneMoreCrashRenewsQuarantine()
    {
        CrashTracker tracker = trackerWith("bad", 3);
        const Time after = start + CrashTracker::quarantineDuration + seconds(1);
        CPPUNIT_ASSERT(tracker.isQuarantineEmpty(after));
        CPPUNIT_ASSERT(tracker.recordCrash(request("bad"), 9, after));
        CPPUNIT_ASSERT(tracker.remainingQuarantine(request("bad"), after).has_value());
    }

    /// A popular request is always in flight somewhere, so occasional crashes of unrelated
    /// upstreams must not quarantine it.
    void crashesFarApartDoNotAddUp()
    {
        CrashTracker tracker;
        Time now = start;
        for (UpstreamHash upstream = 0; upstream < 10; ++upstream) {
            CPPUNIT_ASSERT(!tracker.recordCrash(request("popular"), upstream, now));
            now += CrashTracker::suspectRetention + seconds(1);
        }
        tracker.dropExpired(now);
        CPPUNIT_ASSERT(tracker.isEmpty());
    }

    void mergedQuarantinesAreBounded()
    {
        CrashTracker tracker;
        CPPUNIT_ASSERT(!tracker.merge(quarantine("bad", Duration{}), start));
        CPPUNIT_ASSERT(tracker.merge(quarantine("bad", std::chrono::hours(100)), start));
        CPPUNIT_ASSERT(!tracker.merge(quarantine("bad", seconds(5)), start));
        CPPUNIT_ASSERT(tracker.remainingQuarantine(request("bad"), start)
                       == CrashTracker::quarantineDuration);
        for (std::size_t n = 0; n < 2 * CrashTracker::maxQuarantined; ++n)
            tracker.merge(quarantine(std::to_string(n), seconds(1 + n)), start);
        CPPUNIT_ASSERT_EQUAL(CrashTracker::maxQuarantined, tracker.quarantines(start).size());
        CPPUNIT_ASSERT(tracker.remainingQuarantine(request("bad"), start).has_value());
    }

    /// Many engines that crash at once leave many suspects that caused none of the crashes. They
    /// must not take more memory.
    void suspectsAreBounded()
    {
        CrashTracker tracker = trackerWith("old", 2);
        for (std::size_t n = 0; n < 2 * CrashTracker::maxSuspects; ++n)
            tracker.recordCrash(request(std::to_string(n)), 1, start + milliseconds(n + 1));
        CPPUNIT_ASSERT_EQUAL(CrashTracker::maxSuspects, tracker.suspects());
        CPPUNIT_ASSERT(!tracker.isSuspect(request("old")));
    }

    void equalQuarantinesHaveEqualChecksums()
    {
        CrashTracker one = trackerWith("bad", 3);
        CrashTracker other;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, other.checksum(start));
        CPPUNIT_ASSERT(one.checksum(start) != other.checksum(start));
        for (const Quarantine &it : one.quarantines(start))
            other.merge(it, start);
        CPPUNIT_ASSERT_EQUAL(one.checksum(start), other.checksum(start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             one.checksum(start + CrashTracker::quarantineDuration));
    }

    /// Datagrams may be reordered, so the quarantine must not depend on the order of the reports.
    void orderOfReportsDoesNotMatter()
    {
        const bool holds = rc::check("order of crashes", [] {
            auto crashes = *rc::gen::container<std::vector<std::pair<int, unsigned>>>(
                rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0U, 5U)));
            const auto checksumAfter = [](const std::vector<std::pair<int, unsigned>> &all) {
                CrashTracker tracker;
                for (const auto &[content, upstream] : all)
                    tracker.recordCrash(request(std::to_string(content)), upstream, start);
                return tracker.checksum(start);
            };
            const std::uint64_t checksum = checksumAfter(crashes);
            std::ranges::reverse(crashes);
            RC_ASSERT(checksumAfter(crashes) == checksum);
            for (int content = 0; content < 4; ++content) {
                std::set<unsigned> distinct;
                for (const auto &[it, upstream] : crashes) {
                    if (it == content)
                        distinct.insert(upstream);
                }
                CrashTracker tracker;
                for (const auto &[it, upstream] : crashes)
                    tracker.recordCrash(request(std::to_string(it)), upstream, start);
                RC_ASSERT(
                    tracker.remainingQuarantine(request(std::to_string(content)), start).has_value()
                    == (distinct.size() >= CrashTracker::crashLimit));
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTrackerTest);

} // namespace reachlead
