// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <array>
#include <map>
#include <ranges>
#include <tuple>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <reachlead/upstreamdirectory.h>

namespace reachlead {

namespace {

/// A registry with its history, and the directories of some gateways that ask it and each other in
/// any order.
class DirectoryFleet
{
public:
    static constexpr std::size_t gateways = 3;

    DirectoryFleet()
    {
        for (UpstreamDirectory &it : m_directories) {
            it.regainedContact(m_now);
            it.replaceAll(registryNow(), m_revision, m_now);
        }
    }

    /// One step of what may happen; \p who and \p with are gateways, \p which an upstream.
    void step(unsigned kind, unsigned who, unsigned with, unsigned which)
    {
        using Step = void (DirectoryFleet::*)(std::size_t, std::size_t, unsigned);
        static constexpr std::array<Step, 9> steps{
            &DirectoryFleet::write, &DirectoryFleet::leave, &DirectoryFleet::depart,
            &DirectoryFleet::cut,   &DirectoryFleet::mend,  &DirectoryFleet::follow,
            &DirectoryFleet::list,  &DirectoryFleet::tell,  &DirectoryFleet::pass};
        (this->*steps[kind % steps.size()])(who % gateways, with % gateways, which % 5);
        for (UpstreamDirectory &it : m_directories)
            it.expire(m_now);
    }

    /// True when each directory's view is the registry's at its revision.
    bool viewsAreTrue() const
    {
        return std::ranges::all_of(m_directories, [&](const UpstreamDirectory &it) {
            const auto view = it.registered();
            const auto &truth = m_history.at(it.revision());
            return std::ranges::equal(view, truth, [](const auto &a, const auto &b) {
                return a.id == b.id && a.revision == b.revision && a.leaving == b.leaving;
            });
        });
    }

    /// True when none uses an upstream past the bound after a gateway in touch saw it leave, but
    /// for what a gateway holds after an outage of its own: that ends as long after the outage's
    /// end.
    bool noneUsesTheDeparted() const
    {
        return std::ranges::all_of(m_directories, [&](const UpstreamDirectory &it) {
            return std::ranges::all_of(m_seenGone, [&](const auto &gone) {
                const auto &[id, seen] = gone;
                const bool knows = it.revision() >= seen.revision;
                return !knows || it.find(id) == nullptr
                    || m_now < std::max(seen.at, m_lastMend) + UpstreamDirectory::returnGrace;
            });
        });
    }

private:
    struct Seen
    {
        std::uint64_t revision = 0;
        Time at;
    };

    static UpstreamId idOf(unsigned which) { return UpstreamId(std::to_string(which)); }

    std::vector<UpstreamEntry> registryNow() const
    {
        std::vector<UpstreamEntry> all;
        std::ranges::copy(m_registry | std::views::values, std::back_inserter(all));
        return all;
    }

    void note(const UpstreamChange &change)
    {
        ++m_revision;
        if (change.removed) {
            m_registry.erase(change.entry.id);
        } else {
            m_registry[change.entry.id] = change.entry;
            m_registry[change.entry.id].revision = m_revision;
        }
        UpstreamChange logged = change;
        logged.entry.revision = m_revision;
        m_log.emplace_back(m_revision, logged);
        m_history[m_revision] = registryNow();
    }

    void write(std::size_t /*who*/, std::size_t /*with*/, unsigned which)
    {
        UpstreamChange change;
        change.entry.id = idOf(which);
        change.entry.service = ServiceName("s");
        m_seenGone.erase(change.entry.id);
        note(change);
    }

    void leave(std::size_t /*who*/, std::size_t /*with*/, unsigned which)
    {
        const auto it = m_registry.find(idOf(which));
        if (it == m_registry.end())
            return;
        UpstreamChange change{it->second, false};
        change.entry.leaving = true;
        note(change);
    }

    void depart(std::size_t /*who*/, std::size_t /*with*/, unsigned which)
    {
        UpstreamChange change;
        change.entry.id = idOf(which);
        change.removed = true;
        if (m_registry.contains(change.entry.id))
            note(change);
    }

    void cut(std::size_t who, std::size_t /*with*/, unsigned /*which*/)
    {
        m_directories.at(who).lostContact();
    }

    void mend(std::size_t who, std::size_t /*with*/, unsigned /*which*/)
    {
        if (!m_directories.at(who).inContact())
            m_lastMend = m_now;
        m_directories.at(who).regainedContact(m_now);
    }

    void follow(std::size_t who, std::size_t /*with*/, unsigned /*which*/)
    {
        UpstreamDirectory &it = m_directories.at(who);
        if (!it.inContact())
            return;
        std::vector<UpstreamChange> changes;
        for (const auto &[revision, change] : m_log) {
            if (revision > it.revision())
                changes.push_back(change);
        }
        const auto changed = it.apply(changes, m_revision, m_now);
        noteSeen(changed.left);
    }

