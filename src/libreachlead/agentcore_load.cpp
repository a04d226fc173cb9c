// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "agentcore_pvt.h"

#include <algorithm>
#include <ranges>

namespace reachlead {

namespace {

/// Minimum time between two load reports to routers.
constexpr Duration loadInterval = milliseconds(10);

} // namespace

Load AgentCore::load(std::optional<SessionId> session) const
{
    Load load;
    load.sequence = m_loadSequence;
    load.window = m_isBackingOff ? 0 : m_window.size();
    load.running = static_cast<std::uint32_t>(m_running);
    load.queued = static_cast<std::uint32_t>(m_queue.size());
    load.tokenGapMicros = static_cast<std::uint32_t>(toSeconds(m_window.tokenGap()) * 1e6);
    load.leaving = m_draining;
    for (const auto &[tier, runs] : preemptibleRuns())
        load.preemptible.at(tier) = static_cast<std::uint32_t>(runs.size());
    if (session) {
        const auto isFromSession = [&](const RequestId &id) {
            const Run &run = *m_runs.at(id);
            return run.session == session && run.state != Run::State::Finished;
        };
        load.recipientRequests =
            static_cast<std::uint32_t>(std::ranges::count_if(m_unsettled, isFromSession));
    }
    return load;
}

void AgentCore::reportLoad(bool immediately, Time now)
{
    Load current = load(std::nullopt);
    current.sequence = m_reportedLoad.sequence;
    if (current == m_reportedLoad || (!immediately && now - m_reportedAt < loadInterval))
        return;
    // All routers are notified of changes that decide whether to send here at all. Other changes
    // go to the routers whose requests changed; the rest get them with the next heartbeat.
    const auto hasRoom = [](const Load &l) { return l.running + l.queued < l.window; };
    const bool notifyAll =
        current.leaving != m_reportedLoad.leaving || hasRoom(current) != hasRoom(m_reportedLoad);
    current.sequence = ++m_loadSequence;
    m_reportedLoad = current;
    m_reportedAt = now;
    for (auto &[id, session] : m_sessions) {
        if (notifyAll || session.loadChanged)
            m_actions.emplace_back(SendToRouter{id, LoadReport{load(id)}});
        session.loadChanged = false;
    }
}

void AgentCore::markLoadChanged(std::optional<SessionId> session)
{
    const auto it = session ? m_sessions.find(*session) : m_sessions.end();
    if (it != m_sessions.end())
        it->second.loadChanged = true;
}

void AgentCore::drain()
{
    m_drainRequested = true;
    applyDrain();
}

void AgentCore::undrain()
{
    m_drainRequested = false;
    m_leavingInMembership = false;
    applyDrain();
}

/// Drains while either source requests it, and notifies the routers at once.
void AgentCore::applyDrain()
{
    const bool drains = m_drainRequested || m_leavingInMembership;
    if (drains == m_draining)
        return;
    m_draining = drains;
    m_counters->set(Gauge::Draining, drains ? 1 : 0);
    while (drains && !m_queue.empty())
        refuseRun(*m_runs.at(m_queue.begin()->second), ErrorKind::AgentLeaving, "draining");
    reportLoad(true, m_reportedAt);
}

/// Queued requests are refused, so that routers place them elsewhere.
void AgentCore::upstreamRequestedBackoff(Duration retryAfter, Time now)
{
    m_backoffUntil = std::max(m_backoffUntil, now + std::min(retryAfter, maxBackoff));
    m_isBackingOff = now < m_backoffUntil;
    while (m_isBackingOff && !m_queue.empty())
        refuseRun(*m_runs.at(m_queue.begin()->second), ErrorKind::AgentBusy,
                  "the upstream requested a backoff");
    reportLoad(true, now);
}

bool AgentCore::idle() const
{
    return m_unsettled.empty();
}

std::optional<Duration> AgentCore::tightestTokenGapTarget() const
{
    std::optional<Duration> tightest;
    for (const RequestId &id : m_unsettled) {
        const Run &run = *m_runs.at(id);
        if (run.state != Run::State::Running || run.dispatch->interTokenMicros == 0)
            continue;
        const Duration target = std::chrono::microseconds(run.dispatch->interTokenMicros);
        tightest = std::min(tightest.value_or(target), target);
    }
    return tightest;
}

void AgentCore::tick(Time now)
{
    isResuming(now);
    m_lastTickAt = now;
    m_isBackingOff = now < m_backoffUntil;
    m_window.adjust(now, static_cast<std::uint32_t>(m_running), tightestTokenGapTarget());
    cancelDetached(now);
    dropExpired(now);
    startQueued(now);
    reportLoad(false, now);
    m_counters->set(Gauge::Running, static_cast<std::int64_t>(m_running));
    m_counters->set(Gauge::Queued, static_cast<std::int64_t>(m_queue.size()));
    m_counters->set(Gauge::Window, m_window.size());
}

std::vector<AgentAction> AgentCore::takeActions()
{
    return std::exchange(m_actions, {});
}

std::vector<std::pair<SessionId, std::uint16_t>> AgentCore::heartbeatPorts() const
{
    std::vector<std::pair<SessionId, std::uint16_t>> ports;
    for (const auto &[id, session] : m_sessions) {
        if (session.heartbeatPort != 0)
            ports.emplace_back(id, session.heartbeatPort);
    }
    return ports;
}

} // namespace reachlead
