// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A router's link to one agent. Reconnects with backoff when the connection is lost.

#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include <reachlead/fleetkeys.h>
#include <reachlead/platform.h>
#include <reachlead/routercore.h>

#include "peer/frameconnection.h"
#include "peer/linkstatemachine.h"

namespace reachlead {

/// State and callbacks shared by all links of one router.
struct LinkContext
{
    VmName vm;
    Incarnation incarnation;
    std::uint16_t heartbeatPort = 0;
    Counters *counters = nullptr;
    FleetKeyFile *keys = nullptr;
    std::function<void(const Welcome &)> onUp;
    std::function<void(const VmName &)> onDown;
    std::function<void(const VmName &, const ToRouter &)> onMessage;
};

/// Connects to one agent and authenticates both sides. Runs on the dispatching thread.
class AgentLink : public std::enable_shared_from_this<AgentLink>
{
public:
    AgentLink(boost::asio::io_context &io, const LinkContext &context, Member member);

    void start();
    /// Closes the link permanently; messages already queued are still written.
    void remove();
    /// Closes the current connection; the link then reconnects.
    void drop(const std::string &reason);
    /// Sends a message; returns false when the link is not up.
    bool send(const ToAgent &message);

    const Member &member() const { return m_member; }

private:
    static constexpr Duration initialBackoff = milliseconds(50);
    static constexpr Duration maxBackoff = seconds(2);
    static constexpr Duration handshakeTimeout = seconds(2); ///< for connect and for Welcome, each

    void scheduleReconnect();
    void connect();
    void startHandshake();
    void handleDisconnect(const std::string &reason);
    bool handleFrame(std::string_view payload);
    bool handleHandshake(const ToRouter &message);
    bool handleWelcome(const Welcome &welcome);
    void sendHello(const std::string &agentNonce);

    boost::asio::io_context &m_io;
    const LinkContext &m_context;
    Member m_member;
    LinkStateMachine m_stateMachine;
    Timer m_timer;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_connectingSocket;
    std::shared_ptr<FrameConnection> m_connection;
    std::uint64_t m_session = 0;
    std::string m_nonce; ///< signed by the agent in its Welcome
    Duration m_backoff = initialBackoff;
    Random m_random;
};

} // namespace reachlead
