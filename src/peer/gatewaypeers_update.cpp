// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The exchange of state over TCP in GatewayPeers: a gateway that is behind queries one that is
/// ahead.

#include <cstring>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <reachlead/completion.h>
#include <reachlead/log.h>
#include <reachlead/sleep.h>
#include <reachlead/sockettimeouts.h>

#include "peer/gatewaypeers.h"
#include "peer/messageauth.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t maxUpdateBytes = 16U << 20U; ///< of a whole state
/// Anyone may connect; a query has about 150 bytes.
constexpr std::uint32_t maxQueryBytes = 4096;
constexpr Duration fetchTimeout =
    milliseconds(1000); ///< for one fetch, which takes a few round trips

/// Writes a message with a length prefix.
asio::awaitable<bool> writeMessage(tcp::socket &socket, const std::string &text)
{
    const auto size = static_cast<std::uint32_t>(text.size());
    std::string framed(sizeof size, '\0');
    std::memcpy(framed.data(), &size, sizeof size);
    framed += text;
    error_code ec;
    co_await asio::async_write(socket, asio::buffer(framed), storeError(&ec));
    co_return !ec;
}

/// Reads a message with a length prefix; returns nothing if it is truncated or too long.
asio::awaitable<std::optional<std::string>> readMessage(tcp::socket &socket, std::uint32_t maxBytes)
{
    std::uint32_t size = 0;
    error_code ec;
    co_await asio::async_read(socket, asio::buffer(&size, sizeof size), storeError(&ec));
    if (ec || size > maxBytes)
        co_return std::nullopt;
    std::string text(size, '\0');
    co_await asio::async_read(socket, asio::buffer(text), storeError(&ec));
    if (ec)
        co_return std::nullopt;
    co_return text;
}

/// Closes the socket after fetchTimeout unless the timer is cancelled first.
void startTimeout(Timer &timer, const std::shared_ptr<tcp::socket> &socket)
{
    timer.expires_after(fetchTimeout);
    timer.async_wait([socket](const error_code &ec) {
        error_code ignored;
        if (!ec)
            socket->close(ignored);
    });
}

} // namespace

/// This gateway's versions, to compare them with reported ones. The evacuations are complete up to
/// the revision at which they were last read, while peers report that of the last change.
ReportedVersions GatewayPeers::ownVersions() const
{
    return {m_state.configVersion(), m_state.directory().revision(),
            m_state.evacuations().readRevision(), m_state.roster().revision};
}

/// Fetches the state of a peer that is ahead. While this gateway watches the store, the changes
/// have a moment to arrive from there; in a large fleet, the next heartbeat of a peer that is ahead
/// may be long in coming, so the fetch does not wait for it.
void GatewayPeers::fetchIfBehind(const HeardHeartbeat &heard)
{
    const bool isAhead = heard.heartbeat.versions().isAheadOf(ownVersions());
    if (!isAhead || m_fetching)
        return;
    const bool isWatching = m_state.directory().inContact() && m_state.shouldWatch(livePeers());
    if (m_lag.isFetchDue(isWatching, RuntimeClock::now()))
        asio::co_spawn(m_io, fetchState(heard), asio::detached);
    else if (!std::exchange(m_isFetchScheduled, true))
        asio::co_spawn(m_io, fetchAfterDelay(heard), asio::detached);
}

asio::awaitable<void> GatewayPeers::fetchAfterDelay(HeardHeartbeat heard)
{
    co_await sleepFor(m_io, PeerLag::fetchDelay);
    m_isFetchScheduled = false;
    m_lag.update(ownVersions(), RuntimeClock::now());
    if (!m_stopped)
        fetchIfBehind(heard);
}

/// Logs and counts that this gateway has known for some time that peers have newer state.
void GatewayPeers::reportLag()
{
    const Time now = RuntimeClock::now();
    const ReportedVersions own = ownVersions();
    m_lag.update(own, now);
    const auto lag = m_lag.takeLongLag(now);
    if (!lag)
        return;
    count(Counter::StateBehind);
    const ReportedVersions &newest = m_lag.newest();
    LogLine(LogLevel::Warn, "state-behind-peers")
        .with("config", own.config)
        .with("newest_config", newest.config)
        .with("registry", own.registry.number)
        .with("newest_registry", newest.registry.number)
        .with("evacuations", own.evacuations.number)
        .with("newest_evacuations", newest.evacuations.number)
        .with("roster", own.roster.number)
        .with("newest_roster", newest.roster.number)
        .with("behind_ms", static_cast<std::int64_t>(toMillis(*lag)));
}

asio::awaitable<void> GatewayPeers::fetchState(HeardHeartbeat heard)
{
    const GatewayEntry peer = heard.heartbeat.from;
    m_fetching = true;
    const auto socket = std::make_shared<tcp::socket>(m_io);
    Timer timer(m_io);
    startTimeout(timer, socket);
    error_code ec;
    const auto ip = asio::ip::make_address(peer.address.address, ec);
    if (!ec)
        co_await socket->async_connect(tcp::endpoint(ip, peer.address.port), storeError(&ec));
    std::optional<std::string> text;
    std::string reason = ec.message();
    const StateQuery query{m_state.versions(), m_random()};
    const std::string nonce = std::to_string(query.nonce);
    if (!ec) {
        const std::string payload =
            signMessage(m_options.keys, PeerMessageKind::StateQuery, {}, encodeStateQuery(query));
        reason = "connection closed before the reply was complete";
        const bool sent = co_await writeMessage(*socket, payload);
        if (sent)
            text = co_await readMessage(*socket, maxUpdateBytes);
    }
    timer.cancel();
    m_fetching = false;
    std::optional<StateUpdate> update;
    if (text) {
        const auto message =
            verifyMessage(m_options.keys, PeerMessageKind::StateUpdate, nonce, *text);
        reason = "reply is not authenticated by a key of this fleet";
        if (message)
            update = decodeStateUpdate(*message, &reason);
        else
            rejectUnauthenticated("news", peer.address.text());
    }
    if (update) {
        m_state.applyPeerUpdate(peer.vm, *update);
        m_lag.update(ownVersions(), RuntimeClock::now());
        confirmState(heard);
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
        Socket socket = co_await m_acceptor.async_accept(storeError(&ec));
        if (ec)
            continue;
        setSocketTimeouts(socket);
        asio::co_spawn(m_io, serveStateQuery(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> GatewayPeers::serveStateQuery(Socket socket)
{
    const auto connection = std::make_shared<Socket>(std::move(socket));
    Timer timer(m_io);
    startTimeout(timer, connection);
    const auto text = co_await readMessage(*connection, maxQueryBytes);
    std::optional<std::string_view> message;
    if (text)
        message = verifyMessage(m_options.keys, PeerMessageKind::StateQuery, {}, *text);
    std::string reason;
    const auto query = message ? decodeStateQuery(*message, &reason) : std::nullopt;
    if (query) {
        const std::string nonce = std::to_string(query->nonce);
        const std::string payload =
            signMessage(m_options.keys, PeerMessageKind::StateUpdate, nonce,
                        encodeStateUpdate(m_state.updateSince(query->known)));
        co_await writeMessage(*connection, payload);
    } else if (text) {
        error_code ec;
        rejectUnauthenticated("question", connection->remote_endpoint(ec).address().to_string());
    }
    timer.cancel();
}

} // namespace reachlead
