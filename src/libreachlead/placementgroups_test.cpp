// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <ranges>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <reachlead/pendingqueries.h>
#include <reachlead/placementgroups.h>

namespace reachlead {

/// Who places which calls, and who is asked when that one does not answer.
class PlacementGroupsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementGroupsTest);
    CPPUNIT_TEST(everyUpstreamHasOneGroupOfAboutTheSize);
    CPPUNIT_TEST(callsOfOnePromptShareAGroup);
    CPPUNIT_TEST(lostUpstreamMovesFewOthers);
    CPPUNIT_TEST(lostGatewayMovesOnlyItsGroups);
    CPPUNIT_TEST(serviceWithoutUpstreamsHasNoGroup);
    CPPUNIT_TEST(strongGatewaysPlaceForTheOthers);
    CPPUNIT_TEST(silentSchedulerIsPassedOverForAWhile);
    CPPUNIT_TEST(questionsThatMissTogetherCountOnce);
    CPPUNIT_TEST(openFromNamesTheOldestOpenQuestion);
    CPPUNIT_TEST(answerOfAnotherGatewayIsNotTaken);
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

    /// Groups keep their number as long as there are as many: of 179 others few move.
    void lostUpstreamMovesFewOthers()
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
            const VmName then = *electScheduler(group, others);
            CPPUNIT_ASSERT_EQUAL(n % 2 == 1 && first != VmName("g0"), then == first);
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
        PendingQueries asks(VmName("weak1"));
        for (std::uint16_t n = 0; n < 20; ++n)
            CPPUNIT_ASSERT(
                !asks.schedulerFor({service, n}, strong, all, start).text.starts_with("weak"));
        // Once all strong ones are silent, a weak one is better than none.
        for (const VmName &vm : strong)
            asks.queryFailed(asks.open(vm), start);
        CPPUNIT_ASSERT(
            asks.schedulerFor({service, 0}, strong, all, start).text.starts_with("weak"));
    }

    void silentSchedulerIsPassedOverForAWhile()
    {
        const std::set<VmName> all = gateways(10);
        const GroupName group{service, 0};
        PendingQueries asks(VmName("self"));
        const VmName first = asks.schedulerFor(group, all, all, start);
        asks.queryFailed(asks.open(first), start);
        const VmName second = asks.schedulerFor(group, all, all, start);
        CPPUNIT_ASSERT(second != first);
        const Time later = start + UnresponsiveGateways::initialBackoff;
        CPPUNIT_ASSERT(asks.schedulerFor(group, all, all, later) == first);
        asks.queryFailed(asks.open(first), later); // the pause doubles
        CPPUNIT_ASSERT(
            asks.schedulerFor(group, all, all, later + UnresponsiveGateways::initialBackoff)
            != first);
        const QueryId late = asks.open(first);
        asks.replyReceived(late, first); // and ends with a word of it
        CPPUNIT_ASSERT(asks.schedulerFor(group, all, all, later) == first);
    }

    void questionsThatMissTogetherCountOnce()
    {
        const std::set<VmName> all = gateways(10);
        const GroupName group{service, 0};
        PendingQueries asks(VmName("self"));
        const VmName first = asks.schedulerFor(group, all, all, start);
        for (int n = 0; n < 20; ++n)
            asks.queryFailed(asks.open(first), start);
        CPPUNIT_ASSERT(
            asks.schedulerFor(group, all, all, start + UnresponsiveGateways::initialBackoff)
            == first);
    }

    void openFromNamesTheOldestOpenQuestion()
    {
        PendingQueries asks(VmName("g0"));
        CPPUNIT_ASSERT_EQUAL(QueryId{1}, asks.oldestPendingQuery());
        const QueryId one = asks.open(VmName("g1"));
        const QueryId two = asks.open(VmName("g1"));
        asks.conclude(two);
        CPPUNIT_ASSERT_EQUAL(one, asks.oldestPendingQuery());
        asks.conclude(one);
        CPPUNIT_ASSERT_EQUAL(two + 1, asks.oldestPendingQuery());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, asks.pendingCount());
    }

    void answerOfAnotherGatewayIsNotTaken()
    {
        PendingQueries asks(VmName("g0"));
        const QueryId number = asks.open(VmName("g1"));
        CPPUNIT_ASSERT(!asks.replyReceived(number, VmName("g2")));
        CPPUNIT_ASSERT(asks.replyReceived(number, VmName("g1")));
        asks.conclude(number);
        CPPUNIT_ASSERT(!asks.replyReceived(number, VmName("g1")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementGroupsTest);

} // namespace reachlead
