// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/sessionserver.h"

#include <boost/asio/post.hpp>

#include <reachlead/apikey.h>
#include <reachlead/log.h>

#include "peer/messageauth.h"

namespace reachlead {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

SessionServer::SessionServer(Options options, ActionHandlers handlers)
    : m_options(std::move(options)), m_handlers(std::move(handlers)), m_work(m_io.get_executor()),
      m_acceptor(m_io, tcp::endpoint(asio::ip::make_address(m_options.address), m_options.port)),
      m_heartbeatSocket(m_io, udp::endpoint(asio::ip::make_address(m_options.address), 0)),
      m_port(m_acceptor.local_endpoint().port()), m_tick(m_io)
{
    m_core = AgentCore::Builder()
                 .vm(m_options.vm)
                 .zone(m_options.zone)
                 .target(m_options.target)
                 .softwareVersion(m_options.softwareVersion)
                 .incarnation(m_options.incarnation)
                 .tuning(m_options.tuning)
                 .counters(m_options.counters)
                 .build();
    m_heartbeatSocket.non_blocking(true);
    m_thread = std::thread([this] { run(); });
}

SessionServer::~SessionServer()
{
    asio::post(m_io, [this] {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_tick.cancel();
        for (auto &[id, connection] : m_connections)
            connection->closeWhenWritten();
        m_work.reset();
        auto shutdownTimer = std::make_shared<Timer>(m_io, milliseconds(200));
        shutdownTimer->async_wait(
            [this, shutdownTimer](boost::system::error_code) { m_io.stop(); });
    });
    m_thread.join();
}

void SessionServer::run()
{
    accept();
    scheduleTick();
    m_io.run();
}

void SessionServer::post(std::function<void(AgentCore &)> change)
{
    asio::post(m_io, [this, change = std::move(change)] {
        change(*m_core);
        performActions();
    });
}

void SessionServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec)
            startSession(std::move(socket));
        accept();
    });
}

void SessionServer::startSession(tcp::socket socket)
{
    const SessionId session{++m_lastSession};
    const auto connection = std::make_shared<FrameConnection>(std::move(socket));
    m_connections[session] = connection;
    connection->start(
        [this, session](std::string_view payload) { return handleFrame(session, payload); },
        [this, session](const std::string &reason) {
            LogLine(LogLevel::Info, "session-closed")
                .with("session", static_cast<std::uint64_t>(session))
                .with("reason", reason);
            m_connections.erase(session);
            m_agentNonces.erase(session);
            m_routerNonces.erase(session);
            m_core->sessionClosed(session, RuntimeClock::now());
            performActions();
        });
    constexpr std::size_t nonceBytes = 16;
    m_agentNonces[session] = randomHex(nonceBytes);
    connection->send(ToRouter(Challenge{m_agentNonces[session]}));
}

/// Verifies a router's proof of fleet membership before the core receives its Hello.
bool SessionServer::verifyHello(SessionId session, const Hello &hello)
{
    const std::string text = helloSigningInput(m_agentNonces[session], m_options.vm, hello);
    if (!m_options.keys->keys().verify(text, hello.proof)) {
        m_options.counters->add(Counter::HostileFrames);
        LogLine(LogLevel::Error, "router-not-of-the-fleet").with("router", hello.vm.text);
        return false;
    }
    m_routerNonces[session] = hello.nonce;
    return true;
}

bool SessionServer::handleFrame(SessionId session, std::string_view payload)
{
    std::string reason;
    const std::optional<ToAgent> message = decodeToAgent(payload, &reason);
    if (!message) {
        m_options.counters->add(Counter::HostileFrames);
        LogLine(LogLevel::Warn, "bad-frame")
            .with("session", static_cast<std::uint64_t>(session))
            .with("reason", reason);
        return false;
    }
    const auto *hello = std::get_if<Hello>(&*message);
    if (hello && !verifyHello(session, *hello))
        return false;
    m_core->message(session, *message, RuntimeClock::now());
    performActions();
    return true;
}

void SessionServer::performActions()
{
    for (AgentAction &action : m_core->takeActions())
        std::visit([this](auto &a) { perform(a); }, action);
}

void SessionServer::perform(SendToRouter &action)
{
    const auto it = m_connections.find(action.session);
    if (it == m_connections.end())
        return;
    if (auto *welcome = std::get_if<Welcome>(&action.message)) {
        const std::string text = welcomeSigningInput(m_routerNonces[action.session], *welcome);
        welcome->proof = m_options.keys->keys().sign(text);
    }
    it->second->send(action.message);
    m_sentSinceHeartbeat.insert(action.session);
}

void SessionServer::perform(CloseSession &action)
{
    const auto it = m_connections.find(action.session);
    if (it != m_connections.end())
        it->second->close(action.reason);
}

void SessionServer::perform(StartUpstreamCall &action)
{
    m_handlers.start(action);
}

void SessionServer::perform(CancelUpstreamCall &action)
{
    m_handlers.cancel(action);
}

void SessionServer::perform(MakeClaim &action)
{
    m_handlers.claim(action);
}

void SessionServer::perform(ReleaseClaim &action)
{
    m_handlers.release(action);
}

void SessionServer::scheduleTick()
{
    m_tick.expires_after(tickInterval);
    m_tick.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        const Time now = RuntimeClock::now();
        m_core->tick(now);
        performActions();
        if (now - m_heartbeatAt >= heartbeatInterval) {
            m_heartbeatAt = now;
            sendHeartbeats();
        }
        scheduleTick();
    });
}

/// Sends a heartbeat to each router that was sent no frame since the last one, as a frame also
/// shows that the agent is alive. A datagram may be lost in a full socket buffer, as it may in the
/// network.
void SessionServer::sendHeartbeats()
{
    ++m_heartbeatSequence;
    const std::set<SessionId> sentSinceHeartbeat = std::exchange(m_sentSinceHeartbeat, {});
    for (const auto &[session, port] : m_core->heartbeatPorts()) {
        const auto it = m_connections.find(session);
        if (it == m_connections.end() || sentSinceHeartbeat.contains(session))
            continue;
        Heartbeat heartbeat;
        heartbeat.vm = m_options.vm;
        heartbeat.incarnation = m_options.incarnation;
        heartbeat.sequence = m_heartbeatSequence;
        heartbeat.load = m_core->load(session);
        heartbeat.proof = m_options.keys->keys().sign(heartbeatSigningInput(heartbeat));
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(it->second->remoteAddress(), ec);
        if (ec)
            continue;
        m_heartbeatSocket.send_to(asio::buffer(encodeHeartbeat(heartbeat)),
                                  udp::endpoint(address, port), 0, ec);
        if (!ec)
            m_options.counters->add(Counter::HeartbeatsSent);
    }
}

} // namespace reachlead
