// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <reachlead/jsonslices.h>

namespace reachlead {

/// Splitting of JSON texts whose values may be unreadable.
class JsonSlicesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonSlicesTest);
    CPPUNIT_TEST(valuesAreReturnedAsWritten);
    CPPUNIT_TEST(otherTextsAreRejected);
    CPPUNIT_TEST(anyDocumentIsSplitAsAParserReadsIt);
    CPPUNIT_TEST(anyBytesAreRejectedOrSplit);
    CPPUNIT_TEST_SUITE_END();

    void valuesAreReturnedAsWritten()
    {
        const auto members = jsonMembers(
            R"( { "a" : "}\"]\\" , "b":[1,{"c":"]"}],"c":1e99999 ,"d":{}, "e" : null } )");
        CPPUNIT_ASSERT(members);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, members->size());
        CPPUNIT_ASSERT(findMember(*members, "a") == R"("}\"]\\")");
        CPPUNIT_ASSERT(findMember(*members, "b") == R"([1,{"c":"]"}])");
        CPPUNIT_ASSERT(findMember(*members, "c") == "1e99999");
        CPPUNIT_ASSERT(findMember(*members, "d") == "{}");
        CPPUNIT_ASSERT(!findMember(*members, "f"));
        const auto elements = jsonElements(R"(["\udc80",[[]],{"a":[]}])");
        CPPUNIT_ASSERT(elements);
        CPPUNIT_ASSERT(*elements
                       == (std::vector<std::string_view>{R"("\udc80")", "[[]]", R"({"a":[]})"}));
        CPPUNIT_ASSERT(jsonElements("[ ]")->empty());
        CPPUNIT_ASSERT(jsonMembers("{ }")->empty());
    }

    void otherTextsAreRejected()
    {
        for (const std::string_view text :
             {"",           " ",           "1",           "null",     "{",
              "[",          "{}x",         "[]]",         R"({"a")",  R"({"a":)",
              R"({"a":1,)", R"({"a":"\")", R"({"a":1]})", R"({a:1})", R"({"a" 1})",
              "[1,]",       "[,1]",        "[1",          "[[1]",     R"(["a)",
              R"({"a":})"}) {
            CPPUNIT_ASSERT_MESSAGE(std::string(text), !jsonMembers(text));
            CPPUNIT_ASSERT_MESSAGE(std::string(text), !jsonElements(text));
        }
    }

    template <class Random> static boost::json::value drawValue(Random &random, int depth)
    {
        const auto below = [&](int limit) { return static_cast<int>(random() % limit); };
        const int kind = below(depth > 0 ? 6 : 4);
        if (kind == 0)
            return below(1000);
        if (kind == 1)
            return below(2) == 0;
        if (kind < 4) {
            std::string text;
            for (int n = below(12); n > 0; --n)
                text += R"("\[]{},: ax)"[below(11)];
            return boost::json::string(text);
        }
        boost::json::array array;
        for (int n = below(4); n > 0; --n)
            array.push_back(drawValue(random, depth - 1));
        if (kind == 4)
            return array;
        boost::json::object object;
        for (boost::json::value &it : array)
            object[fmt::format("k{}", object.size())] = std::move(it);
        return object;
    }

    void anyDocumentIsSplitAsAParserReadsIt()
    {
        std::mt19937 random(1);
        for (int n = 0; n < 2000; ++n) {
            boost::json::object object;
            for (unsigned k = random() % 5; k > 0; --k)
                object[fmt::format("k{}", k)] = drawValue(random, 4);
            const std::string text = boost::json::serialize(object);
            const auto members = jsonMembers(text);
            CPPUNIT_ASSERT_MESSAGE(text, members && members->size() == object.size());
            for (const auto &[key, value] : *members) {
                const boost::json::value parsed = boost::json::parse({value.data(), value.size()});
                CPPUNIT_ASSERT_MESSAGE(text, parsed == object.at({key.data(), key.size()}));
            }
        }
    }

    /// Neither reads past the end nor loops, whatever the bytes (the sanitizers watch).
    void anyBytesAreRejectedOrSplit()
    {
        std::mt19937 random(2);
        for (int n = 0; n < 5000; ++n) {
            std::string text = random() % 2 == 0 ? "{" : "[";
            for (unsigned k = random() % 30; k > 0; --k)
                text += R"("\[]{},:1 )"[random() % 10];
            for (const auto size : {text.size(), text.size() / 2}) {
                const std::string part = text.substr(0, size);
                (void)jsonMembers(part);
                (void)jsonElements(part);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonSlicesTest);

} // namespace reachlead
