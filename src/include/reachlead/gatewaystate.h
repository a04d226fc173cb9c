// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a gateway believes: the configuration, the upstreams, the other gateways, and from whom it
/// has it.

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <reachlead/crashtracker.h>
#include <reachlead/evacuations.h>
#include <reachlead/fleetsource.h>
#include <reachlead/placementgroups.h>
#include <reachlead/regions.h>
#include <reachlead/retryshare.h>
#include <reachlead/routing.h>
#include <reachlead/upstreamdirectory.h>
#include <reachlead/upstreamtable.h>
#include <reachlead/watcherelection.h>

namespace reachlead {

/// The beliefs of one gateway. Not thread-safe; reads no clock but through now().
class GatewayState : public FleetSink
{
public:
    struct Options
    {
        VmName vm;
        ZoneName zone;
        RetryBounds retries;
        UpstreamTable::Costs costs;
        /// Upstreams that one gateway places for, about.
        std::size_t groupSize = PlacementGroups::defaultSize;
        WatcherElection::Options watcherElection;
        std::size_t minGateways = 1; ///< until others are known: seeds of the settings
        /// Zones may be evacuated, so no call is served before it is known which are.
        bool followsEvacuations = false;
        RegionByZone regions; ///< none: routes and accounts that name regions get no upstream
    };

    explicit GatewayState(const Options &options);

    // FleetSink: what the platform tells.
    void configRead(RoutingConfig config) override;
    void upstreamsListed(std::vector<UpstreamEntry> entries, std::uint64_t revision) override;
    void upstreamsChanged(std::vector<UpstreamChange> changes, std::uint64_t revision) override;
    void gatewaysChanged(GatewayRoster roster) override;
    void evacuationsRead(ZoneSet zones, std::uint64_t revision) override;
    void contactChanged(bool inContact) override;
    void caughtUp() override;
    void quarantineRead(std::vector<QuarantinedRequest> requests) override;

    /// Takes up requests that others know to be in quarantine.
    void learnQuarantine(const std::vector<QuarantinedRequest> &requests, std::string_view source);

    /// What an answer said that was not known before.
    struct NoticeChanges
    {
        bool hasNewLimit = false;
        bool isNewlyLeaving = false;
        bool hasBackoff = false;
    };

    /// What an upstream's answer said of its own state.
    NoticeChanges applyNotice(const UpstreamId &id, const UpstreamNotice &notice);

    /// The limits, and the upstreams that leave, that another gateway heard of.
    void learnLimits(const std::vector<LimitUpdate> &notes, const VmName &peer);
    void learnLeaving(const std::vector<UpstreamId> &ids, const VmName &peer);

    /// What another gateway told: the same, where it is newer.
    void applyPeerUpdate(const VmName &peer, const StateUpdate &news);

    /// What one that has these versions lacks: changes where they can be told, else all.
    StateUpdate updateSince(const StateVersions &known) const;

    /// A peer's evacuations, as Evacuations::compare().
    void compareEvacuations(std::uint64_t revision, std::uint32_t mark)
    {
        m_evacuations.compareWithPeer(revision, mark);
    }

    /// How far this gateway's own state goes.
    StateVersions versions() const;

    /// When this gateway's state was last known to be current.
    std::optional<Time> currentAt() const { return m_currentAt; }

    /// A peer with the same state vouches that it was current at \p at.
    void confirmed(Time at);

    /// Whether this gateway should follow the platform itself, given the peers that live.
    bool shouldWatch(const std::set<VmName> &peers) const;

    /// True while peers vouch that the state is no older than the duty's limit.
    bool isConfirmed() const;

    /// How many gateways there are by their beats, this one included.
    void setLiveGateways(std::size_t heard);

    /// Carries out what is due. Call a few times a second.
    void tick();

    /// The configuration in force; null before the first.
    const RouteTablePtr &table() const { return m_table; }
    const UpstreamDirectory &directory() const { return m_directory; }
    const Evacuations &evacuations() const { return m_evacuations; }
    UpstreamTable &upstreams() { return m_book; }
    PlacementGroups &groups() { return m_groups; }
    const VmName &vm() const { return m_options.vm; }
    const ZoneName &zone() const { return m_options.zone; }
    const RegionByZone &regions() const { return m_options.regions; }
    RetryShare &retries() { return m_retries; }
    CrashTracker &crashes() { return m_crashes; }
    const GatewayRoster &roster() const { return m_roster; }
    std::uint64_t configVersion() const { return m_table ? m_table->version() : 0; }

    /// Configurations that a change can be told from: a storm writes some each second, and one that
    /// is further behind is rare.
    static constexpr std::size_t maxFormerTables = 8;

    /// Asked for the fleet's time of day; that of this VM until it is set.
    void setTimeOfDay(std::function<UnixMillis()> callback) { m_timeOfDay = std::move(callback); }

    /// True when calls can be served: a configuration and an upstream are known, and which zones
    /// are evacuated where that may be.
    bool isReady() const;

    /// Called when others are to hear of the state at once: it changed, or is current again after
    /// it was not for long.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    /// Called with the ids of upstreams that take no more work.
    void onUpstreamsWithdrawn(std::function<void(const std::vector<UpstreamId> &)> callback)
    {
        m_onLeft = std::move(callback);
    }

private:
    static Time now() { return RuntimeClock::now(); }
    void noteChange(const UpstreamDirectory::UsableChanges &changed, std::string_view source);
    void adopt(RoutingConfig config, std::string_view source);
    void noteCurrent(Time at);
    void applyEvacuations(std::string_view source);

    Options m_options;
    RouteTablePtr m_table;
    std::deque<RouteTablePtr> m_formerTables; ///< to tell changes from; oldest first
    UpstreamDirectory m_directory;
    Evacuations m_evacuations;
    UpstreamTable m_book;
    PlacementGroups m_groups;
    RetryShare m_retries;
    CrashTracker m_crashes;
    GatewayRoster m_roster;
    std::size_t m_heardGateways = 1;
    std::optional<Time> m_currentAt;
    WatcherElection m_duty;
    std::function<void(const std::vector<UpstreamId> &)> m_onLeft;
    std::function<void()> m_onChange;
    std::function<UnixMillis()> m_timeOfDay = vmTimeOfDay;
};

} // namespace reachlead
