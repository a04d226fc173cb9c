// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/agentlink.h"

#include <algorithm>

#include <reachlead/apikey.h>
#include <reachlead/log.h>

#include "peer/messageauth.h"

namespace reachlead {

namespace asio = boost::asio;

AgentLink::AgentLink(asio::io_context &io, const LinkContext &context, Member member)
    : m_io(io), m_context(context), m_member(std::move(member)), m_timer(io),
      m_random(context.incarnation.value ^ std::hash<VmName>{}(m_member.vm))
{ }

void AgentLink::start()
{
    connect();
}

void AgentLink::scheduleReconnect()
{
    std::uniform_int_distribution<Duration::rep> jitter(0, m_backoff.count());
    m_timer.expires_after(Duration(jitter(m_random)));
    m_backoff = std::min(m_backoff * 2, maxBackoff);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->connect();
    });
}

void AgentLink::connect()
{
    if (!m_stateMachine.apply(LinkEvent::Connect))
        return;
    boost::system::error_code parseError;
    const auto address = asio::ip::make_address(m_member.address, parseError);
    if (parseError) {
        handleDisconnect("address is not an IP address");
        return;
    }
    m_connectingSocket = std::make_unique<asio::ip::tcp::socket>(m_io);
    m_timer.expires_after(handshakeTimeout);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && self->m_stateMachine.state() == LinkState::Connecting) {
            boost::system::error_code ignored;
            self->m_connectingSocket->close(ignored);
        }
    });
    m_connectingSocket->async_connect({address, m_member.port},
                                      [self = shared_from_this()](boost::system::error_code ec) {
                                          if (self->m_stateMachine.state() != LinkState::Connecting)
                                              return;
                                          if (ec)
                                              self->handleDisconnect(ec.message());
                                          else
                                              self->startHandshake();
                                      });
}

void AgentLink::startHandshake()
{
    m_stateMachine.apply(LinkEvent::Connected);
    m_connection = std::make_shared<FrameConnection>(std::move(*m_connectingSocket));
    m_connectingSocket.reset();
    const auto connection = m_connection;
    m_connection->start([self = shared_from_this()](
                            std::string_view payload) { return self->handleFrame(payload); },
                        [self = shared_from_this(), connection](const std::string &reason) {
                            if (self->m_connection == connection)
                                self->handleDisconnect(reason);
                        });
    m_timer.expires_after(handshakeTimeout);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && self->m_stateMachine.state() == LinkState::Handshaking)
            self->drop("no Welcome received in time");
    });
}

bool AgentLink::handleFrame(std::string_view payload)
{
    std::string reason;
    const std::optional<ToRouter> message = decodeToRouter(payload, &reason);
    if (!message) {
        m_context.counters->add(Counter::HostileFrames);
        LogLine(LogLevel::Warn, "bad-frame").with("agent", m_member.vm.text).with("reason", reason);
        return false;
    }
    if (m_stateMachine.state() == LinkState::Handshaking)
        return handleHandshake(*message);
    if (m_stateMachine.state() == LinkState::Up)
        m_context.onMessage(m_member.vm, *message);
    return true;
}

bool AgentLink::handleHandshake(const ToRouter &message)
{
    if (const auto *challenge = std::get_if<Challenge>(&message)) {
        sendHello(challenge->nonce);
        return true;
    }
    const auto *welcome = std::get_if<Welcome>(&message);
    return welcome && handleWelcome(*welcome);
}

void AgentLink::sendHello(const std::string &agentNonce)
{
    constexpr std::size_t nonceBytes = 16;
    m_nonce = randomHex(nonceBytes);
    // The session number increases with each Hello, so that the agent can tell which of two
    // sessions is the newer.
    Hello hello{protocolVersion,
                m_context.vm,
                m_context.incarnation,
                ++m_session,
                m_context.heartbeatPort,
                m_nonce,
                ""};
    hello.proof = m_context.keys->keys().sign(helloSigningInput(agentNonce, m_member.vm, hello));
    m_connection->send(ToAgent(hello));
}

bool AgentLink::handleWelcome(const Welcome &welcome)
{
    if (welcome.version != protocolVersion || welcome.vm != m_member.vm)
        return false;
    if (!m_context.keys->keys().verify(welcomeSigningInput(m_nonce, welcome), welcome.proof)) {
        m_context.counters->add(Counter::HostileFrames);
        LogLine(LogLevel::Error, "agent-not-of-the-fleet").with("agent", m_member.vm.text);
        return false;
    }
    m_timer.cancel();
    m_stateMachine.apply(LinkEvent::Welcomed);
    m_backoff = initialBackoff;
    LogLine(LogLevel::Info, "agent-up")
        .with("agent", m_member.vm.text)
        .with("target", welcome.target.text)
        .with("session", m_session);
    m_context.onUp(welcome);
    return true;
}

void AgentLink::handleDisconnect(const std::string &reason)
{
    const bool wasUp = m_stateMachine.state() == LinkState::Up;
    if (!m_stateMachine.apply(LinkEvent::Disconnected))
        return;
    m_timer.cancel();
    m_connectingSocket.reset();
    m_connection.reset();
    LogLine(wasUp ? LogLevel::Warn : LogLevel::Debug, "agent-down")
        .with("agent", m_member.vm.text)
        .with("reason", reason);
    if (wasUp)
        m_context.onDown(m_member.vm);
    scheduleReconnect();
}

void AgentLink::drop(const std::string &reason)
{
    if (m_connection)
        m_connection->close(reason);
}

void AgentLink::remove()
{
    m_stateMachine.apply(LinkEvent::Remove);
    m_timer.cancel();
    boost::system::error_code ignored;
    if (m_connectingSocket)
        m_connectingSocket->close(ignored);
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->closeWhenWritten();
}

bool AgentLink::send(const ToAgent &message)
{
    if (m_stateMachine.state() != LinkState::Up)
        return false;
    m_connection->send(message);
    return true;
}

} // namespace reachlead
