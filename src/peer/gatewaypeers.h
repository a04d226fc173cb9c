// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The gateway's side of the talk between gateways.

#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <reachlead/gatewaystate.h>

#include "peer/gatewaymessages.h"

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
        /// Between beats. A change reaches a gateway that is cut off from the registry within two
        /// of them and a fetch; a load told is this old at most.
        Duration beatInterval = milliseconds(400);
    };

    GatewayPeers(boost::asio::io_context &io, Options options, GatewayState &state);

    /// Ends all sending and listening.
    void stop();

    /// Replaces the seeds, as after a change of the settings.
    void setSeeds(std::vector<Endpoint> seeds) { m_options.seeds = std::move(seeds); }

    /// Gateways that were heard within peerLimit, without this one.
    std::size_t heard() const;

    /// Silence after which a gateway counts as gone.
    static constexpr Duration peerLimit = milliseconds(2500);
    /// A gateway that is in contact with the registry hears of a change by itself; it asks a peer
    /// only when it is still behind after this long.
    static constexpr Duration patienceInContact = milliseconds(300);

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Peer
    {
        GatewayEntry entry;
        Time heard;
    };

    boost::asio::awaitable<void> beatLoop();
    boost::asio::awaitable<void> hearLoop();
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> answerNews(Socket socket);
    boost::asio::awaitable<void> fetchNews(GatewayEntry peer);
    void sendBeats();
    void take(const GatewayBeat &beat);
    bool isBehind(const GatewayBeat &beat) const;
    GatewayNews newsFor(const NewsAsk &ask) const;

    boost::asio::io_context &m_io;
    Options m_options;
    GatewayState &m_state;
    Incarnation m_incarnation;
    boost::asio::ip::udp::socket m_udp;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<VmName, Peer> m_peers;
    std::optional<Time> m_behindSince;
    bool m_fetching = false;
    bool m_stopped = false;
};

} // namespace reachlead
