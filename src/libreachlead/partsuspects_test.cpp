// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include <rapidcheck.h>

#include <reachlead/partsuspects.h>

namespace reachlead {

/// Tests which parts of prompts come under suspicion.
class PartSuspectsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartSuspectsTest);
    CPPUNIT_TEST(partsOfDifferentAccountsDiffer);
    CPPUNIT_TEST(thirdCrashMakesAPartSuspect);
    CPPUNIT_TEST(popularPartIsCleared);
    CPPUNIT_TEST(partsThatAlwaysComeTogetherAreSuspectTogether);
    CPPUNIT_TEST(partIsSuspectAloneOnceTheOtherIsCleared);
    CPPUNIT_TEST(partThatBeganBetweenCrashesIsNoCompanion);
    CPPUNIT_TEST(rarerPartIsSuspectedFirst);
    CPPUNIT_TEST(clearedPartIsSuspectedLast);
    CPPUNIT_TEST(partThatBeganBeforeAWaveIsInnocent);
    CPPUNIT_TEST(partThatBeganLongAgoMayBeGuilty);
    CPPUNIT_TEST(partsThatBeganAreBounded);
    CPPUNIT_TEST(explainedCrashesDoNotCountForOthers);
    CPPUNIT_TEST(noPartIsSuspectBeforeItWasAnnounced);
    CPPUNIT_TEST(crashesAtTheSameTimeCountOnce);
    CPPUNIT_TEST(crashUnderARetryIsSeparate);
    CPPUNIT_TEST(announcedPartIsForgottenSooner);
    CPPUNIT_TEST(partsAreBounded);
    CPPUNIT_TEST(guiltyPartIsFoundAmongOthers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr Duration betweenCrashes = milliseconds(300);

    static ContentDigest part(std::uint64_t id)
    {
        return computeDigest(PartContent{AccountName("a"), "m", id});
    }
    static PartSet parts(std::initializer_list<std::uint64_t> ids)
    {
        PartSet set;
        for (const std::uint64_t id : ids)
            set.insert(part(id));
        return set;
    }

    using Sets = std::vector<PartSet>;

    /// Crashes one after the other, with announcements.
    struct Crashes
    {
        std::vector<PartSet> lose(const std::vector<PartSet> &calls)
        {
            now += betweenCrashes;
            ++crashed;
            for (const PartSet &call : calls)
                suspects.recordCrash(call, crashed, {now - milliseconds(100), now});
            suspects.takeAnnouncements(now);
            return suspects.takeSuspects(now);
        }
        void begin(std::uint64_t id)
        {
            const ContentDigest begun = part(id);
            suspects.recordBegin(std::span(&begun, 1), now);
        }

        PartSuspects suspects;
        Time now = start;
        UpstreamHash crashed = 0;
    };

    void partsOfDifferentAccountsDiffer()
    {
        const PartContent content{AccountName("a"), "m", 7};
        CPPUNIT_ASSERT(computeDigest(content) == part(7));
        CPPUNIT_ASSERT(computeDigest(PartContent{AccountName("b"), "m", 7}) != part(7));
        CPPUNIT_ASSERT(computeDigest(PartContent{AccountName("a"), "n", 7}) != part(7));
    }

    void thirdCrashMakesAPartSuspect()
    {
        Crashes crashes;
        CPPUNIT_ASSERT(crashes.lose({parts({1})}).empty());
        CPPUNIT_ASSERT(crashes.lose({parts({1})}).empty());
        CPPUNIT_ASSERT(crashes.lose({parts({1})}) == Sets{parts({1})});
        CPPUNIT_ASSERT(crashes.lose({parts({1})}).empty()); // known already
    }

    /// The first part of all prompts is in every crash, and in many sound requests.
    void popularPartIsCleared()
    {
        Crashes crashes;
        for (int n = 0; n < 2; ++n) {
            CPPUNIT_ASSERT(crashes.lose({parts({1, 9}), parts({1, 2})}).empty());
            crashes.begin(1);
        }
        CPPUNIT_ASSERT(crashes.lose({parts({1, 9})}) == Sets{parts({9})});
    }

    void partsThatAlwaysComeTogetherAreSuspectTogether()
    {
        Crashes crashes;
        crashes.lose({parts({1, 9})});
        crashes.lose({parts({1, 9})});
        CPPUNIT_ASSERT(crashes.lose({parts({1, 9})}) == Sets{parts({1, 9})});
    }

    void partIsSuspectAloneOnceTheOtherIsCleared()
    {
        Crashes crashes;
        for (int n = 0; n < 3; ++n)
            crashes.lose({parts({1, 9})});
        crashes.begin(1);
        CPPUNIT_ASSERT(crashes.suspects.takeSuspects(crashes.now) == Sets{parts({9})});
    }

    /// The first part came with the guilty one each time, but an answer began on it in between.
    void partThatBeganBetweenCrashesIsNoCompanion()
    {
        Crashes crashes;
        crashes.lose({parts({1, 9})});
        crashes.lose({parts({1, 9})});
        crashes.begin(1);
        CPPUNIT_ASSERT(crashes.lose({parts({1, 9})}) == Sets{parts({9})});
    }

    /// The popular part was also lost in requests without the guilty one, and none of them began.
    void rarerPartIsSuspectedFirst()
    {
        Crashes crashes;
        crashes.lose({parts({1, 9}), parts({1, 2})});
        crashes.lose({parts({1, 9}), parts({1, 3})});
        CPPUNIT_ASSERT(crashes.lose({parts({1, 9}), parts({1, 4})}) == Sets{parts({1, 9})});
    }

    /// The popular part was cleared after the first crash. Then so many engines crashed at once
    /// that nothing could begin on it. Of the calls that were lost since, \p popularCalls contained
    /// it without the guilty part, and one the guilty part without it.
    static Sets suspectsAfterAWave(std::uint64_t popular, int popularCalls)
    {
        Crashes crashes;
        const auto crash = [&](const std::vector<PartSet> &calls) {
            crashes.now += milliseconds(20);
            ++crashes.crashed;
            for (const PartSet &call : calls)
                crashes.suspects.recordCrash(call, crashes.crashed,
                                             {crashes.now - milliseconds(15), crashes.now});
            crashes.suspects.takeAnnouncements(crashes.now);
        };
        crash({parts({popular, 9})});
        crashes.begin(popular);
        crash({parts({popular, 9}), parts({7, 9})});
        crash({parts({popular, 9})});
        std::vector<PartSet> last{parts({popular, 9})};
        last.insert(last.end(), static_cast<std::size_t>(popularCalls), parts({popular, 8}));
        crash(last);
        crashes.now += PartSuspects::answerPeriod;
        return crashes.suspects.takeSuspects(crashes.now);
    }

    /// Guards against a quarantine of the first part of all prompts, by which no stream began any
    /// more: it had been lost in as few calls since it was cleared as the guilty part in all.
    void clearedPartIsSuspectedLast()
    {
        for (std::uint64_t popular = 1; popular < 7; ++popular) {
            for (int calls = 1; calls < 4; ++calls)
                CPPUNIT_ASSERT(suspectsAfterAWave(popular, calls) == Sets{parts({9})});
        }
    }

    /// Guards against a quarantine of the first part of all prompts, by which no stream began any
    /// more: answers on it had begun right up to a wave of crashes, but not between them. It was
    /// lost in fewer calls than the guilty part, as it is known to be innocent of some.
    void partThatBeganBeforeAWaveIsInnocent()
    {
        constexpr Duration betweenWaveCrashes = milliseconds(20);
        const std::vector<Sets> lostCalls{{parts({9})},
                                          {parts({1, 9})},
                                          {parts({9})},
                                          {parts({1, 9})},
                                          {parts({1, 8}), parts({1, 9})}};
        Crashes crashes;
        crashes.begin(1);
        for (const Sets &calls : lostCalls) {
            crashes.now += betweenWaveCrashes;
            ++crashes.crashed;
            for (const PartSet &call : calls)
                crashes.suspects.recordCrash(call, crashes.crashed,
                                             {crashes.now - milliseconds(15), crashes.now});
            crashes.suspects.takeAnnouncements(crashes.now);
        }
        crashes.now += PartSuspects::answerPeriod;
        CPPUNIT_ASSERT(crashes.suspects.takeSuspects(crashes.now) == Sets{parts({9})});
    }

    /// For instance, since upstreams with another software version replaced the earlier ones.
    void partThatBeganLongAgoMayBeGuilty()
    {
        Crashes crashes;
        crashes.begin(9);
        crashes.lose({parts({9})});
        crashes.now += PartSuspects::innocencePeriod;
        crashes.lose({parts({9})});
        crashes.lose({parts({9})});
        CPPUNIT_ASSERT(crashes.lose({parts({9})}) == Sets{parts({9})});
    }

    /// An account that makes up ids. A part that still begins is remembered.
    void partsThatBeganAreBounded()
    {
        Crashes crashes;
        crashes.begin(1);
        for (std::uint64_t n = 2; n < 2 * PartSuspects::maxParts; ++n) {
            crashes.now += milliseconds(1);
            crashes.begin(n);
            if (n % 100 == 0)
                crashes.begin(1);
        }
        CPPUNIT_ASSERT(crashes.suspects.hasBegunLately(part(1), crashes.now));
        CPPUNIT_ASSERT(!crashes.suspects.hasBegunLately(part(2), crashes.now));
    }

    /// Requests of another kind waited at each of the engines.
    void explainedCrashesDoNotCountForOthers()
    {
        Crashes crashes;
        const Sets calls{parts({1, 9}), parts({5}), parts({5})};
        crashes.lose(calls);
        crashes.lose(calls);
        CPPUNIT_ASSERT(crashes.lose(calls) == Sets{parts({1, 9})});
        CPPUNIT_ASSERT(crashes.lose({parts({5})}).empty());
        CPPUNIT_ASSERT(crashes.lose({parts({5})}).empty());
        CPPUNIT_ASSERT(crashes.lose({parts({5})}) == Sets{parts({5})});
    }

    void noPartIsSuspectBeforeItWasAnnounced()
    {
        PartSuspects suspects;
        for (unsigned n = 0; n < 3; ++n)
            suspects.recordCrash(parts({1}), n, {start, start + n * PartSuspects::crashSpacing});
        const Time now = start + seconds(1);
        CPPUNIT_ASSERT(suspects.takeSuspects(now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspects.takeAnnouncements(now).size());
        CPPUNIT_ASSERT(!suspects.hasAnnouncements());
        CPPUNIT_ASSERT(suspects.nextDecision() == now + PartSuspects::answerPeriod);
        CPPUNIT_ASSERT(suspects.takeSuspects(now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             suspects.takeSuspects(now + PartSuspects::answerPeriod).size());
    }

    /// Many engines lose their power at once, each with requests that have not begun.
    void crashesAtTheSameTimeCountOnce()
    {
        PartSuspects suspects;
        constexpr unsigned engines = 1800;
        for (unsigned n = 0; n < engines; ++n)
            suspects.recordCrash(parts({1}), n,
                                 {start - milliseconds(50), start + milliseconds(n % 40)});
        CPPUNIT_ASSERT(!suspects.hasAnnouncements());
        CPPUNIT_ASSERT(suspects.takeSuspects(start + seconds(10)).empty());
    }

    /// The call was sent again at once, and the next engine crashed within milliseconds.
    void crashUnderARetryIsSeparate()
    {
        PartSuspects suspects;
        const Time second = start + milliseconds(5);
        suspects.recordCrash(parts({1}), 1, {start - milliseconds(5), start});
        suspects.recordCrash(parts({1}), 2, {start + milliseconds(1), second});
        CPPUNIT_ASSERT(suspects.hasAnnouncements());
    }

    void announcedPartIsForgottenSooner()
    {
        PartSuspects suspects;
        suspects.recordAnnouncement(part(1), start);
        suspects.recordCrash(parts({2}), 1, {start, start});
        suspects.dropExpired(start + PartSuspects::announcementRetention + milliseconds(1));
        CPPUNIT_ASSERT(!suspects.contains(part(1)) && suspects.contains(part(2)));
        suspects.dropExpired(start + PartSuspects::retention + milliseconds(1));
        CPPUNIT_ASSERT(suspects.isEmpty());
    }

    /// An account that makes up ids.
    void partsAreBounded()
    {
        PartSuspects suspects;
        for (std::uint64_t n = 0; n < 2 * PartSuspects::maxParts; ++n)
            suspects.recordCrash(parts({n}), n, {start, start + milliseconds(n)});
        CPPUNIT_ASSERT_EQUAL(PartSuspects::maxParts, suspects.size());
        CPPUNIT_ASSERT(!suspects.contains(part(0)));
    }

    /// Whatever sound requests are lost beside the guilty ones, and while the popular parts begin
    /// now and then, only the guilty part is suspect, alone or with parts that always came with it.
    void guiltyPartIsFoundAmongOthers()
    {
        constexpr std::uint64_t guilty = 99;
        const bool holds = rc::check("crashes and beginnings", [] {
            std::mt19937 random(*rc::gen::arbitrary<unsigned>());
            const auto draw = [&random](unsigned n) { return random() % n; };
            Crashes crashes;
            std::size_t crashesBeforeSuspicion = 0;
            for (int n = 0; n < 8; ++n) {
                Sets calls{parts({draw(2), guilty, 100 + draw(1000)})};
                for (unsigned sound = draw(4); sound > 0; --sound)
                    calls.push_back(parts({draw(2), 100 + draw(1000)}));
                const Sets sets = crashes.lose(calls);
                for (const PartSet &set : sets)
                    RC_ASSERT(set.contains(part(guilty)));
                if (sets.empty() && crashesBeforeSuspicion == crashes.crashed - 1)
                    ++crashesBeforeSuspicion;
                crashes.begin(n % 2);
            }
            RC_ASSERT(crashesBeforeSuspicion == PartSuspects::crashLimit - 1);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartSuspectsTest);

} // namespace reachlead
