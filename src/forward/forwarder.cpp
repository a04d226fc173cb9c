// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "forwarder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <reachlead/log.h>
#include <reachlead/sockettimeouts.h>

#include "forwardcall.h"
#include "refusal.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Pause after a failed accept, as when no descriptor is left.
constexpr Duration acceptPause = milliseconds(50);

tcp::endpoint endpointOf(const Endpoint &at)
{
    return {asio::ip::make_address(at.address), at.port};
}

} // namespace

Forwarder::Forwarder(const Options &options, ForwardContext &shared)
    : m_options(options), m_shared(shared), m_acceptor(shared.io, endpointOf(options.listen))
{
    asio::co_spawn(m_shared.io, acceptLoop(), asio::detached);
}

const CallerLimits &Forwarder::limits() const
{
    static const CallerLimits untilConfigured;
    const RouteTablePtr &table = m_shared.state.table();
    return table ? table->config().limits : untilConfigured;
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
            Timer pause(m_shared.io);
            pause.expires_after(acceptPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (m_open.size() >= m_options.maxConnections) {
            m_shared.counters.refused(ErrorKind::OpenRequests);
            continue; // closed unread, so the caller may come again
        }
        setSocketTimeouts(socket);
        auto caller = std::make_shared<CallerStream>(std::move(socket));
        m_open.insert(caller);
        caller->start();
        asio::co_spawn(m_shared.io, serve(caller), asio::detached);
    }
}

asio::awaitable<void> Forwarder::serve(std::shared_ptr<CallerStream> caller)
{
    m_shared.counters.adjust(Gauge::OpenConnections, 1);
    bool goOn = true;
    while (goOn)
        goOn = co_await serveOne(*caller);
    if (!caller->isDisconnected())
        co_await caller->closeGracefully();
    caller->abort();
    m_open.erase(caller);
    m_shared.counters.adjust(Gauge::OpenConnections, -1);
}

asio::awaitable<bool> Forwarder::serveOne(CallerStream &caller)
{
    const CallerLimits bounds = limits();
    std::optional<CallerHttpRequest> request = co_await caller.read(bounds);
    if (!request) {
        const Error error = caller.error();
        if (error.kind != ErrorKind::None && !caller.isDisconnected()) {
            m_shared.counters.refused(error.kind);
            LogLine(LogLevel::Info, "request-unreadable")
                .with("kind", errorRow(error.kind).name)
                .with("reason", error.reason);
            FullAnswer answer = makeRefusal(error, std::nullopt, false);
            co_await caller.send(std::move(answer));
        }
        co_return false;
    }
    ForwardCall call(m_shared, caller, std::move(*request));
    if (m_shared.acceptsRequests)
        co_return co_await call.run();
    const Error late{ErrorKind::RouterStopping, "the request came too late before the stop"};
    co_return co_await call.refuse(late);
}

void Forwarder::beginStop()
{
    m_shared.stopping = true;
}

void Forwarder::closeIdle()
{
    m_shared.acceptsRequests = false;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto &caller : m_open)
        caller->stopWhenIdle();
}

void Forwarder::terminateCalls()
{
    const auto calls = *m_shared.activeCalls; // a call that ends takes itself out
    for (ForwardCall *call : calls)
        call->terminate();
}

void Forwarder::abortAll()
{
    const auto open = m_open; // abort() has the connections erase themselves
    for (const auto &caller : open)
        caller->abort();
}

} // namespace reachlead
