// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A router's link to one agent: dials, greets, and dials again when it breaks.

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

/// What all links of one router have in common.
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

/// Runs on the dispatching thread.
class AgentLink : public std::enable_shared_from_this<AgentLink>
{
public:
    AgentLink(boost::asio::io_context &io, const LinkContext &context, Member member);

    void start();
    /// Ends the link for good.
    void remove();
    /// Ends the present connection; another is dialled.
    void drop(const std::string &reason);
    /// Sends a message; false when the link is not up.
    bool send(const ToAgent &message);

    const Member &member() const { return m_member; }

private:
    static constexpr Duration firstPause = milliseconds(50);
    static constexpr Duration longestPause = seconds(2);
    static constexpr Duration greetLimit = seconds(2); ///< for connect and Welcome each

    void wait();
    void dial();
    void greet();
    void broken(const std::string &reason);
    bool takeFrame(std::string_view payload);
    bool takeGreeting(const ToRouter &message);
    bool takeWelcome(const Welcome &welcome);
    void sendHello(const std::string &agentNonce);

    boost::asio::io_context &m_io;
    const LinkContext &m_context;
    Member m_member;
    LinkStateMachine m_life;
    Timer m_timer;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_dialling;
    std::shared_ptr<FrameConnection> m_connection;
    std::uint64_t m_session = 0;
    std::string m_nonce; ///< signed by the agent's Welcome
    Duration m_pause = firstPause;
    Random m_random;
};

} // namespace reachlead
