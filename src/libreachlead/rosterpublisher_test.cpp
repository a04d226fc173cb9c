// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <vector>

#include <fmt/format.h>

#include <reachlead/rosterpublisher.h>

namespace reachlead {

/// The roster as the watchers maintain it through starts, losses and network partitions.
class RosterPublisherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RosterPublisherTest);
    CPPUNIT_TEST(startingFleetIsWrittenInFewCalls);
    CPPUNIT_TEST(rosterGrowsWithAnyPartialViews);
    CPPUNIT_TEST(restartChangesNothing);
    CPPUNIT_TEST(lostGatewayIsRemoved);
    CPPUNIT_TEST(movedGatewayIsRewritten);
    CPPUNIT_TEST(secondWatcherWritesIfTheFirstDoesNot);
    CPPUNIT_TEST(partitionedHalvesAreBothListed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    static Roster fleet(std::size_t n, std::size_t from = 0)
    {
        Roster made;
        for (std::size_t it = from; it < from + n; ++it) {
            const VmName vm(fmt::format("vm-{}", it));
            made[vm] = {vm, {fmt::format("10.0.{}.{}", it / 200, it % 200), 7340}, 90};
        }
        return made;
    }

    /// Three watchers receive heartbeats of a fleet that starts within two seconds. The number of
    /// writes does not grow with the fleet.
    void startingFleetIsWrittenInFewCalls()
    {
        for (const std::size_t size : {std::size_t{30}, std::size_t{300}, std::size_t{1000}}) {
            std::array<RosterPublisher, 3> watchers;
            Roster known;
            int writes = 0;
            for (int n = 0; n < 60; ++n) {
                const Roster live = fleet(std::min(size, size * (n + 1) / 3));
                for (std::size_t position = 0; position < watchers.size(); ++position) {
                    const auto roster = watchers[position].rosterToWrite(known, live, position,
                                                                         start + n * seconds(1));
                    if (!roster)
                        continue;
                    known = *roster;
                    ++writes;
                }
            }
            CPPUNIT_ASSERT(known == fleet(size));
            CPPUNIT_ASSERT(writes <= 4);
        }
    }

    /// Forty gateways consider themselves watchers, as they know few of the others, and each reads
    /// the roster up to three writes late. Like the store, the test refuses writes made from an
    /// older roster. The roster must never shrink, and must be complete before removeAfter has
    /// passed for gateways that some writers receive no heartbeats from.
    void rosterGrowsWithAnyPartialViews()
    {
        constexpr std::size_t size = 200;
        constexpr std::size_t writers = 40;
        for (unsigned seed = 1; seed <= 20; ++seed) {
            std::mt19937 random(seed);
            std::vector<Roster> history{{}};
            std::vector<RosterPublisher> publishers(writers);
            std::vector<std::size_t> seen(writers, 0); ///< index into the history
            std::vector<Roster> live(writers);
            const Roster all = fleet(size);
            for (int n = 0; n < 29; ++n) {
                const Time now = start + n * seconds(1);
                for (std::size_t it = 0; it < writers; ++it) {
                    std::ranges::sample(all, std::inserter(live[it], live[it].end()), 6, random);
                    seen[it] =
                        std::max(seen[it],
                                 history.size() - 1
                                     - std::min<std::size_t>(history.size() - 1, random() % 4));
                    const auto roster =
                        publishers[it].rosterToWrite(history[seen[it]], live[it], it % 3, now);
                    if (!roster || seen[it] + 1 != history.size())
                        continue;
                    CPPUNIT_ASSERT(roster->size() >= history.back().size());
                    history.push_back(*roster);
                }
            }
            CPPUNIT_ASSERT(history.back() == all);
        }
    }

    void restartChangesNothing()
    {
        RosterPublisher publisher;
        const Roster known = fleet(20);
        for (int n = 0; n < 25; ++n)
            CPPUNIT_ASSERT(!publisher.rosterToWrite(known, fleet(12), 0, start + n * seconds(1)));
        CPPUNIT_ASSERT(!publisher.rosterToWrite(known, known, 0, start + seconds(25)));
        // removeAfter starts anew with each interruption of the heartbeats.
        for (int n = 26; n < 50; ++n)
            CPPUNIT_ASSERT(!publisher.rosterToWrite(known, fleet(12), 0, start + n * seconds(1)));
    }

    void lostGatewayIsRemoved()
    {
        RosterPublisher publisher;
        const Roster known = fleet(20);
        std::optional<Roster> written;
        for (int n = 0; n < 40 && !written; ++n)
            written = publisher.rosterToWrite(known, fleet(19), 0, start + n * seconds(1));
        CPPUNIT_ASSERT(written && *written == fleet(19));
    }

    void movedGatewayIsRewritten()
    {
        RosterPublisher publisher;
        Roster live = fleet(5);
        live[VmName("vm-3")].address.address = "10.9.9.9";
        publisher.rosterToWrite(fleet(5), live, 0, start);
        const auto written =
            publisher.rosterToWrite(fleet(5), live, 0, start + RosterPublisher::delayPerPosition);
        CPPUNIT_ASSERT(written.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("10.9.9.9"), written->at(VmName("vm-3")).address.address);
    }

    void secondWatcherWritesIfTheFirstDoesNot()
    {
        RosterPublisher publisher;
        publisher.rosterToWrite({}, fleet(3), 1, start);
        CPPUNIT_ASSERT(
            !publisher.rosterToWrite({}, fleet(3), 1, start + RosterPublisher::delayPerPosition));
        CPPUNIT_ASSERT(publisher.rosterToWrite({}, fleet(3), 1,
                                               start + 2 * RosterPublisher::delayPerPosition));
    }

    /// Two halves of a fleet cannot reach each other, but both reach the store; the first watcher
    /// of each half writes.
    void partitionedHalvesAreBothListed()
    {
        const Roster oneHalf = fleet(10);
        const Roster otherHalf = fleet(10, 10);
        std::array<RosterPublisher, 2> writers;
        Roster known;
        std::size_t complete = 0;
        for (int n = 0; n < 300; ++n) {
            const Time now = start + n * seconds(1);
            if (const auto roster = writers[0].rosterToWrite(known, oneHalf, 0, now))
                known = *roster;
            if (const auto roster = writers[1].rosterToWrite(known, otherHalf, 0, now))
                known = *roster;
            complete += known.size() == 20 ? 1 : 0;
        }
        CPPUNIT_ASSERT(complete >= 250); // a starting gateway finds both halves
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RosterPublisherTest);

} // namespace reachlead
