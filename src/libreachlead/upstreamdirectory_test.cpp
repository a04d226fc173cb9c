// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// The upstreams known while their registry changes, is unreachable and responds again.
class UpstreamDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamDirectoryTest);
    CPPUNIT_TEST(changesTakeEffectAtOnce);
    CPPUNIT_TEST(usableUpstreamsAreFoundByService);
    CPPUNIT_TEST(changesLeadToTheSameEntries);
    CPPUNIT_TEST(changesThatAreForgottenAreNotSent);
    CPPUNIT_TEST(olderListChangesNothing);
    CPPUNIT_TEST(olderPageDoesNotUndoAChange);
    CPPUNIT_TEST(entriesThatLapsedInAnOutageAreKept);
    CPPUNIT_TEST(entriesStillMissingAfterTheGraceAreRemoved);
    CPPUNIT_TEST(leavingEntriesAreNotHeld);
    CPPUNIT_TEST(firstContactHoldsNothing);
    CPPUNIT_TEST(sameRegistryAtAnotherRevisionIsNotSent);
    CPPUNIT_TEST(departureBehindAnEqualDigestIsNotLost);
    CPPUNIT_TEST(heldEntriesAreSentSeparately);
    CPPUNIT_TEST(heldEntryOfAnotherIsNotAddedWithChanges);
    CPPUNIT_TEST(departureSeenAfterTheFirstAnswerIsNotHeld);
    CPPUNIT_TEST(heldEntryIsNotPartOfALaterRevision);
    CPPUNIT_TEST(holdIsNotExtendedByForwarding);
    CPPUNIT_TEST(changesAreNotSentAcrossAList);
    CPPUNIT_TEST(removalOfTheUnknownIsForwarded);
    CPPUNIT_TEST(versionsAreRememberedAfterTheirUpstreams);
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

    /// A directory that knows two upstreams since first contact at revision 10.
    static UpstreamDirectory known()
    {
        UpstreamDirectory made;
        made.regainedContact(start);
        made.replaceAll({entry("a", 5), entry("b", 6)}, 10, start);
        return made;
    }

    void versionsAreRememberedAfterTheirUpstreams()
    {
        const ServiceName service("s");
        UpstreamEntry first = entry("a", 5);
        first.softwareVersion = SoftwareVersion("v1");
        UpstreamEntry second = entry("b", 6);
        second.softwareVersion = SoftwareVersion("v2");
        UpstreamDirectory directory;
        directory.replaceAll({first}, 5, start);
        directory.applyChanges({{second, false}, removal("a")}, 6, start + seconds(60));
        const std::set both{SoftwareVersion("v1"), SoftwareVersion("v2")};
        CPPUNIT_ASSERT(directory.recentVersions(service) == both);
        for (int n = 0; n < 13; ++n)
            directory.expire(start + seconds(60 + 10 * n));
        CPPUNIT_ASSERT(directory.recentVersions(service) == std::set{SoftwareVersion("v2")});
        CPPUNIT_ASSERT(directory.recentVersions(ServiceName("other")).empty());
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

    /// One directory follows the registry, another one receives only the changes of the first now
    /// and then. Both must have the same entries.
    void changesLeadToTheSameEntries()
    {
        CPPUNIT_ASSERT(rc::check("any changes", [](const std::vector<unsigned char> &steps) {
            UpstreamDirectory sender = known();
            UpstreamDirectory receiver = known();
            std::uint64_t revision = 10;
            for (const unsigned char step : steps) {
                const std::string id(1, static_cast<char>('a' + step % 5));
                ++revision;
                const UpstreamChange change = step % 3 == 0
                    ? removal(id)
                    : UpstreamChange{entry(id, revision, step % 3 == 1), false};
                sender.applyChanges({change}, revision, start);
                if (step < 128)
                    continue;
                const auto changes = sender.changesSince(receiver.revision());
                RC_ASSERT(changes.has_value());
                receiver.applyChanges(*changes, sender.revision(), start);
            }
            receiver.applyChanges(*sender.changesSince(receiver.revision()), sender.revision(),
                                  start);
            RC_ASSERT(receiver.entries().size() == sender.entries().size());
            for (const auto &[id, entry] : sender.entries()) {
                const UpstreamEntry *received = receiver.find(id);
                RC_ASSERT(received != nullptr);
                RC_ASSERT(received->leaving == entry.leaving
                          && received->revision == entry.revision);
            }
        }));
    }

    void changesThatAreForgottenAreNotSent()
    {
        UpstreamDirectory directory = known();
        CPPUNIT_ASSERT(!directory.changesSince(9)); // the list at 10 does not show earlier changes
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
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, directory.revision().number);
    }

    void olderPageDoesNotUndoAChange()
    {
        UpstreamDirectory directory = known();
        directory.applyChanges({{entry("a", 12, true), false}}, 12, start);
        directory.replaceAll({entry("a", 5), entry("b", 6)}, 12, start);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a"))->leaving);
    }

    void entriesThatLapsedInAnOutageAreKept()
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

    void entriesStillMissingAfterTheGraceAreRemoved()
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

    void leavingEntriesAreNotHeld()
    {
        UpstreamDirectory directory = known();
        directory.applyChanges({{entry("a", 11, true), false}}, 11, start);
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.applyChanges({removal("a")}, 20, start + seconds(9));
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
    }

    void firstContactHoldsNothing()
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

    /// Gateways that list an unchanged registry at different revisions send each other no entries.
    void sameRegistryAtAnotherRevisionIsNotSent()
    {
        UpstreamDirectory sender;
        sender.regainedContact(start);
        sender.replaceAll({entry("a", 5), entry("b", 6)}, 30, start);
        UpstreamDirectory receiver;
        receiver.replaceAll({entry("a", 5), entry("b", 6)}, 20, start);
        const RegistryUpdate same = sender.updateSince(20, start, receiver.digest());
        CPPUNIT_ASSERT(!same.snapshot && same.changes.empty());
        receiver.applyUpdate(same, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, receiver.revision().number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, receiver.entries().size());
        UpstreamDirectory other;
        other.replaceAll({entry("a", 5), entry("b", 7)}, 20, start);
        CPPUNIT_ASSERT(sender.updateSince(20, start, other.digest()).snapshot.has_value());
        UpstreamDirectory fewer;
        fewer.replaceAll({entry("a", 5)}, 20, start);
        CPPUNIT_ASSERT(sender.updateSince(20, start, fewer.digest()).snapshot.has_value());
        // A directory that knows nothing receives the whole list, even if that has no entries.
        UpstreamDirectory empty;
        empty.replaceAll({}, 30, start);
        CPPUNIT_ASSERT(
            empty.updateSince(0, start, UpstreamDirectory().digest()).snapshot.has_value());
    }

    /// A gateway took over a later revision as its digest was the peer's, without the changes in
    /// between. To one that had missed a departure among these, it then sent no changes.
    void departureBehindAnEqualDigestIsNotLost()
    {
        UpstreamDirectory lister;
        lister.replaceAll({entry("a", 5)}, 30, start); // "b" came and left
        UpstreamDirectory between;
        between.replaceAll({entry("a", 5)}, 10, start);
        between.applyUpdate(lister.updateSince(10, start, between.digest()), start);
        UpstreamDirectory behind;
        behind.replaceAll({entry("a", 5), entry("b", 15)}, 20, start);
        behind.applyUpdate(between.updateSince(20, start, behind.digest()), start);
        CPPUNIT_ASSERT(behind.find(UpstreamId("b")) == nullptr);
    }

    void heldEntriesAreSentSeparately()
    {
        const Time regained = start + seconds(9);
        const UpstreamDirectory sender = holding(regained);
        const Time later = regained + milliseconds(500);
        for (const std::uint64_t revision : {std::uint64_t{10}, std::uint64_t{3}}) {
            const RegistryUpdate update = sender.updateSince(revision, later);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.held.size());
            CPPUNIT_ASSERT_EQUAL(std::int32_t{1500}, update.held.front().leftMs);
            UpstreamDirectory receiver = revision == 3 ? UpstreamDirectory() : known();
            receiver.applyUpdate(update, later);
            CPPUNIT_ASSERT(receiver.find(UpstreamId("a")) != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, receiver.registered().size());
            CPPUNIT_ASSERT(receiver.expire(later + milliseconds(1499)).withdrawn.empty());
            receiver.expire(later + milliseconds(1500));
            CPPUNIT_ASSERT(receiver.find(UpstreamId("a")) == nullptr);
            CPPUNIT_ASSERT(receiver.find(UpstreamId("b")) != nullptr);
        }
    }

    /// With changes, a directory continues to use only its own entries: an entry that another one
    /// holds and that is unknown or leaving here is not added.
    void heldEntryOfAnotherIsNotAddedWithChanges()
    {
        const Time regained = start + seconds(9);
        const RegistryUpdate update = holding(regained).updateSince(10, regained);
        UpstreamDirectory without;
        without.regainedContact(start);
        without.replaceAll({entry("b", 6)}, 10, start);
        without.applyUpdate(update, regained);
        CPPUNIT_ASSERT(without.find(UpstreamId("a")) == nullptr);
        CPPUNIT_ASSERT(without.missing().empty());
        UpstreamDirectory withLeaving = known();
        withLeaving.applyChanges({{entry("a", 11, true), false}}, 11, start);
        withLeaving.applyUpdate(update, regained);
        CPPUNIT_ASSERT(withLeaving.find(UpstreamId("a")) == nullptr);
    }

    void departureSeenAfterTheFirstAnswerIsNotHeld()
    {
        UpstreamDirectory directory = known();
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.applyChanges({}, 12, start + seconds(9)); // nothing changed in the outage
        const auto changed = directory.applyChanges({removal("a")}, 13, start + milliseconds(9400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.withdrawn.size());
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
    }

    /// An upstream departs at revision 39. One gateway still holds it after its own outage and
    /// sends revision 40 to another gateway, which must not use the upstream past the grace time.
    void heldEntryIsNotPartOfALaterRevision()
    {
        const Time regained = start + seconds(9);
        UpstreamDirectory sender = known();
        UpstreamDirectory receiver = known();
        sender.lostContact();
        sender.regainedContact(regained);
        sender.applyChanges({removal("a")}, 39, regained);
        sender.applyChanges({{entry("c", 40), false}}, 40, regained + milliseconds(100));
        receiver.applyUpdate(sender.updateSince(10, regained + milliseconds(200)),
                             regained + milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, receiver.revision().number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, receiver.registered().size());
        receiver.expire(regained + UpstreamDirectory::reregistrationGrace);
        CPPUNIT_ASSERT(receiver.find(UpstreamId("a")) == nullptr);
    }

    void holdIsNotExtendedByForwarding()
    {
        const Time regained = start + seconds(9);
        UpstreamDirectory sender = holding(regained);
        Time now = regained;
        for (int hop = 0; hop < 10; ++hop) {
            now += milliseconds(150);
            UpstreamDirectory receiver = known();
            receiver.applyUpdate(sender.updateSince(10, now), now);
            sender = std::move(receiver);
        }
        sender.expire(regained + UpstreamDirectory::reregistrationGrace);
        CPPUNIT_ASSERT(sender.find(UpstreamId("a")) == nullptr);
    }

    /// An entry is added and removed between two lists of one gateway, but known to another one,
    /// which would keep it if it received only changes.
    void changesAreNotSentAcrossAList()
    {
        UpstreamDirectory sender = known();
        UpstreamDirectory receiver = known();
        receiver.applyChanges({{entry("c", 11), false}}, 11, start);
        sender.replaceAll({entry("a", 5), entry("b", 6)}, 12, start);
        receiver.applyUpdate(sender.updateSince(11, start), start);
        CPPUNIT_ASSERT(receiver.find(UpstreamId("c")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, receiver.entries().size());
    }

    /// An entry is added and removed between two updates to one gateway, but known to another one:
    /// the first must forward the removal of an entry that it never knew.
    void removalOfTheUnknownIsForwarded()
    {
        UpstreamDirectory first = known();
        UpstreamDirectory second = known();
        UpstreamDirectory third = known();
        first.applyChanges({{entry("c", 11), false}}, 11, start);
        third.applyUpdate(first.updateSince(10, start), start);
        first.applyChanges({removal("c")}, 12, start);
        second.applyUpdate(first.updateSince(10, start), start);
        third.applyUpdate(second.updateSince(11, start), start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, third.revision().number);
        CPPUNIT_ASSERT(third.find(UpstreamId("c")) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamDirectoryTest);

} // namespace reachlead
