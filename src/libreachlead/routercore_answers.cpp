// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routercore_pvt.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <vector>

namespace reachlead {

namespace {

/// Returns whether a retry is free of the retry budget. A busy or leaving agent did no work for the
/// request, and the output before a preemption is kept, so that another attempt does not multiply
/// the load. The refusals count towards RouterTuning::maxDispatchAttempts, and preemptions are
/// bounded by RouterTuning::maxPreemptions.
bool isFreeRetry(ErrorKind kind)
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
    agent->lastReceived = now;
    std::visit([&](const auto &m) { handle(*agent, m, now); }, message);
}

/// The request that a frame refers to, if the frame belongs to its current attempt at this agent.
RouterCore::Request *RouterCore::findCurrentRequest(const Agent &agent, const RequestId &id,
                                                    Attempt attempt)
{
    Request *request = findRequest(id);
    if (request && request->attempt == attempt && request->agent == agent.name)
        return request;
    m_counters->add(Counter::StaleFrames);
    return nullptr;
}

void RouterCore::handle(Agent & /*agent*/, const Welcome & /*message*/, Time /*now*/)
{
    m_counters->add(Counter::HostileFrames); // Welcome is not valid within a session
}

void RouterCore::handle(Agent & /*agent*/, const Challenge & /*message*/, Time /*now*/)
{
    m_counters->add(Counter::HostileFrames); // Challenge is not valid within a session
}

void RouterCore::handle(Agent &agent, const LoadReport &message, Time now)
{
    updateLoad(agent, message.load);
    dispatchQueued(findOrAddTarget(agent.target), now);
}

void RouterCore::handle(Agent &agent, const Refused &message, Time now)
{
    Request *request = findCurrentRequest(agent, message.id, message.attempt);
    if (!request)
        return;
    if (message.kind == ErrorKind::AgentBusy)
        agent.full = true;
    if (message.kind == ErrorKind::AgentLeaving)
        agent.load.leaving = true;
    if (request->attemptTokens > 0) {
        m_counters->add(Counter::HostileFrames);
        attemptFailed(*request, ErrorKind::AnswerCorrupt, Outcome::Ran, "refusal after tokens",
                      now);
    } else {
        const ErrorKind kind = message.kind == ErrorKind::None ? ErrorKind::Internal : message.kind;
        attemptFailed(*request, kind, Outcome::NotRun, message.reason, now);
    }
    dispatchQueued(findOrAddTarget(agent.target), now);
}

void RouterCore::handle(Agent &agent, const Started &message, Time /*now*/)
{
    if (Request *request = findCurrentRequest(agent, message.id, message.attempt))
        apply(*request, RequestEvent::ExecutionStarted);
}

/// Checks a chunk against the call, and against the most credit that its agent can have.
bool RouterCore::isPlausible(const Request &request, const Chunk &message) const
{
    const std::uint64_t credit = m_tuning.creditTokens + request.consumedTokens;
    return request.callerRequest.isModel && message.count > 0 && message.count <= credit
        && request.attemptTokens <= credit - message.count;
}

void RouterCore::handle(Agent &agent, const Chunk &message, Time now)
{
    Request *request = findCurrentRequest(agent, message.id, message.attempt);
    if (!request)
        return;
    if (message.from != request->tokens) {
        // Out-of-order chunks must never reach the caller: the answer would have a gap or a
        // repetition.
        m_counters->add(Counter::StaleFrames);
        if (message.from > request->tokens) {
            cancelAtAgent(*request);
            attemptFailed(*request, ErrorKind::AnswerCorrupt, Outcome::Ran, "gap in the answer",
                          now);
        }
        return;
    }
    if (!isPlausible(*request, message)) {
        m_counters->add(Counter::HostileFrames);
        cancelAtAgent(*request);
        attemptFailed(*request, ErrorKind::AnswerCorrupt, Outcome::Ran,
                      "chunk without tokens, beyond its credit or of a plain call", now);
        return;
    }
    if (request->lifecycle.state() == RequestState::Sent
        && !apply(*request, RequestEvent::ExecutionStarted))
        return;
    if (request->tokens == 0)
        request->startedBy = agent.softwareVersion;
    request->tokens += message.count;
    request->attemptTokens += message.count;
    XXH64_update(&request->hashState, message.text.data(), message.text.size());
    if (request->text.size() + message.text.size() <= m_tuning.maxResumeTextBytes)
        request->text += message.text;
    else
        request->textComplete = false;
    m_limiter.chargeTokens(request->callerRequest.account, static_cast<double>(message.count), now);
    m_actions.emplace_back(SendToCaller{message.id, AnswerText{message.text, message.count}});
}

void RouterCore::handle(Agent &agent, const AttemptResult &message, Time now)
{
    Request *request = findCurrentRequest(agent, message.id, message.attempt);
    if (!request)
        return;
    if (message.kind == ErrorKind::None) {
        agent.circuit.succeeded();
        completeRequest(*request, message, now);
    } else if (request->attemptTokens > 0 && !matchesReceived(*request, message)) {
        // The answer must not be resumed behind text that may not be the run's.
        attemptFailed(*request, ErrorKind::AnswerCorrupt, Outcome::Ran,
                      "hash or token count of the answer differs", now);
    } else {
        const bool hasTokens = request->attemptTokens > 0 || message.tokens > 0;
        const Outcome outcome = hasTokens ? Outcome::Ran : message.outcome;
        attemptFailed(*request, message.kind, outcome, message.reason, now);
    }
    dispatchQueued(findOrAddTarget(agent.target), now);
}

/// True if the attempt's tokens as counted and hashed by the agent are those received.
bool RouterCore::matchesReceived(const Request &request, const AttemptResult &message)
{
    return message.tokens == request.attemptTokens
        && message.hash == XXH64_digest(&request.hashState);
}

void RouterCore::handle(Agent &agent, const AttemptQueryReply &message, Time now)
{
    Request *request = findCurrentRequest(agent, message.id, message.attempt);
    if (!request || request->lifecycle.state() != RequestState::Recovering)
        return;
    const bool hasTokens = request->attemptTokens > 0;
    switch (message.state) {
    case AttemptState::Held:
        m_counters->add(Counter::Reattached);
        apply(*request, RequestEvent::Recovered);
        break;
    case AttemptState::NeverReceived:
        attemptFailed(*request, ErrorKind::AgentLost, hasTokens ? Outcome::Ran : Outcome::NotRun,
                      "the attempt never reached the agent", now);
        break;
    case AttemptState::Evicted:
        attemptFailed(*request, ErrorKind::AgentLost, Outcome::Unknown,
                      "the agent has no record of the attempt", now);
        break;
    }
}

void RouterCore::handle(Agent &agent, const UpstreamCrash &message, Time now)
{
    const UpstreamId upstream(agent.name.text,
                              agent.incarnation.value + message.upstreamIncarnation);
    if (m_crashes.recordCrash(message.request, upstreamHash(upstream), now))
        m_counters->add(Counter::QuarantinesStarted);
}

void RouterCore::completeRequest(Request &request, const AttemptResult &message, Time now)
{
    if (request.callerRequest.isModel) {
        if (!matchesReceived(request, message)) {
            attemptFailed(request, ErrorKind::AnswerCorrupt, Outcome::Ran,
                          "hash or token count of the answer differs", now);
            return;
        }
        const auto length = static_cast<double>(request.tokens);
        lengthEstimate(request.cls.name, request.callerRequest.account).learn(length);
        constexpr double median = 0.5;
        m_medianLengthEstimates.try_emplace(request.cls.name, median).first->second.learn(length);
    } else {
        ServiceResponse response{message.status, message.headers, message.body};
        m_actions.emplace_back(SendToCaller{request.callerRequest.id, std::move(response)});
    }
    const RequestContent content =
        requestContent(request.callerRequest.account, request.callerRequest.call);
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
    m_actions.emplace_back(
        SendToAgent{agent->name, Cancel{request.callerRequest.id, request.attempt}});
}

void RouterCore::unassign(Request &request)
{
    if (Agent *agent = findAgent(request.agent))
        agent->localRequests.erase(request.callerRequest.id);
    request.agent = VmName();
}

/// Handles a failed attempt: either another attempt follows, or the caller gets the final result.
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
        requeue(request, kind, now);
        return;
    }
    // Tokens that the caller has received prove that the request ran, whatever the last attempt
    // reports.
    Outcome outcomeForCaller = request.tokens > 0 ? Outcome::Ran : outcome;
    ErrorKind kindForCaller = refusal;
    if (outcomeForCaller == Outcome::Unknown && refusal == ErrorKind::AgentLost)
        kindForCaller = ErrorKind::OutcomeUnknown;
    if (request.tokens > 0 && refusal == ErrorKind::AgentLost)
        kindForCaller = ErrorKind::UpstreamLost;
    finish(request, {kindForCaller, outcomeForCaller, reason, request.tokens}, now);
}

