// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The gateway's side of the talk between gateways.

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
#include <reachlead/usagetable.h>

#include "peer/gatewaymessages.h"
#include "peer/heartbeatbudget.h"
#include "peer/messageauth.h"

namespace reachlead {

/// Sends beats to all gateways that are known, and fetches the configuration and the registry from
/// one that is ahead: so a gateway that the platform turns away follows the others. One thread.
class GatewayPeers
{
public:
    struct Options
    {
        GatewayEntry self;
        std::vector<Endpoint> seeds; ///< peer addresses to try before any gateway is known
        HeartbeatBudget heartbeats;
        FleetKeys keys; ///< by which gateways know each other; none: nothing is checked
        Counters *counters = nullptr; ///< must outlive the peers; null: nothing is counted
    };

    GatewayPeers(boost::asio::io_context &io, Options options, GatewayState &state);

    /// Ends all sending and listening.
    void stop();

    /// This gateway, with the port that it listens at.
    const GatewayEntry &self() const { return m_options.self; }
    std::uint16_t port() const { return m_options.self.address.port; }

    /// Replaces the seeds, as after a change of the settings.
    void setSeeds(std::vector<Endpoint> seeds)
    {
        m_options.seeds = std::move(seeds);
        m_othersAt.reset();
    }

    /// Replaces the keys, as after a change of the settings.
    void setKeys(FleetKeys keys) { m_options.keys = std::move(keys); }

    /// Gateways that were heard within peerTimeout, without this one.
    std::set<VmName> livePeers() const;

    /// The same with their entries, and this one.
    std::map<VmName, GatewayEntry> liveGateways() const;

    /// Sends a beat at once: the state changed.
    void announce();

    /// This life of the gateway.
    Incarnation incarnation() const { return m_incarnation; }
    bool isStopped() const { return m_stopped; }

    /// All gateways that the registry names or that were heard, this one included.
    std::map<VmName, GatewayEntry> fleet() const;

    /// Sends a datagram with its proof; one that cannot leave now is lost.
    void sendTo(const Endpoint &to, PeerMessageKind kind, std::string payload);
    void sendTo(const boost::asio::ip::udp::endpoint &to, PeerMessageKind kind,
                std::string payload);

    /// Called with each datagram of this fleet that has one of these kinds.
    using DatagramHandler = std::function<void(PeerMessageKind, std::string_view,
                                               const boost::asio::ip::udp::endpoint &)>;
    void onDatagram(std::initializer_list<PeerMessageKind> kinds, const DatagramHandler &callback);

    /// The lives of other gateways that were heard in the last \p span.
    std::set<GatewayIncarnation> recentIncarnations(Duration span) const;

    /// Limits that were heard lately, some where there are many; \p of: of these upstreams alone.
    std::vector<CompactLimit> limitsToReport(Time now, const std::set<UpstreamId> *of = nullptr);

    /// Upstreams that said lately that they leave, some where there are many; \p of: of this
    /// service alone.
    std::vector<UpstreamId> leavingToReport(Time now, const ServiceName *of = nullptr);

    /// The time of day by the clocks of all gateways that were heard.
    UnixMillis timeOfDay() const { return m_time.at(RuntimeClock::now()); }

    /// Asked for ReportedLoad::oldestPendingQuery of the next beat.
    void setOldestPendingQuery(std::function<QueryId()> callback)
    {
        m_openAsks = std::move(callback);
    }

    /// Called with the quarantineChecksum of each beat and where its sender listens.
    void onQuarantineChecksum(std::function<void(std::uint64_t, const Endpoint &)> callback)
    {
        m_onMark = std::move(callback);
    }

    /// Numbers what this life of the gateway sends of its load.
    std::uint64_t nextSequence() { return ++m_sequence; }

    /// False for what a later word of the same life overtook, and for what is played again.
    bool acceptSequence(const VmName &from, Incarnation incarnation, std::uint64_t sequence);

    /// Silence after which a gateway counts as gone: a beat reaches each of some hundred gateways
    /// about every ten seconds, and of the few on a small site each time.
    static constexpr Duration peerTimeout = seconds(10);

    /// One beat in so many names other gateways: they are half of a beat's bytes.
    static constexpr std::uint64_t heartbeatsPerSample = 4;

    /// Beats until each of the others got one, beyond which a beat tells who lives: a longer one
    /// lasts longer than peerTimeout, so that gateways that live would count as lost.
    static constexpr std::size_t maxHeartbeatsPerRound = 4;

    /// A gateway that is in contact with the registry hears of a change by itself; it asks a peer
    /// only when it is still behind after this long.
    static constexpr Duration peerFetchDelay = milliseconds(300);

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Peer
    {
        GatewayEntry entry;
        Time heard; ///< by this gateway or by one that told of it
        Time heardDirectly;
        Incarnation incarnation;
        std::uint64_t sequence = 0; ///< of the last beat that was taken
    };

    boost::asio::awaitable<void> beatLoop();
    boost::asio::awaitable<void> hearLoop();
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> answerNews(Socket socket);
    boost::asio::awaitable<void> fetchNews(GatewayHeartbeat beat);
    void takeVouch(const GatewayHeartbeat &beat, Time heardAt);
    void sendBeats();
    const std::vector<Endpoint> &others();
    std::vector<boost::asio::ip::udp::endpoint> nextTargets(std::size_t bytes);
    GatewayHeartbeat makeBeat();
    void takeSample(const std::vector<GatewayEntry> &sample, Time now);
    std::vector<CompactLiveGateway> livesToTell(Time now);
    void tagRegistered();
    void takeLives(const std::vector<CompactLiveGateway> &lives, Time now);
    void take(const GatewayHeartbeat &beat);
    bool isBehind(const GatewayHeartbeat &beat) const;
    bool isOld(const VmName &from, Incarnation incarnation, std::uint64_t sequence) const;
    void takeDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint &from);
    void refuseStranger(std::string_view what, const std::string &from);

    boost::asio::io_context &m_io;
    Options m_options;
    GatewayState &m_state;
    Incarnation m_incarnation;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::udp::socket m_udp; ///< at the acceptor's port, also when the kernel chose it
    std::map<VmName, Peer> m_peers;
    std::vector<Endpoint> m_others; ///< as others() made it last
    std::optional<Time> m_othersAt;
    std::pair<std::size_t, std::uint64_t>
        m_othersOf; ///< peers and revision of the roster that it was made of
    std::unordered_map<std::uint32_t, GatewayEntry> m_byTag; ///< peers, and those in the roster
    std::uint64_t m_taggedAt = 0; ///< revision of the roster that m_byTag holds
    std::mt19937_64 m_random{std::random_device{}()};
    /// Of the rotation over targets. All gateways know the others in the same order, so those that
    /// start together would all tell the same few, and leave the rest without a word for a round.
    std::size_t m_turn = 0;
    std::size_t m_lastTargets =
        HeartbeatBudget::minTargets; ///< gateways that the last beat went to
    std::size_t m_lastBytes = 0; ///< of the last beat, to one of them
    std::uint64_t m_sequence = 0; ///< of the last word of its load that was sent
    std::uint64_t m_beats = 0; ///< that were made
    Time m_announcedAt{};
    std::optional<Time> m_behindSince;
    std::map<PeerMessageKind, DatagramHandler> m_takers;
    FleetTime m_time;
    std::function<QueryId()> m_openAsks;
    std::function<void(std::uint64_t, const Endpoint &)> m_onMark;
    bool m_fetching = false;
    bool m_stopped = false;
};

} // namespace reachlead
