// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <queue>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <reachlead/engines/upstreamspeeds.h>
#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

namespace {

constexpr Time start{seconds(100)};
constexpr double tokensPerMs = 157.0;
const ServiceName service("llm");

UpstreamId idOf(unsigned n, std::uint64_t startedAt = 0)
{
    return UpstreamId(fmt::format("u{}", n), startedAt);
}

UpstreamSpeeds::Settings enabled()
{
    UpstreamSpeeds::Settings settings;
    settings.isEnabled = true;
    return settings;
}

/// Engines that read prompts in order, a wave of long prompts, and a table that places them.
struct Replay
{
    /// Speed of engine \p n at a time, as a multiple of tokensPerMs.
    using SpeedFunction = std::function<double(unsigned n, Time at)>;

    struct Event
    {
        Time at;
        unsigned engine = 0;
        TokenCount tokens = 0;
        TokenCount ahead = 0;
        Time sentAt{};

        bool operator<(const Event &other) const { return at > other.at; }
    };

    static constexpr unsigned engines = 8;
    static constexpr TokenCount promptTokens = 6000;
    static constexpr Duration target = milliseconds(200);

    Replay(bool hasOwnSpeeds, SpeedFunction speed)
        : speedAt(std::move(speed)), table(ZoneName("z"), costs(hasOwnSpeeds))
    {
        std::vector<UpstreamEntry> entries;
        for (unsigned n = 0; n < engines; ++n) {
            UpstreamEntry entry;
            entry.id = idOf(n);
            entry.service = service;
            entry.zone = ZoneName("z");
            entry.slots = 128;
            entries.push_back(entry);
        }
        directory.replaceAll(entries, 1, start);
    }

    static UpstreamTable::Costs costs(bool hasOwnSpeeds)
    {
        UpstreamTable::Costs costs;
        costs.speeds.isEnabled = hasOwnSpeeds;
        costs.dedicated.minShare = 0;
        costs.longInDedicated = 0;
        return costs;
    }

    /// When an engine has read this much from \p at on.
    Time readUntil(unsigned n, Time at, double tokens) const
    {
        constexpr Duration step = milliseconds(1);
        for (; tokens > 0; at += step)
            tokens -= tokensPerMs * speedAt(n, at);
        return at;
    }

    void place(Time now)
    {
        const std::vector<PromptPart> prompt{{++calls, promptTokens}};
        const SelectionQuery query{service, "m", prompt, nullptr};
        const auto selection = table.select(query, directory, now);
        const auto n = static_cast<unsigned>(selection->upstream.text.at(1) - '0');
        table.sent(selection->upstream, query, *selection, now);
        freeAt[n] = readUntil(n, std::max(now, freeAt[n]), promptTokens);
        events.push({freeAt[n], n, promptTokens, selection->tokensToFirstEvent, now});
        ++placed[n];
    }

    void finish(const Event &event)
    {
        const Duration wait = event.at - event.sentAt;
        table.recordPrefill(service, idOf(event.engine), event.ahead, wait, event.at);
        table.firstEvent(idOf(event.engine), event.tokens);
        table.ended(idOf(event.engine), 0, false);
        late += wait > target ? 1 : 0;
    }

    /// Prompts from \p from to \p until, on average one each \p interval, in waves of
    /// \p amplitude that take 15 s.
    void play(Time from, Time until, Duration interval, double amplitude = 0)
    {
        constexpr double waveSeconds = 15.0;
        for (Time now = from; now < until;) {
            const double phase = 2 * std::numbers::pi * toSeconds(now - from) / waveSeconds;
            now += fromSeconds(toSeconds(interval) / (1 + amplitude * std::sin(phase)));
            while (!events.empty() && events.top().at <= now) {
                finish(events.top());
                events.pop();
            }
            place(now);
            changes += table.speeds().takeChanges(now).size();
        }
    }

    SpeedFunction speedAt;
    UpstreamTable table;
    UpstreamDirectory directory;
    std::map<unsigned, Time> freeAt;
    std::map<unsigned, unsigned> placed;
    std::priority_queue<Event> events;
    std::uint64_t calls = 0;
    unsigned late = 0;
    std::size_t changes = 0;
};

/// Each engine stalls for 90 ms of 600 ms at 1 / 2.5 of its speed, at a phase of its own.
double stall(unsigned n, Time at)
{
    constexpr auto cycle = milliseconds(600);
    constexpr auto phase = milliseconds(75);
    return (at.time_since_epoch() + n * phase) % cycle < milliseconds(90) ? 1 / 2.5 : 1.0;
}

/// A quarter of the engines is slow.
double uneven(unsigned n, Time at)
{
    return stall(n, at) * (n % 4 == 0 ? 0.55 : 1.2);
}

} // namespace

