// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routercore_pvt.h"

#include <reachlead/claimtable.h>

#include <algorithm>
#include <numeric>
#include <ranges>

namespace reachlead {

namespace {

/// Interval at which an answer that has begun looks for room at its version: a few decoding steps.
constexpr Duration versionRetryInterval = milliseconds(20);

} // namespace

void RouterCore::dispatchAllQueued(Time now)
{
    for (auto &[name, target] : m_targets)
        dispatchQueued(*target, now);
}

void RouterCore::dispatchQueued(Target &target, Time now)
{
    while (target.queue->size() > 0) {
        if (!dispatchNext(target, now))
            return;
    }
    target.backlogged = false;
}

bool RouterCore::dispatchNext(Target &target, Time now)
{
    std::vector<Agent *> agents;
    std::vector<Candidate> eligible = candidates(target, now, &agents);
    if (eligible.empty()) {
        target.backlogged = true;
        return false;
    }
    const std::optional<QueuedRequest> next = target.queue->pop();
    if (!next)
        return false;
    if (target.backlogged) {
        constexpr double smoothing = 0.1;
        const double gap = toSeconds(now - target.lastDispatchAt);
        target.dispatchIntervalSeconds += smoothing * (gap - target.dispatchIntervalSeconds);
    }
    target.lastDispatchAt = now;
    Request *request = findRequest(next->id);
    if (!request)
        return true;
    if (isQuarantined(request->callerRequest, now)) {
        // Requests with the same content crashed upstreams while this one was queued.
        const ErrorKind kind =
            request->mayHaveRun ? ErrorKind::UpstreamLost : ErrorKind::RequestQuarantined;
        finish(*request,
               {kind, Outcome::NotRun, "upstreams crashed while they had this request", 0}, now);
        return true;
    }
    if (isTooLateToStart(*request, target, now)) {
        const Outcome outcome = request->tokens > 0 ? Outcome::Ran : Outcome::NotRun;
        finish(*request,
               {ErrorKind::DeadlineQueued, outcome, "would not complete before its deadline", 0},
               now);
        return true;
    }
    if (!keepVersion(*request, target, &eligible, &agents, now))
        return true;
    const std::string &key = request->callerRequest.idempotencyKey;
    if (key.empty())
        dispatch(*request, *agents[*target.placement->select(eligible, m_random)]);
    else
        dispatch(*request, *agentForKey(request->callerRequest, agents));
    return true;
}

/// Removes the agents at which an answer that has begun cannot go on, as another software version
/// began it. Returns false if none is left: the request waits for room at its version, or ends if
/// no agent of that version is available.
bool RouterCore::keepVersion(Request &request, Target &target, std::vector<Candidate> *eligible,
                             std::vector<Agent *> *agents, Time now)
{
    if (request.tokens == 0)
        return true;
    const auto isOther = [&](const VmName &name) {
        return m_agents.at(name)->softwareVersion != request.startedBy;
    };
    std::erase_if(*agents, [&](const Agent *agent) { return isOther(agent->name); });
    std::erase_if(*eligible, [&](const Candidate &it) { return isOther(it.agent); });
    if (!agents->empty())
        return true;
    const bool isAvailable = std::ranges::any_of(target.agents, [&](const VmName &name) {
        return !isOther(name) && exclusionReason(*m_agents.at(name), now).empty();
    });
    if (!isAvailable) {
        finish(request,
               {ErrorKind::NoUpstreamOfVersion, Outcome::Ran,
                "no upstream of the version that began the answer", 0},
               now);
        return false;
    }
    target.queue->charge(request.cls.name, request.callerRequest.account, -request.cost);
    delayDispatch(request, now + versionRetryInterval, now);
    return false;
}

std::string RouterCore::exclusionReason(Agent &agent, Time now) const
{
    if (!agent.up)
        return "no session";
    if (agent.leaving())
        return "leaving";
    if (!agent.circuit.allows(now))
        return "circuit open";
    return {};
}

/// Returns whether the agent has free capacity or, for a request of \p tier, running requests of
/// lower tiers that can be preempted.
bool RouterCore::hasRoom(const Agent &agent, std::optional<Tier> tier) const
{
    if (!m_strategy.lateBinding)
        return true;
    if (agent.full)
        return false;
    std::uint32_t places = agent.load.window;
    if (tier) {
        const std::size_t above = indexOf(*tier) + 1;
        const auto below = agent.load.preemptible | std::views::drop(above);
        places = std::accumulate(below.begin(), below.end(), places);
    }
    return agent.used() < places;
}

double RouterCore::medianTokenGap(const Target &target) const
{
    std::vector<double> gaps;
    for (const VmName &name : target.agents) {
        const Agent &agent = *m_agents.at(name);
        if (agent.up && agent.load.tokenGapMicros > 0)
            gaps.push_back(agent.load.tokenGapMicros);
    }
    if (gaps.empty())
        return 0;
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::ranges::nth_element(gaps, middle);
    return *middle;
}

Candidate RouterCore::makeCandidate(const Agent &agent, double medianTokenGap) const
{
    const double gap = agent.load.tokenGapMicros;
    Candidate candidate;
    candidate.agent = agent.name;
    candidate.sameZone = agent.zone == m_zone;
    candidate.window = std::max(1U, agent.load.window);
    candidate.used = agent.used();
    candidate.slowness = medianTokenGap > 0 && gap > 0 ? gap / medianTokenGap : 1.0;
    return candidate;
}

/// The agents that can run the next request: those with free capacity, or else those where it can
/// preempt a request of a lower tier.
std::vector<Candidate> RouterCore::candidates(const Target &target, Time now,
                                              std::vector<Agent *> *agents)
{
    std::vector<Agent *> available;
    for (const VmName &name : target.agents) {
        Agent &agent = *m_agents.at(name);
        if (exclusionReason(agent, now).empty())
            available.push_back(&agent);
    }
    const std::optional<Tier> tier = target.queue->nextTier();
    for (const std::optional<Tier> preemptingTier : {std::optional<Tier>(), tier}) {
        std::ranges::copy_if(available, std::back_inserter(*agents),
                             [&](const Agent *agent) { return hasRoom(*agent, preemptingTier); });
        if (!agents->empty())
            break;
    }
    const double median = medianTokenGap(target);
    std::vector<Candidate> eligible;
    eligible.reserve(agents->size());
    for (const Agent *agent : *agents)
        eligible.push_back(makeCandidate(*agent, median));
    return eligible;
}

/// The agent that usually writes the claims of the partition of the key. Any agent would be
/// correct; this one avoids write conflicts, and may still hold the first answer.
RouterCore::Agent *RouterCore::agentForKey(const CallerRequest &callerRequest,
                                           const std::vector<Agent *> &agents)
{
    const std::uint32_t partition =
        claimPartition(callerRequest.account, callerRequest.idempotencyKey);
    return *std::ranges::max_element(agents, {}, [&](const Agent *agent) {
        return XXH64(agent->name.text.data(), agent->name.text.size(), partition);
    });
}

void RouterCore::dispatch(Request &request, Agent &agent)
{
    if (!apply(request, RequestEvent::Assigned))
        return;
    request.agent = agent.name;
    request.agentIncarnation = agent.incarnation;
    ++request.attempt;
    request.attemptTokens = 0;
    XXH64_reset(&request.hashState, 0);
    agent.localRequests.insert(request.callerRequest.id);
    agent.circuit.sent();
    m_counters->add(Counter::Dispatched);
    if (request.tokens > 0)
        m_counters->add(Counter::Resumed);

    Dispatch message;
    message.id = request.callerRequest.id;
    message.attempt = request.attempt;
    message.account = request.callerRequest.account;
    message.cls = request.cls.name;
    message.tier = m_strategy.sendTier ? static_cast<std::uint8_t>(request.cls.tier) : 0;
    message.repeatable = request.callerRequest.repeatable;
    message.stream = request.callerRequest.isModel;
    message.preemptible = request.preemptions < m_tuning.maxPreemptions && request.textComplete;
    message.floor = request.cls.floor;
    message.idempotencyKey = request.callerRequest.idempotencyKey;
    message.interTokenMicros =
        static_cast<std::uint64_t>(toSeconds(request.cls.interTokenTarget) * 1e6);
    message.resumeFrom = request.tokens;
    message.resumeText = request.tokens > 0 ? request.text : std::string();
    message.credit = m_tuning.creditTokens;
    message.call = request.callerRequest.call;
    m_actions.emplace_back(SendToAgent{agent.name, std::move(message)});
}

} // namespace reachlead
