// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <vector>

#include <fmt/format.h>

#include <reachlead/evacuations.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/regions.h>

namespace reachlead {

/// Evacuated zones when the state from the platform and from peers arrives late, twice or never.
class EvacuationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationsTest);
    CPPUNIT_TEST(olderSetNeverReplacesANewerOne);
    CPPUNIT_TEST(unchangedSetIsNoUpdate);
    CPPUNIT_TEST(changeBeforeTheLastReadIsIgnored);
    CPPUNIT_TEST(firstReaderAfterTheEndUpdatesTheOthers);
    CPPUNIT_TEST(gatewaysConvergeDespiteMessageLoss);
    CPPUNIT_TEST(nothingIsSentToAnEvacuatedZone);
    CPPUNIT_TEST(restoredZoneIsUsedAgain);
    CPPUNIT_TEST(upstreamThatAppearsInAnEvacuatedZoneIsNotUsed);
    CPPUNIT_TEST(evacuationsAreReceivedFromPeers);
    CPPUNIT_TEST(gatewayIsNotReadyWithoutEvacuationState);
    CPPUNIT_TEST(upstreamsOfARestoredZoneCountAsCold);
    CPPUNIT_TEST(allowedRegionsOfRouteAndAccountBothBind);
    CPPUNIT_TEST(upstreamsOfOtherRegionsAreNotSelected);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start{seconds(100)};

public:
    void setUp() override { RuntimeClock::pause(start); }
    void tearDown() override { RuntimeClock::resume(); }