/// Learning the speed of each upstream, and its use in placement.
class UpstreamSpeedsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamSpeedsTest);
    CPPUNIT_TEST(waveOnUnevenEnginesIsSpreadBySpeed);
    CPPUNIT_TEST(stallsDoNotMakeAnEngineSlow);
    CPPUNIT_TEST(recoveredEngineIsUsedAgain);
    CPPUNIT_TEST(unobservedUpstreamIsAssumedUsual);
    CPPUNIT_TEST(slowUpstreamIsReportedOnce);
    CPPUNIT_TEST(rebirthForgets);
    CPPUNIT_TEST(oneHungCallChangesLittle);
    CPPUNIT_TEST(slowPlainUpstreamGetsFewerCalls);
    CPPUNIT_TEST(newSchedulerLearnsWhatWasObserved);
    CPPUNIT_TEST(reportsAreBounded);
    CPPUNIT_TEST(disabledLearnsNothing);
    CPPUNIT_TEST(speedsStayWithinBounds);
    CPPUNIT_TEST_SUITE_END();

    /// Prompts of 6,000 tokens, on average three quarters of what the engines can read, and more
    /// than that at the top of the wave.
    void waveOnUnevenEnginesIsSpreadBySpeed()
    {
        Replay without(false, uneven);
        Replay with(true, uneven);
        without.play(start, start + seconds(20), std::chrono::microseconds(7500), 0.55);
        with.play(start, start + seconds(20), std::chrono::microseconds(7500), 0.55);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("late: {} with, {} without", with.late, without.late),
                               with.late * 2 < without.late);
        CPPUNIT_ASSERT(with.placed[0] < without.placed[0]);
        CPPUNIT_ASSERT(with.placed[0] > 0);
    }

    void stallsDoNotMakeAnEngineSlow()
    {
        Replay replay(true, stall);
        replay.play(start, start + seconds(20), milliseconds(7), 0.55);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replay.changes);
        for (unsigned n = 0; n < Replay::engines; ++n) {
            const double speed = replay.table.speeds().speed(service, idOf(n), start + seconds(20));
            CPPUNIT_ASSERT(speed > UpstreamSpeeds::Settings().slowBelow && speed < 1.25);
            CPPUNIT_ASSERT(replay.placed[n] > 0);
        }
    }

    /// An engine is slow for 10 s, and then as fast as its siblings.
    void recoveredEngineIsUsedAgain()
    {
        Replay replay(true, [](unsigned n, Time at) {
            return n == 3 && at < start + seconds(10) ? 0.3 : 1.0;
        });
        replay.play(start, start + seconds(10), milliseconds(8));
        CPPUNIT_ASSERT(replay.placed[3] * 3 < replay.placed[4] * 2);
        replay.play(start + seconds(10), start + seconds(20), milliseconds(8));
        replay.placed.clear();
        replay.play(start + seconds(20), start + seconds(30), milliseconds(8));
        CPPUNIT_ASSERT(replay.placed[3] * 10 > replay.placed[4] * 8);
    }

    /// Engines 1 to 3 read 157 tokens per ms, engine 0 a third of it.
    static UpstreamSpeeds oneSlow(Time now)
    {
        UpstreamSpeeds speeds(enabled());
        for (unsigned n = 0; n < 4; ++n) {
            for (int it = 0; it < 20; ++it)
                speeds.observe(service, idOf(n), {n == 0 ? 5'233U : 15'700U, 100}, now);
        }
        return speeds;
    }

    void unobservedUpstreamIsAssumedUsual()
    {
        UpstreamSpeeds speeds = oneSlow(start);
        double before = speeds.speed(service, idOf(0), start);
        CPPUNIT_ASSERT(before < 0.5);
        for (Time at = start; at < start + seconds(40); at += seconds(1)) {
            for (unsigned n = 1; n < 4; ++n)
                speeds.observe(service, idOf(n), {15'700, 100}, at);
            const double speed = speeds.speed(service, idOf(0), at);
            CPPUNIT_ASSERT(speed >= before - 1e-9);
            before = speed;
        }
        CPPUNIT_ASSERT(before > 0.95);
    }

    void slowUpstreamIsReportedOnce()
    {
        UpstreamSpeeds speeds = oneSlow(start);
        const auto changes = speeds.takeChanges(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(changes[0].upstream == idOf(0) && changes[0].isSlow);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, speeds.slowCount());
        CPPUNIT_ASSERT(speeds.takeChanges(start).empty());
        const auto later = speeds.takeChanges(start + seconds(60));
        CPPUNIT_ASSERT(later.size() == 1 && !later[0].isSlow);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, speeds.slowCount());
    }

    void rebirthForgets()
    {
        UpstreamSpeeds speeds = oneSlow(start);
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.speed(service, idOf(0, 7), start));
        UpstreamDirectory directory;
        UpstreamEntry reborn;
        reborn.id = idOf(0, 7);
        directory.replaceAll({reborn}, 1, start);
        speeds.removeUnlisted(directory);
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.speed(service, idOf(0), start));
    }

    void oneHungCallChangesLittle()
    {
        UpstreamSpeeds speeds = oneSlow(start);
        speeds.observe(service, idOf(1), {15'700, 30'000}, start);
        CPPUNIT_ASSERT(speeds.speed(service, idOf(1), start) > 0.7);
    }

    /// Four upstreams of six slots, one of which takes twice as long for each call.
    void slowPlainUpstreamGetsFewerCalls()
    {
        UpstreamTable table(ZoneName("z"), Replay::costs(true));
        std::vector<UpstreamEntry> entries(4);
        for (unsigned n = 0; n < 4; ++n) {
            entries[n].id = idOf(n);
            entries[n].service = service;
            entries[n].zone = ZoneName("z");
            entries[n].slots = 6;
        }
        UpstreamDirectory directory;
        directory.replaceAll(entries, 1, start);
        const SelectionQuery query{service, "", {}, nullptr};
        std::map<UpstreamId, int> placed;
        std::multimap<Time, std::pair<UpstreamId, Time>> running;
        for (Time now = start; now < start + seconds(10); now += milliseconds(5)) {
            while (!running.empty() && running.begin()->first <= now) {
                const auto &[id, sentAt] = running.begin()->second;
                table.recordPlainCall(service, id, running.begin()->first - sentAt, now);
                table.ended(id, 0, false);
                running.erase(running.begin());
            }
            const auto selection = table.select(query, directory, now);
            table.sent(selection->upstream, query, *selection, now);
            ++placed[selection->upstream];
            const Duration work = milliseconds(selection->upstream == idOf(0) ? 120 : 60);
            running.emplace(now + work, std::pair(selection->upstream, now));
        }
        CPPUNIT_ASSERT(placed[idOf(0)] * 4 < placed[idOf(1)]);
        CPPUNIT_ASSERT(table.speeds().speed(service, idOf(0), start + seconds(10)) < 1.0);
    }

    /// The scheduler before has taken all reports.
    void newSchedulerLearnsWhatWasObserved()
    {
        UpstreamSpeeds gateway = oneSlow(start);
        const std::set<UpstreamId> group{idOf(0), idOf(1), idOf(2), idOf(3)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, gateway.takeUnreported(group, 16).size());
        CPPUNIT_ASSERT(gateway.takeUnreported(group, 16).empty());
        gateway.addReported(service, idOf(2), {1, 1000}, start); // seen by another gateway
        gateway.reportAgain(group, start);
        UpstreamSpeeds scheduler(enabled());
        for (const auto &[id, sample] : gateway.takeUnreported(group, 16))
            scheduler.addReported(service, id, sample, start);
        CPPUNIT_ASSERT(scheduler.speed(service, idOf(0), start) < 0.6);
        CPPUNIT_ASSERT(scheduler.speed(service, idOf(2), start) > 0.95);
    }

    void reportsAreBounded()
    {
        UpstreamSpeeds gateway = oneSlow(start);
        const std::set<UpstreamId> group{idOf(0), idOf(1), idOf(2)};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.takeUnreported(group, 2).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.takeUnreported(group, 2).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.takeUnreported({idOf(3)}, 2).size());
    }

    void disabledLearnsNothing()
    {
        UpstreamSpeeds speeds{UpstreamSpeeds::Settings()};
        for (unsigned n = 0; n < 4; ++n)
            speeds.observe(service, idOf(n), {n == 0 ? 1U : 15'700U, 100}, start);
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.speed(service, idOf(0), start));
        CPPUNIT_ASSERT(!speeds.workPerMs(service, idOf(0), start));
        CPPUNIT_ASSERT(speeds.takeUnreported({idOf(0)}, 16).empty());
        CPPUNIT_ASSERT(speeds.takeChanges(start).empty());
    }

    void speedsStayWithinBounds()
    {
        CPPUNIT_ASSERT(rc::check("any order of samples, losses and rebirths", [] {
            UpstreamSpeeds speeds(enabled());
            Time now = start;
            const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::arbitrary<std::uint32_t>());
            for (const std::uint32_t step : steps) {
                const UpstreamId id = idOf(step % 5, step % 3);
                const WorkSample sample{*rc::gen::inRange<std::uint32_t>(0, 1'000'000),
                                        *rc::gen::inRange<std::uint32_t>(0, 100'000)};
                if (step % 7 == 0)
                    speeds.addReported(service, id, sample, now);
                else if (step % 7 == 1)
                    speeds.takeUnreported({id}, 1); // the report is lost
                else if (step % 7 == 2)
                    speeds.reportAgain({id}, now);
                else if (step % 7 == 3)
                    speeds.removeUnlisted(UpstreamDirectory());
                else
                    speeds.observe(service, id, sample, now);
                now += milliseconds(step % 2000);
                const double speed = speeds.speed(service, id, now);
                RC_ASSERT(std::isfinite(speed));
                RC_ASSERT(speed >= UpstreamSpeeds::minSpeed - 1e-9);
                RC_ASSERT(speed <= UpstreamSpeeds::maxSpeed + 1e-9);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamSpeedsTest);

} // namespace reachlead
