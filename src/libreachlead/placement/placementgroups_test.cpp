// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <ranges>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <reachlead/placement/pendingqueries.h>
#include <reachlead/placement/placementgroups.h>

namespace reachlead {

/// Which gateway places which calls, and which one is queried if that gateway does not reply.
class PlacementGroupsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementGroupsTest);
    CPPUNIT_TEST(everyUpstreamHasOneGroupOfAboutTheSize);
    CPPUNIT_TEST(callsOfOnePromptShareAGroup);
    CPPUNIT_TEST(lostUpstreamMovesNoOthers);
    CPPUNIT_TEST(lostGatewayMovesOnlyItsGroups);
    CPPUNIT_TEST(serviceWithoutUpstreamsHasNoGroup);
    CPPUNIT_TEST(strongGatewaysPlaceForTheOthers);
    CPPUNIT_TEST(unresponsiveSchedulerIsSkippedForAWhile);
    CPPUNIT_TEST(queriesThatFailTogetherCountOnce);
    CPPUNIT_TEST(oldestPendingQueryIsReported);
    CPPUNIT_TEST(replyOfAnotherGatewayIsNotAccepted);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};
    static inline const ServiceName service{"llm"};

    static UpstreamDirectory directory(unsigned n, unsigned without = 100'000)
    {
        std::vector<UpstreamEntry> entries;
        for (unsigned it = 0; it < n; ++it) {
            UpstreamEntry entry;
            entry.id = UpstreamId(fmt::format("u{}", it));
            entry.service = service;
            if (it != without)
                entries.push_back(entry);
        }
        UpstreamDirectory made;
        made.replaceAll(entries, 1, start);
        return made;
    }

    static std::vector<KeyedPart> prompt(std::uint64_t subject, std::uint64_t session)
    {
        const std::vector<PromptPart> parts{{1, 400}, {subject, 13'000}, {session, 3'000}};
        return keyParts("m", parts);
    }

    static std::set<VmName> gateways(unsigned n)
    {
        std::set<VmName> all;
        for (unsigned it = 0; it < n; ++it)
            all.insert(VmName(fmt::format("g{}", it)));
        return all;
    }

    void everyUpstreamHasOneGroupOfAboutTheSize()
    {
        const UpstreamDirectory upstreams = directory(180);
        PlacementGroups groups(32);
        std::size_t members = 0;
        for (std::uint16_t n = 0; n < 5; ++n) {
            const std::set<UpstreamId> &group = groups.groupMembers({service, n}, upstreams);
            CPPUNIT_ASSERT(group.size() >= 20 && group.size() <= 55);
            members += group.size();
            for (const UpstreamId &id : group)
                CPPUNIT_ASSERT(groups.findGroup(id, upstreams) == GroupName(service, n));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{180}, members);
        CPPUNIT_ASSERT(groups.groupMembers({service, 5}, upstreams).empty());
    }

    void callsOfOnePromptShareAGroup()
    {
        const UpstreamDirectory upstreams = directory(180);
        PlacementGroups one;
        PlacementGroups two;
        std::map<GroupName, int> calls;
        for (std::uint64_t subject = 0; subject < 500; ++subject) {
            const auto first = one.findGroup(service, prompt(subject, 1), upstreams);
            CPPUNIT_ASSERT(first == two.findGroup(service, prompt(subject, 2), upstreams));
            ++calls[*first];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, calls.size());
    }

    /// Upstreams keep their group while the number of groups stays the same: none of the other 179
    /// moves.
    void lostUpstreamMovesNoOthers()
    {
        const UpstreamDirectory before = directory(180);
        const UpstreamDirectory after = directory(180, 17);
        PlacementGroups one;
        PlacementGroups two;
        for (const UpstreamId &id : after.entries() | std::views::keys)
            CPPUNIT_ASSERT(one.findGroup(id, before) == two.findGroup(id, after));
    }

    void lostGatewayMovesOnlyItsGroups()
    {
        const std::set<VmName> all = gateways(100);
        for (std::uint16_t n = 0; n < 50; ++n) {
            const GroupName group{service, n};
            const VmName first = *electScheduler(group, all);
            std::set<VmName> others = all;
            others.erase(n % 2 == 0 ? first : VmName("g0"));
            const VmName next = *electScheduler(group, others);
            CPPUNIT_ASSERT_EQUAL(n % 2 == 1 && first != VmName("g0"), next == first);
        }
        CPPUNIT_ASSERT(!electScheduler({service, 0}, {}));
    }

    void serviceWithoutUpstreamsHasNoGroup()
    {
        PlacementGroups groups;
        CPPUNIT_ASSERT(!groups.findGroup(service, prompt(1, 1), directory(0)));
        CPPUNIT_ASSERT(!groups.findGroup(UpstreamId("gone"), directory(3)));
    }

    static std::map<VmName, MilliCores> cores(const std::set<VmName> &names)
    {
        std::map<VmName, MilliCores> equal;
        for (const VmName &vm : names)
            equal.emplace(vm, 500);
        equal.emplace(VmName("self"), 500);
        return equal;
    }

    void strongGatewaysPlaceForTheOthers()
    {
        CPPUNIT_ASSERT(strongGateways({}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             strongGateways({{VmName("a"), 0}, {VmName("b"), 0}}).size());
        std::map<VmName, MilliCores> fleet = cores(gateways(3));
        for (int n = 0; n < 20; ++n)
            fleet[VmName(fmt::format("weak{}", n))] = 90;
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, strongGateways(fleet).size());
        const std::set<VmName> strong = strongGateways(fleet);
        std::set<VmName> all;
        for (const auto &[vm, share] : fleet)
            all.insert(vm);
        PendingQueries queries(VmName("weak1"));
        for (std::uint16_t n = 0; n < 20; ++n)
            CPPUNIT_ASSERT(
                !queries.schedulerFor({service, n}, strong, all, start).text.starts_with("weak"));
        // If all strong gateways are unresponsive, a weak one is selected.
        for (const VmName &vm : strong)
            queries.queryFailed(queries.open(vm), start);
        CPPUNIT_ASSERT(
            queries.schedulerFor({service, 0}, strong, all, start).text.starts_with("weak"));
    }

    void unresponsiveSchedulerIsSkippedForAWhile()
    {
        const std::set<VmName> all = gateways(10);
        const GroupName group{service, 0};
        PendingQueries queries(VmName("self"));
        const VmName first = queries.schedulerFor(group, all, all, start);
        queries.queryFailed(queries.open(first), start);
        const VmName second = queries.schedulerFor(group, all, all, start);
        CPPUNIT_ASSERT(second != first);
        const Time later = start + UnresponsiveGateways::initialBackoff;
        CPPUNIT_ASSERT(queries.schedulerFor(group, all, all, later) == first);
        queries.queryFailed(queries.open(first), later); // doubles the backoff
        CPPUNIT_ASSERT(
            queries.schedulerFor(group, all, all, later + UnresponsiveGateways::initialBackoff)
            != first);
        const QueryId lateQuery = queries.open(first);
        queries.replyReceived(lateQuery, first); // ends the backoff
        CPPUNIT_ASSERT(queries.schedulerFor(group, all, all, later) == first);
    }

    void queriesThatFailTogetherCountOnce()
    {
        const std::set<VmName> all = gateways(10);
        const GroupName group{service, 0};
        PendingQueries queries(VmName("self"));
        const VmName first = queries.schedulerFor(group, all, all, start);
        for (int n = 0; n < 20; ++n)
            queries.queryFailed(queries.open(first), start);
        CPPUNIT_ASSERT(
            queries.schedulerFor(group, all, all, start + UnresponsiveGateways::initialBackoff)
            == first);
    }

    void oldestPendingQueryIsReported()
    {
        PendingQueries queries(VmName("g0"));
        CPPUNIT_ASSERT_EQUAL(QueryId{1}, queries.oldestPendingQuery());
        const QueryId one = queries.open(VmName("g1"));
        const QueryId two = queries.open(VmName("g1"));
        queries.conclude(two);
        CPPUNIT_ASSERT_EQUAL(one, queries.oldestPendingQuery());
        queries.conclude(one);
        CPPUNIT_ASSERT_EQUAL(two + 1, queries.oldestPendingQuery());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queries.pendingCount());
    }

    void replyOfAnotherGatewayIsNotAccepted()
    {
        PendingQueries queries(VmName("g0"));
        const QueryId id = queries.open(VmName("g1"));
        CPPUNIT_ASSERT(!queries.replyReceived(id, VmName("g2")));
        CPPUNIT_ASSERT(queries.replyReceived(id, VmName("g1")));
        queries.conclude(id);
        CPPUNIT_ASSERT(!queries.replyReceived(id, VmName("g1")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementGroupsTest);

} // namespace reachlead
