// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The state machine of a router's link to one agent, implemented with Boost.MSM.

#pragma once

#include <cstdint>
#include <memory>

namespace reachlead {

enum class LinkState : std::uint8_t { Waiting, Connecting, Handshaking, Up, Removed };

enum class LinkEvent : std::uint8_t {
    Connect, ///< the backoff has elapsed
    Connected, ///< the TCP connection is established
    Welcomed, ///< the agent replied to Hello
    Disconnected, ///< the connection was closed or could not be established
    Remove ///< the agent is no longer assigned to this router
};

/// Rejects transitions that are invalid in the current state. Not thread-safe.
class LinkStateMachine
{
public:
    LinkStateMachine();
    ~LinkStateMachine();

    /// Processes an event. Returns false, with the state unchanged, when the event is invalid in
    /// the current state.
    bool apply(LinkEvent event);

    LinkState state() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace reachlead
