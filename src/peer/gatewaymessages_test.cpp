// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include "peer/gatewaymessages.h"

namespace reachlead {

/// Messages between gateways must survive encoding and decoding, and arbitrary bytes must be
/// handled without an exception or an allocation by an untrusted size.
class GatewayMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayMessagesTest);
    CPPUNIT_TEST(stateUpdateRoundTrips);
    CPPUNIT_TEST(heartbeatRoundTrips);
    CPPUNIT_TEST(limitsRoundTrip);
    CPPUNIT_TEST(largestHeartbeatIsBounded);
    CPPUNIT_TEST(arbitraryBytesAreHandled);
    CPPUNIT_TEST(truncatedMessagesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    static StateUpdate stateUpdate()
    {
        StateUpdate update;
        update.config.emplace();
        update.config->version = 9;
        Route route;
        route.name = "r";
        route.kind = RouteKind::Stream;
        route.services = {{ServiceName("s"), 2.5}};
        update.config->routes = {route};
        update.config->accounts = {{AccountName("a"), {"k"}, 4U}, {AccountName("b"), {}, {}}};
        update.registry.snapshot.emplace();
        UpstreamEntry entry;
        entry.id = UpstreamId("u");
        entry.address = {"10.0.0.1", 81};
        entry.leaving = true;
        update.registry.snapshot->push_back(entry);
        update.registry.revision = 77;
        update.registry.held = {{entry, 1200}};
        return update;
    }

    void stateUpdateRoundTrips()
    {
        std::string reason;
        const auto decoded = decodeStateUpdate(encodeStateUpdate(stateUpdate()), &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, decoded->config->version);
        CPPUNIT_ASSERT(decoded->config->routes[0].kind == RouteKind::Stream);
        CPPUNIT_ASSERT_EQUAL(2.5, decoded->config->routes[0].services[0].weight);
        CPPUNIT_ASSERT_EQUAL(4U, *decoded->config->accounts[0].priority);
        CPPUNIT_ASSERT(!decoded->config->accounts[1].priority);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:81"),
                             decoded->registry.snapshot->at(0).address.text());
        CPPUNIT_ASSERT(decoded->registry.snapshot->at(0).leaving);
        CPPUNIT_ASSERT_EQUAL(std::string("u"), decoded->registry.held.at(0).entry.id.text);
        CPPUNIT_ASSERT_EQUAL(std::int32_t{1200}, decoded->registry.held.at(0).leftMs);
        const auto empty = decodeStateUpdate(encodeStateUpdate({}), &reason);
        CPPUNIT_ASSERT(empty && !empty->config && !empty->registry.snapshot);
    }

    void heartbeatRoundTrips()
    {
        GatewayHeartbeat heartbeat;
        heartbeat.from = {VmName("vm"), {"10.0.0.2", 7340}};
        heartbeat.configVersion = 3;
        heartbeat.ageMs = 120;
        heartbeat.load =
            compactLoad({{UpstreamId("u"), {3, 4000, 2}}, {UpstreamId("unknown"), {9, 9, 9}}});
        heartbeat.hints = compactHints({{UpstreamId("u"), 12345}, {UpstreamId("unknown"), 1}});
        heartbeat.sample = {{VmName("other"), {"10.0.0.3", 7340}}};
        std::string reason;
        const auto decoded = decodeGatewayHeartbeat(encodeGatewayHeartbeat(heartbeat), &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("vm"), decoded->from.vm.text);
        UpstreamDirectory directory;
        UpstreamEntry known;
        known.id = UpstreamId("u");
        directory.replaceAll({known}, 1, Time{});
        const LoadByUpstream load = expandLoad(decoded->load, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, load.size());
        CPPUNIT_ASSERT_EQUAL(3U, load.at(known.id).running);
        CPPUNIT_ASSERT_EQUAL(2U, load.at(known.id).shortPrompts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4032}, load.at(known.id).prefillTokens); // whole units
        const std::vector<PromptHint> hints = expandHints(decoded->hints, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hints.size());
        CPPUNIT_ASSERT_EQUAL(PromptKey{12345}, hints.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::string("other"), decoded->sample.at(0).vm.text);
    }

    void limitsRoundTrip()
    {
        UpstreamEntry known;
        known.id = UpstreamId("u", 3);
        GatewayHeartbeat heartbeat;
        heartbeat.limits = compactLimits({{known.id, CallRate{2200}, 41},
                                          {known.id, std::nullopt, 42},
                                          {UpstreamId("u", 4), CallRate{1}, 43}});
        std::string reason;
        const auto decoded = decodeGatewayHeartbeat(encodeGatewayHeartbeat(heartbeat), &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, decoded.has_value());
        UpstreamDirectory directory;
        directory.replaceAll({known}, 1, Time{});
        const std::vector<LimitUpdate> updates = expandLimits(decoded->limits, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, updates.size()); // the other incarnation is unknown
        CPPUNIT_ASSERT(updates.at(0).limit == CallRate{2200} && !updates.at(1).limit);
        CPPUNIT_ASSERT_EQUAL(UnixMillis{41}, updates.at(0).timestamp);
    }

    void largestHeartbeatIsBounded()
    {
        LoadByUpstream load;
        for (unsigned n = 0; n < 12'000; ++n)
            load[UpstreamId(std::to_string(n))] = {n, std::uint64_t{n} * 10'000, n};
        GatewayHeartbeat heartbeat;
        heartbeat.load = compactLoad(load);
        heartbeat.limits.resize(maxReportedLimits);
        heartbeat.leaving.resize(maxReportedLeaving, UpstreamId("i-0123456789"));
        heartbeat.hints.resize(UpstreamTable::maxHints - 2 * maxReportedLimits
                               - 3 * maxReportedLeaving);
        CPPUNIT_ASSERT_EQUAL(maxReportedLoads, heartbeat.load.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{65'535}, heartbeat.load.front().prefillUnits);
        CPPUNIT_ASSERT(encodeGatewayHeartbeat(heartbeat).size() < 1200);
    }

    void arbitraryBytesAreHandled()
    {
        CPPUNIT_ASSERT(rc::check("any bytes", [](const std::string &bytes) {
            std::string reason;
            // Whatever the result, nothing may be thrown and no size may be trusted.
            decodeGatewayHeartbeat(bytes, &reason);
            decodeStateUpdate(bytes, &reason);
            const auto query = decodeStateQuery(bytes, &reason);
            RC_ASSERT(!query || bytes.size() == 72);
        }));
    }

    void truncatedMessagesAreRejected()
    {
        const std::string encoded = encodeStateUpdate(stateUpdate());
        for (std::size_t n = 0; n < encoded.size(); ++n) {
            std::string reason;
            CPPUNIT_ASSERT(!decodeStateUpdate(encoded.substr(0, n), &reason));
            CPPUNIT_ASSERT(!reason.empty());
        }
        std::string reason;
        CPPUNIT_ASSERT(!decodeStateUpdate(encoded + "x", &reason));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayMessagesTest);

} // namespace reachlead
