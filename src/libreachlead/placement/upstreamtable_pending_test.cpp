// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <numeric>
#include <ranges>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <reachlead/placement/placementgroups.h>
#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

/// Load as seen by a gateway that places calls for others.
class UpstreamTablePendingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamTablePendingTest);
    CPPUNIT_TEST(pendingPlacementCountsUntilItIsReported);
    CPPUNIT_TEST(pendingPlacementWithALostReplyExpires);
    CPPUNIT_TEST(reportOfOneGroupKeepsTheOthers);
    CPPUNIT_TEST(loadOfAnUnresponsiveGatewayExpires);
    CPPUNIT_TEST(loadIsTheSumOfReportedAndPending);
    CPPUNIT_TEST(groupIsLeftOnlyForAClearGain);
    CPPUNIT_TEST(zoneOfTheCallerCounts);
    CPPUNIT_TEST(oneSchedulerSpreadsABurst);
    CPPUNIT_TEST(upstreamThatRefusesAConnectionIsAvoidedAtOnce);
    CPPUNIT_TEST(oneReportDoesNotDisableAnUpstream);
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

    static UpstreamTable makeTable() { return {ZoneName("z0"), UpstreamTable::Costs()}; }

    static std::vector<PromptPart> prompt(std::uint64_t subject, std::uint64_t session)
    {
        return {{subject, 13'000}, {session, 3'000}};
    }

    static SelectionQuery query(const std::vector<PromptPart> &prompt)
    {
        return {ServiceName("llm"), "m", prompt, nullptr};
    }

    void pendingPlacementCountsUntilItIsReported()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1, 2);
        const Selection selection = table.select(query(parts), upstreams, start).value();
        table.addPendingPlacement(peer, 7, query(parts), selection, start);
        CPPUNIT_ASSERT_EQUAL(1U, table.load(selection.upstream, start).running);
        CPPUNIT_ASSERT_EQUAL(selection.prefillTokens,
                             table.load(selection.upstream, start).prefillTokens);
        table.setPeerLoad(peer, {{}, 7}, start); // sent before the reply arrived
        CPPUNIT_ASSERT_EQUAL(1U, table.load(selection.upstream, start).running);
        table.setPeerLoad(peer, {{{selection.upstream, {1, 500, 0}}}, 8}, start);
        CPPUNIT_ASSERT_EQUAL(1U, table.load(selection.upstream, start).running);
        CPPUNIT_ASSERT_EQUAL(TokenCount{500}, table.load(selection.upstream, start).prefillTokens);
    }

    void pendingPlacementWithALostReplyExpires()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1, 2);
        const Selection selection = table.select(query(parts), upstreams, start).value();
        table.addPendingPlacement(peer, 7, query(parts), selection, start);
        const Time later = start + UpstreamTable::pendingPlacementTimeout + milliseconds(1);
        table.setPeerLoad(peer, {{}, 0}, later);
        CPPUNIT_ASSERT_EQUAL(0U, table.load(selection.upstream, later).running);
    }

    void reportOfOneGroupKeepsTheOthers()
    {
        UpstreamTable table = makeTable();
        const UpstreamId a("a");
        const UpstreamId b("b");
        table.setPeerLoad(peer, {{{a, {3, 100, 1}}, {b, {2, 50, 2}}}}, start);
        table.setPeerLoad(peer, {{{a, {1, 10, 0}}}}, {a}, start);
        CPPUNIT_ASSERT_EQUAL(1U, table.load(a, start).running);
        CPPUNIT_ASSERT_EQUAL(2U, table.load(b, start).running);
        table.setPeerLoad(peer, {}, {a}, start);
        CPPUNIT_ASSERT_EQUAL(0U, table.load(a, start).running);
        CPPUNIT_ASSERT_EQUAL(2U, table.load(b, start).running);
    }

    void loadOfAnUnresponsiveGatewayExpires()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1, 2);
        const Selection selection = table.select(query(parts), upstreams, start).value();
        table.addPendingPlacement(peer, 7, query(parts), selection, start);
        const Time later = start + UpstreamTable::peerLoadLifetime + milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(0U, table.load(selection.upstream, later).running);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.peerCount());
    }

    /// Any order of placements, reports and missing reports yields exactly the reported load plus
    /// the pending placements.
    void loadIsTheSumOfReportedAndPending()
    {
        const bool holds = rc::check("load of peers", [] {
            const UpstreamDirectory upstreams = directory(4);
            UpstreamTable table = makeTable();
            std::map<VmName, LoadByUpstream> reported;
            std::map<VmName, std::map<QueryId, UpstreamId>> pending;
            QueryId queryId = 0;
            const auto steps = *rc::gen::inRange(1, 60);
            for (int n = 0; n < steps; ++n) {
                const VmName vm(fmt::format("g{}", *rc::gen::inRange(0, 3)));
                if (*rc::gen::arbitrary<bool>()) {
                    const auto parts =
                        prompt(*rc::gen::inRange<std::uint64_t>(1, 9), queryId + 100);
                    const Selection selection =
                        table.select(query(parts), upstreams, start).value();
                    table.addPendingPlacement(vm, ++queryId, query(parts), selection, start);
                    pending[vm][queryId] = selection.upstream;
                    continue;
                }
                LoadByUpstream load;
                for (const UpstreamId &id : upstreams.entries() | std::views::keys) {
                    if (const auto running = *rc::gen::inRange(0U, 4U))
                        load[id] = {running, running * 100ULL, running / 2};
                }
                const QueryId oldestPending = *rc::gen::inRange<QueryId>(0, queryId + 2);
                std::erase_if(pending[vm],
                              [&](const auto &it) { return it.first < oldestPending; });
                reported[vm] = load;
                table.setPeerLoad(vm, {load, oldestPending}, start);
            }
            for (const UpstreamId &id : upstreams.entries() | std::views::keys) {
                std::uint32_t running = 0;
                for (const LoadByUpstream &load : reported | std::views::values)
                    running += load.contains(id) ? load.at(id).running : 0;
                for (const auto &granted : pending | std::views::values)
                    running += static_cast<std::uint32_t>(
                        std::ranges::count(granted | std::views::values, id));
                RC_ASSERT(table.load(id, start).running == running);
            }
            const Time later = start + UpstreamTable::peerLoadLifetime + milliseconds(1);
            for (const UpstreamId &id : upstreams.entries() | std::views::keys)
                RC_ASSERT(table.load(id, later).running == 0U);
        });
        CPPUNIT_ASSERT(holds);
    }

    void groupIsLeftOnlyForAClearGain()
    {
        const UpstreamDirectory upstreams = directory(6);
        UpstreamTable table = makeTable();
        const std::set<UpstreamId> group{UpstreamId("u0"), UpstreamId("u1")};
        const auto parts = prompt(1, 2);
        SelectionQuery groupQuery = query(parts);
        groupQuery.group = &group;
        const Selection first = table.select(groupQuery, upstreams, start).value();
        CPPUNIT_ASSERT(group.contains(first.upstream));
        CPPUNIT_ASSERT(first.isPreferred);
        LoadByUpstream load;
        for (const UpstreamId &id : group)
            load[id] = {20, 400'000, 0}; // 11 s of prefill
        table.setPeerLoad(peer, {load}, start);
        const Selection spilled = table.select(groupQuery, upstreams, start).value();
        CPPUNIT_ASSERT(!group.contains(spilled.upstream));
    }

    void zoneOfTheCallerCounts()
    {
        const UpstreamDirectory upstreams = directory(6);
        UpstreamTable table = makeTable();
        const ZoneName other("z2");
        SelectionQuery plain{ServiceName("llm"), "", {}, nullptr};
        const Selection near = table.select(plain, upstreams, start).value();
        CPPUNIT_ASSERT(upstreams.find(near.upstream)->zone == ZoneName("z0"));
        plain.zone = &other;
        const Selection far = table.select(plain, upstreams, start).value();
        CPPUNIT_ASSERT(upstreams.find(far.upstream)->zone == other);
    }

    /// A crashed engine looks idle, so that it would attract all calls until its registry entry
    /// expires.
    void upstreamThatRefusesAConnectionIsAvoidedAtOnce()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1, 2);
        const Selection selection = table.select(query(parts), upstreams, start).value();
        table.sent(selection.upstream, query(parts), selection, start);
        table.ended(selection.upstream, selection.prefillTokens, selection.isShortPrompt);
        table.connectionRefused(selection.upstream, start);
        CPPUNIT_ASSERT(table.select(query(parts), upstreams, start)->upstream
                       != selection.upstream);
        CPPUNIT_ASSERT(table.unhealthyUpstreams(ServiceName("llm"), upstreams, start, 9)
                       == std::vector{selection.upstream});
        CPPUNIT_ASSERT(table.unhealthyUpstreams(ServiceName("llm"), upstreams, start, 0).empty());
    }

    void oneReportDoesNotDisableAnUpstream()
    {
        const UpstreamDirectory upstreams = directory(3);
        UpstreamTable table = makeTable();
        const auto parts = prompt(1, 2);
        const UpstreamId preferred = table.select(query(parts), upstreams, start)->upstream;
        table.reportedFailing(preferred, VmName("cut-off"), start);
        table.reportedFailing(preferred, VmName("cut-off"), start);
        CPPUNIT_ASSERT(table.select(query(parts), upstreams, start)->upstream == preferred);
        table.reportedFailing(preferred, VmName("another"), start);
        CPPUNIT_ASSERT(table.select(query(parts), upstreams, start)->upstream != preferred);
        const Time later = start + UpstreamTable::reportLifetime + milliseconds(1);
        CPPUNIT_ASSERT(table.select(query(parts), upstreams, later)->upstream == preferred);
    }

    /// Prefill work caused by a burst of prompts.
    struct Burst
    {
        TokenCount prefilled = 0; ///< by all engines
        TokenCount busiest = 0; ///< by one engine
    };

    /// Places 600 prompts on 200 subjects that reach 60 gateways before these can exchange load. \p
    /// tableFor returns the table that places the n-th prompt.
    template <class TableFor>
    static Burst place(const UpstreamDirectory &upstreams, TableFor tableFor)
    {
        std::map<UpstreamId, TokenCount> prefilled;
        for (std::uint64_t n = 0; n < 600; ++n) {
            const auto parts = prompt(1 + n * 7 % 200, 1000 + n);
            UpstreamTable &table = tableFor(n, parts);
            const Selection selection = table.select(query(parts), upstreams, start).value();
            table.addPendingPlacement(VmName(fmt::format("g{}", n % 60)), static_cast<QueryId>(n),
                                      query(parts), selection, start);
            prefilled[selection.upstream] += selection.prefillTokens;
        }
        Burst burst;
        for (const TokenCount tokens : prefilled | std::views::values) {
            burst.prefilled += tokens;
            burst.busiest = std::max(burst.busiest, tokens);
        }
        return burst;
    }

    /// A burst on cold caches: gateways that select on their own all see idle engines, so some
    /// engines get many prompts at once. With placement by group the busiest engine has less to
    /// prefill.
    void oneSchedulerSpreadsABurst()
    {
        const UpstreamDirectory upstreams = directory(64);
        std::map<std::uint64_t, UpstreamTable> separate;
        const Burst separateBurst =
            place(upstreams, [&](std::uint64_t n, const auto & /*parts*/) -> auto & {
                return separate.try_emplace(n % 60, makeTable()).first->second;
            });
        PlacementGroups groups;
        std::map<GroupName, UpstreamTable> schedulers;
        const Burst groupedBurst =
            place(upstreams, [&](std::uint64_t /*n*/, const auto &parts) -> auto & {
                const auto group =
                    groups.findGroup(ServiceName("llm"), keyParts("m", parts), upstreams);
                return schedulers.try_emplace(*group, makeTable()).first->second;
            });
        CPPUNIT_ASSERT(groupedBurst.busiest * 2 < separateBurst.busiest);
        CPPUNIT_ASSERT(groupedBurst.prefilled <= separateBurst.prefilled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamTablePendingTest);

} // namespace reachlead
