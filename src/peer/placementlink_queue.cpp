// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The part of PlacementLink about calls that wait at schedulers.

#include <algorithm>
#include <utility>

#include <reachlead/completion.h>
#include <reachlead/log.h>

#include "peer/placementlink.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// The end of a wait is repeated on request for this time; a grant expires after it.
constexpr Duration replyLifetime = UpstreamTable::pendingPlacementTimeout;

/// Schedulers at which one call may wait before its gateway places it by its own knowledge.
constexpr int maxSchedulers = 2;

std::uint32_t toMs(Duration d)
{
    return static_cast<std::uint32_t>(std::max(0.0, toMillis(d)));
}

/// Cancels a timer when the call is no longer wanted, for as long as this object lives.
class CancelGuard
{
public:
    CancelGuard(CancelSignal *signal, Timer &timer) : m_signal(signal)
    {
        if (m_signal != nullptr)
            m_signal->setHandler([&timer] { timer.cancel(); });
    }
    ~CancelGuard()
    {
        if (m_signal != nullptr)
            m_signal->setHandler(nullptr);
    }
    CancelGuard(const CancelGuard &) = delete;
    CancelGuard &operator=(const CancelGuard &) = delete;

    bool isCancelled() const { return m_signal != nullptr && m_signal->isCancelled(); }

private:
    CancelSignal *m_signal;
};

} // namespace

/// Only calls that were not sent yet wait: a call that is sent again has lost time already.
bool PlacementLink::mayWait(const SelectionQuery &query) const
{
    return m_queue.isEnabled() && query.mayRefuse
        && (!query.prompt.empty() || m_queue.queuesPlainCalls());
}

QueueTerms PlacementLink::makeQueueTerms(const SelectionQuery &query, Duration waited) const
{
    QueueTerms terms;
    terms.account = query.account;
    terms.requestKey = query.requestKey;
    terms.outputTokens = static_cast<std::uint32_t>(query.outputTokens);
    terms.bytes = static_cast<std::uint32_t>(query.bytes);
    terms.waitedMs = toMs(waited);
    return terms;
}

void PlacementLink::beginStop()
{
    m_stopping = true;
    m_queue.handBackAll();
}

// Calls of this gateway

/// Queries the scheduler of a group, which may be this gateway. If the call waits there and the
/// scheduler is lost or stops, the next one continues the wait.
asio::awaitable<PlacementLink::SchedulerResult>
PlacementLink::placeByScheduler(SelectionQuery *query, GroupName group)
{
    SchedulerResult result;
    for (int n = 0; n < maxSchedulers; ++n) {
        const VmName scheduler = schedulerFor(group);
        query->isGroupScheduler = scheduler == m_state.vm();
        query->ownsLimits = ownsGroupLimits(group);
        if (!query->isGroupScheduler) {
            result = co_await queryScheduler(scheduler, group, *query, result.waited);
            count(result.placed ? Counter::PlacementsAnswered : Counter::PlacementsUnanswered);
        } else if (mayWait(*query) && !m_stopping) {
            result = co_await waitLocally(*query, group, result.waited);
        } else {
            co_return result;
        }
        if (!result.isHandedBack)
            break;
    }
    co_return result;
}

/// Lets a call wait in the queue of this gateway.
asio::awaitable<PlacementLink::SchedulerResult>
PlacementLink::waitLocally(SelectionQuery query, GroupName group, Duration waited)
{
    QueuedCall call = QueuedCall::fromQuery(query, group, m_state.vm());
    call.id.query = ++m_lastLocalId;
    call.incarnation = m_peers.incarnation();
    call.waited = waited;
    const WaitingCallId id = call.id;
    std::optional<QueueOutcome> outcome = m_queue.submit(std::move(call));
    SchedulerResult result;
    result.waited = waited;
    if (!outcome) {
        LocalWaiter waiter(m_io);
        const CancelGuard guard(query.cancel, waiter.timer);
        const auto waiters = m_localWaiters; // may outlive the link
        waiters->emplace(id.query, &waiter);
        const Duration remaining = m_queue.remainingWait(group, id).value_or(Duration{});
        waiter.timer.expires_after(remaining + lostAfter);
        error_code ec;
        if (!guard.isCancelled())
            co_await waiter.timer.async_wait(storeError(&ec));
        waiters->erase(id.query);
        outcome = std::move(waiter.outcome);
        if (!outcome || guard.isCancelled())
            m_queue.withdraw(group, id);
        if (guard.isCancelled()) {
            result.placed.emplace().isWithdrawn = true;
            co_return result;
        }
    }
    if (!outcome || outcome->isHandedBack) {
        result.isHandedBack = true;
        result.waited = outcome ? outcome->waited : waited;
        co_return result;
    }
    PlacementResult &placed = result.placed.emplace();
    placed.placedBy = m_state.vm();
    placed.selection = std::move(outcome->selection);
    placed.retryAfter = outcome->retryAfter;
    placed.refusal = outcome->refusal;
    placed.waited = outcome->waited;
    co_return result;
}

