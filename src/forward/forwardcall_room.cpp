// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The part of ForwardCall that bounds the bytes it holds, and deals with callers that do not read.

#include "forwardcall.h"

#include <algorithm>

#include <reachlead/log.h>

namespace reachlead {

namespace {

namespace asio = boost::asio;

/// A call waits for its buffers for this fraction of the target latency. Room that is released
/// later would be of little use, and the caller can still be served in time elsewhere.
constexpr int targetDivisorForRoom = 4;
constexpr Duration minRoomWait = milliseconds(50);

} // namespace

/// Bytes that the call holds from its start to its end.
ByteCount ForwardCall::baseRoom() const
{
    return Pressure::callBuffers + m_headCost + ByteCount{m_request.body().size()};
}

/// Takes room for the request and the call's buffers before anything is sent. Returns an error if
/// there is none in time.
asio::awaitable<std::optional<Error>> ForwardCall::acquireBuffers()
{
    if (!m_context.pressure)
        co_return std::nullopt;
    if (!m_lease.isBounded())
        m_lease = m_context.pressure->lease(m_account != nullptr ? m_account->name : AccountName());
    const Duration wait = std::max<Duration>(
        milliseconds(m_route->targetLatencyMs) / targetDivisorForRoom, minRoomWait);
    const bool isGranted = co_await makeRoom({}, std::min(m_deadline, m_arrivedAt + wait));
    if (isGranted)
        co_return std::nullopt;
    if (m_stop != Stop::None)
        co_return Error{stopKind(true), "stopped while waiting for room"};
    co_return Error{ErrorKind::BufferSpaceFull, "no room for the call's buffers in time"};
}

/// Changes the bytes held to those of the start and \p extra, if a bound does not prevent it.
bool ForwardCall::tryRoom(ByteCount extra)
{
    return !m_context.pressure || m_lease.resize(baseRoom() + extra);
}

/// As tryRoom(), but waits for room; nothing more is read meanwhile. Returns false if there is none
/// in time, or the call was stopped.
asio::awaitable<bool> ForwardCall::makeRoom(ByteCount extra, Time until)
{
    // What partial events usually take is part of the call's buffers.
    const ByteCount more = extra - Pressure::callBuffers;
    if (tryRoom(more))
        co_return true;
    const RoomRequest request(m_context.pressure, m_lease, baseRoom() + more, m_wakeUp);
    while (!request.isGranted() && m_stop == Stop::None && RuntimeClock::now() < until)
        co_await m_wakeUp.waitUntil(until);
    co_return request.isGranted();
}

/// True if the upstream cut an answer that was not read from it, as the caller did not read.
bool ForwardCall::isLostToCaller(SendResult result) const
{
    return m_context.pressure && m_stop == Stop::None && result == SendResult::Lost
        && m_caller.writes().explainsLoss(RuntimeClock::now());
}

/// Counts and logs a caller that stopped reading, whatever became of its answer.
void ForwardCall::recordStall()
{
    const Time now = RuntimeClock::now();
    if (!m_context.pressure || !m_caller.writes().hasStalled(now))
        return;
    m_context.counters.add(Counter::CallersStalled);
    LogLine(LogLevel::Info, "caller-stalled")
        .with("attempt", m_metadata.attemptId)
        .with("account", m_account != nullptr ? m_account->name.text : "-")
        .with("upstream", m_attempt->upstream.text)
        .with("for_ms", static_cast<std::int64_t>(toMillis(m_caller.writes().longestWait(now))))
        .with("lost", m_stop == Stop::CallerStalled)
        .with("events", m_events.eventCount());
}

} // namespace reachlead
