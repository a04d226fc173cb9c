// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// What is believed of the upstreams while their registry changes, is away, and comes back.
class UpstreamDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamDirectoryTest);
    CPPUNIT_TEST(changesTakeEffectAtOnce);
    CPPUNIT_TEST(usableUpstreamsAreFoundByService);
    CPPUNIT_TEST(changesLeadToTheSameEntries);
    CPPUNIT_TEST(changesThatAreForgottenAreNotTold);
    CPPUNIT_TEST(olderListChangesNothing);
    CPPUNIT_TEST(olderPageDoesNotUndoAChange);
    CPPUNIT_TEST(entriesThatLapsedWithTheRegistryAreKept);
    CPPUNIT_TEST(entriesStillMissingAfterTheGraceAreGone);
    CPPUNIT_TEST(leavingEntriesAreNotHeldBack);
    CPPUNIT_TEST(firstContactHoldsNothingBack);
    CPPUNIT_TEST(sameRegistryAtAnotherRevisionIsNotSent);
    CPPUNIT_TEST(heldEntriesAreToldApart);
    CPPUNIT_TEST(heldEntryOfAnotherIsNotTakenWithChanges);
    CPPUNIT_TEST(departureSeenAfterTheFirstAnswerIsNotHeld);
    CPPUNIT_TEST(whatIsHeldIsNotTakenForALaterRevision);
    CPPUNIT_TEST(holdIsNotMadeLongerByBeingTold);
    CPPUNIT_TEST(changesAreNotToldAcrossAList);
    CPPUNIT_TEST(removalOfTheUnknownIsToldOn);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    static UpstreamEntry entry(const std::string &id, std::uint64_t revision, bool leaving = false)
    {
        UpstreamEntry made;
        made.id = UpstreamId(id);
        made.service = ServiceName("s");
        made.revision = revision;
        made.leaving = leaving;
        return made;
    }

    static UpstreamChange removal(const std::string &id) { return {entry(id, 0), true}; }

    /// Two upstreams, known since first contact at revision 10.
    static UpstreamDirectory known()
    {
        UpstreamDirectory made;
        made.regainedContact(start);
        made.replaceAll({entry("a", 5), entry("b", 6)}, 10, start);
        return made;
    }

    void changesTakeEffectAtOnce()
    {
        UpstreamDirectory directory = known();
        const auto changed =
            directory.applyChanges({removal("a"), {entry("b", 11, true), false}}, 11, start);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
        CPPUNIT_ASSERT(directory.find(UpstreamId("b"))->leaving);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changed.withdrawn.size());
    }

    void usableUpstreamsAreFoundByService()
    {
        UpstreamDirectory directory = known();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.usableUpstreams(ServiceName("s")).size());
        CPPUNIT_ASSERT(directory.usableUpstreams(ServiceName("other")).empty());
        UpstreamEntry other = entry("c", 11);
        other.service = ServiceName("other");
        directory.applyChanges({{other, false}, {entry("b", 11, true), false}}, 11, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usableUpstreams(ServiceName("s")).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             directory.usableUpstreams(ServiceName("other")).size());
        directory.applyChanges({removal("a")}, 12, start);
        CPPUNIT_ASSERT(directory.usableUpstreams(ServiceName("s")).empty());
    }

    /// Two directories that hear the same, one of them now and then by the other's changes alone.
    void changesLeadToTheSameEntries()
    {
        CPPUNIT_ASSERT(rc::check("any changes", [](const std::vector<unsigned char> &steps) {
            UpstreamDirectory teller = known();
            UpstreamDirectory hearer = known();
            std::uint64_t revision = 10;
            for (const unsigned char step : steps) {
                const std::string id(1, static_cast<char>('a' + step % 5));
                ++revision;
                const UpstreamChange change = step % 3 == 0
                    ? removal(id)
                    : UpstreamChange{entry(id, revision, step % 3 == 1), false};
                teller.applyChanges({change}, revision, start);
                if (step < 128)
                    continue;
                const auto changes = teller.changesSince(hearer.revision());
                RC_ASSERT(changes.has_value());
                hearer.applyChanges(*changes, teller.revision(), start);
            }
            hearer.applyChanges(*teller.changesSince(hearer.revision()), teller.revision(), start);
            RC_ASSERT(hearer.entries().size() == teller.entries().size());
            for (const auto &[id, entry] : teller.entries()) {
                const UpstreamEntry *heard = hearer.find(id);
                RC_ASSERT(heard != nullptr);
                RC_ASSERT(heard->leaving == entry.leaving && heard->revision == entry.revision);
            }
        }));
    }

    void changesThatAreForgottenAreNotTold()
    {
        UpstreamDirectory directory = known();
        CPPUNIT_ASSERT(
            !directory.changesSince(9)); // the list at 10 says nothing of what was before
        CPPUNIT_ASSERT(directory.changesSince(10)->empty());
        for (std::uint64_t n = 0; n <= UpstreamDirectory::maxLoggedChanges; ++n)
            directory.applyChanges({{entry("a", 11 + n), false}}, 11 + n, start);
        CPPUNIT_ASSERT(!directory.changesSince(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.changesSince(11)->size());
    }

    void olderListChangesNothing()
    {
        UpstreamDirectory directory = known();
        directory.applyChanges({removal("a")}, 12, start);
        directory.replaceAll({entry("a", 5), entry("b", 6)}, 11, start);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, directory.revision());
    }

    void olderPageDoesNotUndoAChange()
    {
        UpstreamDirectory directory = known();
        directory.applyChanges({{entry("a", 12, true), false}}, 12, start);
        directory.replaceAll({entry("a", 5), entry("b", 6)}, 12, start);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a"))->leaving);
    }

    void entriesThatLapsedWithTheRegistryAreKept()
    {
        UpstreamDirectory directory = known();
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.applyChanges({removal("a"), removal("b")}, 20, start + seconds(9));
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) != nullptr);
        directory.applyChanges({{entry("a", 21), false}}, 21, start + seconds(10));
        directory.expire(start + seconds(9) + UpstreamDirectory::reregistrationGrace);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) != nullptr);
    }

    void entriesStillMissingAfterTheGraceAreGone()
    {
        UpstreamDirectory directory = known();
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.replaceAll({entry("b", 6)}, 20, start + seconds(9));
        const Time due = start + seconds(9) + UpstreamDirectory::reregistrationGrace;
        CPPUNIT_ASSERT(directory.expire(due - milliseconds(1)).withdrawn.empty());
        const auto changed = directory.expire(due);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.withdrawn.size());
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
        // After the grace a removal takes effect at once again.
        directory.applyChanges({removal("b")}, 21, due);
        CPPUNIT_ASSERT(directory.entries().empty());
    }

    void leavingEntriesAreNotHeldBack()
    {
        UpstreamDirectory directory = known();
        directory.applyChanges({{entry("a", 11, true), false}}, 11, start);
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.applyChanges({removal("a")}, 20, start + seconds(9));
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
    }

    void firstContactHoldsNothingBack()
    {
        UpstreamDirectory directory = known();
        directory.applyChanges({removal("a")}, 11, start + milliseconds(1));
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
    }

    /// A directory that holds "a" since an outage which ended at \p regained, at revision 20.
    static UpstreamDirectory holding(Time regained)
    {
        UpstreamDirectory made = known();
        made.lostContact();
        made.regainedContact(regained);
        made.applyChanges({removal("a")}, 20, regained);
        return made;
    }

    /// Gateways that list an unchanged registry at different revisions have nothing to tell.
    void sameRegistryAtAnotherRevisionIsNotSent()
    {
        UpstreamDirectory teller;
        teller.regainedContact(start);
        teller.replaceAll({entry("a", 5), entry("b", 6)}, 30, start);
        UpstreamDirectory hearer;
        hearer.replaceAll({entry("a", 5), entry("b", 6)}, 20, start);
        const RegistryUpdate same = teller.updateSince(20, start, hearer.digest());
        CPPUNIT_ASSERT(!same.snapshot && same.changes.empty());
        hearer.applyUpdate(same, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, hearer.revision());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hearer.entries().size());
        UpstreamDirectory other;
        other.replaceAll({entry("a", 5), entry("b", 7)}, 20, start);
        CPPUNIT_ASSERT(teller.updateSince(20, start, other.digest()).snapshot.has_value());
        UpstreamDirectory fewer;
        fewer.replaceAll({entry("a", 5)}, 20, start);
        CPPUNIT_ASSERT(teller.updateSince(20, start, fewer.digest()).snapshot.has_value());
        // One that knows nothing lacks the registry, also where that has no entries.
        UpstreamDirectory empty;
        empty.replaceAll({}, 30, start);
        CPPUNIT_ASSERT(
            empty.updateSince(0, start, UpstreamDirectory().digest()).snapshot.has_value());
    }

    void heldEntriesAreToldApart()
    {
        const Time regained = start + seconds(9);
        const UpstreamDirectory teller = holding(regained);
        const Time later = regained + milliseconds(500);
        for (const std::uint64_t revision : {std::uint64_t{10}, std::uint64_t{3}}) {
            const RegistryUpdate news = teller.updateSince(revision, later);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.held.size());
            CPPUNIT_ASSERT_EQUAL(std::int32_t{1500}, news.held.front().leftMs);
            UpstreamDirectory hearer = revision == 3 ? UpstreamDirectory() : known();
            hearer.applyUpdate(news, later);
            CPPUNIT_ASSERT(hearer.find(UpstreamId("a")) != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hearer.registered().size());
            CPPUNIT_ASSERT(hearer.expire(later + milliseconds(1499)).withdrawn.empty());
            hearer.expire(later + milliseconds(1500));
            CPPUNIT_ASSERT(hearer.find(UpstreamId("a")) == nullptr);
            CPPUNIT_ASSERT(hearer.find(UpstreamId("b")) != nullptr);
        }
    }

    /// With changes, a directory goes on using only what it used itself: an entry that another one
    /// holds and that is unknown here, or is leaving here, is not taken up.
    void heldEntryOfAnotherIsNotTakenWithChanges()
    {
        const Time regained = start + seconds(9);
        const RegistryUpdate news = holding(regained).updateSince(10, regained);
        UpstreamDirectory without;
        without.regainedContact(start);
        without.replaceAll({entry("b", 6)}, 10, start);
        without.applyUpdate(news, regained);
        CPPUNIT_ASSERT(without.find(UpstreamId("a")) == nullptr);
        CPPUNIT_ASSERT(without.missing().empty());
        UpstreamDirectory leaves = known();
        leaves.applyChanges({{entry("a", 11, true), false}}, 11, start);
        leaves.applyUpdate(news, regained);
        CPPUNIT_ASSERT(leaves.find(UpstreamId("a")) == nullptr);
    }

    void departureSeenAfterTheFirstAnswerIsNotHeld()
    {
        UpstreamDirectory directory = known();
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.applyChanges({}, 12, start + seconds(9)); // nothing was missed
        const auto changed = directory.applyChanges({removal("a")}, 13, start + milliseconds(9400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.withdrawn.size());
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
    }

    /// An upstream leaves at 39, while one gateway still holds it after an outage of its own and
    /// another one hears of 40 from that one alone.
    void whatIsHeldIsNotTakenForALaterRevision()
    {
        const Time regained = start + seconds(9);
        UpstreamDirectory teller = known();
        UpstreamDirectory hearer = known();
        teller.lostContact();
        teller.regainedContact(regained);
        teller.applyChanges({removal("a")}, 39, regained);
        teller.applyChanges({{entry("c", 40), false}}, 40, regained + milliseconds(100));
        hearer.applyUpdate(teller.updateSince(10, regained + milliseconds(200)),
                           regained + milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, hearer.revision());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hearer.registered().size());
        hearer.expire(regained + UpstreamDirectory::reregistrationGrace);
        CPPUNIT_ASSERT(hearer.find(UpstreamId("a")) == nullptr);
    }

    void holdIsNotMadeLongerByBeingTold()
    {
        const Time regained = start + seconds(9);
        UpstreamDirectory teller = holding(regained);
        Time now = regained;
        for (int hop = 0; hop < 10; ++hop) {
            now += milliseconds(150);
            UpstreamDirectory hearer = known();
            hearer.applyUpdate(teller.updateSince(10, now), now);
            teller = std::move(hearer);
        }
        teller.expire(regained + UpstreamDirectory::reregistrationGrace);
        CPPUNIT_ASSERT(teller.find(UpstreamId("a")) == nullptr);
    }

    /// An entry comes and goes between two lists of one gateway; another one knows it.
    void changesAreNotToldAcrossAList()
    {
        UpstreamDirectory teller = known();
        UpstreamDirectory hearer = known();
        hearer.applyChanges({{entry("c", 11), false}}, 11, start);
        teller.replaceAll({entry("a", 5), entry("b", 6)}, 12, start);
        hearer.applyUpdate(teller.updateSince(11, start), start);
        CPPUNIT_ASSERT(hearer.find(UpstreamId("c")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hearer.entries().size());
    }

    /// An entry comes and goes between two changes that one gateway is told; another one knows it.
    void removalOfTheUnknownIsToldOn()
    {
        UpstreamDirectory first = known();
        UpstreamDirectory second = known();
        UpstreamDirectory third = known();
        first.applyChanges({{entry("c", 11), false}}, 11, start);
        third.applyUpdate(first.updateSince(10, start), start);
        first.applyChanges({removal("c")}, 12, start);
        second.applyUpdate(first.updateSince(10, start), start);
        third.applyUpdate(second.updateSince(11, start), start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, third.revision());
        CPPUNIT_ASSERT(third.find(UpstreamId("c")) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamDirectoryTest);

} // namespace reachlead
