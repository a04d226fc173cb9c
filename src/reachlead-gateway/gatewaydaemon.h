// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The gateway process: one thread for all traffic, one that writes the log.

#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <reachlead/http.h>
#include <reachlead/rosterpublisher.h>

#include "forward/crashdetector.h"
#include "forward/forwarder.h"
#include "gatewaysettings.h"
#include "peer/crashlink.h"
#include "peer/gatewaypeers.h"
#include "peer/placementlink.h"
#include "peer/usagelink.h"

namespace reachlead {

/// Owns all parts. Processor time is dear on entry VMs, so callers, upstreams, peers and the
/// platform share one thread: a call crosses no ring and wakes no other thread.
class GatewayDaemon
{
public:
    using SourceFactory =
        std::function<std::unique_ptr<FleetSource>(boost::asio::io_context &, Counters *)>;
    using UsagePlatformFactory =
        std::function<std::unique_ptr<UsagePlatform>(boost::asio::io_context &)>;
    using Reload = std::function<std::optional<GatewaySettings>()>;

    GatewayDaemon(const GatewaySettings &settings, const HeaderCodec &headerCodec,
                  const SourceFactory &source, const UsagePlatformFactory &usagePlatform,
                  Reload reload);

    /// Serves until it is told to stop, and then until all work has ended.
    void run();

private:
    boost::asio::awaitable<void> signalLoop();
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> stopOrderly();
    void followPlatform();
    boost::asio::awaitable<HttpResponse> answerReady(HttpRequest ask);
    boost::asio::awaitable<HttpResponse> answerOperator(HttpRequest ask);
    void applyReload();

    GatewaySettings m_settings;
    const HeaderCodec &m_headerCodec;
    boost::asio::io_context m_io{1};
    boost::asio::signal_set m_signals;
    Counters m_counters;
    LatencyHistograms m_latencies;
    GatewayState m_state;
    ForwardContext m_shared;
    Forwarder m_forwarder;
    GatewayPeers m_peers;
    CrashLink m_crashes;
    CrashDetector m_crashWatch;
    PlacementLink m_placement;
    UsageLink m_usage;
    HttpServer m_ready;
    HttpServer m_operators;
    std::unique_ptr<FleetSource> m_source;
    Reload m_reload;
    RosterPublisher m_roster;
    bool m_lastReady = false;
};

} // namespace reachlead
