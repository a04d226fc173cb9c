// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "crashdetector.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <reachlead/log.h>
#include <reachlead/sleep.h>

namespace reachlead {

namespace asio = boost::asio;

namespace {

/// Interval at which an open connection is checked.
constexpr Duration checkInterval = milliseconds(10);

/// Delay before the next connection to an upstream that closed the last one; doubled each time, as
/// an upstream at its limit of connections closes them too.
constexpr Duration firstReconnectDelay = milliseconds(5);

} // namespace

void CrashDetector::connectionLost(const UpstreamEntry &entry, LostCall call)
{
    dropExpired(RuntimeClock::now());
    if (m_crashedAt.contains(entry.id)) {
        m_onCrash({std::move(call)}, entry.id);
        return;
    }
    const auto [it, isFirst] = m_lostCalls.try_emplace(entry.id);
    it->second.push_back(std::move(call));
    if (isFirst)
        asio::co_spawn(m_io, probe(entry), asio::detached);
}

asio::awaitable<void> CrashDetector::probe(UpstreamEntry entry)
{
    ConnectFailure failure;
    UpstreamChannelPtr channel = co_await connectLasting(entry, &failure);
    const auto it = m_lostCalls.find(entry.id);
    const std::vector<LostCall> calls = std::move(it->second);
    m_lostCalls.erase(it);
    if (channel)
        m_pool.giveBack(entry.id, std::move(channel));
    if (!failure.connectionRefused)
        co_return;
    const Time now = RuntimeClock::now();
    m_crashedAt[entry.id] = now;
    m_state.upstreams().connectionRefused(entry.id, now);
    m_counters.add(Counter::UpstreamsCrashed);
    LogLine(LogLevel::Warn, "upstream-process-ended")
        .with("upstream", entry.id.text)
        .with("born", entry.id.startedAt)
        .with("service", entry.service.text)
        .with("calls", calls.size());
    m_onCrash(calls, entry.id);
}

/// Returns a connection that the upstream keeps open; null if one is refused, or the time is over.
asio::awaitable<UpstreamChannelPtr> CrashDetector::connectLasting(UpstreamEntry entry,
                                                                  ConnectFailure *failure)
{
    const Time limit = RuntimeClock::now() + connectTimeout;
    Duration delay = firstReconnectDelay;
    while (RuntimeClock::now() < limit) {
        UpstreamChannelPtr channel =
            co_await m_pool.connect(entry, limit - RuntimeClock::now(), failure);
        if (!channel)
            co_return nullptr;
        const bool isLasting = co_await staysOpen(channel);
        if (isLasting)
            co_return channel;
        channel->close();
        co_await sleepFor(m_io, delay);
        delay *= 2;
    }
    co_return nullptr;
}

asio::awaitable<bool> CrashDetector::staysOpen(UpstreamChannelPtr channel)
{
    const Time until = RuntimeClock::now() + minOpenTime;
    while (RuntimeClock::now() < until) {
        co_await sleepFor(m_io, checkInterval);
        if (!channel->isClean())
            co_return false;
    }
    co_return true;
}

void CrashDetector::dropExpired(Time now)
{
    std::erase_if(m_crashedAt, [&](const auto &it) { return it.second + crashRetention < now; });
}

} // namespace reachlead