/// Waits until the scheduler grants or refuses an upstream, or is lost.
asio::awaitable<PlacementLink::SchedulerResult>
PlacementLink::waitForGrant(Waiter &waiter, QueryId id, GroupName group, SelectionQuery query)
{
    const Time startedAt = RuntimeClock::now();
    SchedulerResult result;
    Time heardAt = startedAt;
    const CancelGuard guard(query.cancel, waiter.timer);
    while (!guard.isCancelled()) {
        if (waiter.reply && !(waiter.reply->queue && waiter.reply->queue->waitMs > 0))
            break;
        if (waiter.reply) {
            heardAt = RuntimeClock::now();
            m_busyUntil[group] = heardAt + PlacementQueue::busyTime;
            waiter.reply.reset();
        }
        if (heardAt + lostAfter <= RuntimeClock::now())
            break;
        error_code ec;
        waiter.timer.expires_after(noteInterval);
        co_await waiter.timer.async_wait(storeError(&ec));
        if (!waiter.reply && !guard.isCancelled())
            sendNote(waiter.scheduler, group, id, false);
    }
    result.waited = RuntimeClock::now() - startedAt;
    if (guard.isCancelled()) {
        sendNote(waiter.scheduler, group, id, true);
        result.placed.emplace().isWithdrawn = true;
        co_return result;
    }
    const std::optional<PlacementReply> &reply = waiter.reply;
    if (reply && (reply->placed || reply->retryAfterMs)) {
        result.placed = acceptReply(*reply, group, query);
        co_return result;
    }
    if (!reply || reply->isStopping) {
        m_queries.schedulerLost(waiter.scheduler, RuntimeClock::now());
        count(Counter::QueueSchedulersLost);
        LogLine(LogLevel::Info, "queue-scheduler-lost")
            .with("scheduler", waiter.scheduler.text)
            .with("service", group.service.text)
            .with("group", group.number)
            .with("stopping", reply.has_value())
            .with("waited_ms", toMs(result.waited));
    }
    result.isHandedBack = true;
    co_return result;
}

void PlacementLink::sendNote(const VmName &scheduler, const GroupName &group, QueryId id,
                             bool isWithdrawn)
{
    const WaitingCallNote note{m_state.vm(), m_peers.incarnation(), group, id, isWithdrawn};
    sendTo(scheduler, PeerMessageKind::WaitingCallNote, encodeWaitingCallNote(note));
}

/// Delay of the next report: shorter while calls wait for an upstream to become free.
Duration PlacementLink::nextReportDelay() const
{
    return m_busyUntil.empty() ? m_options.reportInterval
                               : std::min(busyReportInterval, m_options.reportInterval);
}

// Calls of other gateways, at their scheduler

QueuedCall PlacementLink::makeQueuedCall(const PlacementQuery &query,
                                         const SelectionQuery &selection)
{
    QueuedCall call = QueuedCall::fromQuery(selection, query.report.group, query.report.from);
    call.id.query = query.queryId;
    call.incarnation = query.report.incarnation;
    call.isLocal = false;
    call.zone = query.zone;
    call.account = query.queue->account;
    call.requestKey = query.queue->requestKey;
    call.outputTokens = query.queue->outputTokens;
    call.bytes = query.queue->bytes;
    call.waited = milliseconds(query.queue->waitedMs);
    return call;
}

