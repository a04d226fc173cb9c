// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <reachlead/placement/dedicatedengines.h>

namespace reachlead {

/// Which engines are dedicated to short prompts, and how many.
class DedicatedEnginesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DedicatedEnginesTest);
    CPPUNIT_TEST(aTenthIsDedicatedWithoutDemand);
    CPPUNIT_TEST(burstOfShortPromptsGetsItsSlotsAtOnce);
    CPPUNIT_TEST(longPromptsKeepTheirShare);
    CPPUNIT_TEST(numberShrinksAfterADelay);
    CPPUNIT_TEST(moreDemandOnlyAddsEngines);
    CPPUNIT_TEST(zonesAreUsedRoundRobin);
    CPPUNIT_TEST(changedDirectoryKeepsTheNumber);
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

    static const std::set<UpstreamId> &dedicatedFor(DedicatedEngines *engines,
                                                    const UpstreamDirectory &upstreams,
                                                    double shortStreams, Time now,
                                                    double prefillBacklogMs = 0)
    {
        if (now == start)
            engines->engines(ServiceName("llm"), upstreams, now); // registers the service
        engines->setDemand({{ServiceName("llm"), {shortStreams, prefillBacklogMs}}}, now);
        return engines->engines(ServiceName("llm"), upstreams, now);
    }

    void aTenthIsDedicatedWithoutDemand()
    {
        const UpstreamDirectory upstreams = directory(50);
        DedicatedEngines engines({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, dedicatedFor(&engines, upstreams, 0, start).size());
    }

    /// 55 engines with 32 slots, 120 calls/s of 1.9 s each, then a burst of twice that.
    void burstOfShortPromptsGetsItsSlotsAtOnce()
    {
        const UpstreamDirectory upstreams = directory(55);
        DedicatedEngines engines({});
        for (const double running : {228.0, 456.0}) {
            const std::size_t dedicated = dedicatedFor(&engines, upstreams, running, start).size();
            CPPUNIT_ASSERT(static_cast<double>(dedicated) * slots >= running / 0.6);
            CPPUNIT_ASSERT(dedicated <= 28); // not more than needed
        }
    }

    void longPromptsKeepTheirShare()
    {
        const UpstreamDirectory upstreams = directory(10);
        DedicatedEngines engines({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, dedicatedFor(&engines, upstreams, 1e6, start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9},
                             dedicatedFor(&engines, upstreams, 1e6, start, 1).size());
        // Each kind needs 20 engines, twice as many as there are.
        const double shortStreams = 20 * 0.6 * slots;
        const Time later = start + DedicatedEngines::shrinkDelay;
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{5},
            dedicatedFor(&engines, upstreams, shortStreams, later, 20 * 200.0).size());
    }

    /// A burst of long prompts after one of short prompts gets its engines within 2 s.
    void numberShrinksAfterADelay()
    {
        const UpstreamDirectory upstreams = directory(55);
        DedicatedEngines engines({});
        const std::size_t peak = dedicatedFor(&engines, upstreams, 400, start).size();
        Time now = start + DedicatedEngines::shrinkDelay - milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(peak, dedicatedFor(&engines, upstreams, 100, now).size());
        now += milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, dedicatedFor(&engines, upstreams, 100, now).size());
        // A drop in demand that is shorter than the delay changes nothing.
        const std::size_t regrown = dedicatedFor(&engines, upstreams, 400, now).size();
        now += milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(regrown, dedicatedFor(&engines, upstreams, 100, now).size());
        now += DedicatedEngines::shrinkDelay - milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(regrown, dedicatedFor(&engines, upstreams, 400, now).size());
    }

    /// Gateways that see different demands differ in few engines: one set includes the other.
    void moreDemandOnlyAddsEngines()
    {
        const UpstreamDirectory upstreams = directory(55);
        DedicatedEngines first({});
        DedicatedEngines second({});
        const std::set<UpstreamId> fewer = dedicatedFor(&first, upstreams, 200, start);
        const std::set<UpstreamId> more = dedicatedFor(&second, upstreams, 240, start);
        CPPUNIT_ASSERT(std::ranges::includes(more, fewer));
        CPPUNIT_ASSERT(more.size() <= fewer.size() + 3);
    }

    void zonesAreUsedRoundRobin()
    {
        const UpstreamDirectory upstreams = directory(30);
        DedicatedEngines engines({});
        std::set<ZoneName> zones;
        for (const UpstreamId &id : dedicatedFor(&engines, upstreams, 0, start))
            zones.insert(upstreams.find(id)->zone);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zones.size());
    }

    void changedDirectoryKeepsTheNumber()
    {
        UpstreamDirectory upstreams = directory(55);
        DedicatedEngines engines({});
        const std::size_t before = dedicatedFor(&engines, upstreams, 228, start).size();
        UpstreamEntry removed = *upstreams.find(UpstreamId("u0"));
        upstreams.applyChanges({{removed, true}}, 2, start);
        const auto &after = engines.engines(ServiceName("llm"), upstreams, start);
        CPPUNIT_ASSERT_EQUAL(before, after.size());
        CPPUNIT_ASSERT(!after.contains(UpstreamId("u0")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DedicatedEnginesTest);

} // namespace reachlead
