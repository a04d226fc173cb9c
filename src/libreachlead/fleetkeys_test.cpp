// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/fleetkeys.h>

namespace reachlead {

class FleetKeysTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetKeysTest);
    CPPUNIT_TEST(knownAnswer);
    CPPUNIT_TEST(keysChangeWithoutDowntime);
    CPPUNIT_TEST(errorsAreReported);
    CPPUNIT_TEST_SUITE_END();

    static FleetKeys parseKeys(const std::string &text)
    {
        std::string reason;
        const auto keys = FleetKeys::parse(text, &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, keys.has_value());
        return *keys;
    }

    /// RFC 4231, test case 6: a key longer than the block size.
    void knownAnswer()
    {
        const FleetKeys keys = parseKeys(std::string(131, '\xaa'));
        CPPUNIT_ASSERT_EQUAL(
            std::string("60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54"),
            keys.sign("Test Using Larger Than Block-Size Key - Hash Key First"));
    }

    void keysChangeWithoutDowntime()
    {
        const FleetKeys oldKey = parseKeys("the old key of all\n");
        const FleetKeys bothKeys =
            parseKeys("# first signs\nthe old key of all\nthe new key of all\n");
        const FleetKeys swappedKeys = parseKeys("the new key of all\nthe old key of all\n");
        const FleetKeys newKey = parseKeys("the new key of all\n");
        CPPUNIT_ASSERT(bothKeys.verify("x", oldKey.sign("x")));
        CPPUNIT_ASSERT(oldKey.verify("x", bothKeys.sign("x")));
        CPPUNIT_ASSERT(bothKeys.verify("x", swappedKeys.sign("x")));
        CPPUNIT_ASSERT(swappedKeys.verify("x", bothKeys.sign("x")));
        CPPUNIT_ASSERT(newKey.verify("x", swappedKeys.sign("x")));
        CPPUNIT_ASSERT(!newKey.verify("x", oldKey.sign("x")));
        CPPUNIT_ASSERT(!newKey.verify("y", newKey.sign("x")));
        CPPUNIT_ASSERT(!newKey.verify("x", ""));
        CPPUNIT_ASSERT(FleetKeys().verify("x", ""));
    }

    void errorsAreReported()
    {
        std::string reason;
        CPPUNIT_ASSERT(!FleetKeys::parse("# nothing\n", &reason));
        CPPUNIT_ASSERT(!FleetKeys::parse("short\n", &reason));
        CPPUNIT_ASSERT_EQUAL(std::string("expected keys of at least 16 bytes"), reason);
        CPPUNIT_ASSERT(FleetKeyFile("/nowhere/at/all").open().has_value());
        CPPUNIT_ASSERT(!FleetKeyFile("").open());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetKeysTest);

} // namespace reachlead
