// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <array>
#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/usagereporter.h>

namespace reachlead {

namespace {

constexpr Duration tick = seconds(1);
constexpr Duration leaseSpan = tick * 2; ///< that the gateways keep

/// What happens to a write or a report that is sent.
enum class Fate : std::uint8_t {
    Answered, ///< done, and the sender knows
    Unanswered, ///< done, and the sender does not know
    Late, ///< done later, if it still may be, and the sender does not know
    Lost ///< never done, and the sender does not know
};
constexpr std::array<Fate, 4> fates{Fate::Answered, Fate::Unanswered, Fate::Late, Fate::Lost};

/// A store with one object, a platform that takes all reports, and gateways that each think that it
/// is their turn. Time moves by ticks; how much may go wrong is bounded.
struct World
{
    struct LateWrite
    {
        UsageRecord record;
        std::optional<std::uint64_t> revision;

        auto operator<=>(const LateWrite &) const = default;
    };
    struct LateReport
    {
        UsageRecord record;
        Time until; ///< the connection is reset by then

        auto operator<=>(const LateReport &) const = default;
    };
    struct Act
    {
        VmName holder;
        FencingToken token = 0;
        Time at;

        auto operator<=>(const Act &) const = default;
    };

    Time now{};
    std::vector<UsageReporter> duties;
    std::optional<UsageRecord> stored;
    std::uint64_t revision = 0;
    std::vector<LateWrite> lateWrites;
    std::vector<LateReport> lateReports;
    std::map<WindowNumber, UsageCounts> taken;
    std::vector<Act> acts; ///< the last of each holder, newest last
    Duration leaseAsked{}; ///< in which holders may not act by turns
    int faultsLeft = 0;
    bool isBroken = false;

    auto operator<=>(const World &) const = default;

    World(std::size_t gateways, Duration lease, int faults) : leaseAsked(lease), faultsLeft(faults)
    {
        for (std::uint64_t n = 0; n < gateways; ++n)
            duties.emplace_back(lifeOf(n, 1), leaseSpan);
    }

    static GatewayIncarnation lifeOf(std::uint64_t gateway, std::uint64_t incarnation)
    {
        return {VmName(std::string(1, static_cast<char>('a' + gateway))), Incarnation{incarnation}};
    }

    /// Each gateway counts otherwise, and what it counts changes.
    UsageView viewOf(std::size_t gateway) const
    {
        const auto ticks = static_cast<std::uint32_t>((now.time_since_epoch()) / tick);
        UsageView view;
        view.now = now;
        view.dueWindow = 1 + ticks / 2;
        view.isComplete = true;
        view.hasCalls = true;
        view.counts = {
            {AccountName("t"), static_cast<std::uint32_t>(1 + gateway) + 10 * (ticks % 2)}};
        return view;
    }

    bool write(const UsageRecord &record, const std::optional<std::uint64_t> &over)
    {
        const bool fits = over ? stored && *over == revision : !stored;
        if (!fits)
            return false;
        stored = record;
        ++revision;
        return true;
    }

    void report(const UsageRecord &record)
    {
        const auto [it, isFirst] = taken.emplace(record.window, record.counts);
        if (!isFirst && it->second != record.counts)
            isBroken = true; // two reports of one window that differ
        for (const Act &act : acts) {
            if (act.token > record.token)
                isBroken = true; // a lower token than one that was seen
            if (act.token == record.token && act.holder != record.holder.vm)
                isBroken = true; // two holders with one token
        }
        std::optional<Time> ownBefore;
        for (const Act &act : acts) {
            if (act.holder == record.holder.vm)
                ownBefore = act.at;
            else if (ownBefore && now < *ownBefore + leaseAsked)
                isBroken = true; // holders by turns within a lease
        }
        std::erase_if(acts, [&](const Act &act) { return act.holder == record.holder.vm; });
        acts.push_back({record.holder.vm, record.token, now});
    }

