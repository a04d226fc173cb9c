// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "agentcore_pvt.h"

#include <algorithm>

namespace reachlead {

namespace {

/// Time between two searches for expired records.
constexpr Duration expiryInterval = seconds(1);

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

/// Sends the tokens that the credit allows, and the result after the last token.
void AgentCore::flush(Run &run)
{
    if (!run.session) {
        eraseIfSettled(run);
        return;
    }
    const std::uint64_t upTo = std::min(run.tokens(), run.creditLimit);
    if (run.sent < upTo) {
        const std::size_t begin = run.sent == 0 ? 0 : run.tokenEnds[run.sent - 1];
        const std::size_t end = run.tokenEnds[upTo - 1];
        Chunk chunk;
        chunk.id = run.dispatch->id;
        chunk.attempt = run.dispatch->attempt;
        chunk.from = run.dispatch->resumeFrom + run.sent;
        chunk.count = upTo - run.sent;
        chunk.text = run.text.substr(begin, end - begin);
        run.sent = upTo;
        send(run, std::move(chunk));
    }
    if (run.state == Run::State::Finished && run.sent == run.tokens() && !run.resultSent) {
        run.resultSent = true;
        send(run, run.result);
    }
    eraseIfSettled(run);
}

/// Removes a run from the unsettled ones once it has finished and its result was sent, or it has no
/// router.
void AgentCore::eraseIfSettled(const Run &run)
{
    if (run.state == Run::State::Finished && (run.resultSent || !run.session))
        m_unsettled.erase(run.dispatch->id);
}

void AgentCore::upstreamToken(const AttemptKey &key, std::string_view text, Time now)
{
    Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    if (run->text.size() + text.size() > m_tuning.maxAnswerBytes) {
        m_actions.emplace_back(CancelUpstreamCall{key});
        failRun(*run, ErrorKind::UpstreamLost, Outcome::Ran, "the answer exceeds the size limit",
                now);
        return;
    }
    if (run->tokens() > 0)
        m_window.observe(now - run->lastTokenAt, now);
    run->lastTokenAt = now;
    run->text += text;
    run->tokenEnds.push_back(run->text.size());
    flush(*run);
}

void AgentCore::upstreamDone(const AttemptKey &key, Time now)
{
    Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    AttemptResult result;
    result.tokens = run->tokens();
    result.hash = XXH64(run->text.data(), run->text.size(), 0);
    finish(*run, std::move(result), now);
}

void AgentCore::upstreamAnswer(const AttemptKey &key, unsigned status, std::vector<Header> headers,
                               std::string body, Time now)
{
    Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    AttemptResult result;
    result.status = status;
    result.headers = std::move(headers);
    result.body = std::move(body);
    finish(*run, std::move(result), now);
}

/// Reports the crash to all routers before the run's result. A request that crashes upstreams may
/// come through any router, and each would lose three upstreams before it quarantined the request.
void AgentCore::upstreamExited(const AttemptKey &key, Time now)
{
    const Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    // A run that started before the last exit was lost with the same incarnation of the upstream.
    if (!m_upstreamExitedAt || run->startedAt > *m_upstreamExitedAt)
        ++m_upstreamExits;
    m_upstreamExitedAt = now;
    const ContentDigest request =
        computeDigest(requestContent(run->dispatch->account, run->dispatch->call));
    const UpstreamCrash crash{request, m_upstreamExits};
    for (const auto &[session, router] : m_sessions)
        m_actions.emplace_back(SendToRouter{session, crash});
}

void AgentCore::upstreamFailed(const AttemptKey &key, ErrorKind kind, Outcome outcome,
                               const std::string &reason, Time now)
{
    Run *run = findRun(key);
    if (!run || run->state != Run::State::Running)
        return;
    failRun(*run, kind, outcome, reason, now);
}

/// The end of a run that was cut, with the tokens that it made: the router checks them before the
/// answer is resumed.
AttemptResult AgentCore::makeFailure(const Run &run, ErrorKind kind, const std::string &reason)
{
    AttemptResult result;
    result.kind = kind;
    result.reason = reason;
    result.tokens = run.tokens();
    result.hash = XXH64(run.text.data(), run.text.size(), 0);
    return result;
}

void AgentCore::failRun(Run &run, ErrorKind kind, Outcome outcome, const std::string &reason,
                        Time now)
{
    if (outcome == Outcome::NotRun && run.tokens() == 0) {
        refuseRun(run, kind, reason);
    } else {
        AttemptResult result = makeFailure(run, kind, reason);
        result.outcome = run.tokens() > 0 ? Outcome::Ran : outcome;
        finish(run, std::move(result), now);
    }
    startQueued(now);
}

void AgentCore::finish(Run &run, AttemptResult result, Time now)
{
    releaseSlot(run);
    result.id = run.dispatch->id;
    result.attempt = run.dispatch->attempt;
    run.result = std::move(result);
    run.state = Run::State::Finished;
    run.finishedAt = now;
    m_finished.push_back(run.dispatch->id);
    flush(run);
    startQueued(now);
}

void AgentCore::releaseSlot(Run &run)
{
    markLoadChanged(run.session);
    if (run.state == Run::State::Running || run.state == Run::State::Claiming)
        --m_running;
    if (run.state == Run::State::Queued)
        m_queue.erase({run.dispatch->tier, run.arrival});
}

/// Reports that the attempt provably did not run and drops its record: a later query is answered
/// with NeverReceived, which proves the same.
void AgentCore::refuseRun(Run &run, ErrorKind kind, const std::string &reason)
{
    releaseSlot(run);
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

/// Cancels an attempt whose answer is no longer needed. A call that must not be repeated and has
/// reached its upstream runs to its end: cancelling it would leave its effect unknown.
void AgentCore::cancel(Run &run, Time now)
{
    switch (run.state) {
    case Run::State::Queued:
        run.session.reset();
        refuseRun(run, ErrorKind::CallerDisconnected, "cancelled before it started");
        break;
    case Run::State::Claiming:
        run.session.reset(); // claimCompleted() finds no router and releases the key
        break;
    case Run::State::Running:
        if (!run.dispatch->repeatable && !run.dispatch->stream)
            break;
        m_counters->add(Counter::UpstreamCancels);
        m_counters->add(Counter::TokensWasted, run.tokens());
        m_actions.emplace_back(CancelUpstreamCall{run.key()});
        run.session.reset();
        finish(run, makeFailure(run, ErrorKind::CallerDisconnected, "cancelled"), now);
        break;
    case Run::State::Finished:
        run.session.reset();
        eraseIfSettled(run);
        break;
    }
}

/// Cancels runs whose router did not reconnect within the grace period.
void AgentCore::cancelDetached(Time now)
{
    std::vector<RequestId> expired;
    for (const RequestId &id : m_unsettled) {
        const Run &run = *m_runs.at(id);
        const bool isDetached = run.state == Run::State::Running && !run.session;
        if (isDetached && now - run.detachedAt > m_tuning.reattachGrace)
            expired.push_back(id);
    }
    for (const RequestId &id : expired) {
        if (const auto it = m_runs.find(id); it != m_runs.end())
            cancel(*it->second, now);
    }
}

/// Evicts a record and remembers that it may have existed, so that a later query is not answered
/// with NeverReceived.
void AgentCore::evictRecord(const RequestId &id)
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
    if (m_evicted.size() >= m_tuning.maxRouters && !m_evicted.contains(id.router.value)) {
        m_evicted.erase(m_evicted.begin());
        m_evictedIncomplete = true;
    }
    std::uint64_t &highWaterMark = m_evicted[id.router.value];
    highWaterMark = std::max(highWaterMark, id.sequence);
}

void AgentCore::dropExpired(Time now)
{
    if (now - m_lastExpiryAt < expiryInterval && m_finished.size() <= m_tuning.maxFinished)
        return;
    m_lastExpiryAt = now;
    auto it = m_finished.begin();
    while (it != m_finished.end()) {
        const auto found = m_runs.find(*it);
        const bool isDropped =
            found == m_runs.end() || found->second->state != Run::State::Finished;
        const bool isOverLimit = m_finished.size() > m_tuning.maxFinished;
        if (!isDropped && !isOverLimit) {
            const Run &run = *found->second;
            const bool hasKey = !run.dispatch->idempotencyKey.empty();
            const Duration retention =
                hasKey ? m_tuning.answerRetention : m_tuning.finishedRetention;
            const bool isUndelivered = run.session && !run.resultSent;
            if (isUndelivered || now - run.finishedAt < retention) {
                ++it;
                continue;
            }
        }
        if (!isDropped)
            evictRecord(*it);
        it = m_finished.erase(it);
    }
}

} // namespace reachlead