void PlacementLink::handleQueuedQuery(const PlacementQuery &query, const SelectionQuery &selection,
                                      const UdpEndpoint &from)
{
    QueuedCall call = makeQueuedCall(query, selection);
    const auto answer = [&](const PlacementReply &reply) {
        m_peers.sendTo(from, PeerMessageKind::PlacementReply, encodePlacementReply(reply));
    };
    // A datagram may arrive twice.
    const auto sent = m_sentReplies.find(call.id);
    if (sent != m_sentReplies.end() && sent->second.reply.querier == call.incarnation) {
        answer(sent->second.reply);
        return;
    }
    const QueuedCall copy = call;
    const auto outcome = m_queue.submit(std::move(call));
    if (!outcome) {
        const auto remaining = m_queue.remainingWait(copy.group, copy.id);
        answer(makeWaitReply(copy, remaining.value_or(Duration{})));
        return;
    }
    const PlacementReply reply = makeOutcomeReply(copy, *outcome);
    dropOldReplies(RuntimeClock::now());
    m_sentReplies.insert_or_assign(copy.id, SentReply{reply, RuntimeClock::now()});
    count(outcome->selection ? Counter::PlacementsGiven : Counter::PlacementsDeclined);
    answer(reply);
}

PlacementReply PlacementLink::makeWaitReply(const QueuedCall &call, Duration remaining) const
{
    PlacementReply reply;
    reply.from = m_state.vm();
    reply.querier = call.incarnation;
    reply.queryId = call.id.query;
    reply.queue.emplace().waitMs = std::max(1U, toMs(remaining));
    return reply;
}

PlacementReply PlacementLink::makeOutcomeReply(const QueuedCall &call,
                                               const QueueOutcome &outcome) const
{
    PlacementReply reply;
    reply.from = m_state.vm();
    reply.querier = call.incarnation;
    reply.queryId = call.id.query;
    reply.isStopping = outcome.isHandedBack;
    if (outcome.selection)
        reply.placed = compactSelection(*outcome.selection);
    if (outcome.retryAfter) {
        reply.retryAfterMs = toMs(*outcome.retryAfter);
        reply.refusal = static_cast<std::uint8_t>(outcome.refusal);
    }
    if (outcome.grant != 0 || outcome.retryAfter || m_queue.isBusy(call.group)) {
        QueueReply &queue = reply.queue.emplace();
        queue.grant = outcome.grant;
        queue.waitedMs = toMs(outcome.waited);
    }
    return reply;
}

/// Passes the end of a wait on to the call's coroutine or gateway.
void PlacementLink::queueEnded(const QueuedCall &call, const QueueOutcome &outcome)
{
    if (call.isLocal) {
        const auto it = m_localWaiters->find(call.id.query);
        if (it == m_localWaiters->end())
            return;
        it->second->outcome = outcome;
        it->second->timer.cancel();
        return;
    }
    const Time now = RuntimeClock::now();
    const PlacementReply reply = makeOutcomeReply(call, outcome);
    dropOldReplies(now);
    m_sentReplies.insert_or_assign(call.id, SentReply{reply, now});
    count(outcome.selection ? Counter::PlacementsGiven : Counter::PlacementsDeclined);
    refreshFleet();
    sendTo(call.id.gateway, PeerMessageKind::PlacementReply, encodePlacementReply(reply));
}

void PlacementLink::dropOldReplies(Time now)
{
    if (now < m_repliesDroppedAt + replyLifetime)
        return;
    m_repliesDroppedAt = now;
    std::erase_if(m_sentReplies,
                  [&](const auto &it) { return it.second.at + replyLifetime < now; });
}

void PlacementLink::handleNote(const WaitingCallNote &note, const UdpEndpoint &from)
{
    const WaitingCallId id{note.from, note.queryId};
    if (note.isWithdrawn) {
        m_queue.withdraw(note.group, id);
        return;
    }
    m_queue.heardOf(note.group, id);
    QueuedCall call;
    call.group = note.group;
    call.id = id;
    call.incarnation = note.incarnation;
    PlacementReply reply;
    const auto sent = m_sentReplies.find(id);
    if (const auto remaining = m_queue.remainingWait(note.group, id)) {
        reply = makeWaitReply(call, *remaining);
    } else if (sent != m_sentReplies.end() && sent->second.reply.querier == note.incarnation) {
        reply = sent->second.reply;
    } else {
        reply = makeOutcomeReply(call, {}); // this gateway was restarted, or dropped the call
    }
    m_peers.sendTo(from, PeerMessageKind::PlacementReply, encodePlacementReply(reply));
}

} // namespace reachlead
