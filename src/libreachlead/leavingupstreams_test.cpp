// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// How a directory treats upstreams that announced in an answer that they are leaving.
class LeavingUpstreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingUpstreamsTest);
    CPPUNIT_TEST(laterEntryTakesNoCalls);
    CPPUNIT_TEST(endOfAnEvacuationDoesNotRestoreIt);
    CPPUNIT_TEST(isRememberedWhileRegistered);
    CPPUNIT_TEST(updateIsReportedForALimitedTime);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};

    static UpstreamEntry entry(std::uint64_t revision = 1)
    {
        UpstreamEntry made;
        made.id = UpstreamId("u", 5);
        made.service = ServiceName("s");
        made.zone = ZoneName("z");
        made.revision = revision;
        return made;
    }

    void laterEntryTakesNoCalls()
    {
        UpstreamDirectory directory;
        CPPUNIT_ASSERT(directory.setLeaving(entry().id, start).withdrawn.empty());
        directory.replaceAll({entry()}, 1, start);
        CPPUNIT_ASSERT(directory.usableUpstreams(ServiceName("s")).empty());
    }

    void endOfAnEvacuationDoesNotRestoreIt()
    {
        UpstreamDirectory directory;
        directory.replaceAll({entry()}, 1, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             directory.setLeaving(entry().id, start).withdrawn.size());
        CPPUNIT_ASSERT(directory.setLeaving(entry().id, start).withdrawn.empty());
        directory.setEvacuated({ZoneName("z")});
        CPPUNIT_ASSERT(directory.setEvacuated({}).added.empty());
        CPPUNIT_ASSERT(directory.usableUpstreams(ServiceName("s")).empty());
    }

    void isRememberedWhileRegistered()
    {
        UpstreamDirectory directory;
        directory.replaceAll({entry()}, 1, start);
        directory.setLeaving(entry().id, start);
        const Time later = start + 2 * LeavingUpstreams::minRetention;
        directory.expire(later);
        CPPUNIT_ASSERT(directory.usableUpstreams(ServiceName("s")).empty());
        directory.replaceAll({}, 2, later);
        directory.expire(later);
        CPPUNIT_ASSERT(!directory.leaving().contains(entry().id));
    }

    void updateIsReportedForALimitedTime()
    {
        LeavingUpstreams leaving;
        CPPUNIT_ASSERT(leaving.add(entry().id, start));
        CPPUNIT_ASSERT(!leaving.add(entry().id, start + seconds(20)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaving.recent(start + seconds(20)).size());
        CPPUNIT_ASSERT(leaving.recent(start + LeavingUpstreams::reportWindow).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingUpstreamsTest);

} // namespace reachlead
