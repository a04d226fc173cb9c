// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <array>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <reachlead/placement/upstreamtable.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// Upstreams that restart under their names.
class UpstreamIncarnationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamIncarnationsTest);
    CPPUNIT_TEST(nextIncarnationIsAnotherUpstream);
    CPPUNIT_TEST(earlierIncarnationIsNotHeldAfterAnOutage);
    CPPUNIT_TEST(lateMessageOfAnEarlierIncarnationIsIgnored);
    CPPUNIT_TEST(removalAppliesToWhicheverIncarnationIsKnown);
    CPPUNIT_TEST(changesHaveOnlyTheNewestIncarnation);
    CPPUNIT_TEST(tableKnowsNothingOfTheNextIncarnation);
    CPPUNIT_TEST(anyOrderOfStartsMessagesAndRemovals);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    static UpstreamEntry entry(const std::string &name, std::uint64_t startedAt,
                               std::uint64_t revision, bool leaving = false)
    {
        UpstreamEntry made;
        made.id = UpstreamId(name, startedAt);
        made.service = ServiceName("s");
        made.revision = revision;
        made.leaving = leaving;
        return made;
    }

    /// A directory that knows incarnation 7 of an upstream since first contact at revision 10.
    static UpstreamDirectory known()
    {
        UpstreamDirectory made;
        made.regainedContact(start);
        made.replaceAll({entry("a", 7, 5)}, 10, start);
        return made;
    }

    void nextIncarnationIsAnotherUpstream()
    {
        UpstreamDirectory directory = known();
        const auto changed = directory.applyChanges({{entry("a", 8, 11), false}}, 11, start);
        CPPUNIT_ASSERT(changed.withdrawn == std::vector{UpstreamId("a", 7)});
        CPPUNIT_ASSERT(changed.added == std::vector{UpstreamId("a", 8)});
        CPPUNIT_ASSERT(directory.find(UpstreamId("a", 7)) == nullptr);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a", 8)) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usableUpstreams(ServiceName("s")).size());
        CPPUNIT_ASSERT(directory.findByHash(upstreamHash(UpstreamId("a", 7))) == nullptr);
        CPPUNIT_ASSERT(directory.findByHash(upstreamHash(UpstreamId("a", 8))) != nullptr);
    }

    /// If it were held, calls would go to the next incarnation, which may be leaving.
    void earlierIncarnationIsNotHeldAfterAnOutage()
    {
        UpstreamDirectory directory = known();
        directory.lostContact();
        directory.regainedContact(start + seconds(5));
        directory.replaceAll({entry("a", 8, 12, true)}, 12, start + seconds(5));
        CPPUNIT_ASSERT(directory.usableUpstreams(ServiceName("s")).empty());
        CPPUNIT_ASSERT(directory.missing().empty());
    }

    void lateMessageOfAnEarlierIncarnationIsIgnored()
    {
        UpstreamDirectory directory = known();
        directory.applyChanges({{entry("a", 8, 11), false}}, 11, start);
        const auto changed = directory.applyChanges({{entry("a", 7, 12, true), false}}, 12, start);
        CPPUNIT_ASSERT(changed.withdrawn.empty());
        CPPUNIT_ASSERT(directory.find(UpstreamId("a", 8)) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usableUpstreams(ServiceName("s")).size());
    }

    void removalAppliesToWhicheverIncarnationIsKnown()
    {
        UpstreamDirectory directory = known();
        UpstreamChange removal;
        removal.removed = true;
        removal.entry.id = UpstreamId("a");
        const auto changed = directory.applyChanges({removal}, 11, start);
        CPPUNIT_ASSERT(changed.withdrawn == std::vector{UpstreamId("a", 7)});
        CPPUNIT_ASSERT(directory.entries().empty());
    }

    void changesHaveOnlyTheNewestIncarnation()
    {
        UpstreamDirectory directory = known();
        UpstreamDirectory other = known();
        directory.applyChanges({{entry("a", 8, 11), false}}, 11, start);
        directory.applyChanges({{entry("a", 9, 12), false}}, 12, start);
        const auto changes = directory.changesSince(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes->size());
        const auto changed = other.applyUpdate(directory.updateSince(10, start), start);
        CPPUNIT_ASSERT(changed.withdrawn == std::vector{UpstreamId("a", 7)});
        CPPUNIT_ASSERT(other.find(UpstreamId("a", 9)) != nullptr);
    }

    void tableKnowsNothingOfTheNextIncarnation()
    {
        UpstreamDirectory directory = known();
        UpstreamTable table(ZoneName("z"), {});
        table.connectionRefused(UpstreamId("a", 7), start);
        SelectionQuery query{ServiceName("s"), "m", {}};
        const std::vector<PromptPart> prompt{{1, 9000}, {2, 10}};
        query.prompt = prompt;
        const auto first = table.select(query, directory, start);
        table.sent(first->upstream, query, *first, start);
        directory.applyChanges({{entry("a", 8, 11), false}}, 11, start);
        table.removeUnlisted(directory);
        const auto next = table.select(query, directory, start);
        CPPUNIT_ASSERT(next->upstream == UpstreamId("a", 8));
        CPPUNIT_ASSERT_EQUAL(TokenCount{9010}, next->prefillTokens);
        CPPUNIT_ASSERT(table.load(next->upstream, start) == UpstreamLoad{});
    }

    /// Upstreams write to a registry, also late messages of earlier incarnations. One directory
    /// follows the registry, another one receives updates from the first now and then. Incarnations
    /// must not be mixed up, and both directories must agree in the end.
    void anyOrderOfStartsMessagesAndRemovals()
    {
        CPPUNIT_ASSERT(rc::check("any order", [](const std::vector<unsigned char> &steps) {
            constexpr std::array<const char *, 3> names{"a", "b", "c"};
            std::map<std::string, std::uint64_t> newest;
            UpstreamDirectory follower = known();
            UpstreamDirectory receiver = known();
            newest["a"] = 7;
            std::uint64_t revision = 10;
            for (const unsigned char step : steps) {
                const std::string name = names.at(step % names.size());
                ++revision;
                UpstreamChange change;
                const unsigned kind = step / 3 % 5;
                std::uint64_t &startedAt = newest[name];
                if (kind == 0)
                    startedAt = std::max<std::uint64_t>(startedAt, 7) + 1; // it restarts
                const std::uint64_t written =
                    kind == 1 && startedAt > 1 ? startedAt - 1 : startedAt; // a late message
                change.removed = kind == 2;
                change.entry = entry(name, written, revision, kind == 3);
                follower.applyChanges({change}, revision, start);
                if (step >= 128)
                    receiver.applyUpdate(follower.updateSince(receiver.revision(), start), start);
                for (const auto &[id, known] : follower.entries())
                    RC_ASSERT(id == known.id);
            }
            receiver.applyUpdate(follower.updateSince(receiver.revision(), start), start);
            RC_ASSERT(receiver.entries().size() == follower.entries().size());
            for (const auto &[id, known] : follower.entries()) {
                const UpstreamEntry *received = receiver.find(id);
                RC_ASSERT(received != nullptr && received->leaving == known.leaving);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamIncarnationsTest);

} // namespace reachlead
