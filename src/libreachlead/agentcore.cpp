// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "agentcore_pvt.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include <fmt/format.h>

namespace reachlead {

namespace {

/// A longer gap between two ticks means that the process was suspended.
constexpr Duration suspensionThreshold = milliseconds(500);

/// No call starts for this long after a suspension, while the messages received meanwhile are read.
constexpr Duration resumeHold = milliseconds(50);

} // namespace

// ---- building ---------------------------------------------------------------------------

AgentCore::Builder &AgentCore::Builder::vm(VmName v)
{
    m_vm = std::move(v);
    return *this;
}

AgentCore::Builder &AgentCore::Builder::zone(ZoneName z)
{
    m_zone = std::move(z);
    return *this;
}

AgentCore::Builder &AgentCore::Builder::incarnation(Incarnation i)
{
    m_incarnation = i;
    return *this;
}

AgentCore::Builder &AgentCore::Builder::target(TargetName t)
{
    m_target = std::move(t);
    return *this;
}

AgentCore::Builder &AgentCore::Builder::softwareVersion(SoftwareVersion v)
{
    m_softwareVersion = std::move(v);
    return *this;
}

AgentCore::Builder &AgentCore::Builder::tuning(AgentTuning t)
{
    m_tuning = t;
    return *this;
}

AgentCore::Builder &AgentCore::Builder::counters(Counters *c)
{
    m_counters = c;
    return *this;
}

std::unique_ptr<AgentCore> AgentCore::Builder::build() const
{
    return std::unique_ptr<AgentCore>(new AgentCore(*this));
}

AgentCore::AgentCore(const Builder &from)
    : m_vm(from.m_vm), m_zone(from.m_zone), m_incarnation(from.m_incarnation),
      m_target(from.m_target), m_softwareVersion(from.m_softwareVersion), m_tuning(from.m_tuning),
      m_counters(from.m_counters), m_window(from.m_tuning.window)
{
    if (!m_counters) {
        m_ownCounters = std::make_unique<Counters>();
        m_counters = m_ownCounters.get();
    }
}

AgentCore::~AgentCore() = default;

// ---- sessions ---------------------------------------------------------------------------

void AgentCore::message(SessionId session, const ToAgent &message, Time now)
{
    const bool isHello = std::holds_alternative<Hello>(message);
    const bool known = m_sessions.contains(session);
    if (isHello == known) {
        // A second Hello, or a message of a session that was destroyed or never sent Hello. Frames
        // of an older session that were still in transit must not be applied.
        m_counters->add(Counter::StaleFrames);
        if (known)
            destroySession(session, "second Hello on one session", now);
        return;
    }
    std::visit([&](const auto &m) { handle(session, m, now); }, message);
}

void AgentCore::handle(SessionId session, const Hello &message, Time now)
{
    if (message.version != protocolVersion) {
        m_actions.emplace_back(CloseSession{session, "protocol version mismatch"});
        return;
    }
    std::vector<SessionId> older;
    for (const auto &[id, other] : m_sessions) {
        if (other.incarnation != message.incarnation)
            continue;
        if (other.number >= message.session) {
            m_actions.emplace_back(CloseSession{session, "a newer session exists"});
            return;
        }
        older.push_back(id);
    }
    for (const SessionId id : older)
        destroySession(id, "superseded", now);
    m_sessions[session] =
        Session{message.vm, message.incarnation, message.session, message.heartbeatPort};
    m_counters->add(Counter::SessionsOpened);
    m_counters->set(Gauge::Sessions, static_cast<std::int64_t>(m_sessions.size()));
    Welcome welcome;
    welcome.vm = m_vm;
    welcome.zone = m_zone;
    welcome.incarnation = m_incarnation;
    welcome.target = m_target;
    welcome.softwareVersion = m_softwareVersion;
    welcome.load = load(session);
    m_actions.emplace_back(SendToRouter{session, welcome});
}

void AgentCore::sessionClosed(SessionId session, Time now)
{
    if (m_sessions.erase(session) == 0)
        return;
    m_counters->add(Counter::SessionsLost);
    m_counters->set(Gauge::Sessions, static_cast<std::int64_t>(m_sessions.size()));
    detach(session, now);
}

void AgentCore::destroySession(SessionId session, const std::string &reason, Time now)
{
    sessionClosed(session, now);
    m_actions.emplace_back(CloseSession{session, reason});
}

/// Detaches the session's attempts from their router. Attempts that were not started are refused
/// and dropped: the router will query them, and NeverReceived is then correct.
void AgentCore::detach(SessionId session, Time now)
{
    std::vector<RequestId> queued;
    const std::vector<RequestId> unsettled(m_unsettled.begin(), m_unsettled.end());
    for (const RequestId &id : unsettled) {
        Run &run = *m_runs.at(id);
        if (run.session != session)
            continue;
        run.session.reset();
        run.detachedAt = now;
        eraseIfSettled(run);
        if (run.state == Run::State::Queued)
            queued.push_back(id);
    }
    for (const RequestId &id : queued)
        refuseRun(*m_runs.at(id), ErrorKind::Superseded, "session lost");
}

// ---- dispatches -------------------------------------------------------------------------

void AgentCore::refuse(SessionId session, const AttemptKey &key, ErrorKind kind, std::string reason)
{
    m_counters->refused(kind);
    m_actions.emplace_back(
        SendToRouter{session, Refused{key.id, key.attempt, kind, std::move(reason)}});
}

void AgentCore::handle(SessionId session, const Dispatch &message, Time now)
{
    const AttemptKey key{message.id, message.attempt};
    const auto old = m_runs.find(message.id);
    if (old != m_runs.end()) {
        if (old->second->dispatch->attempt >= message.attempt) {
            m_counters->add(Counter::StaleFrames);
            return;
        }
        cancel(*old->second, now);
        evictRecord(message.id);
    }
    if (m_draining) {
        refuse(session, key, ErrorKind::AgentLeaving, "draining");
        return;
    }
    if (m_isBackingOff) {
        refuse(session, key, ErrorKind::AgentBusy, "the upstream requested a backoff");
        return;
    }
    if (message.tier >= tierCount) {
        refuse(session, key, ErrorKind::BadRequest, "tier out of range");
        return;
    }
    if (!message.idempotencyKey.empty() && replayByKey(session, message))
        return;
    auto run = std::make_unique<Run>();
    run->dispatch = std::make_shared<const Dispatch>(message);
    run->session = session;
    run->creditLimit = message.credit;
    run->arrival = m_arrivals++;
    Run &added = *run;
    m_runs[message.id] = std::move(run);
    m_unsettled.insert(message.id);
    markLoadChanged(session);
    if (!message.idempotencyKey.empty())
        m_byKey[{message.account, message.idempotencyKey}] = message.id;
    enqueue(added);
    startQueued(now);
    preemptForQueued(now);
    shedQueue();
}

/// Answers a repeated idempotency key from the records of this agent. Returns true when the request
/// was answered or refused and must not run.
bool AgentCore::replayByKey(SessionId session, const Dispatch &message)
{
    const auto it = m_byKey.find({message.account, message.idempotencyKey});
    if (it == m_byKey.end() || !m_runs.contains(it->second))
        return false;
    const Run &first = *m_runs.at(it->second);
    const AttemptKey key{message.id, message.attempt};
    if (first.state != Run::State::Finished) {
        refuse(session, key, ErrorKind::KeyInUse, "the first call with this key is in progress");
        return true;
    }
    AttemptResult result = first.result;
    if (result.kind != ErrorKind::None || first.dispatch->stream)
        return false; // claiming the key decides
    result.id = message.id;
    result.attempt = message.attempt;
    m_actions.emplace_back(SendToRouter{session, Started{message.id, message.attempt}});
    m_actions.emplace_back(SendToRouter{session, std::move(result)});
    return true;
}

void AgentCore::enqueue(Run &run)
{
    run.state = Run::State::Queued;
    m_queue.emplace(std::pair(run.dispatch->tier, run.arrival), run.dispatch->id);
}

/// Refuses queued requests above the limit: the lowest tier first, the newest within a tier.
void AgentCore::shedQueue()
{
    while (m_queue.size() > m_tuning.queueBound) {
        const RequestId victim = m_queue.rbegin()->second;
        refuseRun(*m_runs.at(victim), ErrorKind::AgentBusy, "the agent's queue is full");
    }
}

/// True shortly after the process was suspended: messages received meanwhile (a cancel, a request
/// to leave, a newer session) may still be unread.
bool AgentCore::isResuming(Time now)
{
    if (m_lastTickAt && now - *m_lastTickAt > suspensionThreshold)
        m_holdUntil = now + resumeHold;
    return now < m_holdUntil;
}

/// The running attempts that may be preempted, by tier, oldest first: streams that can be resumed
/// elsewhere, of classes that have more calls running than their floor.
std::map<std::uint8_t, std::vector<AgentCore::Run *>> AgentCore::preemptibleRuns() const
{
    std::map<ClassName, std::size_t> runningByClass;
    std::vector<Run *> runs;
    for (const RequestId &id : m_unsettled) {
        Run &run = *m_runs.at(id);
        if (run.state != Run::State::Running)
            continue;
        ++runningByClass[run.dispatch->cls];
        if (run.dispatch->stream && run.dispatch->repeatable && run.dispatch->preemptible)
            runs.push_back(&run);
    }
    std::ranges::sort(runs, std::greater(), &Run::arrival);
    std::map<std::uint8_t, std::vector<Run *>> byTier;
    for (Run *run : runs) {
        const double kept = std::ceil(run->dispatch->floor * m_window.size());
        std::size_t &left = runningByClass[run->dispatch->cls];
        if (static_cast<double>(left) <= kept)
            continue;
        --left;
        auto &row = byTier[run->dispatch->tier];
        row.insert(row.begin(), run);
    }
    return byTier;
}

/// Preempts one running attempt for each queued request of a higher tier: the newest of the lowest
/// tier. The router keeps the tokens of a preempted attempt and resumes after them.
void AgentCore::preemptForQueued(Time now)
{
    if (m_queue.empty() || isResuming(now))
        return;
    auto byTier = preemptibleRuns();
    std::size_t wanted = m_queue.size();
    auto waiting = m_queue.begin();
    std::vector<Run *> victims;
    while (wanted-- > 0 && !byTier.empty()) {
        auto lowest = std::prev(byTier.end());
        if (lowest->first <= waiting->first.first)
            break;
        victims.push_back(lowest->second.back());
        lowest->second.pop_back();
        if (lowest->second.empty())
            byTier.erase(lowest);
        ++waiting;
    }
    for (Run *run : victims) {
        m_counters->add(Counter::Preempted);
        m_actions.emplace_back(CancelUpstreamCall{run->key()});
        AttemptResult result = makeFailure(*run, ErrorKind::Preempted, "");
        finish(*run, std::move(result), now); // starts a queued request
    }
}

void AgentCore::startQueued(Time now)
{
    if (isResuming(now) || m_isBackingOff)
        return;
    while (!m_queue.empty() && m_running < m_window.size()) {
        Run &run = *m_runs.at(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        ++m_running;
        if (!run.dispatch->idempotencyKey.empty()) {
            run.state = Run::State::Claiming;
            m_actions.emplace_back(
                MakeClaim{run.key(), run.dispatch->account, run.dispatch->idempotencyKey});
        } else {
            start(run, now);
        }
    }
}

void AgentCore::start(Run &run, Time now)
{
    run.state = Run::State::Running;
    run.startedAt = now;
    run.lastTokenAt = now;
    m_actions.emplace_back(StartUpstreamCall{run.key(), run.dispatch});
    send(run, Started{run.dispatch->id, run.dispatch->attempt});
}

void AgentCore::claimCompleted(const AttemptKey &key, ClaimResult result, Time now)
{
    Run *run = findRun(key);
    if (!run || run->state != Run::State::Claiming) {
        return;
    }
    switch (result) {
    case ClaimResult::Granted:
        run->claimed = true;
        m_counters->add(Counter::ClaimsMade);
        if (!run->session)
            refuseRun(*run, ErrorKind::Superseded, "router disconnected before the start");
        else if (m_draining)
            refuseRun(*run, ErrorKind::AgentLeaving, "draining");
        else if (isResuming(now))
            refuseRun(*run, ErrorKind::AgentBusy, "the process was suspended during the claim");
        else
            start(*run, now);
        break;
    case ClaimResult::Taken:
        refuseRun(*run, ErrorKind::KeyAnswered, "another request has claimed the key");
        break;
    case ClaimResult::StoreDown:
        refuseRun(*run, ErrorKind::ClaimStoreDown, "the claim could not be written");
        break;
    }
    startQueued(now);
}

void AgentCore::handle(SessionId /*session*/, const Cancel &message, Time now)
{
    if (Run *run = findRun({message.id, message.attempt}))
        cancel(*run, now);
    startQueued(now);
}

void AgentCore::handle(SessionId session, const Credit &message, Time /*now*/)
{
    Run *run = findRun({message.id, message.attempt});
    if (!run || run->session != session)
        return;
    run->creditLimit += message.tokens;
    flush(*run);
}

void AgentCore::handle(SessionId /*session*/, const Leaving &message, Time /*now*/)
{
    m_leavingInMembership = message.leaving;
    applyDrain();
}

void AgentCore::handle(SessionId session, const AttemptQuery &message, Time /*now*/)
{
    AttemptQueryReply reply{message.id, message.attempt, AttemptState::NeverReceived};
    Run *run = findRun({message.id, message.attempt});
    if (!run) {
        const auto highWaterMark = m_evicted.find(message.id.router.value);
        const bool mayBeEvicted = highWaterMark == m_evicted.end()
            ? m_evictedIncomplete
            : message.id.sequence <= highWaterMark->second;
        if (mayBeEvicted)
            reply.state = AttemptState::Evicted;
        m_actions.emplace_back(SendToRouter{session, reply});
        return;
    }
    reply.state = AttemptState::Held;
    m_actions.emplace_back(SendToRouter{session, reply});
    run->session = session;
    const std::uint64_t before = run->dispatch->resumeFrom;
    run->sent = message.receivedTokens > before
        ? std::min(message.receivedTokens - before, run->tokens())
        : 0;
    run->creditLimit = run->sent + message.credit;
    run->resultSent = false;
    m_unsettled.insert(message.id);
    flush(*run);
}

} // namespace reachlead
