// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The part of ForwardCall that passes an upstream's answer on to the caller.

#include "forwardcall.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include <reachlead/log.h>
#include <reachlead/streams/eventfield.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Answers up to this size are buffered, so that a truncated one can be replaced by a retry. Longer
/// ones are passed on as they arrive.
constexpr std::size_t maxBufferedBytes = 128U << 10U; // bytes

/// Statuses that tell a caller that its request was not executed.
constexpr bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

constexpr bool isSuccessful(unsigned status)
{
    return status >= 200 && status < 300;
}

std::string formatId(std::optional<std::uint64_t> id)
{
    return id ? fmt::format("{}", *id) : "-";
}

bool isEventStream(const Fields &fields)
{
    const auto type = fields[http::field::content_type];
    return isEventStreamType({type.data(), type.size()});
}

} // namespace

SendResult ForwardCall::failureResult() const
{
    return m_attempt->exchange->isCorrupt() ? SendResult::Corrupt : SendResult::Lost;
}

/// Ends the send because the connection to the caller failed, which says nothing about the
/// upstream.
SendResult ForwardCall::callerLost()
{
    stop(Stop::CallerDisconnected);
    return SendResult::Lost;
}

/// Classifies the send by the head of the answer alone.
SendResult ForwardCall::classifyHead() const
{
    const unsigned status = m_attempt->exchange->status();
    const AnswerMetadata &metadata = m_attempt->exchange->metadata();
    if (metadata.notRun)
        return SendResult::RefusedNotRun;
    if (promisesNotRun(status))
        return SendResult::Corrupt; // the upstream does not confirm it in its headers
    if (status >= 500)
        return SendResult::ServerError;
    const bool isSuccess = isSuccessful(status);
    return isSuccess && !metadata.isSigned ? SendResult::Corrupt : SendResult::Complete;
}

asio::awaitable<SendResult> ForwardCall::receiveAnswer()
{
    const SendResult headResult = classifyHead();
    applyNotice();
    if (headResult == SendResult::Corrupt) {
        m_attempt->reason =
            "the answer lacks the upstream's signature or its confirmation of a refusal";
        co_return headResult; // its body is not read, as it may have no end
    }
    if (headResult == SendResult::RefusedNotRun) {
        m_attempt->reason =
            fmt::format("the upstream refused with {}", m_attempt->exchange->status());
        const bool isWhole = m_headDelivered || co_await m_attempt->exchange->discardBody();
        co_return isWhole ? headResult : failureResult();
    }
    // An error answer is not a run, whatever its type.
    const bool isRun =
        headResult == SendResult::Complete && isSuccessful(m_attempt->exchange->status());
    if (isRun && isEventStream(m_attempt->exchange->head()))
        co_return co_await relayEvents();
    if (m_headDelivered)
        co_return headResult == SendResult::Complete ? SendResult::Corrupt : headResult;
    const SendResult result = co_await bufferAnswer();
    co_return result == SendResult::Complete ? headResult : result;
}

/// Applies the notice in the answer to the gateway's state, whatever the result of the call.
void ForwardCall::applyNotice()
{
    const std::optional<UpstreamNotice> &notice = m_attempt->exchange->metadata().notice;
    if (!notice)
        return;
    const auto changes = m_context.state.applyNotice(m_attempt->upstream, *notice);
    if (changes.hasNewLimit)
        m_context.counters.add(Counter::LimitsReceived);
    if (changes.isNewlyLeaving)
        m_context.counters.add(Counter::LeavingReceived);
    if (changes.hasBackoff)
        m_context.counters.add(Counter::BackoffsReceived);
}

/// Buffers the answer until it is complete; passes it on once it exceeds maxBufferedBytes.
asio::awaitable<SendResult> ForwardCall::bufferAnswer()
{
    while (true) {
        const auto piece = co_await m_attempt->exchange->readSome();
        if (!piece)
            co_return failureResult();
        // An upstream that is killed closes its connections.
        if (piece->empty() && m_attempt->body.empty() && isSuccessful(m_attempt->exchange->status())
            && m_attempt->exchange->endsWithConnection()) {
            m_attempt->reason = "the connection ended before the body";
            co_return SendResult::Lost;
        }
        recordFirstByte();
        if (piece->empty())
            co_return SendResult::Complete;
        m_attempt->body += *piece;
        if (m_attempt->body.size() > maxBufferedBytes || !tryRoom({m_attempt->body.size()})) {
            std::string first = std::move(m_attempt->body);
            co_return co_await relayBody(std::move(first));
        }
    }
}

