// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// ForwardCall's way of an answer from the upstream to the caller.

#include "forwardcall.h"

#include <fmt/format.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Answers up to this size are held until they are whole, so that one that breaks off can be
/// replaced; longer ones are passed on as they come.
constexpr std::size_t mostHeld = 128U << 10U; // bytes

/// Statuses that promise a caller that its request did not run.
constexpr bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isEventStream(const Fields &fields)
{
    return fields[http::field::content_type].starts_with("text/event-stream");
}

} // namespace

SendResult ForwardCall::brokenEnd() const
{
    return m_exchange->isCorrupt() ? SendResult::Corrupt : SendResult::Lost;
}

/// What the head alone says of the send.
SendResult ForwardCall::judgeHead() const
{
    const unsigned status = m_exchange->status();
    const AnswerMetadata &metadata = m_exchange->metadata();
    if (metadata.notRun)
        return SendResult::RefusedNotRun;
    if (promisesNotRun(status))
        return SendResult::Corrupt; // a promise that the upstream does not vouch for
    if (status >= 500)
        return SendResult::ServerError;
    const bool isSuccess = status >= 200 && status < 300;
    return isSuccess && !metadata.isSigned ? SendResult::Corrupt : SendResult::Complete;
}

asio::awaitable<SendResult> ForwardCall::takeAnswer()
{
    const SendResult judged = judgeHead();
    noteStatement();
    if (judged == SendResult::Corrupt)
        m_lastReason = "the answer lacks the upstream's signature or its word for a refusal";
    if (judged == SendResult::RefusedNotRun)
        m_lastReason = fmt::format("the upstream refused with {}", m_exchange->status());
    if (judged == SendResult::Complete && isEventStream(m_exchange->head()))
        co_return co_await takeEvents();
    if (m_headDelivered)
        co_return judged == SendResult::Complete ? SendResult::Corrupt : judged;
    const SendResult end = co_await takeWhole();
    co_return end == SendResult::Complete ? judged : end;
}

/// Takes up what the upstream says of its own state, whatever becomes of the call.
void ForwardCall::noteStatement()
{
    const std::optional<UpstreamNotice> &notice = m_exchange->metadata().notice;
    if (!notice)
        return;
    const auto news = m_shared.state.applyNotice(m_lastUpstream, *notice);
    if (news.hasNewLimit)
        m_shared.counters.add(Counter::LimitsReceived);
    if (news.isNewlyLeaving)
        m_shared.counters.add(Counter::LeavingReceived);
    if (news.hasBackoff)
        m_shared.counters.add(Counter::BackoffsReceived);
}

/// Holds the answer until it is whole, or passes it on once it is too long for that.
asio::awaitable<SendResult> ForwardCall::takeWhole()
{
    m_wholeBody.clear();
    while (true) {
        const auto piece = co_await m_exchange->readSome();
        if (!piece)
            co_return brokenEnd();
        noteFirst();
        if (piece->empty())
            co_return SendResult::Complete;
        m_wholeBody += *piece;
        if (m_wholeBody.size() > mostHeld) {
            std::string first = std::move(m_wholeBody);
            co_return co_await takeLong(std::move(first));
        }
    }
}

asio::awaitable<SendResult> ForwardCall::takeLong(std::string first)
{
    std::optional<std::string> piece = std::move(first);
    bool sent = co_await sendHead();
    while (sent && piece && !piece->empty()) {
        sent = co_await m_caller.sendChunk(*piece);
        if (sent)
            piece = co_await m_exchange->readSome();
    }
    if (!sent)
        co_return SendResult::Lost;
    if (!piece)
        co_return brokenEnd();
    m_bodyWhole = true;
    co_return SendResult::Complete;
}

/// Passes on whole events as they come.
asio::awaitable<SendResult> ForwardCall::takeEvents()
{
    m_events.dropPartialEvent();
    while (true) {
        const auto piece = co_await m_exchange->readSome();
        if (!piece)
            co_return brokenEnd();
        if (piece->empty())
            break;
        bool tooLong = false;
        const std::string events = m_events.feed(*piece, &tooLong);
        if (tooLong)
            co_return SendResult::Corrupt;
        if (events.empty())
            continue;
        const bool sent = co_await deliverEvents(events);
        if (!sent)
            co_return SendResult::Lost;
    }
    if (m_events.hasPartialEvent()) {
        m_lastReason = "the stream ended inside an event";
        co_return SendResult::Lost;
    }
    if (!m_headDelivered)
        co_return SendResult::Complete; // a stream without events: delivered as an empty answer
    m_bodyWhole = true;
    co_return SendResult::Complete;
}

asio::awaitable<bool> ForwardCall::deliverEvents(const std::string &events)
{
    noteFirst();
    notePause(RuntimeClock::now());
    if (!m_headDelivered) {
        const bool sent = co_await sendHead();
        if (!sent)
            co_return false;
    }
    co_return co_await m_caller.sendChunk(events);
}

/// Keeps the longest pause, and what was read beside the stream when it ended.
void ForwardCall::notePause(Time now)
{
    const Duration pause = m_lastEvent == Time{} ? Duration{} : Duration(now - m_lastEvent);
    m_lastEvent = now;
    if (pause <= m_longestPause)
        return;
    m_longestPause = pause;
    if (pause > milliseconds(m_route->gapTargetMs))
        m_unreadAtPause = m_shared.state.upstreams().load(m_lastUpstream, now).prefillTokens;
}

/// Which of the route's bounds a delivered stream missed first: `first` event, `pause`, or none.
std::string_view ForwardCall::missedBound() const
{
    if (m_route == nullptr || !m_firstByte)
        return "-";
    const auto target = milliseconds(m_route->targetLatencyMs);
    if (m_route->targetLatencyMs > 0 && *m_firstByte - m_arrived > target)
        return "first";
    const bool isPaused = m_longestPause > milliseconds(m_route->gapTargetMs);
    return m_route->gapTargetMs > 0 && isPaused ? "pause" : "-";
}

void ForwardCall::noteFirst()
{
    if (m_unread > 0)
        m_shared.state.upstreams().firstEvent(m_lastUpstream, std::exchange(m_unread, 0));
    noteBegan();
    if (std::exchange(m_isAwaited, false))
        m_shared.state.upstreams().recordPrefill(m_service, m_ahead,
                                                 RuntimeClock::now() - m_sentAt);
    if (m_firstByte)
        return;
    m_firstByte = RuntimeClock::now();
    m_shared.latencies.recordLatency(LatencyKind::FirstByte, *m_firstByte - m_arrived);
}

/// Counts the call as used by its account, once however often it is sent.
void ForwardCall::noteBegan()
{
    const bool isRefused = m_exchange && m_exchange->metadata().notRun;
    if (isRefused || std::exchange(m_hasBegun, true))
        return;
    if (m_account != nullptr && m_shared.onExecutionStarted)
        m_shared.onExecutionStarted(m_account->name);
}

asio::awaitable<bool> ForwardCall::sendHead()
{
    m_headDelivered = true;
    // Named, as GCC 12 destroys a class temporary of an awaited call twice (its bug 98056 and kin).
    AnswerHead head = makeHead();
    co_return co_await m_caller.sendHead(std::move(head));
}

AnswerHead ForwardCall::makeHead() const
{
    AnswerHead head;
    head.version(11);
    copyEndToEnd(m_exchange->head(), &head.base());
    head.result(m_exchange->status());
    const bool chunked = m_request.version() >= 11;
    head.chunked(chunked);
    head.keep_alive(chunked && m_request.keep_alive() && !m_shared.stopping);
    return head;
}

} // namespace reachlead
