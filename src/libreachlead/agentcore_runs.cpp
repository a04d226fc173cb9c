// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "agentcore_pvt.h"

#include <algorithm>

namespace reachlead {

namespace {

/// Time between two looks for records that are old enough to be dropped.
constexpr Duration forgetInterval = seconds(1);

} // namespace

AgentCore::Run *AgentCore::findRun(const AttemptKey &key)
{
    const auto it = m_runs.find(key.id);
    if (it == m_runs.end() || it->second->dispatch->attempt != key.attempt)
        return nullptr;
    return it->second.get();
}

void AgentCore::send(const Run &run, ToRouter message)
{
    if (run.session)
        m_actions.emplace_back(SendToRouter{*run.session, std::move(message)});
}

/// Sends what the credit allows, and the end behind the last token.
void AgentCore::flush(Run &run)
{
    if (!run.session) {
        settle(run);
        return;
    }
    const std::uint64_t upTo = std::min(run.tokens(), run.allowed);
    if (run.sent < upTo) {
        const std::size_t begin = run.sent == 0 ? 0 : run.ends[run.sent - 1];
        const std::size_t end = run.ends[upTo - 1];
        Chunk chunk;
        chunk.id = run.dispatch->id;
        chunk.attempt = run.dispatch->attempt;
        chunk.from = run.dispatch->resumeFrom + run.sent;
        chunk.count = upTo - run.sent;
        chunk.text = run.text.substr(begin, end - begin);
        run.sent = upTo;
        send(run, std::move(chunk));
    }
    if (run.state == Run::State::Finished && run.sent == run.tokens() && !run.endSent) {
        run.endSent = true;
        send(run, run.end);
    }
    settle(run);
}

/// Takes a run from the unsettled ones once it is over and its end was sent, or has no router.
void AgentCore::settle(const Run &run)
{
    if (run.state == Run::State::Finished && (run.endSent || !run.session))
        m_unsettled.erase(run.dispatch->id);
}

void AgentCore::upstreamToken(const AttemptKey &key, std::string_view text, Time now)
{
    Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    if (run->text.size() + text.size() > m_tuning.maxAnswerBytes) {
        m_actions.emplace_back(CancelUpstreamCall{key});
        endFailed(*run, ErrorKind::UpstreamLost, Outcome::Ran, "answer too long", now);
        return;
    }
    if (run->tokens() > 0)
        m_window.observe(now - run->tokenAt, now);
    run->tokenAt = now;
    run->text += text;
    run->ends.push_back(run->text.size());
    flush(*run);
}

void AgentCore::upstreamDone(const AttemptKey &key, Time now)
{
    Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    AttemptResult end;
    end.tokens = run->tokens();
    end.hash = XXH64(run->text.data(), run->text.size(), 0);
    finish(*run, std::move(end), now);
}

void AgentCore::upstreamAnswer(const AttemptKey &key, unsigned status, std::vector<Header> headers,
                               std::string body, Time now)
{
    Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    AttemptResult end;
    end.status = status;
    end.headers = std::move(headers);
    end.body = std::move(body);
    finish(*run, std::move(end), now);
}

/// Tells all routers, ahead of the run's end: a request that ends upstreams comes to any of them,
/// and each would have to find it out by three upstreams of its own. Without it 30 of 30 tries of
/// such a request ended an engine, with it three.
void AgentCore::upstreamExited(const AttemptKey &key, Time now)
{
    const Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    // What began before the last end went down with the same life of the upstream.
    if (!m_endedAt || run->startedAt > *m_endedAt)
        ++m_livesEnded;
    m_endedAt = now;
    const RequestDigest request =
        computeDigest(requestContent(run->dispatch->account, run->dispatch->call));
    const UpstreamCrash loss{request, m_livesEnded};
    for (const auto &[session, router] : m_sessions)
        m_actions.emplace_back(SendToRouter{session, loss});
}

void AgentCore::upstreamFailed(const AttemptKey &key, ErrorKind kind, Outcome outcome,
                               const std::string &reason, Time now)
{
    Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    endFailed(*run, kind, outcome, reason, now);
}

void AgentCore::endFailed(Run &run, ErrorKind kind, Outcome outcome, const std::string &reason,
                          Time now)
{
    if (outcome == Outcome::NotRun && run.tokens() == 0) {
        refuseRun(run, kind, reason);
    } else {
        AttemptResult end;
        end.kind = kind;
        end.outcome = run.tokens() > 0 ? Outcome::Ran : outcome;
        end.reason = reason;
        end.tokens = run.tokens();
        end.hash = XXH64(run.text.data(), run.text.size(), 0);
        finish(run, std::move(end), now);
    }
    startQueued(now);
}

void AgentCore::finish(Run &run, AttemptResult end, Time now)
{
    leaveWindow(run);
    end.id = run.dispatch->id;
    end.attempt = run.dispatch->attempt;
    run.end = std::move(end);
    run.state = Run::State::Finished;
    run.finishedAt = now;
    m_finished.push_back(run.dispatch->id);
    flush(run);
    startQueued(now);
}

void AgentCore::leaveWindow(Run &run)
{
    touch(run.session);
    if (run.state == Run::State::Running || run.state == Run::State::Claiming)
        --m_running;
    if (run.state == Run::State::Queued)
        m_queue.erase({run.dispatch->tier, run.arrival});
}

/// Tells the proof that the attempt was not run, and drops its record: to be asked about it later
/// and to say `never seen` is the same truth.
void AgentCore::refuseRun(Run &run, ErrorKind kind, const std::string &reason)
{
    leaveWindow(run);
    if (run.claimed) {
        m_actions.emplace_back(
            ReleaseClaim{run.key(), run.dispatch->account, run.dispatch->idempotencyKey});
    }
    m_counters->refused(kind);
    send(run, Refused{run.dispatch->id, run.dispatch->attempt, kind, reason});
    const auto key = std::pair(run.dispatch->account, run.dispatch->idempotencyKey);
    if (const auto it = m_byKey.find(key); it != m_byKey.end() && it->second == run.dispatch->id)
        m_byKey.erase(it);
    const RequestId id = run.dispatch->id;
    m_unsettled.erase(id);
    m_runs.erase(id);
}

/// Stops an attempt whose answer nobody waits for. A call that must not be repeated and has
/// reached its upstream is left to finish: cutting it would leave its effect unknown.
void AgentCore::cancel(Run &run, Time now)
{
    switch (run.state) {
    case Run::State::Queued:
        run.session.reset();
        refuseRun(run, ErrorKind::CallerDisconnected, "cancelled before the start");
        break;
    case Run::State::Claiming:
        run.session.reset(); // the end of the claim finds no router and gives the key back
        break;
    case Run::State::Running:
        if (!run.dispatch->repeatable && !run.dispatch->stream)
            break;
        m_counters->add(Counter::UpstreamCancels);
        m_counters->add(Counter::TokensWasted, run.tokens());
        m_actions.emplace_back(CancelUpstreamCall{run.key()});
        run.session.reset();
        finish(
            run,
            AttemptResult{
                {}, 0, ErrorKind::CallerDisconnected, Outcome::Ran, "cancelled", 0, 0, 0, {}, {}},
            now);
        break;
    case Run::State::Finished:
        run.session.reset();
        settle(run);
        break;
    }
}

/// Cancels streams whose router did not come back.
void AgentCore::endGrace(Time now)
{
    std::vector<RequestId> over;
    for (const RequestId &id : m_unsettled) {
        const Run &run = *m_runs.at(id);
        const bool waits = run.state == Run::State::Running && !run.session;
        if (waits && now - run.detachedAt > m_tuning.reattachGrace)
            over.push_back(id);
    }
    for (const RequestId &id : over) {
        if (const auto it = m_runs.find(id); it != m_runs.end())
            cancel(*it->second, now);
    }
}

/// Drops a record and remembers that there may have been one, so that a later query is not
/// answered with `never seen`.
void AgentCore::forget(const RequestId &id)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end())
        return;
    const Dispatch &dispatch = *it->second->dispatch;
    if (const auto key = m_byKey.find({dispatch.account, dispatch.idempotencyKey});
        key != m_byKey.end() && key->second == id)
        m_byKey.erase(key);
    m_unsettled.erase(id);
    m_runs.erase(it);
    if (m_forgotten.size() >= m_tuning.maxRouters && !m_forgotten.contains(id.router.value)) {
        m_forgotten.erase(m_forgotten.begin());
        m_marksLost = true;
    }
    std::uint64_t &mark = m_forgotten[id.router.value];
    mark = std::max(mark, id.sequence);
}

void AgentCore::dropExpired(Time now)
{
    if (now - m_forgotAt < forgetInterval && m_finished.size() <= m_tuning.maxFinished)
        return;
    m_forgotAt = now;
    auto it = m_finished.begin();
    while (it != m_finished.end()) {
        const auto found = m_runs.find(*it);
        const bool gone = found == m_runs.end() || found->second->state != Run::State::Finished;
        const bool crowded = m_finished.size() > m_tuning.maxFinished;
        if (!gone && !crowded) {
            const Run &run = *found->second;
            const bool keyed = !run.dispatch->idempotencyKey.empty();
            const Duration keep = keyed ? m_tuning.answerRetention : m_tuning.finishedRetention;
            const bool unread = run.session && !run.endSent;
            if (unread || now - run.finishedAt < keep) {
                ++it;
                continue;
            }
        }
        if (!gone)
            forget(*it);
        it = m_finished.erase(it);
    }
}

} // namespace reachlead
