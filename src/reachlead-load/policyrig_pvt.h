// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The records of the rig, shared by its source files alone.

#pragma once

#include "reachlead-load/policyrig.h"

namespace reachlead::rig {

struct Rig::Call
{
    std::shared_ptr<const Dispatch> dispatch;
    standin::AnswerPlan plan;
    std::uint64_t next = 0; ///< index of the next token
};

struct Rig::RouterBox
{
    std::string name;
    Incarnation incarnation;
    std::unique_ptr<RouterCore> core;
    bool alive = true;
};

struct Rig::AgentBox
{
    std::string name;
    std::string zone;
    TargetName target;
    AgentTuning tuning;
    UpstreamSpeed speed;
    std::uint64_t incarnation = 0;
    std::unique_ptr<AgentCore> core;
    std::unique_ptr<ClaimTable> book;
    std::map<AttemptKey, Call> calls; ///< at the upstream
    Time pausedUntil{};
    Time downUntil{}; ///< the upstream refuses connections
    double slow = 1.0;
    bool stalled = false;
    bool muted = false;
    std::uint64_t beats = 0;
};

struct Rig::Link
{
    SessionId session{};
    std::uint64_t number = 0;
    bool up = false; ///< the router has the agent's Welcome
    bool connecting = false;
    bool parted = false;
    bool holding = false;
    std::vector<std::pair<SessionId, ToAgent>> held;
};

} // namespace reachlead::rig
