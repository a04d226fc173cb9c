// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A gateway's exchange of heartbeats and state with the other gateways.

#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <reachlead/counters.h>
#include <reachlead/fleetkeys.h>
#include <reachlead/fleettime.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/peerlag.h>
#include <reachlead/senderclock.h>
#include <reachlead/usagetable.h>

#include "peer/gatewaymessages.h"
#include "peer/heartbeatbudget.h"
#include "peer/messageauth.h"
#include "peer/peerinbox.h"

namespace reachlead {

/// Sends heartbeats to all known gateways and fetches the configuration and the registry from one
/// that is ahead, so that a gateway that the platform refuses follows the others. Not thread-safe.
class GatewayPeers
{
public:
    struct Options
    {
        GatewayEntry self;
        std::vector<Endpoint> seeds; ///< peer addresses to try before any gateway is known
        HeartbeatBudget heartbeats;
        FleetKeys keys; ///< that authenticate gateways; none: every message is accepted
        Counters *counters = nullptr; ///< must outlive the peers; may be null
    };

    GatewayPeers(boost::asio::io_context &io, Options options, GatewayState &state);

    /// Stops sending and listening.
    void stop();

    /// This gateway, with the port that it listens on.
    const GatewayEntry &self() const { return m_options.self; }
    std::uint16_t port() const { return m_options.self.address.port; }

    /// Replaces the seeds, e.g. after the settings were reloaded.
    void setSeeds(std::vector<Endpoint> seeds)
    {
        m_options.seeds = std::move(seeds);
        m_otherGatewaysAt.reset();
    }

    /// Replaces the keys, e.g. after the settings were reloaded.
    void setKeys(FleetKeys keys) { m_options.keys = std::move(keys); }

    /// Gateways known to be alive within peerTimeout, without this one.
    std::set<VmName> livePeers() const;

    /// The live gateways with their entries, including this one.
    std::map<VmName, GatewayEntry> liveGateways() const;

    /// Sends a heartbeat immediately because the state changed.
    void announce();

    /// The incarnation of this gateway.
    Incarnation incarnation() const { return m_incarnation; }
    bool isStopped() const { return m_stopped; }

    /// All gateways that are in the registry or were seen, including this one.
    std::map<VmName, GatewayEntry> fleet() const;

    /// Sends an authenticated datagram; it is lost if it cannot be sent immediately.
    void sendTo(const Endpoint &to, PeerMessageKind kind, std::string payload);
    void sendTo(const boost::asio::ip::udp::endpoint &to, PeerMessageKind kind,
                std::string payload);

    /// Called for each authenticated datagram of one of the registered kinds.
    using DatagramHandler = std::function<void(PeerMessageKind, std::string_view,
                                               const boost::asio::ip::udp::endpoint &)>;
    void onDatagram(std::initializer_list<PeerMessageKind> kinds, const DatagramHandler &callback);

    /// Incarnations of the other gateways that a message was received from within \p window.
    std::set<GatewayIncarnation> recentIncarnations(Duration window) const;

    /// Limits that changed recently, optionally only those of \p upstreams; a random sample of
    /// maxReportedLimits if there are more.
    std::vector<CompactLimit> limitsToReport(Time now,
                                             const std::set<UpstreamId> *upstreams = nullptr);

    /// Upstreams that recently announced that they are leaving, optionally only those
    /// of \p service; a random sample of maxReportedLeaving if there are more.
    std::vector<UpstreamId> leavingToReport(Time now, const ServiceName *service = nullptr);

    /// The time of day by the clocks of all gateways whose heartbeats were received.
    UnixMillis timeOfDay() const { return m_time.at(RuntimeClock::now()); }

    /// Sets the source of ReportedLoad::oldestPendingQuery for heartbeats.
    void setOldestPendingQuery(std::function<QueryId()> callback)
    {
        m_oldestPendingQuery = std::move(callback);
    }

    /// Sets the callback for the quarantineChecksum of each heartbeat and the sender's address.
    void onQuarantineChecksum(std::function<void(std::uint64_t, const Endpoint &)> callback)
    {
        m_onQuarantineChecksum = std::move(callback);
    }

    /// What was read since the last call.
    struct ReadStats
    {
        std::size_t largestBatch = 0; ///< datagrams that had arrived before they were read
        Duration longestDelay{}; ///< of a heartbeat, until it was read
    };
    ReadStats takeReadStats() { return std::exchange(m_readStats, {}); }

    /// Next sequence number of the messages with this gateway's load.
    std::uint64_t nextSequence() { return ++m_sequence; }

    /// Returns false for a message that is replayed or older than the last one of the same
    /// incarnation.
    bool acceptSequence(const VmName &from, Incarnation incarnation, std::uint64_t sequence);

    /// Time since the last sign of life after which a gateway is considered lost. In a fleet of
    /// several hundred gateways a heartbeat reaches each of them about every 10 s; on a small site
    /// every heartbeat reaches all.
    static constexpr Duration peerTimeout = seconds(10);

    /// One of this many heartbeats contains a sample of gateways, which makes up half of its bytes.
    static constexpr std::uint64_t heartbeatsPerSample = 4;

