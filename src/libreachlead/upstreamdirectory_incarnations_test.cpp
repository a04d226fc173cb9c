// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <array>
#include <map>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <reachlead/upstreamdirectory.h>
#include <reachlead/upstreamtable.h>

namespace reachlead {

/// Upstreams that start again under their names.
class UpstreamLivesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamLivesTest);
    CPPUNIT_TEST(nextLifeIsAnotherUpstream);
    CPPUNIT_TEST(earlierLifeIsNotHeldAfterAnOutage);
    CPPUNIT_TEST(lateWordOfAnEarlierLifeChangesNothing);
    CPPUNIT_TEST(removalEndsWhicheverLifeIsKnown);
    CPPUNIT_TEST(changesTellOfTheNewestLifeAlone);
    CPPUNIT_TEST(bookKnowsNothingOfTheNextLife);
    CPPUNIT_TEST(anyOrderOfStartsWordsAndLosses);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    static UpstreamEntry entry(const std::string &name, std::uint64_t born, std::uint64_t revision,
                               bool leaving = false)
    {
        UpstreamEntry made;
        made.id = UpstreamId(name, born);
        made.service = ServiceName("s");
        made.revision = revision;
        made.leaving = leaving;
        return made;
    }

    /// One upstream in its life 7, known since first contact at revision 10.
    static UpstreamDirectory known()
    {
        UpstreamDirectory made;
        made.regainedContact(start);
        made.replaceAll({entry("a", 7, 5)}, 10, start);
        return made;
    }

    void nextLifeIsAnotherUpstream()
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

    /// Were it held, calls would go to the next life, which may be leaving.
    void earlierLifeIsNotHeldAfterAnOutage()
    {
        UpstreamDirectory directory = known();
        directory.lostContact();
        directory.regainedContact(start + seconds(5));
        directory.replaceAll({entry("a", 8, 12, true)}, 12, start + seconds(5));
        CPPUNIT_ASSERT(directory.usableUpstreams(ServiceName("s")).empty());
        CPPUNIT_ASSERT(directory.missing().empty());
    }

    void lateWordOfAnEarlierLifeChangesNothing()
    {
        UpstreamDirectory directory = known();
        directory.applyChanges({{entry("a", 8, 11), false}}, 11, start);
        const auto changed = directory.applyChanges({{entry("a", 7, 12, true), false}}, 12, start);
        CPPUNIT_ASSERT(changed.withdrawn.empty());
        CPPUNIT_ASSERT(directory.find(UpstreamId("a", 8)) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usableUpstreams(ServiceName("s")).size());
    }

    void removalEndsWhicheverLifeIsKnown()
    {
        UpstreamDirectory directory = known();
        UpstreamChange removal;
        removal.removed = true;
        removal.entry.id = UpstreamId("a");
        const auto changed = directory.applyChanges({removal}, 11, start);
        CPPUNIT_ASSERT(changed.withdrawn == std::vector{UpstreamId("a", 7)});
        CPPUNIT_ASSERT(directory.entries().empty());
    }

    void changesTellOfTheNewestLifeAlone()
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

    void bookKnowsNothingOfTheNextLife()
    {
        UpstreamDirectory directory = known();
        UpstreamTable book(ZoneName("z"), {});
        book.connectionRefused(UpstreamId("a", 7), start);
        SelectionQuery ask{ServiceName("s"), "m", {}};
        const std::vector<PromptPart> prompt{{1, 9000}, {2, 10}};
        ask.prompt = prompt;
        const auto first = book.select(ask, directory, start);
        book.sent(first->upstream, ask, *first, start);
        directory.applyChanges({{entry("a", 8, 11), false}}, 11, start);
        book.removeUnlisted(directory);
        const auto next = book.select(ask, directory, start);
        CPPUNIT_ASSERT(next->upstream == UpstreamId("a", 8));
        CPPUNIT_ASSERT_EQUAL(TokenCount{9010}, next->prefillTokens);
        CPPUNIT_ASSERT(book.load(next->upstream, start) == UpstreamLoad{});
    }

    /// A registry that upstreams write to, also late words of earlier lives, and two directories of
    /// which one hears from the other now and then: neither ever uses a life that has ended for
    /// longer than an outage's grace, and both agree in the end.
    void anyOrderOfStartsWordsAndLosses()
    {
        CPPUNIT_ASSERT(rc::check("any order", [](const std::vector<unsigned char> &steps) {
            constexpr std::array<const char *, 3> names{"a", "b", "c"};
            std::map<std::string, std::uint64_t> newest;
            UpstreamDirectory follower = known();
            UpstreamDirectory hearer = known();
            newest["a"] = 7;
            std::uint64_t revision = 10;
            for (const unsigned char step : steps) {
                const std::string name = names.at(step % names.size());
                ++revision;
                UpstreamChange change;
                const unsigned kind = step / 3 % 5;
                std::uint64_t &born = newest[name];
                if (kind == 0)
                    born = std::max<std::uint64_t>(born, 7) + 1; // it starts again
                const std::uint64_t said = kind == 1 && born > 1 ? born - 1 : born; // a late word
                change.removed = kind == 2;
                change.entry = entry(name, said, revision, kind == 3);
                follower.applyChanges({change}, revision, start);
                if (step >= 128)
                    hearer.applyUpdate(follower.updateSince(hearer.revision(), start), start);
                for (const auto &[id, known] : follower.entries())
                    RC_ASSERT(id == known.id);
            }
            hearer.applyUpdate(follower.updateSince(hearer.revision(), start), start);
            RC_ASSERT(hearer.entries().size() == follower.entries().size());
            for (const auto &[id, known] : follower.entries()) {
                const UpstreamEntry *heard = hearer.find(id);
                RC_ASSERT(heard != nullptr && heard->leaving == known.leaving);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLivesTest);

} // namespace reachlead
