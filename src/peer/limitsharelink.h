// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Exchange of limit shares between gateways.

#pragma once

#include <cstddef>
#include <map>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <reachlead/counters.h>
#include <reachlead/gatewaystate.h>

#include "peer/gatewaypeers.h"

namespace reachlead {

/// Asks other gateways for the shares of limits that their calls don't need, and answers them.
/// Sends nothing while no upstream is limited, or the own shares suffice. Not thread-safe.
class LimitShareLink
{
public:
    LimitShareLink(boost::asio::io_context &io, GatewayState &state, GatewayPeers &peers,
                   Counters *counters);

    void stop() { m_stopped = true; }

    /// Interval of requests, and their maximum number in one: in large fleets the requests take
    /// some KB/s until all others were asked, which heartbeats leave of the bytes for control
    /// traffic.
    static constexpr Duration interval = milliseconds(100);
    static constexpr std::size_t maxRequests = 8;
    /// Minimum time between two log lines on the shares of an upstream.
    static constexpr Duration logInterval = seconds(1);

private:
    using UdpEndpoint = boost::asio::ip::udp::endpoint;

    boost::asio::awaitable<void> requestLoop();
    void sendRequests(Time now);
    void handleRequest(std::string_view message, const UdpEndpoint &from);
    void handleGrant(std::string_view message);
    void logShares(const UpstreamId &id, Time now);
    void count(Counter counter);

    boost::asio::io_context &m_io;
    GatewayState &m_state;
    GatewayPeers &m_peers;
    Counters *m_counters; ///< may be null
    std::map<UpstreamId, Time> m_loggedAt;
    bool m_stopped = false;
};

} // namespace reachlead
