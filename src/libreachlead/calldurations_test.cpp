// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <reachlead/calldurations.h>

namespace reachlead {

class CallDurationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallDurationsTest);
    CPPUNIT_TEST(fewCallsSayNothing);
    CPPUNIT_TEST(averageFollowsTheCalls);
    CPPUNIT_TEST(servicesAreBounded);
    CPPUNIT_TEST_SUITE_END();

    static inline const ServiceName service{"s"};

    static void recordMany(CallDurations &durations, Duration duration, unsigned count)
    {
        for (unsigned n = 0; n < count; ++n)
            durations.record(service, duration);
    }

    void fewCallsSayNothing()
    {
        CallDurations durations;
        recordMany(durations, seconds(5), CallDurations::minCalls - 1);
        CPPUNIT_ASSERT(!durations.average(service));
        recordMany(durations, seconds(5), 1);
        CPPUNIT_ASSERT(durations.average(service) == seconds(5));
        CPPUNIT_ASSERT(!durations.average(ServiceName("other")));
    }

    void averageFollowsTheCalls()
    {
        CallDurations durations;
        recordMany(durations, seconds(5), 100);
        recordMany(durations, seconds(1), 100);
        CPPUNIT_ASSERT(durations.average(service) < milliseconds(1100));
        durations.record(service, seconds(60));
        CPPUNIT_ASSERT(durations.average(service) < seconds(6));
    }

    void servicesAreBounded()
    {
        CallDurations durations;
        for (std::size_t n = 0; n < CallDurations::maxServices; ++n)
            durations.record(ServiceName(fmt::format("x{}", n)), seconds(1));
        recordMany(durations, seconds(5), CallDurations::minCalls);
        CPPUNIT_ASSERT(!durations.average(service));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallDurationsTest);

} // namespace reachlead
