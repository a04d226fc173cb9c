// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include <reachlead/streambindings.h>

namespace reachlead {

class StreamBindingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamBindingsTest);
    CPPUNIT_TEST(bindingIsKnownUntilItsRetentionIsOver);
    CPPUNIT_TEST(lastSendOfAnAttemptCounts);
    CPPUNIT_TEST(fullTableEvictsWhatExpiresFirst);
    CPPUNIT_TEST(longRetentionIsCut);
    CPPUNIT_TEST(keysOfAccountsDiffer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(1000)};

    static StreamKey key(const std::string &attempt)
    {
        return computeStreamKey(AccountName("t"), attempt);
    }
    static StreamBinding binding(const std::string &version, std::uint32_t send = 1)
    {
        return {ServiceName("s"), SoftwareVersion(version), send};
    }
    static std::string version(const StreamBindings &bindings, const std::string &attempt, Time now)
    {
        const StreamBindings::Record *known = bindings.find(key(attempt), now);
        return known != nullptr ? known->binding.version.text : "-";
    }

    void bindingIsKnownUntilItsRetentionIsOver()
    {
        StreamBindings bindings;
        CPPUNIT_ASSERT(bindings.record(key("a"), binding("v1"), seconds(10), start));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), version(bindings, "a", start + seconds(9)));
        CPPUNIT_ASSERT_EQUAL(std::string("-"), version(bindings, "b", start));
        CPPUNIT_ASSERT_EQUAL(std::string("-"), version(bindings, "a", start + seconds(10)));
        bindings.dropExpired(start + seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bindings.size());
    }

    /// Datagrams of two sends may arrive in either order.
    void lastSendOfAnAttemptCounts()
    {
        StreamBindings bindings;
        bindings.record(key("a"), binding("v2", 2), seconds(10), start);
        bindings.record(key("a"), binding("v1", 1), seconds(10), start);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), version(bindings, "a", start));
        bindings.record(key("a"), binding("v3", 3), seconds(10), start);
        CPPUNIT_ASSERT_EQUAL(std::string("v3"), version(bindings, "a", start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bindings.size());
    }

    void fullTableEvictsWhatExpiresFirst()
    {
        StreamBindings bindings;
        bindings.record(key("short"), binding("v1"), seconds(5), start);
        for (std::size_t n = 1; n < StreamBindings::maxRecords; ++n)
            bindings.record(key(std::to_string(n)), binding("v1"), seconds(60), start);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), version(bindings, "short", start));
        CPPUNIT_ASSERT(!bindings.record(key("new"), binding("v2"), seconds(60), start));
        CPPUNIT_ASSERT_EQUAL(std::string("-"), version(bindings, "short", start));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), version(bindings, "new", start));
        CPPUNIT_ASSERT_EQUAL(StreamBindings::maxRecords, bindings.size());
    }

    void longRetentionIsCut()
    {
        StreamBindings bindings;
        bindings.record(key("a"), binding("v1"), std::chrono::hours(24), start);
        CPPUNIT_ASSERT_EQUAL(std::string("-"),
                             version(bindings, "a", start + StreamBindings::maxRetention));
    }

    void keysOfAccountsDiffer()
    {
        CPPUNIT_ASSERT(computeStreamKey(AccountName("t"), "ab") != key("b"));
        CPPUNIT_ASSERT(computeStreamKey(AccountName("ta"), "b") != key("ab"));
        CPPUNIT_ASSERT(computeStreamKey(AccountName("t"), std::string(16'000, 'x'))
                       != computeStreamKey(AccountName("t"), std::string(16'001, 'x')));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamBindingsTest);

} // namespace reachlead
