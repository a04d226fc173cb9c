// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Pool of persistent connections to the upstreams that a gateway calls directly.

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

/// A connection to an upstream. It carries one call at a time.
class UpstreamChannel
{
public:
    explicit UpstreamChannel(boost::asio::ip::tcp::socket s) : socket(std::move(s)) { }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{maxUnparsedBytes}; ///< bytes read and not yet parsed
    Time idleSince{};
    Duration idleTimeout = defaultIdleTimeout; ///< after this the upstream may close the connection

    /// True when the idle connection is open and has no unread bytes, which would belong to no
    /// call.
    bool isClean();

    /// Closes the connection; pending operations fail.
    void close();

    /// For upstreams that announce none; servers commonly default to 5 s or more.
    static constexpr Duration defaultIdleTimeout = seconds(5);
};

using UpstreamChannelPtr = std::shared_ptr<UpstreamChannel>;

/// Reason why a connection could not be opened.
struct ConnectFailure
{
    std::string reason;
    bool connectionRefused = false; ///< the upstream's VM is up, but its process is not
};

/// Idle connections by upstream. Not thread-safe.
class ConnectionPool
{
public:
    explicit ConnectionPool(const boost::asio::any_io_executor &executor) : m_executor(executor) { }

    /// Bounds what the kernel holds on a connection that is not read, in each direction; 0: as the
    /// kernel decides. For connections that are opened from now on.
    void setSocketBuffers(int bytes) { m_socketBuffers = bytes; }

    /// Removes and returns a usable idle connection; null if there is none.
    UpstreamChannelPtr takeIdle(const UpstreamId &id);

    /// Opens a connection. Returns null, with \p failure set, if that fails or exceeds \p timeout.
    boost::asio::awaitable<UpstreamChannelPtr> connect(const UpstreamEntry &entry, Duration timeout,
                                                       ConnectFailure *failure);

    /// Returns a connection to the pool after a successful call.
    void giveBack(const UpstreamId &id, UpstreamChannelPtr channel);

    /// Closes the idle connections of an upstream.
    void closeIdle(const UpstreamId &id);

    /// Closes idle connections that have expired or are not usable any more.
    void closeExpired();

    /// Idle connections that are kept for one upstream.
    static constexpr std::size_t maxIdle = 64;
    /// A connection expires this long before the upstream's idle timeout, so that the upstream does
    /// not close it while a call is on its way.
    static constexpr Duration idleMargin = milliseconds(500);

private:
    bool isUsable(UpstreamChannel &channel) const;

    boost::asio::any_io_executor m_executor;
    int m_socketBuffers = 0; ///< bytes
    std::map<UpstreamId, std::vector<UpstreamChannelPtr>> m_idle; ///< most recently used last
};

} // namespace reachlead
