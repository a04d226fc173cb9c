// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The records of the router's core, shared by its source files alone.

#pragma once

// The hash state is a plain member here; the library shows its layout on request only.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <reachlead/routercore.h>

namespace reachlead {

/// One request from its arrival to its final word.
struct RouterCore::Request
{
    CallerRequest ask;
    ClassPolicy cls; ///< as it stood at arrival
    RequestLifecycle life;
    Time arrived;
    Time deadline; ///< for the whole answer
    Time doubtUntil{}; ///< while recovering: when waiting for the agent ends
    VmName agent; ///< empty: with none
    Incarnation boundTo; ///< of the agent that got the present attempt
    Attempt attempt = 0;
    unsigned preemptions = 0; ///< attempts that gave way to a higher tier
    unsigned retries = 0; ///< attempts that failed and were paid from the budget
    double promptTokens = 1;
    double cost = 1; ///< predicted tokens, prompt included: charged at each dispatch
    bool mayHaveRun = false; ///< an attempt that failed did, or it is not known
    std::uint64_t tokens = 0; ///< tokens of the answer received so far
    std::uint64_t attemptTokens = 0; ///< of them, those of this attempt
    std::uint64_t hash = 0; ///< final hash of this attempt's text
    XXH64_state_t hashState{};
    std::string text; ///< answer so far, for a resume
    bool textComplete = true; ///< false: too long to be kept, no resume
    std::uint64_t taken = 0; ///< tokens the caller has taken
    Time lookAt{}; ///< key in m_deadlines
};

/// One agent and the present session to it.
struct RouterCore::Agent
{
    VmName name;
    ZoneName zone;
    TargetName target;
    Incarnation incarnation;
    bool up = false;
    bool leavingByList = false;
    Load load;
    std::unordered_set<RequestId> mine; ///< requests bound to it
    bool full = false; ///< it refused for want of room since its last load report
    Time heardAt{};
    std::uint64_t beatSequence = 0;
    Circuit circuit;

    bool leaving() const { return leavingByList || load.leaving; }

    /// Best estimate of what it holds: others' by its report, ours by our own count.
    std::uint32_t used() const
    {
        const std::uint32_t held = load.running + load.queued;
        const std::uint32_t others =
            held > load.recipientRequests ? held - load.recipientRequests : 0;
        return others + static_cast<std::uint32_t>(mine.size());
    }
};

/// One model or service.
struct RouterCore::Target
{
    TargetName name;
    std::unique_ptr<RequestQueue> queue;
    std::unique_ptr<Placement> placement;
    std::vector<VmName> agents;
    Time upAt{}; ///< when an agent was last seen up
    double popSeconds = 0; ///< smoothed time between dispatches while requests wait
    Time poppedAt{};
    bool backlogged = false; ///< requests were left waiting after the last dispatch
};

} // namespace reachlead
