// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/earlyrefusal.h>
#include <reachlead/servicerate.h>

namespace reachlead {

/// When a call is refused before it begins, and by what prediction.
class EarlyRefusalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EarlyRefusalTest);
    CPPUNIT_TEST(callThatBeginsInTimeIsTaken);
    CPPUNIT_TEST(refusalNamesTheTrueWait);
    CPPUNIT_TEST(mostUrgentAreRefusedLast);
    CPPUNIT_TEST(impatientCallerIsToldSooner);
    CPPUNIT_TEST(withoutATargetNothingIsRefused);
    CPPUNIT_TEST(switchedOffItRefusesNothing);
    CPPUNIT_TEST(paceFollowsWhatWasSeen);
    CPPUNIT_TEST(fullPlacesAreWaitedFor);
    CPPUNIT_TEST(engineAtTwiceItsPowerServesAllItCan);
    CPPUNIT_TEST_SUITE_END();

    static constexpr LatencySlack usual{milliseconds(600), seconds(6), false};

    /// Bounds of a quarter of the target, and of a whole one for the most urgent.
    static EarlyRefusal quarter()
    {
        EarlyRefusal made;
        made.waitTargets = 0.25;
        made.urgentWaitTargets = 1.0;
        return made;
    }

    void callThatBeginsInTimeIsTaken()
    {
        CPPUNIT_ASSERT(!quarter().decide(usual, milliseconds(150)));
        CPPUNIT_ASSERT(!quarter().decide(usual, {}));
    }

    void refusalNamesTheTrueWait()
    {
        const auto comeBack = quarter().decide(usual, milliseconds(2600));
        CPPUNIT_ASSERT(comeBack.has_value());
        CPPUNIT_ASSERT(*comeBack == milliseconds(2450));
    }

    void mostUrgentAreRefusedLast()
    {
        const LatencySlack urgent{milliseconds(600), seconds(15), true};
        CPPUNIT_ASSERT(!quarter().decide(urgent, milliseconds(600)));
        CPPUNIT_ASSERT(quarter().decide(urgent, milliseconds(610)));
        CPPUNIT_ASSERT(quarter().decide(usual, milliseconds(600)));
    }

    void impatientCallerIsToldSooner()
    {
        EarlyRefusal lenient;
        lenient.waitTargets = 4.0;
        const LatencySlack patient{milliseconds(600), seconds(15), false};
        const LatencySlack impatient{milliseconds(600), seconds(3), false};
        CPPUNIT_ASSERT(!lenient.decide(patient, milliseconds(2400)));
        CPPUNIT_ASSERT(!lenient.decide(impatient, milliseconds(1500)));
        CPPUNIT_ASSERT(lenient.decide(impatient, milliseconds(1600)));
    }

    void withoutATargetNothingIsRefused()
    {
        CPPUNIT_ASSERT(!EarlyRefusal().decide({{}, seconds(6), false}, seconds(60)));
    }

    void switchedOffItRefusesNothing()
    {
        EarlyRefusal off;
        off.waitTargets = 0;
        CPPUNIT_ASSERT(!off.decide(usual, seconds(60)));
    }

    void paceFollowsWhatWasSeen()
    {
        ServiceRate pace(35.0);
        CPPUNIT_ASSERT(pace.waitFor(35'000, 0, 64, 0) == seconds(1));
        for (int n = 0; n < 20; ++n)
            pace.note({20'000, 1000, 0, 0});
        CPPUNIT_ASSERT(pace.tokensPerMs() > 19.9 && pace.tokensPerMs() < 20.2);
        pace.note({}); // nothing was seen
        CPPUNIT_ASSERT(pace.tokensPerMs() < 20.2);
    }

    void fullPlacesAreWaitedFor()
    {
        ServiceRate pace(35.0);
        CPPUNIT_ASSERT(pace.waitFor(0, 64, 64, 0) == Duration{}); // unknown how long they are held
        pace.note({0, 0, 4, 12'800}); // 3.2 s each
        CPPUNIT_ASSERT(pace.waitFor(0, 63, 64, 0) == Duration{});
        const Duration one = pace.waitFor(0, 64, 64, 0); // the next of 64 to end
        CPPUNIT_ASSERT(one > milliseconds(49) && one < milliseconds(51));
        CPPUNIT_ASSERT(pace.waitFor(0, 127, 64, 0) > seconds(3));
    }

    /// Prompts of 200 ms that arrive each 100 ms for a minute at one engine that reads in turn,
    /// also for callers who have gone. How many first events come within the target.
    static int served(const EarlyRefusal &refusal)
    {
        constexpr Duration work = milliseconds(200);
        constexpr Duration arrival = milliseconds(100);
        ServiceRate pace(20.0);
        Duration backlog{};
        int inTime = 0;
        for (Duration now{}; now < seconds(60); now += arrival) {
            const auto waiting = static_cast<TokenCount>(toMillis(backlog) * 20.0);
            if (!refusal.decide(usual, pace.waitFor(waiting, 0, 64, 0))) {
                backlog += work;
                inTime += backlog <= usual.target ? 1 : 0;
            }
            backlog -= std::min(backlog, arrival);
        }
        return inTime;
    }

    void engineAtTwiceItsPowerServesAllItCan()
    {
        constexpr int power = 300; // prompts that it can read in a minute
        EarlyRefusal off;
        off.waitTargets = 0;
        CPPUNIT_ASSERT(served(off) < power / 10);
        CPPUNIT_ASSERT(served(EarlyRefusal()) >= power * 9 / 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyRefusalTest);

} // namespace reachlead
