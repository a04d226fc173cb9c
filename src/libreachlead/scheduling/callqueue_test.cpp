// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <map>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <reachlead/scheduling/callqueue.h>

namespace reachlead {

/// The order and the bounds of the calls that wait for upstreams.
class CallQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallQueueTest);
    CPPUNIT_TEST(moreUrgentCallsBeginFirst);
    CPPUNIT_TEST(waitingRankGetsItsFloor);
    CPPUNIT_TEST(leastServedAccountIsNext);
    CPPUNIT_TEST(smallCallIsNotHeldByALargeOne);
    CPPUNIT_TEST(callWithoutRoomElsewhereHoldsNobody);
    CPPUNIT_TEST(passEndsAfterManyRefusedOffers);
    CPPUNIT_TEST(waitIsPredictedFromTheWorkAhead);
    CPPUNIT_TEST(callThatCannotBeginInTimeIsRefusedAtOnce);
    CPPUNIT_TEST(overdueCallIsRefused);
    CPPUNIT_TEST(lastInOrderIsRefusedBeyondTheBounds);
    CPPUNIT_TEST(callThatReturnsAsToldGoesFirst);
    CPPUNIT_TEST(keptPlaceLapses);
    CPPUNIT_TEST(callThatReturnsAtOnceGainsNothing);
    CPPUNIT_TEST(waveOnUnevenEngines);
    CPPUNIT_TEST(hotAccountTakesOnlyWhatOthersLeave);
    CPPUNIT_TEST(anyOrderOfEventsKeepsTheInvariants);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    static WaitingCall makeCall(std::uint32_t n, unsigned rank = 0,
                                const std::string &account = "a")
    {
        WaitingCall call;
        call.id = {VmName("g"), n};
        call.urgencyRank = rank;
        call.account = AccountName(account);
        call.units = 1;
        call.size = 1;
        call.requestKey = 1'000 + n;
        call.arrivedAt = start;
        call.latestStart = start + seconds(1);
        call.latestReturn = start + seconds(4);
        return call;
    }

    static CallQueue makeQueue() { return CallQueue(CallQueue::Bounds()); }

    /// Begins up to \p room calls; returns the numbers of their queries.
    static std::vector<std::uint32_t> begin(CallQueue &queue, Time now, unsigned room)
    {
        std::vector<std::uint32_t> numbers;
        const auto started = queue.dispatch(now, [&room](const WaitingCall &) {
            if (room == 0)
                return CallQueue::Offer::NoRoom;
            --room;
            return CallQueue::Offer::Begun;
        });
        std::ranges::transform(started, std::back_inserter(numbers),
                               [](const WaitingCall &it) { return it.id.query; });
        return numbers;
    }

    void moreUrgentCallsBeginFirst()
    {
        CallQueue queue = makeQueue();
        queue.add(makeCall(1, 2), start);
        queue.add(makeCall(2, 0), start);
        queue.add(makeCall(3, 1), start);
        CPPUNIT_ASSERT((begin(queue, start, 9) == std::vector<std::uint32_t>{2, 3, 1}));
    }

    void waitingRankGetsItsFloor()
    {
        CallQueue queue = makeQueue();
        unsigned lessUrgent = 0;
        std::uint32_t n = 0;
        for (Time now = start; now <= start + seconds(5); now += milliseconds(50)) {
            for (const unsigned rank : {0U, 1U}) {
                WaitingCall call = makeCall(++n, rank);
                call.latestStart = now + seconds(1);
                queue.add(call, now);
            }
            const auto started = queue.dispatch(now, [room = 1](const WaitingCall &) mutable {
                return room-- > 0 ? CallQueue::Offer::Begun : CallQueue::Offer::NoRoom;
            });
            lessUrgent += static_cast<unsigned>(std::ranges::count(
                started, 1U, [](const WaitingCall &it) { return it.urgencyRank; }));
            queue.refuseOverdue(now);
        }
        CPPUNIT_ASSERT_EQUAL(5U, lessUrgent);
    }

    void leastServedAccountIsNext()
    {
        CallQueue queue = makeQueue();
        for (std::uint32_t n = 1; n <= 5; ++n)
            queue.add(makeCall(n, 0, "hot"), start);
        queue.add(makeCall(6, 0, "usual"), start);
        CPPUNIT_ASSERT((begin(queue, start, 2) == std::vector<std::uint32_t>{1, 6}));
        CPPUNIT_ASSERT((begin(queue, start, 9).size() == 4)); // an idle share is lent
    }

    void smallCallIsNotHeldByALargeOne()
    {
        CallQueue queue = makeQueue();
        WaitingCall large = makeCall(1);
        large.size = 100;
        queue.add(large, start);
        queue.add(makeCall(2, 1), start);
        const auto started = queue.dispatch(start, [](const WaitingCall &it) {
            return it.size > 10 ? CallQueue::Offer::NoRoom : CallQueue::Offer::Begun;
        });
        CPPUNIT_ASSERT(started.size() == 1 && started.front().id.query == 2);
    }

    void callWithoutRoomElsewhereHoldsNobody()
    {
        CallQueue queue = makeQueue();
        WaitingCall restricted = makeCall(1);
        restricted.eligibility = 7;
        queue.add(restricted, start);
        queue.add(makeCall(2, 1), start);
        const auto started = queue.dispatch(start, [](const WaitingCall &it) {
            return it.eligibility == 7 ? CallQueue::Offer::NoRoom : CallQueue::Offer::Begun;
        });
        CPPUNIT_ASSERT(started.size() == 1 && started.front().id.query == 2);
    }

    void passEndsAfterManyRefusedOffers()
    {
        CallQueue queue = makeQueue();
        for (std::uint32_t n = 0; n < 2 * CallQueue::maxRefusedOffers; ++n) {
            WaitingCall call = makeCall(n);
            call.eligibility = n;
            queue.add(call, start);
        }
        std::size_t offers = 0;
        queue.dispatch(start, [&offers](const WaitingCall &) {
            ++offers;
            return CallQueue::Offer::NoRoom;
        });
        CPPUNIT_ASSERT_EQUAL(CallQueue::maxRefusedOffers, offers);
    }

    /// A pace of ten calls a second.
    static CallQueue pacedQueue()
    {
        CallQueue queue = makeQueue();
        for (std::uint32_t n = 1; n <= 10; ++n)
            queue.add(makeCall(n), start);
        begin(queue, start, 10);
        return queue;
    }

    void waitIsPredictedFromTheWorkAhead()
    {
        CallQueue queue = pacedQueue();
        CPPUNIT_ASSERT(!makeQueue().predictWait(makeCall(1), start));
        for (std::uint32_t n = 11; n <= 14; ++n)
            queue.add(makeCall(n), start);
        const auto wait = queue.predictWait(makeCall(20), start);
        CPPUNIT_ASSERT(wait && *wait >= milliseconds(399) && *wait <= milliseconds(401));
        const auto urgent = queue.predictWait(makeCall(20, 1), start);
        CPPUNIT_ASSERT(urgent && *urgent > seconds(1)); // more urgent ranks use the whole pace
    }

    void callThatCannotBeginInTimeIsRefusedAtOnce()
    {
        CallQueue queue = pacedQueue();
        for (std::uint32_t n = 11; n <= 30; ++n) {
            queue.add(makeCall(n), start);
            const auto refusal = queue.refuseIfLate({VmName("g"), n}, Duration{}, start);
            CPPUNIT_ASSERT_EQUAL(n > 21, refusal.has_value());
            if (refusal)
                CPPUNIT_ASSERT(refusal->retryAfter >= seconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, queue.size());
    }

    void overdueCallIsRefused()
    {
        CallQueue queue = makeQueue();
        queue.add(makeCall(1), start);
        CPPUNIT_ASSERT(queue.refuseOverdue(start + milliseconds(999)).empty());
        const auto refusals = queue.refuseOverdue(start + seconds(1));
        CPPUNIT_ASSERT(refusals.size() == 1
                       && refusals.front().kind == ErrorKind::QueueWaitExpired);
        CPPUNIT_ASSERT(queue.isEmpty());
    }

    void lastInOrderIsRefusedBeyondTheBounds()
    {
        CallQueue queue(CallQueue::Bounds{2, 100});
        queue.add(makeCall(1, 0, "hot"), start);
        begin(queue, start, 1);
        queue.add(makeCall(2, 0, "hot"), start);
        queue.add(makeCall(3, 0, "usual"), start);
        queue.add(makeCall(4, 0, "usual"), start);
        const auto refusals = queue.refuseOverdue(start);
        CPPUNIT_ASSERT(refusals.size() == 1 && refusals.front().call.id.query == 2);
        CPPUNIT_ASSERT(refusals.front().kind == ErrorKind::QueueFull);
        WaitingCall large = makeCall(5, 0, "usual");
        large.bytes = 101;
        queue.withdraw({VmName("g"), 4});
        queue.add(large, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.refuseOverdue(start).size());
        CPPUNIT_ASSERT(queue.find({VmName("g"), 5}) == nullptr);
    }

    void callThatReturnsAsToldGoesFirst()
    {
        CallQueue queue = pacedQueue();
        for (std::uint32_t n = 11; n <= 22; ++n)
            queue.add(makeCall(n), start);
        const auto refusal = queue.refuseIfLate({VmName("g"), 22}, Duration{}, start);
        CPPUNIT_ASSERT(refusal && refusal->hasKeptPlace);
        const Time returned = start + refusal->retryAfter;
        queue.refuseOverdue(returned);
        WaitingCall other = makeCall(40);
        other.latestStart = returned + milliseconds(100);
        queue.add(other, returned);
        WaitingCall again = makeCall(41);
        again.requestKey = refusal->call.requestKey;
        again.latestStart = returned + seconds(1);
        queue.add(again, returned);
        CPPUNIT_ASSERT((begin(queue, returned, 1) == std::vector<std::uint32_t>{41}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.keptPlaces());
    }

    void keptPlaceLapses()
    {
        CallQueue queue = pacedQueue();
        queue.add(makeCall(30), start);
        const auto refusal = queue.refuseIfLate({VmName("g"), 30}, seconds(2), start);
        CPPUNIT_ASSERT(refusal && refusal->hasKeptPlace);
        const Time lapsed = start + refusal->retryAfter + KeptPlaces::lifetime + milliseconds(1);
        queue.refuseOverdue(lapsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.keptPlaces());
        WaitingCall again = makeCall(31);
        again.requestKey = refusal->call.requestKey;
        queue.add(again, lapsed);
        CPPUNIT_ASSERT(!queue.find(again.id)->hasKeptPlace);
    }

    /// It is told the time of the same place again, and displaces nobody.
    void callThatReturnsAtOnceGainsNothing()
    {
        CallQueue queue = pacedQueue();
        std::optional<Duration> first;
        for (std::uint32_t n = 30; n < 40; ++n) {
            WaitingCall call = makeCall(n);
            call.requestKey = 7;
            queue.add(call, start);
            const auto refusal = queue.refuseIfLate(call.id, seconds(2), start);
            CPPUNIT_ASSERT(refusal && refusal->hasKeptPlace);
            CPPUNIT_ASSERT(!first || *first == refusal->retryAfter);
            first = refusal->retryAfter;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.keptPlaces());
    }

    /// Engines of a small model for loads: each begins with a call when its last one has ended.
    struct Engines
    {
        std::vector<Duration> times; ///< of one call
        std::vector<Time> freeAt = std::vector<Time>(times.size(), start);

        CallQueue::Offer offer(Time now)
        {
            for (std::size_t n = 0; n < times.size(); ++n) {
                if (freeAt[n] > now)
                    continue;
                freeAt[n] = now + times[n];
                return CallQueue::Offer::Begun;
            }
            return CallQueue::Offer::NoRoom;
        }
        Time firstFree() const { return *std::ranges::min_element(freeAt); }
    };

    struct Served
    {
        std::map<std::string, unsigned> begun; ///< by account
        std::map<std::string, unsigned> sent; ///< by account
        unsigned waitedWithRoom = 0;
    };

    /// Offers calls of the accounts at their intervals for ten seconds.
    static Served play(CallQueue &queue, Engines &engines,
                       const std::map<std::string, Duration> &intervals,
                       const std::function<bool(Time)> &isWave)
    {
        Served served;
        std::map<std::string, Time> nextAt;
        std::uint32_t n = 0;
        for (Time now = start; now < start + seconds(10); now += milliseconds(1)) {
            for (const auto &[account, interval] : intervals) {
                Time &at = nextAt.try_emplace(account, start).first->second;
                while (at <= now) {
                    at += isWave(now) ? interval / 4 : interval;
                    WaitingCall call = makeCall(++n, 0, account);
                    call.latestStart = now + milliseconds(500);
                    call.latestReturn = now + seconds(2);
                    ++served.sent[account];
                    queue.add(call, now);
                    queue.refuseIfLate(call.id, Duration{}, now);
                }
            }
            for (const WaitingCall &it :
                 queue.dispatch(now, [&](const WaitingCall &) { return engines.offer(now); }))
                ++served.begun[it.account.text];
            queue.refuseOverdue(now);
            if (!queue.isEmpty() && engines.firstFree() <= now)
                ++served.waitedWithRoom;
        }
        return served;
    }

    /// Three engines take 10 ms for a call and one takes 20 ms: 350 calls/s. A wave of four times
    /// the usual 100 calls/s is served up to what the engines can do, and no engine idles.
    void waveOnUnevenEngines()
    {
        CallQueue queue = makeQueue();
        Engines engines{{milliseconds(10), milliseconds(10), milliseconds(10), milliseconds(20)}};
        const auto isWave = [](Time now) {
            return now >= start + seconds(4) && now < start + seconds(6);
        };
        const Served served = play(queue, engines, {{"a", milliseconds(10)}}, isWave);
        CPPUNIT_ASSERT_EQUAL(0U, served.waitedWithRoom);
        CPPUNIT_ASSERT(served.sent.at("a") > 1'550);
        CPPUNIT_ASSERT(served.begun.at("a") * 100 >= served.sent.at("a") * 95);
    }

    /// 24 accounts at 120 calls/s before engines for 150; then one sends 7.5 times its usual.
    void hotAccountTakesOnlyWhatOthersLeave()
    {
        const auto playWith = [](Duration hotInterval) {
            CallQueue queue = makeQueue();
            Engines engines{{milliseconds(20), milliseconds(20), milliseconds(20)}};
            std::map<std::string, Duration> intervals;
            for (unsigned n = 0; n < 23; ++n)
                intervals[fmt::format("usual-{}", n)] = milliseconds(200);
            intervals["hot"] = hotInterval;
            return play(queue, engines, intervals, [](Time) { return false; });
        };
        const Served before = playWith(milliseconds(200));
        const Served after = playWith(std::chrono::microseconds(26'667));
        for (const auto &[account, count] : before.begun) {
            if (account != "hot")
                CPPUNIT_ASSERT(after.begun.at(account) * 100 >= count * 95);
        }
        CPPUNIT_ASSERT(after.begun.at("hot") > before.begun.at("hot") * 4); // what others leave
    }

    /// Any order of arrivals, ends, withdrawals and pauses: nothing waits while there is room,
    /// the bounds hold, no call waits beyond its latest start, and no kept place outlives its time.
    void anyOrderOfEventsKeepsTheInvariants()
    {
        const auto check = [](const std::vector<unsigned char> &steps) {
            constexpr CallQueue::Bounds bounds{6, 1'000};
            CallQueue queue(bounds);
            std::map<std::uint64_t, unsigned> rooms{{0, 2}, {1, 1}}; // by eligibility
            std::set<WaitingCallId> ended;
            Time now = start;
            std::uint32_t n = 0;
            std::size_t added = 0;
            std::size_t left = 0;
            for (const unsigned char step : steps) {
                const unsigned kind = step % 4;
                const unsigned value = step / 4U;
                if (kind == 0) {
                    WaitingCall call = makeCall(++n, value % 3, fmt::format("{}", value % 5));
                    call.eligibility = value % 2;
                    call.requestKey = value % 11;
                    call.bytes = std::size_t{10} * value;
                    call.latestStart = now + milliseconds(value * 20);
                    call.latestReturn = call.latestStart + seconds(1);
                    queue.add(call, now);
                    ++added;
                    left += queue.refuseIfLate(call.id, milliseconds(value % 7), now) ? 1 : 0;
                } else if (kind == 1) {
                    ++rooms[value % 2];
                } else if (kind == 2) {
                    left += queue.withdraw({VmName("g"), value % (n + 1)}) ? 1 : 0;
                } else {
                    now += milliseconds(value * 5);
                }
                for (const WaitingCall &it : queue.dispatch(now, [&](const WaitingCall &call) {
                         unsigned &room = rooms[call.eligibility];
                         if (room == 0)
                             return CallQueue::Offer::NoRoom;
                         --room;
                         return CallQueue::Offer::Begun;
                     })) {
                    RC_ASSERT(ended.insert(it.id).second);
                    ++left;
                }
                left += queue.refuseOverdue(now).size();
                std::map<unsigned, std::size_t> calls;
                std::map<unsigned, std::size_t> bytes;
                for (std::uint32_t it = 1; it <= n; ++it) {
                    const WaitingCall *call = queue.find({VmName("g"), it});
                    if (call == nullptr)
                        continue;
                    RC_ASSERT(rooms[call->eligibility] == 0);
                    RC_ASSERT(call->latestStart > now);
                    ++calls[call->urgencyRank];
                    bytes[call->urgencyRank] += call->bytes;
                }
                for (const auto &[rank, count] : calls)
                    RC_ASSERT(count <= bounds.calls && bytes[rank] <= bounds.bytes);
                RC_ASSERT(queue.keptPlaces() <= bounds.calls);
                RC_ASSERT(added == left + queue.size());
            }
            queue.refuseOverdue(now + seconds(60));
            queue.refuseOverdue(now + seconds(120));
            RC_ASSERT(queue.isEmpty() && queue.keptPlaces() == 0);
        };
        CPPUNIT_ASSERT(rc::check("any order of events", check));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallQueueTest);

} // namespace reachlead
