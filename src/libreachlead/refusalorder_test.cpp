// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <reachlead/refusalorder.h>

namespace reachlead {

/// Who is refused first.
class RefusalOrderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RefusalOrderTest);
    CPPUNIT_TEST(nothingIsHeldWithoutRefusals);
    CPPUNIT_TEST(lessUrgentWaitsForTheMoreUrgent);
    CPPUNIT_TEST(heldRankGetsItsFloor);
    CPPUNIT_TEST(moreUrgentIsNeverHeldForLess);
    CPPUNIT_TEST(urgentBurstTakesNoPlaceFromItself);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};
    const ServiceName m_llm{"llm"};

    void nothingIsHeldWithoutRefusals()
    {
        RefusalOrder order;
        CPPUNIT_ASSERT(!order.remainingHold(m_llm, 2, start));
        order.refused(ServiceName("other"), 0, start);
        CPPUNIT_ASSERT(!order.remainingHold(m_llm, 2, start));
    }

    void lessUrgentWaitsForTheMoreUrgent()
    {
        RefusalOrder order;
        order.placed(m_llm, 1, start);
        order.refused(m_llm, 0, start);
        CPPUNIT_ASSERT(order.remainingHold(m_llm, 1, start) == RefusalOrder::defaultHold);
        CPPUNIT_ASSERT(!order.remainingHold(m_llm, 0, start));
        CPPUNIT_ASSERT(!order.remainingHold(m_llm, 1, start + RefusalOrder::defaultHold));
    }

    void heldRankGetsItsFloor()
    {
        RefusalOrder order;
        unsigned placed = 0;
        for (Time now = start; now < start + seconds(20); now += milliseconds(50)) {
            order.refused(m_llm, 0, now);
            if (order.remainingHold(m_llm, 1, now))
                continue;
            order.placed(m_llm, 1, now);
            ++placed;
        }
        CPPUNIT_ASSERT_EQUAL(4U, placed);
    }

    void moreUrgentIsNeverHeldForLess()
    {
        CPPUNIT_ASSERT(rc::check("any refusals", [this](const std::vector<unsigned char> &steps) {
            RefusalOrder order;
            Time now = start;
            for (const unsigned char step : steps) {
                now += milliseconds(step);
                order.refused(m_llm, 1 + step % 3, now);
                RC_ASSERT(!order.remainingHold(m_llm, 0, now));
                RC_ASSERT(!order.remainingHold(m_llm, 1, now));
            }
        }));
    }

    /// Engines that hold 100 calls for 4 s each, before 40 urgent calls a second and 10 less urgent
    /// ones that hold two places: less urgent ones begin only where no urgent one was refused.
    void urgentBurstTakesNoPlaceFromItself()
    {
        RefusalOrder order;
        std::multimap<Time, unsigned> ends;
        unsigned running = 0;
        unsigned urgentRefused = 0;
        unsigned lessBeside = 0; // placed within a second of an urgent call's refusal
        std::optional<Time> refusedAt;
        constexpr unsigned places = 100;
        for (Time now = start; now < start + seconds(20); now += milliseconds(25)) {
            while (!ends.empty() && ends.begin()->first <= now) {
                running -= ends.begin()->second;
                ends.erase(ends.begin());
            }
            const bool hasRoom = running < places;
            if (hasRoom) {
                ++running;
                ends.emplace(now + seconds(4), 1);
            } else {
                order.refused(m_llm, 0, now);
                refusedAt = now;
                ++urgentRefused;
            }
            const bool isLess = (now - start) % milliseconds(100) == Duration{};
            if (!isLess || running + 2 > places || order.remainingHold(m_llm, 1, now))
                continue;
            order.placed(m_llm, 1, now);
            running += 2;
            ends.emplace(now + seconds(4), 2);
            lessBeside += refusedAt && now < *refusedAt + RefusalOrder::defaultHold ? 1U : 0U;
        }
        CPPUNIT_ASSERT(urgentRefused > 100);
        CPPUNIT_ASSERT(lessBeside <= 4); // one each floorPause
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalOrderTest);

} // namespace reachlead
