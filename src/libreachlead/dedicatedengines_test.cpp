// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <reachlead/dedicatedengines.h>

namespace reachlead {

/// How many engines are kept free of long prompts, and which.
class QuietEnginesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuietEnginesTest);
    CPPUNIT_TEST(aTenthIsQuietWithoutDemand);
    CPPUNIT_TEST(burstOfShortPromptsGetsItsPlacesAtOnce);
    CPPUNIT_TEST(longPromptsKeepTheirPart);
    CPPUNIT_TEST(numberFallsAfterAPause);
    CPPUNIT_TEST(moreDemandOnlyAddsEngines);
    CPPUNIT_TEST(zonesTakeTurns);
    CPPUNIT_TEST(changedSetKeepsTheNumber);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};
    static constexpr unsigned slots = 32;

    static UpstreamDirectory directory(unsigned n)
    {
        std::vector<UpstreamEntry> entries;
        for (unsigned it = 0; it < n; ++it) {
            UpstreamEntry entry;
            entry.id = UpstreamId(fmt::format("u{}", it));
            entry.service = ServiceName("llm");
            entry.zone = ZoneName(fmt::format("z{}", it % 3));
            entry.slots = slots;
            entries.push_back(entry);
        }
        UpstreamDirectory made;
        made.replaceAll(entries, 1, start);
        return made;
    }

    static const std::set<UpstreamId> &quietFor(DedicatedEngines *engines,
                                                const UpstreamDirectory &upstreams, double brief,
                                                Time now, double backlog = 0)
    {
        if (now == start)
            engines->of(ServiceName("llm"), upstreams, now); // makes the service known
        engines->setDemand({{ServiceName("llm"), {brief, backlog}}}, now);
        return engines->of(ServiceName("llm"), upstreams, now);
    }

    void aTenthIsQuietWithoutDemand()
    {
        const UpstreamDirectory upstreams = directory(50);
        DedicatedEngines engines({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, quietFor(&engines, upstreams, 0, start).size());
    }

    /// 55 engines of 32 places, 120 calls/s of 1.9 s each, then a burst of twice that.
    void burstOfShortPromptsGetsItsPlacesAtOnce()
    {
        const UpstreamDirectory upstreams = directory(55);
        DedicatedEngines engines({});
        for (const double running : {228.0, 456.0}) {
            const std::size_t quiet = quietFor(&engines, upstreams, running, start).size();
            CPPUNIT_ASSERT(static_cast<double>(quiet) * slots >= running / 0.6);
            CPPUNIT_ASSERT(quiet <= 28); // not more than needed
        }
    }

    void longPromptsKeepTheirPart()
    {
        const UpstreamDirectory upstreams = directory(10);
        DedicatedEngines engines({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, quietFor(&engines, upstreams, 1e6, start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, quietFor(&engines, upstreams, 1e6, start, 1).size());
        // Both kinds ask for twice of what there is: 20 engines each.
        const double brief = 20 * 0.6 * slots;
        const Time later = start + DedicatedEngines::shrinkPause;
        CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                             quietFor(&engines, upstreams, brief, later, 20 * 200.0).size());
    }

    /// After a burst of short prompts comes one of long prompts: these get their engines in 2 s.
    void numberFallsAfterAPause()
    {
        const UpstreamDirectory upstreams = directory(55);
        DedicatedEngines engines({});
        const std::size_t most = quietFor(&engines, upstreams, 400, start).size();
        Time now = start + DedicatedEngines::shrinkPause - milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(most, quietFor(&engines, upstreams, 100, now).size());
        now += milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, quietFor(&engines, upstreams, 100, now).size());
        // A lull that is shorter than the pause changes nothing.
        const std::size_t again = quietFor(&engines, upstreams, 400, now).size();
        now += milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(again, quietFor(&engines, upstreams, 100, now).size());
        now += DedicatedEngines::shrinkPause - milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(again, quietFor(&engines, upstreams, 400, now).size());
    }

    /// Gateways that see different demands disagree on few engines: one set holds the other.
    void moreDemandOnlyAddsEngines()
    {
        const UpstreamDirectory upstreams = directory(55);
        DedicatedEngines one({});
        DedicatedEngines two({});
        const std::set<UpstreamId> fewer = quietFor(&one, upstreams, 200, start);
        const std::set<UpstreamId> more = quietFor(&two, upstreams, 240, start);
        CPPUNIT_ASSERT(std::ranges::includes(more, fewer));
        CPPUNIT_ASSERT(more.size() <= fewer.size() + 3);
    }

    void zonesTakeTurns()
    {
        const UpstreamDirectory upstreams = directory(30);
        DedicatedEngines engines({});
        std::set<ZoneName> zones;
        for (const UpstreamId &id : quietFor(&engines, upstreams, 0, start))
            zones.insert(upstreams.find(id)->zone);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zones.size());
    }

    void changedSetKeepsTheNumber()
    {
        UpstreamDirectory upstreams = directory(55);
        DedicatedEngines engines({});
        const std::size_t before = quietFor(&engines, upstreams, 228, start).size();
        UpstreamEntry gone = *upstreams.find(UpstreamId("u0"));
        upstreams.applyChanges({{gone, true}}, 2, start);
        const auto &after = engines.of(ServiceName("llm"), upstreams, start);
        CPPUNIT_ASSERT_EQUAL(before, after.size());
        CPPUNIT_ASSERT(!after.contains(UpstreamId("u0")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuietEnginesTest);

} // namespace reachlead
