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
constexpr Duration leaseTime = tick * 2; ///< that the gateways use

/// What happens to a write or a report.
enum class Delivery : std::uint8_t {
    Answered, ///< done, and the sender gets the reply
    Unanswered, ///< done, but the reply is lost
    Late, ///< done later if still valid; the sender gets no reply
    Lost ///< never done; the sender gets no reply
};
constexpr std::array<Delivery, 4> deliveries{Delivery::Answered, Delivery::Unanswered,
                                             Delivery::Late, Delivery::Lost};

/// A model of a store with one object, a platform that accepts all reports, and gateways that all
/// try to report. Time advances by ticks; the number of faults is bounded.
struct Model
{
    struct LateWrite
    {
        UsageRecord record;
        StoreRevision revision;

        auto operator<=>(const LateWrite &) const = default;
    };
    struct LateReport
    {
        UsageRecord record;
        Time until; ///< when the connection is closed

        auto operator<=>(const LateReport &) const = default;
    };
    struct AcceptedReport
    {
        VmName holder;
        FencingToken token = 0;
        Time at;

        auto operator<=>(const AcceptedReport &) const = default;
    };

    Time now{};
    std::vector<UsageReporter> reporters;
    std::optional<UsageRecord> stored; ///< in this era
    StoreRevision revision;
    std::vector<LateWrite> lateWrites;
    std::vector<LateReport> lateReports;
    std::map<WindowNumber, UsageCounts> accepted;
    std::vector<AcceptedReport> lastReports; ///< the last report of each holder, newest last
    Duration requiredLease{}; ///< during which reports of two holders must not alternate
    int faultsLeft = 0;
    int restoresLeft = 0; ///< of the store
    bool isViolated = false;

    auto operator<=>(const Model &) const = default;

    Model(std::size_t gateways, Duration lease, int faults)
        : requiredLease(lease), faultsLeft(faults)
    {
        for (std::uint64_t n = 0; n < gateways; ++n)
            reporters.push_back(knowingNoRecord(gatewayId(n, 1)));
    }

    /// A reporter that found no record a lease ago, and must read again.
    static UsageReporter knowingNoRecord(const GatewayIncarnation &self)
    {
        UsageReporter reporter(self, leaseTime);
        reporter.onRead(std::nullopt, 0, Time(-leaseTime), 0);
        reporter.invalidate();
        return reporter;
    }

    static GatewayIncarnation gatewayId(std::uint64_t gateway, std::uint64_t incarnation)
    {
        return {VmName(std::string(1, static_cast<char>('a' + gateway))), Incarnation{incarnation}};
    }

    /// Each gateway has different counts, which change over time.
    UsageView viewAt(std::size_t gateway) const
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

    bool write(const UsageRecord &record, StoreRevision over)
    {
        const bool matches = over.isKnown() ? stored && over == revision : !stored;
        if (!matches || over.era != revision.era)
            return false;
        stored = record;
        ++revision.number;
        return true;
    }

    /// The store is restored from an older copy: its new era has no record.
    void restore()
    {
        stored.reset();
        revision = {revision.era + 1, 0};
    }

    void report(const UsageRecord &record)
    {
        const auto [it, isFirst] = accepted.emplace(record.window, record.counts);
        if (!isFirst && it->second != record.counts)
            isViolated = true; // two different reports of one window
        for (const AcceptedReport &last : lastReports) {
            if (last.token > record.token)
                isViolated = true; // a lower token than an earlier report
            if (last.token == record.token && last.holder != record.holder.vm)
                isViolated = true; // two holders with one token
        }
        std::optional<Time> ownBefore;
        for (const AcceptedReport &last : lastReports) {
            if (last.holder == record.holder.vm)
                ownBefore = last.at;
            else if (ownBefore && now < *ownBefore + requiredLease)
                isViolated = true; // alternating holders within a lease
        }
        std::erase_if(lastReports,
                      [&](const AcceptedReport &last) { return last.holder == record.holder.vm; });
        lastReports.push_back({record.holder.vm, record.token, now});
    }

