// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "routercore_pvt.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace reachlead {

namespace {

/// Assumed bytes per token of a prompt; no better estimate is available here.
constexpr double bytesPerToken = 4.0;

/// The table of length estimates is cleared when it reaches this size.
constexpr std::size_t maxLengthEstimates = 65536;

} // namespace

// ---- construction -----------------------------------------------------------------------

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

RouterCore::Target &RouterCore::findOrAddTarget(const TargetName &name)
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

LengthEstimate &RouterCore::lengthEstimate(const ClassName &cls, const AccountName &account)
{
    if (m_lengthEstimates.size() >= maxLengthEstimates)
        m_lengthEstimates.clear();
    return m_lengthEstimates[{cls, account}];
}

Duration RouterCore::drawRetryDelay(unsigned retry)
{
    std::uniform_int_distribution<Duration::rep> spread(0, maxRetryBackoff(retry).count());
    return Duration(spread(m_random));
}

bool RouterCore::apply(Request &request, RequestEvent event)
{
    if (request.lifecycle.apply(event))
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
        m_targets.begin(), m_targets.end(), m_delayedRetries.size(),
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
    const ErrorKind kind = checkAdmission(request, *cls, now);
    if (kind != ErrorKind::None) {
        refuse(id, kind, request.target.text);
        return;
    }
    m_counters->add(Counter::RequestsAccepted);
    m_budgets[cls->name].recordFirstAttempt();
    auto record = std::make_unique<Request>();
    record->cls = *cls;
    record->arrivedAt = now;
    record->deadline = now + cls->deadline;
    record->promptTokens = static_cast<double>(request.call.body.size()) / bytesPerToken;
    record->cost = record->promptTokens + lengthEstimate(cls->name, request.account).value();
    record->callerRequest = std::move(request);
    Request &stored = *record;
    m_requests.emplace(id, std::move(record));
    enqueue(stored, now);
    if (const auto it = m_targets.find(stored.callerRequest.target); it != m_targets.end())
        dispatchQueued(*it->second, now);
}

ErrorKind RouterCore::checkAdmission(const CallerRequest &request, const ClassPolicy &cls, Time now)
{
    if (m_stopping)
        return ErrorKind::RouterStopping;
    if (isQuarantined(request, now))
        return ErrorKind::RequestQuarantined;
    const auto it = m_targets.find(request.target);
    if (it == m_targets.end() || isUpstreamUnavailable(*it->second, now))
        return ErrorKind::NoUpstream;
    Target &target = *it->second;
    const AccountPolicy *account = m_policies->findAccount(request.account);
    if (account && account->limits.queueShare) {
        const double places = *account->limits.queueShare * static_cast<double>(cls.queueBound);
        const std::size_t waiting = target.queue->waiting(cls.name, request.account);
        if (static_cast<double>(waiting) >= std::max(1.0, places))
            return ErrorKind::AccountQueueShare;
    }
    if (m_strategy.earlyRefusal && isPredictedLate(target, cls, now))
        return ErrorKind::PredictedLate;
    return m_limiter.acquire(request.account, now);
}

/// Returns whether requests with the same content have crashed upstreams, so that it must not be
/// sent to any.
bool RouterCore::isQuarantined(const CallerRequest &callerRequest, Time now) const
{
    if (m_crashes.isEmpty())
        return false;
    const RequestContent content = requestContent(callerRequest.account, callerRequest.call);
    return m_crashes.mayContain(computeFastHash(content))
        && m_crashes.remainingQuarantine(computeDigest(content), now).has_value();
}

/// The predicted wait is the number of requests to be served first, times the time between
/// dispatches. The service reserved for the floors of the other classes is subtracted from the rate
/// beforehand.
bool RouterCore::isPredictedLate(const Target &target, const ClassPolicy &cls, Time now) const
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
    const double overdue =
        std::max(0.0, toSeconds(now - target.lastDispatchAt) - target.dispatchIntervalSeconds);
    const double wait = ahead * target.dispatchIntervalSeconds / rate + overdue;
    return wait > toSeconds(cls.firstTokenTarget);
}