/// ErrorKind::None when another attempt may be made; otherwise the kind to report to the caller.
ErrorKind RouterCore::retryRefusal(Request &request, ErrorKind kind, Outcome outcome, Time now)
{
    if (outcome != Outcome::NotRun && !request.callerRequest.repeatable)
        return kind;
    if (isQuarantined(request.callerRequest, now))
        return kind;
    const bool isPermanent = kind == ErrorKind::KeyInUse || kind == ErrorKind::KeyAnswered
        || kind == ErrorKind::ClaimStoreDown || kind == ErrorKind::AnswerCorrupt
        || kind == ErrorKind::BadRequest;
    if (isPermanent)
        return kind;
    if (request.tokens > 0 && !request.textComplete)
        return kind;
    const bool late = now >= request.deadline;
    if (request.attempt - request.preemptions >= m_tuning.maxDispatchAttempts || late)
        return kind;
    if (!isFreeRetry(kind) && !m_budgets[request.cls.name].take())
        return ErrorKind::RetryBudgetSpent;
    return ErrorKind::None;
}

void RouterCore::requeue(Request &request, ErrorKind kind, Time now)
{
    m_counters->retried(kind);
    unassign(request);
    if (!apply(request, RequestEvent::Requeued))
        return;
    if (kind == ErrorKind::Preempted)
        ++request.preemptions;
    if (!isFreeRetry(kind))
        ++request.retries;
    delayDispatch(request, now + drawRetryDelay(std::max(1U, request.retries)), now);
}