    /// All possible results of one gateway's next step.
    void forEachResult(std::size_t gateway, const std::function<void(Model)> &take) const
    {
        const UsageAction action = reporters[gateway].next(viewAt(gateway));
        if (action.step == UsageStep::Read) {
            Model next = *this;
            std::optional<StoredUsage> read;
            if (stored)
                read = StoredUsage{*stored, revision};
            next.reporters[gateway].onRead(read, revision.era, now, viewAt(gateway).dueWindow + 1);
            take(std::move(next));
        }
        for (const Delivery delivery : deliveries) {
            if (delivery != Delivery::Answered && faultsLeft == 0)
                continue;
            if (action.step == UsageStep::Write)
                take(afterWrite(gateway, action, delivery));
            if (action.step == UsageStep::Send)
                take(afterReport(gateway, action, delivery));
        }
    }

    Model afterWrite(std::size_t gateway, const UsageAction &action, Delivery delivery) const
    {
        Model next = *this;
        UsageReporter &reporter = next.reporters[gateway];
        if (delivery != Delivery::Answered)
            --next.faultsLeft;
        const bool isNow = delivery == Delivery::Answered || delivery == Delivery::Unanswered;
        const bool isDone = isNow && next.write(action.record, action.revision);
        if (delivery == Delivery::Late)
            next.lateWrites.push_back({action.record, action.revision});
        if (isDone && delivery == Delivery::Answered)
            reporter.onWritten(action.record, next.revision, now);
        else
            reporter.invalidate();
        return next;
    }

    Model afterReport(std::size_t gateway, const UsageAction &action, Delivery delivery) const
    {
        Model next = *this;
        if (delivery != Delivery::Answered)
            --next.faultsLeft;
        if (delivery == Delivery::Answered || delivery == Delivery::Unanswered)
            next.report(action.record);
        if (delivery == Delivery::Late)
            next.lateReports.push_back({action.record, now + action.limit});
        if (delivery == Delivery::Answered)
            next.reporters[gateway].onSent(action.record);
        return next;
    }

    /// All states that can follow this one.
    void successors(const std::function<void(Model)> &take) const
    {
        for (std::size_t n = 0; n < reporters.size(); ++n)
            forEachResult(n, take);
        for (std::size_t n = 0; n < lateWrites.size(); ++n) {
            Model next = *this;
            next.lateWrites.erase(next.lateWrites.begin() + static_cast<std::ptrdiff_t>(n));
            next.write(lateWrites[n].record, lateWrites[n].revision);
            take(std::move(next));
        }
        for (std::size_t n = 0; n < lateReports.size(); ++n) {
            Model next = *this;
            next.lateReports.erase(next.lateReports.begin() + static_cast<std::ptrdiff_t>(n));
            if (now < lateReports[n].until)
                next.report(lateReports[n].record);
            take(std::move(next));
        }
        if (faultsLeft > 0) {
            for (std::uint64_t n = 0; n < reporters.size(); ++n) {
                Model next = *this;
                --next.faultsLeft;
                next.reporters[n] = UsageReporter(
                    gatewayId(n, 2 + static_cast<std::uint64_t>(faultsLeft)), leaseTime);
                take(std::move(next));
            }
        }
        if (restoresLeft > 0) {
            Model next = *this;
            --next.restoresLeft;
            next.restore();
            take(std::move(next));
        }
        Model later = *this;
        later.now += tick;
        take(std::move(later));
    }
};

/// Result of a search over all orders of events.
struct SearchResult
{
    std::size_t states = 0;
    bool isViolated = false;
    WindowNumber lastAccepted = 0; ///< the last window with an accepted report
};

/// Visits every state that can be reached by \p horizon with at most \p faults faults and \p
/// restores of the store.
SearchResult explore(std::size_t gateways, Duration lease, int faults, Time horizon,
                     int restores = 0)
{
    SearchResult result;
    std::set<Model> seen;
    std::deque<Model> frontier{Model(gateways, lease, faults)};
    frontier.front().restoresLeft = restores;
    while (!frontier.empty()) {
        const Model model = std::move(frontier.front());
        frontier.pop_front();
        result.isViolated = result.isViolated || model.isViolated;
        if (!model.accepted.empty())
            result.lastAccepted = std::max(result.lastAccepted, model.accepted.rbegin()->first);
        if (result.isViolated)
            break;
        model.successors([&](Model next) {
            if (next.now <= horizon && seen.insert(next).second)
                frontier.push_back(std::move(next));
        });
    }
    result.states = seen.size();
    return result;
}

} // namespace

