// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Placement of calls by one gateway for each group of upstreams: queries, replies and load
/// reports.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include <boost/asio/io_context.hpp>

#include <reachlead/counters.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/placement/pendingqueries.h>
#include <reachlead/placement/refusalorder.h>
#include <reachlead/placement/upstreamselector.h>

#include "peer/gatewaypeers.h"
#include "peer/placementmessages.h"

namespace reachlead {

/// Queries the scheduler of a call's group for an upstream, replies to such queries of other
/// gateways, and reports the load of this gateway's calls to the schedulers. Without a reply in
/// time the gateway selects by its own knowledge. Not thread-safe.
class PlacementLink : public UpstreamSelector
{
public:
    struct Options
    {
        bool isEnabled = true; ///< if false, each gateway places its own calls
        bool schedulesPlainCalls = false; ///< also schedule calls without a prompt
        /// Time limit for a reply. Covers a few round trips between availability zones (1 to 3 ms
        /// each) and the scheduling delay of a busy process on a tenth of a core, and is well below
        /// the lowest target for a first event (600 ms).
        Duration replyTimeout = milliseconds(60);
        /// Interval of checks whether a changed load must be reported. The prefill of a prompt
        /// takes longer, so little changes in between.
        Duration reportInterval = milliseconds(100);
        EarlyRefusal refusal; ///< of calls whose engines' queues are too long
        /// Time after the refusal of a call during which less urgent calls are refused too.
        Duration lessUrgentHold = RefusalOrder::defaultHold;
        Counters *counters = nullptr; ///< must outlive the link; may be null
    };

    /// Interval at which an unchanged load is reported again, as reports may be lost. A reported
    /// load expires after UpstreamTable::peerLoadLifetime.
    static constexpr Duration refreshInterval = seconds(1);

    PlacementLink(boost::asio::io_context &io, const Options &options, GatewayState &state,
                  GatewayPeers &peers);

    boost::asio::awaitable<PlacementResult> select(SelectionQuery query) override;

    /// Declines queries from now on, as the process is about to exit.
    void beginStop() { m_stopping = true; }

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;

    /// A call that waits for a reply. Lives in the call's coroutine frame.
    struct Waiter
    {
        explicit Waiter(boost::asio::io_context &io) : timer(io) { }

        Timer timer;
        std::optional<PlacementReply> reply;
    };
    using Waiters = std::map<QueryId, Waiter *>;

    /// The load last reported to a scheduler, plus the calls that it has placed since then.
    struct LastReport
    {
        LoadByUpstream load;
        Time at{};
    };
    using LoadByGroup = std::map<GroupName, LoadByUpstream>;

    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<std::optional<PlacementResult>>
    queryScheduler(VmName scheduler, GroupName group, SelectionQuery query);
    PlacementResult selectLocally(SelectionQuery query, const std::optional<GroupName> &group);
    PlacementResult selectOrRefuse(const SelectionQuery &query);
    std::optional<Selection> toSelection(const PlacedCall &placed,
                                         const SelectionQuery &query) const;
    std::vector<UpstreamId> backedOffUpstreams(const GroupName &group);
    PlacementQuery makeQuery(QueryId id, const GroupName &group, const VmName &scheduler,
                             const SelectionQuery &selectionQuery);
    GroupLoad makeReport(const GroupName &group, const LoadByUpstream &load,
                         const VmName &scheduler);
    std::vector<CompactWorkSample> workSamplesToReport(const GroupName &group,
                                                       const VmName &scheduler);
    void logSpeedChanges();
    LoadByGroup ownLoads();
    void sendReports();
    void handleDatagram(PeerMessageKind kind, std::string_view message, const UdpEndpoint &from);
    void handleQuery(const PlacementQuery &query, const UdpEndpoint &from);
    void handleReply(PlacementReply reply);
    void applyReport(const GroupLoad &report);
    void refreshFleet();
    void sendTo(const VmName &vm, PeerMessageKind kind, const std::string &payload);
    VmName schedulerFor(const GroupName &group);
    bool ownsGroupLimits(const GroupName &group);
    std::optional<GroupName> schedulingGroup(const SelectionQuery &query);
    void count(Counter c);

    boost::asio::io_context &m_io;
    Options m_options;
    GatewayState &m_state;
    GatewayPeers &m_peers;
    PendingQueries m_queries;
    std::shared_ptr<Waiters> m_waiters = std::make_shared<Waiters>();
    std::map<GroupName, LastReport> m_lastReports;
    std::map<GroupName, VmName> m_speedReceivers; ///< schedulers that got the observed speeds
    std::map<VmName, GatewayEntry> m_fleet; ///< as of m_fleetReadAt
    std::set<VmName> m_names; ///< of the gateways in m_fleet
    std::set<VmName> m_strong; ///< of these, the ones that act as schedulers
    std::set<VmName> m_limitOwners; ///< of these, the live ones; if none is live, all live gateways
    const Time m_startedAt = RuntimeClock::now();
    RefusalOrder m_refusals{m_options.lessUrgentHold};
    std::optional<Time> m_fleetReadAt;
    std::mt19937_64 m_random{std::random_device{}()};
    bool m_stopping = false;
};

} // namespace reachlead
