// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <reachlead/routing.h>

namespace reachlead {

/// Selection of the route of a call and of the route's service.
class RoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(hostIsComparedWithoutCaseAndPort);
    CPPUNIT_TEST(accountsAreFoundByKey);
    CPPUNIT_TEST(weightsDecideTheService);
    CPPUNIT_TEST(urgencyFollowsTheRouteThenTheAccount);
    CPPUNIT_TEST_SUITE_END();

    static Route route(const std::string &name, const std::string &host, const std::string &prefix)
    {
        Route made;
        made.name = name;
        made.host = host;
        made.pathPrefix = prefix;
        return made;
    }

    static RoutingConfig config()
    {
        RoutingConfig made;
        made.version = 1;
        made.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                       route("other", "b.example", "/x/y/")};
        made.accounts = {{AccountName("one"), {"k1", "k2"}, 3U}, {AccountName("two"), {"k3"}, {}}};
        return made;
    }

    void longestPrefixWins()
    {
        const RouteTable table(config());
        CPPUNIT_ASSERT_EQUAL(std::string("long"), table.match("a.example", "/x/y/z")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), table.match("a.example", "/x/yz")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("other"), table.match("b.example", "/x/y/")->name);
        CPPUNIT_ASSERT(table.match("b.example", "/x/") == nullptr);
        CPPUNIT_ASSERT(table.match("c.example", "/x/y/") == nullptr);
    }

    void hostIsComparedWithoutCaseAndPort()
    {
        const RouteTable table(config());
        CPPUNIT_ASSERT(table.match("A.Example:8080", "/x/") != nullptr);
    }

    void accountsAreFoundByKey()
    {
        const RouteTable table(config());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), table.accountForKey("k2")->name.text);
        CPPUNIT_ASSERT_EQUAL(3U, *table.accountForKey("k2")->priority);
        CPPUNIT_ASSERT(!table.accountForKey("k3")->priority);
        CPPUNIT_ASSERT(table.accountForKey("") == nullptr);
        CPPUNIT_ASSERT(table.accountForKey("k4") == nullptr);
    }

    /// An engine that runs out of memory preempts the newest of the least urgent calls, so a call
    /// of a less urgent route must not rank before one of a more urgent route, whatever its
    /// account.
    void urgencyFollowsTheRouteThenTheAccount()
    {
        RoutingConfig made = config();
        for (unsigned n = 0; n < 3; ++n)
            made.routes[n].priority = n;
        made.accounts[0].priority = 1U;
        made.accounts[1].priority = 0U;
        const RouteTable table(made);
        const auto urgency = [&](unsigned route, const AccountKeys *account) {
            return table.urgencyRank(table.config().routes[route], account);
        };
        const AccountKeys *later = table.accountForKey("k1");
        const AccountKeys *first = table.accountForKey("k3");
        for (unsigned route = 0; route < 3; ++route)
            CPPUNIT_ASSERT(urgency(route, first) < urgency(route, later));
        for (unsigned route = 0; route < 2; ++route)
            CPPUNIT_ASSERT(urgency(route, later) < urgency(route + 1, first));
        CPPUNIT_ASSERT_EQUAL(urgency(1, nullptr), urgency(1, first));
        CPPUNIT_ASSERT(urgency(2, later) <= RouteTable::lowestUrgency);
    }

    void weightsDecideTheService()
    {
        Route split;
        split.services = {{ServiceName("a"), 90.0}, {ServiceName("b"), 10.0}};
        CPPUNIT_ASSERT_EQUAL(std::string("a"), pickService(split, 0.0)->text);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), pickService(split, 0.899)->text);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), pickService(split, 0.901)->text);
        split.services[0].weight = 0.0;
        CPPUNIT_ASSERT_EQUAL(std::string("b"), pickService(split, 0.0)->text);
        CPPUNIT_ASSERT(pickService(Route(), 0.5) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

} // namespace reachlead
