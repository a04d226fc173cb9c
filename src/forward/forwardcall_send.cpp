// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// ForwardCall's sends to upstreams: the choice of one, one exchange with it, and what its end
/// says.

#include "forwardcall.h"

#include <algorithm>
#include <ranges>

#include <reachlead/log.h>

#include "crashdetector.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;

/// A connection that is not open after this is given up: some times the round trip between zones.
constexpr Duration connectLimit = milliseconds(300);

/// Another send is of use only with this much of the route's target left.
constexpr int targetPartForSend = 8;
constexpr Duration leastTimeForSend = milliseconds(20);

} // namespace

SelectionQuery ForwardCall::makeAsk() const
{
    SelectionQuery ask{m_service, m_metadata.model, m_metadata.prompt, &m_tried,
                       m_table->service(m_service)};
    ask.slack = {milliseconds(m_route->targetLatencyMs), timeLeft(),
                 m_table->isMostUrgent(*m_route, m_service), m_route->priority};
    ask.permittedZones = m_zones ? &*m_zones : nullptr;
    ask.mayRefuse = m_tried.empty() && !m_metadata.resumeAfter;
    return ask;
}

/// Chooses an upstream, or has it chosen.
asio::awaitable<PlacementResult> ForwardCall::choose()
{
    GatewayState &state = m_shared.state;
    SelectionQuery ask = makeAsk();
    PlacementResult placed;
    if (m_shared.selector == nullptr) {
        placed.selection = state.upstreams().select(ask, state.directory(), RuntimeClock::now());
        co_return placed;
    }
    placed = co_await m_shared.selector->select(std::move(ask));
    m_placedBy = placed.placedBy;
    m_placing += placed.duration;
    co_return placed;
}

/// Why no upstream may be sent the call. Entries of the service that take no work for another
/// reason are of no matter: they are not what the caller waits for.
ErrorKind ForwardCall::kindWithoutUpstream() const
{
    const UpstreamDirectory &directory = m_shared.state.directory();
    if (!directory.usableUpstreams(m_service).empty()) {
        const SelectionQuery ask = makeAsk();
        const UpstreamTable &book = m_shared.state.upstreams();
        const Time now = RuntimeClock::now();
        if (book.isBlockedByBackoff(ask, directory, now))
            return ErrorKind::UpstreamBackoff;
        if (book.isBlockedByLimit(ask, directory, now))
            return ErrorKind::UpstreamLimit;
        const bool isKept = m_zones && !book.hasAlternative(ask, directory, now);
        return isKept ? ErrorKind::NoUpstreamInRegion : ErrorKind::NoUpstream;
    }
    const bool isEvacuated = std::ranges::any_of(
        directory.entries() | std::views::values, [&](const UpstreamEntry &entry) {
            return entry.service == m_service && directory.isEvacuated(entry)
                && !directory.isLeaving(entry);
        });
    return isEvacuated ? ErrorKind::ZonesEvacuated : ErrorKind::NoUpstream;
}

/// What ends the call when its request is known to end upstreams. One such request ended 39 engines
/// in 18 s, as each call that it came with was sent to another engine after the first was lost.
std::optional<ForwardDecision> ForwardCall::quarantined()
{
    if (!mayBeSuspect())
        return std::nullopt;
    const auto left = m_shared.state.crashes().remainingQuarantine(digest(), RuntimeClock::now());
    if (!left)
        return std::nullopt;
    m_comeBack = left;
    m_lastReason = "upstreams ended under this request, at whatever gateway it came";
    if (m_headDelivered)
        return ForwardDecision{ForwardStep::Abort, ErrorKind::RequestQuarantined};
    if (m_mayHaveRun)
        return ForwardDecision{ForwardStep::Fail, ErrorKind::UpstreamLost};
    return ForwardDecision{ForwardStep::Refuse, ErrorKind::RequestQuarantined};
}

