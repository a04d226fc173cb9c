// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Records of AgentCore, shared by its source files only.

#pragma once

#include <xxhash.h>

#include <reachlead/agentcore.h>

namespace reachlead {

/// One attempt, from dispatch until its record is dropped.
struct AgentCore::Run
{
    enum class State : std::uint8_t { Queued, Claiming, Running, Finished };

    std::shared_ptr<const Dispatch> dispatch;
    State state = State::Queued;
    std::optional<SessionId> session; ///< none: the router is disconnected
    std::uint64_t arrival = 0; ///< key in the queue
    std::string text; ///< the answer so far, of this attempt
    std::vector<std::size_t> tokenEnds; ///< byte offset behind each token
    std::uint64_t sent = 0; ///< tokens of this attempt sent to the router
    std::uint64_t creditLimit = 0; ///< tokens of this attempt that may be sent
    bool claimed = false;
    bool resultSent = false;
    AttemptResult result; ///< valid once finished
    Time startedAt{}; ///< when it was sent to the upstream
    Time lastTokenAt{};
    Time detachedAt{};
    Time finishedAt{};

    AttemptKey key() const { return {dispatch->id, dispatch->attempt}; }
    std::uint64_t tokens() const { return tokenEnds.size(); }
};

/// One session with a router.
struct AgentCore::Session
{
    VmName vm;
    Incarnation incarnation;
    std::uint64_t number = 0;
    std::uint16_t heartbeatPort = 0;
    bool loadChanged = false; ///< its requests changed since the last load report
};

} // namespace reachlead
