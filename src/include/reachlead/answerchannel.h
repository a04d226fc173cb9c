// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Two-way channel of one open request between the caller's thread and the dispatching thread.

#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include <reachlead/routercore.h>

namespace reachlead {

/// Carries answer events to the caller's thread, and the caller's disconnect and token consumption
/// to the dispatching thread. Thread-safe.
///
/// Each direction is signalled through a ring at most once until the other side has read it, so a
/// ring with one slot for each open request never overflows.
class AnswerChannel
{
public:
    explicit AnswerChannel(RequestId id) : m_id(id) { }

    const RequestId &id() const { return m_id; }

    // ---- dispatching thread ----

    /// Appends an event. Returns true when the caller's thread must be notified.
    bool put(CallerEvent event)
    {
        std::scoped_lock lock(m_mutex);
        m_events.push_back(std::move(event));
        return !std::exchange(m_eventsSignalled, true);
    }

    /// Returns whether the caller disconnected, and the number of tokens it consumed since the last
    /// call.
    std::pair<bool, std::uint64_t> takeCallerState()
    {
        std::scoped_lock lock(m_mutex);
        m_callerSignalled = false;
        return {m_callerDisconnected, std::exchange(m_consumedTokens, 0)};
    }

    // ---- caller's thread ----

    /// Removes and returns all pending events.
    std::vector<CallerEvent> take()
    {
        std::scoped_lock lock(m_mutex);
        m_eventsSignalled = false;
        return std::exchange(m_events, {});
    }

    /// Records that the caller disconnected. Returns true when the dispatching thread must be
    /// notified.
    bool setDisconnected()
    {
        std::scoped_lock lock(m_mutex);
        m_callerDisconnected = true;
        return !std::exchange(m_callerSignalled, true);
    }

    /// Records that the caller consumed tokens. Returns true when the dispatching thread must be
    /// notified.
    bool addConsumed(std::uint64_t tokens)
    {
        std::scoped_lock lock(m_mutex);
        m_consumedTokens += tokens;
        return !std::exchange(m_callerSignalled, true);
    }

    /// Called on the caller's thread when events are pending. To be set before the request is
    /// submitted.
    std::function<void()> onReady;

private:
    RequestId m_id;
    std::mutex m_mutex;
    std::vector<CallerEvent> m_events;
    bool m_eventsSignalled = false;
    bool m_callerDisconnected = false;
    std::uint64_t m_consumedTokens = 0;
    bool m_callerSignalled = false;
};

using AnswerChannelPtr = std::shared_ptr<AnswerChannel>;

} // namespace reachlead
