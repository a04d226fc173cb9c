// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The part of ForwardCall that selects upstreams, sends to them and evaluates the results.

#include "forwardcall.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <span>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

#include <reachlead/log.h>

#include "crashdetector.h"

namespace reachlead {

namespace {

namespace asio = boost::asio;

/// Time limit for opening a connection: a multiple of the round trip between availability zones.
constexpr Duration connectTimeout = milliseconds(300);

/// A retry needs at least this fraction of the route's target latency, and the minimum below.
constexpr int targetDivisorForRetry = 8;
constexpr Duration minTimeForRetry = milliseconds(20);

/// Parts of a prompt in a log line, which bounds its length.
constexpr std::size_t maxLoggedParts = 16;

/// True if an unsuccessful result counts against the upstream.
constexpr bool blamesUpstream(SendResult result)
{
    return result != SendResult::RefusedNotRun && result != SendResult::Unmatched;
}

/// Returns the ids of a prompt's parts as hexadecimal numbers, separated by '+'.
std::string formatParts(std::span<const PromptPart> prompt)
{
    std::vector<std::string> ids;
    std::ranges::transform(prompt | std::views::take(maxLoggedParts), std::back_inserter(ids),
                           [](const PromptPart &part) { return fmt::format("{:x}", part.id); });
    return fmt::format("{}", fmt::join(ids, "+"));
}

} // namespace

SelectionQuery ForwardCall::makeSelectionQuery() const
{
    SelectionQuery query{m_service, m_metadata.model, m_metadata.prompt, &m_tried,
                         m_table->service(m_service)};
    query.slack = {milliseconds(m_route->targetLatencyMs), timeLeft(), {}, m_route->priority};
    query.permittedZones = m_zones ? &*m_zones : nullptr;
    query.softwareVersion = m_binding ? &m_binding->version : nullptr;
    query.mayRefuse = m_tried.empty() && !isResumption();
    query.mayHold = !m_mayHaveRun && !m_headDelivered;
    return query;
}

/// Identifies the request over the caller's attempts. The parts of a prompt are shorter than the
/// body and tell prompts apart.
std::uint64_t ForwardCall::requestKey() const
{
    const RequestContent whole = content();
    std::uint64_t key = XXH64(whole.account.text.data(), whole.account.text.size(),
                              XXH64(whole.host.data(), whole.host.size(), 0));
    key = XXH64(whole.target.data(), whole.target.size(), key);
    if (m_metadata.prompt.empty())
        return XXH64(whole.body.data(), whole.body.size(), key);
    key ^= whole.body.size();
    for (const PromptPart &part : m_metadata.prompt)
        key = XXH64(&part.id, sizeof part.id, key);
    return key;
}

/// Selects an upstream locally, or through the selector if there is one.
asio::awaitable<PlacementResult> ForwardCall::choose()
{
    GatewayState &state = m_context.state;
    SelectionQuery query = makeSelectionQuery();
    PlacementResult placed;
    if (m_context.selector == nullptr) {
        placed.selection = state.upstreams().select(query, state.directory(), RuntimeClock::now());
        co_return placed;
    }
    if (m_context.selector->usesQueue()) {
        query.account = m_account != nullptr ? m_account->name : AccountName();
        query.requestKey = requestKey();
        query.outputTokens = m_metadata.estimatedOutputTokens.value_or(m_metadata.maxOutputTokens);
        query.bytes = m_request.body().size();
        query.cancel = &m_cancelWait;
    }
    placed = co_await m_context.selector->select(std::move(query));
    m_waited += placed.waited;
    m_placementDuration += placed.duration;
    co_return placed;
}

/// Returns why no upstream can take the call. Upstreams of the service that take no work for other
/// reasons are ignored, as waiting for them would not help the caller.
ErrorKind ForwardCall::unavailableKind() const
{
    const UpstreamDirectory &directory = m_context.state.directory();
    if (!directory.usableUpstreams(m_service).empty()) {
        const SelectionQuery query = makeSelectionQuery();
        const UpstreamTable &table = m_context.state.upstreams();
        const Time now = RuntimeClock::now();
        const auto isOfVersion = [&](const UpstreamEntry *entry) {
            return UpstreamTable::isOfVersion(query, *entry);
        };
        if (std::ranges::none_of(directory.usableUpstreams(m_service), isOfVersion))
            return ErrorKind::NoUpstreamOfVersion;
        if (table.isBlockedByBackoff(query, directory, now))
            return ErrorKind::UpstreamBackoff;
        if (table.isBlockedByLimit(query, directory, now))
            return ErrorKind::UpstreamLimit;
        const bool isRestricted = m_zones && !table.hasAlternative(query, directory, now);
        return isRestricted ? ErrorKind::NoUpstreamInRegion : ErrorKind::NoUpstream;
    }
    const bool isEvacuated = std::ranges::any_of(
        directory.entries() | std::views::values, [&](const UpstreamEntry &entry) {
            return entry.service == m_service && directory.isEvacuated(entry)
                && !directory.isLeaving(entry);
        });
    return isEvacuated ? ErrorKind::ZonesEvacuated : ErrorKind::NoUpstream;
}

/// Returns the decision that ends a call whose request is in quarantine. Otherwise each of its
/// retries may crash another engine.
std::optional<ForwardDecision> ForwardCall::checkQuarantine()
{
    const std::optional<ErrorKind> kind = quarantineKind();
    if (!kind)
        return std::nullopt;
    if (m_headDelivered)
        return ForwardDecision{ForwardStep::Abort, *kind};
    if (m_mayHaveRun)
        return ForwardDecision{ForwardStep::Fail, ErrorKind::QuarantinedInFlight};
    return ForwardDecision{ForwardStep::Refuse, *kind};
}

/// True if this process is about to exit, and calls of the service usually take longer than it has
/// left. Streams that may be resumed are begun nevertheless, as they go on elsewhere.
bool ForwardCall::outlastsProcess() const
{
    const bool goesOnElsewhere = m_route->kind == RouteKind::Stream && m_route->resumable;
    if (!m_context.endsAt || m_deadline <= *m_context.endsAt || goesOnElsewhere || m_mayHaveRun)
        return false;
    const std::optional<Duration> usual = m_context.callDurations.average(m_service);
    return usual && RuntimeClock::now() + *usual > *m_context.endsAt;
}

/// Selects an upstream and sends once. Returns the decision that ends the call; none: send again.
asio::awaitable<std::optional<ForwardDecision>> ForwardCall::sendOnce()
{
    if (const auto decision = checkQuarantine())
        co_return decision;
    if (std::exchange(m_continuesNext, false))
        co_return co_await continueRun();
    if (outlastsProcess()) {
        m_refusalReason = "calls of the service usually take longer than this process has left";
        co_return ForwardDecision{ForwardStep::Refuse, ErrorKind::RouterStopping};
    }
    const GatewayState &state = m_context.state;
    const PlacementResult placed = co_await choose();
    const std::optional<Selection> &selection = placed.selection;
    if (placed.isWithdrawn) {
        m_refusalReason = "the call was ended while it waited for an upstream";
        co_return ForwardDecision{ForwardStep::Refuse, stopKind(true)};
    }
    if (placed.retryAfter) {
        m_retryAfter = placed.retryAfter;
        m_refusalReason = placed.refusal == ErrorKind::HeldForMoreUrgent
            ? "more urgent calls of the service were refused a short time ago"
            : "the engines' queues are too long for the target latency";
        co_return ForwardDecision{ForwardStep::Refuse, placed.refusal};
    }
    if (!selection) {
        m_refusalReason = "no upstream of the service takes work";
        const ErrorKind kind = m_mayHaveRun ? ErrorKind::OutcomeUnknown : unavailableKind();
        const ForwardStep step = m_mayHaveRun ? ForwardStep::Fail : ForwardStep::Refuse;
        co_return ForwardDecision{m_headDelivered ? ForwardStep::Abort : step, kind};
    }
    const UpstreamEntry entry = *state.directory().find(selection->upstream);
    beginSend(entry, *selection, placed.placedBy);
    chooseBackup(entry);
    co_return co_await sendTo(entry);
}

/// Begins an attempt: nothing of the last one is kept but what the caller has received of it.
void ForwardCall::beginSend(const UpstreamEntry &entry, const Selection &selection,
                            const VmName &placedBy)
{
    GatewayState &state = m_context.state;
    m_attempt = std::make_unique<ForwardAttempt>();
    m_events.dropPartialEvent();
    tryRoom({}); // releases the room of the last answer
    m_tried.insert(entry.id);
    m_attempt->placedBy = placedBy;
    m_attempt->upstream = entry.id;
    m_attempt->version = entry.softwareVersion;
    m_attempt->cost = selection.cost;
    m_attempt->speed = state.upstreams().speeds().speed(m_service, entry.id, RuntimeClock::now());
    m_attempt->pendingPrefillTokens = selection.prefillTokens;
    m_attempt->prefillTokens = selection.prefillTokens;
    m_attempt->tokensToFirstEvent = selection.tokensToFirstEvent;
    m_attempt->sentAt = RuntimeClock::now();
    m_attempt->isShortPrompt = selection.isShortPrompt;
    if (selection.fetchFrom)
        m_attempt->fetchFrom = state.directory().find(*selection.fetchFrom)->address;
    state.upstreams().sent(entry.id, makeSelectionQuery(), selection, RuntimeClock::now());
}

/// Sends once to an upstream. Returns the same as sendOnce().
asio::awaitable<std::optional<ForwardDecision>> ForwardCall::sendTo(UpstreamEntry entry)
{
    const SendResult result = co_await exchange(entry);
    if (isLostToCaller(result))
        stop(Stop::CallerStalled);
    recordResult(entry, result);
    recordContinuation(result);
    if (result == SendResult::Lost && m_stop == Stop::None)
        recordUpstreamLost(entry);
    if (m_stop != Stop::None && result != SendResult::Complete) {
        const bool notRun = result == SendResult::NotConnected && !m_mayHaveRun;
        const ForwardStep step = notRun ? ForwardStep::Refuse : ForwardStep::Fail;
        co_return ForwardDecision{m_headDelivered ? ForwardStep::Abort : step, stopKind(notRun)};
    }
    const ForwardDecision decision = nextStep(result, makeForwardState(result));
    m_continuesNext = decision.step == ForwardStep::Continue;
    if (decision.step != ForwardStep::Retry && !m_continuesNext)
        co_return decision;
    m_context.counters.retried(decision.kind);
    LogLine(LogLevel::Info, "send-again")
        .with("attempt", m_metadata.attemptId)
        .with("after", toString(result))
        .with("upstream", entry.id.text)
        .with("version", entry.softwareVersion.text)
        .with("reason", m_attempt->reason)
        .with("sends", m_sends)
        .with("ms_left", static_cast<std::int64_t>(toMillis(timeLeft())));
    co_return std::nullopt;
}

ForwardState ForwardCall::makeForwardState(SendResult result)
{
    GatewayState &state = m_context.state;
    ForwardState now;
    now.kind = m_route->kind;
    now.resumable = m_route->resumable && !m_isBodyRelayed;
    now.headDelivered = m_headDelivered;
    now.sends = m_sends;
    now.hasCopy = !m_attempt->awaitsFirstEvent && !m_isBodyRelayed && copyHolder() != nullptr;
    now.continuations = m_continuations;
    now.maxAttempts = m_route->maxAttempts;
    now.connectFailures = m_connectFailures;
    now.connectRefusals = m_connectRefusals;
    const Duration needed = std::max<Duration>(
        milliseconds(m_route->targetLatencyMs) / targetDivisorForRetry, minTimeForRetry);
    now.timeLeft = timeLeft() > needed;
    now.mayHaveRun = m_mayHaveRun;
    now.upstreamsLeft = state.upstreams().hasAlternative(makeSelectionQuery(), state.directory(),
                                                         RuntimeClock::now());
    now.retryLeft = true;
    if (result == SendResult::NotConnected)
        return now;
    // Takes a retry from the budget only if nothing else rules it out.
    const ForwardStep step = nextStep(result, now).step;
    const bool wanted = step == ForwardStep::Retry || step == ForwardStep::Continue;
    now.retryLeft = wanted && state.retries().take(m_service, RuntimeClock::now());
    if (result != SendResult::RefusedNotRun)
        m_mayHaveRun = true;
    return now;
}

asio::awaitable<UpstreamChannelPtr> ForwardCall::openChannel(const UpstreamEntry &entry)
{
    if (UpstreamChannelPtr idle = m_context.pool.takeIdle(entry.id))
        co_return idle;
    const Time began = RuntimeClock::now();
    const Duration limit = std::min<Duration>(connectTimeout, timeLeft());
    ConnectFailure failure;
    UpstreamChannelPtr channel = co_await m_context.pool.connect(entry, limit, &failure);
    m_attempt->isConnectionRefused = failure.connectionRefused;
    if (!channel)
        m_attempt->reason = failure.reason;
    else
        m_context.latencies.recordLatency(LatencyKind::Connect, RuntimeClock::now() - began);
    co_return channel;
}

asio::awaitable<SendResult> ForwardCall::exchange(const UpstreamEntry &entry)
{
    m_attempt->channel = co_await openChannel(entry);
    if (!m_attempt->channel || m_stop != Stop::None) {
        ++(m_attempt->isConnectionRefused ? m_connectRefusals : m_connectFailures);
        co_return SendResult::NotConnected;
    }
    if (!checkVersion(entry)) {
        m_attempt->reason = "the upstream has another software version now";
        co_return SendResult::NotConnected;
    }
    if (m_sends == 0)
        m_context.state.retries().recordFirstSend(m_service, RuntimeClock::now());
    ++m_sends;
    m_continuations += m_attempt->continueFrom ? 1 : 0;
    m_context.counters.add(Counter::Dispatched);
    recordStream();
    m_attempt->exchange.emplace(m_attempt->channel, m_context.headerCodec);
    const UpstreamCall call = makeCall(entry);
    bool isOk = co_await m_attempt->exchange->write(call);
    if (isOk)
        isOk = co_await m_attempt->exchange->readHead();
    const bool isStalled = m_context.pressure && m_stop == Stop::Expired
        && m_attempt->exchange->isUpstreamStalled(m_context.pressure->options().stallTime);
    if (!isOk)
        co_return isStalled ? SendResult::Stalled : failureResult();
    co_return co_await receiveAnswer();
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
    metadata.fetchFrom = m_attempt->fetchFrom;
    metadata.continueFrom = m_attempt->continueFrom;
    if (const UpstreamEntry *backup = copyHolder())
        metadata.backUpAt = backup->address;
    m_context.headerCodec.writeSend(m_request, metadata, &call.fields);
    return call;
}

void ForwardCall::recordResult(const UpstreamEntry &entry, SendResult result)
{
    UpstreamTable &table = m_context.state.upstreams();
    table.ended(entry.id, std::exchange(m_attempt->pendingPrefillTokens, 0),
                m_attempt->isShortPrompt);
    if (m_attempt->exchange && m_attempt->reason.empty())
        m_attempt->reason = m_attempt->exchange->reason();
    const bool isStoppedHere = m_stop != Stop::None;
    if (result == SendResult::Complete && m_context.onRequestCleared && mayBeSuspect()
        && m_context.state.crashes().isSuspect(digest()))
        m_context.onRequestCleared(digest());
    if (result == SendResult::Complete)
        m_context.callDurations.record(m_service, RuntimeClock::now() - m_attempt->sentAt);
    if (result == SendResult::Complete && !m_metadata.prompt.empty())
        table.recordCallDuration(m_service, RuntimeClock::now() - m_attempt->sentAt);
    if (result == SendResult::Complete && m_metadata.prompt.empty())
        table.recordPlainCall(m_service, entry.id, RuntimeClock::now() - m_attempt->sentAt,
                              RuntimeClock::now());
    if (result == SendResult::Complete || result == SendResult::ServerError)
        table.succeeded(entry.id);
    else if (m_attempt->isConnectionRefused)
        table.connectionRefused(entry.id, RuntimeClock::now());
    else if (result == SendResult::Stalled || (blamesUpstream(result) && !isStoppedHere))
        table.failed(entry.id, RuntimeClock::now());
    else if (result == SendResult::RefusedNotRun && m_attempt->exchange->metadata().isMisdirected)
        table.replaced(entry.id);
    if (!m_attempt->channel)
        return;
    if (m_attempt->exchange && m_attempt->exchange->isReusable() && !isStoppedHere) {
        if (const auto limit = m_attempt->exchange->keepAliveTimeout())
            m_attempt->channel->idleTimeout = *limit;
        m_context.pool.giveBack(entry.id, m_attempt->channel);
    } else {
        m_attempt->channel->close();
    }
    m_attempt->channel.reset();
}

/// Logs that the call lost its upstream. The digest in the log line identifies a request that is
/// sent again and again, and the parts show what different requests have in common.
void ForwardCall::recordUpstreamLost(const UpstreamEntry &entry)
{
    LogLine(LogLevel::Info, "upstream-lost-under-call")
        .with("attempt", m_metadata.attemptId)
        .with("request", toString(digest()))
        .with("route", m_route->name)
        .with("account", m_account != nullptr ? m_account->name.text : "-")
        .with("parts", formatParts(m_metadata.prompt))
        .with("upstream", entry.id.text)
        .with("born", entry.id.startedAt)
        .with("version", entry.softwareVersion.text)
        .with("events", m_events.eventCount())
        .with("ahead", m_attempt->tokensToFirstEvent)
        .with("running", m_context.state.upstreams().load(entry.id, RuntimeClock::now()).running)
        .with("ms", static_cast<std::int64_t>(toMillis(RuntimeClock::now() - m_attempt->sentAt)));
    if (m_context.crashDetector != nullptr)
        m_context.crashDetector->connectionLost(
            entry,
            {digest(), promptContents(), hasBegun(), {m_attempt->sentAt, RuntimeClock::now()}});
}

} // namespace reachlead
