// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/placementqueue.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>

#include <reachlead/log.h>

namespace reachlead {

namespace {

constexpr Duration logInterval = seconds(1);

TokenCount promptTokens(const QueuedCall &call)
{
    return std::transform_reduce(call.prompt.begin(), call.prompt.end(), TokenCount{0}, std::plus(),
                                 [](const PromptPart &part) { return part.tokens; });
}

/// All parts but the last, which is of the call alone.
std::size_t sharedPartCount(const QueuedCall &call)
{
    return call.prompt.empty() ? 0 : call.prompt.size() - 1;
}

/// A hash of what decides which upstream is the best for a call: what restricts the choice, and the
/// shared parts of the prompt, as they may be cached.
std::uint64_t eligibilityOf(const QueuedCall &call)
{
    std::string key = call.isLocal ? "l" : "r";
    const auto append = [&key](std::string_view text) { key.append(text).push_back('\0'); };
    for (const UpstreamId &id : call.tried)
        append(id.text);
    append("zones");
    if (call.permittedZones) {
        for (const ZoneName &zone : *call.permittedZones)
            append(zone.text);
    }
    append(call.softwareVersion ? call.softwareVersion->text : "any");
    append(call.model);
    for (const PromptPart &part : call.prompt | std::views::take(sharedPartCount(call)))
        append(std::to_string(part.id));
    return std::hash<std::string>{}(key);
}

} // namespace

QueuedCall QueuedCall::fromQuery(const SelectionQuery &query, const GroupName &group,
                                 const VmName &self)
{
    QueuedCall call;
    call.group = group;
    call.id.gateway = self;
    call.isLocal = true;
    call.model = query.model;
    call.prompt.assign(query.prompt.begin(), query.prompt.end());
    if (query.tried != nullptr)
        call.tried = *query.tried;
    call.slack = query.slack;
    call.account = query.account;
    call.requestKey = query.requestKey;
    call.outputTokens = query.outputTokens;
    call.bytes = query.bytes;
    if (query.permittedZones != nullptr)
        call.permittedZones = *query.permittedZones;
    if (query.softwareVersion != nullptr)
        call.softwareVersion = *query.softwareVersion;
    return call;
}

PlacementQueue::PlacementQueue(boost::asio::io_context &io, const Options &options,
                               GatewayState &state, Counters *counters, Deliver deliver,
                               OwnsLimits ownsLimits)
    : m_io(io), m_options(options), m_state(state), m_counters(counters),
      m_deliver(std::move(deliver)), m_ownsLimits(std::move(ownsLimits)), m_timer(io)
{ }

void PlacementQueue::count(Counter c, std::uint64_t n)
{
    if (m_counters != nullptr && n > 0)
        m_counters->add(c, n);
}

SelectionQuery PlacementQueue::makeQuery(const QueuedCall &call) const
{
    SelectionQuery query{call.group.service, call.model, call.prompt, &call.tried};
    query.serviceInfo = m_state.table() ? m_state.table()->service(call.group.service) : nullptr;
    query.zone = call.isLocal ? nullptr : &call.zone;
    query.permittedZones = call.permittedZones ? &*call.permittedZones : nullptr;
    query.softwareVersion = call.softwareVersion ? &*call.softwareVersion : nullptr;
    query.group = &m_state.groups().groupMembers(call.group, m_state.directory());
    query.slack = call.slack;
    query.account = call.account;
    query.outputTokens = call.outputTokens;
    query.isGroupScheduler = true;
    query.ownsLimits = m_ownsLimits(call.group);
    query.isLocal = call.isLocal;
    return query;
}

std::optional<Selection> PlacementQueue::select(const QueuedCall &call, bool requiresRoom, Time now)
{
    SelectionQuery query = makeQuery(call);
    query.requiresRoom = requiresRoom;
    return m_state.upstreams().select(query, m_state.directory(), now);
}

/// \p base is where the call would be placed if room did not matter.
WaitingCall PlacementQueue::makeWaitingCall(const QueuedCall &call, const Selection &base,
                                            Time now) const
{
    WaitingCall waiting;
    waiting.id = call.id;
    waiting.urgencyRank = call.slack.urgencyRank;
    waiting.account = call.account;
    waiting.units = std::max(1.0, static_cast<double>(base.prefillTokens + call.outputTokens));
    waiting.size = promptTokens(call) + call.outputTokens;
    waiting.bytes = call.bytes;
    waiting.requestKey = call.requestKey;
    waiting.eligibility = eligibilityOf(call);
    waiting.arrivedAt = now - call.waited;
    const Duration maxByTimeLeft =
        std::max(Duration{}, fromSeconds(toSeconds(call.slack.timeLeft) * (1.0 - answerShare)));
    Duration maxWait = maxByTimeLeft;
    if (call.slack.target > Duration{})
        maxWait = std::min(maxByTimeLeft,
                           fromSeconds(toSeconds(call.slack.target) * m_options.waitTargets));
    waiting.latestStart = now + maxWait - call.waited;
    waiting.latestReturn = now + maxByTimeLeft;
    return waiting;
}

/// Places a call if an upstream has room.
CallQueue::Offer PlacementQueue::offer(Waiting &waiting, bool isNew, Time now, Outcomes *outcomes)
{
    const QueuedCall &call = waiting.call;
    QueueOutcome outcome;
    outcome.selection = std::exchange(waiting.found, std::nullopt);
    if (!outcome.selection)
        outcome.selection = select(call, true, now);
    if (!outcome.selection)
        return CallQueue::Offer::NoRoom;
    outcome.waited = now - waiting.since + call.waited;
    if (!call.isLocal) {
        outcome.grant = isNew ? 0 : ++m_lastGrant;
        const QueryId number = isNew ? call.id.query : outcome.grant;
        m_state.upstreams().addPendingPlacement(call.id.gateway, number, makeQuery(call),
                                                *outcome.selection, now);
    }
    outcomes->emplace(call.id, std::move(outcome));
    // A call of this gateway counts as load once its coroutine has sent it.
    return call.isLocal ? CallQueue::Offer::BegunLast : CallQueue::Offer::Begun;
}

/// Offers the waiting calls of a group, and refuses those that cannot begin in time any more.
void PlacementQueue::offerGroup(Group &group, const std::optional<WaitingCallId> &newCall, Time now,
                                Outcomes *outcomes)
{
    bool isAgainDue = false;
    group.queue.dispatch(now, [&](const WaitingCall &it) {
        const auto result = offer(group.waiting.at(it.id), it.id == newCall, now, outcomes);
        isAgainDue |= result == CallQueue::Offer::BegunLast;
        return result;
    });
    for (const QueueRefusal &refusal : group.queue.refuseOverdue(now)) {
        QueueOutcome outcome;
        outcome.retryAfter = refusal.retryAfter;
        outcome.refusal = refusal.kind;
        outcome.waited = now - refusal.call.arrivedAt;
        count(Counter::PlacesKept, refusal.hasKeptPlace ? 1 : 0);
        outcomes->emplace(refusal.call.id, std::move(outcome));
    }
    if (!isAgainDue)
        return;
    boost::asio::post(m_io, [this, alive = std::weak_ptr(m_lifetime)] {
        if (!alive.expired())
            offerAll();
    });
}

std::optional<QueueOutcome> PlacementQueue::submit(QueuedCall call)
{
    const Time now = RuntimeClock::now();
    Group &group = m_groups.try_emplace(call.group, m_options.bounds).first->second;
    const WaitingCallId id = call.id;
    std::optional<Selection> found;
    if (group.queue.isEmpty())
        found = select(call, true, now);
    const std::optional<Selection> anywhere = found ? found : select(call, false, now);
    if (!anywhere)
        return QueueOutcome{}; // no upstream takes the call, with room or without
    const WaitingCall waiting = makeWaitingCall(call, *anywhere, now);
    group.queue.add(waiting, now);
    count(Counter::PlacesTaken, group.queue.find(id)->hasKeptPlace ? 1 : 0);
    group.waiting.insert_or_assign(id, Waiting{std::move(call), now, now, std::move(found)});
    Outcomes outcomes;
    offerGroup(group, id, now, &outcomes);
    if (group.queue.find(id) != nullptr) {
        if (const auto refusal = group.queue.refuseIfLate(id, anywhere->minQueueWait, now)) {
            QueueOutcome outcome;
            outcome.retryAfter = refusal->retryAfter;
            count(Counter::PlacesKept, refusal->hasKeptPlace ? 1 : 0);
            outcomes.emplace(id, std::move(outcome));
        }
    }
    std::optional<QueueOutcome> own;
    if (const auto node = outcomes.extract(id)) {
        own = node.mapped();
        if (own->retryAfter)
            ++m_refusedSinceLog[own->refusal];
        group.waiting.erase(id);
    }
    endWaits(group, outcomes);
    if (!own) {
        count(Counter::CallsQueued);
        ++m_queuedSinceLog;
    }
    if (!group.queue.isEmpty()) {
        group.busyAt = now;
        startTimer();
    }
    updateGauges();
    return own;
}

void PlacementQueue::endWaits(Group &group, const Outcomes &outcomes)
{
    for (const auto &[id, outcome] : outcomes) {
        const auto node = group.waiting.extract(id);
        if (!node)
            continue;
        if (outcome.selection) {
            count(Counter::CallsGranted);
            ++m_grantedSinceLog;
            m_waitedSinceLog += outcome.waited;
        } else if (outcome.retryAfter) {
            ++m_refusedSinceLog[outcome.refusal];
        }
        m_deliver(node.mapped().call, outcome);
    }
}

/// Drops the calls of gateways that have said nothing for long.
void PlacementQueue::dropSilent(Group &group, Time now)
{
    std::erase_if(group.waiting, [&](const auto &it) {
        const bool isSilent = !it.second.call.isLocal && it.second.heardAt + silenceLimit < now;
        if (isSilent && group.queue.withdraw(it.first))
            count(Counter::CallsWithdrawn);
        return isSilent;
    });
}

void PlacementQueue::offerAll()
{
    const Time now = RuntimeClock::now();
    for (Group &group : m_groups | std::views::values) {
        if (group.queue.isEmpty())
            continue;
        group.busyAt = now;
        dropSilent(group, now);
        Outcomes outcomes;
        offerGroup(group, std::nullopt, now, &outcomes);
        endWaits(group, outcomes);
    }
    updateGauges();
    logSummary(now);
}

void PlacementQueue::startTimer()
{
    if (std::exchange(m_isTimerRunning, true))
        return;
    m_timer.expires_after(offerInterval);
    m_timer.async_wait([this, alive = std::weak_ptr(m_lifetime)](boost::system::error_code ec) {
        if (ec || alive.expired())
            return;
        m_isTimerRunning = false;
        offerAll();
        const bool anyWaits = std::ranges::any_of(
            m_groups | std::views::values, [](const Group &it) { return !it.queue.isEmpty(); });
        if (anyWaits)
            startTimer();
    });
}

std::optional<Duration> PlacementQueue::remainingWait(const GroupName &group,
                                                      const WaitingCallId &id) const
{
    const auto it = m_groups.find(group);
    const WaitingCall *call = it == m_groups.end() ? nullptr : it->second.queue.find(id);
    if (call == nullptr)
        return std::nullopt;
    return std::max(Duration{}, call->latestStart - RuntimeClock::now());
}

void PlacementQueue::heardOf(const GroupName &group, const WaitingCallId &id)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    if (const auto waiting = it->second.waiting.find(id); waiting != it->second.waiting.end())
        waiting->second.heardAt = RuntimeClock::now();
}

