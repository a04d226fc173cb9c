// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Placement of calls by one gateway for each group of upstreams: its questions, answers and
/// reports of load.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include <boost/asio/io_context.hpp>

#include <reachlead/counters.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/pendingqueries.h>
#include <reachlead/refusalorder.h>
#include <reachlead/upstreamselector.h>

#include "peer/gatewaypeers.h"
#include "peer/placementmessages.h"

namespace reachlead {

/// Asks the scheduler of a call's group where to place it, answers such questions of others, and
/// tells schedulers what this gateway's calls cause. Without an answer in time the gateway decides
/// by what it knows itself. One thread.
class PlacementLink : public UpstreamSelector
{
public:
    struct Options
    {
        bool isEnabled = true; ///< off: each gateway places its calls by itself
        bool schedulesPlainCalls = false; ///< also calls without a prompt
        /// Longest wait for an answer: some round trips between zones (1 to 3 ms each) and the turn
        /// of a busy process on a tenth of a core; well below the least target of a first event
        /// (600 ms).
        Duration replyTimeout = milliseconds(60);
        /// Between looks whether a scheduler is to be told of a changed load: a prompt takes
        /// longer than this to be read, so little changes in between.
        Duration reportInterval = milliseconds(100);
        EarlyRefusal refusal; ///< of calls whose engines are too far behind
        /// From the refusal of a call until less urgent ones are placed again.
        Duration lessUrgentHold = RefusalOrder::defaultHold;
        Counters *counters = nullptr; ///< must outlive the link; null: nothing is counted
    };

    /// An unchanged load is told again after this long, as reports may be lost; a load counts for
    /// UpstreamTable::peerLoadLifetime.
    static constexpr Duration refreshInterval = seconds(1);

    PlacementLink(boost::asio::io_context &io, const Options &options, GatewayState &state,
                  GatewayPeers &peers);

    boost::asio::awaitable<PlacementResult> select(SelectionQuery ask) override;

    /// Declines questions from now on, as the process is about to end.
    void beginStop() { m_stopping = true; }

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;

    /// A call that waits for an answer. Lives on the call's frame.
    struct Waiter
    {
        explicit Waiter(boost::asio::io_context &io) : timer(io) { }

        Timer timer;
        std::optional<PlacementReply> answer;
    };
    using Waiters = std::map<QueryId, Waiter *>;

    /// What a scheduler was last told, or believes by its own answers.
    struct Reported
    {
        LoadByUpstream load;
        Time at{};
    };
    using LoadByGroup = std::map<GroupName, LoadByUpstream>;

    boost::asio::awaitable<void> reportLoop();
    boost::asio::awaitable<std::optional<PlacementResult>>
    askScheduler(VmName scheduler, GroupName group, SelectionQuery ask);
    PlacementResult chooseHere(SelectionQuery ask, const std::optional<GroupName> &group);
    PlacementResult choosePatiently(const SelectionQuery &ask);
    std::optional<Selection> readPlaced(const PlacedCall &placed, const SelectionQuery &ask) const;
    std::vector<UpstreamId> backedOffIn(const GroupName &group);
    PlacementQuery makeAsk(QueryId number, const GroupName &group, const SelectionQuery &ask);
    GroupLoad makeReport(const GroupName &group, const LoadByUpstream &load);
    LoadByGroup ownLoads();
    void sendReports();
    void take(PeerMessageKind kind, std::string_view message, const UdpEndpoint &from);
    void takeAsk(const PlacementQuery &ask, const UdpEndpoint &from);
    void takeAnswer(PlacementReply answer);
    void takeReport(const GroupLoad &report);
    void refreshFleet();
    void sendTo(const VmName &vm, PeerMessageKind kind, const std::string &payload);
    VmName schedulerFor(const GroupName &group);
    bool ownsLimitsOf(const GroupName &group);
    std::optional<GroupName> groupOf(const SelectionQuery &ask);
    void count(Counter c);

    boost::asio::io_context &m_io;
    Options m_options;
    GatewayState &m_state;
    GatewayPeers &m_peers;
    PendingQueries m_asks;
    std::shared_ptr<Waiters> m_waiters = std::make_shared<Waiters>();
    std::map<GroupName, Reported> m_reported;
    std::map<VmName, GatewayEntry> m_fleet; ///< as of m_fleetAt
    std::set<VmName> m_names; ///< of the same
    std::set<VmName> m_strong; ///< of these, those that place for the others
    std::set<VmName> m_owners; ///< of these, those that live; all that live, if none does
    const Time m_began = RuntimeClock::now();
    RefusalOrder m_refusals{m_options.lessUrgentHold};
    std::optional<Time> m_fleetAt;
    std::mt19937_64 m_random{std::random_device{}()};
    bool m_stopping = false;
};

} // namespace reachlead
