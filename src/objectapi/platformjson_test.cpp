// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include "objectapi/platformjson.h"

namespace reachlead {

/// Replies of the platform's service, also with objects of other programs.
class PlatformJsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformJsonTest);
    CPPUNIT_TEST(objectsAreReadAsWritten);
    CPPUNIT_TEST(unreadableObjectAffectsNoOther);
    CPPUNIT_TEST(unreadableMemberAffectsNoOther);
    CPPUNIT_TEST(malformedRepliesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    void objectsAreReadAsWritten()
    {
        const std::vector<PlatformObject> objects{
            {"settings/a", ObjectVersion{7}, "tier = 1\n\"\\x\"\n", false},
            {"settings/b", ObjectVersion{9}, "", true}};
        PlatformReply reply;
        CPPUNIT_ASSERT(objectsFromJson(objectsToJson(ObjectVersion{9}, objects), &reply));
        CPPUNIT_ASSERT(reply.version == ObjectVersion{9});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reply.objects.size());
        CPPUNIT_ASSERT_EQUAL(objects[0].value, reply.objects[0].value);
        CPPUNIT_ASSERT(!reply.objects[0].deleted && reply.objects[1].deleted);
        CPPUNIT_ASSERT(reply.objects[1].version == ObjectVersion{9});
    }

    /// Guards against a router that sees no change of the settings any more: one object made the
    /// whole reply unreadable, and the same watch was repeated for ever.
    void unreadableObjectAffectsNoOther()
    {
        const std::string sound = R"({"key":"settings/a","version":7,"value":"v","deleted":false})";
        for (const std::string &value : {std::string(R"("\udc80")"), std::string("1e99999999999"),
                                         std::string(600, '[') + std::string(600, ']')}) {
            const std::string other = fmt::format(
                R"({{"key":"settings/b","version":8,"value":{},"deleted":false}})", value);
            PlatformReply reply;
            CPPUNIT_ASSERT(objectsFromJson(
                fmt::format(R"({{"version":8,"objects":[{},{}]}})", other, sound), &reply));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reply.objects.size());
            CPPUNIT_ASSERT(reply.objects[0].version == ObjectVersion{8});
            CPPUNIT_ASSERT_EQUAL(std::string("(unreadable)"), reply.objects[0].value);
            CPPUNIT_ASSERT_EQUAL(std::string("v"), reply.objects[1].value);
        }
        PlatformReply reply;
        CPPUNIT_ASSERT(objectsFromJson(
            fmt::format(R"({{"version":8,"objects":[{{"key":"\udc80"}},3,{}]}})", sound), &reply));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.objects.size());
    }

    void unreadableMemberAffectsNoOther()
    {
        const std::string sound =
            R"({"vm":"v","role":"router","zone":"z","address":"10.0.0.1","port":1,"leaving":false})";
        const auto members =
            membersFromJson(fmt::format(R"([{{"vm":"\udc80"}},{{"vm":"w"}},{}])", sound));
        CPPUNIT_ASSERT(members);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, members->size());
        CPPUNIT_ASSERT_EQUAL(std::string("v"), members->front().vm.text);
    }

    void malformedRepliesAreRejected()
    {
        for (const char *text : {"", "[]", "{}", R"({"version":1})", R"({"objects":[]})",
                                 R"({"version":1,"objects":{}})", R"({"version":1,"objects":[})"}) {
            PlatformReply reply;
            CPPUNIT_ASSERT_MESSAGE(text, !objectsFromJson(text, &reply));
            CPPUNIT_ASSERT(!reply.reason.empty());
        }
        CPPUNIT_ASSERT(!membersFromJson("{}"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformJsonTest);

} // namespace reachlead
