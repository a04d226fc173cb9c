// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The life of a router's link to one agent: a Boost.MSM machine behind a plain face.

#pragma once

#include <cstdint>
#include <memory>

namespace reachlead {

enum class LinkState : std::uint8_t { Waiting, Connecting, Greeting, Up, Removed };

enum class LinkEvent : std::uint8_t {
    Dial, ///< the pause is over
    Connected, ///< TCP stands
    Welcomed, ///< the agent answered Hello
    Broken, ///< the connection ended or was never made
    Remove ///< the agent is in no list any more
};

/// Allows only the moves a link can make. Not thread-safe.
class LinkStateMachine
{
public:
    LinkStateMachine();
    ~LinkStateMachine();

    /// Makes a move; false when the state does not allow it, and nothing changes.
    bool apply(LinkEvent event);

    LinkState state() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace reachlead
