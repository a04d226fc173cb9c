// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A gateway's view of the configuration, the upstreams and the other gateways, updated by the
/// platform and by peers.

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
#include <reachlead/placement/placementgroups.h>
#include <reachlead/placement/upstreamtable.h>
#include <reachlead/regions.h>
#include <reachlead/retryshare.h>
#include <reachlead/routing.h>
#include <reachlead/streambindings.h>
#include <reachlead/upstreamdirectory.h>
#include <reachlead/verificationwaiters.h>
#include <reachlead/watcherelection.h>

namespace reachlead {

/// The state of one gateway. Not thread-safe; reads the clock only through now().
class GatewayState : public FleetSink
{
public:
    struct Options
    {
        VmName vm;
        ZoneName zone;
        RetryBounds retries;
        UpstreamTable::Costs costs;
        /// Approximate number of upstreams in a placement group.
        std::size_t groupSize = PlacementGroups::defaultSize;
        WatcherElection::Options watcherElection;
        Duration configBound = seconds(2); ///< in which a configuration must be in force
        std::size_t minGateways = 1; ///< until others are known: seeds in the settings
        /// Zones may be evacuated: no call is served until the evacuated zones are known.
        bool followsEvacuations = false;
        RegionByZone regions; ///< empty: routes and accounts with regions get no upstream
    };

    explicit GatewayState(const Options &options);

    // FleetSink: updates from the platform.
    void configRead(RoutingConfig config) override;
    void upstreamsListed(std::vector<UpstreamEntry> entries, StoreRevision revision) override;
    void upstreamsChanged(std::vector<UpstreamChange> changes, StoreRevision revision) override;
    void gatewaysChanged(GatewayRoster roster) override;
    void evacuationsRead(ZoneSet zones, StoreRevision revision) override;
    void contactChanged(bool inContact) override;
    void verified(Time at) override;
    std::optional<Time> currentAt() const override { return m_currentAt; }
    void quarantineRead(std::vector<Quarantine> quarantines) override;
    std::vector<Quarantine> quarantined() const override;

    /// Adds quarantines of other gateways.
    void learnQuarantines(const std::vector<Quarantine> &quarantines, std::string_view source);

    /// Sets the callback for new quarantines, whichever gateway started them.
    void onQuarantineStarted(std::function<void()> callback)
    {
        m_onQuarantineStarted = std::move(callback);
    }

    /// Call after a quarantine was started here.
    void quarantineStarted() const
    {
        if (m_onQuarantineStarted)
            m_onQuarantineStarted();
    }

    /// What an upstream's notice changed.
    struct NoticeChanges
    {
        bool hasNewLimit = false;
        bool isNewlyLeaving = false;
        bool hasBackoff = false;
    };

    /// Applies the notice about an upstream's own state that came with its answer.
    NoticeChanges applyNotice(const UpstreamId &id, const UpstreamNotice &notice);

    /// Applies limits and leaving upstreams reported by another gateway.
    void learnLimits(const std::vector<LimitUpdate> &notes, const VmName &peer);
    void learnLeaving(const std::vector<UpstreamId> &ids, const VmName &peer);

    /// Applies a peer's update, except for parts that are not newer than the local state.
    void applyPeerUpdate(const VmName &peer, const StateUpdate &update);

    /// The update for a peer with these versions: changes if they are still known, otherwise the
    /// whole state.
    StateUpdate updateSince(const StateVersions &known) const;

    /// Compares a peer's evacuations with the local ones, see Evacuations::compare().
    void compareEvacuations(StoreRevision revision, std::uint32_t checksum)
    {
        m_evacuations.compareWithPeer(revision, checksum);
    }

    /// Versions and revisions of this gateway's state.
    StateVersions versions() const;

    /// A peer with the same state confirms that it was current at \p at.
    void confirmed(Time at);

    /// Whether this gateway should follow the platform itself, given the live peers.
    bool shouldWatch(const std::set<VmName> &peers) const;

    /// The age of the state from which this gateway verifies it, if it watches.
    Duration verifyAfter(const std::set<VmName> &peers) const
    {
        return m_watcherElection.verifyAfter(peers);
    }

    /// True while peers confirm a state no older than WatcherElection::Options::staleLimit.
    bool isConfirmed() const;

    /// Sets the number of gateways known by their heartbeats, this one included.
    void setLiveGateways(std::size_t count);
    std::size_t liveGateways() const { return m_liveGateways; }

