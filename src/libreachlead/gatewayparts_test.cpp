// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <ctime>
#include <mutex>
#include <numeric>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <reachlead/eventsplitter.h>
#include <reachlead/latency.h>
#include <reachlead/logwriter.h>
#include <reachlead/placement/promptcache.h>
#include <reachlead/retryshare.h>
#include <reachlead/watcherelection.h>

namespace reachlead {

/// Components of a gateway: retry shares, event splitting, prompt caches, watcher election,
/// latencies and the log budget.
class GatewayPartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayPartsTest);
    CPPUNIT_TEST(sharesOfRetriesNeverSumAboveTheBound);
    CPPUNIT_TEST(retriesAreAllowedAgainAfterTheWindow);
    CPPUNIT_TEST(retriesOfReplacedProcessesStayWithinTheBound);
    CPPUNIT_TEST(eventsAreSplitAtTheirEnds);
    CPPUNIT_TEST(eventsAreTheSameWhereverTheStreamWasCut);
    CPPUNIT_TEST(partOfAnEventIsHeldBack);
    CPPUNIT_TEST(longEventIsSearchedOnce);
    CPPUNIT_TEST(endlessEventIsRefused);
    CPPUNIT_TEST(partCountsOnlyAfterItsPrefix);
    CPPUNIT_TEST(cacheEvictsTheLeastRecentlyUsed);
    CPPUNIT_TEST(threeGatewaysWatch);
    CPPUNIT_TEST(fewWatchFirstWhenAllAreStale);
    CPPUNIT_TEST(seedsWatchWhileTheFleetStarts);
    CPPUNIT_TEST(staleGatewayWatchesWhateverItsPosition);
    CPPUNIT_TEST(quantilesFollowTheSamples);
    CPPUNIT_TEST(logBudgetRefillsWithTime);
    CPPUNIT_TEST(slowOutputNeverBlocksCallers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    /// Any number of gateways with any number of first sends, each of which retries as often as it
    /// may.
    void sharesOfRetriesNeverSumAboveTheBound()
    {
        CPPUNIT_ASSERT(rc::check("shares of retries", [] {
            const auto gateways = *rc::gen::inRange<std::size_t>(1, 30);
            const auto firstSends =
                *rc::gen::container<std::vector<unsigned>>(gateways, rc::gen::inRange(0U, 200U));
            const RetryBounds bounds;
            const ServiceName service("s");
            double retries = 0;
            for (const unsigned sends : firstSends) {
                RetryShare share(bounds);
                share.setGatewayCount(gateways);
                for (unsigned n = 0; n < sends; ++n)
                    share.recordFirstSend(service, start + milliseconds(n));
                while (share.take(service, start + milliseconds(300)))
                    ++retries;
            }
            const double all = std::accumulate(firstSends.begin(), firstSends.end(), 0.0);
            RC_ASSERT(retries <= bounds.ratio * all + bounds.slack);
        }));
    }

    void retriesAreAllowedAgainAfterTheWindow()
    {
        RetryShare share;
        const ServiceName service("s");
        while (share.take(service, start)) { }
        CPPUNIT_ASSERT(!share.take(service, start + seconds(9)));
        CPPUNIT_ASSERT(share.take(service, start + seconds(11)));
        CPPUNIT_ASSERT(share.take(ServiceName("other"), start));
    }

    /// All gateways are replaced at once, at any time in a window, and retry as often as they may
    /// before and after.
    void retriesOfReplacedProcessesStayWithinTheBound()
    {
        CPPUNIT_ASSERT(rc::check("retries of replaced processes", [] {
            const auto gateways = *rc::gen::inRange<std::size_t>(1, 30);
            const auto firstSends = *rc::gen::inRange(0, 100);
            const RetryBounds bounds;
            const auto replacedAfter =
                milliseconds(*rc::gen::inRange<std::int64_t>(1, bounds.window / milliseconds(1)));
            const ServiceName service("s");
            double retries = 0;
            const auto retryAt = [&](RetryShare &share, Time now) {
                share.setGatewayCount(gateways);
                for (int n = 0; n < firstSends; ++n)
                    share.recordFirstSend(service, now);
                while (share.take(service, now))
                    ++retries;
            };
            for (std::size_t n = 0; n < gateways; ++n) {
                RetryShare before(bounds);
                retryAt(before, start);
                RetryShare after(bounds);
                after.setStarted(start + replacedAfter);
                retryAt(after, start + bounds.window - milliseconds(1));
            }
            const double all = 2.0 * firstSends * static_cast<double>(gateways);
            RC_ASSERT(retries <= bounds.ratio * all + bounds.slack);
        }));
        RetryShare share;
        share.setStarted(start);
        const ServiceName service("s");
        CPPUNIT_ASSERT(share.remaining(service, start + RetryBounds{}.window)
                       > 2 * share.remaining(service, start));
    }

    /// In whatever pieces the bytes arrive, exactly the whole events are passed on.
    void eventsAreSplitAtTheirEnds()
    {
        CPPUNIT_ASSERT(rc::check("events over any pieces", [] {
            const auto count = *rc::gen::inRange(0U, 20U);
            const std::string lineEnd = *rc::gen::element<std::string>("\n", "\r\n");
            std::string all;
            for (unsigned n = 1; n <= count; ++n)
                all += fmt::format("{0}id: {1}{2}data: x{1}{2}{2}",
                                   n % 3 == 0 ? "versions: 2" + lineEnd : "", n, lineEnd);
            const std::string tail = *rc::gen::element<std::string>("", "id: 99\ndata: y\n", "i");
            EventSplitter splitter;
            std::string out;
            const std::string bytes = all + tail;
            std::size_t at = 0;
            while (at < bytes.size()) {
                const auto n = *rc::gen::inRange<std::size_t>(1, 30);
                out += splitter.feed(bytes.substr(at, n));
                RC_ASSERT(!splitter.rejection());
                at += n;
            }
            RC_ASSERT(out == all);
            RC_ASSERT(splitter.eventCount() == count);
            RC_ASSERT(splitter.hasPartialEvent() == !tail.empty());
            RC_ASSERT(splitter.lastId().value_or(0) == count);
        }));
    }

    static std::string eventText(std::uint64_t id)
    {
        return fmt::format("id: {}\r\ndata: x{}\r\n\r\n", id, id);
    }

    /// Each engine but the last breaks off anywhere; the next one begins behind the last event that
    /// was passed on.
    void eventsAreTheSameWhereverTheStreamWasCut()
    {
        CPPUNIT_ASSERT(rc::check("events over any cuts", [] {
            const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
            const auto cuts =
                *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 80));
            const auto stream = [count](std::uint64_t after) {
                std::string text;
                for (std::uint64_t id = after + 1; id <= count; ++id)
                    text += eventText(id);
                return text;
            };
            EventSplitter splitter;
            std::string out;
            for (const std::size_t cut : cuts) {
                splitter.beginAnswer(EventCheck::OfOneRun, 0);
                out += splitter.feed(stream(splitter.lastId().value_or(0)).substr(0, cut));
            }
            splitter.beginAnswer(EventCheck::OfOneRun, 0);
            out += splitter.feed(stream(splitter.lastId().value_or(0)));
            RC_ASSERT(out == stream(0));
            RC_ASSERT(!splitter.hasPartialEvent() && splitter.eventCount() == count);
        }));
    }

    void partOfAnEventIsHeldBack()
    {
        EventSplitter splitter;
        splitter.beginAnswer(EventCheck::OfOneRun, 0);
        CPPUNIT_ASSERT_EQUAL(eventText(1), splitter.feed(eventText(1) + "id: 2\r\nda"));
        CPPUNIT_ASSERT(splitter.hasPartialEvent());
        splitter.beginAnswer(EventCheck::OfOneRun, 0);
        CPPUNIT_ASSERT_EQUAL(eventText(2), splitter.feed(eventText(2)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, *splitter.lastId());
    }

    /// The load: events as long as they may be, in the pieces of a slow network.
    void longEventIsSearchedOnce()
    {
        constexpr double limit = 2; // seconds; about 5 with a search for each piece
        const std::string first = "id: 1\ndata: ";
        const std::string piece(256, 'x');
        EventSplitter splitter;
        const std::clock_t begin = std::clock();
        CPPUNIT_ASSERT(splitter.feed(first).empty());
        for (std::size_t n = 1; n < EventSplitter::maxEventBytes / piece.size(); ++n)
            CPPUNIT_ASSERT(splitter.feed(piece).empty());
        CPPUNIT_ASSERT(splitter.feed(piece.substr(first.size())).empty());
        CPPUNIT_ASSERT(!splitter.rejection());
        CPPUNIT_ASSERT_EQUAL(EventSplitter::maxEventBytes + 2, splitter.feed("\n\n").size());
        CPPUNIT_ASSERT(static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC < limit);
    }

    void endlessEventIsRefused()
    {
        EventSplitter splitter;
        splitter.feed(std::string(EventSplitter::maxEventBytes + 1, 'x'));
        CPPUNIT_ASSERT(splitter.rejection());
        CPPUNIT_ASSERT(splitter.rejection()->fault == EventFault::TooLong);
    }

    static std::vector<KeyedPart> parts(const std::string &model,
                                        const std::vector<PromptPart> &prompt)
    {
        return keyParts(model, prompt);
    }

    static void addPrompt(PromptCache *cache, const std::string &model,
                          const std::vector<PromptPart> &prompt)
    {
        for (const KeyedPart &part : keyParts(model, prompt))
            cache->insert(part.key, Time{});
    }

    void partCountsOnlyAfterItsPrefix()
    {
        PromptCache cache;
        const std::vector<PromptPart> prompt{{1, 100}, {2, 50}, {3, 7}};
        addPrompt(&cache, "m", prompt);
        CPPUNIT_ASSERT_EQUAL(TokenCount{157}, cache.cachedTokens(parts("m", prompt)));
        CPPUNIT_ASSERT_EQUAL(TokenCount{150},
                             cache.cachedTokens(parts("m", {{1, 100}, {2, 50}, {9, 9}})));
        CPPUNIT_ASSERT_EQUAL(TokenCount{0}, cache.cachedTokens(parts("m", {{9, 100}, {2, 50}})));
        CPPUNIT_ASSERT_EQUAL(TokenCount{0}, cache.cachedTokens(parts("other", prompt)));
    }

    void cacheEvictsTheLeastRecentlyUsed()
    {
        PromptCache cache;
        const std::vector<PromptPart> kept{{1, 10}};
        for (std::uint64_t n = 1; n <= 2 * PromptCache::maxParts; ++n) {
            addPrompt(&cache, "m", {{n, 10}});
            addPrompt(&cache, "m", kept);
        }
        CPPUNIT_ASSERT_EQUAL(PromptCache::maxParts, cache.size());
        CPPUNIT_ASSERT_EQUAL(TokenCount{10}, cache.cachedTokens(parts("m", kept)));
        CPPUNIT_ASSERT_EQUAL(TokenCount{0}, cache.cachedTokens(parts("m", {{2, 10}})));
    }

    static std::set<VmName> fleet(std::size_t n)
    {
        std::set<VmName> vms;
        for (std::size_t it = 0; it < n; ++it)
            vms.insert(VmName(fmt::format("gateway-{}", it)));
        return vms;
    }

    void threeGatewaysWatch()
    {
        const std::set<VmName> all = fleet(480);
        std::size_t watching = 0;
        for (const VmName &vm : all) {
            std::set<VmName> others = all;
            others.erase(vm);
            WatcherElection election(vm);
            election.start(start);
            watching += election.isWatcher(others, start) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, watching);
    }

    /// All watchers are lost at once, so the states of the other gateways become stale at the same
    /// time. In a fleet of any size, few of them read the store before these can confirm the state
    /// of the rest.
    void fewWatchFirstWhenAllAreStale()
    {
        for (const std::size_t size : {std::size_t{30}, std::size_t{300}, std::size_t{1000}}) {
            const std::set<VmName> all = fleet(size);
            const Duration limit = WatcherElection::Options().staleLimit;
            std::size_t atOnce = 0;
            std::size_t atTheEnd = 0;
            for (const VmName &vm : all) {
                std::set<VmName> others = all;
                others.erase(vm);
                WatcherElection election(vm);
                election.start(start);
                election.confirmed(start + seconds(10));
                const Time stale = start + seconds(10) + limit;
                atOnce += election.isWatcher(others, stale + milliseconds(10)) ? 1 : 0;
                atTheEnd += election.isWatcher(others, stale + limit / 5) ? 1 : 0;
            }
            CPPUNIT_ASSERT(atOnce >= WatcherElection::watcherCount && atOnce <= 3 + size / 20);
            CPPUNIT_ASSERT(atTheEnd >= size - 2); // all watch if the first ones confirm nothing
        }
    }

    /// Gateways that have just started know few of the others, so most would consider themselves
    /// among the first in the order.
    void seedsWatchWhileTheFleetStarts()
    {
        std::size_t watching = 0;
        std::size_t later = 0;
        for (int n = 0; n < 300; ++n) {
            WatcherElection::Options options;
            options.hasSeeds = true;
            options.isSeed = n < 3;
            WatcherElection election(VmName(fmt::format("vm-{}", n)), options);
            election.start(start);
            election.confirmed(start + seconds(1));
            watching += election.isWatcher({VmName("seed")}, start + milliseconds(200)) ? 1 : 0;
            later += election.isWatcher(fleet(480), start + options.staleLimit) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, watching);
        CPPUNIT_ASSERT(later < 10); // by their position among all
    }

    void staleGatewayWatchesWhateverItsPosition()
    {
        const std::set<VmName> others = fleet(480);
        WatcherElection election(VmName("gateway-last"));
        election.start(start);
        CPPUNIT_ASSERT(!election.isWatcher({}, start)); // heartbeats of peers may still arrive
        CPPUNIT_ASSERT(!election.isWatcher(others, start));
        election.confirmed(start + seconds(5));
        CPPUNIT_ASSERT(!election.isWatcher(
            others, start + seconds(5) + WatcherElection::Options().staleLimit));
        CPPUNIT_ASSERT(
            election.isWatcher(others, start + seconds(6) + WatcherElection::Options().staleLimit));
        CPPUNIT_ASSERT(election.isWatcher({}, start + seconds(5)));
    }

    void logBudgetRefillsWithTime()
    {
        LogBudget budget;
        unsigned taken = 0;
        while (budget.take(start))
            ++taken;
        CPPUNIT_ASSERT_EQUAL(static_cast<unsigned>(LogBudget::burst), taken);
        CPPUNIT_ASSERT(!budget.take(start));
        CPPUNIT_ASSERT(budget.take(start + milliseconds(10)));
    }

    /// An output that blocks: lines are dropped and counted, and no caller waits.
    void slowOutputNeverBlocksCallers()
    {
        std::mutex output;
        std::string written;
        output.lock();
        {
            LogWriter writer([&](const std::string &text) {
                const std::scoped_lock lock(output);
                written += text;
            });
            const std::string line(1000, 'x');
            for (int n = 0; n < 2000; ++n)
                writer.put(line, true);
            CPPUNIT_ASSERT(writer.dropped() > 0);
            output.unlock();
        }
        CPPUNIT_ASSERT(written.find("event=log-lines-dropped count=") != std::string::npos);
    }

    void quantilesFollowTheSamples()
    {
        LatencyHistograms latencies;
        CPPUNIT_ASSERT_EQUAL(0.0, latencies.quantile(LatencyKind::Whole, 0.5));
        for (int ms = 1; ms <= 1000; ++ms)
            latencies.recordLatency(LatencyKind::Whole, milliseconds(ms));
        const double p50 = latencies.quantile(LatencyKind::Whole, 0.5);
        CPPUNIT_ASSERT(p50 >= 500 && p50 < 1000);
        CPPUNIT_ASSERT(latencies.prometheusText().find("reachlead_whole_milliseconds_count 1000")
                       != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPartsTest);

} // namespace reachlead
