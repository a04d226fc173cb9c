// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Passes callers' requests on to upstreams that are called directly.

#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <reachlead/counters.h>
#include <reachlead/crashtracker.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/latency.h>
#include <reachlead/upstreamselector.h>

#include "caller/callerstream.h"
#include "upstream/upstreamchannel.h"

namespace reachlead {

class CrashDetector;
class ForwardCall;

/// What all calls of a gateway share. One thread.
struct ForwardContext
{
    boost::asio::io_context &io;
    GatewayState &state;
    const HeaderCodec &headerCodec;
    Counters &counters;
    LatencyHistograms &latencies;
    ConnectionPool pool;
    std::mt19937_64 random{std::random_device{}()};
    /// Calls at work. Held by each of them, as the last ones end with the event loop.
    std::shared_ptr<std::set<ForwardCall *>> activeCalls =
        std::make_shared<std::set<ForwardCall *>>();
    UpstreamSelector *selector = nullptr; ///< chooses upstreams; null: the state's own book
    CrashDetector *crashDetector =
        nullptr; ///< told of calls that lost their upstream; null: nobody is
    /// Told of a request that completed although an upstream had ended under it; may be empty.
    std::function<void(const RequestDigest &)> onRequestCleared = {};
    /// Told when an upstream began to work on a call of an account; may be empty.
    std::function<void(const AccountName &)> onExecutionStarted = {};
    bool stopping = false;
    bool acceptsRequests = true; ///< what is read after that is refused as not run
};

/// Accepts callers and serves each connection. One thread.
class Forwarder
{
public:
    struct Options
    {
        Endpoint listen;
        std::size_t maxConnections = 3000; ///< open callers' connections
    };

    Forwarder(const Options &options, ForwardContext &shared);

    /// Begins a planned stop: answers say that the connection ends, idle connections are closed
    /// when \p closeIdle is called, nothing at work is cut.
    void beginStop();
    void closeIdle();

    /// Ends the calls that are left: those whose answer has not begun are told so, the others cut.
    void terminateCalls();

    /// Cuts what is left.
    void abortAll();

    std::size_t openConnections() const { return m_open.size(); }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerStream> caller);
    boost::asio::awaitable<bool> serveOne(CallerStream &caller);
    const CallerLimits &limits() const;

    Options m_options;
    ForwardContext &m_shared;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerStream>> m_open;
};

} // namespace reachlead
