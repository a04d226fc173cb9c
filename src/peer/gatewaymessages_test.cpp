// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include "peer/gatewaymessages.h"

namespace reachlead {

/// What gateways tell each other survives the way, and foreign bytes do no harm.
class GatewayMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayMessagesTest);
    CPPUNIT_TEST(newsArriveAsTheyWere);
    CPPUNIT_TEST(beatsArriveAsTheyWere);
    CPPUNIT_TEST(limitsArriveAsTheyWere);
    CPPUNIT_TEST(beatOfTheLargestLoadIsBounded);
    CPPUNIT_TEST(foreignBytesAreRefused);
    CPPUNIT_TEST(cutMessagesAreRefused);
    CPPUNIT_TEST_SUITE_END();

    static StateUpdate news()
    {
        StateUpdate made;
        made.config.emplace();
        made.config->version = 9;
        Route route;
        route.name = "r";
        route.kind = RouteKind::Stream;
        route.services = {{ServiceName("s"), 2.5}};
        made.config->routes = {route};
        made.config->accounts = {{AccountName("a"), {"k"}, 4U}, {AccountName("b"), {}, {}}};
        made.registry.snapshot.emplace();
        UpstreamEntry entry;
        entry.id = UpstreamId("u");
        entry.address = {"10.0.0.1", 81};
        entry.leaving = true;
        made.registry.snapshot->push_back(entry);
        made.registry.revision = 77;
        made.registry.held = {{entry, 1200}};
        return made;
    }

    void newsArriveAsTheyWere()
    {
        std::string reason;
        const auto read = decodeStateUpdate(encodeStateUpdate(news()), &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, read->config->version);
        CPPUNIT_ASSERT(read->config->routes[0].kind == RouteKind::Stream);
        CPPUNIT_ASSERT_EQUAL(2.5, read->config->routes[0].services[0].weight);
        CPPUNIT_ASSERT_EQUAL(4U, *read->config->accounts[0].priority);
        CPPUNIT_ASSERT(!read->config->accounts[1].priority);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:81"),
                             read->registry.snapshot->at(0).address.text());
        CPPUNIT_ASSERT(read->registry.snapshot->at(0).leaving);
        CPPUNIT_ASSERT_EQUAL(std::string("u"), read->registry.held.at(0).entry.id.text);
        CPPUNIT_ASSERT_EQUAL(std::int32_t{1200}, read->registry.held.at(0).leftMs);
        const auto none = decodeStateUpdate(encodeStateUpdate({}), &reason);
        CPPUNIT_ASSERT(none && !none->config && !none->registry.snapshot);
    }

    void beatsArriveAsTheyWere()
    {
        GatewayHeartbeat beat;
        beat.from = {VmName("vm"), {"10.0.0.2", 7340}};
        beat.configVersion = 3;
        beat.ageMs = 120;
        beat.load =
            compactLoad({{UpstreamId("u"), {3, 4000, 2}}, {UpstreamId("unknown"), {9, 9, 9}}});
        beat.hints = compactHints({{UpstreamId("u"), 12345}, {UpstreamId("unknown"), 1}});
        beat.sample = {{VmName("other"), {"10.0.0.3", 7340}}};
        std::string reason;
        const auto read = decodeGatewayHeartbeat(encodeGatewayHeartbeat(beat), &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("vm"), read->from.vm.text);
        UpstreamDirectory directory;
        UpstreamEntry known;
        known.id = UpstreamId("u");
        directory.replaceAll({known}, 1, Time{});
        const LoadByUpstream load = expandLoad(read->load, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, load.size());
        CPPUNIT_ASSERT_EQUAL(3U, load.at(known.id).running);
        CPPUNIT_ASSERT_EQUAL(2U, load.at(known.id).shortPrompts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4032}, load.at(known.id).prefillTokens); // whole units
        const std::vector<PromptHint> notes = expandHints(read->hints, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notes.size());
        CPPUNIT_ASSERT_EQUAL(PromptKey{12345}, notes.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::string("other"), read->sample.at(0).vm.text);
    }

    void limitsArriveAsTheyWere()
    {
        UpstreamEntry known;
        known.id = UpstreamId("u", 3);
        GatewayHeartbeat beat;
        beat.limits = compactLimits({{known.id, CallRate{2200}, 41},
                                     {known.id, std::nullopt, 42},
                                     {UpstreamId("u", 4), CallRate{1}, 43}});
        std::string reason;
        const auto read = decodeGatewayHeartbeat(encodeGatewayHeartbeat(beat), &reason);
        CPPUNIT_ASSERT_MESSAGE(reason, read.has_value());
        UpstreamDirectory directory;
        directory.replaceAll({known}, 1, Time{});
        const std::vector<LimitUpdate> notes = expandLimits(read->limits, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, notes.size()); // the other life is not known
        CPPUNIT_ASSERT(notes.at(0).limit == CallRate{2200} && !notes.at(1).limit);
        CPPUNIT_ASSERT_EQUAL(UnixMillis{41}, notes.at(0).timestamp);
    }

    void beatOfTheLargestLoadIsBounded()
    {
        LoadByUpstream load;
        for (unsigned n = 0; n < 12'000; ++n)
            load[UpstreamId(std::to_string(n))] = {n, std::uint64_t{n} * 10'000, n};
        GatewayHeartbeat beat;
        beat.load = compactLoad(load);
        beat.limits.resize(maxReportedLimits);
        beat.leaving.resize(maxReportedLeaving, UpstreamId("i-0123456789"));
        beat.hints.resize(UpstreamTable::maxHints - 2 * maxReportedLimits - 3 * maxReportedLeaving);
        CPPUNIT_ASSERT_EQUAL(maxReportedLoads, beat.load.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{65'535}, beat.load.front().prefillUnits);
        CPPUNIT_ASSERT(encodeGatewayHeartbeat(beat).size() < 1200);
    }

    void foreignBytesAreRefused()
    {
        CPPUNIT_ASSERT(rc::check("any bytes", [](const std::string &bytes) {
            std::string reason;
            // Whatever comes out, nothing is thrown and no size is trusted.
            decodeGatewayHeartbeat(bytes, &reason);
            decodeStateUpdate(bytes, &reason);
            const auto ask = decodeStateQuery(bytes, &reason);
            RC_ASSERT(!ask || bytes.size() == 48);
        }));
    }

    void cutMessagesAreRefused()
    {
        const std::string whole = encodeStateUpdate(news());
        for (std::size_t n = 0; n < whole.size(); ++n) {
            std::string reason;
            CPPUNIT_ASSERT(!decodeStateUpdate(whole.substr(0, n), &reason));
            CPPUNIT_ASSERT(!reason.empty());
        }
        std::string reason;
        CPPUNIT_ASSERT(!decodeStateUpdate(whole + "x", &reason));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayMessagesTest);

} // namespace reachlead
