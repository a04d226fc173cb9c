// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "crashdetector.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <reachlead/log.h>

namespace reachlead {

namespace asio = boost::asio;

void CrashDetector::connectionLost(const UpstreamEntry &entry, const RequestDigest &request)
{
    dropExpired(RuntimeClock::now());
    if (m_crashedAt.contains(entry.id)) {
        m_onCrash(request, entry.id);
        return;
    }
    const auto [it, isFirst] = m_lostCalls.try_emplace(entry.id);
    it->second.push_back(request);
    if (isFirst)
        asio::co_spawn(m_io, probe(entry), asio::detached);
}

asio::awaitable<void> CrashDetector::probe(UpstreamEntry entry)
{
    ConnectFailure failure;
    UpstreamChannelPtr channel = co_await m_pool.connect(entry, connectTimeout, &failure);
    const auto it = m_lostCalls.find(entry.id);
    const std::vector<RequestDigest> requests = std::move(it->second);
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
        .with("calls", requests.size());
    for (const RequestDigest &request : requests)
        m_onCrash(request, entry.id);
}

void CrashDetector::dropExpired(Time now)
{
    std::erase_if(m_crashedAt, [&](const auto &it) { return it.second + crashRetention < now; });
}

} // namespace reachlead
