// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/inifile.h>

namespace reachlead {

class IniFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IniFileTest);
    CPPUNIT_TEST(readsTypedValues);
    CPPUNIT_TEST(namesEveryFault);
    CPPUNIT_TEST(durationsKeepTheirUnit);
    CPPUNIT_TEST_SUITE_END();

    static std::string faultOf(const std::string &text)
    {
        std::string reason;
        const auto file = IniFile::parse(text, "x.ini", &reason);
        if (!file)
            return reason;
        std::int64_t n = 0;
        Duration d{};
        std::size_t word = 0;
        IniReader reader(*file, "s");
        reader.require("n")
            .takeInteger("n", 1, 9, &n)
            .takeDuration("d", milliseconds(1), seconds(9), &d)
            .takeEnum("w", {"deliver", "drop"}, &word);
        return reader.finish().value_or("");
    }

    void readsTypedValues() { CPPUNIT_ASSERT_EQUAL(std::string(), faultOf("[s]\nn = 3\nd=2s\n")); }

    void namesEveryFault()
    {
        const auto says = [](const std::string &text, const std::string &part) {
            const std::string fault = faultOf(text);
            CPPUNIT_ASSERT_MESSAGE(fault, fault.find(part) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(fault, fault.starts_with("x.ini:"));
        };
        says("[s]\n", "key 'n' in section 's': expected a value");
        says("[s]\nn = 12\n",
             "x.ini:2: key 'n' in section 's': expected a whole number from 1 to 9");
        says("[s]\nn = 1x\n", "found '1x'");
        says("[s]\nn = 1\nd = 5\n", "expected a duration with unit");
        says("[s]\nn = 1\nd = 10s\n", "from 1ms to 9s");
        says("[s]\nn = 1\nw = later\n", "expected one of deliver, drop");
        says("[s]\nn = 1\nnn = 2\n", "x.ini:3: key 'nn'");
        says("[s]\nn = 1\nn = 2\n", "stands twice");
        says("[s]\njust words\n", "x.ini:2: expected 'key = value'");
    }

    void durationsKeepTheirUnit()
    {
        CPPUNIT_ASSERT(parseDuration("250ms") == Duration(milliseconds(250)));
        CPPUNIT_ASSERT(parseDuration("1.5s") == Duration(milliseconds(1500)));
        CPPUNIT_ASSERT(!parseDuration("5"));
        CPPUNIT_ASSERT(!parseDuration("-1s"));
        CPPUNIT_ASSERT(!parseDuration("s"));
        CPPUNIT_ASSERT_EQUAL(std::string("79ms"), formatDuration(milliseconds(79)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IniFileTest);

} // namespace reachlead
