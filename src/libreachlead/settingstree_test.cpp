// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/settingstree.h>

namespace reachlead {

class SettingsTreeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTreeTest);
    CPPUNIT_TEST(accountsInheritAndOverride);
    CPPUNIT_TEST(errorsNameTheirCause);
    CPPUNIT_TEST(onlyMovesForward);
    CPPUNIT_TEST(deletedObjectsStayDeleted);
    CPPUNIT_TEST(staleListRestoresNothing);
    CPPUNIT_TEST(keepsTheLastValidTree);
    CPPUNIT_TEST(sameObjectsSameDigest);
    CPPUNIT_TEST_SUITE_END();

    static SettingsTexts validTexts()
    {
        return {{"classes/live", "tier = 0\nlate = drop\nfirst_token = 1500ms\n"},
                {"classes/nightly", "tier = 4\n"},
                {"accounts/hire", "default_class = live\nconcurrency = 10\n"},
                {"accounts/depot", "parent = hire\nconcurrency = 4\ntargets = model:drafting\n"},
                {"accounts/yard", "parent = depot\ndefault_class = nightly\n"}};
    }

    void accountsInheritAndOverride()
    {
        std::string reason;
        const auto policies = buildPolicies(validTexts(), &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, policies.has_value());
        const AccountPolicy &depot = *policies->findAccount(AccountName("depot"));
        const AccountPolicy &yard = *policies->findAccount(AccountName("yard"));
        CPPUNIT_ASSERT_EQUAL(std::string("live"), depot.defaultClass.text);
        CPPUNIT_ASSERT_EQUAL(std::string("nightly"), yard.defaultClass.text);
        CPPUNIT_ASSERT(yard.targets == depot.targets);
        CPPUNIT_ASSERT(!yard.limits.concurrency); // the parent's limit applies to the sum
        const ClassPolicy &live = *policies->findClass(ClassName("live"));
        CPPUNIT_ASSERT(live.firstTokenTarget == Duration(milliseconds(1500)));
        CPPUNIT_ASSERT(live.late == LatePolicy::Drop);
    }

    void errorsNameTheirCause()
    {
        const auto expectError = [](const std::string &path, const std::string &text,
                                    const std::string &part) {
            SettingsTexts texts = validTexts();
            texts[path] = text;
            std::string reason;
            CPPUNIT_ASSERT(!buildPolicies(texts, &reason));
            CPPUNIT_ASSERT_MESSAGE(reason, reason.find(part) != std::string::npos);
        };
        expectError("accounts/hire", "parent = yard\n", "without a cycle");
        expectError("accounts/depot", "parent = nobody\n", "expected an account, found 'nobody'");
        expectError("accounts/depot", "parent = hire\nconcurrency = 11\n", "expected at most 10");
        expectError("accounts/yard", "parent = depot\nconcurrency = 5\n", "expected at most 4");
        expectError("accounts/depot", "default_class = gone\n", "expected a class, found 'gone'");
        expectError("accounts/depot", "classes = live, gone\n", "expected a class, found 'gone'");
        expectError("classes/live", "tier = 5\n", "from 0 to 4");
        expectError("classes/live", "late = drop\n", "key 'tier'");
        expectError("classes/live", "tier = 0\nfloor = 0.49\n", "expected a sum of at most 0.5");
        expectError("classes/live", "tier = 0\nflor = 0.1\n", "key 'flor'");
        expectError("other", "", "expected classes/NAME, accounts/NAME or fleet");
    }

    static PlatformObject object(const std::string &path, std::uint64_t version,
                                 const std::string &text)
    {
        return {std::string(settingsPrefix) + path, ObjectVersion{version}, text, false};
    }

    static PlatformObject deleted(const std::string &path, std::uint64_t version)
    {
        return {std::string(settingsPrefix) + path, ObjectVersion{version}, "", true};
    }

    void onlyMovesForward()
    {
        SettingsReplica replica;
        CPPUNIT_ASSERT(replica.apply(object("classes/live", 5, "tier = 1\n")));
        CPPUNIT_ASSERT(!replica.apply(object("classes/live", 4, "tier = 0\n")));
        CPPUNIT_ASSERT(!replica.apply(object("classes/live", 5, "tier = 0\n")));
        replica.rebuild();
        CPPUNIT_ASSERT(replica.policies()->findClass(ClassName("live"))->tier == Tier{1});
    }

    void deletedObjectsStayDeleted()
    {
        SettingsReplica replica;
        replica.apply(object("classes/live", 5, "tier = 1\n"));
        CPPUNIT_ASSERT(replica.apply(deleted("classes/live", 7)));
        CPPUNIT_ASSERT(!replica.apply(object("classes/live", 5, "tier = 1\n"))); // late read
        CPPUNIT_ASSERT(replica.texts().empty());
        CPPUNIT_ASSERT(replica.apply(object("classes/live", 9, "tier = 2\n"))); // created again
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica.texts().size());
    }

    void staleListRestoresNothing()
    {
        SettingsReplica replica;
        replica.apply(object("classes/live", 5, "tier = 1\n"));
        replica.apply(object("classes/late", 8, "tier = 2\n"));
        // A list as of version 6, without later objects.
        replica.applyList({object("classes/live", 5, "tier = 1\n")}, ObjectVersion{6});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replica.texts().size());
        replica.applyList({object("classes/live", 5, "tier = 1\n")}, ObjectVersion{9});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica.texts().size());
        CPPUNIT_ASSERT(replica.version() == ObjectVersion{9});
    }

    void keepsTheLastValidTree()
    {
        SettingsReplica replica;
        replica.apply(object("classes/live", 1, "tier = 1\n"));
        replica.rebuild();
        replica.apply(object("classes/live", 2, "tier = 9\n"));
        replica.rebuild();
        CPPUNIT_ASSERT(replica.policies()->findClass(ClassName("live"))->tier == Tier{1});
        CPPUNIT_ASSERT(!replica.lastReason().empty());
        replica.apply(object("classes/live", 3, "tier = 2\n"));
        replica.rebuild();
        CPPUNIT_ASSERT(replica.policies()->findClass(ClassName("live"))->tier == Tier{2});
        CPPUNIT_ASSERT(replica.lastReason().empty());
    }

    void sameObjectsSameDigest()
    {
        SettingsReplica one;
        SettingsReplica two;
        one.apply(object("a", 1, "x"));
        one.apply(object("b", 2, "y"));
        two.apply(object("b", 2, "y"));
        CPPUNIT_ASSERT(one.digest() != two.digest());
        two.apply(object("a", 1, "x"));
        CPPUNIT_ASSERT_EQUAL(one.digest(), two.digest());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTreeTest);

} // namespace reachlead
