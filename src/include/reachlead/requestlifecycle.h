// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The life of a request in the router: a Boost.MSM machine behind a plain face.

#pragma once

#include <cstdint>
#include <memory>

namespace reachlead {

enum class RequestState : std::uint8_t { Queued, Sent, Running, Recovering, Ended };

enum class RequestEvent : std::uint8_t {
    Assigned, ///< handed to an agent
    ExecutionStarted, ///< the agent said it started, or a piece of the answer came
    SessionLost, ///< the session to the agent was lost
    Recovered, ///< the agent still holds the attempt
    Requeued, ///< to be placed again
    Finished ///< the caller was told the final word
};

/// Allows only the moves a request can make. Not thread-safe.
class RequestLifecycle
{
public:
    RequestLifecycle();
    ~RequestLifecycle();
    RequestLifecycle(RequestLifecycle &&) noexcept;
    RequestLifecycle &operator=(RequestLifecycle &&) noexcept;

    /// Makes a move; false when the state does not allow it, and nothing changes.
    bool apply(RequestEvent event);

    RequestState state() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace reachlead
