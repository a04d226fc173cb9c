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

/// Evacuated zones by the words of a platform and of peers that come late, twice or never.
class EvacuationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationsTest);
    CPPUNIT_TEST(olderSetNeverReplacesANewerOne);
    CPPUNIT_TEST(unchangedSetIsNoNews);
    CPPUNIT_TEST(setThatChangedBeforeItWasReadHereIsOld);
    CPPUNIT_TEST(firstReaderAfterTheEndTellsTheOthers);
    CPPUNIT_TEST(gatewaysAgreeWhateverIsLost);
    CPPUNIT_TEST(nothingIsSentToAnEvacuatedZone);
    CPPUNIT_TEST(zoneThatIsTakenBackIsUsedAgain);
    CPPUNIT_TEST(upstreamThatAppearsInAnEvacuatedZoneIsNotUsed);
    CPPUNIT_TEST(peerTellsOfEvacuations);
    CPPUNIT_TEST(gatewayIsNotReadyBeforeItKnowsThem);
    CPPUNIT_TEST(returnedUpstreamsCountAsCold);
    CPPUNIT_TEST(allowedRegionsOfRouteAndAccountBothBind);
    CPPUNIT_TEST(upstreamsOfOtherRegionsAreNotChosen);
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

    void olderSetNeverReplacesANewerOne()
    {
        Evacuations known;
        CPPUNIT_ASSERT(!known.isKnown());
        CPPUNIT_ASSERT(known.setFromPlatform(zones({"a"}), 10));
        CPPUNIT_ASSERT(known.setFromPlatform(zones({}), 20)); // taken back
        CPPUNIT_ASSERT(!known.applyUpdate({10, zones({"a"})})); // a peer that has not heard of it
        CPPUNIT_ASSERT(!known.setFromPlatform(zones({"a"}), 15));
        CPPUNIT_ASSERT(known.zones().empty());
        CPPUNIT_ASSERT(known.applyUpdate({30, zones({"a"})})); // set again
        CPPUNIT_ASSERT(known.zones() == zones({"a"}));
    }

    /// Gateways that read the same set at different revisions need not fetch it from each other.
    void unchangedSetIsNoNews()
    {
        Evacuations first;
        Evacuations second;
        first.setFromPlatform({}, 100);
        second.setFromPlatform({}, 250);
        CPPUNIT_ASSERT(second.revision() <= first.readRevision());
        CPPUNIT_ASSERT(first.revision() <= second.readRevision());
        second.setFromPlatform({}, 400);
        CPPUNIT_ASSERT(second.revision() <= first.readRevision());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, second.updateSince(first.readRevision()).revision);
    }

    void setThatChangedBeforeItWasReadHereIsOld()
    {
        Evacuations known;
        known.setFromPlatform({},
                              50); // after the end of an evacuation that a peer still believes in
        CPPUNIT_ASSERT(!known.applyUpdate({40, zones({"a"})}));
        CPPUNIT_ASSERT(known.zones().empty());
    }

    /// All that followed the platform were lost as a zone was taken back: who starts then and reads
    /// an empty set must tell those that still believe in the evacuation.
    void firstReaderAfterTheEndTellsTheOthers()
    {
        Evacuations old;
        old.setFromPlatform(zones({"a"}), 40);
        Evacuations fresh;
        fresh.setFromPlatform({}, 60);
        fresh.compareWithPeer(old.revision(), old.checksum());
        CPPUNIT_ASSERT(fresh.revision() > old.readRevision());
        CPPUNIT_ASSERT(old.applyUpdate(fresh.updateSince(old.readRevision())));
        CPPUNIT_ASSERT(old.zones().empty());
        Evacuations next;
        next.setFromPlatform({}, 90);
        next.compareWithPeer(fresh.revision(), fresh.checksum()); // the same set: no news
        CPPUNIT_ASSERT_EQUAL(fresh.revision(), next.revision());
    }

    /// A platform whose zones are evacuated and taken back at random; twelve gateways that read it
    /// now and then, late, and tell each other, with words lost. Once all have spoken to each other
    /// and one has read the last state, all hold it.
    void gatewaysAgreeWhateverIsLost()
    {
        constexpr std::size_t gateways = 12;
        for (unsigned seed = 1; seed <= 60; ++seed) {
            std::mt19937 random(seed);
            const auto draw = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
            std::uint64_t revision = 5;
            std::map<std::uint64_t, ZoneSet> history{{revision, {}}};
            std::vector<Evacuations> all(gateways);
            for (int n = 0; n < 400; ++n) {
                revision += 1 + draw(3); // other kinds change too
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
                        std::max<std::uint64_t>(asOf, 5));
                const Evacuations &teller = all[draw(gateways)];
                Evacuations &hearer = all[draw(gateways)];
                hearer.compareWithPeer(teller.revision(), teller.checksum());
                if (teller.revision() > hearer.readRevision())
                    hearer.applyUpdate(teller.updateSince(hearer.readRevision()));
                const auto at = history.upper_bound(hearer.readRevision());
                if (hearer.isKnown() && at != history.begin())
                    CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {} step {}", seed, n),
                                           std::prev(at)->second == hearer.zones()
                                               || hearer.revision() == 1);
            }
            all[0].setFromPlatform(history.rbegin()->second, revision);
            for (const Evacuations &teller : all)
                all[0].compareWithPeer(teller.revision(), teller.checksum());
            for (Evacuations &hearer : all)
                hearer.applyUpdate(all[0].updateSince(hearer.readRevision()));
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
        const SelectionQuery ask{ServiceName("s"), "m", {}};
        for (int n = 0; n < 20; ++n) {
            const auto choice = state.upstreams().select(ask, state.directory(), start);
            CPPUNIT_ASSERT(choice && choice->upstream.text[0] == 'b');
            state.upstreams().sent(choice->upstream, ask, *choice, start);
        }
        state.evacuationsRead(zones({"a", "b"}), 12);
        CPPUNIT_ASSERT(!state.upstreams().select(ask, state.directory(), start));
    }

    void zoneThatIsTakenBackIsUsedAgain()
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

    void peerTellsOfEvacuations()
    {
        GatewayState teller({});
        teller.upstreamsListed(entries(), 10);
        teller.evacuationsRead(zones({"a"}), 11);
        GatewayState hearer({});
        hearer.applyPeerUpdate(VmName("teller"), teller.updateSince(hearer.versions()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, usable(hearer));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, hearer.versions().evacuations);
        teller.evacuationsRead({}, 15);
        hearer.applyPeerUpdate(VmName("teller"), teller.updateSince(hearer.versions()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, usable(hearer));
    }

    void gatewayIsNotReadyBeforeItKnowsThem()
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

    /// Calls that a returned zone's upstream gets from one scheduler in the first second, where it
    /// is the only one without work and its service bears five calls of a cold one.
    void returnedUpstreamsCountAsCold()
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
        SelectionQuery ask{ServiceName("s"), "m", {}, nullptr, &info};
        ask.isGroupScheduler = true;
        const auto callsIn = [&](Time from) {
            int got = 0;
            for (int n = 0; n < 50; ++n) {
                const Time now = from + n * milliseconds(20);
                const auto choice = state.upstreams().select(ask, state.directory(), now);
                CPPUNIT_ASSERT(choice.has_value());
                state.upstreams().sent(choice->upstream, ask, *choice, now);
                state.upstreams().ended(choice->upstream, 0, false);
                got += choice->upstream.text == "a1" ? 1 : 0;
            }
            return got;
        };
        const int first = callsIn(start);
        CPPUNIT_ASSERT(first > 0 && first <= 5);
        CPPUNIT_ASSERT_EQUAL(50, callsIn(start + UpstreamTable::coldDoubt));
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
        CPPUNIT_ASSERT(allowedZones({}, two, none) == zones({})); // regions are not known
    }

    /// Any mix of regions, evacuated zones and upstreams already tried: what is chosen is in an
    /// allowed zone, and so is the cache that it copies from; nothing is chosen only where no
    /// upstream is allowed.
    void upstreamsOfOtherRegionsAreNotChosen()
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
            SelectionQuery ask{ServiceName("s"), "m", prompt, nullptr, &info};
            for (int k = 0; k < 4; ++k) { // caches anywhere, from before
                const auto choice = state.upstreams().select(ask, state.directory(), start);
                state.upstreams().sent(choice->upstream, ask, *choice, start);
            }
            state.evacuationsRead(evacuated, 11);
            ask.permittedZones = &allowed;
            const auto choice =
                state.upstreams().select(ask, state.directory(), start + seconds(9));
            const auto isFit = [&](const UpstreamId &id) {
                const ZoneName &zone = state.directory().find(id)->zone;
                return allowed.contains(zone) && !evacuated.contains(zone);
            };
            const bool isAny =
                std::ranges::any_of(all, [&](const UpstreamEntry &it) { return isFit(it.id); });
            CPPUNIT_ASSERT_EQUAL(isAny, choice.has_value());
            CPPUNIT_ASSERT(!choice || isFit(choice->upstream));
            CPPUNIT_ASSERT(!choice || !choice->fetchFrom || isFit(*choice->fetchFrom));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);

} // namespace reachlead
