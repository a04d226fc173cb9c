// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Connections to upstreams that are called directly, kept for reuse.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <reachlead/clock.h>
#include <reachlead/upstreamdirectory.h>

namespace reachlead {

/// One connection to one upstream, for one call at a time.
class UpstreamChannel
{
public:
    explicit UpstreamChannel(boost::asio::ip::tcp::socket s) : socket(std::move(s)) { }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer; ///< bytes read and not yet taken
    Time idleSince{};
    Duration idleTimeout = defaultIdleTimeout; ///< after which the upstream may close it

    /// True when nothing arrived on the idle connection: neither its end nor bytes that belong to
    /// no call.
    bool isClean();

    /// Ends the connection; operations under way end with an error.
    void close();

    /// An upstream that names no limit of its own: a common default of servers is 5 s and more.
    static constexpr Duration defaultIdleTimeout = seconds(5);
};

using UpstreamChannelPtr = std::shared_ptr<UpstreamChannel>;

/// Why a connection did not open.
struct ConnectFailure
{
    std::string reason;
    bool connectionRefused = false; ///< the upstream's VM lives and its process does not
};

/// The idle connections by upstream. All calls on one thread.
class ConnectionPool
{
public:
    explicit ConnectionPool(const boost::asio::any_io_executor &executor) : m_executor(executor) { }

    /// An idle connection that may be used; null when there is none.
    UpstreamChannelPtr takeIdle(const UpstreamId &id);

    /// Opens a connection. Null with \p failure set when it is not open within \p limit.
    boost::asio::awaitable<UpstreamChannelPtr> connect(const UpstreamEntry &entry, Duration limit,
                                                       ConnectFailure *failure);

    /// Keeps a connection whose call ended well.
    void giveBack(const UpstreamId &id, UpstreamChannelPtr channel);

    /// Closes the idle connections of an upstream.
    void closeIdle(const UpstreamId &id);

    /// Closes idle connections that are past their limit.
    void closeExpired();

    /// Idle connections kept for one upstream.
    static constexpr std::size_t maxIdle = 64;
    /// A connection is used this long before the upstream's own limit at the latest, so that its
    /// end does not cross a call on the way.
    static constexpr Duration idleMargin = milliseconds(500);

private:
    bool isUsable(UpstreamChannel &channel) const;

    boost::asio::any_io_executor m_executor;
    std::map<UpstreamId, std::vector<UpstreamChannelPtr>> m_idle; ///< latest used last
};

} // namespace reachlead