    /// The ways in which one gateway's next step can go.
    void steps(std::size_t gateway, const std::function<void(World)> &take) const
    {
        const UsageAction action = duties[gateway].next(viewOf(gateway));
        if (action.step == UsageStep::Read) {
            World next = *this;
            std::optional<StoredUsage> read;
            if (stored)
                read = StoredUsage{*stored, revision};
            next.duties[gateway].onRead(read, now);
            take(std::move(next));
        }
        for (const Fate fate : fates) {
            if (fate != Fate::Answered && faultsLeft == 0)
                continue;
            if (action.step == UsageStep::Write)
                take(written(gateway, action, fate));
            if (action.step == UsageStep::Send)
                take(reported(gateway, action, fate));
        }
    }

    World written(std::size_t gateway, const UsageAction &action, Fate fate) const
    {
        World next = *this;
        UsageReporter &duty = next.duties[gateway];
        if (fate != Fate::Answered)
            --next.faultsLeft;
        const bool isNow = fate == Fate::Answered || fate == Fate::Unanswered;
        const bool isDone = isNow && next.write(action.record, action.revision);
        if (fate == Fate::Late)
            next.lateWrites.push_back({action.record, action.revision});
        if (isDone && fate == Fate::Answered)
            duty.onWritten(action.record, next.revision, now);
        else
            duty.invalidate();
        return next;
    }

    World reported(std::size_t gateway, const UsageAction &action, Fate fate) const
    {
        World next = *this;
        if (fate != Fate::Answered)
            --next.faultsLeft;
        if (fate == Fate::Answered || fate == Fate::Unanswered)
            next.report(action.record);
        if (fate == Fate::Late)
            next.lateReports.push_back({action.record, now + action.limit});
        if (fate == Fate::Answered)
            next.duties[gateway].onSent(action.record);
        return next;
    }

