// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "agentcore_pvt.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include <fmt/format.h>

namespace reachlead {

namespace {

/// A gap between two ticks that means the process stood still.
constexpr Duration pauseLimit = milliseconds(500);

/// After standing still, nothing starts for so long, while what came meanwhile is read.
constexpr Duration wakeHold = milliseconds(50);

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
      m_target(from.m_target), m_tuning(from.m_tuning), m_counters(from.m_counters),
      m_window(from.m_tuning.window)
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
    const bool greets = std::holds_alternative<Hello>(message);
    const bool known = m_sessions.contains(session);
    if (greets == known) {
        // A second Hello, or a message of a session that was destroyed or never greeted: what an
        // older session still had on its way must not be applied.
        m_counters->add(Counter::StaleFrames);
        if (known)
            destroySession(session, "greeted twice", now);
        return;
    }
    std::visit([&](const auto &m) { handle(session, m, now); }, message);
}

void AgentCore::handle(SessionId session, const Hello &message, Time now)
{
    if (message.version != protocolVersion) {
        m_actions.emplace_back(CloseSession{session, "other protocol version"});
        return;
    }
    std::vector<SessionId> older;
    for (const auto &[id, other] : m_sessions) {
        if (other.incarnation != message.incarnation)
            continue;
        if (other.number >= message.session) {
            m_actions.emplace_back(CloseSession{session, "a newer session stands"});
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

/// Leaves the session's attempts without a router for the time being. What has not left the gate
/// is refused: its router will ask, and `never seen` is then the truth.
void AgentCore::detach(SessionId session, Time now)
{
    std::vector<RequestId> waiting;
    const std::vector<RequestId> unsettled(m_unsettled.begin(), m_unsettled.end());
    for (const RequestId &id : unsettled) {
        Run &run = *m_runs.at(id);
        if (run.session != session)
            continue;
        run.session.reset();
        run.detachedAt = now;
        settle(run);
        if (run.state == Run::State::Queued)
            waiting.push_back(id);
    }
    for (const RequestId &id : waiting)
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
        forget(message.id);
    }
    if (m_draining) {
        refuse(session, key, ErrorKind::AgentLeaving, "draining");
        return;
    }
    if (m_isBackingOff) {
        refuse(session, key, ErrorKind::AgentBusy, "the upstream asked to back off");
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
    run->allowed = message.credit;
    run->arrival = m_arrivals++;
    Run &kept = *run;
    m_runs[message.id] = std::move(run);
    m_unsettled.insert(message.id);
    touch(session);
    if (!message.idempotencyKey.empty())
        m_byKey[{message.account, message.idempotencyKey}] = message.id;
    enqueue(kept);
    startQueued(now);
    preemptForQueued(now);
    shedQueue();
}

/// Answers a repeated key from what this agent holds. True when the request needs no run.
bool AgentCore::replayByKey(SessionId session, const Dispatch &message)
{
    const auto it = m_byKey.find({message.account, message.idempotencyKey});
    if (it == m_byKey.end() || !m_runs.contains(it->second))
        return false;
    const Run &first = *m_runs.at(it->second);
    const AttemptKey key{message.id, message.attempt};
    if (first.state != Run::State::Finished) {
        refuse(session, key, ErrorKind::KeyInUse, "first call in progress");
        return true;
    }
    AttemptResult end = first.end;
    if (end.kind != ErrorKind::None || first.dispatch->stream)
        return false; // the claim decides
    end.id = message.id;
    end.attempt = message.attempt;
    m_actions.emplace_back(SendToRouter{session, Started{message.id, message.attempt}});
    m_actions.emplace_back(SendToRouter{session, std::move(end)});
    return true;
}

void AgentCore::enqueue(Run &run)
{
    run.state = Run::State::Queued;
    m_queue.emplace(std::pair(run.dispatch->tier, run.arrival), run.dispatch->id);
}

/// Refuses what is over the bound: the lowest tier first, in it the newest.
void AgentCore::shedQueue()
{
    while (m_queue.size() > m_tuning.queueBound) {
        const RequestId victim = m_queue.rbegin()->second;
        refuseRun(*m_runs.at(victim), ErrorKind::AgentBusy, "no room");
    }
}

/// True while the process cannot know yet what it missed: it stood still for long, and what came
/// meanwhile (a cancel, an order to leave, a newer session) may still be unread.
bool AgentCore::wokeJustNow(Time now)
{
    if (m_tickedAt && now - *m_tickedAt > pauseLimit)
        m_holdUntil = now + wakeHold;
    return now < m_holdUntil;
}

/// The running attempts that may be stopped, by tier, oldest first: streams that can go on
/// elsewhere, of classes that run more than their floor.
std::map<std::uint8_t, std::vector<AgentCore::Run *>> AgentCore::preemptibleRuns() const
{
    std::map<ClassName, std::size_t> runningOf;
    std::vector<Run *> runs;
    for (const RequestId &id : m_unsettled) {
        Run &run = *m_runs.at(id);
        if (run.state != Run::State::Running)
            continue;
        ++runningOf[run.dispatch->cls];
        if (run.dispatch->stream && run.dispatch->repeatable && run.dispatch->preemptible)
            runs.push_back(&run);
    }
    std::ranges::sort(runs, std::greater(), &Run::arrival);
    std::map<std::uint8_t, std::vector<Run *>> byTier;
    for (Run *run : runs) {
        const double kept = std::ceil(run->dispatch->floor * m_window.size());
        std::size_t &left = runningOf[run->dispatch->cls];
        if (static_cast<double>(left) <= kept)
            continue;
        --left;
        auto &row = byTier[run->dispatch->tier];
        row.insert(row.begin(), run);
    }
    return byTier;
}

/// Stops the newest of the lowest tier for each waiting request of a higher one. What was stopped
/// goes back to its router with the tokens it made, and goes on from there.
void AgentCore::preemptForQueued(Time now)
{
    if (m_queue.empty() || wokeJustNow(now))
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
        AttemptResult end;
        end.kind = ErrorKind::Preempted;
        end.tokens = run->tokens();
        end.hash = XXH64(run->text.data(), run->text.size(), 0);
        finish(*run, std::move(end), now); // starts the one that waits
    }
}

void AgentCore::startQueued(Time now)
{
    if (wokeJustNow(now) || m_isBackingOff)
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
    run.tokenAt = now;
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
            refuseRun(*run, ErrorKind::Superseded, "router away before the start");
        else if (m_draining)
            refuseRun(*run, ErrorKind::AgentLeaving, "draining");
        else if (wokeJustNow(now))
            refuseRun(*run, ErrorKind::AgentBusy, "stood still during the claim");
        else
            start(*run, now);
        break;
    case ClaimResult::Taken:
        refuseRun(*run, ErrorKind::KeyAnswered, "the key is claimed by another request");
        break;
    case ClaimResult::StoreDown:
        refuseRun(*run, ErrorKind::ClaimStoreDown, "claim could not be written");
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
    run->allowed += message.tokens;
    flush(*run);
}

void AgentCore::handle(SessionId /*session*/, const Leaving &message, Time /*now*/)
{
    m_leavingByList = message.leaving;
    applyDrain();
}

void AgentCore::handle(SessionId session, const AttemptQuery &message, Time /*now*/)
{
    AttemptQueryReply reply{message.id, message.attempt, AttemptState::NeverReceived};
    Run *run = findRun({message.id, message.attempt});
    if (!run) {
        const auto mark = m_forgotten.find(message.id.router.value);
        const bool mayBeForgotten =
            mark == m_forgotten.end() ? m_marksLost : message.id.sequence <= mark->second;
        if (mayBeForgotten)
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
    run->allowed = run->sent + message.credit;
    run->endSent = false;
    m_unsettled.insert(message.id);
    flush(*run);
}

} // namespace reachlead
