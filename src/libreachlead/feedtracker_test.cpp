// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/feedtracker.h>

namespace reachlead {

/// What a gateway may claim about each kind of state that it follows.
class FeedTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedTrackerTest);
    CPPUNIT_TEST(onlyAnswersVerify);
    CPPUNIT_TEST(oneRequiredKindThatIsNotVerifiedCounts);
    CPPUNIT_TEST(storeRevisionVerifiesWhatIsCompleteUpToIt);
    CPPUNIT_TEST(restoredStoreVerifiesNothingReadBefore);
    CPPUNIT_TEST(answerOlderThanTheKnownStateVerifiesNothing);
    CPPUNIT_TEST(overdueKindIsReportedOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};

    static FeedTracker tracker()
    {
        FeedTracker tracker;
        tracker.follow(FeedKind::Config, true);
        tracker.follow(FeedKind::Upstreams, true);
        tracker.follow(FeedKind::Quarantines, false);
        tracker.start(start);
        return tracker;
    }

    void onlyAnswersVerify()
    {
        FeedTracker feeds = tracker();
        feeds.listed(FeedKind::Config, 5);
        feeds.listed(FeedKind::Upstreams, 5);
        CPPUNIT_ASSERT(!feeds.verifiedAt());
        feeds.received(FeedKind::Config, 5, start + seconds(1));
        CPPUNIT_ASSERT(!feeds.verifiedAt());
        feeds.received(FeedKind::Upstreams, 6, start + seconds(2));
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start + seconds(1));
        CPPUNIT_ASSERT(feeds.mayMissChanges(FeedKind::Config));
        CPPUNIT_ASSERT(!feeds.mayMissChanges(FeedKind::Upstreams));
    }

    /// Guards against a claim that rests on one kind: the watch of the registry returned while an
    /// answer about the configuration was lost.
    void oneRequiredKindThatIsNotVerifiedCounts()
    {
        FeedTracker feeds = tracker();
        feeds.received(FeedKind::Config, 5, start);
        for (int n = 1; n < 10; ++n)
            feeds.received(FeedKind::Upstreams, 5 + n, start + seconds(n));
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start);
        feeds.received(FeedKind::Config, 14, start + seconds(3));
        feeds.received(FeedKind::Config, 14, start + seconds(2)); // an answer that was overtaken
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start + seconds(3));
    }

    void storeRevisionVerifiesWhatIsCompleteUpToIt()
    {
        FeedTracker feeds = tracker();
        feeds.received(FeedKind::Config, 5, start);
        feeds.received(FeedKind::Upstreams, 7, start);
        feeds.storeRevisionRead(7, start + seconds(1));
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start);
        CPPUNIT_ASSERT(feeds.mayMissChanges(FeedKind::Config));
        feeds.received(FeedKind::Config, 7, start + seconds(1));
        feeds.storeRevisionRead(7, start + seconds(2));
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start + seconds(2));
    }

    void restoredStoreVerifiesNothingReadBefore()
    {
        FeedTracker feeds = tracker();
        feeds.received(FeedKind::Config, 9, start);
        feeds.received(FeedKind::Upstreams, 9, start);
        feeds.storeRevisionRead({1, 4}, start + seconds(1));
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start);
        CPPUNIT_ASSERT(feeds.mayMissChanges(FeedKind::Config));
    }

    /// Guards against a state that counts as current while all answers of the store are ignored, as
    /// its revisions have gone back within its era.
    void answerOlderThanTheKnownStateVerifiesNothing()
    {
        FeedTracker feeds = tracker();
        const auto receiveBoth = [&](StoreRevision revision, Time askedAt) {
            feeds.received(FeedKind::Config, revision, askedAt);
            feeds.received(FeedKind::Upstreams, revision, askedAt);
        };
        receiveBoth(9, start);
        receiveBoth(7, start + seconds(1));
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start);
        feeds.storeRevisionRead(7, start + seconds(2), feeds.newest());
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start);
        feeds.listed(FeedKind::Config, 7); // again, as the store has no such history
        feeds.listed(FeedKind::Upstreams, 7);
        receiveBoth(8, start + seconds(3));
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start);
        receiveBoth(9, start + seconds(4));
        CPPUNIT_ASSERT(*feeds.verifiedAt() == start + seconds(4));
    }

    void overdueKindIsReportedOnce()
    {
        FeedTracker feeds = tracker();
        const auto overdueAt = [&](Duration d) {
            return feeds.takeOverdue(start + d, seconds(2)).size();
        };
        feeds.received(FeedKind::Config, 5, start);
        feeds.received(FeedKind::Upstreams, 5, start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, overdueAt(seconds(2)));
        feeds.storeRevisionRead(8, start + seconds(2));
        const auto overdue = feeds.takeOverdue(start + milliseconds(2500), seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, overdue.size()); // the third was never verified
        CPPUNIT_ASSERT(overdue.front().kind == FeedKind::Config);
        CPPUNIT_ASSERT(overdue.front().revision == StoreRevision(5));
        CPPUNIT_ASSERT(overdue.front().newest == StoreRevision(8));
        CPPUNIT_ASSERT(overdue.front().age == milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, overdueAt(seconds(4))); // upstreams
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, overdueAt(seconds(5)));
        feeds.received(FeedKind::Config, 8, start + seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, overdueAt(seconds(8)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedTrackerTest);

} // namespace reachlead
