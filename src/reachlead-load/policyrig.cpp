// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "reachlead-load/policyrig_pvt.h"

#include <algorithm>

namespace reachlead::rig {

Rig::Rig(std::uint64_t seed, PoliciesPtr policies)
    : m_now(Time(seconds(1000))), m_random(seed), m_policies(std::move(policies))
{
    later(tickInterval, [this] { tickAll(); });
}

Rig::~Rig() = default;

// ---- building ---------------------------------------------------------------------------

void Rig::addRouter(const std::string &name, const std::string &zone, RouterStrategy strategy,
                    RouterTuning tuning)
{
    auto box = std::make_unique<RouterBox>();
    box->name = name;
    box->incarnation = Incarnation{m_random() | 1U};
    box->core = RouterCore::Builder()
                    .zone(ZoneName(zone))
                    .incarnation(box->incarnation)
                    .strategy(strategy)
                    .tuning(tuning)
                    .seed(m_random())
                    .counters(&counters)
                    .policies(m_policies)
                    .build();
    RouterBox &kept = *box;
    m_routers[name] = std::move(box);
    for (auto &[agentName, agent] : m_agents)
        connect(kept, *agent);
    for (auto &[other, router] : m_routers)
        router->core->setAccountLimitShare(1.0 / static_cast<double>(m_routers.size()));
}

void Rig::addAgent(const std::string &name, const std::string &zone, const TargetName &target,
                   AgentTuning tuning, UpstreamSpeed speed)
{
    auto box = std::make_unique<AgentBox>();
    box->name = name;
    box->zone = zone;
    box->target = target;
    box->tuning = tuning;
    box->speed = speed;
    m_agents[name] = std::move(box);
    restartAgent(name);
}

// ---- events -----------------------------------------------------------------------------

void Rig::at(Time time, std::function<void()> action)
{
    m_events.push({time, m_order++, std::move(action)});
}

void Rig::later(Duration delay, std::function<void()> action)
{
    at(m_now + delay, std::move(action));
}

/// Runs an action of the agent's process; while it is paused the action waits, in order.
void Rig::toAgent(AgentBox &agent, std::function<void()> action)
{
    if (m_now >= agent.pausedUntil) {
        action();
        return;
    }
    at(agent.pausedUntil, [this, &agent, action = std::move(action)] { toAgent(agent, action); });
}

bool Rig::runUntil(const std::function<bool()> &done, Duration most)
{
    const Time until = m_now + most;
    while (!done()) {
        if (m_events.empty() || m_events.top().at > until) {
            m_now = until;
            return false;
        }
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        event.action();
    }
    return true;
}

void Rig::run(Duration length)
{
    runUntil([] { return false; }, length);
}

void Rig::settle(Duration most)
{
    const Time until = m_now + most;
    const auto open = [this] {
        return std::ranges::any_of(
            callers, [](const auto &it) { return it.second.ends.empty() && !it.second.hungUp; });
    };
    while (m_now < until && open())
        run(milliseconds(100));
}

void Rig::tickAll()
{
    constexpr std::uint64_t ticksPerBeat = 100; // 500 ms
    for (auto &[name, router] : m_routers) {
        if (!router->alive)
            continue;
        router->core->tick(m_now);
        drain(*router);
    }
    for (auto &[name, box] : m_agents) {
        AgentBox &agent = *box;
        if (m_now < agent.pausedUntil)
            continue;
        agent.core->tick(m_now);
        drain(agent);
        agent.book->tick(m_now);
        claims(agent);
        if (++agent.beats % ticksPerBeat != 0 || agent.muted)
            continue;
        for (auto &[routerName, router] : m_routers) {
            const Link &l = link(routerName, name);
            if (!l.up || l.parted || !router->alive)
                continue;
            const Heartbeat beat{protocolVersion,
                                 VmName(name),
                                 Incarnation{agent.incarnation},
                                 agent.beats,
                                 agent.core->load(l.session),
                                 ""};
            RouterBox &to = *router;
            later(hop, [this, &to, beat] {
                to.core->heartbeat(beat, m_now);
                drain(to);
            });
        }
    }
    later(tickInterval, [this] { tickAll(); });
}

// ---- links ------------------------------------------------------------------------------

Rig::Link &Rig::link(const std::string &router, const std::string &agent)
{
    auto &entry = m_links[{router, agent}];
    if (!entry)
        entry = std::make_unique<Link>();
    return *entry;
}

void Rig::connect(RouterBox &router, AgentBox &agent)
{
    Link &l = link(router.name, agent.name);
    if (l.up || l.connecting || !router.alive)
        return;
    l.connecting = true;
    std::uniform_int_distribution<int> pause(10, 100);
    later(milliseconds(pause(m_random)), [this, &router, &agent, &l] {
        l.connecting = false;
        if (l.parted) {
            connect(router, agent);
            return;
        }
        l.session = SessionId{++m_sessions};
        const SessionId session = l.session;
        const Hello hello{
            protocolVersion, VmName(router.name), router.incarnation, ++l.number, 1, "", ""};
        toAgent(agent, [this, &agent, session, hello] {
            agent.core->message(session, hello, m_now);
            drain(agent);
        });
        // What an old socket still held is read late: the new session has asked and was answered.
        for (auto &[old, message] : std::exchange(l.held, {})) {
            later(10 * hop, [this, &agent, old = old, message = message] {
                toAgent(agent, [this, &agent, old, message] {
                    agent.core->message(old, message, m_now);
                    drain(agent);
                });
            });
        }
        l.holding = false;
    });
}

void Rig::cutSession(const std::string &routerName, const std::string &agentName)
{
    Link &l = link(routerName, agentName);
    if (!l.up)
        return;
    RouterBox &router = *m_routers.at(routerName);
    AgentBox &agent = *m_agents.at(agentName);
    const SessionId session = l.session;
    l.up = false;
    if (!l.holding) {
        toAgent(agent, [this, &agent, session] {
            agent.core->sessionClosed(session, m_now);
            drain(agent);
        });
    }
    if (router.alive) {
        router.core->agentDisconnected(VmName(agentName), m_now);
        drain(router);
    }
    connect(router, agent);
}

void Rig::holdMessages(const std::string &router, const std::string &agent)
{
    link(router, agent).holding = true;
}

void Rig::partition(const std::string &router, const std::string &agent, bool parted)
{
    link(router, agent).parted = parted;
}

void Rig::killRouter(const std::string &name)
{
    RouterBox &router = *m_routers.at(name);
    router.alive = false;
    for (auto &[agentName, agent] : m_agents)
        cutSession(name, agentName);
    for (auto &[id, record] : callers) {
        if (id.router == router.incarnation && record.ends.empty())
            record.hungUp = true; // its connection is gone with the router
    }
}

void Rig::restartAgent(const std::string &name)
{
    AgentBox &agent = *m_agents.at(name);
    agent.incarnation = m_random() | 1U;
    agent.calls.clear(); // its connections to the upstream are gone
    agent.pausedUntil = Time{};
    agent.core = AgentCore::Builder()
                     .vm(VmName(name))
                     .zone(ZoneName(agent.zone))
                     .incarnation(Incarnation{agent.incarnation})
                     .target(agent.target)
                     .tuning(agent.tuning)
                     .counters(&counters)
                     .build();
    agent.book = std::make_unique<ClaimTable>(agent.target, ClaimTuning{}, [this] {
        return std::chrono::duration_cast<seconds>(m_now.time_since_epoch()).count();
    });
    for (auto &[routerName, router] : m_routers) {
        cutSession(routerName, name);
        connect(*router, agent);
    }
}

void Rig::pauseAgent(const std::string &name, Duration length)
{
    m_agents.at(name)->pausedUntil = m_now + length;
}

void Rig::drainAgent(const std::string &name)
{
    AgentBox &agent = *m_agents.at(name);
    drainedAt[VmName(name)] = m_now;
    toAgent(agent, [this, &agent] {
        agent.core->drain();
        drain(agent);
    });
}

void Rig::memberLeaving(const std::string &router, const std::string &agent)
{
    drainedAt.emplace(VmName(agent), m_now);
    m_routers.at(router)->core->setAgentLeaving(VmName(agent), true, m_now);
    drain(*m_routers.at(router));
}

void Rig::slowUpstream(const std::string &agent, double factor)
{
    m_agents.at(agent)->slow = factor;
}

void Rig::crashUpstream(const std::string &name, Duration downFor)
{
    AgentBox &agent = *m_agents.at(name);
    agent.downUntil = m_now + downFor;
    for (const auto &[key, call] : std::exchange(agent.calls, {})) {
        toAgent(agent, [this, &agent, key = key] {
            agent.core->upstreamExited(key, m_now);
            agent.core->upstreamFailed(key, ErrorKind::UpstreamLost, Outcome::Unknown, "crash",
                                       m_now);
            drain(agent);
        });
    }
}

void Rig::endUpstreamsBy(const std::string &body, Duration downFor)
{
    m_endingBody = body;
    m_endedFor = downFor;
}

/// The call's content ends the upstream that has begun it.
void Rig::endBy(AgentBox &agent, const AttemptKey &key)
{
    if (!agent.calls.contains(key))
        return;
    upstreamEnds.push_back(m_now);
    crashUpstream(agent.name, m_endedFor);
}

void Rig::stallUpstream(const std::string &agent, bool stalled)
{
    m_agents.at(agent)->stalled = stalled;
}

void Rig::muteHeartbeats(const std::string &agent, bool muted)
{
    m_agents.at(agent)->muted = muted;
}

RouterCore &Rig::router(const std::string &name)
{
    return *m_routers.at(name)->core;
}

AgentCore &Rig::agent(const std::string &name)
{
    return *m_agents.at(name)->core;
}

// ---- actions of the routers -------------------------------------------------------------

RequestId Rig::send(const std::string &routerName, CallerRequest ask)
{
    RouterBox &router = *m_routers.at(routerName);
    ask.id = RequestId{router.incarnation, ++m_sequence};
    CallerRecord &record = callers[ask.id];
    record.ask = ask;
    record.plan = standin::planAnswer(ask.call.body);
    record.arrived = m_now;
    const RequestId id = ask.id;
    router.core->submitRequest(std::move(ask), m_now);
    drain(router);
    return id;
}

void Rig::hangUp(const RequestId &id)
{
    callers.at(id).hungUp = true;
    for (auto &[name, router] : m_routers) {
        if (router->incarnation != id.router || !router->alive)
            continue;
        router->core->callerDisconnected(id, m_now);
        drain(*router);
    }
}

void Rig::drain(RouterBox &router)
{
    std::vector<RouterAction> actions = router.core->takeActions();
    while (!actions.empty()) {
        for (RouterAction &action : actions)
            perform(router, action);
        actions = router.core->takeActions();
    }
}

void Rig::perform(RouterBox &router, RouterAction &action)
{
    if (const auto *told = std::get_if<SendToCaller>(&action)) {
        tell(*told);
        if (const auto *text = std::get_if<AnswerText>(&told->event))
            router.core->callerConsumed(told->id, text->tokens);
    } else if (const auto *dropped = std::get_if<DropSession>(&action)) {
        cutSession(router.name, dropped->agent.text);
    } else {
        const auto &sent = std::get<SendToAgent>(action);
        Link &l = link(router.name, sent.agent.text);
        if (!l.up || l.parted)
            return;
        AgentBox &agent = *m_agents.at(sent.agent.text);
        const SessionId session = l.session;
        later(hop, [this, &agent, &l, session, message = sent.message] {
            if (l.session != session || !l.up)
                return;
            if (l.holding) {
                l.held.emplace_back(session, message);
                return;
            }
            toAgent(agent, [this, &agent, session, message] {
                agent.core->message(session, message, m_now);
                drain(agent);
            });
        });
    }
}

void Rig::tell(const SendToCaller &told)
{
    CallerRecord &record = callers.at(told.id);
    if (const auto *text = std::get_if<AnswerText>(&told.event)) {
        record.text += text->text;
        record.tokens += text->tokens;
        record.lastAt = m_now;
        if (!record.firstAt)
            record.firstAt = m_now;
    } else if (std::holds_alternative<ServiceResponse>(told.event)) {
        record.whole = true;
        record.firstAt = m_now;
    } else {
        record.ends.push_back(std::get<AnswerResult>(told.event));
        record.endedAt = m_now;
    }
}

// ---- actions of the agents --------------------------------------------------------------

void Rig::drain(AgentBox &agent)
{
    std::vector<AgentAction> actions = agent.core->takeActions();
    while (!actions.empty()) {
        for (AgentAction &action : actions)
            perform(agent, action);
        actions = agent.core->takeActions();
    }
    claims(agent);
}

void Rig::perform(AgentBox &agent, AgentAction &action)
{
    if (auto *sent = std::get_if<SendToRouter>(&action)) {
        for (auto &[name, box] : m_routers) {
            Link &l = link(name, agent.name);
            if (l.session != sent->session || l.parted || !box->alive)
                continue;
            RouterBox &router = *box;
            later(hop,
                  [this, &router, &agent, &l, session = sent->session,
                   message = std::move(sent->message)] {
                      if (l.session != session || !router.alive)
                          return;
                      if (const auto *welcome = std::get_if<Welcome>(&message)) {
                          l.up = true;
                          router.core->agentConnected(*welcome, m_now);
                      } else {
                          router.core->agentMessage(VmName(agent.name), message, m_now);
                      }
                      drain(router);
                  });
            return;
        }
    } else if (const auto *start = std::get_if<StartUpstreamCall>(&action)) {
        startCall(agent, *start);
    } else if (const auto *cancelled = std::get_if<CancelUpstreamCall>(&action)) {
        agent.calls.erase(cancelled->key);
    } else if (const auto *claim = std::get_if<MakeClaim>(&action)) {
        agent.book->claim(*claim, m_now);
    } else if (const auto *release = std::get_if<ReleaseClaim>(&action)) {
        agent.book->release(*release, m_now);
    }
}

void Rig::startCall(AgentBox &agent, const StartUpstreamCall &start)
{
    const AttemptKey key = start.key;
    const std::uint64_t incarnation = agent.incarnation;
    if (m_now < agent.downUntil) {
        toAgent(agent, [this, &agent, key] {
            agent.core->upstreamFailed(key, ErrorKind::UpstreamUnreachable, Outcome::NotRun,
                                       "connection refused", m_now);
            drain(agent);
        });
        return;
    }
    starts[key.id].push_back({VmName(agent.name), key.attempt, m_now, false});
    Call call{start.dispatch, standin::planAnswer(start.dispatch->call.body),
              start.dispatch->resumeFrom};
    agent.calls[key] = std::move(call);
    if (!m_endingBody.empty() && start.dispatch->call.body == m_endingBody)
        later(agent.speed.prefill / 2, [=, this, &agent] { endBy(agent, key); });
    if (start.dispatch->stream)
        later(agent.speed.prefill, [=, this, &agent] { nextToken(agent, key, incarnation); });
    else
        later(agent.speed.service / 2, [=, this, &agent] { serve(agent, key, incarnation); });
}

void Rig::nextToken(AgentBox &agent, const AttemptKey &key, std::uint64_t incarnation)
{
    const auto it = agent.calls.find(key);
    if (it == agent.calls.end() || agent.incarnation != incarnation)
        return;
    Call &call = it->second;
    const auto others = static_cast<Duration::rep>(agent.calls.size() - 1);
    const Duration gap = agent.speed.step + agent.speed.stepPerRequest * others;
    const auto slowed = std::chrono::duration_cast<Duration>(gap * agent.slow);
    if (agent.stalled) {
        later(slowed, [=, this, &agent] { nextToken(agent, key, incarnation); });
        return;
    }
    const bool ends = call.next >= call.plan.tokens;
    const std::string text = ends ? "" : standin::answerToken(call.plan, call.next);
    ++call.next;
    if (ends) {
        agent.calls.erase(it);
    } else {
        ++tokensMade;
        starts[key.id].back().ran = true;
        // The last token and the end come together, as from a real engine.
        const bool last = call.next >= call.plan.tokens;
        later(last ? Duration::zero() : slowed,
              [=, this, &agent] { nextToken(agent, key, incarnation); });
    }
    toAgent(agent, [this, &agent, key, ends, text] {
        if (ends)
            agent.core->upstreamDone(key, m_now);
        else
            agent.core->upstreamToken(key, text, m_now);
        drain(agent);
    });
}

void Rig::serve(AgentBox &agent, const AttemptKey &key, std::uint64_t incarnation)
{
    const auto it = agent.calls.find(key);
    if (it == agent.calls.end() || agent.incarnation != incarnation)
        return;
    const Dispatch &dispatch = *it->second.dispatch;
    starts[key.id].back().ran = true;
    if (!dispatch.idempotencyKey.empty())
        ++runsByKey[{dispatch.account, dispatch.idempotencyKey}];
    later(agent.speed.service / 2, [this, &agent, key, incarnation] {
        if (agent.calls.erase(key) == 0 || agent.incarnation != incarnation)
            return;
        toAgent(agent, [this, &agent, key] {
            agent.core->upstreamAnswer(key, 200, {}, "done", m_now);
            drain(agent);
        });
    });
}

} // namespace reachlead::rig
