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
#include "peer/placementqueue.h"

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
        /// Calls wait at the schedulers; the bounds above then do not apply to them.
        PlacementQueue::Options queue;
        Counters *counters = nullptr; ///< must outlive the link; may be null
    };

    /// Interval at which an unchanged load is reported again, as reports may be lost. A reported
    /// load expires after UpstreamTable::peerLoadLifetime.
    static constexpr Duration refreshInterval = seconds(1);
    /// Interval of reports on groups where calls wait, as upstreams with room must not be idle
    /// until the next regular one.
    static constexpr Duration busyReportInterval = milliseconds(20);
    /// Interval of notes on a waiting call, each of which the scheduler answers. A lost grant or a
    /// lost scheduler is noticed after two of them.
    static constexpr Duration noteInterval = milliseconds(200);
    /// Waiting for a scheduler is ended after this time without any reply.
    static constexpr Duration lostAfter = milliseconds(450);

    PlacementLink(boost::asio::io_context &io, const Options &options, GatewayState &state,
                  GatewayPeers &peers);

    boost::asio::awaitable<PlacementResult> select(SelectionQuery query) override;

    bool usesQueue() const override { return m_options.queue.isEnabled; }

    void recordUnserved(const ServiceName &service, unsigned urgencyRank) override;

    /// Declines queries from now on and hands back what waits, as the process is about to exit.
    void beginStop();

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;

    /// A call that waits for a reply. Lives in the call's coroutine frame.
    struct Waiter
    {
        Waiter(boost::asio::io_context &io, VmName at, ServiceName of)
            : timer(io), scheduler(std::move(at)), service(std::move(of))
        { }

        Timer timer;
        VmName scheduler;
        ServiceName service;
        std::optional<PlacementReply> reply;
        bool isQueued = false; ///< the scheduler replied that the call waits there
    };
    using Waiters = std::map<QueryId, Waiter *>;

    /// A call of this gateway that waits in its own queue. Lives in the call's coroutine frame.
    struct LocalWaiter
    {
        explicit LocalWaiter(boost::asio::io_context &io) : timer(io) { }

        Timer timer;
        std::optional<QueueOutcome> outcome;
    };
    using LocalWaiters = std::map<QueryId, LocalWaiter *>;

    /// A reply that ended the wait of another gateway's call, for the case that it is lost.
    struct SentReply
    {
        PlacementReply reply;
        Time at;
    };

    /// What became of a call at a scheduler.
    struct SchedulerResult
    {
        /// none: the call is to be placed elsewhere
        std::optional<PlacementResult> placed;
        bool wasQueried = false; ///< another gateway was
        bool isHandedBack = false; ///< it had waited there; another scheduler is to be queried
        Duration waited{}; ///< at schedulers
    };

    /// The load last reported to a scheduler, plus the calls that it has placed since then.
    struct LastReport
    {
        LoadByUpstream load;
        Time at{};
    };
    using LoadByGroup = std::map<GroupName, LoadByUpstream>;

    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<SchedulerResult> queryScheduler(VmName scheduler, GroupName group,
                                                           SelectionQuery query, Duration waited);
    boost::asio::awaitable<SchedulerResult> waitForGrant(Waiter &waiter, QueryId id,
                                                         GroupName group, SelectionQuery query);
    boost::asio::awaitable<SchedulerResult> placeByScheduler(SelectionQuery *query,
                                                             GroupName group);
    boost::asio::awaitable<SchedulerResult> waitLocally(SelectionQuery query, GroupName group,
                                                        Duration waited);
    std::optional<PlacementResult> acceptReply(const PlacementReply &reply, const GroupName &group,
                                               const SelectionQuery &query);
    bool mayWait(const SelectionQuery &query) const;
    QueueTerms makeQueueTerms(const SelectionQuery &query, Duration waited) const;
    static QueuedCall makeQueuedCall(const PlacementQuery &query, const SelectionQuery &selection);
    void queueEnded(const QueuedCall &call, const QueueOutcome &outcome);
    void handleQueuedQuery(const PlacementQuery &query, const SelectionQuery &selection,
                           const UdpEndpoint &from);
    void handleNote(const WaitingCallNote &note, const UdpEndpoint &from);
    PlacementReply makeWaitReply(const QueuedCall &call, Duration remaining) const;
    PlacementReply makeOutcomeReply(const QueuedCall &call, const QueueOutcome &outcome) const;
    void sendNote(const VmName &scheduler, const GroupName &group, QueryId id, bool isWithdrawn);
    void dropOldReplies(Time now);
    Duration nextReportDelay() const;
    PlacementResult selectLocally(SelectionQuery query, const std::optional<GroupName> &group);
    PlacementResult selectOrRefuse(const SelectionQuery &query);
    void setMaxWait(SelectionQuery *query) const;
    std::optional<Duration> refusalForWait(const SelectionQuery &query, Duration wait);
    bool refuseIfHeld(const SelectionQuery &query, PlacementResult *placed);
    void recordReply(const SelectionQuery &query, const PlacementResult &placed);
    std::optional<Selection> toSelection(const PlacedCall &placed,
                                         const SelectionQuery &query) const;
    std::vector<UpstreamId> backedOffUpstreams(const GroupName &group);
    PlacementQuery makeQuery(QueryId id, const GroupName &group, const VmName &scheduler,
                             const SelectionQuery &selectionQuery);
    static PlacedCall compactSelection(const Selection &selection);
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
    PlacementQueue m_queue;
    std::shared_ptr<LocalWaiters> m_localWaiters = std::make_shared<LocalWaiters>();
    QueryId m_lastLocalId = 0;
    std::map<WaitingCallId, SentReply> m_sentReplies; ///< of the last replyLifetime
    Time m_repliesDroppedAt{};
    std::map<GroupName, std::pair<VmName, QueryId>> m_lastGrants; ///< received, by group
    std::map<GroupName, Time> m_busyUntil; ///< groups at whose schedulers calls wait
    std::optional<Time> m_fleetReadAt;
    std::mt19937_64 m_random{std::random_device{}()};
    Time m_regularReportAt{}; ///< when all groups are reported next
    bool m_stopping = false;
};

} // namespace reachlead