    void list(std::size_t who, std::size_t /*with*/, unsigned /*which*/)
    {
        UpstreamDirectory &it = m_directories.at(who);
        if (it.inContact())
            noteSeen(it.replaceAll(registryNow(), m_revision, m_now).left);
    }

    void tell(std::size_t who, std::size_t with, unsigned /*which*/)
    {
        UpstreamDirectory &hearer = m_directories.at(who);
        hearer.take(m_directories.at(with).newsSince(hearer.revision(), m_now), m_now);
    }

    void pass(std::size_t /*who*/, std::size_t /*with*/, unsigned which)
    {
        m_now += milliseconds(300 * (which + 1));
    }

    /// A gateway that the registry answers saw these leave.
    void noteSeen(const std::vector<UpstreamId> &left)
    {
        for (const UpstreamId &id : left) {
            if (!m_registry.contains(id))
                m_seenGone.try_emplace(id, Seen{m_revision, m_now});
        }
    }

    Time m_now{seconds(100)};
    Time m_lastMend{}; ///< when an outage of a gateway last ended
    std::uint64_t m_revision = 1;
    std::map<UpstreamId, UpstreamEntry> m_registry;
    std::vector<std::pair<std::uint64_t, UpstreamChange>> m_log;
    std::map<std::uint64_t, std::vector<UpstreamEntry>> m_history{{1, {}}};
    std::map<UpstreamId, Seen> m_seenGone;
    std::array<UpstreamDirectory, gateways> m_directories;
};

} // namespace

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
    CPPUNIT_TEST(heldEntriesAreToldApart);
    CPPUNIT_TEST(departureSeenAfterTheFirstAnswerIsNotHeld);
    CPPUNIT_TEST(whatIsHeldIsNotTakenForALaterRevision);
    CPPUNIT_TEST(holdIsNotMadeLongerByBeingTold);
    CPPUNIT_TEST(changesAreNotToldAcrossAList);
    CPPUNIT_TEST(removalOfTheUnknownIsToldOn);
    CPPUNIT_TEST(anyInterleavingKeepsViewsTrue);
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
            directory.apply({removal("a"), {entry("b", 11, true), false}}, 11, start);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
        CPPUNIT_ASSERT(directory.find(UpstreamId("b"))->leaving);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changed.left.size());
    }

    void usableUpstreamsAreFoundByService()
    {
        UpstreamDirectory directory = known();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.usableOf(ServiceName("s")).size());
        CPPUNIT_ASSERT(directory.usableOf(ServiceName("other")).empty());
        UpstreamEntry other = entry("c", 11);
        other.service = ServiceName("other");
        directory.apply({{other, false}, {entry("b", 11, true), false}}, 11, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usableOf(ServiceName("s")).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.usableOf(ServiceName("other")).size());
        directory.apply({removal("a")}, 12, start);
        CPPUNIT_ASSERT(directory.usableOf(ServiceName("s")).empty());
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
                teller.apply({change}, revision, start);
                if (step < 128)
                    continue;
                const auto changes = teller.changesSince(hearer.revision());
                RC_ASSERT(changes.has_value());
                hearer.apply(*changes, teller.revision(), start);
            }
            hearer.apply(*teller.changesSince(hearer.revision()), teller.revision(), start);
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
        for (std::uint64_t n = 0; n <= UpstreamDirectory::mostLogged; ++n)
            directory.apply({{entry("a", 11 + n), false}}, 11 + n, start);
        CPPUNIT_ASSERT(!directory.changesSince(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.changesSince(11)->size());
    }

    void olderListChangesNothing()
    {
        UpstreamDirectory directory = known();
        directory.apply({removal("a")}, 12, start);
        directory.replaceAll({entry("a", 5), entry("b", 6)}, 11, start);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, directory.revision());
    }

    void olderPageDoesNotUndoAChange()
    {
        UpstreamDirectory directory = known();
        directory.apply({{entry("a", 12, true), false}}, 12, start);
        directory.replaceAll({entry("a", 5), entry("b", 6)}, 12, start);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a"))->leaving);
    }

    void entriesThatLapsedWithTheRegistryAreKept()
    {
        UpstreamDirectory directory = known();
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.apply({removal("a"), removal("b")}, 20, start + seconds(9));
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) != nullptr);
        directory.apply({{entry("a", 21), false}}, 21, start + seconds(10));
        directory.expire(start + seconds(9) + UpstreamDirectory::returnGrace);
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) != nullptr);
    }

    void entriesStillMissingAfterTheGraceAreGone()
    {
        UpstreamDirectory directory = known();
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.replaceAll({entry("b", 6)}, 20, start + seconds(9));
        const Time due = start + seconds(9) + UpstreamDirectory::returnGrace;
        CPPUNIT_ASSERT(directory.expire(due - milliseconds(1)).left.empty());
        const auto changed = directory.expire(due);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.left.size());
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
        // After the grace a removal takes effect at once again.
        directory.apply({removal("b")}, 21, due);
        CPPUNIT_ASSERT(directory.entries().empty());
    }

    void leavingEntriesAreNotHeldBack()
    {
        UpstreamDirectory directory = known();
        directory.apply({{entry("a", 11, true), false}}, 11, start);
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.apply({removal("a")}, 20, start + seconds(9));
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
    }

    void firstContactHoldsNothingBack()
    {
        UpstreamDirectory directory = known();
        directory.apply({removal("a")}, 11, start + milliseconds(1));
        CPPUNIT_ASSERT(directory.find(UpstreamId("a")) == nullptr);
    }

    /// A directory that holds "a" since an outage which ended at \p regained, at revision 20.
    static UpstreamDirectory holding(Time regained)
    {
        UpstreamDirectory made = known();
        made.lostContact();
        made.regainedContact(regained);
        made.apply({removal("a")}, 20, regained);
        return made;
    }

    void heldEntriesAreToldApart()
    {
        const Time regained = start + seconds(9);
        const UpstreamDirectory teller = holding(regained);
        const Time later = regained + milliseconds(500);
        for (const std::uint64_t revision : {std::uint64_t{10}, std::uint64_t{3}}) {
            const RegistryNews news = teller.newsSince(revision, later);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, news.held.size());
            CPPUNIT_ASSERT_EQUAL(std::int32_t{1500}, news.held.front().leftMs);
            UpstreamDirectory hearer = revision == 3 ? UpstreamDirectory() : known();
            hearer.take(news, later);
            CPPUNIT_ASSERT(hearer.find(UpstreamId("a")) != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hearer.registered().size());
            CPPUNIT_ASSERT(hearer.expire(later + milliseconds(1499)).left.empty());
            hearer.expire(later + milliseconds(1500));
            CPPUNIT_ASSERT(hearer.find(UpstreamId("a")) == nullptr);
            CPPUNIT_ASSERT(hearer.find(UpstreamId("b")) != nullptr);
        }
    }

    void departureSeenAfterTheFirstAnswerIsNotHeld()
    {
        UpstreamDirectory directory = known();
        directory.lostContact();
        directory.regainedContact(start + seconds(9));
        directory.apply({}, 12, start + seconds(9)); // nothing was missed
        const auto changed = directory.apply({removal("a")}, 13, start + milliseconds(9400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.left.size());
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
        teller.apply({removal("a")}, 39, regained);
        teller.apply({{entry("c", 40), false}}, 40, regained + milliseconds(100));
        hearer.take(teller.newsSince(10, regained + milliseconds(200)),
                    regained + milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, hearer.revision());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hearer.registered().size());
        hearer.expire(regained + UpstreamDirectory::returnGrace);
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
            hearer.take(teller.newsSince(10, now), now);
            teller = std::move(hearer);
        }
        teller.expire(regained + UpstreamDirectory::returnGrace);
        CPPUNIT_ASSERT(teller.find(UpstreamId("a")) == nullptr);
    }

    /// An entry comes and goes between two lists of one gateway; another one knows it.
    void changesAreNotToldAcrossAList()
    {
        UpstreamDirectory teller = known();
        UpstreamDirectory hearer = known();
        hearer.apply({{entry("c", 11), false}}, 11, start);
        teller.replaceAll({entry("a", 5), entry("b", 6)}, 12, start);
        hearer.take(teller.newsSince(11, start), start);
        CPPUNIT_ASSERT(hearer.find(UpstreamId("c")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hearer.entries().size());
    }

    /// An entry comes and goes between two changes that one gateway is told; another one knows it.
    void removalOfTheUnknownIsToldOn()
    {
        UpstreamDirectory first = known();
        UpstreamDirectory second = known();
        UpstreamDirectory third = known();
        first.apply({{entry("c", 11), false}}, 11, start);
        third.take(first.newsSince(10, start), start);
        first.apply({removal("c")}, 12, start);
        second.take(first.newsSince(10, start), start);
        third.take(second.newsSince(11, start), start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, third.revision());
        CPPUNIT_ASSERT(third.find(UpstreamId("c")) == nullptr);
    }

    void anyInterleavingKeepsViewsTrue()
    {
        using Steps = std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>;
        CPPUNIT_ASSERT(rc::check("any interleaving", [](const Steps &steps) {
            DirectoryFleet fleet;
            for (const auto &[kind, gateways, which] : steps) {
                fleet.step(kind, gateways & 15U, gateways >> 4U, which);
                RC_ASSERT(fleet.viewsAreTrue());
                RC_ASSERT(fleet.noneUsesTheDeparted());
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamDirectoryTest);

} // namespace reachlead
