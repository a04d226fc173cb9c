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
        targetOf(welcome.target).agents.push_back(agent->name);
    }
    if (agent->incarnation != welcome.incarnation) {
        agent->beatSequence = 0;
        agent->load = Load();
        agent->leavingByList = false;
    }
    agent->zone = welcome.zone;
    agent->target = welcome.target;
    agent->incarnation = welcome.incarnation;
    agent->up = true;
    agent->heardAt = now;
    targetOf(agent->target).upAt = now;
    m_counters->add(Counter::SessionsOpened);
    m_counters->adjust(Gauge::Sessions, 1);
    takeLoad(*agent, welcome.load);
    if (agent->leavingByList)
        m_actions.emplace_back(SendToAgent{agent->name, Leaving{true}});
    recover(*agent, now);
    pump(targetOf(agent->target), now);
}

void RouterCore::agentDisconnected(const VmName &name, Time now)
{
    Agent *agent = findAgent(name);
    if (!agent || !agent->up)
        return;
    agent->up = false;
    m_counters->add(Counter::SessionsLost);
    m_counters->adjust(Gauge::Sessions, -1);
    for (const RequestId &id : agent->mine) {
        Request *request = findRequest(id);
        if (!request || !apply(*request, RequestEvent::SessionLost))
            continue;
        const bool mayRepeat = request->ask.repeatable;
        doubt(*request, now + (mayRepeat ? m_tuning.repeatableWait : m_tuning.recoveryWait));
    }
}

/// Asks the agent what became of each attempt the older session carried. The agent destroyed that
/// session before it answered Hello, so its word is final. An agent of another incarnation cannot
/// know what its predecessor ran, and is not asked.
void RouterCore::recover(Agent &agent, Time now)
{
    const std::vector<RequestId> doubtful(agent.mine.begin(), agent.mine.end());
    for (const RequestId &id : doubtful) {
        Request *request = findRequest(id);
        if (!request) {
            agent.mine.erase(id);
            continue;
        }
        if (request->life.state() != RequestState::Recovering)
            continue;
        if (request->boundTo != agent.incarnation) {
            attemptFailed(*request, ErrorKind::AgentLost, Outcome::Unknown, "agent restarted", now);
            continue;
        }
        m_counters->add(Counter::Queries);
        doubt(*request, now + m_tuning.recoveryWait);
        const std::uint64_t unread = request->tokens - request->taken;
        const std::uint64_t credit =
            m_tuning.creditTokens > unread ? m_tuning.creditTokens - unread : 0;
        m_actions.emplace_back(
            SendToAgent{agent.name, AttemptQuery{id, request->attempt, request->tokens, credit}});
    }
}

/// Ends the wait for agents that did not come back in time.
void RouterCore::giveUpWaiting(Time now)
{
    while (!m_doubts.empty() && m_doubts.begin()->first <= now) {
        const auto [until, id] = *m_doubts.begin();
        m_doubts.erase(m_doubts.begin());
        Request *request = findRequest(id);
        if (!request || request->life.state() != RequestState::Recovering
            || request->doubtUntil != until)
            continue; // settled since, or waiting for longer
        attemptFailed(*request, ErrorKind::AgentLost, Outcome::Unknown, "agent did not return",
                      now);
    }
}

void RouterCore::doubt(Request &request, Time until)
{
    request.doubtUntil = until;
    m_doubts.emplace(until, request.ask.id);
}

void RouterCore::heartbeat(const Heartbeat &beat, Time now)
{
    Agent *agent = findAgent(beat.vm);
    if (!agent || !agent->up || agent->incarnation != beat.incarnation)
        return;
    if (beat.sequence <= agent->beatSequence)
        return; // doubled or overtaken
    agent->beatSequence = beat.sequence;
    agent->heardAt = now;
    m_counters->add(Counter::HeartbeatsReceived);
    takeLoad(*agent, beat.load);
    pump(targetOf(agent->target), now);
}

void RouterCore::watchHeartbeats(Time now)
{
    for (auto &[name, agent] : m_agents) {
        if (!agent->up || now - agent->heardAt <= m_tuning.heartbeatLimit)
            continue;
        m_actions.emplace_back(DropSession{name, "no heartbeat"});
        agentDisconnected(name, now);
    }
}

void RouterCore::takeLoad(Agent &agent, const Load &load)
{
    if (load.sequence < agent.load.sequence)
        return; // a datagram overtaken by a later report
    agent.load = load;
    agent.full = false;
}

void RouterCore::setAgentLeaving(const VmName &name, bool leaving, Time now)
{
    Agent *agent = findAgent(name);
    if (!agent || agent->leavingByList == leaving)
        return;
    agent->leavingByList = leaving;
    if (agent->up)
        m_actions.emplace_back(SendToAgent{name, Leaving{leaving}});
    pump(targetOf(agent->target), now);
}

void RouterCore::removeAgent(const VmName &name, Time now)
{
    Agent *agent = findAgent(name);
    if (!agent)
        return;
    agentDisconnected(name, now);
    const std::vector<RequestId> held(agent->mine.begin(), agent->mine.end());
    for (const RequestId &id : held) {
        if (Request *request = findRequest(id))
            attemptFailed(*request, ErrorKind::AgentLost, Outcome::Unknown, "agent left the list",
                          now);
    }
    std::erase(targetOf(agent->target).agents, name);
    m_agents.erase(name);
}

std::size_t RouterCore::requestsAt(const VmName &name) const
{
    const auto it = m_agents.find(name);
    return it == m_agents.end() ? 0 : it->second->mine.size();
}

std::vector<AgentStatus> RouterCore::agents() const
{
    std::vector<AgentStatus> list;
    list.reserve(m_agents.size());
    for (const auto &[name, agent] : m_agents) {
        list.push_back({name, agent->zone, agent->target, agent->up, agent->leaving(), agent->load,
                        agent->mine.size(), agent->circuit.state()});
    }
    return list;
}

} // namespace reachlead
