// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Detects whether an upstream's process crashed or only its connection broke.

#pragma once

#include <functional>
#include <map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <reachlead/counters.h>
#include <reachlead/crashtracker.h>
#include <reachlead/gatewaystate.h>

#include "upstream/upstreamchannel.h"

namespace reachlead {

/// Probes upstreams after calls have lost their connections. A broken connection does not tell
/// whether the upstream's process still runs, but new ones do: if one is refused, the process has
/// exited, and the crash is reported for all calls that lost it. If one stays open, the process
/// runs, and the connection goes to the pool for the next call. An exiting process may accept
/// connections for some time after it has lost those in use, and closes them, so a connection that
/// is closed proves nothing and is followed by another one. There is one probe at a time for each
/// upstream, however many calls were lost. Not thread-safe.
class CrashDetector
{
public:
    /// Called with the calls that lost an upstream whose process crashed.
    using OnCrash = std::function<void(const std::vector<LostCall> &, const UpstreamId &)>;

    CrashDetector(boost::asio::io_context &io, ConnectionPool &pool, GatewayState &state,
                  Counters &counters, OnCrash onCrash)
        : m_io(io), m_pool(pool), m_state(state), m_counters(counters),
          m_onCrash(std::move(onCrash))
    { }

    /// A call lost its connection to an upstream.
    void connectionLost(const UpstreamEntry &entry, LostCall call);

    /// If only the process has exited, its VM refuses the connection within a few round trips
    /// between availability zones. A time-out is therefore not reported as a crash.
    static constexpr Duration connectTimeout = milliseconds(300);
    /// How long a connection must stay open: several times what the exit of a process takes on a
    /// busy VM.
    static constexpr Duration minOpenTime = milliseconds(100);
    /// Calls that lose an upstream within this time after its crash was detected are reported
    /// without another probe.
    static constexpr Duration crashRetention = seconds(2);

private:
    boost::asio::awaitable<void> probe(UpstreamEntry entry);
    boost::asio::awaitable<UpstreamChannelPtr> connectLasting(UpstreamEntry entry,
                                                              ConnectFailure *failure);
    boost::asio::awaitable<bool> staysOpen(UpstreamChannelPtr channel);
    void dropExpired(Time now);

    boost::asio::io_context &m_io;
    ConnectionPool &m_pool;
    GatewayState &m_state;
    Counters &m_counters;
    OnCrash m_onCrash;
    std::map<UpstreamId, std::vector<LostCall>>
        m_lostCalls; ///< lost calls of upstreams being probed
    std::map<UpstreamId, Time> m_crashedAt; ///< when each recent crash was detected
};

} // namespace reachlead