private:
    static ZoneSet zones(std::initializer_list<const char *> names)
    {
        ZoneSet made;
        for (const char *name : names)
            made.emplace(name);
        return made;
    }

    static UpstreamEntry entry(const std::string &id, const std::string &zone)
    {
        UpstreamEntry made;
        made.id = UpstreamId(id);
        made.service = ServiceName("s");
        made.zone = ZoneName(zone);
        made.slots = 8;
        return made;
    }

    /// Two upstreams in each of the zones a and b.
    static std::vector<UpstreamEntry> entries()
    {
        return {entry("a1", "a"), entry("a2", "a"), entry("b1", "b"), entry("b2", "b")};
    }

    static std::size_t usable(const GatewayState &state)
    {
        return state.directory().usableUpstreams(ServiceName("s")).size();
    }

    static constexpr Time at{}; ///< for tests in which time does not matter

    void olderSetNeverReplacesANewerOne()
    {
        Evacuations known;
        CPPUNIT_ASSERT(!known.isKnown());
        CPPUNIT_ASSERT(known.setFromPlatform(zones({"a"}), 10, at));
        CPPUNIT_ASSERT(known.setFromPlatform(zones({}), 20, at)); // evacuation ended
        CPPUNIT_ASSERT(
            !known.applyUpdate({10, zones({"a"}), {}}, at)); // from a peer with older state
        CPPUNIT_ASSERT(!known.setFromPlatform(zones({"a"}), 15, at));
        CPPUNIT_ASSERT(known.zones().empty());
        CPPUNIT_ASSERT(known.applyUpdate({30, zones({"a"}), {}}, at)); // evacuated again
        CPPUNIT_ASSERT(known.zones() == zones({"a"}));
    }

    /// Gateways that read the same set at different revisions must not fetch it from each other.
    void unchangedSetIsNoUpdate()
    {
        Evacuations first;
        Evacuations second;
        first.setFromPlatform({}, 100, at);
        second.setFromPlatform({}, 250, at);
        CPPUNIT_ASSERT(second.revision() <= first.readRevision());
        CPPUNIT_ASSERT(first.revision() <= second.readRevision());
        second.setFromPlatform({}, 400, at);
        CPPUNIT_ASSERT(second.revision() <= first.readRevision());
        CPPUNIT_ASSERT(!second.updateSince(first.readRevision(), at).revision.isKnown());
    }

    void changeBeforeTheLastReadIsIgnored()
    {
        Evacuations known;
        known.setFromPlatform(
            {}, 50, at); // after the end of an evacuation that is still in force for a peer
        CPPUNIT_ASSERT(!known.applyUpdate({40, zones({"a"}), {}}, at));
        CPPUNIT_ASSERT(known.zones().empty());
    }

    /// All gateways that followed the platform were lost when an evacuation ended. One that starts
    /// later and reads an empty set must update those that still have the evacuation.
    void firstReaderAfterTheEndUpdatesTheOthers()
    {
        Evacuations old;
        old.setFromPlatform(zones({"a"}), 40, at);
        Evacuations fresh;
        fresh.setFromPlatform({}, 60, at);
        fresh.compareWithPeer(old.revision(), old.checksum());
        CPPUNIT_ASSERT(fresh.revision() > old.readRevision());
        CPPUNIT_ASSERT(old.applyUpdate(fresh.updateSince(old.readRevision(), at), at));
        CPPUNIT_ASSERT(old.zones().empty());
        Evacuations next;
        next.setFromPlatform({}, 90, at);
        next.compareWithPeer(fresh.revision(), fresh.checksum()); // the same set: no update
        CPPUNIT_ASSERT(fresh.revision() == next.revision());
    }

    /// Zones of a platform are evacuated and restored at random. Twelve gateways read the platform
    /// occasionally and late, and update each other with message loss. Once all have exchanged
    /// state and one has read the final state, all have it.
    void gatewaysConvergeDespiteMessageLoss()
    {
        constexpr std::size_t gateways = 12;
        for (unsigned seed = 1; seed <= 60; ++seed) {
            std::mt19937 random(seed);
            const auto draw = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
            std::uint64_t revision = 5;
            std::map<std::uint64_t, ZoneSet> history{{revision, {}}};
            std::vector<Evacuations> all(gateways);
            for (int n = 0; n < 400; ++n) {
                revision += 1 + draw(3); // other kinds of objects change too
                ZoneSet now = history.rbegin()->second;
                if (draw(6) == 0) {
                    const ZoneName zone(std::string(1, static_cast<char>('a' + draw(3))));
                    if (now.erase(zone) == 0)
                        now.insert(zone);
                }
                history[revision] = now;
                Evacuations &reader = all[draw(gateways)];
                const std::uint64_t asOf = revision - std::min<std::uint64_t>(revision, draw(8));
                if (draw(3) == 0 && history.lower_bound(asOf) != history.begin())
                    reader.setFromPlatform(
                        std::prev(history.upper_bound(std::max<std::uint64_t>(asOf, 5)))->second,
                        std::max<std::uint64_t>(asOf, 5), at);
                const Evacuations &sender = all[draw(gateways)];
                Evacuations &receiver = all[draw(gateways)];
                receiver.compareWithPeer(sender.revision(), sender.checksum());
                if (sender.revision() > receiver.readRevision())
                    receiver.applyUpdate(sender.updateSince(receiver.readRevision(), at), at);
                const auto next = history.upper_bound(receiver.readRevision().number);
                if (receiver.isKnown() && next != history.begin())
                    CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {} step {}", seed, n),
                                           std::prev(next)->second == receiver.zones()
                                               || receiver.revision() == 1);
            }
            all[0].setFromPlatform(history.rbegin()->second, revision, at);
            for (const Evacuations &sender : all)
                all[0].compareWithPeer(sender.revision(), sender.checksum());
            for (Evacuations &receiver : all)
                receiver.applyUpdate(all[0].updateSince(receiver.readRevision(), at), at);
            for (const Evacuations &it : all)
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed),
                                       !it.isKnown() || it.zones() == history.rbegin()->second);
        }
    }

    void nothingIsSentToAnEvacuatedZone()
    {
        GatewayState state({});
        std::vector<UpstreamId> left;
        state.onUpstreamsWithdrawn([&](const std::vector<UpstreamId> &ids) { left = ids; });
        state.upstreamsListed(entries(), 10);
        state.evacuationsRead(zones({"a"}), 11);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, usable(state));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, left.size()); // idle connections there are closed
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, state.directory().entries().size());
        const SelectionQuery query{ServiceName("s"), "m", {}};
        for (int n = 0; n < 20; ++n) {
            const auto selection = state.upstreams().select(query, state.directory(), start);
            CPPUNIT_ASSERT(selection && selection->upstream.text[0] == 'b');
            state.upstreams().sent(selection->upstream, query, *selection, start);
        }
        state.evacuationsRead(zones({"a", "b"}), 12);
        CPPUNIT_ASSERT(!state.upstreams().select(query, state.directory(), start));
    }

    void restoredZoneIsUsedAgain()
    {
        GatewayState state({});
        state.upstreamsListed(entries(), 10);
        state.evacuationsRead(zones({"a"}), 11);
        state.evacuationsRead(zones({}), 12);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, usable(state));
    }

    void upstreamThatAppearsInAnEvacuatedZoneIsNotUsed()
    {
        GatewayState state({});
        state.evacuationsRead(zones({"a"}), 9);
        state.upstreamsListed(entries(), 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, usable(state));
        state.upstreamsChanged({{entry("a3", "a"), false}}, 11);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, usable(state));
    }

    void evacuationsAreReceivedFromPeers()
    {
        GatewayState sender({});
        sender.upstreamsListed(entries(), 10);
        sender.evacuationsRead(zones({"a"}), 11);
        GatewayState receiver({});
        receiver.applyPeerUpdate(VmName("teller"), sender.updateSince(receiver.versions()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, usable(receiver));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, receiver.versions().evacuations.number);
        sender.evacuationsRead({}, 15);
        receiver.applyPeerUpdate(VmName("teller"), sender.updateSince(receiver.versions()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, usable(receiver));
    }

    void gatewayIsNotReadyWithoutEvacuationState()
    {
        GatewayState::Options options;
        options.followsEvacuations = true;
        GatewayState state(options);
        RoutingConfig config;
        config.version = 1;
        state.configRead(config);
        state.upstreamsListed(entries(), 10);
        CPPUNIT_ASSERT(!state.isReady());
        state.evacuationsRead({}, 10);
        CPPUNIT_ASSERT(state.isReady());
    }

    /// Calls that an upstream of a restored zone gets from one scheduler in the first second, when
    /// it is the only one without load and its service takes five calls per second when cold.
    void upstreamsOfARestoredZoneCountAsCold()
    {
        GatewayState state({});
        state.upstreamsListed(entries(), 10);
        LoadByUpstream load;
        for (const char *id : {"a2", "b1", "b2"})
            load[UpstreamId(id)] = {60, 0, 0};
        state.upstreams().setPeerLoad(VmName("p"), {load, 0}, start, std::chrono::hours(1));
        state.evacuationsRead(zones({"a"}), 11);
        state.evacuationsRead({}, 12);
        ServiceInfo info;
        info.coldCallsPerSecond = 5;
        SelectionQuery query{ServiceName("s"), "m", {}, nullptr, &info};
        query.isGroupScheduler = true;
        const auto callsIn = [&](Time from) {
            int got = 0;
            for (int n = 0; n < 50; ++n) {
                const Time now = from + n * milliseconds(20);
                const auto selection = state.upstreams().select(query, state.directory(), now);
                CPPUNIT_ASSERT(selection.has_value());
                state.upstreams().sent(selection->upstream, query, *selection, now);
                state.upstreams().ended(selection->upstream, 0, false);
                got += selection->upstream.text == "a1" ? 1 : 0;
            }
            return got;
        };
        const int first = callsIn(start);
        CPPUNIT_ASSERT(first > 0 && first <= 5);
        CPPUNIT_ASSERT_EQUAL(50, callsIn(start + UpstreamTable::assumedColdTime));
    }

    void allowedRegionsOfRouteAndAccountBothBind()
    {
        const RegionByZone regions{{ZoneName("a"), RegionName("north")},
                                   {ZoneName("b"), RegionName("south")},
                                   {ZoneName("c"), RegionName("west")}};
        const std::vector<RegionName> none;
        const std::vector<RegionName> two{RegionName("north"), RegionName("south")};
        const std::vector<RegionName> other{RegionName("south"), RegionName("west")};
        CPPUNIT_ASSERT(!allowedZones(regions, none, none));
        CPPUNIT_ASSERT(allowedZones(regions, two, none) == zones({"a", "b"}));
        CPPUNIT_ASSERT(allowedZones(regions, none, other) == zones({"b", "c"}));
        CPPUNIT_ASSERT(allowedZones(regions, two, other) == zones({"b"}));
        CPPUNIT_ASSERT(allowedZones(regions, {RegionName("north")}, {RegionName("west")})
                       == zones({}));
        CPPUNIT_ASSERT(allowedZones({}, two, none) == zones({})); // unknown regions
    }

    /// With any mix of regions, evacuated zones and cached prompts, the selected upstream is in an
    /// allowed zone, and so is the upstream to fetch from; nothing is selected only if no upstream
    /// is allowed.
    void upstreamsOfOtherRegionsAreNotSelected()
    {
        std::mt19937 random(7);
        const std::vector<PromptPart> prompt{{1, 9000}, {2, 500}};
        for (int n = 0; n < 500; ++n) {
            GatewayState state({});
            std::vector<UpstreamEntry> all;
            for (const char *zone : {"a", "b", "c"}) {
                for (int k = 0; k < 3; ++k)
                    all.push_back(entry(fmt::format("{}{}", zone, k), zone));
            }
            state.upstreamsListed(all, 10);
            const auto drawZones = [&] {
                ZoneSet drawn;
                for (const char *zone : {"a", "b", "c"}) {
                    if (random() % 2 == 0)
                        drawn.emplace(zone);
                }
                return drawn;
            };
            const ZoneSet allowed = drawZones();
            const ZoneSet evacuated = drawZones();
            ServiceInfo info;
            info.engineTokenBytes = 10'000;
            info.engineLinkMbps = 100'000;
            SelectionQuery query{ServiceName("s"), "m", prompt, nullptr, &info};
            for (int k = 0; k < 4; ++k) { // caches in any zone, from before
                const auto selection = state.upstreams().select(query, state.directory(), start);
                state.upstreams().sent(selection->upstream, query, *selection, start);
            }
            state.evacuationsRead(evacuated, 11);
            query.permittedZones = &allowed;
            const auto selection =
                state.upstreams().select(query, state.directory(), start + seconds(9));
            const auto isAllowed = [&](const UpstreamId &id) {
                const ZoneName &zone = state.directory().find(id)->zone;
                return allowed.contains(zone) && !evacuated.contains(zone);
            };
            const bool isAny =
                std::ranges::any_of(all, [&](const UpstreamEntry &it) { return isAllowed(it.id); });
            CPPUNIT_ASSERT_EQUAL(isAny, selection.has_value());
            CPPUNIT_ASSERT(!selection || isAllowed(selection->upstream));
            CPPUNIT_ASSERT(!selection || !selection->fetchFrom || isAllowed(*selection->fetchFrom));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);

} // namespace reachlead
