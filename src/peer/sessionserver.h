// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The agent's gate thread: the core, the sessions with routers, and the heartbeats.

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
        Incarnation incarnation;
        AgentTuning tuning;
        std::string address = "127.0.0.1"; ///< IP number to listen at
        std::uint16_t port = 0; ///< 0: the kernel chooses
        FleetKeyFile *keys = nullptr; ///< must outlive the server
        Counters *counters = nullptr;
    };

    /// Where the actions for other threads go; called on the gate thread.
    struct ActionHandlers
    {
        std::function<void(const StartUpstreamCall &)> start;
        std::function<void(const CancelUpstreamCall &)> cancel;
        std::function<void(const MakeClaim &)> claim;
        std::function<void(const ReleaseClaim &)> release;
    };

    SessionServer(Options options, ActionHandlers outlets);
    ~SessionServer();

    /// Runs \p change on the gate thread with the core, then does what it asks for.
    void post(std::function<void(AgentCore &)> change);

    /// Runs \p question on the gate thread and gives its answer.
    template <class Answer> std::future<Answer> query(std::function<Answer(AgentCore &)> question)
    {
        auto promise = std::make_shared<std::promise<Answer>>();
        post([promise, question = std::move(question)](AgentCore &core) {
            promise->set_value(question(core));
        });
        return promise->get_future();
    }

    std::uint16_t port() const { return m_port; }

private:
    static constexpr Duration tickInterval = milliseconds(5);
    static constexpr Duration beatInterval = seconds(1);

    void run();
    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    bool takeFrame(SessionId session, std::string_view payload);
    bool belongsToFleet(SessionId session, const Hello &hello);
    void act();
    void perform(SendToRouter &action);
    void perform(CloseSession &action);
    void perform(StartUpstreamCall &action);
    void perform(CancelUpstreamCall &action);
    void perform(MakeClaim &action);
    void perform(ReleaseClaim &action);
    void scheduleTick();
    void beat();

    Options m_options;
    ActionHandlers m_outlets;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<AgentCore> m_core;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::udp::socket m_heartbeats;
    std::uint16_t m_port = 0;
    std::map<SessionId, std::shared_ptr<FrameConnection>> m_connections;
    std::map<SessionId, std::string> m_ownNonces; ///< signed by the routers
    std::map<SessionId, std::string> m_routerNonces; ///< to be signed by us
    std::set<SessionId> m_spoke; ///< sessions that got a frame since the last heartbeat
    std::uint64_t m_lastSession = 0;
    std::uint64_t m_beatSequence = 0;
    Time m_beatAt{};
    Timer m_tick;
    std::thread m_thread;
};

} // namespace reachlead
