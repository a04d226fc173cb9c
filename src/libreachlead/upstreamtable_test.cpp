// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <ranges>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <reachlead/upstreamtable.h>

namespace reachlead {

/// Which upstream a call is placed on, by what this gateway and its peers know.
class UpstreamBookTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamBookTest);
    CPPUNIT_TEST(gatewaysAgreeOnTheHomeOfAPrompt);
    CPPUNIT_TEST(lossOfAnUpstreamMovesOnlyItsPrompts);
    CPPUNIT_TEST(promptGoesHomeAcrossTheZoneBorder);
    CPPUNIT_TEST(backlogAtHomeSpills);
    CPPUNIT_TEST(plainCallsStayInTheZone);
    CPPUNIT_TEST(leavingAndTriedAreNotTaken);
    CPPUNIT_TEST(failingUpstreamIsAvoidedAndTriedAgain);
    CPPUNIT_TEST(allFailingIsBetterThanNone);
    CPPUNIT_TEST(loadOfPeersCountsWhileItIsFresh);
    CPPUNIT_TEST(endedCallsLeaveNoLoad);
    CPPUNIT_TEST(loadsOfPeersAddUp);
    CPPUNIT_TEST(shortPromptsKeepToQuietEngines);
    CPPUNIT_TEST(loadedQuietEngineSpills);
    CPPUNIT_TEST(everyZoneHasItsQuietEngine);
    CPPUNIT_TEST(baselinesChooseAsTheirNamesSay);
    CPPUNIT_TEST(promptFollowsWhatPeersTold);
    CPPUNIT_TEST(spilledPromptIsFetchedFromItsHolder);
    CPPUNIT_TEST(nothingIsFetchedBeforeItWasRead);
    CPPUNIT_TEST(coldPromptCountsAsUnread);
    CPPUNIT_TEST(fewFirstPartsDoNotDrawAllPrompts);
    CPPUNIT_TEST(burstOfShortPromptsFindsPlaces);
    CPPUNIT_TEST(manyChunksAreNotReadBesideManyStreams);
    CPPUNIT_TEST(notesAreToldForAWhileAndBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    static UpstreamDirectory directory(unsigned n, unsigned without = 1000)
    {
        std::vector<UpstreamEntry> entries;
        for (unsigned it = 0; it < n; ++it) {
            if (it == without)
                continue;
            UpstreamEntry entry;
            entry.id = UpstreamId(fmt::format("u{}", it));
            entry.service = ServiceName("llm");
            entry.zone = ZoneName(fmt::format("z{}", it % 3));
            entry.slots = 64;
            entries.push_back(entry);
        }
        UpstreamDirectory made;
        made.replaceAll(entries, 1, start);
        return made;
    }

    static UpstreamTable book(const std::string &zone = "z0")
    {
        return {ZoneName(zone), UpstreamTable::Costs()};
    }

    static std::vector<PromptPart> prompt(std::uint64_t subject)
    {
        return {{subject, 13'000}, {subject * 7919 + 1, 3'000}};
    }

    static SelectionQuery ask(const std::vector<PromptPart> &prompt)
    {
        return {ServiceName("llm"), "m", prompt, nullptr};
    }

    void gatewaysAgreeOnTheHomeOfAPrompt()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable one = book("z0");
        UpstreamTable two = book("z2");
        std::set<UpstreamId> used;
        for (std::uint64_t subject = 1; subject <= 200; ++subject) {
            const auto parts = prompt(subject);
            const auto first = one.select(ask(parts), upstreams, start);
            const auto second = two.select(ask(parts), upstreams, start);
            CPPUNIT_ASSERT(first->isPreferred && second->isPreferred);
            CPPUNIT_ASSERT_EQUAL(first->upstream.text, second->upstream.text);
            used.insert(first->upstream);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, used.size()); // all but the quiet one
    }

    void lossOfAnUpstreamMovesOnlyItsPrompts()
    {
        UpstreamTable one = book();
        for (std::uint64_t subject = 1; subject <= 200; ++subject) {
            const auto parts = prompt(subject);
            const auto before = one.select(ask(parts), directory(9), start);
            const auto after = one.select(ask(parts), directory(9, 4), start);
            if (before->upstream != UpstreamId("u4"))
                CPPUNIT_ASSERT_EQUAL(before->upstream.text, after->upstream.text);
        }
    }

    void promptGoesHomeAcrossTheZoneBorder()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable one = book("z0");
        unsigned across = 0;
        for (std::uint64_t subject = 1; subject <= 90; ++subject) {
            const auto parts = prompt(subject);
            const auto choice = one.select(ask(parts), upstreams, start);
            across += upstreams.find(choice->upstream)->zone != ZoneName("z0") ? 1 : 0;
        }
        CPPUNIT_ASSERT(across > 45);
    }

    void backlogAtHomeSpills()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable one = book();
        const auto parts = prompt(1);
        const auto home = one.select(ask(parts), upstreams, start);
        Selection heavy = *home;
        heavy.prefillTokens = 400'000; // some ten seconds of reading
        one.sent(home->upstream, ask(prompt(2)), heavy, start);
        const auto spilled = one.select(ask(parts), upstreams, start);
        CPPUNIT_ASSERT(spilled->upstream != home->upstream);
    }

    void plainCallsStayInTheZone()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable one = book("z1");
        const auto choice = one.select(ask({}), upstreams, start);
        CPPUNIT_ASSERT_EQUAL(std::string("z1"), upstreams.find(choice->upstream)->zone.text);
    }

    void leavingAndTriedAreNotTaken()
    {
        UpstreamDirectory upstreams = directory(2);
        UpstreamEntry leaving = *upstreams.find(UpstreamId("u0"));
        leaving.leaving = true;
        upstreams.applyChanges({{leaving, false}}, 2, start);
        UpstreamTable one = book();
        CPPUNIT_ASSERT_EQUAL(std::string("u1"),
                             one.select(ask({}), upstreams, start)->upstream.text);
        const std::set<UpstreamId> tried{UpstreamId("u1")};
        SelectionQuery again = ask({});
        again.tried = &tried;
        CPPUNIT_ASSERT(!one.select(again, upstreams, start));
    }

    void failingUpstreamIsAvoidedAndTriedAgain()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable one = book();
        const auto parts = prompt(1);
        const UpstreamId home = one.select(ask(parts), upstreams, start)->upstream;
        for (unsigned n = 0; n < Circuit::failuresToOpen; ++n)
            one.failed(home, start);
        CPPUNIT_ASSERT(one.select(ask(parts), upstreams, start)->upstream != home);
        CPPUNIT_ASSERT(one.select(ask(parts), upstreams, start + seconds(1))->upstream == home);
    }

    void allFailingIsBetterThanNone()
    {
        const UpstreamDirectory upstreams = directory(2);
        UpstreamTable one = book();
        one.select(ask({}), upstreams, start); // makes the records
        for (unsigned n = 0; n < Circuit::failuresToOpen; ++n) {
            one.failed(UpstreamId("u0"), start);
            one.failed(UpstreamId("u1"), start);
        }
        CPPUNIT_ASSERT(one.select(ask({}), upstreams, start));
    }

    void loadOfPeersCountsWhileItIsFresh()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable one = book();
        const auto parts = prompt(1);
        const UpstreamId home = one.select(ask(parts), upstreams, start)->upstream;
        one.setPeerLoad(VmName("peer"), {{{home, {10, 400'000, 0}}}}, start);
        CPPUNIT_ASSERT(one.select(ask(parts), upstreams, start)->upstream != home);
        const Time later = start + UpstreamTable::peerLoadLifetime + milliseconds(1);
        CPPUNIT_ASSERT(one.select(ask(parts), upstreams, later)->upstream == home);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.peerCount()); // what is too old is forgotten
        one.setPeerLoad(VmName("other"), {}, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.peerCount());
    }

    static std::vector<PromptPart> shortPrompt(std::uint64_t subject)
    {
        return {{subject, 350}, {subject * 7919 + 1, 1000}};
    }

    void shortPromptsKeepToQuietEngines()
    {
        const UpstreamDirectory upstreams = directory(10);
        UpstreamTable one = book("z0");
        UpstreamTable two = book("z1");
        std::set<UpstreamId> forShort;
        std::set<UpstreamId> forLong;
        for (std::uint64_t subject = 1; subject <= 100; ++subject) {
            const auto brief = shortPrompt(subject);
            const auto parts = prompt(subject);
            forShort.insert(one.select(ask(brief), upstreams, start)->upstream);
            forShort.insert(two.select(ask(brief), upstreams, start)->upstream);
            forLong.insert(one.select(ask(parts), upstreams, start)->upstream);
            forLong.insert(two.select(ask(parts), upstreams, start)->upstream);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forShort.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, forLong.size());
        CPPUNIT_ASSERT(!forLong.contains(*forShort.begin()));
    }

    void loadedQuietEngineSpills()
    {
        const UpstreamDirectory upstreams = directory(10);
        UpstreamTable one = book();
        const auto brief = shortPrompt(1);
        const auto quiet = one.select(ask(brief), upstreams, start);
        for (int n = 0; n < 200; ++n)
            one.sent(quiet->upstream, ask(brief), *quiet, start);
        CPPUNIT_ASSERT(one.select(ask(brief), upstreams, start)->upstream != quiet->upstream);
    }

    static UpstreamTable bookOf(UpstreamTable::Strategy strategy)
    {
        UpstreamTable::Costs costs;
        costs.strategy = strategy;
        return {ZoneName("z0"), costs};
    }

    void baselinesChooseAsTheirNamesSay()
    {
        const UpstreamDirectory upstreams = directory(9);
        const auto parts = prompt(1);
        UpstreamTable home = bookOf(UpstreamTable::Strategy::AffinityOnly);
        UpstreamTable least = bookOf(UpstreamTable::Strategy::LeastLoaded);
        UpstreamTable inTurn = bookOf(UpstreamTable::Strategy::RoundRobin);
        std::set<UpstreamId> byHome;
        std::set<UpstreamId> byLoad;
        std::set<UpstreamId> byTurn;
        const auto place = [&](UpstreamTable *one, std::set<UpstreamId> *used) {
            Selection choice = *one->select(ask(parts), upstreams, start);
            choice.prefillTokens = 400'000;
            one->sent(choice.upstream, ask(parts), choice, start);
            used->insert(choice.upstream);
        };
        for (std::size_t n = 0; n < upstreams.entries().size(); ++n) {
            place(&home, &byHome);
            place(&least, &byLoad);
            place(&inTurn, &byTurn);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, byHome.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, byLoad.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, byTurn.size());
    }

    void everyZoneHasItsQuietEngine()
    {
        const UpstreamDirectory upstreams = directory(30); // three quiet ones
        for (const char *zone : {"z0", "z1", "z2"}) {
            UpstreamTable one = book(zone);
            for (std::uint64_t subject = 1; subject <= 50; ++subject) {
                const auto brief = shortPrompt(subject);
                const auto choice = one.select(ask(brief), upstreams, start);
                const UpstreamEntry &taken = *upstreams.find(choice->upstream);
                CPPUNIT_ASSERT_EQUAL(std::string(zone), taken.zone.text);
            }
        }
    }

    /// An upstream that is not the home of a prompt, and not kept quiet.
    static UpstreamId otherThan(const UpstreamId &home)
    {
        return UpstreamId(home == UpstreamId("u1") ? "u2" : "u1");
    }

    void promptFollowsWhatPeersTold()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable teller = book();
        UpstreamTable hearer = book();
        const auto parts = prompt(1);
        Selection choice = *hearer.select(ask(parts), upstreams, start);
        const UpstreamId home = choice.upstream;
        choice.upstream = otherThan(home);
        teller.sent(choice.upstream, ask(parts), choice, start);
        const std::vector<PromptHint> notes = teller.recentHints(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notes.size()); // the last part is no one else's
        hearer.addHints(notes, start);
        CPPUNIT_ASSERT_EQUAL(choice.upstream.text,
                             hearer.select(ask(parts), upstreams, start)->upstream.text);
    }

    static ServiceInfo fetchable()
    {
        ServiceInfo info;
        info.engineTokenBytes = 18'432;
        info.engineLinkMbps = 180'000;
        return info;
    }

    /// Until the holder below has read the prompt, at the pace that is believed at first.
    static Duration readTime()
    {
        return fromSeconds(70'000 / UpstreamTable::Costs().tokensPerMs / 1000.0);
    }

    /// The choice for a prompt whose holder is behind by ten seconds and more since it read it.
    static Selection choiceBesideLoadedHolder(Duration sinceHeld, UpstreamId *holder)
    {
        const UpstreamDirectory upstreams = directory(9);
        const ServiceInfo info = fetchable();
        UpstreamTable one = book();
        const auto parts = prompt(1);
        SelectionQuery wanted = ask(parts);
        wanted.serviceInfo = &info;
        Selection choice = *one.select(wanted, upstreams, start);
        *holder = choice.upstream;
        choice.prefillTokens = 400'000;
        choice.tokensToFirstEvent = 70'000;
        one.sent(choice.upstream, wanted, choice, start);
        return *one.select(wanted, upstreams, start + sinceHeld);
    }

    void spilledPromptIsFetchedFromItsHolder()
    {
        UpstreamId holder;
        const Selection spilled = choiceBesideLoadedHolder(readTime() + milliseconds(1), &holder);
        CPPUNIT_ASSERT(spilled.upstream != holder);
        CPPUNIT_ASSERT(spilled.fetchFrom == holder);
        CPPUNIT_ASSERT_EQUAL(TokenCount{3'000}, spilled.prefillTokens);
    }

    void nothingIsFetchedBeforeItWasRead()
    {
        UpstreamId holder;
        const Selection spilled = choiceBesideLoadedHolder(readTime() - milliseconds(1), &holder);
        CPPUNIT_ASSERT(spilled.upstream != holder);
        CPPUNIT_ASSERT(!spilled.fetchFrom);
        CPPUNIT_ASSERT_EQUAL(TokenCount{16'000}, spilled.prefillTokens);
    }

    void coldPromptCountsAsUnread()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable one = book();
        const auto parts = prompt(1);
        const Selection cold = *one.select(ask(parts), upstreams, start);
        CPPUNIT_ASSERT(cold.isPreferred);
        CPPUNIT_ASSERT_EQUAL(TokenCount{16'000}, cold.prefillTokens);
        one.sent(cold.upstream, ask(parts), cold, start);
        const std::vector<PromptPart> next{parts.front(), {4711, 2'000}};
        const Selection warm = *one.select(ask(next), upstreams, start);
        CPPUNIT_ASSERT_EQUAL(cold.upstream.text, warm.upstream.text);
        CPPUNIT_ASSERT_EQUAL(TokenCount{2'000}, warm.prefillTokens);
    }

    /// Prompts of 444 subjects behind one of four first parts, on 55 engines: no engine stands idle
    /// because it never got a first part, and none gets several times its part.
    void fewFirstPartsDoNotDrawAllPrompts()
    {
        const UpstreamDirectory upstreams = directory(55);
        UpstreamTable one = book();
        std::map<UpstreamId, unsigned> placed;
        for (std::uint64_t n = 0; n < 2000; ++n) {
            const std::uint64_t subject = n * 7919 % 444;
            const std::vector<PromptPart> parts{
                {subject % 4 + 1, 2520}, {subject + 100, 3780}, {n + 1000, 2890}};
            const Selection choice = *one.select(ask(parts), upstreams, start);
            one.sent(choice.upstream, ask(parts), choice, start);
            one.firstEvent(choice.upstream, choice.prefillTokens);
            one.ended(choice.upstream, 0, choice.isShortPrompt);
            ++placed[choice.upstream];
        }
        const auto most = std::ranges::max(placed | std::views::values);
        CPPUNIT_ASSERT_EQUAL(std::size_t{49}, placed.size()); // all but the quiet ones
        CPPUNIT_ASSERT(most < 2000 / 49 * 5 / 2);
    }

    /// 400 streams of short prompts on 55 engines of 32 places: none waits for a place.
    void burstOfShortPromptsFindsPlaces()
    {
        UpstreamDirectory upstreams = directory(55);
        std::vector<UpstreamChange> changes;
        for (const auto &[id, entry] : upstreams.entries()) {
            changes.push_back({entry, false});
            changes.back().entry.slots = 32;
            changes.back().entry.revision = 2;
        }
        upstreams.applyChanges(changes, 2, start);
        UpstreamTable one = book();
        Time now = start;
        for (std::uint64_t n = 0; n < 400; ++n) {
            const auto parts = shortPrompt(n * 7919 % 939 + 1);
            const Selection choice = *one.select(ask(parts), upstreams, now);
            one.sent(choice.upstream, ask(parts), choice, now);
            now += milliseconds(5);
        }
        for (const auto &[id, load] : one.ownLoad())
            CPPUNIT_ASSERT(load.running <= 32);
        CPPUNIT_ASSERT(one.ownLoad().size() >= 400 / 32);
    }

    /// Two quiet engines with 50 streams each, and a burst of short prompts of one subject: they
    /// leave its holder before it has to read many chunks in a row beside the streams.
    void manyChunksAreNotReadBesideManyStreams()
    {
        const UpstreamDirectory upstreams = directory(20);
        UpstreamTable one = book();
        std::set<UpstreamId> quiet;
        for (std::uint64_t subject = 1; subject <= 100; ++subject) {
            const std::vector<PromptPart> parts{{subject, 200}, {subject + 1000, 400}};
            const Selection choice = *one.select(ask(parts), upstreams, start);
            one.sent(choice.upstream, ask(parts), choice, start);
            one.firstEvent(choice.upstream, choice.prefillTokens);
            quiet.insert(choice.upstream);
        }
        std::map<UpstreamId, TokenCount> unread;
        for (std::uint64_t n = 0; n < 6; ++n) {
            const std::vector<PromptPart> parts{{7777, 1500}, {n + 5000, 1200}};
            const Selection choice = *one.select(ask(parts), upstreams, start);
            one.sent(choice.upstream, ask(parts), choice, start);
            unread[choice.upstream] += choice.prefillTokens;
        }
        for (const TokenCount tokens : unread | std::views::values)
            CPPUNIT_ASSERT(tokens <= 3 * UpstreamTable::Costs().maxShortPromptTokens / 2);
    }

    void notesAreToldForAWhileAndBounded()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable one = book();
        for (std::uint64_t subject = 1; subject <= 2 * UpstreamTable::maxHints; ++subject) {
            const auto parts = prompt(subject);
            const Selection choice = *one.select(ask(parts), upstreams, start);
            one.sent(choice.upstream, ask(parts), choice, start);
        }
        CPPUNIT_ASSERT_EQUAL(UpstreamTable::maxHints, one.recentHints(start).size());
        CPPUNIT_ASSERT_EQUAL(UpstreamTable::maxHints,
                             one.recentHints(start + UpstreamTable::hintWindow).size());
        const Time later = start + UpstreamTable::hintWindow + milliseconds(1);
        CPPUNIT_ASSERT(one.recentHints(later).empty());
    }

    void endedCallsLeaveNoLoad()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable one = book();
        const auto parts = prompt(1);
        const auto choice = one.select(ask(parts), upstreams, start);
        one.sent(choice->upstream, ask(parts), *choice, start);
        one.sent(choice->upstream, ask(parts), *choice, start);
        CPPUNIT_ASSERT_EQUAL(2U, one.ownLoad().at(choice->upstream).running);
        one.firstEvent(choice->upstream, choice->prefillTokens);
        one.ended(choice->upstream, 0, choice->isShortPrompt);
        one.ended(choice->upstream, choice->prefillTokens, choice->isShortPrompt);
        CPPUNIT_ASSERT(one.ownLoad().empty());
    }

    void loadsOfPeersAddUp()
    {
        UpstreamTable one = book();
        const UpstreamId a("a");
        const UpstreamId b("b");
        one.setPeerLoad(VmName("x"), {{{a, {3, 100, 1}}, {b, {2, 50, 2}}}}, start);
        one.setPeerLoad(VmName("y"), {{{a, {4, 1000, 4}}}}, start, seconds(10));
        CPPUNIT_ASSERT_EQUAL(7U, one.load(a, start).running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1100}, one.load(a, start).prefillTokens);
        one.setPeerLoad(VmName("x"), {{{a, {1, 10, 0}}}}, start); // its load at b has ended
        CPPUNIT_ASSERT_EQUAL(5U, one.load(a, start).running);
        CPPUNIT_ASSERT_EQUAL(4U, one.load(a, start).shortPrompts);
        CPPUNIT_ASSERT_EQUAL(0U, one.load(b, start).running);
        const Time later = start + UpstreamTable::peerLoadLifetime + milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(4U, one.load(a, later).running); // x is too old, y counts longer
        CPPUNIT_ASSERT_EQUAL(0U, one.load(a, start + seconds(11)).running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamBookTest);

} // namespace reachlead
