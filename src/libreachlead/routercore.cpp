// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routercore_pvt.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace reachlead {

namespace {

/// Bytes of a prompt counted as one token where nothing better is known.
constexpr double bytesPerToken = 4.0;

/// How many length estimates are kept before the table starts again.
constexpr std::size_t mostLengths = 65536;

} // namespace

// ---- building ---------------------------------------------------------------------------

RouterCore::Builder &RouterCore::Builder::zone(ZoneName z)
{
    m_zone = std::move(z);
    return *this;
}

RouterCore::Builder &RouterCore::Builder::incarnation(Incarnation i)
{
    m_incarnation = i;
    return *this;
}

RouterCore::Builder &RouterCore::Builder::strategy(RouterStrategy s)
{
    m_strategy = s;
    return *this;
}

RouterCore::Builder &RouterCore::Builder::tuning(RouterTuning t)
{
    m_tuning = t;
    return *this;
}

RouterCore::Builder &RouterCore::Builder::seed(std::uint64_t s)
{
    m_seed = s;
    return *this;
}

RouterCore::Builder &RouterCore::Builder::counters(Counters *c)
{
    m_counters = c;
    return *this;
}

RouterCore::Builder &RouterCore::Builder::policies(PoliciesPtr p)
{
    m_policies = std::move(p);
    return *this;
}

std::unique_ptr<RouterCore> RouterCore::Builder::build() const
{
    return std::unique_ptr<RouterCore>(new RouterCore(*this));
}

RouterCore::RouterCore(const Builder &from)
    : m_zone(from.m_zone), m_incarnation(from.m_incarnation), m_strategy(from.m_strategy),
      m_tuning(from.m_tuning), m_random(from.m_seed), m_counters(from.m_counters),
      m_policies(from.m_policies ? from.m_policies : std::make_shared<const Policies>()),
      m_limiter(m_policies)
{
    if (!m_counters) {
        m_ownCounters = std::make_unique<Counters>();
        m_counters = m_ownCounters.get();
    }
}

RouterCore::~RouterCore() = default;

// ---- small helpers ----------------------------------------------------------------------

RouterCore::Request *RouterCore::findRequest(const RequestId &id)
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : it->second.get();
}

RouterCore::Agent *RouterCore::findAgent(const VmName &name)
{
    const auto it = m_agents.find(name);
    return it == m_agents.end() ? nullptr : it->second.get();
}

RouterCore::Target &RouterCore::targetOf(const TargetName &name)
{
    auto &target = m_targets[name];
    if (!target) {
        target = std::make_unique<Target>();
        target->name = name;
        target->queue = makeRequestQueue(m_strategy.order, m_policies);
        target->placement = makePlacement(m_strategy.placement);
    }
    return *target;
}

LengthEstimate &RouterCore::lengthOf(const ClassName &cls, const AccountName &account)
{
    if (m_lengths.size() >= mostLengths)
        m_lengths.clear();
    return m_lengths[{cls, account}];
}

Duration RouterCore::drawPause(unsigned retry)
{
    std::uniform_int_distribution<Duration::rep> spread(0, maxRetryBackoff(retry).count());
    return Duration(spread(m_random));
}

bool RouterCore::apply(Request &request, RequestEvent event)
{
    if (request.life.apply(event))
        return true;
    m_counters->add(Counter::ForbiddenTransitions);
    return false;
}

std::vector<RouterAction> RouterCore::takeActions()
{
    return std::exchange(m_actions, {});
}

std::size_t RouterCore::queued() const
{
    return std::accumulate(
        m_targets.begin(), m_targets.end(), m_delayed.size(),
        [](std::size_t sum, const auto &it) { return sum + it.second->queue->size(); });
}

void RouterCore::updateGauges()
{
    m_counters->set(Gauge::OpenRequests, static_cast<std::int64_t>(m_requests.size()));
    m_counters->set(Gauge::Queued, static_cast<std::int64_t>(queued()));
}

void RouterCore::setPolicies(const PoliciesPtr &policies)
{
    m_policies = policies;
    m_limiter.setPolicies(policies);
    for (auto &[name, target] : m_targets)
        target->queue->setPolicies(policies);
}

void RouterCore::setAccountLimitShare(double part)
{
    m_limiter.setLimitShare(part);
}

void RouterCore::stop()
{
    m_stopping = true;
}

// ---- arrival ----------------------------------------------------------------------------

