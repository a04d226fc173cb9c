// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <ranges>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

/// Selection of an upstream from what this gateway and its peers know.
class UpstreamTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamTableTest);
    CPPUNIT_TEST(gatewaysAgreeOnThePreferredUpstream);
    CPPUNIT_TEST(lossOfAnUpstreamMovesOnlyItsPrompts);
    CPPUNIT_TEST(promptGoesToItsPreferredUpstreamAcrossZones);
    CPPUNIT_TEST(backlogAtThePreferredUpstreamSpills);
    CPPUNIT_TEST(plainCallsStayInTheZone);
    CPPUNIT_TEST(leavingAndTriedAreNotSelected);
    CPPUNIT_TEST(failingUpstreamIsAvoidedAndTriedAgain);
    CPPUNIT_TEST(allFailingIsBetterThanNone);
    CPPUNIT_TEST(loadOfPeersCountsWhileItIsFresh);
    CPPUNIT_TEST(endedCallsLeaveNoLoad);
    CPPUNIT_TEST(loadsOfPeersAddUp);
    CPPUNIT_TEST(shortPromptsKeepToDedicatedEngines);
    CPPUNIT_TEST(loadedDedicatedEngineSpills);
    CPPUNIT_TEST(everyZoneHasItsDedicatedEngine);
    CPPUNIT_TEST(baselinesSelectAsNamed);
    CPPUNIT_TEST(promptFollowsPeerReports);
    CPPUNIT_TEST(spilledPromptIsFetchedFromTheCache);
    CPPUNIT_TEST(nothingIsFetchedBeforePrefill);
    CPPUNIT_TEST(coldPromptCountsAsPrefill);
    CPPUNIT_TEST(fewFirstPartsDoNotDrawAllPrompts);
    CPPUNIT_TEST(burstOfShortPromptsFindsSlots);
    CPPUNIT_TEST(manyChunksAreNotPrefilledBesideManyStreams);
    CPPUNIT_TEST(hintsAreSentForALimitedTimeAndBounded);
    CPPUNIT_TEST(continuedStreamKeepsToItsVersion);
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

    static UpstreamTable makeTable(const std::string &zone = "z0")
    {
        return {ZoneName(zone), UpstreamTable::Costs()};
    }

    static std::vector<PromptPart> prompt(std::uint64_t subject)
    {
        return {{subject, 13'000}, {subject * 7919 + 1, 3'000}};
    }

    static SelectionQuery query(const std::vector<PromptPart> &prompt)
    {
        return {ServiceName("llm"), "m", prompt, nullptr};
    }

    /// Upstreams of two versions; those of v1 are the more expensive ones. What is said of v2 must
    /// not count.
    void continuedStreamKeepsToItsVersion()
    {
        const auto parts = prompt(1);
        std::vector<UpstreamEntry> entries;
        for (const UpstreamEntry &known : directory(6).registered()) {
            entries.push_back(known);
            entries.back().softwareVersion = SoftwareVersion(entries.size() <= 2 ? "v1" : "v2");
        }
        UpstreamDirectory upstreams;
        upstreams.replaceAll(entries, 1, start);
        UpstreamTable table = makeTable();
        table.setPeerLoad(VmName("g"),
                          {{{entries[0].id, {60, 200'000, 0}}, {entries[1].id, {60, 200'000, 0}}}},
                          start);
        const SoftwareVersion v1("v1");
        const SoftwareVersion v3("v3");
        SelectionQuery bound = query(parts);
        CPPUNIT_ASSERT(
            upstreams.find(table.select(bound, upstreams, start)->upstream)->softwareVersion != v1);
        bound.softwareVersion = &v1;
        const auto selection = table.select(bound, upstreams, start);
        CPPUNIT_ASSERT(upstreams.find(selection->upstream)->softwareVersion == v1);
        CPPUNIT_ASSERT(selection->minQueueWait > Duration{});
        table.backoffs().add(entries[5].id, seconds(1), start);
        CPPUNIT_ASSERT(!table.isBlockedByBackoff(bound, upstreams, start));
        const std::set<UpstreamId> tried{entries[0].id, entries[1].id};
        bound.tried = &tried;
        CPPUNIT_ASSERT(!table.hasAlternative(bound, upstreams, start));
        CPPUNIT_ASSERT(!table.select(bound, upstreams, start));
        bound.tried = nullptr;
        bound.softwareVersion = &v3;
        CPPUNIT_ASSERT(!table.select(bound, upstreams, start));
    }

    void gatewaysAgreeOnThePreferredUpstream()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable table = makeTable("z0");
        UpstreamTable otherTable = makeTable("z2");
        std::set<UpstreamId> used;
        for (std::uint64_t subject = 1; subject <= 200; ++subject) {
            const auto parts = prompt(subject);
            const auto first = table.select(query(parts), upstreams, start);
            const auto second = otherTable.select(query(parts), upstreams, start);
            CPPUNIT_ASSERT(first->isPreferred && second->isPreferred);
            CPPUNIT_ASSERT_EQUAL(first->upstream.text, second->upstream.text);
            used.insert(first->upstream);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, used.size()); // all but the dedicated one
    }

    void lossOfAnUpstreamMovesOnlyItsPrompts()
    {
        UpstreamTable table = makeTable();
        for (std::uint64_t subject = 1; subject <= 200; ++subject) {
            const auto parts = prompt(subject);
            const auto before = table.select(query(parts), directory(9), start);
            const auto after = table.select(query(parts), directory(9, 4), start);
            if (before->upstream != UpstreamId("u4"))
                CPPUNIT_ASSERT_EQUAL(before->upstream.text, after->upstream.text);
        }
    }

    void promptGoesToItsPreferredUpstreamAcrossZones()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable table = makeTable("z0");
        unsigned across = 0;
        for (std::uint64_t subject = 1; subject <= 90; ++subject) {
            const auto parts = prompt(subject);
            const auto selection = table.select(query(parts), upstreams, start);
            across += upstreams.find(selection->upstream)->zone != ZoneName("z0") ? 1 : 0;
        }
        CPPUNIT_ASSERT(across > 45);
    }

    void backlogAtThePreferredUpstreamSpills()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1);
        const auto preferred = table.select(query(parts), upstreams, start);
        Selection heavy = *preferred;
        heavy.prefillTokens = 400'000; // about ten seconds of prefill
        table.sent(preferred->upstream, query(prompt(2)), heavy, start);
        const auto spilled = table.select(query(parts), upstreams, start);
        CPPUNIT_ASSERT(spilled->upstream != preferred->upstream);
    }

    void plainCallsStayInTheZone()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable table = makeTable("z1");
        const auto selection = table.select(query({}), upstreams, start);
        CPPUNIT_ASSERT_EQUAL(std::string("z1"), upstreams.find(selection->upstream)->zone.text);
    }

    void leavingAndTriedAreNotSelected()
    {
        UpstreamDirectory upstreams = directory(2);
        UpstreamEntry leaving = *upstreams.find(UpstreamId("u0"));
        leaving.leaving = true;
        upstreams.applyChanges({{leaving, false}}, 2, start);
        UpstreamTable table = makeTable();
        CPPUNIT_ASSERT_EQUAL(std::string("u1"),
                             table.select(query({}), upstreams, start)->upstream.text);
        const std::set<UpstreamId> tried{UpstreamId("u1")};
        SelectionQuery retry = query({});
        retry.tried = &tried;
        CPPUNIT_ASSERT(!table.select(retry, upstreams, start));
    }

    void failingUpstreamIsAvoidedAndTriedAgain()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1);
        const UpstreamId preferred = table.select(query(parts), upstreams, start)->upstream;
        for (unsigned n = 0; n < Circuit::failuresToOpen; ++n)
            table.failed(preferred, start);
        CPPUNIT_ASSERT(table.select(query(parts), upstreams, start)->upstream != preferred);
        CPPUNIT_ASSERT(table.select(query(parts), upstreams, start + seconds(1))->upstream
                       == preferred);
    }

    void allFailingIsBetterThanNone()
    {
        const UpstreamDirectory upstreams = directory(2);
        UpstreamTable table = makeTable();
        table.select(query({}), upstreams, start); // creates the records
        for (unsigned n = 0; n < Circuit::failuresToOpen; ++n) {
            table.failed(UpstreamId("u0"), start);
            table.failed(UpstreamId("u1"), start);
        }
        CPPUNIT_ASSERT(table.select(query({}), upstreams, start));
    }

    void loadOfPeersCountsWhileItIsFresh()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1);
        const UpstreamId preferred = table.select(query(parts), upstreams, start)->upstream;
        table.setPeerLoad(VmName("peer"), {{{preferred, {10, 400'000, 0}}}}, start);
        CPPUNIT_ASSERT(table.select(query(parts), upstreams, start)->upstream != preferred);
        const Time later = start + UpstreamTable::peerLoadLifetime + milliseconds(1);
        CPPUNIT_ASSERT(table.select(query(parts), upstreams, later)->upstream == preferred);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.peerCount()); // expired loads are removed
        table.setPeerLoad(VmName("other"), {}, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.peerCount());
    }

    static std::vector<PromptPart> shortPrompt(std::uint64_t subject)
    {
        return {{subject, 350}, {subject * 7919 + 1, 1000}};
    }

    void shortPromptsKeepToDedicatedEngines()
    {
        const UpstreamDirectory upstreams = directory(10);
        UpstreamTable table = makeTable("z0");
        UpstreamTable otherTable = makeTable("z1");
        std::set<UpstreamId> forShort;
        std::set<UpstreamId> forLong;
        for (std::uint64_t subject = 1; subject <= 100; ++subject) {
            const auto shortParts = shortPrompt(subject);
            const auto parts = prompt(subject);
            forShort.insert(table.select(query(shortParts), upstreams, start)->upstream);
            forShort.insert(otherTable.select(query(shortParts), upstreams, start)->upstream);
            forLong.insert(table.select(query(parts), upstreams, start)->upstream);
            forLong.insert(otherTable.select(query(parts), upstreams, start)->upstream);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forShort.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, forLong.size());
        CPPUNIT_ASSERT(!forLong.contains(*forShort.begin()));
    }

    void loadedDedicatedEngineSpills()
    {
        const UpstreamDirectory upstreams = directory(10);
        UpstreamTable table = makeTable();
        const auto shortParts = shortPrompt(1);
        const auto dedicated = table.select(query(shortParts), upstreams, start);
        for (int n = 0; n < 200; ++n)
            table.sent(dedicated->upstream, query(shortParts), *dedicated, start);
        CPPUNIT_ASSERT(table.select(query(shortParts), upstreams, start)->upstream
                       != dedicated->upstream);
    }

    static UpstreamTable makeTableFor(UpstreamTable::Strategy strategy)
    {
        UpstreamTable::Costs costs;
        costs.strategy = strategy;
        return {ZoneName("z0"), costs};
    }

    void baselinesSelectAsNamed()
    {
        const UpstreamDirectory upstreams = directory(9);
        const auto parts = prompt(1);
        UpstreamTable affinity = makeTableFor(UpstreamTable::Strategy::AffinityOnly);
        UpstreamTable leastLoaded = makeTableFor(UpstreamTable::Strategy::LeastLoaded);
        UpstreamTable roundRobin = makeTableFor(UpstreamTable::Strategy::RoundRobin);
        std::set<UpstreamId> byAffinity;
        std::set<UpstreamId> byLoad;
        std::set<UpstreamId> byTurn;
        const auto place = [&](UpstreamTable *table, std::set<UpstreamId> *used) {
            Selection selection = *table->select(query(parts), upstreams, start);
            selection.prefillTokens = 400'000;
            table->sent(selection.upstream, query(parts), selection, start);
            used->insert(selection.upstream);
        };
        for (std::size_t n = 0; n < upstreams.entries().size(); ++n) {
            place(&affinity, &byAffinity);
            place(&leastLoaded, &byLoad);
            place(&roundRobin, &byTurn);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, byAffinity.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, byLoad.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, byTurn.size());
    }

    void everyZoneHasItsDedicatedEngine()
    {
        const UpstreamDirectory upstreams = directory(30); // three dedicated ones
        for (const char *zone : {"z0", "z1", "z2"}) {
            UpstreamTable table = makeTable(zone);
            for (std::uint64_t subject = 1; subject <= 50; ++subject) {
                const auto shortParts = shortPrompt(subject);
                const auto selection = table.select(query(shortParts), upstreams, start);
                const UpstreamEntry &taken = *upstreams.find(selection->upstream);
                CPPUNIT_ASSERT_EQUAL(std::string(zone), taken.zone.text);
            }
        }
    }

    /// An upstream that is neither the preferred one of a prompt nor dedicated.
    static UpstreamId otherUpstream(const UpstreamId &preferred)
    {
        return UpstreamId(preferred == UpstreamId("u1") ? "u2" : "u1");
    }

    void promptFollowsPeerReports()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable sender = makeTable();
        UpstreamTable receiver = makeTable();
        const auto parts = prompt(1);
        Selection selection = *receiver.select(query(parts), upstreams, start);
        const UpstreamId preferred = selection.upstream;
        selection.upstream = otherUpstream(preferred);
        sender.sent(selection.upstream, query(parts), selection, start);
        const std::vector<PromptHint> hints = sender.recentHints(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hints.size()); // the last part is not shared
        receiver.addHints(hints, start);
        CPPUNIT_ASSERT_EQUAL(selection.upstream.text,
                             receiver.select(query(parts), upstreams, start)->upstream.text);
    }

    static ServiceInfo fetchable()
    {
        ServiceInfo info;
        info.engineTokenBytes = 18'432;
        info.engineLinkMbps = 180'000;
        return info;
    }

    /// Prefill time of the prompt below, at the initial rate.
    static Duration prefillTime()
    {
        return fromSeconds(70'000 / UpstreamTable::Costs().tokensPerMs / 1000.0);
    }

    /// The selection for a prompt whose upstream is behind by ten seconds and more, \p sinceSent
    /// after the prompt was sent there.
    static Selection selectionBesideLoadedUpstream(Duration sinceSent, UpstreamId *cachedAt)
    {
        const UpstreamDirectory upstreams = directory(9);
        const ServiceInfo info = fetchable();
        UpstreamTable table = makeTable();
        const auto parts = prompt(1);
        SelectionQuery fetchQuery = query(parts);
        fetchQuery.serviceInfo = &info;
        Selection selection = *table.select(fetchQuery, upstreams, start);
        *cachedAt = selection.upstream;
        selection.prefillTokens = 400'000;
        selection.tokensToFirstEvent = 70'000;
        table.sent(selection.upstream, fetchQuery, selection, start);
        return *table.select(fetchQuery, upstreams, start + sinceSent);
    }

    void spilledPromptIsFetchedFromTheCache()
    {
        UpstreamId cachedAt;
        const Selection spilled =
            selectionBesideLoadedUpstream(prefillTime() + milliseconds(1), &cachedAt);
        CPPUNIT_ASSERT(spilled.upstream != cachedAt);
        CPPUNIT_ASSERT(spilled.fetchFrom == cachedAt);
        CPPUNIT_ASSERT_EQUAL(TokenCount{3'000}, spilled.prefillTokens);
    }

    void nothingIsFetchedBeforePrefill()
    {
        UpstreamId cachedAt;
        const Selection spilled =
            selectionBesideLoadedUpstream(prefillTime() - milliseconds(1), &cachedAt);
        CPPUNIT_ASSERT(spilled.upstream != cachedAt);
        CPPUNIT_ASSERT(!spilled.fetchFrom);
        CPPUNIT_ASSERT_EQUAL(TokenCount{16'000}, spilled.prefillTokens);
    }

    void coldPromptCountsAsPrefill()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1);
        const Selection cold = *table.select(query(parts), upstreams, start);
        CPPUNIT_ASSERT(cold.isPreferred);
        CPPUNIT_ASSERT_EQUAL(TokenCount{16'000}, cold.prefillTokens);
        table.sent(cold.upstream, query(parts), cold, start);
        const std::vector<PromptPart> next{parts.front(), {4711, 2'000}};
        const Selection warm = *table.select(query(next), upstreams, start);
        CPPUNIT_ASSERT_EQUAL(cold.upstream.text, warm.upstream.text);
        CPPUNIT_ASSERT_EQUAL(TokenCount{2'000}, warm.prefillTokens);
    }

    /// Prompts on 444 subjects, each after one of four first parts, on 55 engines: no engine stays
    /// idle because it never got a first part, and none gets several times its share.
    void fewFirstPartsDoNotDrawAllPrompts()
    {
        const UpstreamDirectory upstreams = directory(55);
        UpstreamTable table = makeTable();
        std::map<UpstreamId, unsigned> placed;
        for (std::uint64_t n = 0; n < 2000; ++n) {
            const std::uint64_t subject = n * 7919 % 444;
            const std::vector<PromptPart> parts{
                {subject % 4 + 1, 2520}, {subject + 100, 3780}, {n + 1000, 2890}};
            const Selection selection = *table.select(query(parts), upstreams, start);
            table.sent(selection.upstream, query(parts), selection, start);
            table.firstEvent(selection.upstream, selection.prefillTokens);
            table.ended(selection.upstream, 0, selection.isShortPrompt);
            ++placed[selection.upstream];
        }
        const auto busiest = std::ranges::max(placed | std::views::values);
        CPPUNIT_ASSERT_EQUAL(std::size_t{49}, placed.size()); // all but the dedicated ones
        CPPUNIT_ASSERT(busiest < 2000 / 49 * 5 / 2);
    }

    /// 400 streams of short prompts on 55 engines with 32 slots: none waits for a slot.
    void burstOfShortPromptsFindsSlots()
    {
        UpstreamDirectory upstreams = directory(55);
        std::vector<UpstreamChange> changes;
        for (const auto &[id, entry] : upstreams.entries()) {
            changes.push_back({entry, false});
            changes.back().entry.slots = 32;
            changes.back().entry.revision = 2;
        }
        upstreams.applyChanges(changes, 2, start);
        UpstreamTable table = makeTable();
        Time now = start;
        for (std::uint64_t n = 0; n < 400; ++n) {
            const auto parts = shortPrompt(n * 7919 % 939 + 1);
            const Selection selection = *table.select(query(parts), upstreams, now);
            table.sent(selection.upstream, query(parts), selection, now);
            now += milliseconds(5);
        }
        for (const auto &[id, load] : table.ownLoad())
            CPPUNIT_ASSERT(load.running <= 32);
        CPPUNIT_ASSERT(table.ownLoad().size() >= 400 / 32);
    }

    /// Two dedicated engines with 50 streams each, and a burst of short prompts on one subject: the
    /// prompts leave the engine that has the subject cached before it must prefill many chunks in a
    /// row beside its streams.
    void manyChunksAreNotPrefilledBesideManyStreams()
    {
        const UpstreamDirectory upstreams = directory(20);
        UpstreamTable table = makeTable();
        std::set<UpstreamId> dedicated;
        for (std::uint64_t subject = 1; subject <= 100; ++subject) {
            const std::vector<PromptPart> parts{{subject, 200}, {subject + 1000, 400}};
            const Selection selection = *table.select(query(parts), upstreams, start);
            table.sent(selection.upstream, query(parts), selection, start);
            table.firstEvent(selection.upstream, selection.prefillTokens);
            dedicated.insert(selection.upstream);
        }
        std::map<UpstreamId, TokenCount> prefilled;
        for (std::uint64_t n = 0; n < 6; ++n) {
            const std::vector<PromptPart> parts{{7777, 1500}, {n + 5000, 1200}};
            const Selection selection = *table.select(query(parts), upstreams, start);
            table.sent(selection.upstream, query(parts), selection, start);
            prefilled[selection.upstream] += selection.prefillTokens;
        }
        for (const TokenCount tokens : prefilled | std::views::values)
            CPPUNIT_ASSERT(tokens <= 3 * UpstreamTable::Costs().maxShortPromptTokens / 2);
    }

    void hintsAreSentForALimitedTimeAndBounded()
    {
        const UpstreamDirectory upstreams = directory(9);
        UpstreamTable table = makeTable();
        for (std::uint64_t subject = 1; subject <= 2 * UpstreamTable::maxHints; ++subject) {
            const auto parts = prompt(subject);
            const Selection selection = *table.select(query(parts), upstreams, start);
            table.sent(selection.upstream, query(parts), selection, start);
        }
        CPPUNIT_ASSERT_EQUAL(UpstreamTable::maxHints, table.recentHints(start).size());
        CPPUNIT_ASSERT_EQUAL(UpstreamTable::maxHints,
                             table.recentHints(start + UpstreamTable::hintWindow).size());
        const Time later = start + UpstreamTable::hintWindow + milliseconds(1);
        CPPUNIT_ASSERT(table.recentHints(later).empty());
    }

    void endedCallsLeaveNoLoad()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1);
        const auto selection = table.select(query(parts), upstreams, start);
        table.sent(selection->upstream, query(parts), *selection, start);
        table.sent(selection->upstream, query(parts), *selection, start);
        CPPUNIT_ASSERT_EQUAL(2U, table.ownLoad().at(selection->upstream).running);
        table.firstEvent(selection->upstream, selection->prefillTokens);
        table.ended(selection->upstream, 0, selection->isShortPrompt);
        table.ended(selection->upstream, selection->prefillTokens, selection->isShortPrompt);
        CPPUNIT_ASSERT(table.ownLoad().empty());
    }

    void loadsOfPeersAddUp()
    {
        UpstreamTable table = makeTable();
        const UpstreamId a("a");
        const UpstreamId b("b");
        table.setPeerLoad(VmName("x"), {{{a, {3, 100, 1}}, {b, {2, 50, 2}}}}, start);
        table.setPeerLoad(VmName("y"), {{{a, {4, 1000, 4}}}}, start, seconds(10));
        CPPUNIT_ASSERT_EQUAL(7U, table.load(a, start).running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1100}, table.load(a, start).prefillTokens);
        table.setPeerLoad(VmName("x"), {{{a, {1, 10, 0}}}}, start); // its load at b has ended
        CPPUNIT_ASSERT_EQUAL(5U, table.load(a, start).running);
        CPPUNIT_ASSERT_EQUAL(4U, table.load(a, start).shortPrompts);
        CPPUNIT_ASSERT_EQUAL(0U, table.load(b, start).running);
        const Time later = start + UpstreamTable::peerLoadLifetime + milliseconds(1);
        // x has expired, y is valid for longer
        CPPUNIT_ASSERT_EQUAL(4U, table.load(a, later).running);
        CPPUNIT_ASSERT_EQUAL(0U, table.load(a, start + seconds(11)).running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamTableTest);

} // namespace reachlead
