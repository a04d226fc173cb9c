// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Forwards callers' requests to upstreams that are called directly.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <reachlead/calldurations.h>
#include <reachlead/counters.h>
#include <reachlead/crashtracker.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/latency.h>
#include <reachlead/placement/upstreamselector.h>
#include <reachlead/scheduling/rankoutcomes.h>
#include <reachlead/streamregistry.h>
#include <reachlead/streams/backupledger.h>
#include <reachlead/streams/backuppolicy.h>

#include "caller/callerstream.h"
#include "caller/pressure.h"
#include "upstream/upstreamchannel.h"

namespace reachlead {

class CrashDetector;
class ForwardCall;

/// Objects shared by all calls of a gateway. Not thread-safe.
struct ForwardContext
{
    boost::asio::io_context &io;
    GatewayState &state;
    const HeaderCodec &headerCodec;
    Counters &counters;
    LatencyHistograms &latencies;
    ConnectionPool pool;
    std::mt19937_64 random{std::random_device{}()};
    /// Calls in progress. Shared with each of them, as the last ones are destroyed with the event
    /// loop.
    std::shared_ptr<std::set<ForwardCall *>> activeCalls =
        std::make_shared<std::set<ForwardCall *>>();
    UpstreamSelector *selector = nullptr; ///< null: GatewayState::upstreams() selects
    StreamRegistry *streams = nullptr; ///< null: only GatewayState::streams() is used
    CrashDetector *crashDetector =
        nullptr; ///< receives calls that lost their upstream; may be null
    /// Called for a request that completed although an upstream had crashed while running it; may
    /// be empty.
    std::function<void(const ContentDigest &)> onRequestCleared = {};
    /// Called when an answer begins on parts of a prompt about which there is evidence of crashes;
    /// may be empty.
    std::function<void(const PromptContents &)> onPartsBegan = {};
    /// Called when an upstream starts execution of a call of an account; may be empty.
    std::function<void(const AccountName &)> onExecutionStarted = {};
    /// Bounds the bytes held for callers and upstreams; null: each connection bounds its own only.
    std::shared_ptr<Pressure> pressure = nullptr;
    BackupSettings backupSettings{};
    BackupLedger backups{};
    RankOutcomes rankOutcomes{};
    CallDurations callDurations{};
    bool stopping = false;
    std::optional<Time> endsAt = std::nullopt; ///< when a stop ends the calls left; set with it
    bool acceptsRequests = true; ///< if false, new requests are refused as not run
};

/// Accepts callers' connections and serves their requests. Not thread-safe.
class Forwarder
{
public:
    struct Options
    {
        Endpoint listen;
        /// From callers. For each further one, the one that has been open longest to no use is
        /// closed; if all have a request in progress, the new one is.
        std::size_t maxConnections = 3000;
        /// What the kernel receives on a connection before it is read; 0: as the kernel decides.
        int receiveBufferBytes = 0;
    };

    Forwarder(const Options &options, ForwardContext &context);

    /// Starts a graceful stop: answers announce that the connection will be closed, and calls in
    /// progress continue. The caller of this function ends the calls that are left at \p endsAt.
    void beginStop(Time endsAt);
    /// Stops accepting connections and requests, and closes idle connections.
    void closeIdle();

    /// Ends the remaining calls: with an error answer if the answer has not started yet, otherwise
    /// by closing the connection.
    void terminateCalls();

    /// Cancels calls that are quarantined by now and wait for their answers to begin.
    void cancelQuarantined();

    /// Closes the remaining connections.
    void abortAll();

    std::size_t openConnections() const { return m_connections.size(); }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void listen();
    boost::asio::awaitable<void> acceptLoop();
    bool makeRoomForConnection();
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerStream> caller);
    boost::asio::awaitable<bool> serveOne(CallerStream &caller);
    const CallerLimits &limits() const;
    RequestRoom requestRoom() const;
    void boundSocket(boost::asio::ip::tcp::socket &socket) const;

    Options m_options;
    ForwardContext &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerStream>> m_connections; ///< with those that are yielding
};

} // namespace reachlead
