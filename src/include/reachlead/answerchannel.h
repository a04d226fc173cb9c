// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The meeting point of one open request between the caller's thread and the dispatching thread.

#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include <reachlead/routercore.h>

namespace reachlead {

/// Carries answer events one way, and `gone` and `took` the other. Thread-safe.
///
/// Each way is announced through a ring at most once until the other side has looked, so a ring
/// with a place for each open request is never full.
class AnswerChannel
{
public:
    explicit AnswerChannel(RequestId id) : m_id(id) { }

    const RequestId &id() const { return m_id; }

    // ---- dispatching thread ----

    /// Appends an event; true when the caller's thread must be told.
    bool put(CallerEvent event)
    {
        std::scoped_lock lock(m_mutex);
        m_events.push_back(std::move(event));
        return !std::exchange(m_announced, true);
    }

    /// Takes what the caller said: whether it went away, and how many tokens it took.
    std::pair<bool, std::uint64_t> takeCallerState()
    {
        std::scoped_lock lock(m_mutex);
        m_callerAnnounced = false;
        return {m_gone, std::exchange(m_took, 0)};
    }

    // ---- caller's thread ----

    /// Takes all events that came.
    std::vector<CallerEvent> take()
    {
        std::scoped_lock lock(m_mutex);
        m_announced = false;
        return std::exchange(m_events, {});
    }

    /// The caller went away; true when the dispatching thread must be told.
    bool setDisconnected()
    {
        std::scoped_lock lock(m_mutex);
        m_gone = true;
        return !std::exchange(m_callerAnnounced, true);
    }

    /// The caller took tokens; true when the dispatching thread must be told.
    bool addConsumed(std::uint64_t tokens)
    {
        std::scoped_lock lock(m_mutex);
        m_took += tokens;
        return !std::exchange(m_callerAnnounced, true);
    }

    /// Called on the caller's thread when events wait. Set before the request is submitted.
    std::function<void()> onReady;

private:
    RequestId m_id;
    std::mutex m_mutex;
    std::vector<CallerEvent> m_events;
    bool m_announced = false;
    bool m_gone = false;
    std::uint64_t m_took = 0;
    bool m_callerAnnounced = false;
};

using AnswerChannelPtr = std::shared_ptr<AnswerChannel>;

} // namespace reachlead
