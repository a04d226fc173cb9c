// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "forwarder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <reachlead/log.h>
#include <reachlead/sockettimeouts.h>

#include "caller/yielding.h"
#include "forwardcall.h"
#include "refusal.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Delay after a failed accept, for example when no file descriptor is left.
constexpr Duration acceptRetryDelay = milliseconds(50);

tcp::endpoint toTcpEndpoint(const Endpoint &at)
{
    return {asio::ip::make_address(at.address), at.port};
}

} // namespace

Forwarder::Forwarder(const Options &options, ForwardContext &context)
    : m_options(options), m_context(context), m_acceptor(context.io)
{
    listen();
    asio::co_spawn(m_context.io, acceptLoop(), asio::detached);
}

void Forwarder::listen()
{
    const tcp::endpoint at = toTcpEndpoint(m_options.listen);
    m_acceptor.open(at.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    // Connections inherit it before the peer learns how much it may send.
    if (m_options.receiveBufferBytes > 0)
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(m_options.receiveBufferBytes));
    m_acceptor.bind(at);
    m_acceptor.listen();
}

const CallerLimits &Forwarder::limits() const
{
    static const CallerLimits defaultLimits;
    const RouteTablePtr &table = m_context.state.table();
    return table ? table->config().limits : defaultLimits;
}

/// Returns where the bodies of requests find room: with the account that holds the request's key.
RequestRoom Forwarder::requestRoom() const
{
    return {m_context.pressure, [this](const Fields &head) {
                const RouteTablePtr &table = m_context.state.table();
                const AccountKeys *account = table
                    ? table->accountForKey(m_context.headerCodec.readCall(head).apiKey)
                    : nullptr;
                return account != nullptr ? account->name : AccountName();
            }};
}

/// Bounds what the kernel holds for a caller that does not read, and lets such a caller go on
/// later: by default the kernel resets a connection whose peer accepts no data for ackTimeout.
void Forwarder::boundSocket(tcp::socket &socket) const
{
    const Pressure::Options &options = m_context.pressure->options();
    boost::system::error_code ec; // ignored: without the options the kernel's own limits apply
    if (options.socketBufferBytes > 0)
        socket.set_option(asio::socket_base::send_buffer_size(options.socketBufferBytes), ec);
    setAckTimeout(socket, options.stallLimit);
}

/// Makes the connections yield that have been open longest to no use, if the limit is reached.
/// Returns false if none makes room for a new connection.
bool Forwarder::makeRoomForConnection()
{
    const std::size_t limit = m_options.maxConnections;
    if (m_connections.size() < limit)
        return true;
    std::vector<YieldCandidate<std::shared_ptr<CallerStream>>> candidates;
    const Time now = RuntimeClock::now();
    for (const auto &caller : m_connections) {
        if (const auto unproductive = caller->unproductiveTime(now))
            candidates.push_back({*unproductive, caller});
    }
    m_context.counters.add(Counter::ConnectionsYielded,
                           yieldConnections(std::move(candidates), limit));
    const auto yielding = std::ranges::count_if(
        m_connections, [](const auto &caller) { return caller->isYielding(); });
    return isRoomLeft(m_connections.size(), static_cast<std::size_t>(yielding), limit);
}

asio::awaitable<void> Forwarder::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code ec;
        tcp::socket socket =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!m_acceptor.is_open())
            co_return;
        if (ec) {
            Timer timer(m_context.io);
            timer.expires_after(acceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (!makeRoomForConnection()) {
            m_context.counters.refused(ErrorKind::OpenRequests);
            continue; // closed before any request is read, so the caller can retry safely
        }
        setSocketTimeouts(socket);
        if (m_context.pressure)
            boundSocket(socket);
        auto caller = std::make_shared<CallerStream>(std::move(socket));
        m_connections.insert(caller);
        caller->start();
        asio::co_spawn(m_context.io, serve(caller), asio::detached);
    }
}

asio::awaitable<void> Forwarder::serve(std::shared_ptr<CallerStream> caller)
{
    m_context.counters.adjust(Gauge::OpenConnections, 1);
    bool keepAlive = true;
    while (keepAlive)
        keepAlive = co_await serveOne(*caller);
    if (!caller->isDisconnected() && !caller->isYielding())
        co_await caller->closeGracefully();
    caller->abort();
    m_connections.erase(caller);
    m_context.counters.adjust(Gauge::OpenConnections, -1);
}

asio::awaitable<bool> Forwarder::serveOne(CallerStream &caller)
{
    const CallerLimits callerLimits = limits();
    const RequestRoom room = requestRoom();
    std::optional<CallerHttpRequest> request = co_await caller.read(callerLimits, room);
    if (!request) {
        const Error error = caller.error();
        if (error.kind != ErrorKind::None && !caller.isDisconnected()) {
            m_context.counters.refused(error.kind);
            LogLine(LogLevel::Info, "request-unreadable")
                .with("kind", errorRow(error.kind).name)
                .with("reason", error.reason);
            FullAnswer answer = makeRefusal(
                error, {computeRetryAfter(error.kind, std::nullopt), false, caller.isHead()});
            co_await caller.send(std::move(answer));
        }
        co_return false;
    }
    ForwardCall call(m_context, caller, std::move(*request));
    if (m_context.acceptsRequests)
        co_return co_await call.run();
    const Error error{ErrorKind::RouterStopping,
                      "the request arrived after the gateway stopped taking requests"};
    co_return co_await call.refuse(error);
}

void Forwarder::beginStop(Time endsAt)
{
    m_context.stopping = true;
    m_context.endsAt = endsAt;
}

void Forwarder::closeIdle()
{
    m_context.acceptsRequests = false;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto &caller : m_connections)
        caller->stopWhenIdle();
}

void Forwarder::terminateCalls()
{
    const auto calls = *m_context.activeCalls; // copied, as a call removes itself when it ends
    for (ForwardCall *call : calls)
        call->terminate();
}

void Forwarder::cancelQuarantined()
{
    for (ForwardCall *call : *m_context.activeCalls)
        call->cancelIfQuarantined();
}

void Forwarder::abortAll()
{
    const auto connections =
        m_connections; // copied, as abort() makes the connections remove themselves
    for (const auto &caller : connections)
        caller->abort();
}

} // namespace reachlead
