// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "agentcore_pvt.h"

#include <algorithm>
#include <ranges>

namespace reachlead {

namespace {

/// Load changes are told to routers no more often than this.
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
        const auto isTheirs = [&](const RequestId &id) {
            const Run &run = *m_runs.at(id);
            return run.session == session && run.state != Run::State::Finished;
        };
        load.recipientRequests =
            static_cast<std::uint32_t>(std::ranges::count_if(m_unsettled, isTheirs));
    }
    return load;
}

void AgentCore::reportLoad(bool atOnce, Time now)
{
    Load present = load(std::nullopt);
    present.sequence = m_told.sequence;
    if (present == m_told || (!atOnce && now - m_toldAt < loadInterval))
        return;
    // Everybody hears what decides whether to send here at all. The rest goes to those whose own
    // requests changed; the others get it with the next heartbeat.
    const auto hasRoom = [](const Load &l) { return l.running + l.queued < l.window; };
    const bool everybody = present.leaving != m_told.leaving || hasRoom(present) != hasRoom(m_told);
    present.sequence = ++m_loadSequence;
    m_told = present;
    m_toldAt = now;
    for (auto &[id, session] : m_sessions) {
        if (everybody || session.touched)
            m_actions.emplace_back(SendToRouter{id, LoadReport{load(id)}});
        session.touched = false;
    }
}

void AgentCore::touch(std::optional<SessionId> session)
{
    const auto it = session ? m_sessions.find(*session) : m_sessions.end();
    if (it != m_sessions.end())
        it->second.touched = true;
}

void AgentCore::drain()
{
    m_toldToDrain = true;
    applyDrain();
}

void AgentCore::undrain()
{
    m_toldToDrain = false;
    m_leavingByList = false;
    applyDrain();
}

/// Leaves while either source says so, and tells the routers at once.
void AgentCore::applyDrain()
{
    const bool leaves = m_toldToDrain || m_leavingByList;
    if (leaves == m_draining)
        return;
    m_draining = leaves;
    m_counters->set(Gauge::Draining, leaves ? 1 : 0);
    while (leaves && !m_queue.empty())
        refuseRun(*m_runs.at(m_queue.begin()->second), ErrorKind::AgentLeaving, "draining");
    reportLoad(true, m_toldAt);
}

/// What waits is given back, so that routers place it elsewhere.
void AgentCore::upstreamRequestedBackoff(Duration retryAfter, Time now)
{
    m_backoffUntil = std::max(m_backoffUntil, now + std::min(retryAfter, maxBackoff));
    m_isBackingOff = now < m_backoffUntil;
    while (m_isBackingOff && !m_queue.empty())
        refuseRun(*m_runs.at(m_queue.begin()->second), ErrorKind::AgentBusy,
                  "the upstream asked to back off");
    reportLoad(true, now);
}

bool AgentCore::idle() const
{
    return m_unsettled.empty();
}

std::optional<Duration> AgentCore::tightestTarget() const
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
    wokeJustNow(now);
    m_tickedAt = now;
    m_isBackingOff = now < m_backoffUntil;
    m_window.adjust(now, static_cast<std::uint32_t>(m_running), tightestTarget());
    endGrace(now);
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
