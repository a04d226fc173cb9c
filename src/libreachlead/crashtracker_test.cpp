// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ranges>

#include <rapidcheck.h>

#include <reachlead/crashtracker.h>

namespace reachlead {

/// Which requests are kept from upstreams, and for how long.
class CrashTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashTrackerTest);
    CPPUNIT_TEST(contentNamesARequest);
    CPPUNIT_TEST(digestComesBackFromItsText);
    CPPUNIT_TEST(thirdUpstreamBeginsTheQuarantine);
    CPPUNIT_TEST(oneUpstreamCountsOnce);
    CPPUNIT_TEST(requestThatCompletesIsCleared);
    CPPUNIT_TEST(oneMoreEndRenewsAQuarantine);
    CPPUNIT_TEST(endsFarApartDoNotAddUp);
    CPPUNIT_TEST(whatOthersSayIsBounded);
    CPPUNIT_TEST(manySuspectsTakeNoMoreRoom);
    CPPUNIT_TEST(marksAgreeWhereQuarantinesDo);
    CPPUNIT_TEST(anyOrderOfWordsLeadsToTheSame);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};

    static RequestDigest request(std::string_view body, const std::string &account = "a")
    {
        return computeDigest({AccountName(account), "h", "/p", body});
    }

    /// A book with so many upstreams ended under a request.
    static CrashTracker bookWith(std::string_view body, std::size_t ends)
    {
        CrashTracker book;
        for (std::size_t n = 0; n < ends; ++n)
            book.recordCrash(request(body), static_cast<UpstreamHash>(n), start);
        return book;
    }

    void contentNamesARequest()
    {
        CPPUNIT_ASSERT(request("x") == request("x"));
        CPPUNIT_ASSERT(request("x") != request("y"));
        CPPUNIT_ASSERT(request("x", "a") != request("x", "b"));
        const RequestDigest joined = computeDigest({AccountName("ah"), "", "/p", "x"});
        CPPUNIT_ASSERT(joined != request("x"));
    }

    void digestComesBackFromItsText()
    {
        const RequestDigest digest = request("x");
        CPPUNIT_ASSERT(parseRequestDigest(toString(digest)) == digest);
        for (const std::string_view text : {"", "12", "zz", "0123456789abcdef0123456789abcdeg"})
            CPPUNIT_ASSERT(!parseRequestDigest(text));
    }

    void thirdUpstreamBeginsTheQuarantine()
    {
        CrashTracker book = bookWith("bad", 2);
        CPPUNIT_ASSERT(!book.remainingQuarantine(request("bad"), start));
        CPPUNIT_ASSERT(book.recordCrash(request("bad"), 2, start));
        CPPUNIT_ASSERT(book.remainingQuarantine(request("bad"), start)
                       == CrashTracker::quarantineDuration);
        CPPUNIT_ASSERT(!book.recordCrash(request("bad"), 3, start)); // known already
        CPPUNIT_ASSERT(!book.remainingQuarantine(request("good"), start));
        CPPUNIT_ASSERT(
            !book.remainingQuarantine(request("bad"), start + CrashTracker::quarantineDuration));
    }

    void oneUpstreamCountsOnce()
    {
        CrashTracker book;
        for (int n = 0; n < 10; ++n)
            CPPUNIT_ASSERT(!book.recordCrash(request("bad"), 7, start));
    }

    /// It ran beside another one, and its upstream was lost for that one's sake.
    void requestThatCompletesIsCleared()
    {
        CrashTracker book = bookWith("beside", 2);
        book.recordCompletion(request("beside"));
        CPPUNIT_ASSERT(!book.isSuspect(request("beside")));
        CPPUNIT_ASSERT(!book.recordCrash(request("beside"), 2, start));
    }

    void oneMoreEndRenewsAQuarantine()
    {
        CrashTracker book = bookWith("bad", 3);
        const Time after = start + CrashTracker::quarantineDuration + seconds(1);
        CPPUNIT_ASSERT(book.isQuarantineEmpty(after));
        CPPUNIT_ASSERT(book.recordCrash(request("bad"), 9, after));
        CPPUNIT_ASSERT(book.remainingQuarantine(request("bad"), after).has_value());
    }

    /// Upstreams end now and then, and a popular request is always in flight somewhere.
    void endsFarApartDoNotAddUp()
    {
        CrashTracker book;
        Time now = start;
        for (UpstreamHash upstream = 0; upstream < 10; ++upstream) {
            CPPUNIT_ASSERT(!book.recordCrash(request("popular"), upstream, now));
            now += CrashTracker::suspectRetention + seconds(1);
        }
        book.dropExpired(now);
        CPPUNIT_ASSERT(book.isEmpty());
    }

    void whatOthersSayIsBounded()
    {
        CrashTracker book;
        CPPUNIT_ASSERT(!book.mergeQuarantine(request("bad"), Duration{}, start));
        CPPUNIT_ASSERT(book.mergeQuarantine(request("bad"), std::chrono::hours(100), start));
        CPPUNIT_ASSERT(!book.mergeQuarantine(request("bad"), seconds(5), start));
        CPPUNIT_ASSERT(book.remainingQuarantine(request("bad"), start)
                       == CrashTracker::quarantineDuration);
        for (std::size_t n = 0; n < 2 * CrashTracker::maxQuarantined; ++n)
            book.mergeQuarantine(request(std::to_string(n)), seconds(1 + n), start);
        CPPUNIT_ASSERT_EQUAL(CrashTracker::maxQuarantined, book.quarantined(start).size());
        CPPUNIT_ASSERT(book.remainingQuarantine(request("bad"), start).has_value());
    }

    /// Engines that end in numbers take many calls with them, none of which did anything.
    void manySuspectsTakeNoMoreRoom()
    {
        CrashTracker book = bookWith("old", 2);
        for (std::size_t n = 0; n < 2 * CrashTracker::maxSuspects; ++n)
            book.recordCrash(request(std::to_string(n)), 1, start + milliseconds(n + 1));
        CPPUNIT_ASSERT_EQUAL(CrashTracker::maxSuspects, book.suspects());
        CPPUNIT_ASSERT(!book.isSuspect(request("old")));
    }

    void marksAgreeWhereQuarantinesDo()
    {
        CrashTracker one = bookWith("bad", 3);
        CrashTracker other;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, other.checksum(start));
        CPPUNIT_ASSERT(one.checksum(start) != other.checksum(start));
        for (const QuarantinedRequest &it : one.quarantined(start))
            other.mergeQuarantine(it.request, milliseconds(it.leftMs), start);
        CPPUNIT_ASSERT_EQUAL(one.checksum(start), other.checksum(start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             one.checksum(start + CrashTracker::quarantineDuration));
    }

    /// Datagrams overtake each other: what is in quarantine depends on what was told alone.
    void anyOrderOfWordsLeadsToTheSame()
    {
        const bool good = rc::check("order of ends", [] {
            auto ends = *rc::gen::container<std::vector<std::pair<int, unsigned>>>(
                rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0U, 5U)));
            const auto computeFastHash = [](const std::vector<std::pair<int, unsigned>> &all) {
                CrashTracker book;
                for (const auto &[content, upstream] : all)
                    book.recordCrash(request(std::to_string(content)), upstream, start);
                return book.checksum(start);
            };
            const std::uint64_t mark = computeFastHash(ends);
            std::ranges::reverse(ends);
            RC_ASSERT(computeFastHash(ends) == mark);
            for (int content = 0; content < 4; ++content) {
                std::set<unsigned> distinct;
                for (const auto &[it, upstream] : ends) {
                    if (it == content)
                        distinct.insert(upstream);
                }
                CrashTracker book;
                for (const auto &[it, upstream] : ends)
                    book.recordCrash(request(std::to_string(it)), upstream, start);
                RC_ASSERT(
                    book.remainingQuarantine(request(std::to_string(content)), start).has_value()
                    == (distinct.size() >= CrashTracker::crashLimit));
            }
        });
        CPPUNIT_ASSERT(good);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTrackerTest);

} // namespace reachlead