asio::awaitable<SendResult> ForwardCall::relayBody(std::string first)
{
    std::optional<std::string> piece = std::move(first);
    m_isBodyRelayed = true;
    bool sent = co_await sendHead();
    while (sent && piece && !piece->empty()) {
        sent = co_await m_caller.sendChunk(*piece);
        tryRoom({}); // what was buffered before is sent
        if (sent)
            piece = co_await m_attempt->exchange->readSome();
    }
    if (!sent)
        co_return callerLost();
    if (!piece)
        co_return failureResult();
    m_attempt->isBodyComplete = true;
    co_return SendResult::Complete;
}

/// The id after which the answer to the current send has to go on before any event was passed on;
/// none if it is not known.
std::optional<std::uint64_t> ForwardCall::requestedPosition() const
{
    if (!m_metadata.isResumption)
        return 0;
    if (isResumption())
        return m_metadata.resumeAfter;
    return std::nullopt;
}

/// True if no event of a new stream was passed on: a run begins with its first token.
bool ForwardCall::lacksFirstEvent() const
{
    return m_route->kind == RouteKind::Stream && requestedPosition() == 0
        && m_events.eventCount() == 0 && m_request.method() != http::verb::head;
}

/// Passes on complete events as they arrive.
asio::awaitable<SendResult> ForwardCall::relayEvents()
{
    const bool isStream = m_route->kind == RouteKind::Stream;
    m_events.beginAnswer(isStream ? EventCheck::OfOneRun : EventCheck::None, requestedPosition());
    const std::uint64_t eventsBefore = m_events.eventCount();
    while (true) {
        const auto piece = co_await m_attempt->exchange->readSome();
        if (!piece)
            co_return failureResult();
        if (piece->empty())
            break;
        const std::string events = m_events.feed(*piece);
        const bool hasRoom = co_await makeRoom({m_events.partialBytes()}, m_deadline);
        if (!hasRoom)
            co_return SendResult::Lost;
        const bool sent = events.empty() || co_await sendEvents(events);
        if (!sent)
            co_return callerLost();
        if (m_events.rejection())
            co_return rejectEvent(*m_events.rejection());
    }
    if (m_events.hasPartialEvent()) {
        m_attempt->reason = "the stream ended inside an event";
        co_return SendResult::Lost;
    }
    // An upstream that is killed closes its connections.
    if (m_events.eventCount() == eventsBefore && m_attempt->exchange->endsWithConnection()) {
        m_attempt->reason = "the connection ended before the first event";
        co_return SendResult::Lost;
    }
    if (lacksFirstEvent()) {
        m_attempt->reason = "the stream ended before its first event";
        m_attempt->exchange->reject(m_attempt->reason);
        co_return SendResult::Corrupt;
    }
    if (!m_headDelivered)
        co_return SendResult::Complete; // no events: delivered as an empty answer
    m_attempt->isBodyComplete = true;
    co_return SendResult::Complete;
}

/// True if the caller may have named a position that its run never had, so that the event says
/// nothing about the upstream.
bool ForwardCall::isCallersPositionInDoubt(EventFault fault) const
{
    // An id behind a position that is no number, or a very large one, may be out of range.
    constexpr std::array faults{EventFault::Repeated, EventFault::Skipped, EventFault::InvalidId};
    const bool isFirst = m_events.eventCount() == 0;
    return m_metadata.isResumption && isFirst && std::ranges::find(faults, fault) != faults.end();
}

void ForwardCall::logRejection(const EventRejection &rejection) const
{
    LogLine(LogLevel::Warn, "event-rejected")
        .with("attempt", m_metadata.attemptId)
        .with("upstream", m_attempt->upstream.text)
        .with("version", m_attempt->version.text)
        .with("fault", toString(rejection.fault))
        .with("due", formatId(rejection.due))
        .with("seen", formatId(rejection.seen))
        .with("events", m_events.eventCount());
}

/// Ends the send because of an event that cannot be the next one of the run.
SendResult ForwardCall::rejectEvent(const EventRejection &rejection)
{
    m_context.counters.rejected(rejection.fault);
    logRejection(rejection);
    m_attempt->reason = fmt::format("an event was rejected: {}", toString(rejection.fault));
    m_attempt->exchange->reject(m_attempt->reason);
    const bool isInDoubt = isCallersPositionInDoubt(rejection.fault);
    return isInDoubt ? SendResult::Unmatched : SendResult::Corrupt;
}