void RouterCore::submitRequest(CallerRequest request, Time now)
{
    const RequestId id = request.id;
    const ClassPolicy *cls = m_policies->findClass(request.cls);
    if (!cls) {
        refuse(id, ErrorKind::ClassUnknown, request.cls.text);
        return;
    }
    const ErrorKind kind = refusalAtArrival(request, *cls, now);
    if (kind != ErrorKind::None) {
        refuse(id, kind, request.target.text);
        return;
    }
    m_counters->add(Counter::RequestsAccepted);
    m_budgets[cls->name].recordFirstAttempt();
    auto record = std::make_unique<Request>();
    record->cls = *cls;
    record->arrived = now;
    record->deadline = now + cls->deadline;
    record->promptTokens = static_cast<double>(request.call.body.size()) / bytesPerToken;
    record->cost = record->promptTokens + lengthOf(cls->name, request.account).value();
    record->ask = std::move(request);
    Request &kept = *record;
    m_requests.emplace(id, std::move(record));
    enqueue(kept, now);
    if (const auto it = m_targets.find(kept.ask.target); it != m_targets.end())
        pump(*it->second, now);
}

ErrorKind RouterCore::refusalAtArrival(const CallerRequest &request, const ClassPolicy &cls,
                                       Time now)
{
    if (m_stopping)
        return ErrorKind::RouterStopping;
    if (isQuarantined(request, now))
        return ErrorKind::RequestQuarantined;
    const auto it = m_targets.find(request.target);
    if (it == m_targets.end() || upstreamAway(*it->second, now))
        return ErrorKind::NoUpstream;
    Target &target = *it->second;
    const AccountPolicy *account = m_policies->findAccount(request.account);
    if (account && account->limits.queueShare) {
        const double places = *account->limits.queueShare * static_cast<double>(cls.queueBound);
        const std::size_t waiting = target.queue->waiting(cls.name, request.account);
        if (static_cast<double>(waiting) >= std::max(1.0, places))
            return ErrorKind::AccountQueueShare;
    }
    if (m_strategy.earlyRefusal && predictedLate(target, cls, now))
        return ErrorKind::PredictedLate;
    return m_limiter.acquire(request.account, now);
}

/// Upstreams ended under requests of the same content, so that it is sent to none.
bool RouterCore::isQuarantined(const CallerRequest &ask, Time now) const
{
    if (m_crashes.isEmpty())
        return false;
    const RequestContent content = requestContent(ask.account, ask.call);
    return m_crashes.mayContain(computeFastHash(content))
        && m_crashes.remainingQuarantine(computeDigest(content), now).has_value();
}

/// The wait is the number of requests to be served before this one, times the time between
/// dispatches. The floors of the other classes are taken out of the rate beforehand.
bool RouterCore::predictedLate(const Target &target, const ClassPolicy &cls, Time now) const
{
    if (cls.late != LatePolicy::Drop || !m_strategy.dropLate || !target.backlogged)
        return false;
    const double floors =
        std::accumulate(m_policies->classes.begin(), m_policies->classes.end(), 0.0,
                        [&](double sum, const auto &it) {
                            return it.first == cls.name ? sum : sum + it.second.floor;
                        });
    const double rate = 1.0 - std::min(0.9, floors);
    const auto ahead = static_cast<double>(target.queue->sizeAtOrAbove(cls.tier));
    const double overdue = std::max(0.0, toSeconds(now - target.poppedAt) - target.popSeconds);
    const double wait = ahead * target.popSeconds / rate + overdue;
    return wait > toSeconds(cls.firstTokenTarget);
}

/// True when the answer of a class that drops late ones would most likely not be whole by its
/// deadline: engine time spent on it would be wasted, and its place serves one that can be.
bool RouterCore::tooLateToStart(const Request &request, const Target &target, Time now)
{
    if (request.cls.late != LatePolicy::Drop || !m_strategy.dropLate || !request.ask.isModel)
        return false;
    const auto it = m_medianLengths.find(request.cls.name);
    if (it == m_medianLengths.end() || !it->second.hasEnoughSamples())
        return false;
    const double left = std::max(1.0, it->second.value() - static_cast<double>(request.tokens));
    const double run = left * medianGap(target) / 1e6;
    return now + fromSeconds(run) > request.deadline;
}

void RouterCore::refuse(const RequestId &id, ErrorKind kind, std::string reason)
{
    m_counters->refused(kind);
    AnswerResult end{kind, errorRow(kind).outcome, std::move(reason), 0};
    m_actions.emplace_back(SendToCaller{id, std::move(end)});
}

