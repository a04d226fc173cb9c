// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routercore_pvt.h"

#include <algorithm>
#include <ranges>

namespace reachlead {

void RouterCore::agentConnected(const Welcome &welcome, Time now)
{
    auto &agent = m_agents[welcome.vm];
    if (!agent) {
        agent = std::make_unique<Agent>();
        agent->name = welcome.vm;
    }
    if (agent->target != welcome.target) {
        if (const auto old = m_targets.find(agent->target); old != m_targets.end())
            std::erase(old->second->agents, agent->name);
        findOrAddTarget(welcome.target).agents.push_back(agent->name);
    }
    if (agent->incarnation != welcome.incarnation) {
        agent->heartbeatSequence = 0;
        agent->load = Load();
        agent->isLeavingInMembership = false;
    }
    agent->zone = welcome.zone;
    agent->target = welcome.target;
    agent->softwareVersion = welcome.softwareVersion;
    agent->incarnation = welcome.incarnation;
    agent->up = true;
    agent->lastReceived = now;
    findOrAddTarget(agent->target).lastAgentUpAt = now;
    m_counters->add(Counter::SessionsOpened);
    m_counters->adjust(Gauge::Sessions, 1);
    updateLoad(*agent, welcome.load);
    if (agent->isLeavingInMembership)
        m_actions.emplace_back(SendToAgent{agent->name, Leaving{true}});
    recoverAttempts(*agent, now);
    dispatchQueued(findOrAddTarget(agent->target), now);
}

void RouterCore::agentDisconnected(const VmName &name, Time now)
{
    Agent *agent = findAgent(name);
    if (!agent || !agent->up)
        return;
    agent->up = false;
    m_counters->add(Counter::SessionsLost);
    m_counters->adjust(Gauge::Sessions, -1);
    for (const RequestId &id : agent->localRequests) {
        Request *request = findRequest(id);
        if (!request || !apply(*request, RequestEvent::SessionLost))
            continue;
        const bool mayRepeat = request->callerRequest.repeatable;
        awaitRecovery(*request,
                      now + (mayRepeat ? m_tuning.repeatableWait : m_tuning.recoveryWait));
    }
}

/// Queries the agent about each attempt of the earlier session. The agent closed that session
/// before it replied to Hello, so its reply is final. An agent of another incarnation cannot know
/// what its predecessor ran, and is not queried.
void RouterCore::recoverAttempts(Agent &agent, Time now)
{
    const std::vector<RequestId> unresolved(agent.localRequests.begin(), agent.localRequests.end());
    for (const RequestId &id : unresolved) {
        Request *request = findRequest(id);
        if (!request) {
            agent.localRequests.erase(id);
            continue;
        }
        if (request->lifecycle.state() != RequestState::Recovering)
            continue;
        if (request->agentIncarnation != agent.incarnation) {
            attemptFailed(*request, ErrorKind::AgentLost, Outcome::Unknown, "agent restarted", now);
            continue;
        }
        m_counters->add(Counter::Queries);
        awaitRecovery(*request, now + m_tuning.recoveryWait);
        const std::uint64_t unconsumed = request->tokens - request->consumedTokens;
        const std::uint64_t credit =
            m_tuning.creditTokens > unconsumed ? m_tuning.creditTokens - unconsumed : 0;
        m_actions.emplace_back(
            SendToAgent{agent.name, AttemptQuery{id, request->attempt, request->tokens, credit}});
    }
}

/// Fails the attempts whose agent did not reconnect in time.
void RouterCore::expireRecoveries(Time now)
{
    while (!m_recoveryDeadlines.empty() && m_recoveryDeadlines.begin()->first <= now) {
        const auto [until, id] = *m_recoveryDeadlines.begin();
        m_recoveryDeadlines.erase(m_recoveryDeadlines.begin());
        Request *request = findRequest(id);
        if (!request || request->lifecycle.state() != RequestState::Recovering
            || request->recoveryDeadline != until)
            continue; // resolved in the meantime, or its wait was extended
        attemptFailed(*request, ErrorKind::AgentLost, Outcome::Unknown,
                      "agent did not reconnect in time", now);
    }
}

void RouterCore::awaitRecovery(Request &request, Time until)
{
    request.recoveryDeadline = until;
    m_recoveryDeadlines.emplace(until, request.callerRequest.id);
}

void RouterCore::heartbeat(const Heartbeat &message, Time now)
{
    Agent *agent = findAgent(message.vm);
    if (!agent || !agent->up || agent->incarnation != message.incarnation)
        return;
    if (message.sequence <= agent->heartbeatSequence)
        return; // duplicated or reordered
    agent->heartbeatSequence = message.sequence;
    agent->lastReceived = now;
    m_counters->add(Counter::HeartbeatsReceived);
    updateLoad(*agent, message.load);
    dispatchQueued(findOrAddTarget(agent->target), now);
}

void RouterCore::checkHeartbeats(Time now)
{
    for (auto &[name, agent] : m_agents) {
        if (!agent->up || now - agent->lastReceived <= m_tuning.heartbeatLimit)
            continue;
        m_actions.emplace_back(DropSession{name, "no heartbeat"});
        agentDisconnected(name, now);
    }
}

void RouterCore::updateLoad(Agent &agent, const Load &load)
{
    if (load.sequence < agent.load.sequence)
        return; // a datagram that arrived after a later report
    agent.load = load;
    agent.full = false;
}

void RouterCore::setAgentLeaving(const VmName &name, bool leaving, Time now)
{
    Agent *agent = findAgent(name);
    if (!agent || agent->isLeavingInMembership == leaving)
        return;
    agent->isLeavingInMembership = leaving;
    if (agent->up)
        m_actions.emplace_back(SendToAgent{name, Leaving{leaving}});
    dispatchQueued(findOrAddTarget(agent->target), now);
}

void RouterCore::removeAgent(const VmName &name, Time now)
{
    Agent *agent = findAgent(name);
    if (!agent)
        return;
    agentDisconnected(name, now);
    const std::vector<RequestId> held(agent->localRequests.begin(), agent->localRequests.end());
    for (const RequestId &id : held) {
        if (Request *request = findRequest(id))
            attemptFailed(*request, ErrorKind::AgentLost, Outcome::Unknown,
                          "agent was removed from the membership", now);
    }
    std::erase(findOrAddTarget(agent->target).agents, name);
    m_agents.erase(name);
}

std::size_t RouterCore::requestsAt(const VmName &name) const
{
    const auto it = m_agents.find(name);
    return it == m_agents.end() ? 0 : it->second->localRequests.size();
}

std::vector<AgentStatus> RouterCore::agents() const
{
    std::vector<AgentStatus> list;
    list.reserve(m_agents.size());
    for (const auto &[name, agent] : m_agents) {
        list.push_back({name, agent->zone, agent->target, agent->up, agent->leaving(), agent->load,
                        agent->localRequests.size(), agent->circuit.state()});
    }
    return list;
}

} // namespace reachlead
