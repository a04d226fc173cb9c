// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// GatewayPeers' exchange of state over TCP: a gateway that is behind asks, one that is ahead
/// answers.

#include <cstring>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <reachlead/log.h>
#include <reachlead/sockettimeouts.h>

#include "peer/gatewaypeers.h"
#include "peer/messageauth.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t mostNews = 16U << 20U; ///< bytes of a whole state
constexpr Duration fetchLimit = milliseconds(1000); ///< for one fetch, some round trips

auto keepError(error_code *ec)
{
    return asio::redirect_error(asio::use_awaitable, *ec);
}

/// Writes a text with its length ahead.
asio::awaitable<bool> writeText(tcp::socket &socket, const std::string &text)
{
    const auto size = static_cast<std::uint32_t>(text.size());
    std::string framed(sizeof size, '\0');
    std::memcpy(framed.data(), &size, sizeof size);
    framed += text;
    error_code ec;
    co_await asio::async_write(socket, asio::buffer(framed), keepError(&ec));
    co_return !ec;
}

/// Reads what writeText() wrote; nothing when it broke off or is too long.
asio::awaitable<std::optional<std::string>> readText(tcp::socket &socket)
{
    std::uint32_t size = 0;
    error_code ec;
    co_await asio::async_read(socket, asio::buffer(&size, sizeof size), keepError(&ec));
    if (ec || size > mostNews)
        co_return std::nullopt;
    std::string text(size, '\0');
    co_await asio::async_read(socket, asio::buffer(text), keepError(&ec));
    if (ec)
        co_return std::nullopt;
    co_return text;
}

/// Closes a socket after a time, unless it went first.
void limitTime(Timer &timer, const std::shared_ptr<tcp::socket> &socket)
{
    timer.expires_after(fetchLimit);
    timer.async_wait([socket](const error_code &ec) {
        error_code ignored;
        if (!ec)
            socket->close(ignored);
    });
}

} // namespace

asio::awaitable<void> GatewayPeers::fetchNews(GatewayHeartbeat beat)
{
    const GatewayEntry peer = beat.from;
    const Time heardAt = RuntimeClock::now();
    m_fetching = true;
    const auto socket = std::make_shared<tcp::socket>(m_io);
    Timer timer(m_io);
    limitTime(timer, socket);
    error_code ec;
    const auto number = asio::ip::make_address(peer.address.address, ec);
    if (!ec)
        co_await socket->async_connect(tcp::endpoint(number, peer.address.port), keepError(&ec));
    std::optional<std::string> text;
    std::string reason = ec.message();
    const StateQuery ask{m_state.versions(), m_random()};
    const std::string nonce = std::to_string(ask.nonce);
    if (!ec) {
        const std::string payload =
            signMessage(m_options.keys, PeerMessageKind::StateQuery, {}, encodeStateQuery(ask));
        reason = "the connection broke off";
        const bool sent = co_await writeText(*socket, payload);
        if (sent)
            text = co_await readText(*socket);
    }
    timer.cancel();
    m_fetching = false;
    m_behindSince.reset();
    std::optional<StateUpdate> news;
    if (text) {
        const auto message =
            verifyMessage(m_options.keys, PeerMessageKind::StateUpdate, nonce, *text);
        reason = "the answer is not of this fleet";
        if (message)
            news = decodeStateUpdate(*message, &reason);
        else
            refuseStranger("news", peer.address.text());
    }
    if (news) {
        m_state.applyPeerUpdate(peer.vm, *news);
        takeVouch(beat, heardAt);
    } else {
        LogLine(LogLevel::Warn, "peer-fetch-failed")
            .with("peer", peer.vm.text)
            .with("reason", reason);
    }
}

asio::awaitable<void> GatewayPeers::acceptLoop()
{
    while (!m_stopped) {
        error_code ec;
        Socket socket = co_await m_acceptor.async_accept(keepError(&ec));
        if (ec)
            continue;
        setSocketTimeouts(socket);
        asio::co_spawn(m_io, answerNews(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> GatewayPeers::answerNews(Socket socket)
{
    const auto held = std::make_shared<Socket>(std::move(socket));
    Timer timer(m_io);
    limitTime(timer, held);
    const auto text = co_await readText(*held);
    std::optional<std::string_view> message;
    if (text)
        message = verifyMessage(m_options.keys, PeerMessageKind::StateQuery, {}, *text);
    std::string reason;
    const auto ask = message ? decodeStateQuery(*message, &reason) : std::nullopt;
    if (ask) {
        const std::string nonce = std::to_string(ask->nonce);
        const std::string payload = signMessage(m_options.keys, PeerMessageKind::StateUpdate, nonce,
                                                encodeStateUpdate(m_state.updateSince(ask->known)));
        co_await writeText(*held, payload);
    } else if (text) {
        error_code ec;
        refuseStranger("question", held->remote_endpoint(ec).address().to_string());
    }
    timer.cancel();
}

} // namespace reachlead
