// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routercore_pvt.h"

#include <reachlead/claimtable.h>

#include <algorithm>
#include <numeric>
#include <ranges>

namespace reachlead {

void RouterCore::pumpAll(Time now)
{
    for (auto &[name, target] : m_targets)
        pump(*target, now);
}

void RouterCore::pump(Target &target, Time now)
{
    while (target.queue->size() > 0) {
        if (!placeNext(target, now))
            return;
    }
    target.backlogged = false;
}

bool RouterCore::placeNext(Target &target, Time now)
{
    std::vector<Agent *> agents;
    const std::vector<Candidate> open = candidates(target, now, &agents);
    if (open.empty()) {
        target.backlogged = true;
        return false;
    }
    const std::optional<QueuedRequest> next = target.queue->pop();
    if (!next)
        return false;
    if (target.backlogged) {
        constexpr double smoothing = 0.1;
        const double gap = toSeconds(now - target.poppedAt);
        target.popSeconds += smoothing * (gap - target.popSeconds);
    }
    target.poppedAt = now;
    Request *request = findRequest(next->id);
    if (!request)
        return true;
    if (isQuarantined(request->ask, now)) {
        // It waited while others of its content ended upstreams.
        const ErrorKind kind =
            request->mayHaveRun ? ErrorKind::UpstreamLost : ErrorKind::RequestQuarantined;
        finish(*request, {kind, Outcome::NotRun, "upstreams ended under this request", 0}, now);
        return true;
    }
    if (tooLateToStart(*request, target, now)) {
        const Outcome outcome = request->tokens > 0 ? Outcome::Ran : Outcome::NotRun;
        finish(*request, {ErrorKind::DeadlineQueued, outcome, "too late to start", 0}, now);
        return true;
    }
    const std::string &key = request->ask.idempotencyKey;
    if (key.empty())
        place(*request, *agents[*target.placement->select(open, m_random)]);
    else
        place(*request, *agentOfKey(request->ask, agents));
    return true;
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

/// Room of its own, or, for a request of \p tier, the places of running requests of lower tiers.
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

double RouterCore::medianGap(const Target &target) const
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

Candidate RouterCore::candidateOf(const Agent &agent, double medianGap) const
{
    const double gap = agent.load.tokenGapMicros;
    Candidate candidate;
    candidate.agent = agent.name;
    candidate.sameZone = agent.zone == m_zone;
    candidate.window = std::max(1U, agent.load.window);
    candidate.used = agent.used();
    candidate.slowness = medianGap > 0 && gap > 0 ? gap / medianGap : 1.0;
    return candidate;
}

/// The agents that can take the next request: those with room of their own, or else those where
/// it may take the place of a lower tier.
std::vector<Candidate> RouterCore::candidates(const Target &target, Time now,
                                              std::vector<Agent *> *agents)
{
    std::vector<Agent *> standing;
    for (const VmName &name : target.agents) {
        Agent &agent = *m_agents.at(name);
        if (exclusionReason(agent, now).empty())
            standing.push_back(&agent);
    }
    const std::optional<Tier> tier = target.queue->nextTier();
    for (const std::optional<Tier> taking : {std::optional<Tier>(), tier}) {
        std::ranges::copy_if(standing, std::back_inserter(*agents),
                             [&](const Agent *agent) { return hasRoom(*agent, taking); });
        if (!agents->empty())
            break;
    }
    const double median = medianGap(target);
    std::vector<Candidate> open;
    open.reserve(agents->size());
    for (const Agent *agent : *agents)
        open.push_back(candidateOf(*agent, median));
    return open;
}

/// The agent that usually writes the claims of the key's partition. Any agent would do: this only
/// saves conflicts between writers, and finds first answers that are still held.
RouterCore::Agent *RouterCore::agentOfKey(const CallerRequest &ask,
                                          const std::vector<Agent *> &agents)
{
    const std::uint32_t partition = claimPartition(ask.account, ask.idempotencyKey);
    return *std::ranges::max_element(agents, {}, [&](const Agent *agent) {
        return XXH64(agent->name.text.data(), agent->name.text.size(), partition);
    });
}

void RouterCore::place(Request &request, Agent &agent)
{
    if (!apply(request, RequestEvent::Assigned))
        return;
    request.agent = agent.name;
    request.boundTo = agent.incarnation;
    ++request.attempt;
    request.attemptTokens = 0;
    XXH64_reset(&request.hashState, 0);
    agent.mine.insert(request.ask.id);
    agent.circuit.sent();
    m_counters->add(Counter::Dispatched);
    if (request.tokens > 0)
        m_counters->add(Counter::Resumed);

    Dispatch message;
    message.id = request.ask.id;
    message.attempt = request.attempt;
    message.account = request.ask.account;
    message.cls = request.cls.name;
    message.tier = m_strategy.sendTier ? static_cast<std::uint8_t>(request.cls.tier) : 0;
    message.repeatable = request.ask.repeatable;
    message.stream = request.ask.isModel;
    message.preemptible = request.preemptions < m_tuning.maxPreemptions && request.textComplete;
    message.floor = request.cls.floor;
    message.idempotencyKey = request.ask.idempotencyKey;
    message.interTokenMicros =
        static_cast<std::uint64_t>(toSeconds(request.cls.interTokenTarget) * 1e6);
    message.resumeFrom = request.tokens;
    message.resumeText = request.tokens > 0 ? request.text : std::string();
    message.credit = m_tuning.creditTokens;
    message.call = request.ask.call;
    m_actions.emplace_back(SendToAgent{agent.name, std::move(message)});
}

} // namespace reachlead