/// Returns a request to its queue at \p retryAt, or ends it if that is too late for its class.
void RouterCore::delayDispatch(Request &request, Time retryAt, Time now)
{
    m_deadlines.erase({request.nextCheckAt, request.callerRequest.id});
    if (retryAt >= request.deadline && request.cls.late == LatePolicy::Drop) {
        finish(request,
               {ErrorKind::DeadlineQueued, request.tokens > 0 ? Outcome::Ran : Outcome::NotRun, "",
                request.tokens},
               now);
        return;
    }
    m_delayedRetries.emplace(retryAt, request.callerRequest.id);
    request.nextCheckAt = retryAt;
}

/// Sends the final result to the caller and removes the request.
void RouterCore::finish(Request &request, AnswerResult end, Time now)
{
    if (!apply(request, RequestEvent::Finished))
        return;
    const RequestId id = request.callerRequest.id;
    end.tokens = request.tokens;
    // The last attempt says nothing about the earlier ones: a request whose upstream was lost while
    // it ran would be reported as not run if its next attempt found no upstream.
    if (end.outcome == Outcome::NotRun && request.mayHaveRun)
        end.outcome = request.tokens > 0 ? Outcome::Ran : Outcome::Unknown;
    const bool onTime = now <= request.deadline;
    if (end.kind == ErrorKind::None && onTime)
        m_counters->add(Counter::TokensDelivered, request.tokens);
    else
        m_counters->add(Counter::TokensWasted, request.tokens);
    if (end.kind != ErrorKind::None)
        m_counters->refused(end.kind);
    if (const auto it = m_targets.find(request.callerRequest.target); it != m_targets.end()) {
        it->second->queue->remove(id);
        if (request.attempt > 0) {
            const double actualCost = request.promptTokens + static_cast<double>(request.tokens);
            const double charged = request.cost * request.attempt;
            it->second->queue->charge(request.cls.name, request.callerRequest.account,
                                      actualCost - charged);
        }
    }
    unassign(request);
    m_deadlines.erase({request.nextCheckAt, id});
    m_delayedRetries.erase({request.nextCheckAt, id});
    m_limiter.release(request.callerRequest.account);
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
    dispatchAllQueued(now);
}

void RouterCore::endRequests(Time now)
{
    stop();
    std::vector<RequestId> ids;
    std::ranges::copy(m_requests | std::views::keys, std::back_inserter(ids));
    for (const RequestId &id : ids) {
        Request &request = *findRequest(id);
        const bool mayHaveRun = !request.agent.text.empty() || request.mayHaveRun;
        const Outcome sent = request.tokens > 0 ? Outcome::Ran : Outcome::Unknown;
        cancelAtAgent(request);
        if (Agent *agent = findAgent(request.agent))
            agent->circuit.abandoned();
        AnswerResult end{mayHaveRun ? ErrorKind::OutcomeUnknown : ErrorKind::RouterStopping,
                         mayHaveRun ? sent : Outcome::NotRun, "the router exits", request.tokens};
        finish(request, std::move(end), now);
    }
}

void RouterCore::callerConsumed(const RequestId &id, std::uint64_t tokens)
{
    Request *request = findRequest(id);
    if (!request)
        return;
    request->consumedTokens += tokens;
    const Agent *agent = findAgent(request->agent);
    if (!agent || !agent->up || request->lifecycle.state() == RequestState::Recovering)
        return;
    m_actions.emplace_back(SendToAgent{agent->name, Credit{id, request->attempt, tokens}});
}

} // namespace reachlead
