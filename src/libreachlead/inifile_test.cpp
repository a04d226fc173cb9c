// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/inifile.h>

namespace reachlead {

class IniFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IniFileTest);
    CPPUNIT_TEST(readsTypedValues);
    CPPUNIT_TEST(errorsNameTheirCause);
    CPPUNIT_TEST(durationsNeedAUnit);
    CPPUNIT_TEST_SUITE_END();

    static std::string errorIn(const std::string &text)
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

    void readsTypedValues() { CPPUNIT_ASSERT_EQUAL(std::string(), errorIn("[s]\nn = 3\nd=2s\n")); }

    void errorsNameTheirCause()
    {
        const auto expectError = [](const std::string &text, const std::string &part) {
            const std::string error = errorIn(text);
            CPPUNIT_ASSERT_MESSAGE(error, error.find(part) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(error, error.starts_with("x.ini:"));
        };
        expectError("[s]\n", "key 'n' in section 's': expected a value");
        expectError("[s]\nn = 12\n",
                    "x.ini:2: key 'n' in section 's': expected a whole number from 1 to 9");
        expectError("[s]\nn = 1x\n", "found '1x'");
        expectError("[s]\nn = 1\nd = 5\n", "expected a duration with unit");
        expectError("[s]\nn = 1\nd = 10s\n", "from 1ms to 9s");
        expectError("[s]\nn = 1\nw = later\n", "expected one of deliver, drop");
        expectError("[s]\nn = 1\nnn = 2\n", "x.ini:3: key 'nn'");
        expectError("[s]\nn = 1\nn = 2\n", "stands twice");
        expectError("[s]\njust words\n", "x.ini:2: expected 'key = value'");
    }

    void durationsNeedAUnit()
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