    /// All that may happen next.
    void successors(const std::function<void(World)> &take) const
    {
        for (std::size_t n = 0; n < duties.size(); ++n)
            steps(n, take);
        for (std::size_t n = 0; n < lateWrites.size(); ++n) {
            World next = *this;
            next.lateWrites.erase(next.lateWrites.begin() + static_cast<std::ptrdiff_t>(n));
            next.write(lateWrites[n].record, lateWrites[n].revision);
            take(std::move(next));
        }
        for (std::size_t n = 0; n < lateReports.size(); ++n) {
            World next = *this;
            next.lateReports.erase(next.lateReports.begin() + static_cast<std::ptrdiff_t>(n));
            if (now < lateReports[n].until)
                next.report(lateReports[n].record);
            take(std::move(next));
        }
        if (faultsLeft > 0) {
            for (std::uint64_t n = 0; n < duties.size(); ++n) {
                World next = *this;
                --next.faultsLeft;
                next.duties[n] =
                    UsageReporter(lifeOf(n, 2 + static_cast<std::uint64_t>(faultsLeft)), leaseSpan);
                take(std::move(next));
            }
        }
        World later = *this;
        later.now += tick;
        take(std::move(later));
    }
};

/// What a search over all orders of events found.
struct Found
{
    std::size_t states = 0;
    bool isBroken = false;
    WindowNumber lastTaken = 0; ///< the last window of which a report was taken
};

/// Goes through every state that can be reached by \p horizon with so many faults.
Found explore(std::size_t gateways, Duration lease, int faults, Time horizon)
{
    Found found;
    std::set<World> seen;
    std::deque<World> open{World(gateways, lease, faults)};
    while (!open.empty()) {
        const World world = std::move(open.front());
        open.pop_front();
        found.isBroken = found.isBroken || world.isBroken;
        if (!world.taken.empty())
            found.lastTaken = std::max(found.lastTaken, world.taken.rbegin()->first);
        if (found.isBroken)
            break;
        world.successors([&](World next) {
            if (next.now <= horizon && seen.insert(next).second)
                open.push_back(std::move(next));
        });
    }
    found.states = seen.size();
    return found;
}

} // namespace

/// Who may report usage when.
class UsageReporterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageReporterTest);
    CPPUNIT_TEST(holderFixesBeforeItSends);
    CPPUNIT_TEST(writeWithoutAnswerIsReadBack);
    CPPUNIT_TEST(successorSendsWhatWasFixed);
    CPPUNIT_TEST(holderThatWasPausedDoesNotSend);
    CPPUNIT_TEST(emptyWindowsArePassedOver);
    CPPUNIT_TEST(standbyThatKnowsOfNoCallsSkipsNothing);
    CPPUNIT_TEST(oldWindowsAreNotMadeUpFor);
    CPPUNIT_TEST(noOrderOfEventsBreaksThePromise);
    CPPUNIT_TEST(shorterLeaseIsFoundOut);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    static GatewayIncarnation life(const std::string &vm) { return {VmName(vm), Incarnation{1}}; }

    static UsageView view(Time now, WindowNumber due, std::uint32_t calls)
    {
        UsageView made;
        made.now = now;
        made.dueWindow = due;
        made.isComplete = true;
        made.hasCalls = calls > 0;
        if (calls > 0)
            made.counts = {{AccountName("t"), calls}};
        return made;
    }

    /// A duty that has written window 1 with 5 calls at `start`, as the first holder.
    static UsageReporter holder()
    {
        UsageReporter duty(life("a"), seconds(3));
        duty.onRead(std::nullopt, start);
        const UsageAction action = duty.next(view(start, 1, 5));
        duty.onWritten(action.record, 11, start);
        return duty;
    }

    void holderFixesBeforeItSends()
    {
        UsageReporter duty(life("a"), seconds(3));
        CPPUNIT_ASSERT(duty.next(view(start, 1, 5)).step == UsageStep::Read);
        duty.onRead(std::nullopt, start);
        const UsageAction fix = duty.next(view(start, 1, 5));
        CPPUNIT_ASSERT(fix.step == UsageStep::Write);
        CPPUNIT_ASSERT(!fix.revision);
        duty.onWritten(fix.record, 11, start);
        const UsageAction send = duty.next(view(start, 1, 9));
        CPPUNIT_ASSERT(send.step == UsageStep::Send);
        CPPUNIT_ASSERT_EQUAL(5U, send.record.counts.at(AccountName("t")));
        CPPUNIT_ASSERT(send.limit == duty.sendTimeout());
        duty.onSent(send.record);
        CPPUNIT_ASSERT(duty.next(view(start, 1, 9)).step == UsageStep::Idle);
        const UsageAction second = duty.next(view(start + seconds(5), 2, 7));
        CPPUNIT_ASSERT(second.step == UsageStep::Write);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, *second.revision);
        CPPUNIT_ASSERT_EQUAL(FencingToken{1}, second.record.token);
    }

    void writeWithoutAnswerIsReadBack()
    {
        UsageReporter duty(life("a"), seconds(3));
        duty.onRead(std::nullopt, start);
        const UsageAction fix = duty.next(view(start, 1, 5));
        duty.invalidate();
        CPPUNIT_ASSERT(duty.next(view(start, 1, 6)).step == UsageStep::Read);
        duty.onRead(StoredUsage{fix.record, 11}, start + seconds(1));
        const UsageAction renew = duty.next(view(start + seconds(1), 1, 6));
        CPPUNIT_ASSERT(renew.step == UsageStep::Write);
        CPPUNIT_ASSERT(renew.record.counts == fix.record.counts);
    }

    void successorSendsWhatWasFixed()
    {
        const UsageReporter first = holder();
        UsageReporter next(life("b"), seconds(3));
        next.onRead(first.lastKnown(), start + seconds(1));
        CPPUNIT_ASSERT(next.next(view(start + seconds(2), 2, 8)).step == UsageStep::Read);
        next.onRead(first.lastKnown(), start + seconds(4));
        const UsageAction take = next.next(view(start + seconds(4), 2, 8));
        CPPUNIT_ASSERT(take.step == UsageStep::Write);
        CPPUNIT_ASSERT(take.isTakeover);
        CPPUNIT_ASSERT_EQUAL(FencingToken{2}, take.record.token);
        CPPUNIT_ASSERT_EQUAL(WindowNumber{1}, take.record.window);
        CPPUNIT_ASSERT_EQUAL(5U, take.record.counts.at(AccountName("t")));
        next.onWritten(take.record, 12, start + seconds(4));
        const UsageAction send = next.next(view(start + seconds(4), 2, 8));
        CPPUNIT_ASSERT(send.step == UsageStep::Send);
        next.onSent(send.record);
        CPPUNIT_ASSERT_EQUAL(WindowNumber{2},
                             next.next(view(start + seconds(4), 2, 8)).record.window);
    }

    void holderThatWasPausedDoesNotSend()
    {
        const UsageReporter duty = holder();
        const Time late = start + duty.sendTimeout();
        CPPUNIT_ASSERT(duty.next(view(late, 1, 5)).step == UsageStep::Write);
    }

    void emptyWindowsArePassedOver()
    {
        UsageReporter duty(life("a"), seconds(3));
        duty.onRead(std::nullopt, start);
        UsageView early = view(start, 1, 0);
        early.isComplete = false;
        CPPUNIT_ASSERT(duty.next(early).step == UsageStep::Idle);
        const UsageAction action = duty.next(view(start, 1, 0));
        CPPUNIT_ASSERT(action.step == UsageStep::Skip);
        duty.skip(action.record.window);
        CPPUNIT_ASSERT_EQUAL(WindowNumber{2}, duty.nextWindow(2));
    }

    /// It would leave out the window when it takes over.
    void standbyThatKnowsOfNoCallsSkipsNothing()
    {
        UsageReporter next(life("b"), seconds(3));
        next.onRead(holder().lastKnown(), start);
        CPPUNIT_ASSERT(next.next(view(start + seconds(4), 2, 0)).step == UsageStep::Idle);
        CPPUNIT_ASSERT_EQUAL(WindowNumber{2}, next.nextWindow(2));
        UsageView later = view(start + seconds(4), 3, 0);
        later.hasCalls = true; // of a window behind an empty one
        CPPUNIT_ASSERT(next.next(later).step == UsageStep::Read);
    }

    void oldWindowsAreNotMadeUpFor()
    {
        const UsageReporter duty = holder();
        CPPUNIT_ASSERT_EQUAL(WindowNumber{100 - UsageReporter::maxWindowsBehind},
                             duty.nextWindow(100));
    }

    /// Three gateways that all think that it is their turn; each write and report answered, not
    /// answered, late or lost, each process restarted, at every step.
    void noOrderOfEventsBreaksThePromise()
    {
        const Found calm = explore(3, leaseSpan, 0, Time(tick * 3));
        CPPUNIT_ASSERT(!calm.isBroken);
        CPPUNIT_ASSERT(calm.lastTaken >= 2);
        CPPUNIT_ASSERT(calm.states > 10'000);
        const Found once = explore(3, leaseSpan, 1, Time(tick * 2));
        CPPUNIT_ASSERT(!once.isBroken);
        CPPUNIT_ASSERT(once.states > 10'000);
        CPPUNIT_ASSERT(!explore(3, leaseSpan, 2, Time(tick)).isBroken);
    }

    /// The search finds what gateways do that keep a shorter lease than the platform asks for.
    void shorterLeaseIsFoundOut()
    {
        CPPUNIT_ASSERT(explore(2, leaseSpan * 3, 0, Time(tick * 4)).isBroken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageReporterTest);

} // namespace reachlead
