// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The gateway process: one thread for all traffic, and one that writes the log.

#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <reachlead/http.h>
#include <reachlead/looplag.h>
#include <reachlead/rosterpublisher.h>

#include "forward/crashdetector.h"
#include "forward/forwarder.h"
#include "gatewaysettings.h"
#include "peer/crashlink.h"
#include "peer/gatewaypeers.h"
#include "peer/limitsharelink.h"
#include "peer/placementlink.h"
#include "peer/streamlink.h"
#include "peer/usagelink.h"

namespace reachlead {

/// Owns all components of the gateway. As processor time is scarce on entry VMs, one thread serves
/// callers, upstreams, peers and the platform: no call is passed through a ring buffer or wakes
/// another thread.
class GatewayDaemon
{
public:
    using SourceFactory =
        std::function<std::unique_ptr<FleetSource>(boost::asio::io_context &, Counters *)>;
    using UsagePlatformFactory =
        std::function<std::unique_ptr<UsagePlatform>(boost::asio::io_context &)>;
    using StreamArchiveFactory =
        std::function<std::unique_ptr<StreamArchive>(boost::asio::io_context &)>;
    using Reload = std::function<std::optional<GatewaySettings>()>;

    GatewayDaemon(const GatewaySettings &settings, const HeaderCodec &headerCodec,
                  const SourceFactory &source, const UsagePlatformFactory &usagePlatform,
                  const StreamArchiveFactory &streamArchive, Reload reload);

    /// Serves until a stop signal, and then until the calls in progress have ended or the time
    /// limit for the stop is reached.
    void run();

private:
    boost::asio::awaitable<void> signalLoop();
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> stopGracefully();
    void updateWatching();
    void reportLoad();
    boost::asio::awaitable<HttpResponse> handleReady(HttpRequest request);
    boost::asio::awaitable<HttpResponse> handleOperator(HttpRequest request);
    void applyReload();

    GatewaySettings m_settings;
    const HeaderCodec &m_headerCodec;
    boost::asio::io_context m_io{1};
    boost::asio::signal_set m_signals;
    Counters m_counters;
    LatencyHistograms m_latencies;
    GatewayState m_state;
    ForwardContext m_context;
    Forwarder m_forwarder;
    GatewayPeers m_peers;
    CrashLink m_crashLink;
    CrashDetector m_crashDetector;
    PlacementLink m_placementLink;
    StreamLink m_streamLink;
    LimitShareLink m_limitShareLink;
    UsageLink m_usageLink;
    HttpServer m_readyServer;
    HttpServer m_operatorServer;
    std::unique_ptr<FleetSource> m_source;
    std::unique_ptr<StreamArchive> m_streamArchive;
    Reload m_reload;
    RosterPublisher m_rosterPublisher;
    LoopLag m_lag;
    bool m_wasReady = false;
};

} // namespace reachlead
