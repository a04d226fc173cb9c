// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fmt/format.h>

#include <reachlead/claimtable.h>

namespace reachlead {

namespace {

/// An object store with versions, like the platform's.
class Store
{
public:
    PlatformReply list(const std::string &prefix) const
    {
        PlatformReply reply;
        reply.status = PlatformStatus::Ok;
        for (const auto &[key, object] : m_objects) {
            if (key.starts_with(prefix))
                reply.objects.push_back(object);
        }
        return reply;
    }

    PlatformReply put(const WriteSlot &write)
    {
        PlatformReply reply;
        const auto it = m_objects.find(write.key);
        const ObjectVersion current = it == m_objects.end() ? ObjectVersion{} : it->second.version;
        reply.status = current == write.expected ? PlatformStatus::Ok : PlatformStatus::Conflict;
        if (reply.ok()) {
            reply.version = ObjectVersion{++m_version};
            m_objects[write.key] = {write.key, reply.version, write.value, false};
            ++writes;
        }
        return reply;
    }

    unsigned writes = 0;
    std::size_t objects() const { return m_objects.size(); }

private:
    std::map<std::string, PlatformObject> m_objects;
    std::uint64_t m_version = 0;
};

constexpr std::int64_t wallStart = 1'000'000;

} // namespace

class ClaimTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimTableTest);
    CPPUNIT_TEST(firstClaimWins);
    CPPUNIT_TEST(lostReplyIsReadBack);
    CPPUNIT_TEST(lostWriteIsWrittenAgain);
    CPPUNIT_TEST(storeDownRefusesInTime);
    CPPUNIT_TEST(claimRefusedInDoubtIsReleased);
    CPPUNIT_TEST(oldViewLosesTheConflict);
    CPPUNIT_TEST(releasedKeyCanBeClaimed);
    CPPUNIT_TEST(lateReleaseSparesTheNextAttempt);
    CPPUNIT_TEST(keyReleasedElsewhereIsNotTaken);
    CPPUNIT_TEST(manyClaimsShareAWrite);
    CPPUNIT_TEST(slotsAreReusedOnlyAfterRetention);
    CPPUNIT_TEST(neverGrantedTwice);
    CPPUNIT_TEST_SUITE_END();

    /// An agent's claims, with the replies of the store controlled by the test.
    struct Agent
    {
        Store *store;
        ClaimTable table;
        std::vector<ClaimAction> calls; ///< pending, oldest first
        std::map<std::uint64_t, ClaimResult> results; ///< by sequence of the request

        explicit Agent(Store *s, std::int64_t *wall, ClaimTuning tuning = {})
            : store(s), table(serviceTarget("yard"), tuning, [wall] { return *wall; })
        { }

        void collect()
        {
            for (ClaimAction &action : table.takeActions()) {
                if (const auto *completed = std::get_if<ClaimCompleted>(&action))
                    results[completed->key.id.sequence] = completed->result;
                else
                    calls.push_back(std::move(action));
            }
        }

        /// Executes the oldest pending call and returns its reply without delivering it.
        std::pair<ClaimCallId, PlatformReply> take()
        {
            const ClaimAction action = std::move(calls.front());
            calls.erase(calls.begin());
            if (const auto *read = std::get_if<ReadSlots>(&action))
                return {read->call, store->list(read->prefix)};
            const auto &write = std::get<WriteSlot>(action);
            return {write.call, store->put(write)};
        }

        void answer(ClaimCallId call, const PlatformReply &reply, Time now)
        {
            table.replyReceived(call, reply, now);
            collect();
        }

        void settle(Time now)
        {
            collect();
            while (!calls.empty()) {
                const auto [call, reply] = take();
                answer(call, reply, now);
            }
        }

        void claim(std::uint64_t sequence, const std::string &key, Time now)
        {
            table.claim({{RequestId{Incarnation{1}, sequence}, 1}, AccountName("depot"), key}, now);
            collect();
        }

        void release(std::uint64_t sequence, const std::string &key, Time now)
        {
            table.release({{RequestId{Incarnation{1}, sequence}, 1}, AccountName("depot"), key},
                          now);
            collect();
        }
    };

    static constexpr Time start{seconds(100)};
    static PlatformReply withStatus(PlatformStatus status)
    {
        PlatformReply reply;
        reply.status = status;
        return reply;
    }

    std::int64_t m_wall = wallStart;
    Store m_store;

    void firstClaimWins()
    {
        Agent agent(&m_store, &m_wall);
        agent.claim(1, "k", start);
        agent.settle(start);
        agent.claim(2, "k", start + seconds(1));
        agent.settle(start + seconds(1));
        CPPUNIT_ASSERT(agent.results.at(1) == ClaimResult::Granted);
        CPPUNIT_ASSERT(agent.results.at(2) == ClaimResult::Taken);
    }

    void lostReplyIsReadBack()
    {
        Agent agent(&m_store, &m_wall);
        agent.claim(1, "k", start);
        auto [read, slots] = agent.take();
        agent.answer(read, slots, start);
        auto [write, written] = agent.take();
        CPPUNIT_ASSERT(written.ok());
        agent.answer(write, withStatus(PlatformStatus::Indeterminate), start);
        CPPUNIT_ASSERT(agent.results.empty()); // nothing is reported before the read-back
        agent.table.tick(start + seconds(1));
        agent.settle(start + seconds(1));
        CPPUNIT_ASSERT(agent.results.at(1) == ClaimResult::Granted);
        CPPUNIT_ASSERT_EQUAL(1U, m_store.writes);
    }

    void lostWriteIsWrittenAgain()
    {
        Agent agent(&m_store, &m_wall);
        agent.claim(1, "k", start);
        auto [read, slots] = agent.take();
        agent.answer(read, slots, start);
        const auto &write = std::get<WriteSlot>(agent.calls.front());
        const ClaimCallId call = write.call;
        agent.calls.clear(); // did not reach the store
        agent.answer(call, withStatus(PlatformStatus::Indeterminate), start);
        agent.table.tick(start + seconds(1));
        agent.settle(start + seconds(1));
        CPPUNIT_ASSERT(agent.results.at(1) == ClaimResult::Granted);
        CPPUNIT_ASSERT_EQUAL(1U, m_store.writes);
    }

    void storeDownRefusesInTime()
    {
        Agent agent(&m_store, &m_wall);
        agent.claim(1, "k", start);
        for (Time now = start; now < start + seconds(3); now += milliseconds(100)) {
            agent.table.tick(now);
            agent.collect();
            while (!agent.calls.empty()) {
                const auto call = std::get<ReadSlots>(agent.calls.front()).call;
                agent.calls.clear();
                agent.answer(call, withStatus(PlatformStatus::Unavailable), now);
            }
        }
        CPPUNIT_ASSERT(agent.results.at(1) == ClaimResult::StoreDown);
    }

    void claimRefusedInDoubtIsReleased()
    {
        Agent agent(&m_store, &m_wall);
        agent.claim(1, "k", start);
        auto [read, slots] = agent.take();
        agent.answer(read, slots, start);
        auto [write, written] = agent.take();
        agent.answer(write, withStatus(PlatformStatus::Indeterminate), start);
        const Time late = start + seconds(3); // the store could not be read in time
        agent.table.tick(late);
        agent.collect();
        CPPUNIT_ASSERT(agent.results.at(1) == ClaimResult::StoreDown);
        agent.settle(late);
        agent.claim(2, "k", late + seconds(1));
        agent.table.tick(late + seconds(1));
        agent.settle(late + seconds(1));
        CPPUNIT_ASSERT(agent.results.at(2) == ClaimResult::Granted);
    }

    /// An agent that is suspended between its read and its write must not overwrite the claim that
    /// another agent wrote meanwhile.
    void oldViewLosesTheConflict()
    {
        Agent slow(&m_store, &m_wall);
        Agent fast(&m_store, &m_wall);
        slow.claim(1, "k", start);
        auto [read, slots] = slow.take();
        fast.claim(2, "k", start);
        fast.settle(start);
        CPPUNIT_ASSERT(fast.results.at(2) == ClaimResult::Granted);
        slow.answer(read, slots, start); // resumes with an outdated view
        slow.settle(start);
        CPPUNIT_ASSERT(slow.results.at(1) == ClaimResult::Taken);
    }

    void releasedKeyCanBeClaimed()
    {
        Agent agent(&m_store, &m_wall);
        agent.claim(1, "k", start);
        agent.settle(start);
        agent.release(1, "k", start + seconds(1));
        agent.settle(start + seconds(1));
        Agent other(&m_store, &m_wall);
        other.claim(2, "k", start + seconds(2));
        other.settle(start + seconds(2));
        CPPUNIT_ASSERT(other.results.at(2) == ClaimResult::Granted);
    }

    /// The first attempt was refused as not run. Its release is written after the second attempt
    /// has claimed the key through another agent, and must not erase that claim.
    void lateReleaseSparesTheNextAttempt()
    {
        Agent first(&m_store, &m_wall);
        Agent second(&m_store, &m_wall);
        first.claim(1, "k", start);
        first.settle(start);
        second.table.claim({{RequestId{Incarnation{1}, 1}, 2}, AccountName("depot"), "k"}, start);
        second.settle(start);
        first.release(1, "k", start + seconds(1));
        first.settle(start + seconds(1));
        first.table.tick(start + seconds(2));
        first.settle(start + seconds(2));
        Agent third(&m_store, &m_wall);
        third.claim(9, "k", start + seconds(3));
        third.settle(start + seconds(3));
        CPPUNIT_ASSERT(third.results.at(9) == ClaimResult::Taken);
    }

    /// The caller was told that its call did not run, and repeats it at another agent.
    void keyReleasedElsewhereIsNotTaken()
    {
        Agent first(&m_store, &m_wall);
        Agent second(&m_store, &m_wall);
        first.claim(1, "k", start);
        first.settle(start);
        second.claim(2, "k", start);
        second.settle(start);
        CPPUNIT_ASSERT(second.results.at(2) == ClaimResult::Taken);
        first.release(1, "k", start + seconds(1));
        first.settle(start + seconds(1));
        second.claim(3, "k", start + seconds(2));
        second.settle(start + seconds(2));
        CPPUNIT_ASSERT(second.results.at(3) == ClaimResult::Granted);
    }

    void manyClaimsShareAWrite()
    {
        Agent agent(&m_store, &m_wall);
        for (std::uint64_t n = 0; n < 3200; ++n)
            agent.claim(n, fmt::format("key-{}", n), start);
        agent.settle(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3200}, agent.results.size());
        CPPUNIT_ASSERT_EQUAL(claimPartitionCount, m_store.writes);
    }

    void slotsAreReusedOnlyAfterRetention()
    {
        ClaimTuning tuning;
        tuning.slotCount = 3;
        tuning.maxSlotBytes = 1; // each write closes its slot
        Agent agent(&m_store, &m_wall, tuning);
        Time now = start;
        std::vector<ClaimResult> results;
        // The same key each time, so that all claims are in one partition.
        for (std::uint64_t n = 0; n < 4; ++n) {
            now += seconds(1);
            agent.claim(n, "k", now);
            agent.settle(now);
            results.push_back(agent.results.at(n));
        }
        CPPUNIT_ASSERT(results[0] == ClaimResult::Granted);
        CPPUNIT_ASSERT(results[1] == ClaimResult::Taken);
        // Fill the ring with releases until no slot can be overwritten.
        for (std::uint64_t n = 10; n < 14; ++n) {
            now += seconds(1);
            agent.release(n == 10 ? 0 : n, "k", now);
            agent.settle(now);
        }
        now += seconds(1);
        agent.claim(20, "k", now);
        agent.settle(now);
        CPPUNIT_ASSERT(agent.results.at(20) == ClaimResult::StoreDown);
        m_wall += 901; // the retention of claims has passed
        now += seconds(901);
        agent.claim(21, "k", now);
        agent.settle(now);
        CPPUNIT_ASSERT(agent.results.at(21) == ClaimResult::Granted);
        CPPUNIT_ASSERT(m_store.objects() <= 3);
    }

    /// Two agents and random store faults: a key is granted at most once.
    void neverGrantedTwice()
    {
        const bool holds = rc::check("a key is granted once", [] {
            std::int64_t wall = wallStart;
            Store store;
            std::array<Agent, 2> agents{Agent(&store, &wall), Agent(&store, &wall)};
            Time now = start;
            std::uint64_t sequence = 0;
            std::map<std::uint64_t, std::string> keyBySequence;
            const auto steps =
                *rc::gen::container<std::vector<unsigned>>(60, rc::gen::inRange<unsigned>(0, 60));
            for (const unsigned step : steps) {
                Agent &agent = agents.at(step % 2);
                now += milliseconds(50);
                agent.table.tick(now);
                agent.collect();
                const unsigned operation = step / 2;
                if (operation < 6) {
                    keyBySequence[++sequence] = fmt::format("k{}", operation % 2);
                    agent.claim(sequence, keyBySequence[sequence], now);
                } else if (!agent.calls.empty()) {
                    if (operation % 7 == 0) { // lost before it took effect
                        const ClaimAction action = agent.calls.front();
                        agent.calls.erase(agent.calls.begin());
                        const auto *read = std::get_if<ReadSlots>(&action);
                        const ClaimCallId call =
                            read ? read->call : std::get<WriteSlot>(action).call;
                        agent.answer(call, withStatus(PlatformStatus::Indeterminate), now);
                    } else {
                        auto [call, reply] = agent.take();
                        if (operation % 7 == 1) // lost after it took effect
                            reply = withStatus(PlatformStatus::Indeterminate);
                        agent.answer(call, reply, now);
                    }
                }
            }
            std::map<std::string, unsigned> granted;
            for (const Agent &agent : agents) {
                for (const auto &[id, result] : agent.results)
                    granted[keyBySequence.at(id)] += result == ClaimResult::Granted ? 1 : 0;
            }
            for (const auto &[key, times] : granted)
                RC_ASSERT(times <= 1U);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTableTest);

} // namespace reachlead
