// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <numeric>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <reachlead/eventsplitter.h>
#include <reachlead/latency.h>
#include <reachlead/logwriter.h>
#include <reachlead/promptcache.h>
#include <reachlead/retryshare.h>
#include <reachlead/watcherelection.h>

namespace reachlead {

/// The small parts that a gateway's decisions are made of.
class GatewayPartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayPartsTest);
    CPPUNIT_TEST(sharesOfRetriesNeverSumAboveTheBound);
    CPPUNIT_TEST(retriesComeBackWithTheWindow);
    CPPUNIT_TEST(eventsAreCutAtTheirEnds);
    CPPUNIT_TEST(partOfAnEventIsHeldBack);
    CPPUNIT_TEST(endlessEventIsRefused);
    CPPUNIT_TEST(partCountsOnlyBehindItsHead);
    CPPUNIT_TEST(cacheForgetsTheLeastUsed);
    CPPUNIT_TEST(threeGatewaysWatch);
    CPPUNIT_TEST(fewGoAheadWhereAllAreStale);
    CPPUNIT_TEST(seedsWatchWhileTheFleetStarts);
    CPPUNIT_TEST(staleGatewayWatchesWhateverItsRank);
    CPPUNIT_TEST(quantilesFollowTheSamples);
    CPPUNIT_TEST(logBudgetFillsUpWithTime);
    CPPUNIT_TEST(slowOutputNeverBlocksWhoeverLogs);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

    /// Any number of gateways, each with any first sends and endless wish to repeat.
    void sharesOfRetriesNeverSumAboveTheBound()
    {
        CPPUNIT_ASSERT(rc::check("shares of retries", [] {
            const auto gateways = *rc::gen::inRange<std::size_t>(1, 30);
            const auto firsts =
                *rc::gen::container<std::vector<unsigned>>(gateways, rc::gen::inRange(0U, 200U));
            const RetryBounds bounds;
            const ServiceName service("s");
            double repeats = 0;
            for (const unsigned sends : firsts) {
                RetryShare share(bounds);
                share.setGatewayCount(gateways);
                for (unsigned n = 0; n < sends; ++n)
                    share.recordFirstSend(service, start + milliseconds(n));
                while (share.take(service, start + milliseconds(300)))
                    ++repeats;
            }
            const double all = std::accumulate(firsts.begin(), firsts.end(), 0.0);
            RC_ASSERT(repeats <= bounds.ratio * all + bounds.slack);
        }));
    }

    void retriesComeBackWithTheWindow()
    {
        RetryShare share;
        const ServiceName service("s");
        while (share.take(service, start)) { }
        CPPUNIT_ASSERT(!share.take(service, start + seconds(9)));
        CPPUNIT_ASSERT(share.take(service, start + seconds(11)));
        CPPUNIT_ASSERT(share.take(ServiceName("other"), start));
    }

    /// However the bytes arrive, the whole events come out and nothing else.
    void eventsAreCutAtTheirEnds()
    {
        CPPUNIT_ASSERT(rc::check("events over any pieces", [] {
            const auto count = *rc::gen::inRange(0U, 20U);
            std::string all;
            for (unsigned n = 1; n <= count; ++n)
                all +=
                    fmt::format("{}id: {}\ndata: x{}\n\n", n % 3 == 0 ? "versions: 2\n" : "", n, n);
            const std::string tail = *rc::gen::element<std::string>("", "id: 99\ndata: y\n", "i");
            EventSplitter splitter;
            std::string out;
            const std::string bytes = all + tail;
            std::size_t at = 0;
            while (at < bytes.size()) {
                const auto n = *rc::gen::inRange<std::size_t>(1, 30);
                bool tooLong = false;
                out += splitter.feed(bytes.substr(at, n), &tooLong);
                RC_ASSERT(!tooLong);
                at += n;
            }
            RC_ASSERT(out == all);
            RC_ASSERT(splitter.eventCount() == count);
            RC_ASSERT(splitter.hasPartialEvent() == !tail.empty());
            RC_ASSERT(splitter.lastId().value_or(0) == count);
        }));
    }

    void partOfAnEventIsHeldBack()
    {
        EventSplitter splitter;
        bool tooLong = false;
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\r\n\r\n"),
                             splitter.feed("id: 1\r\n\r\nid: 2\r\nda", &tooLong));
        CPPUNIT_ASSERT(splitter.hasPartialEvent());
        splitter.dropPartialEvent();
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\n\n"), splitter.feed("id: 2\n\n", &tooLong));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, *splitter.lastId());
    }

    void endlessEventIsRefused()
    {
        EventSplitter splitter;
        bool tooLong = false;
        splitter.feed(std::string(EventSplitter::maxEventBytes + 1, 'x'), &tooLong);
        CPPUNIT_ASSERT(tooLong);
    }

    static std::vector<KeyedPart> parts(const std::string &model,
                                        const std::vector<PromptPart> &prompt)
    {
        return keyParts(model, prompt);
    }

    static void note(PromptCache *cache, const std::string &model,
                     const std::vector<PromptPart> &prompt)
    {
        for (const KeyedPart &part : keyParts(model, prompt))
            cache->insert(part.key, Time{});
    }

    void partCountsOnlyBehindItsHead()
    {
        PromptCache cache;
        const std::vector<PromptPart> prompt{{1, 100}, {2, 50}, {3, 7}};
        note(&cache, "m", prompt);
        CPPUNIT_ASSERT_EQUAL(TokenCount{157}, cache.cachedTokens(parts("m", prompt)));
        CPPUNIT_ASSERT_EQUAL(TokenCount{150},
                             cache.cachedTokens(parts("m", {{1, 100}, {2, 50}, {9, 9}})));
        CPPUNIT_ASSERT_EQUAL(TokenCount{0}, cache.cachedTokens(parts("m", {{9, 100}, {2, 50}})));
        CPPUNIT_ASSERT_EQUAL(TokenCount{0}, cache.cachedTokens(parts("other", prompt)));
    }

    void cacheForgetsTheLeastUsed()
    {
        PromptCache cache;
        const std::vector<PromptPart> kept{{1, 10}};
        for (std::uint64_t n = 1; n <= 2 * PromptCache::maxParts; ++n) {
            note(&cache, "m", {{n, 10}});
            note(&cache, "m", kept);
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
            WatcherElection duty(vm);
            duty.start(start);
            watching += duty.isWatcher(others, start) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, watching);
    }

    /// All that watched are lost at once. The others' states grow old together; few read the store
    /// before those can vouch for the rest, in a fleet of any size.
    void fewGoAheadWhereAllAreStale()
    {
        for (const std::size_t size : {std::size_t{30}, std::size_t{300}, std::size_t{1000}}) {
            const std::set<VmName> all = fleet(size);
            const Duration limit = WatcherElection::Options().staleLimit;
            std::size_t atOnce = 0;
            std::size_t atTheEnd = 0;
            for (const VmName &vm : all) {
                std::set<VmName> others = all;
                others.erase(vm);
                WatcherElection duty(vm);
                duty.start(start);
                duty.confirmed(start + seconds(10));
                const Time stale = start + seconds(10) + limit;
                atOnce += duty.isWatcher(others, stale + milliseconds(10)) ? 1 : 0;
                atTheEnd += duty.isWatcher(others, stale + limit / 5) ? 1 : 0;
            }
            CPPUNIT_ASSERT(atOnce >= WatcherElection::watcherCount && atOnce <= 3 + size / 20);
            CPPUNIT_ASSERT(atTheEnd >= size - 2); // nobody relies on the first
        }
    }

    /// Gateways that have just started know few of the others, so most would take themselves for
    /// one of the first.
    void seedsWatchWhileTheFleetStarts()
    {
        std::size_t watching = 0;
        std::size_t later = 0;
        for (int n = 0; n < 300; ++n) {
            WatcherElection::Options options;
            options.hasSeeds = true;
            options.isSeed = n < 3;
            WatcherElection duty(VmName(fmt::format("vm-{}", n)), options);
            duty.start(start);
            duty.confirmed(start + seconds(1));
            watching += duty.isWatcher({VmName("seed")}, start + milliseconds(200)) ? 1 : 0;
            later += duty.isWatcher(fleet(480), start + options.staleLimit) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, watching);
        CPPUNIT_ASSERT(later < 10); // by the order among all
    }

    void staleGatewayWatchesWhateverItsRank()
    {
        const std::set<VmName> others = fleet(480);
        WatcherElection duty(VmName("gateway-last"));
        duty.start(start);
        CPPUNIT_ASSERT(!duty.isWatcher({}, start)); // peers get time to be heard
        CPPUNIT_ASSERT(!duty.isWatcher(others, start));
        duty.confirmed(start + seconds(5));
        CPPUNIT_ASSERT(
            !duty.isWatcher(others, start + seconds(5) + WatcherElection::Options().staleLimit));
        CPPUNIT_ASSERT(
            duty.isWatcher(others, start + seconds(6) + WatcherElection::Options().staleLimit));
        CPPUNIT_ASSERT(duty.isWatcher({}, start + seconds(5)));
    }

    void logBudgetFillsUpWithTime()
    {
        LogBudget budget;
        unsigned taken = 0;
        while (budget.take(start))
            ++taken;
        CPPUNIT_ASSERT_EQUAL(static_cast<unsigned>(LogBudget::burst), taken);
        CPPUNIT_ASSERT(!budget.take(start));
        CPPUNIT_ASSERT(budget.take(start + milliseconds(10)));
    }

    /// An output that never comes back: lines are dropped and counted, nobody waits.
    void slowOutputNeverBlocksWhoeverLogs()
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
