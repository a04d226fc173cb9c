// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The session thread of an agent, which runs its core, its sessions with routers and the sending
/// of heartbeats.

#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <reachlead/agentcore.h>
#include <reachlead/fleetkeys.h>

#include "peer/frameconnection.h"

namespace reachlead {

/// Owns the agent's core. The public functions may be called from any thread.
class SessionServer
{
public:
    struct Options
    {
        VmName vm;
        ZoneName zone;
        TargetName target;
        SoftwareVersion softwareVersion; ///< of the upstream
        Incarnation incarnation;
        AgentTuning tuning;
        std::string address = "127.0.0.1"; ///< local IP address to listen on
        std::uint16_t port = 0; ///< 0: the kernel chooses
        FleetKeyFile *keys = nullptr; ///< must outlive the server
        Counters *counters = nullptr;
    };

    /// Handlers of the core's actions that concern other threads. Called on the session thread.
    struct ActionHandlers
    {
        std::function<void(const StartUpstreamCall &)> start;
        std::function<void(const CancelUpstreamCall &)> cancel;
        std::function<void(const MakeClaim &)> claim;
        std::function<void(const ReleaseClaim &)> release;
    };

    SessionServer(Options options, ActionHandlers handlers);
    ~SessionServer();

    /// Runs \p change on the session thread with the core, then performs the resulting actions.
    void post(std::function<void(AgentCore &)> change);

    /// Runs \p function on the session thread with the core and returns its result.
    template <class Result> std::future<Result> query(std::function<Result(AgentCore &)> function)
    {
        auto promise = std::make_shared<std::promise<Result>>();
        post([promise, function = std::move(function)](AgentCore &core) {
            promise->set_value(function(core));
        });
        return promise->get_future();
    }

    std::uint16_t port() const { return m_port; }

private:
    static constexpr Duration tickInterval = milliseconds(5);
    static constexpr Duration heartbeatInterval = seconds(1);

    void run();
    void accept();
    void startSession(boost::asio::ip::tcp::socket socket);
    bool handleFrame(SessionId session, std::string_view payload);
    bool verifyHello(SessionId session, const Hello &hello);
    void performActions();
    void perform(SendToRouter &action);
    void perform(CloseSession &action);
    void perform(StartUpstreamCall &action);
    void perform(CancelUpstreamCall &action);
    void perform(MakeClaim &action);
    void perform(ReleaseClaim &action);
    void scheduleTick();
    void sendHeartbeats();

    Options m_options;
    ActionHandlers m_handlers;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<AgentCore> m_core;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::udp::socket m_heartbeatSocket;
    std::uint16_t m_port = 0;
    std::map<SessionId, std::shared_ptr<FrameConnection>> m_connections;
    std::map<SessionId, std::string> m_agentNonces; ///< signed in the router's Hello
    std::map<SessionId, std::string> m_routerNonces; ///< signed in the agent's Welcome
    std::set<SessionId> m_sentSinceHeartbeat; ///< sessions that were sent a frame
    std::uint64_t m_lastSession = 0;
    std::uint64_t m_heartbeatSequence = 0;
    Time m_heartbeatAt{};
    Timer m_tick;
    std::thread m_thread;
};

} // namespace reachlead