void RouterCore::enqueue(Request &request, Time now)
{
    Target &target = targetOf(request.ask.target);
    const QueuedRequest waiting{request.ask.id, request.cls.name, request.ask.account,
                                request.deadline, request.cost};
    request.lookAt = request.deadline;
    m_deadlines.emplace(request.lookAt, request.ask.id);
    const std::optional<ShedRequest> shed = target.queue->push(waiting);
    if (!shed)
        return;
    if (Request *victim = findRequest(shed->id)) {
        const bool partial = victim->tokens > 0;
        finish(*victim, {shed->kind, partial ? Outcome::Ran : Outcome::NotRun, "queue bound", 0},
               now);
    }
}

// ---- time -------------------------------------------------------------------------------

void RouterCore::tick(Time now)
{
    release(now);
    expire(now);
    refuseWithoutUpstream(now);
    giveUpWaiting(now);
    watchHeartbeats(now);
    m_crashes.dropExpired(now);
    pumpAll(now);
    updateGauges();
}

/// Puts retries whose pause is over back into their queue.
void RouterCore::release(Time now)
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
        const RequestId id = m_delayed.begin()->second;
        m_delayed.erase(m_delayed.begin());
        if (Request *request = findRequest(id))
            enqueue(*request, now);
    }
}

/// True when no agent of the target has been up for a while.
bool RouterCore::upstreamAway(const Target &target, Time now) const
{
    const bool anyUp = std::ranges::any_of(
        target.agents, [&](const VmName &name) { return m_agents.at(name)->up; });
    return target.agents.empty() || (!anyUp && now - target.upAt > m_tuning.upstreamWait);
}

/// Gives up on what waits for a target that nobody serves: the caller is told at once, with when
/// to come back.
void RouterCore::refuseWithoutUpstream(Time now)
{
    for (auto &[name, target] : m_targets) {
        const bool anyUp = std::ranges::any_of(
            target->agents, [&](const VmName &agent) { return m_agents.at(agent)->up; });
        if (anyUp)
            target->upAt = now;
        if (!upstreamAway(*target, now))
            continue;
        while (const auto next = target->queue->pop()) {
            if (Request *request = findRequest(next->id))
                finish(*request,
                       {ErrorKind::NoUpstream, request->tokens > 0 ? Outcome::Ran : Outcome::NotRun,
                        "", 0},
                       now);
        }
    }
}

/// Ends what can no longer be on time, where the class wants that.
void RouterCore::expire(Time now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestId id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        Request *request = findRequest(id);
        if (!request)
            continue;
        const bool drops = request->cls.late == LatePolicy::Drop && m_strategy.dropLate;
        const Time longest = request->arrived + m_tuning.maxOpenTime;
        if (!drops && now < longest) {
            request->lookAt = longest;
            m_deadlines.emplace(longest, id);
            continue;
        }
        // What is known of an attempt that is out decides the outcome, not the deadline.
        switch (request->life.state()) {
        case RequestState::Queued:
            finish(*request,
                   {ErrorKind::DeadlineQueued, request->tokens > 0 ? Outcome::Ran : Outcome::NotRun,
                    "", 0},
                   now);
            break;
        case RequestState::Running:
            // A stream that runs has cost the engine something; whether a call had its effect is
            // not known before its answer.
            cancelAtAgent(*request);
            finish(*request,
                   {ErrorKind::DeadlineRunning,
                    request->ask.isModel ? Outcome::Ran : Outcome::Unknown, "", 0},
                   now);
            break;
        case RequestState::Sent:
        case RequestState::Recovering:
            cancelAtAgent(*request);
            finish(*request, {ErrorKind::DeadlineRunning, Outcome::Unknown, "", 0}, now);
            break;
        case RequestState::Ended:
            break;
        }
    }
}

std::vector<TargetName> RouterCore::targets() const
{
    std::vector<TargetName> names;
    for (const auto &[name, target] : m_targets) {
        if (!target->agents.empty())
            names.push_back(name);
    }
    return names;
}

std::vector<RouteCandidate> RouterCore::explain(const TargetName &target, Time now)
{
    std::vector<RouteCandidate> views;
    const auto it = m_targets.find(target);
    if (it == m_targets.end())
        return views;
    const double median = medianGap(*it->second);
    for (const AgentStatus &status : agents()) {
        if (status.target != target)
            continue;
        Agent &agent = *m_agents.at(status.name);
        std::string reason = exclusionReason(agent, now);
        if (reason.empty() && !hasRoom(agent, std::nullopt))
            reason = "no room";
        views.push_back({status, placementCost(candidateOf(agent, median)), std::move(reason)});
    }
    return views;
}

} // namespace reachlead