/// Chooses an upstream and sends once. Nothing: send again; else what ends the call.
asio::awaitable<std::optional<ForwardDecision>> ForwardCall::sendOnce()
{
    if (const auto decision = quarantined())
        co_return decision;
    GatewayState &state = m_shared.state;
    const PlacementResult placed = co_await choose();
    const std::optional<Selection> &choice = placed.selection;
    if (placed.retryAfter) {
        m_comeBack = placed.retryAfter;
        m_lastReason = "the engines are too far behind";
        co_return ForwardDecision{ForwardStep::Refuse, ErrorKind::PredictedLate};
    }
    if (!choice) {
        m_lastReason = "no upstream of the service takes work";
        const ErrorKind kind = m_mayHaveRun ? ErrorKind::OutcomeUnknown : kindWithoutUpstream();
        const ForwardStep step = m_mayHaveRun ? ForwardStep::Fail : ForwardStep::Refuse;
        co_return ForwardDecision{m_headDelivered ? ForwardStep::Abort : step, kind};
    }
    const UpstreamEntry entry = *state.directory().find(choice->upstream);
    m_tried.insert(entry.id);
    m_lastUpstream = entry.id;
    m_lastCost = choice->cost;
    m_unread = choice->prefillTokens;
    m_toRead = choice->prefillTokens;
    m_ahead = choice->tokensToFirstEvent;
    m_sentAt = RuntimeClock::now();
    m_isAwaited = true;
    m_isBrief = choice->isShortPrompt;
    m_fetchFrom.reset();
    if (choice->fetchFrom)
        m_fetchFrom = state.directory().find(*choice->fetchFrom)->address;
    state.upstreams().sent(entry.id, makeAsk(), *choice, RuntimeClock::now());
    const SendResult end = co_await exchange(entry);
    noteEnd(entry, end);
    if (end == SendResult::Lost && m_stop == Stop::None)
        noteLost(entry);
    if (m_stop != Stop::None && end != SendResult::Complete) {
        const bool notRun = end == SendResult::NotConnected && !m_mayHaveRun;
        const ForwardStep step = notRun ? ForwardStep::Refuse : ForwardStep::Fail;
        co_return ForwardDecision{m_headDelivered ? ForwardStep::Abort : step, kindOfStop()};
    }
    const ForwardDecision decision = nextStep(end, stateNow(end));
    if (decision.step != ForwardStep::Retry)
        co_return decision;
    m_shared.counters.retried(decision.kind);
    LogLine(LogLevel::Info, "send-again")
        .with("attempt", m_metadata.attemptId)
        .with("after", toString(end))
        .with("upstream", entry.id.text)
        .with("reason", m_lastReason)
        .with("sends", m_sends)
        .with("ms_left", static_cast<std::int64_t>(toMillis(timeLeft())));
    co_return std::nullopt;
}

ForwardState ForwardCall::stateNow(SendResult end)
{
    GatewayState &state = m_shared.state;
    ForwardState now;
    now.kind = m_route->kind;
    now.resumable = m_route->resumable;
    now.headDelivered = m_headDelivered;
    now.sends = m_sends;
    now.maxAttempts = m_route->maxAttempts;
    now.connectFailures = m_connectFailures;
    now.connectRefusals = m_connectRefusals;
    const Duration needed = std::max<Duration>(
        milliseconds(m_route->targetLatencyMs) / targetPartForSend, leastTimeForSend);
    now.timeLeft = timeLeft() > needed;
    now.mayHaveRun = m_mayHaveRun;
    now.upstreamsLeft =
        state.upstreams().hasAlternative(makeAsk(), state.directory(), RuntimeClock::now());
    now.retryLeft = true;
    if (end == SendResult::NotConnected)
        return now;
    // Whether the budget has one more is asked only where it alone decides.
    const bool wanted = nextStep(end, now).step == ForwardStep::Retry;
    now.retryLeft = wanted && state.retries().take(m_service, RuntimeClock::now());
    if (end != SendResult::RefusedNotRun)
        m_mayHaveRun = true;
    return now;
}

asio::awaitable<UpstreamChannelPtr> ForwardCall::openChannel(const UpstreamEntry &entry)
{
    if (UpstreamChannelPtr idle = m_shared.pool.takeIdle(entry.id))
        co_return idle;
    const Time began = RuntimeClock::now();
    const Duration limit = std::min<Duration>(connectLimit, timeLeft());
    ConnectFailure failure;
    UpstreamChannelPtr channel = co_await m_shared.pool.connect(entry, limit, &failure);
    m_nobodyListened = failure.connectionRefused;
    if (!channel)
        m_lastReason = failure.reason;
    else
        m_shared.latencies.recordLatency(LatencyKind::Connect, RuntimeClock::now() - began);
    co_return channel;
}