/// Tests which gateway may report usage when.
class UsageReporterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageReporterTest);
    CPPUNIT_TEST(holderStoresCountsBeforeItSends);
    CPPUNIT_TEST(writeWithoutReplyIsReadBack);
    CPPUNIT_TEST(successorSendsStoredCounts);
    CPPUNIT_TEST(holderThatWasPausedDoesNotSend);
    CPPUNIT_TEST(emptyWindowsAreSkipped);
    CPPUNIT_TEST(standbyThatKnowsOfNoCallsSkipsNothing);
    CPPUNIT_TEST(oldWindowsAreNotReported);
    CPPUNIT_TEST(noOrderOfEventsBreaksTheInvariant);
    CPPUNIT_TEST(shorterLeaseIsDetected);
    CPPUNIT_TEST(windowReportedBeforeARestoreIsNotReportedAgain);
    CPPUNIT_TEST(noRestoreOfTheStoreBreaksTheInvariant);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    static GatewayIncarnation gatewayId(const std::string &vm)
    {
        return {VmName(vm), Incarnation{1}};
    }

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

    /// A reporter that has written window 1 with 5 calls at `start`, as the first holder.
    static UsageReporter holder()
    {
        UsageReporter reporter(gatewayId("a"), seconds(3));
        reporter.onRead(std::nullopt, 0, start - seconds(3), 1);
        const UsageAction action = reporter.next(view(start, 1, 5));
        reporter.onWritten(action.record, 11, start);
        return reporter;
    }

    void holderStoresCountsBeforeItSends()
    {
        UsageReporter reporter(gatewayId("a"), seconds(3));
        CPPUNIT_ASSERT(reporter.next(view(start, 1, 5)).step == UsageStep::Read);
        reporter.onRead(std::nullopt, 0, start - seconds(3), 1);
        const UsageAction write = reporter.next(view(start, 1, 5));
        CPPUNIT_ASSERT(write.step == UsageStep::Write);
        CPPUNIT_ASSERT(!write.revision.isKnown());
        reporter.onWritten(write.record, 11, start);
        const UsageAction send = reporter.next(view(start, 1, 9));
        CPPUNIT_ASSERT(send.step == UsageStep::Send);
        CPPUNIT_ASSERT_EQUAL(5U, send.record.counts.at(AccountName("t")));
        CPPUNIT_ASSERT(send.limit == reporter.sendTimeout());
        reporter.onSent(send.record);
        CPPUNIT_ASSERT(reporter.next(view(start, 1, 9)).step == UsageStep::Idle);
        const UsageAction second = reporter.next(view(start + seconds(5), 2, 7));
        CPPUNIT_ASSERT(second.step == UsageStep::Write);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, second.revision.number);
        CPPUNIT_ASSERT_EQUAL(FencingToken{1}, second.record.token);
    }

    void writeWithoutReplyIsReadBack()
    {
        UsageReporter reporter(gatewayId("a"), seconds(3));
        reporter.onRead(std::nullopt, 0, start - seconds(3), 1);
        const UsageAction write = reporter.next(view(start, 1, 5));
        reporter.invalidate();
        CPPUNIT_ASSERT(reporter.next(view(start, 1, 6)).step == UsageStep::Read);
        reporter.onRead(StoredUsage{write.record, 11}, 0, start + seconds(1), 2);
        const UsageAction renew = reporter.next(view(start + seconds(1), 1, 6));
        CPPUNIT_ASSERT(renew.step == UsageStep::Write);
        CPPUNIT_ASSERT(renew.record.counts == write.record.counts);
    }

    void successorSendsStoredCounts()
    {
        const UsageReporter first = holder();
        UsageReporter next(gatewayId("b"), seconds(3));
        next.onRead(first.lastKnown(), 0, start + seconds(1), 2);
        CPPUNIT_ASSERT(next.next(view(start + seconds(2), 2, 8)).step == UsageStep::Read);
        next.onRead(first.lastKnown(), 0, start + seconds(4), 2);
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
        const UsageReporter reporter = holder();
        const Time late = start + reporter.sendTimeout();
        CPPUNIT_ASSERT(reporter.next(view(late, 1, 5)).step == UsageStep::Write);
    }

    void emptyWindowsAreSkipped()
    {
        UsageReporter reporter(gatewayId("a"), seconds(3));
        reporter.onRead(std::nullopt, 0, start - seconds(3), 1);
        UsageView early = view(start, 1, 0);
        early.isComplete = false;
        CPPUNIT_ASSERT(reporter.next(early).step == UsageStep::Idle);
        const UsageAction action = reporter.next(view(start, 1, 0));
        CPPUNIT_ASSERT(action.step == UsageStep::Skip);
        reporter.skip(action.record.window);
        CPPUNIT_ASSERT_EQUAL(WindowNumber{2}, reporter.nextWindow(2));
    }

    /// A standby that skipped such a window would leave it out after taking over.
    void standbyThatKnowsOfNoCallsSkipsNothing()
    {
        UsageReporter next(gatewayId("b"), seconds(3));
        next.onRead(holder().lastKnown(), 0, start, 2);
        CPPUNIT_ASSERT(next.next(view(start + seconds(4), 2, 0)).step == UsageStep::Idle);
        CPPUNIT_ASSERT_EQUAL(WindowNumber{2}, next.nextWindow(2));
        UsageView later = view(start + seconds(4), 3, 0);
        later.hasCalls = true; // in a window after an empty one
        CPPUNIT_ASSERT(next.next(later).step == UsageStep::Read);
    }

    void oldWindowsAreNotReported()
    {
        const UsageReporter reporter = holder();
        CPPUNIT_ASSERT_EQUAL(WindowNumber{100 - UsageReporter::maxWindowsBehind},
                             reporter.nextWindow(100));
    }

    /// Three gateways all try to report. At every step, a write or a report can be answered, not
    /// answered, late or lost, and a process can restart.
    void noOrderOfEventsBreaksTheInvariant()
    {
        const SearchResult noFaults = explore(3, leaseTime, 0, Time(tick * 3));
        CPPUNIT_ASSERT(!noFaults.isViolated);
        CPPUNIT_ASSERT(noFaults.lastAccepted >= 2);
        CPPUNIT_ASSERT(noFaults.states > 10'000);
        const SearchResult oneFault = explore(3, leaseTime, 1, Time(tick * 2));
        CPPUNIT_ASSERT(!oneFault.isViolated);
        CPPUNIT_ASSERT(oneFault.states > 10'000);
        CPPUNIT_ASSERT(!explore(3, leaseTime, 2, Time(tick)).isViolated);
    }

    /// The search must find the violation when gateways use a shorter lease than required.
    void shorterLeaseIsDetected()
    {
        CPPUNIT_ASSERT(explore(2, leaseTime * 3, 0, Time(tick * 4)).isViolated);
    }

    /// The store lost the record of window 1. A gateway that counted other calls would report that
    /// window once more, and under the token that the lost record had.
    void windowReportedBeforeARestoreIsNotReportedAgain()
    {
        const UsageReporter first = holder();
        UsageReporter next(gatewayId("b"), seconds(3));
        next.onRead(first.lastKnown(), 0, start, 2);
        next.onRead(std::nullopt, 1, start + seconds(1), 2);
        CPPUNIT_ASSERT(next.next(view(start + seconds(2), 1, 8)).step == UsageStep::Idle);
        CPPUNIT_ASSERT(next.next(view(start + seconds(4), 1, 8)).step == UsageStep::Idle);
        const UsageAction write = next.next(view(start + seconds(4), 2, 8));
        CPPUNIT_ASSERT(write.step == UsageStep::Write);
        CPPUNIT_ASSERT_EQUAL(WindowNumber{2}, write.record.window);
        CPPUNIT_ASSERT(write.record.token > first.lastKnown()->record.token);
        CPPUNIT_ASSERT(write.revision == StoreRevision(1, 0));
    }

    /// Two gateways report, and the store may be restored at any step.
    void noRestoreOfTheStoreBreaksTheInvariant()
    {
        const SearchResult result = explore(2, leaseTime, 0, Time(tick * 5), 1);
        CPPUNIT_ASSERT(!result.isViolated);
        CPPUNIT_ASSERT(result.lastAccepted >= 3);
        CPPUNIT_ASSERT(!explore(2, leaseTime, 1, Time(tick * 3), 1).isViolated);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageReporterTest);

} // namespace reachlead
