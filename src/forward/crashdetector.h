// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tells an upstream whose process ended from one whose connection alone broke.

#pragma once

#include <functional>
#include <map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <reachlead/counters.h>
#include <reachlead/gatewaystate.h>
#include <reachlead/requestdigest.h>

#include "upstream/upstreamchannel.h"

namespace reachlead {

/// A call whose connection broke says nothing of why. One connection attempt does: where nobody
/// listens any more, the process is gone, and it ended under all calls that were lost with it. An
/// upstream that is there keeps the connection for its next call. One attempt at a time for each
/// upstream, however many calls were lost. One thread.
class CrashDetector
{
public:
    /// Told of each call that an upstream's process ended under.
    using OnCrash = std::function<void(const RequestDigest &, const UpstreamId &)>;

    CrashDetector(boost::asio::io_context &io, ConnectionPool &pool, GatewayState &state,
                  Counters &counters, OnCrash onEnded)
        : m_io(io), m_pool(pool), m_state(state), m_counters(counters),
          m_onEnded(std::move(onEnded))
    { }

    /// A call lost its upstream.
    void connectionLost(const UpstreamEntry &entry, const RequestDigest &request);

    /// An upstream's VM answers within some round trips between zones, or it is not the process
    /// alone that is gone.
    static constexpr Duration connectTimeout = milliseconds(300);
    /// Calls that find out this long after the others that the same process ended are not asked
    /// about again.
    static constexpr Duration crashRetention = seconds(2);

private:
    boost::asio::awaitable<void> look(UpstreamEntry entry);
    void dropExpired(Time now);

    boost::asio::io_context &m_io;
    ConnectionPool &m_pool;
    GatewayState &m_state;
    Counters &m_counters;
    OnCrash m_onEnded;
    std::map<UpstreamId, std::vector<RequestDigest>> m_open; ///< looked at now, and lost with it
    std::map<UpstreamId, Time> m_ended; ///< found out lately
};

} // namespace reachlead
