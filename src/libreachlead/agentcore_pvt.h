// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The records of the agent's core, shared by its source files alone.

#pragma once

#include <xxhash.h>

#include <reachlead/agentcore.h>

namespace reachlead {

/// One attempt, from its dispatch until its record is dropped.
struct AgentCore::Run
{
    enum class State : std::uint8_t { Queued, Claiming, Running, Finished };

    std::shared_ptr<const Dispatch> dispatch;
    State state = State::Queued;
    std::optional<SessionId> session; ///< none: its router is away
    std::uint64_t arrival = 0; ///< key in the queue
    std::string text; ///< the answer of this attempt
    std::vector<std::size_t> ends; ///< byte offset behind each token
    std::uint64_t sent = 0; ///< tokens sent, of this attempt
    std::uint64_t allowed = 0; ///< tokens that may be sent, of this attempt
    bool claimed = false;
    bool endSent = false;
    AttemptResult end; ///< once finished
    Time startedAt{}; ///< when it was handed to the upstream
    Time tokenAt{}; ///< when the last token came
    Time detachedAt{};
    Time finishedAt{};

    AttemptKey key() const { return {dispatch->id, dispatch->attempt}; }
    std::uint64_t tokens() const { return ends.size(); }
};

/// One session with a router.
struct AgentCore::Session
{
    VmName vm;
    Incarnation incarnation;
    std::uint64_t number = 0;
    std::uint16_t heartbeatPort = 0;
    bool touched = false; ///< its requests changed since the load was told
};

} // namespace reachlead
