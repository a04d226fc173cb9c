// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/upstreamlimits.h>

namespace reachlead {

/// What is remembered of limits that upstreams named.
class UpstreamLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamLimitsTest);
    CPPUNIT_TEST(lastAnswerDecides);
    CPPUNIT_TEST(limitEndsWithTheLife);
    CPPUNIT_TEST(limitThatNobodyHearsIsForgotten);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};
    static constexpr CallRate two{2000};
    static constexpr CallRate three{3000};

    void lastAnswerDecides()
    {
        UpstreamLimits limits;
        const UpstreamId id("u");
        CPPUNIT_ASSERT(!limits.heard(id, std::nullopt, start));
        CPPUNIT_ASSERT(limits.heard(id, two, start));
        CPPUNIT_ASSERT(!limits.heard(id, two, start + seconds(1)));
        CPPUNIT_ASSERT(limits.heard(id, three, start + seconds(2)));
        CPPUNIT_ASSERT(limits.of(id, start + seconds(2)) == three);
        CPPUNIT_ASSERT(limits.heard(id, std::nullopt, start + seconds(3)));
        CPPUNIT_ASSERT(!limits.of(id, start + seconds(3)));
    }

    void limitEndsWithTheLife()
    {
        UpstreamLimits limits;
        limits.heard(UpstreamId("u", 1), two, start);
        CPPUNIT_ASSERT(!limits.of(UpstreamId("u", 2), start));
    }

    void limitThatNobodyHearsIsForgotten()
    {
        UpstreamLimits limits;
        const UpstreamId id("u");
        limits.heard(id, two, start);
        limits.heard(id, two, start + seconds(1));
        const Time last = start + seconds(1) + UpstreamLimits::forgetAfter;
        CPPUNIT_ASSERT(limits.of(id, last - milliseconds(1)));
        CPPUNIT_ASSERT(!limits.of(id, last));
        limits.forgetOld(last);
        CPPUNIT_ASSERT(limits.heard(id, two, last));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLimitsTest);

} // namespace reachlead
