// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// State machine of a request in the router, implemented with Boost.MSM behind an opaque interface.

#pragma once

#include <cstdint>
#include <memory>

namespace reachlead {

enum class RequestState : std::uint8_t { Queued, Sent, Running, Recovering, Ended };

enum class RequestEvent : std::uint8_t {
    Assigned, ///< dispatched to an agent
    ExecutionStarted, ///< the agent reported the start, or the first part of the answer arrived
    SessionLost, ///< the session to the agent was lost
    Recovered, ///< the agent still holds the attempt
    Requeued, ///< returned to the queue for another attempt
    Finished ///< the caller got the final result
};

/// Permits only the valid state transitions of a request. Not thread-safe.
class RequestLifecycle
{
public:
    RequestLifecycle();
    ~RequestLifecycle();
    RequestLifecycle(RequestLifecycle &&) noexcept;
    RequestLifecycle &operator=(RequestLifecycle &&) noexcept;

    /// Applies an event. Returns false, and leaves the state unchanged, when the state does not
    /// permit it.
    bool apply(RequestEvent event);

    RequestState state() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace reachlead