    /// If it takes more heartbeats than this to reach each of the other gateways, heartbeats also
    /// report live gateways: a longer round exceeds peerTimeout, so that live gateways would be
    /// considered lost.
    static constexpr std::size_t maxHeartbeatsPerRound = 4;

    /// A gateway that has sent no more messages than this has just started. It takes calls as soon
    /// as it has read the registry, so it gets a heartbeat at once: upstreams that announced their
    /// leaving in answers only are not known otherwise.
    static constexpr std::uint64_t maxStartSequence = 16;

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Peer
    {
        GatewayEntry entry;
        Time lastSeen; ///< last sign of life, direct or reported by a peer
        Time lastReceived; ///< last message that this gateway received
        Incarnation incarnation;
        std::uint64_t sequence = 0; ///< of the last accepted message
        SenderClock clock{}; ///< of the incarnation
    };

    /// A heartbeat, and the time at which the sender's state was current.
    struct HeardHeartbeat
    {
        GatewayHeartbeat heartbeat;
        std::optional<Time> currentAt;
    };

    /// A datagram of a batch, after its authentication.
    struct VerifiedDatagram
    {
        const PeerDatagram *datagram = nullptr;
        PeerMessageKind kind = PeerMessageKind::Heartbeat;
        std::string_view message;
    };

    boost::asio::awaitable<void> heartbeatLoop();
    boost::asio::awaitable<void> receiveLoop();
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serveStateQuery(Socket socket);
    boost::asio::awaitable<void> fetchState(HeardHeartbeat heard);
    boost::asio::awaitable<void> fetchAfterDelay(HeardHeartbeat heard);
    void fetchIfBehind(const HeardHeartbeat &heard);
    void reportLag();
    ReportedVersions ownVersions() const;
    void confirmState(const HeardHeartbeat &heard);
    void sendHeartbeats();
    void send(const std::string &bytes, const boost::asio::ip::udp::endpoint &to);
    void count(Counter counter, std::uint64_t n = 1);
    const std::vector<Endpoint> &otherGateways();
    std::vector<boost::asio::ip::udp::endpoint> nextTargets(std::size_t bytes);
    GatewayHeartbeat makeHeartbeat();
    void addSample(const std::vector<GatewayEntry> &sample, Time now);
    std::vector<CompactLiveGateway> liveGatewaysToReport(Time now);
    void updateHashIndex();
    void applyLiveGateways(const std::vector<CompactLiveGateway> &gateways, Time now);
    void handleHeartbeat(const GatewayHeartbeat &heartbeat, const ArrivalBounds &arrival);
    Time recordPeer(const GatewayHeartbeat &heartbeat, const ArrivalBounds &arrival);
    bool isStale(const VmName &from, Incarnation incarnation, std::uint64_t sequence) const;
    std::optional<VerifiedDatagram> verify(const PeerDatagram &datagram);
    void handleBatch(const std::vector<PeerDatagram> &batch);
    void handleDatagram(const VerifiedDatagram &verified);
    void rejectUnauthenticated(std::string_view what, const std::string &from);

    boost::asio::io_context &m_io;
    Options m_options;
    GatewayState &m_state;
    Incarnation m_incarnation;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::udp::socket
        m_udpSocket; ///< on the acceptor's port, even if the kernel chose it
    PeerInbox m_inbox{m_udpSocket};
    ReadStats m_readStats;
    std::map<VmName, Peer> m_peers;
    std::vector<Endpoint> m_otherGateways; ///< cache of otherGateways()
    std::optional<Time> m_otherGatewaysAt;
    /// Number of peers and roster revision that m_otherGateways was made from.
    std::pair<std::size_t, StoreRevision> m_otherGatewaysVersion;
    /// Peers and the gateways of the roster, by vmHash().
    std::unordered_map<std::uint32_t, GatewayEntry> m_gatewaysByHash;
    StoreRevision m_indexedRosterRevision; ///< that m_gatewaysByHash holds
    std::mt19937_64 m_random{std::random_device{}()};
    /// Position in the rotation over targets. Starts at random: all gateways have the others in the
    /// same order, so that those started together would all send to the same few gateways, and the
    /// rest would receive nothing for a round.
    std::size_t m_nextTarget = 0;
    std::size_t m_lastTargetCount = HeartbeatBudget::minTargets; ///< of the last heartbeat
    std::size_t m_lastHeartbeatBytes = 0; ///< size of the last heartbeat
    std::uint64_t m_sequence = 0; ///< of the last message with this gateway's load
    std::uint64_t m_heartbeatCount = 0; ///< heartbeats made
    Time m_announcedAt{};
    PeerLag m_lag;
    bool m_isFetchScheduled = false;
    std::map<PeerMessageKind, DatagramHandler> m_datagramHandlers;
    FleetTime m_time;
    std::function<QueryId()> m_oldestPendingQuery;
    std::function<void(std::uint64_t, const Endpoint &)> m_onQuarantineChecksum;
    bool m_fetching = false;
    bool m_stopped = false;
};

} // namespace reachlead