/// Returns whether the answer, of a class that drops late answers, would most likely miss its
/// deadline. Engine time spent on it would be wasted, and is better used for a request that can
/// still meet its deadline.
bool RouterCore::isTooLateToStart(const Request &request, const Target &target, Time now)
{
    if (request.cls.late != LatePolicy::Drop || !m_strategy.dropLate
        || !request.callerRequest.isModel)
        return false;
    const auto it = m_medianLengthEstimates.find(request.cls.name);
    if (it == m_medianLengthEstimates.end() || !it->second.hasEnoughSamples())
        return false;
    const double left = std::max(1.0, it->second.value() - static_cast<double>(request.tokens));
    const double run = left * medianTokenGap(target) / 1e6;
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
    Target &target = findOrAddTarget(request.callerRequest.target);
    const QueuedRequest waiting{request.callerRequest.id, request.cls.name,
                                request.callerRequest.account, request.deadline, request.cost};
    request.nextCheckAt = request.deadline;
    m_deadlines.emplace(request.nextCheckAt, request.callerRequest.id);
    const std::optional<ShedRequest> shed = target.queue->push(waiting);
    if (!shed)
        return;
    if (Request *victim = findRequest(shed->id)) {
        const bool partial = victim->tokens > 0;
        finish(
            *victim,
            {shed->kind, partial ? Outcome::Ran : Outcome::NotRun, "shed from the full queue", 0},
            now);
    }
}

// ---- time -------------------------------------------------------------------------------

void RouterCore::tick(Time now)
{
    requeueDelayed(now);
    expireDeadlines(now);
    refuseWithoutUpstream(now);
    expireRecoveries(now);
    checkHeartbeats(now);
    m_crashes.dropExpired(now);
    dispatchAllQueued(now);
    updateGauges();
}

/// Returns retries to their queue once their backoff has passed.
void RouterCore::requeueDelayed(Time now)
{
    while (!m_delayedRetries.empty() && m_delayedRetries.begin()->first <= now) {
        const RequestId id = m_delayedRetries.begin()->second;
        m_delayedRetries.erase(m_delayedRetries.begin());
        if (Request *request = findRequest(id))
            enqueue(*request, now);
    }
}

/// Returns whether the target has no agents, or none has been connected for longer than
/// RouterTuning::upstreamWait.
bool RouterCore::isUpstreamUnavailable(const Target &target, Time now) const
{
    const bool anyUp = std::ranges::any_of(
        target.agents, [&](const VmName &name) { return m_agents.at(name)->up; });
    return target.agents.empty() || (!anyUp && now - target.lastAgentUpAt > m_tuning.upstreamWait);
}

/// Refuses the requests queued for a target that no agent serves. Their callers are informed at
/// once, with the time after which to retry.
void RouterCore::refuseWithoutUpstream(Time now)
{
    for (auto &[name, target] : m_targets) {
        const bool anyUp = std::ranges::any_of(
            target->agents, [&](const VmName &agent) { return m_agents.at(agent)->up; });
        if (anyUp)
            target->lastAgentUpAt = now;
        if (!isUpstreamUnavailable(*target, now))
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

/// Ends requests that exceeded their deadline, if their class drops late answers, and those that
/// exceeded RouterTuning::maxOpenTime.
void RouterCore::expireDeadlines(Time now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestId id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        Request *request = findRequest(id);
        if (!request)
            continue;
        const bool isDropped = request->cls.late == LatePolicy::Drop && m_strategy.dropLate;
        const Time openLimit = request->arrivedAt + m_tuning.maxOpenTime;
        if (!isDropped && now < openLimit) {
            request->nextCheckAt = openLimit;
            m_deadlines.emplace(openLimit, id);
            continue;
        }
        // The outcome depends on what is known about the attempt in progress, not on the deadline.
        switch (request->lifecycle.state()) {
        case RequestState::Queued:
            finish(*request,
                   {ErrorKind::DeadlineQueued, request->tokens > 0 ? Outcome::Ran : Outcome::NotRun,
                    "", 0},
                   now);
            break;
        case RequestState::Running:
            // A running stream has already used engine time. Whether a plain call took effect is
            // not known before its answer.
            cancelAtAgent(*request);
            finish(*request,
                   {ErrorKind::DeadlineRunning,
                    request->callerRequest.isModel ? Outcome::Ran : Outcome::Unknown, "", 0},
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
    const double median = medianTokenGap(*it->second);
    for (const AgentStatus &status : agents()) {
        if (status.target != target)
            continue;
        Agent &agent = *m_agents.at(status.name);
        std::string reason = exclusionReason(agent, now);
        if (reason.empty() && !hasRoom(agent, std::nullopt))
            reason = "no room";
        views.push_back({status, placementCost(makeCandidate(agent, median)), std::move(reason)});
    }
    return views;
}

} // namespace reachlead
