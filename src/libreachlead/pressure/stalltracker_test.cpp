// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/pressure/stalltracker.h>

namespace reachlead {

class StallTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StallTrackerTest);
    CPPUNIT_TEST(shortWaitsExplainNothing);
    CPPUNIT_TEST(lossDuringAStallIsTheCallers);
    CPPUNIT_TEST(lossShortlyAfterAStallIsTheCallers);
    CPPUNIT_TEST(laterLossIsNot);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(10)};

    /// A tracker after one write that took \p waited.
    static StallTracker afterWrite(Duration waited)
    {
        StallTracker tracker(seconds(1));
        tracker.writeBegan(start);
        tracker.writeEnded(start + waited);
        return tracker;
    }

    void shortWaitsExplainNothing()
    {
        StallTracker tracker = afterWrite(milliseconds(900));
        CPPUNIT_ASSERT(!tracker.explainsLoss(start + milliseconds(900)));
        tracker.writeBegan(start + seconds(1));
        CPPUNIT_ASSERT(!tracker.hasStalled(start + milliseconds(1900)));
        CPPUNIT_ASSERT(tracker.isWriting());
    }

    void lossDuringAStallIsTheCallers()
    {
        StallTracker tracker(seconds(1));
        tracker.writeBegan(start);
        CPPUNIT_ASSERT(tracker.explainsLoss(start + seconds(1)));
        CPPUNIT_ASSERT(tracker.hasStalled(start + seconds(1)));
    }

    void lossShortlyAfterAStallIsTheCallers()
    {
        StallTracker tracker = afterWrite(seconds(4));
        tracker.writeBegan(start + seconds(4));
        tracker.writeEnded(start + seconds(4) + milliseconds(10));
        CPPUNIT_ASSERT(tracker.explainsLoss(start + seconds(5)));
    }

    void laterLossIsNot()
    {
        const StallTracker tracker = afterWrite(seconds(4));
        CPPUNIT_ASSERT(!tracker.explainsLoss(start + seconds(7)));
        CPPUNIT_ASSERT(tracker.hasStalled(start + seconds(7)));
        CPPUNIT_ASSERT(tracker.longestWait(start + seconds(7)) == seconds(4));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StallTrackerTest);

} // namespace reachlead
