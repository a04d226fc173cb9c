// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/fleetkeys.h>

namespace reachlead {

class FleetKeysTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetKeysTest);
    CPPUNIT_TEST(knownAnswer);
    CPPUNIT_TEST(keysChangeWithoutAStop);
    CPPUNIT_TEST(faultsAreNamed);
    CPPUNIT_TEST_SUITE_END();

    static FleetKeys keysOf(const std::string &text)
    {
        std::string reason;
        const auto keys = FleetKeys::parse(text, &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, keys.has_value());
        return *keys;
    }

    /// RFC 4231, test case 6: a key longer than a block.
    void knownAnswer()
    {
        const FleetKeys keys = keysOf(std::string(131, '\xaa'));
        CPPUNIT_ASSERT_EQUAL(
            std::string("60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54"),
            keys.sign("Test Using Larger Than Block-Size Key - Hash Key First"));
    }

    void keysChangeWithoutAStop()
    {
        const FleetKeys old = keysOf("the old key of all\n");
        const FleetKeys both = keysOf("# first signs\nthe old key of all\nthe new key of all\n");
        const FleetKeys swapped = keysOf("the new key of all\nthe old key of all\n");
        const FleetKeys fresh = keysOf("the new key of all\n");
        CPPUNIT_ASSERT(both.verify("x", old.sign("x")));
        CPPUNIT_ASSERT(old.verify("x", both.sign("x")));
        CPPUNIT_ASSERT(both.verify("x", swapped.sign("x")));
        CPPUNIT_ASSERT(swapped.verify("x", both.sign("x")));
        CPPUNIT_ASSERT(fresh.verify("x", swapped.sign("x")));
        CPPUNIT_ASSERT(!fresh.verify("x", old.sign("x")));
        CPPUNIT_ASSERT(!fresh.verify("y", fresh.sign("x")));
        CPPUNIT_ASSERT(!fresh.verify("x", ""));
        CPPUNIT_ASSERT(FleetKeys().verify("x", ""));
    }

    void faultsAreNamed()
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
