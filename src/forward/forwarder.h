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

class CrashWatch;
class ForwardCall;

/// What all calls of a gateway share. One thread.
struct ForwardShared
{
    boost::asio::io_context &io;
    GatewayState &state;
    const HeaderCodec &headerCodec;
    Counters &counters;
    LatencyHistograms &latencies;
    UpstreamPool pool;
    std::mt19937_64 random{std::random_device{}()};
    /// Calls at work. Held by each of them, as the last ones end with the event loop.
    std::shared_ptr<std::set<ForwardCall *>> calls = std::make_shared<std::set<ForwardCall *>>();
    UpstreamSelector *adviser = nullptr; ///< chooses upstreams; null: the state's own book
    CrashWatch *crashes = nullptr; ///< told of calls that lost their upstream; null: nobody is
    /// Told of a request that completed although an upstream had ended under it; may be empty.
    std::function<void(const RequestDigest &)> cleared = {};
    /// Told when an upstream began to work on a call of an account; may be empty.
    std::function<void(const AccountName &)> began = {};
    bool stopping = false;
    bool takesRequests = true; ///< what is read after that is refused as not run
};

/// Accepts callers and serves each connection. One thread.
class Forwarder
{
public:
    struct Options
    {
        Endpoint listen;
        std::size_t mostConnections = 3000; ///< open callers' connections
    };

    Forwarder(const Options &options, ForwardShared &shared);

    /// Begins a planned stop: answers say that the connection ends, idle connections are closed
    /// when \p closeIdle is called, nothing at work is cut.
    void beginStop();
    void closeIdle();

    /// Ends the calls that are left: those whose answer has not begun are told so, the others cut.
    void giveUpCalls();

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
    ForwardShared &m_shared;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerStream>> m_open;
};

} // namespace reachlead
