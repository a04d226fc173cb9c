// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routercore_pvt.h"

#include <algorithm>

namespace reachlead {

namespace {

/// A busy or leaving agent did no work for the request, and what was made before a preemption is
/// kept: placing it again multiplies nothing, and each is bounded by a number of its own.
bool costsNothing(ErrorKind kind)
{
    return kind == ErrorKind::AgentBusy || kind == ErrorKind::AgentLeaving
        || kind == ErrorKind::Preempted;
}

} // namespace

void RouterCore::agentMessage(const VmName &name, const ToRouter &message, Time now)
{
    Agent *agent = findAgent(name);
    if (!agent || !agent->up)
        return;
    agent->heardAt = now;
    std::visit([&](const auto &m) { handle(*agent, m, now); }, message);
}

/// The request a frame speaks of, when the frame is of its present attempt at this agent.
RouterCore::Request *RouterCore::current(const Agent &agent, const RequestId &id, Attempt attempt)
{
    Request *request = findRequest(id);
    if (request && request->attempt == attempt && request->agent == agent.name)
        return request;
    m_counters->add(Counter::StaleFrames);
    return nullptr;
}

void RouterCore::handle(Agent & /*agent*/, const Welcome & /*message*/, Time /*now*/)
{
    m_counters->add(Counter::HostileFrames); // Welcome opens a session and never comes again
}

void RouterCore::handle(Agent & /*agent*/, const Challenge & /*message*/, Time /*now*/)
{
    m_counters->add(Counter::HostileFrames); // the same holds for Challenge
}

void RouterCore::handle(Agent &agent, const LoadReport &message, Time now)
{
    takeLoad(agent, message.load);
    pump(targetOf(agent.target), now);
}

void RouterCore::handle(Agent &agent, const Refused &message, Time now)
{
    Request *request = current(agent, message.id, message.attempt);
    if (!request)
        return;
    if (message.kind == ErrorKind::AgentBusy)
        agent.full = true;
    if (message.kind == ErrorKind::AgentLeaving)
        agent.load.leaving = true;
    attemptFailed(*request, message.kind, Outcome::NotRun, message.reason, now);
    pump(targetOf(agent.target), now);
}

void RouterCore::handle(Agent &agent, const Started &message, Time /*now*/)
{
    if (Request *request = current(agent, message.id, message.attempt))
        apply(*request, RequestEvent::ExecutionStarted);
}

void RouterCore::handle(Agent &agent, const Chunk &message, Time now)
{
    Request *request = current(agent, message.id, message.attempt);
    if (!request)
        return;
    if (message.from != request->tokens) {
        // A frame out of its place must never reach the caller: the answer would have a hole or
        // a repetition.
        m_counters->add(Counter::StaleFrames);
        if (message.from > request->tokens) {
            cancelAtAgent(*request);
            attemptFailed(*request, ErrorKind::AnswerCorrupt, Outcome::Ran, "gap in the answer",
                          now);
        }
        return;
    }
    if (request->life.state() == RequestState::Sent
        && !apply(*request, RequestEvent::ExecutionStarted))
        return;
    request->tokens += message.count;
    request->attemptTokens += message.count;
    XXH64_update(&request->hashState, message.text.data(), message.text.size());
    if (request->text.size() + message.text.size() <= m_tuning.maxResumeTextBytes)
        request->text += message.text;
    else
        request->textComplete = false;
    m_limiter.chargeTokens(request->ask.account, static_cast<double>(message.count), now);
    m_actions.emplace_back(SendToCaller{message.id, AnswerText{message.text, message.count}});
}

void RouterCore::handle(Agent &agent, const AttemptResult &message, Time now)
{
    Request *request = current(agent, message.id, message.attempt);
    if (!request)
        return;
    if (message.kind == ErrorKind::None) {
        agent.circuit.succeeded();
        finishWhole(*request, message, now);
    } else {
        attemptFailed(*request, message.kind, message.outcome, message.reason, now);
    }
    pump(targetOf(agent.target), now);
}

void RouterCore::handle(Agent &agent, const AttemptQueryReply &message, Time now)
{
    Request *request = current(agent, message.id, message.attempt);
    if (!request || request->life.state() != RequestState::Recovering)
        return;
    switch (message.state) {
    case AttemptState::Held:
        m_counters->add(Counter::Reattached);
        apply(*request, RequestEvent::Recovered);
        break;
    case AttemptState::NeverReceived:
        attemptFailed(*request, ErrorKind::AgentLost, Outcome::NotRun, "never reached the agent",
                      now);
        break;
    case AttemptState::Evicted:
        attemptFailed(*request, ErrorKind::AgentLost, Outcome::Unknown, "no record at the agent",
                      now);
        break;
    }
}

void RouterCore::handle(Agent &agent, const UpstreamCrash &message, Time now)
{
    const UpstreamId life(agent.name.text, agent.incarnation.value + message.upstreamIncarnation);
    if (m_crashes.recordCrash(message.request, upstreamHash(life), now))
        m_counters->add(Counter::QuarantinesStarted);
}

void RouterCore::finishWhole(Request &request, const AttemptResult &message, Time now)
{
    if (request.ask.isModel) {
        const std::uint64_t hash = XXH64_digest(&request.hashState);
        if (message.tokens != request.attemptTokens || message.hash != hash) {
            attemptFailed(request, ErrorKind::AnswerCorrupt, Outcome::Ran, "hash or count differs",
                          now);
            return;
        }
        const auto length = static_cast<double>(request.tokens);
        lengthOf(request.cls.name, request.ask.account).learn(length);
        constexpr double half = 0.5;
        m_medianLengths.try_emplace(request.cls.name, half).first->second.learn(length);
    } else {
        ServiceResponse whole{message.status, message.headers, message.body};
        m_actions.emplace_back(SendToCaller{request.ask.id, std::move(whole)});
    }
    const RequestContent content = requestContent(request.ask.account, request.ask.call);
    if (!m_crashes.isEmpty() && m_crashes.mayContain(computeFastHash(content)))
        m_crashes.recordCompletion(computeDigest(content));
    m_counters->add(Counter::RequestsCompleted);
    finish(request, {ErrorKind::None, Outcome::Ran, "", request.tokens}, now);
}

void RouterCore::cancelAtAgent(Request &request)
{
    const Agent *agent = findAgent(request.agent);
    if (!agent || !agent->up)
        return;
    m_actions.emplace_back(SendToAgent{agent->name, Cancel{request.ask.id, request.attempt}});
}

void RouterCore::unbind(Request &request)
{
    if (Agent *agent = findAgent(request.agent))
        agent->mine.erase(request.ask.id);
    request.agent = VmName();
}

/// Decides what a failed attempt means: another attempt, or the final word at once.
void RouterCore::attemptFailed(Request &request, ErrorKind kind, Outcome outcome,
                               const std::string &reason, Time now)
{
    if (Agent *agent = findAgent(request.agent)) {
        const bool upstreamFault = kind == ErrorKind::UpstreamUnreachable
            || kind == ErrorKind::UpstreamLost || kind == ErrorKind::UpstreamStalled
            || kind == ErrorKind::UpstreamRefused;
        if (upstreamFault)
            agent->circuit.failed(now);
        else
            agent->circuit.abandoned();
    }
    request.mayHaveRun = request.mayHaveRun || outcome != Outcome::NotRun;
    const ErrorKind refusal = retryRefusal(request, kind, outcome, now);
    if (refusal == ErrorKind::None) {
        putBack(request, kind, now);
        return;
    }
    // Tokens given to the caller are proof that it ran, whatever the last attempt says.
    Outcome told = request.tokens > 0 ? Outcome::Ran : outcome;
    ErrorKind toldKind = refusal;
    if (told == Outcome::Unknown && refusal == ErrorKind::AgentLost)
        toldKind = ErrorKind::OutcomeUnknown;
    if (request.tokens > 0 && refusal == ErrorKind::AgentLost)
        toldKind = ErrorKind::UpstreamLost;
    finish(request, {toldKind, told, reason, request.tokens}, now);
}

/// None when another attempt may be made; else the kind to tell.
ErrorKind RouterCore::retryRefusal(Request &request, ErrorKind kind, Outcome outcome, Time now)
{
    if (outcome != Outcome::NotRun && !request.ask.repeatable)
        return kind;
    if (isQuarantined(request.ask, now))
        return kind;
    const bool lasting = kind == ErrorKind::KeyInUse || kind == ErrorKind::KeyAnswered
        || kind == ErrorKind::ClaimStoreDown || kind == ErrorKind::AnswerCorrupt
        || kind == ErrorKind::BadRequest;
    if (lasting)
        return kind;
    if (request.tokens > 0 && !request.textComplete)
        return kind;
    const bool late = now >= request.deadline;
    if (request.attempt - request.preemptions >= m_tuning.maxDispatchAttempts || late)
        return kind;
    if (!costsNothing(kind) && !m_budgets[request.cls.name].take())
        return ErrorKind::RetryBudgetSpent;
    return ErrorKind::None;
}

void RouterCore::putBack(Request &request, ErrorKind kind, Time now)
{
    m_counters->retried(kind);
    unbind(request);
    if (!apply(request, RequestEvent::Requeued))
        return;
    if (kind == ErrorKind::Preempted)
        ++request.preemptions;
    if (!costsNothing(kind))
        ++request.retries;
    m_deadlines.erase({request.lookAt, request.ask.id});
    const Time again = now + drawPause(std::max(1U, request.retries));
    if (again >= request.deadline && request.cls.late == LatePolicy::Drop) {
        finish(request,
               {ErrorKind::DeadlineQueued, request.tokens > 0 ? Outcome::Ran : Outcome::NotRun, "",
                request.tokens},
               now);
        return;
    }
    m_delayed.emplace(again, request.ask.id);
    request.lookAt = again;
}

/// Tells the final word and forgets the request.
void RouterCore::finish(Request &request, AnswerResult end, Time now)
{
    if (!apply(request, RequestEvent::Finished))
        return;
    const RequestId id = request.ask.id;
    end.tokens = request.tokens;
    // The last try says nothing of those before it: a request whose upstream was lost under it was
    // told as not run when its next try found no upstream.
    if (end.outcome == Outcome::NotRun && request.mayHaveRun)
        end.outcome = request.tokens > 0 ? Outcome::Ran : Outcome::Unknown;
    const bool onTime = now <= request.deadline;
    if (end.kind == ErrorKind::None && onTime)
        m_counters->add(Counter::TokensDelivered, request.tokens);
    else
        m_counters->add(Counter::TokensWasted, request.tokens);
    if (end.kind != ErrorKind::None)
        m_counters->refused(end.kind);
    if (const auto it = m_targets.find(request.ask.target); it != m_targets.end()) {
        it->second->queue->remove(id);
        if (request.attempt > 0) {
            const double made = request.promptTokens + static_cast<double>(request.tokens);
            const double charged = request.cost * request.attempt;
            it->second->queue->charge(request.cls.name, request.ask.account, made - charged);
        }
    }
    unbind(request);
    m_deadlines.erase({request.lookAt, id});
    m_delayed.erase({request.lookAt, id});
    m_limiter.release(request.ask.account);
    m_actions.emplace_back(SendToCaller{id, std::move(end)});
    m_requests.erase(id);
}

void RouterCore::callerDisconnected(const RequestId &id, Time now)
{
    Request *request = findRequest(id);
    if (!request)
        return;
    cancelAtAgent(*request);
    if (Agent *agent = findAgent(request->agent))
        agent->circuit.abandoned();
    finish(*request, {ErrorKind::CallerDisconnected, Outcome::Unknown, "", 0}, now);
    pumpAll(now);
}

void RouterCore::callerConsumed(const RequestId &id, std::uint64_t tokens)
{
    Request *request = findRequest(id);
    if (!request)
        return;
    request->taken += tokens;
    const Agent *agent = findAgent(request->agent);
    if (!agent || !agent->up || request->life.state() == RequestState::Recovering)
        return;
    m_actions.emplace_back(SendToAgent{agent->name, Credit{id, request->attempt, tokens}});
}

} // namespace reachlead