void PlacementQueue::withdraw(const GroupName &group, const WaitingCallId &id)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    it->second.waiting.erase(id);
    if (it->second.queue.withdraw(id))
        count(Counter::CallsWithdrawn);
    updateGauges();
}

void PlacementQueue::handBackAll()
{
    const Time now = RuntimeClock::now();
    for (Group &group : m_groups | std::views::values) {
        Outcomes outcomes;
        for (const WaitingCall &call : group.queue.takeAll()) {
            QueueOutcome outcome;
            outcome.isHandedBack = true;
            outcome.waited = now - call.arrivedAt;
            outcomes.emplace(call.id, std::move(outcome));
        }
        count(Counter::CallsHandedBack, outcomes.size());
        endWaits(group, outcomes);
    }
    updateGauges();
}

bool PlacementQueue::isBusy(const GroupName &group) const
{
    const auto it = m_groups.find(group);
    return it != m_groups.end() && it->second.busyAt
        && RuntimeClock::now() < *it->second.busyAt + busyTime;
}

void PlacementQueue::updateGauges()
{
    if (m_counters == nullptr)
        return;
    std::size_t calls = 0;
    std::size_t places = 0;
    for (const Group &group : m_groups | std::views::values) {
        calls += group.queue.size();
        places += group.queue.keptPlaces();
    }
    m_counters->set(Gauge::WaitingCalls, static_cast<std::int64_t>(calls));
    m_counters->set(Gauge::KeptPlaces, static_cast<std::int64_t>(places));
}

/// Logs what waited since the last line, at most once per logInterval.
void PlacementQueue::logSummary(Time now)
{
    if (now < m_loggedAt + logInterval)
        return;
    m_loggedAt = now;
    std::size_t calls = 0;
    std::size_t places = 0;
    for (const Group &group : m_groups | std::views::values) {
        calls += group.queue.size();
        places += group.queue.keptPlaces();
    }
    const unsigned granted = std::exchange(m_grantedSinceLog, 0);
    const Duration waited = std::exchange(m_waitedSinceLog, Duration{});
    LogLine(LogLevel::Info, "call-queue")
        .with("waiting", calls)
        .with("kept_places", places)
        .with("queued", std::exchange(m_queuedSinceLog, 0))
        .with("granted", granted)
        .with("mean_wait_ms",
              granted == 0 ? 0 : static_cast<std::int64_t>(toMillis(waited) / granted))
        .with("predicted_late", m_refusedSinceLog[ErrorKind::PredictedLate])
        .with("expired", m_refusedSinceLog[ErrorKind::QueueWaitExpired])
        .with("full", m_refusedSinceLog[ErrorKind::QueueFull]);
    m_refusedSinceLog.clear();
}

} // namespace reachlead
