// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The life of a request in the router: a Boost.MSM machine behind a plain face.

#pragma once

#include <cstdint>
#include <memory>

namespace reachlead {

enum class LifeState : std::uint8_t { Queued, Sent, Running, Recovering, Ended };

enum class LifeEvent : std::uint8_t {
    Bound, ///< handed to an agent
    Began, ///< the agent said it started, or a piece of the answer came
    SessionCut, ///< the session to the agent was lost
    Found, ///< the agent still holds the attempt
    PutBack, ///< to be placed again
    Finished ///< the caller was told the final word
};

/// Allows only the moves a request can make. Not thread-safe.
class RequestLife
{
public:
    RequestLife();
    ~RequestLife();
    RequestLife(RequestLife &&) noexcept;
    RequestLife &operator=(RequestLife &&) noexcept;

    /// Makes a move; false when the state does not allow it, and nothing changes.
    bool apply(LifeEvent event);

    LifeState state() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace reachlead
