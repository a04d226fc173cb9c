// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <numeric>
#include <ranges>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <reachlead/placementgroups.h>
#include <reachlead/upstreamtable.h>

namespace reachlead {

/// What a gateway that places for others believes of the load.
class UpstreamBookGrantsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamBookGrantsTest);
    CPPUNIT_TEST(grantCountsUntilItsGatewayTellsOfIt);
    CPPUNIT_TEST(grantWhoseAnswerWasLostIsForgotten);
    CPPUNIT_TEST(wordOfOneGroupLeavesTheOthers);
    CPPUNIT_TEST(nothingIsLeftOfAGatewayThatIsGone);
    CPPUNIT_TEST(loadIsTheSumOfWhatStands);
    CPPUNIT_TEST(groupIsLeftOnlyForAClearGain);
    CPPUNIT_TEST(zoneOfTheCallerCounts);
    CPPUNIT_TEST(oneSchedulerSpreadsABurst);
    CPPUNIT_TEST(upstreamWhereNobodyListensIsFoundOutOnce);
    CPPUNIT_TEST(oneGatewaysWordDoesNotTakeAnUpstreamFromOthers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};
    static inline const VmName peer{"peer"};

    static UpstreamDirectory directory(unsigned n)
    {
        std::vector<UpstreamEntry> entries;
        for (unsigned it = 0; it < n; ++it) {
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

    static UpstreamTable book() { return {ZoneName("z0"), UpstreamTable::Costs()}; }

    static std::vector<PromptPart> prompt(std::uint64_t subject, std::uint64_t session)
    {
        return {{subject, 13'000}, {session, 3'000}};
    }

    static SelectionQuery ask(const std::vector<PromptPart> &prompt)
    {
        return {ServiceName("llm"), "m", prompt, nullptr};
    }

    void grantCountsUntilItsGatewayTellsOfIt()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable one = book();
        const auto parts = prompt(1, 2);
        const Selection choice = one.select(ask(parts), upstreams, start).value();
        one.addPendingPlacement(peer, 7, ask(parts), choice, start);
        CPPUNIT_ASSERT_EQUAL(1U, one.load(choice.upstream, start).running);
        CPPUNIT_ASSERT_EQUAL(choice.prefillTokens, one.load(choice.upstream, start).prefillTokens);
        one.setPeerLoad(peer, {{}, 7}, start); // sent before it had the answer
        CPPUNIT_ASSERT_EQUAL(1U, one.load(choice.upstream, start).running);
        one.setPeerLoad(peer, {{{choice.upstream, {1, 500, 0}}}, 8}, start);
        CPPUNIT_ASSERT_EQUAL(1U, one.load(choice.upstream, start).running);
        CPPUNIT_ASSERT_EQUAL(TokenCount{500}, one.load(choice.upstream, start).prefillTokens);
    }

    void grantWhoseAnswerWasLostIsForgotten()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable one = book();
        const auto parts = prompt(1, 2);
        const Selection choice = one.select(ask(parts), upstreams, start).value();
        one.addPendingPlacement(peer, 7, ask(parts), choice, start);
        const Time later = start + UpstreamTable::grantLimit + milliseconds(1);
        one.setPeerLoad(peer, {{}, 0}, later);
        CPPUNIT_ASSERT_EQUAL(0U, one.load(choice.upstream, later).running);
    }

    void wordOfOneGroupLeavesTheOthers()
    {
        UpstreamTable one = book();
        const UpstreamId a("a");
        const UpstreamId b("b");
        one.setPeerLoad(peer, {{{a, {3, 100, 1}}, {b, {2, 50, 2}}}}, start);
        one.setPeerLoad(peer, {{{a, {1, 10, 0}}}}, {a}, start);
        CPPUNIT_ASSERT_EQUAL(1U, one.load(a, start).running);
        CPPUNIT_ASSERT_EQUAL(2U, one.load(b, start).running);
        one.setPeerLoad(peer, {}, {a}, start);
        CPPUNIT_ASSERT_EQUAL(0U, one.load(a, start).running);
        CPPUNIT_ASSERT_EQUAL(2U, one.load(b, start).running);
    }

    void nothingIsLeftOfAGatewayThatIsGone()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable one = book();
        const auto parts = prompt(1, 2);
        const Selection choice = one.select(ask(parts), upstreams, start).value();
        one.addPendingPlacement(peer, 7, ask(parts), choice, start);
        const Time later = start + UpstreamTable::peerLoadLifetime + milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(0U, one.load(choice.upstream, later).running);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.peerCount());
    }

    /// Any order of placed calls, words and silence leaves exactly the load that still stands.
    void loadIsTheSumOfWhatStands()
    {
        const bool holds = rc::check("load of peers", [] {
            const UpstreamDirectory upstreams = directory(4);
            UpstreamTable one = book();
            std::map<VmName, LoadByUpstream> told;
            std::map<VmName, std::map<QueryId, UpstreamId>> open;
            QueryId number = 0;
            const auto steps = *rc::gen::inRange(1, 60);
            for (int n = 0; n < steps; ++n) {
                const VmName vm(fmt::format("g{}", *rc::gen::inRange(0, 3)));
                if (*rc::gen::arbitrary<bool>()) {
                    const auto parts = prompt(*rc::gen::inRange<std::uint64_t>(1, 9), number + 100);
                    const Selection choice = one.select(ask(parts), upstreams, start).value();
                    one.addPendingPlacement(vm, ++number, ask(parts), choice, start);
                    open[vm][number] = choice.upstream;
                    continue;
                }
                LoadByUpstream load;
                for (const UpstreamId &id : upstreams.entries() | std::views::keys) {
                    if (const auto running = *rc::gen::inRange(0U, 4U))
                        load[id] = {running, running * 100ULL, running / 2};
                }
                const QueryId from = *rc::gen::inRange<QueryId>(0, number + 2);
                std::erase_if(open[vm], [&](const auto &it) { return it.first < from; });
                told[vm] = load;
                one.setPeerLoad(vm, {load, from}, start);
            }
            for (const UpstreamId &id : upstreams.entries() | std::views::keys) {
                std::uint32_t running = 0;
                for (const LoadByUpstream &load : told | std::views::values)
                    running += load.contains(id) ? load.at(id).running : 0;
                for (const auto &granted : open | std::views::values)
                    running += static_cast<std::uint32_t>(
                        std::ranges::count(granted | std::views::values, id));
                RC_ASSERT(one.load(id, start).running == running);
            }
            const Time later = start + UpstreamTable::peerLoadLifetime + milliseconds(1);
            for (const UpstreamId &id : upstreams.entries() | std::views::keys)
                RC_ASSERT(one.load(id, later).running == 0U);
        });
        CPPUNIT_ASSERT(holds);
    }

    void groupIsLeftOnlyForAClearGain()
    {
        const UpstreamDirectory upstreams = directory(6);
        UpstreamTable one = book();
        const std::set<UpstreamId> group{UpstreamId("u0"), UpstreamId("u1")};
        const auto parts = prompt(1, 2);
        SelectionQuery wanted = ask(parts);
        wanted.group = &group;
        const Selection first = one.select(wanted, upstreams, start).value();
        CPPUNIT_ASSERT(group.contains(first.upstream));
        CPPUNIT_ASSERT(first.isPreferred);
        LoadByUpstream load;
        for (const UpstreamId &id : group)
            load[id] = {20, 400'000, 0}; // 11 s of reading
        one.setPeerLoad(peer, {load}, start);
        const Selection spilled = one.select(wanted, upstreams, start).value();
        CPPUNIT_ASSERT(!group.contains(spilled.upstream));
    }

    void zoneOfTheCallerCounts()
    {
        const UpstreamDirectory upstreams = directory(6);
        UpstreamTable one = book();
        const ZoneName other("z2");
        SelectionQuery plain{ServiceName("llm"), "", {}, nullptr};
        const Selection near = one.select(plain, upstreams, start).value();
        CPPUNIT_ASSERT(upstreams.find(near.upstream)->zone == ZoneName("z0"));
        plain.zone = &other;
        const Selection far = one.select(plain, upstreams, start).value();
        CPPUNIT_ASSERT(upstreams.find(far.upstream)->zone == other);
    }

    /// An engine that crashed looks idle, so that all calls would go there until its entry lapses.
    void upstreamWhereNobodyListensIsFoundOutOnce()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable one = book();
        const auto parts = prompt(1, 2);
        const Selection choice = one.select(ask(parts), upstreams, start).value();
        one.sent(choice.upstream, ask(parts), choice, start);
        one.ended(choice.upstream, choice.prefillTokens, choice.isShortPrompt);
        one.connectionRefused(choice.upstream, start);
        CPPUNIT_ASSERT(one.select(ask(parts), upstreams, start)->upstream != choice.upstream);
        CPPUNIT_ASSERT(one.unhealthyUpstreams(ServiceName("llm"), upstreams, start, 9)
                       == std::vector{choice.upstream});
        CPPUNIT_ASSERT(one.unhealthyUpstreams(ServiceName("llm"), upstreams, start, 0).empty());
    }

    void oneGatewaysWordDoesNotTakeAnUpstreamFromOthers()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable one = book();
        const auto parts = prompt(1, 2);
        const UpstreamId home = one.select(ask(parts), upstreams, start)->upstream;
        one.reportedFailing(home, VmName("cut-off"), start);
        one.reportedFailing(home, VmName("cut-off"), start);
        CPPUNIT_ASSERT(one.select(ask(parts), upstreams, start)->upstream == home);
        one.reportedFailing(home, VmName("another"), start);
        CPPUNIT_ASSERT(one.select(ask(parts), upstreams, start)->upstream != home);
        const Time later = start + UpstreamTable::reportAge + milliseconds(1);
        CPPUNIT_ASSERT(one.select(ask(parts), upstreams, later)->upstream == home);
    }

    /// What a burst of prompts asks of the engines.
    struct Burst
    {
        TokenCount read = 0; ///< by all engines
        TokenCount busiest = 0; ///< by one engine
    };

    /// Plays 600 prompts on 200 subjects that reach 60 gateways before any could tell another.
    /// \p chooser gives the book that places the n-th prompt.
    template <class Chooser> static Burst play(const UpstreamDirectory &upstreams, Chooser chooser)
    {
        std::map<UpstreamId, TokenCount> read;
        for (std::uint64_t n = 0; n < 600; ++n) {
            const auto parts = prompt(1 + n * 7 % 200, 1000 + n);
            UpstreamTable &placing = chooser(n, parts);
            const Selection choice = placing.select(ask(parts), upstreams, start).value();
            placing.addPendingPlacement(VmName(fmt::format("g{}", n % 60)), static_cast<QueryId>(n),
                                        ask(parts), choice, start);
            read[choice.upstream] += choice.prefillTokens;
        }
        Burst burst;
        for (const TokenCount tokens : read | std::views::values) {
            burst.read += tokens;
            burst.busiest = std::max(burst.busiest, tokens);
        }
        return burst;
    }

    /// A burst on cold caches: by itself, each gateway takes every engine for idle, so some get
    /// many prompts at once. Placed by group, the busiest engine has less to read.
    void oneSchedulerSpreadsABurst()
    {
        const UpstreamDirectory upstreams = directory(64);
        std::map<std::uint64_t, UpstreamTable> alone;
        const Burst apart = play(upstreams, [&](std::uint64_t n, const auto & /*parts*/) -> auto & {
            return alone.try_emplace(n % 60, book()).first->second;
        });
        PlacementGroups groups;
        std::map<GroupName, UpstreamTable> schedulers;
        const Burst together =
            play(upstreams, [&](std::uint64_t /*n*/, const auto &parts) -> auto & {
                const auto group =
                    groups.findGroup(ServiceName("llm"), keyParts("m", parts), upstreams);
                return schedulers.try_emplace(*group, book()).first->second;
            });
        CPPUNIT_ASSERT(together.busiest * 2 < apart.busiest);
        CPPUNIT_ASSERT(together.read <= apart.read);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamBookGrantsTest);

} // namespace reachlead
