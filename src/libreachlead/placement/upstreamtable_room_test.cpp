// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <reachlead/placement/upstreamtable.h>

namespace reachlead {

/// Selections for calls that may wait until an upstream has room.
class UpstreamTableRoomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamTableRoomTest);
    CPPUNIT_TEST(callWaitsForTheEngineThatHasItsPrompt);
    CPPUNIT_TEST(plainCallTakesTheUpstreamWithAFreeSlot);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};
    static constexpr unsigned slots = 6;
    static inline const VmName peer{"peer"};

    static UpstreamDirectory directory(const std::string &service, unsigned n)
    {
        std::vector<UpstreamEntry> entries;
        for (unsigned it = 0; it < n; ++it) {
            UpstreamEntry entry;
            entry.id = UpstreamId(fmt::format("u{}", it));
            entry.service = ServiceName(service);
            entry.zone = ZoneName("z0");
            entry.slots = slots;
            entries.push_back(entry);
        }
        UpstreamDirectory made;
        made.replaceAll(entries, 1, start);
        return made;
    }

    /// A wave of calls on one subject: sent to whichever engine is idle, each would prefill the
    /// shared part again.
    void callWaitsForTheEngineThatHasItsPrompt()
    {
        const UpstreamDirectory upstreams = directory("llm", 3);
        UpstreamTable table(ZoneName("z0"), UpstreamTable::Costs());
        const std::vector<PromptPart> first{{1, 13'000}, {2, 3'000}};
        const std::vector<PromptPart> second{{1, 13'000}, {3, 3'000}};
        const SelectionQuery sent{ServiceName("llm"), "m", first, nullptr};
        const Selection cached = table.select(sent, upstreams, start).value();
        table.sent(cached.upstream, sent, cached, start);
        table.firstEvent(cached.upstream, cached.prefillTokens);
        const Time now = start + seconds(2);
        table.setPeerLoad(peer, {{{cached.upstream, {2, 20'000, 0}}}}, now);
        SelectionQuery query{ServiceName("llm"), "m", second, nullptr};
        CPPUNIT_ASSERT(table.select(query, upstreams, now).value().upstream == cached.upstream);
        query.requiresRoom = true;
        CPPUNIT_ASSERT(!table.select(query, upstreams, now));
        table.setPeerLoad(peer, {{{cached.upstream, {1, 0, 0}}}}, now);
        CPPUNIT_ASSERT(table.select(query, upstreams, now).value().upstream == cached.upstream);
    }

    void plainCallTakesTheUpstreamWithAFreeSlot()
    {
        const UpstreamDirectory upstreams = directory("app", 2);
        UpstreamTable table(ZoneName("z0"), UpstreamTable::Costs());
        SelectionQuery query{ServiceName("app"), "", {}, nullptr};
        query.requiresRoom = true;
        table.setPeerLoad(
            peer, {{{UpstreamId("u0"), {slots, 0, 0}}, {UpstreamId("u1"), {slots - 1, 0, 0}}}},
            start);
        CPPUNIT_ASSERT(table.select(query, upstreams, start).value().upstream == UpstreamId("u1"));
        table.setPeerLoad(
            peer, {{{UpstreamId("u0"), {slots, 0, 0}}, {UpstreamId("u1"), {slots, 0, 0}}}}, start);
        CPPUNIT_ASSERT(!table.select(query, upstreams, start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamTableRoomTest);

} // namespace reachlead