asio::awaitable<bool> ForwardCall::sendEvents(const std::string &events)
{
    recordFirstByte();
    recordTokenGap(RuntimeClock::now());
    bindToVersion();
    if (!m_headDelivered) {
        const bool sent = co_await sendHead();
        if (!sent)
            co_return false;
    }
    co_return co_await m_caller.sendChunk(events);
}

/// Records the longest token gap, and the prefill tokens that were queued beside the stream then.
void ForwardCall::recordTokenGap(Time now)
{
    const Duration gap = m_lastEventAt == Time{} ? Duration{} : Duration(now - m_lastEventAt);
    m_lastEventAt = now;
    if (gap <= m_maxTokenGap)
        return;
    m_maxTokenGap = gap;
    if (gap > milliseconds(m_route->gapTargetMs))
        m_prefillTokensAtMaxGap =
            m_context.state.upstreams().load(m_attempt->upstream, now).prefillTokens;
}

/// Returns which target of the route a delivered stream missed: `first` for the first event,
/// `pause` for a token gap, or `-` for none.
std::string_view ForwardCall::missedTarget() const
{
    if (m_route == nullptr || !m_firstByteAt)
        return "-";
    const auto target = milliseconds(m_route->targetLatencyMs);
    if (m_route->targetLatencyMs > 0 && *m_firstByteAt - m_arrivedAt > target)
        return "first";
    const bool isStalled = m_maxTokenGap > milliseconds(m_route->gapTargetMs);
    return m_route->gapTargetMs > 0 && isStalled ? "pause" : "-";
}

void ForwardCall::recordFirstByte()
{
    if (m_attempt->pendingPrefillTokens > 0)
        m_context.state.upstreams().firstEvent(m_attempt->upstream,
                                               std::exchange(m_attempt->pendingPrefillTokens, 0));
    recordExecutionStart();
    if (std::exchange(m_attempt->awaitsFirstEvent, false)) {
        m_context.state.upstreams().recordPrefill(
            m_service, m_attempt->upstream, m_attempt->tokensToFirstEvent,
            RuntimeClock::now() - m_attempt->sentAt, RuntimeClock::now());
        recordBegin();
    }
    if (!m_attempt->firstByteAt)
        m_attempt->firstByteAt = RuntimeClock::now();
}

/// Called when the first part of an answer is about to be passed on.
void ForwardCall::recordAnswerBegin()
{
    m_firstByteAt = m_attempt->firstByteAt;
    if (m_firstByteAt)
        m_context.latencies.recordLatency(LatencyKind::FirstByte, *m_firstByteAt - m_arrivedAt);
}

/// Reports that an upstream has begun to answer on the shared parts of the prompt.
void ForwardCall::recordBegin()
{
    const bool isSuccess = isSuccessful(m_attempt->exchange->status());
    if (isSuccess && m_context.onPartsBegan && !sharedParts().empty())
        m_context.onPartsBegan(promptContents());
}

/// Counts the call for its account, once however many times it is sent.
void ForwardCall::recordExecutionStart()
{
    const bool isRefused = m_attempt->exchange && m_attempt->exchange->metadata().notRun;
    if (isRefused || std::exchange(m_isExecutionStarted, true))
        return;
    if (m_account != nullptr && m_context.onExecutionStarted)
        m_context.onExecutionStarted(m_account->name);
}

asio::awaitable<bool> ForwardCall::sendHead()
{
    m_headDelivered = true;
    recordAnswerBegin();
    // A named variable, as GCC 12 destroys temporaries in co_await expressions twice (GCC bug 98056
    // and related ones).
    AnswerHead head = makeHead();
    co_return co_await m_caller.sendHead(std::move(head));
}

AnswerHead ForwardCall::makeHead() const
{
    AnswerHead head;
    head.version(11);
    copyEndToEnd(m_attempt->exchange->head(), &head.base());
    head.result(m_attempt->exchange->status());
    const bool chunked = m_request.version() >= 11;
    head.chunked(chunked);
    head.keep_alive(chunked && m_request.keep_alive() && !m_context.stopping);
    return head;
}

} // namespace reachlead
