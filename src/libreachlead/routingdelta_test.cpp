// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <reachlead/routingdelta.h>

namespace reachlead {

/// A delta applied to the older configuration results in the newer one.
class RoutingDeltaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingDeltaTest);
    CPPUNIT_TEST(deltaResultsInTheNewerConfiguration);
    CPPUNIT_TEST(unchangedItemsAreNotInTheDelta);
    CPPUNIT_TEST(otherBaseIsRefused);
    CPPUNIT_TEST(sharedNamesHaveNoDelta);
    CPPUNIT_TEST_SUITE_END();

    /// A configuration of routes, services and accounts numbered by position; value 0 omits an
    /// item.
    static RoutingConfig made(std::uint64_t version, const std::vector<unsigned char> &values)
    {
        RoutingConfig config;
        config.version = version;
        config.limits.maxHeaderBytes = static_cast<std::uint32_t>(version);
        for (std::size_t n = 0; n < values.size(); ++n) {
            const unsigned value = values[n] % 4U;
            if (value == 0)
                continue;
            Route route;
            route.name = fmt::format("r{}", n);
            route.timeoutMs = value;
            config.routes.push_back(route);
            ServiceInfo service;
            service.name = ServiceName(route.name);
            service.maxConnections = value;
            config.services.push_back(service);
            config.accounts.push_back(
                {AccountName(route.name), {fmt::format("key{}", value)}, value});
        }
        return config;
    }

    template <class Item> static std::vector<Item> sorted(std::vector<Item> items)
    {
        std::ranges::sort(items, {}, &Item::name);
        return items;
    }

    static bool isSame(const RoutingConfig &one, const RoutingConfig &two)
    {
        return one.version == two.version && one.limits == two.limits
            && sorted(one.routes) == sorted(two.routes)
            && sorted(one.services) == sorted(two.services)
            && sorted(one.accounts) == sorted(two.accounts);
    }

    void deltaResultsInTheNewerConfiguration()
    {
        using Values = std::vector<unsigned char>;
        CPPUNIT_ASSERT(rc::check("any two", [](const Values &before, const Values &after) {
            const RoutingConfig from = made(3, before);
            const RoutingConfig to = made(9, after);
            const auto delta = computeDelta(from, to);
            RC_ASSERT(delta.has_value());
            const auto result = applyDelta(from, *delta);
            RC_ASSERT(result.has_value());
            RC_ASSERT(isSame(*result, to));
        }));
    }

    void unchangedItemsAreNotInTheDelta()
    {
        const auto delta = computeDelta(made(1, {1, 2, 3, 1}), made(2, {1, 2, 1, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta->routes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), delta->routes[0].name);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta->removedAccounts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r3"), delta->removedAccounts[0].text);
    }

    void otherBaseIsRefused()
    {
        const auto delta = computeDelta(made(1, {1}), made(2, {2}));
        CPPUNIT_ASSERT(!applyDelta(made(3, {1}), *delta));
    }

    void sharedNamesHaveNoDelta()
    {
        RoutingConfig twice = made(2, {1});
        twice.routes.push_back(twice.routes.front());
        CPPUNIT_ASSERT(!computeDelta(made(1, {1}), twice));
        CPPUNIT_ASSERT(!computeDelta(twice, made(3, {1})));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingDeltaTest);

} // namespace reachlead