asio::awaitable<SendResult> ForwardCall::exchange(const UpstreamEntry &entry)
{
    m_exchange.reset();
    m_channel = co_await openChannel(entry);
    if (!m_channel || m_stop != Stop::None) {
        ++(m_nobodyListened ? m_connectRefusals : m_connectFailures);
        co_return SendResult::NotConnected;
    }
    if (m_sends == 0)
        m_shared.state.retries().recordFirstSend(m_service, RuntimeClock::now());
    ++m_sends;
    m_shared.counters.add(Counter::Dispatched);
    m_exchange.emplace(m_channel, m_shared.headerCodec);
    const UpstreamCall call = makeCall(entry);
    bool good = co_await m_exchange->write(call);
    if (good)
        good = co_await m_exchange->readHead();
    if (!good)
        co_return brokenEnd();
    co_return co_await takeAnswer();
}

UpstreamCall ForwardCall::makeCall(const UpstreamEntry &entry) const
{
    UpstreamCall call;
    call.method = m_request.method();
    const auto method = m_request.method_string();
    call.methodName.assign(method.data(), method.size());
    const auto target = m_request.target();
    call.target.assign(target.data(), target.size());
    call.body = m_request.body();
    call.attemptId = m_metadata.attemptId;
    SendMetadata metadata;
    metadata.upstream = entry.id;
    metadata.timeout = timeLeft();
    if (m_account != nullptr)
        metadata.account = m_account->name;
    metadata.urgency = m_table->urgencyRank(*m_route, m_account);
    metadata.resumeAfter = m_events.lastId();
    metadata.fetchFrom = m_fetchFrom;
    m_shared.headerCodec.writeSend(m_request, metadata, &call.fields);
    return call;
}

void ForwardCall::noteEnd(const UpstreamEntry &entry, SendResult end)
{
    UpstreamTable &book = m_shared.state.upstreams();
    book.ended(entry.id, std::exchange(m_unread, 0), m_isBrief);
    if (m_exchange && m_lastReason.empty())
        m_lastReason = m_exchange->reason();
    const bool ownStop = m_stop != Stop::None;
    if (end == SendResult::Complete && m_shared.onRequestCleared && mayBeSuspect()
        && m_shared.state.crashes().isSuspect(digest()))
        m_shared.onRequestCleared(digest());
    if (end == SendResult::Complete && !m_metadata.prompt.empty())
        book.recordCallDuration(m_service, RuntimeClock::now() - m_sentAt);
    if (end == SendResult::Complete || end == SendResult::ServerError)
        book.succeeded(entry.id);
    else if (std::exchange(m_nobodyListened, false))
        book.connectionRefused(entry.id, RuntimeClock::now());
    else if (end != SendResult::RefusedNotRun && !ownStop)
        book.failed(entry.id, RuntimeClock::now());
    else if (end == SendResult::RefusedNotRun && m_exchange->metadata().isMisdirected)
        book.replaced(entry.id);
    if (!m_channel)
        return;
    if (m_exchange && m_exchange->isReusable() && !ownStop) {
        if (const auto limit = m_exchange->keepAliveTimeout())
            m_channel->idleTimeout = *limit;
        m_shared.pool.giveBack(entry.id, m_channel);
    } else {
        m_channel->close();
    }
    m_channel.reset();
}

/// An upstream was lost under the call. The line names the content of the call, so that one that
/// comes again and again is seen as one.
void ForwardCall::noteLost(const UpstreamEntry &entry)
{
    LogLine(LogLevel::Info, "upstream-lost-under-call")
        .with("attempt", m_metadata.attemptId)
        .with("request", toString(digest()))
        .with("upstream", entry.id.text)
        .with("born", entry.id.startedAt)
        .with("events", m_events.eventCount())
        .with("ahead", m_ahead)
        .with("running", m_shared.state.upstreams().load(entry.id, RuntimeClock::now()).running)
        .with("ms", static_cast<std::int64_t>(toMillis(RuntimeClock::now() - m_sentAt)));
    if (m_shared.crashDetector != nullptr)
        m_shared.crashDetector->connectionLost(entry, digest());
}

} // namespace reachlead