    /// Expires held upstreams, quarantines, limits and backoffs. Call a few times a second.
    void tick();

    /// The configuration in force; null before the first.
    const RouteTablePtr &table() const { return m_table; }
    const UpstreamDirectory &directory() const { return m_directory; }
    const Evacuations &evacuations() const { return m_evacuations; }
    UpstreamTable &upstreams() { return m_upstreams; }
    PlacementGroups &groups() { return m_groups; }
    const VmName &vm() const { return m_options.vm; }
    const ZoneName &zone() const { return m_options.zone; }
    const RegionByZone &regions() const { return m_options.regions; }
    RetryShare &retries() { return m_retries; }
    CrashTracker &crashes() { return m_crashes; }
    StreamBindings &streams() { return m_streams; }
    const GatewayRoster &roster() const { return m_roster; }
    std::uint64_t configVersion() const { return m_table ? m_table->version() : 0; }

    /// True if all configurations that must be in force are known here.
    bool hasRecentConfig() const
    {
        return m_currentAt && now() <= *m_currentAt + m_options.configBound;
    }

    /// True if all changes until \p at are known here.
    bool wasCurrentAt(Time at) const { return m_currentAt && at <= *m_currentAt; }

    /// Age from which a gateway counts as out of touch.
    Duration staleLimit() const { return m_options.watcherElection.staleLimit; }

    /// The services of a route now and, as far as former configurations are known, within the time
    /// in which streams may be resumed.
    std::set<ServiceName> recentServices(const std::string &route) const;

    /// True if no copy of a binding that other gateways sent since \p at can have been missed while
    /// this one was out of touch.
    bool wasInTouchSince(Time at) const
    {
        const std::optional<Time> since = m_directory.observedSince();
        return since && *since <= at && wasCurrentAt(now() - staleLimit());
    }

    /// What to notify when the state was verified.
    VerificationWaiters &verificationWaiters() { return m_verificationWaiters; }

    /// Another gateway uses upstreams of this version, which may be unknown here.
    void versionReported(const ServiceName &service, const SoftwareVersion &version)
    {
        m_directory.versionSeen(service, version, now());
    }

    /// Former configurations kept to compute deltas from. In a burst of changes there are several a
    /// second; peers that are further behind are rare and get the whole configuration.
    static constexpr std::size_t maxFormerTables = 8;

    /// Sets the source of the fleet's time of day; until then this VM's is used.
    void setTimeOfDay(std::function<UnixMillis()> callback) { m_timeOfDay = std::move(callback); }

    /// True when calls can be served: a configuration and an upstream are known and, with
    /// Options::followsEvacuations, the evacuated zones as well.
    bool isReady() const;

    /// Sets the callback for state that peers must receive at once: it has changed, or is current
    /// again after it was older than half of WatcherElection::Options::staleLimit.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    /// Sets the callback for the ids of upstreams that no longer take work.
    void onUpstreamsWithdrawn(std::function<void(const std::vector<UpstreamId> &)> callback)
    {
        m_onUpstreamsWithdrawn = std::move(callback);
    }

private:
    /// A configuration that was in force, to compute deltas from.
    struct FormerTable
    {
        RouteTablePtr table;
        Time replacedAt;
    };

    static Time now() { return RuntimeClock::now(); }
    void handleChange(const UpstreamDirectory::UsableChanges &changed, std::string_view source);
    void applyConfig(RoutingConfig config, std::string_view source);
    void setCurrentAt(Time at);
    void applyEvacuations(std::string_view source);

    Options m_options;
    RouteTablePtr m_table;
    std::deque<FormerTable> m_formerTables; ///< oldest first
    UpstreamDirectory m_directory;
    Evacuations m_evacuations;
    UpstreamTable m_upstreams;
    PlacementGroups m_groups;
    RetryShare m_retries;
    CrashTracker m_crashes;
    StreamBindings m_streams;
    GatewayRoster m_roster;
    std::size_t m_liveGateways = 1;
    std::optional<Time> m_currentAt;
    Time m_verificationHandledAt{}; ///< when m_currentAt was last set
    VerificationWaiters m_verificationWaiters;
    WatcherElection m_watcherElection;
    std::function<void(const std::vector<UpstreamId> &)> m_onUpstreamsWithdrawn;
    std::function<void()> m_onChange;
    std::function<void()> m_onQuarantineStarted;
    std::function<UnixMillis()> m_timeOfDay = vmTimeOfDay;
};

} // namespace reachlead
