// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Internal records of RouterCore, shared by its source files.

#pragma once

// The hash state is a member below; xxHash exposes its layout only with this macro.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <reachlead/routercore.h>

namespace reachlead {

/// One request, from its arrival to its final result.
struct RouterCore::Request
{
    CallerRequest callerRequest;
    ClassPolicy cls; ///< as of the arrival
    RequestLifecycle lifecycle;
    Time arrivedAt;
    Time deadline; ///< for the complete answer
    Time recoveryDeadline{}; ///< while recovering: end of the wait for the agent to reconnect
    VmName agent; ///< empty: not assigned
    Incarnation agentIncarnation; ///< incarnation of the agent that got the current attempt
    Attempt attempt = 0;
    unsigned preemptions = 0; ///< attempts that were preempted by a higher tier
    unsigned retries = 0; ///< failed attempts that were charged to the retry budget
    double promptTokens = 1;
    double cost = 1; ///< predicted tokens, including the prompt; charged at each dispatch
    bool mayHaveRun = false; ///< a failed attempt ran, or its outcome is unknown
    std::uint64_t tokens = 0; ///< tokens of the answer received so far
    /// Version of the upstream that began the answer; set once there are tokens.
    SoftwareVersion startedBy;
    std::uint64_t attemptTokens = 0; ///< of these, the tokens of the current attempt
    std::uint64_t hash = 0; ///< final hash of the text of the current attempt
    XXH64_state_t hashState{};
    std::string text; ///< answer so far, kept for resuming it
    /// False: the text exceeded the limit, so the answer cannot be resumed.
    bool textComplete = true;
    std::uint64_t consumedTokens = 0; ///< tokens that the caller has consumed
    Time nextCheckAt{}; ///< key of the request in m_deadlines or m_delayedRetries
};

/// One agent and its current session.
struct RouterCore::Agent
{
    VmName name;
    ZoneName zone;
    TargetName target;
    SoftwareVersion softwareVersion; ///< of its upstream
    Incarnation incarnation;
    bool up = false;
    bool isLeavingInMembership = false;
    Load load;
    /// Requests of this router that are assigned to it.
    std::unordered_set<RequestId> localRequests;
    bool full = false; ///< it refused a request for lack of room since its last load report
    Time lastReceived{};
    std::uint64_t heartbeatSequence = 0;
    Circuit circuit;

    bool leaving() const { return isLeavingInMembership || load.leaving; }

    /// Best estimate of the requests that the agent holds: those of other routers by its report,
    /// those of this router by its own count.
    std::uint32_t used() const
    {
        const std::uint32_t held = load.running + load.queued;
        const std::uint32_t others =
            held > load.recipientRequests ? held - load.recipientRequests : 0;
        return others + static_cast<std::uint32_t>(localRequests.size());
    }
};

/// One model or service.
struct RouterCore::Target
{
    TargetName name;
    std::unique_ptr<RequestQueue> queue;
    std::unique_ptr<Placement> placement;
    std::vector<VmName> agents;
    Time lastAgentUpAt{}; ///< when an agent was last connected
    /// Smoothed time between dispatches while requests are queued.
    double dispatchIntervalSeconds = 0;
    Time lastDispatchAt{};
    bool backlogged = false; ///< requests were still queued after the last dispatch
};

} // namespace reachlead
